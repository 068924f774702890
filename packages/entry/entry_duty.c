#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_fleet.h"

/*
 * One step of the fleet duty: read all inputs, decide, carry out.  Each write
 * is fenced by the duty's key and by the revision of the record that the
 * decision was based on.
 */

typedef struct entry_process {
	char *name;
	uint64_t inc;
	plat_address_t operators;
	bool ended;
} entry_process_t;

/* Timeout of a connection that checks whether a process has ended. */
#define CONNECT_TIMEOUT_MS 300

static bool read_inputs(entry_fleet_t *fleet, const void *ctx, GError **err);
static void update_entries(entry_fleet_t *fleet, const site_entries_t *entries);
static bool is_waiting_for_entry(const fleet_t *core);
static void add_process(entry_fleet_t *fleet, const site_entry_t *entry);
static bool has_ended(entry_fleet_t *fleet, const entry_process_t *process,
		      const site_entries_t *entries, bool ask);
static bool refuses_connection(const plat_address_t *address);
static void write_record(entry_fleet_t *fleet, const fleet_op_t *op);
static void reboot(entry_fleet_t *fleet, const fleet_op_t *op);

static void (*const op_handlers[FLEET_OP_MAX])(entry_fleet_t *,
					       const fleet_op_t *) = {
	[FLEET_OP_PUT] = write_record,
	[FLEET_OP_REBOOT] = reboot,
};

void entry_duty_step(entry_fleet_t *fleet, const void *ctx)
{
	plat_put_t token = { 0 };
	GError *cause = NULL;
	fleet_ops_t *ops;

	if (!read_inputs(fleet, ctx, &cause)) {
		if (!fleet->is_read_failing)
			base_log(fleet->daemon->log, BASE_MSG_DUTY_WAITS,
				 BASE_F_STR("why", cause->message));
		fleet->is_read_failing = true;
		g_clear_error(&cause);
		return;
	}
	fleet->is_read_failing = false;
	plat_duty_fence(fleet->duty, &token);
	fleet_set_fencing_token(fleet->core, (uint64_t)token.fence_revision);
	ops = fleet_step(fleet->core, ctx, base_clock_wall());
	for (size_t i = 0; i < ops->n; i++) {
		if (!plat_duty_held(fleet->duty, base_clock_mono()))
			return;
		op_handlers[ops->ops[i].kind](fleet, &ops->ops[i]);
	}
}

/*
 * Fails unless all inputs can be read: a stale instance list could make the
 * whole fleet seem to have failed.
 */
static bool read_inputs(entry_fleet_t *fleet, const void *ctx, GError **err)
{
	plat_list_t *list = fleet->daemon->list;
	site_entries_t entries;
	plat_instances_t instances;

	if (!site_read_records(fleet->reader, err) ||
	    !site_read_entries(fleet->reader, &entries, err) ||
	    !site_read_idle(fleet->reader, err) ||
	    !list->ops->read(list, ctx, NULL, &instances, err))
		return false;
	site_observe(fleet->core, &instances, base_clock_wall());
	update_entries(fleet, &entries);
	site_apply_demand(fleet->core, &entries, base_clock_wall());
	return true;
}

/* Drains wait for a process until it confirms or is known to have ended. */
static void update_entries(entry_fleet_t *fleet, const site_entries_t *entries)
{
	bool ask = is_waiting_for_entry(fleet->core);

	for (size_t i = 0; i < entries->n; i++)
		add_process(fleet, &entries->items[i]);
	for (size_t i = 0; i < fleet->process_count; i++) {
		entry_process_t *process = &fleet->processes[i];

		if (!process->ended)
			process->ended =
				has_ended(fleet, process, entries, ask);
		fleet_track_entry(fleet->core, process->name, process->inc,
				  process->ended);
	}
	for (size_t i = 0; i < entries->n; i++)
		site_apply_confirmations(fleet->core, &entries->items[i]);
}

static void add_process(entry_fleet_t *fleet, const site_entry_t *entry)
{
	entry_process_t *process;

	for (size_t i = 0; i < fleet->process_count; i++)
		if (fleet->processes[i].inc == entry->inc &&
		    !strcmp(fleet->processes[i].name, entry->name))
			return;
	fleet->processes =
		talloc_realloc(fleet, fleet->processes, entry_process_t,
			       fleet->process_count + 1);
	process = &fleet->processes[fleet->process_count++];
	*process = (entry_process_t){
		.name = talloc_strdup(fleet, entry->name),
		.inc = entry->inc,
		.operators = { .host = talloc_strdup(
				       fleet, entry->operator_address.host),
			       .port = entry->operator_address.port },
	};
}

static bool is_waiting_for_entry(const fleet_t *core)
{
	for (size_t i = 0; i < fleet_n_instances(core); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(core, i, &view);
		if (view.wait_reason == FLEET_WAIT_ENTRY)
			return true;
	}
	return false;
}

/*
 * A process has ended if its record says so, if a later process uses its
 * address, or if the host refuses connections there.  A missing answer proves
 * nothing: the process may be paused or partitioned and still have requests in
 * flight.
 */
static bool has_ended(entry_fleet_t *fleet, const entry_process_t *process,
		      const site_entries_t *entries, bool ask)
{
	bool ended = false;

	for (size_t i = 0; i < entries->n; i++) {
		const site_entry_t *entry = &entries->items[i];

		if (entry->inc == process->inc && entry->has_shut_down)
			ended = true;
		if (entry->inc > process->inc &&
		    entry->operator_address.port == process->operators.port &&
		    !strcmp(entry->operator_address.host,
			    process->operators.host))
			ended = true;
	}
	if (!ended && ask && process->inc != fleet->inc)
		ended = refuses_connection(&process->operators);
	if (ended)
		base_log(fleet->daemon->log, BASE_MSG_ENTRY_ENDED,
			 BASE_F_STR("entry", process->name),
			 BASE_F_INT("incarnation", (int64_t)process->inc));
	return ended;
}

static bool refuses_connection(const plat_address_t *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)address->port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };
	int fault = 0;
	socklen_t len = sizeof(fault);

	if (fd < 0)
		return false;
	if (inet_pton(AF_INET, address->host, &to.sin_addr) == 1 &&
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		fault = errno;
		if (fault == EINPROGRESS &&
		    poll(&poll_fd, 1, CONNECT_TIMEOUT_MS) == 1)
			getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &len);
	}
	close(fd);
	return fault == ECONNREFUSED;
}

/*
 * Unless the write is known to have taken effect, the next step reads the
 * record again.
 */
static void write_record(entry_fleet_t *fleet, const fleet_op_t *op)
{
	plat_put_t write = { .key = op->key,
			     .value = base_str(op->value),
			     .expected = op->rev };
	int64_t revision = 0;

	plat_duty_fence(fleet->duty, &write);
	if (plat_cas_confirmed(fleet->store, &write, &revision, NULL) ==
	    PLAT_CAS_DONE)
		fleet_load(fleet->core, op->key, write.value, revision, NULL);
}

static void reboot(entry_fleet_t *fleet, const fleet_op_t *op)
{
	GError *cause = NULL;
	bool done = fleet->action->ops->reboot(fleet->action, op->key, op->inc,
					       &cause);

	base_log(fleet->daemon->log,
		 done ? BASE_MSG_REBOOT : BASE_MSG_REBOOT_FAILED,
		 BASE_F_STR("instance", op->key),
		 BASE_F_STR("why", done ? "planned" : cause->message));
	g_clear_error(&cause);
}
