#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_fleet.h"

/*
 * The holder's step: read all, decide, carry out.  Each write is fenced by
 * the duty's key, and by the revision of what it was decided on.
 */

typedef struct entry_life {
	char *name;
	uint64_t inc;
	plat_address_t operators;
	bool ended;
} entry_life_t;

#define REFUSED_MS 300 /* wait for the answer of a process that may be gone */

static bool read_all(entry_fleet_t *fleet, const void *ctx, GError **err);
static void take_entries(entry_fleet_t *fleet, const site_entries_t *entries);
static bool waits_for_entry(const fleet_t *core);
static void note_life(entry_fleet_t *fleet, const site_entry_t *entry);
static bool has_ended(entry_fleet_t *fleet, const entry_life_t *life,
		      const site_entries_t *entries, bool ask);
static bool refuses(const plat_address_t *address);
static void put(entry_fleet_t *fleet, const fleet_op_t *op);
static void reboot(entry_fleet_t *fleet, const fleet_op_t *op);

static void (*const carry_out[FLEET_OP_MAX])(entry_fleet_t *,
					     const fleet_op_t *) = {
	[FLEET_OP_PUT] = put,
	[FLEET_OP_REBOOT] = reboot,
};

void entry_duty_step(entry_fleet_t *fleet, const void *ctx)
{
	plat_put_t token = { 0 };
	GError *cause = NULL;
	fleet_ops_t *ops;

	if (!read_all(fleet, ctx, &cause)) {
		if (!fleet->blind)
			base_log(fleet->daemon->log, BASE_MSG_DUTY_WAITS,
				 BASE_F_STR("why", cause->message));
		fleet->blind = true;
		g_clear_error(&cause);
		return;
	}
	fleet->blind = false;
	plat_duty_fence(fleet->duty, &token);
	fleet_fence(fleet->core, (uint64_t)token.fence_revision);
	ops = fleet_step(fleet->core, ctx, base_clock_wall());
	for (size_t i = 0; i < ops->n; i++) {
		if (!plat_duty_held(fleet->duty, base_clock_mono()))
			return;
		carry_out[ops->ops[i].kind](fleet, &ops->ops[i]);
	}
}

/* All or nothing: an old list would show the whole fleet as failed. */
static bool read_all(entry_fleet_t *fleet, const void *ctx, GError **err)
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
	take_entries(fleet, &entries);
	site_take_demand(fleet->core, &entries, base_clock_wall());
	return true;
}

/* A process holds up drains until it confirmed or is known to have ended. */
static void take_entries(entry_fleet_t *fleet, const site_entries_t *entries)
{
	bool ask = waits_for_entry(fleet->core);

	for (size_t i = 0; i < entries->n; i++)
		note_life(fleet, &entries->items[i]);
	for (size_t i = 0; i < fleet->life_count; i++) {
		entry_life_t *life = &fleet->lives[i];

		if (!life->ended)
			life->ended = has_ended(fleet, life, entries, ask);
		fleet_entry(fleet->core, life->name, life->inc, life->ended);
	}
	for (size_t i = 0; i < entries->n; i++)
		site_take_confirmed(fleet->core, &entries->items[i]);
}

static void note_life(entry_fleet_t *fleet, const site_entry_t *entry)
{
	entry_life_t *life;

	for (size_t i = 0; i < fleet->life_count; i++)
		if (fleet->lives[i].inc == entry->inc &&
		    !strcmp(fleet->lives[i].name, entry->name))
			return;
	fleet->lives = talloc_realloc(fleet, fleet->lives, entry_life_t,
				      fleet->life_count + 1);
	life = &fleet->lives[fleet->life_count++];
	*life = (entry_life_t){
		.name = talloc_strdup(fleet, entry->name),
		.inc = entry->inc,
		.operators = { talloc_strdup(fleet, entry->operators.host),
			       entry->operators.port },
	};
}

static bool waits_for_entry(const fleet_t *core)
{
	for (size_t i = 0; i < fleet_n_instances(core); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(core, i, &view);
		if (view.why == FLEET_WHY_ENTRY)
			return true;
	}
	return false;
}

/*
 * It took its leave, a later process listens at its address, or the host there
 * says that nothing listens.  Silence proves nothing: it may be paused or cut
 * off and still have work in flight.
 */
static bool has_ended(entry_fleet_t *fleet, const entry_life_t *life,
		      const site_entries_t *entries, bool ask)
{
	bool ended = false;

	for (size_t i = 0; i < entries->n; i++) {
		const site_entry_t *entry = &entries->items[i];

		if (entry->inc == life->inc && entry->gone)
			ended = true;
		if (entry->inc > life->inc &&
		    entry->operators.port == life->operators.port &&
		    !strcmp(entry->operators.host, life->operators.host))
			ended = true;
	}
	if (!ended && ask && life->inc != fleet->inc)
		ended = refuses(&life->operators);
	if (ended)
		base_log(fleet->daemon->log, BASE_MSG_ENTRY_ENDED,
			 BASE_F_STR("entry", life->name),
			 BASE_F_INT("incarnation", (int64_t)life->inc));
	return ended;
}

static bool refuses(const plat_address_t *address)
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
		if (fault == EINPROGRESS && poll(&poll_fd, 1, REFUSED_MS) == 1)
			getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &len);
	}
	close(fd);
	return fault == ECONNREFUSED;
}

/* What it did is seen when the key is read: at once, or in the next step. */
static void put(entry_fleet_t *fleet, const fleet_op_t *op)
{
	plat_put_t write = { .key = op->key,
			     .value = base_str(op->value),
			     .expected = op->rev };
	int64_t revision = 0;

	plat_duty_fence(fleet->duty, &write);
	if (plat_cas_sure(fleet->store, &write, &revision, NULL) ==
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
