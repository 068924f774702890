/*
 * A small platform on loopback for the cases of the review: the store of the
 * project's stand-in, the register of executors, and the list of machines.
 *
 *	rv-platform PORT [SPARES]
 *
 * SPARES machines are in the pool "spare", which is off; a machine of it that
 *is moved is up 1.5 s later, and the test starts its executor.  Each order for
 *a machine is printed: "TIME platform order MACHINE POOL HOLDER TOKEN STATUS".
 *
 * The store listens at PORT for the operator and the executors, and at PORT +
 *61 to PORT + 63 for the entries 1 to 3, so that it can turn one of them away.
 *
 * Beside the platform's own paths it serves the test: POST /beat?key=servers/ID
 * (an executor's heartbeat), POST /operator?key=... (an operator's key),
 * GET /read?key=..., POST /store?ms=N (the store answers N ms late),
 * POST /reject?entry=N (it answers this entry 503; 0: none) and
 * POST /revoke?entry=N (the keys under this entry's leases go at once).
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "../../standin/platform/sp_int.h"

#define TICK (5 * BASE_MS)
#define BEAT_MAX (4500 * BASE_MS) /* three heartbeats of 1.5 s */
#define ENTRIES 3
#define ENTRY_PORT 60	    /* of entry N: the first port, this and N */
#define VALUE_BYTES 1048576 /* longest value of the store */
#define VALUE_TEXT_MAX (VALUE_BYTES / 3 * 4 + 4)

/* The last heartbeat of an executor. */
typedef struct beat {
	char *key;
	char *text;
	int64_t at;
} beat_t;

#define SPARES_MAX 32
#define MOVE_TIME (1500 * BASE_MS)

/* A machine that was in the spare pool when the platform began. */
typedef struct machine {
	char name[32];
	char id[32]; /* of its executor once it has been moved */
	char pool[32];
	int64_t up_at; /* the end of its move; 0: it is not moving */
} machine_t;

/* A request that the slow store has not served yet. */
typedef struct delayed {
	net_exchange_t *exchange;
	net_timer_t *timer;
	struct platform *platform;
} delayed_t;

/* The store's port for one entry. */
typedef struct entry {
	struct platform *platform;
	int number;
	GArray *leases; /* int64_t, the ids of all that were granted there */
} entry_t;

typedef struct platform {
	sp_t *sp;
	machine_t machines[SPARES_MAX];
	int n_machines;
	entry_t entries[ENTRIES];
	int rejected;	   /* the entry that is turned away; 0: none */
	GHashTable *beats; /* key to beat_t; ended executors stay as down */
	int64_t store_delay;
	net_timer_t *tick;
} platform_t;

void sp_reply_json(net_exchange_t *exchange, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	if (exchange)
		net_reply(exchange, status, NULL, 0, base_str(text));
	free(text);
	json_decref(body);
}

char *sp_query(const char *path, const char *name)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);

	while (at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			const char *value = at + len + 1;
			char *text = g_uri_unescape_segment(
				value, value + strcspn(value, "&"), NULL);

			return text ? text : g_strdup("");
		}
		at = strchr(at, '&');
	}
	return g_strdup("");
}

static void serve_beat(platform_t *platform, net_exchange_t *exchange,
		       const char *key)
{
	base_str_t body = net_exchange_body(exchange);
	char *text = g_strndup(body.ptr, body.len);
	beat_t *beat = g_hash_table_lookup(platform->beats, key);
	char *stored = sp_store_text(platform->sp, key);

	if (!beat) {
		beat = g_new0(beat_t, 1);
		beat->key = g_strdup(key);
		g_hash_table_insert(platform->beats, beat->key, beat);
	}
	g_free(beat->text);
	beat->text = text;
	beat->at = base_clock_mono();
	if (g_strcmp0(stored, text) != 0)
		sp_store_put(platform->sp, key, text);
	g_free(stored);
	net_reply(exchange, 200, NULL, 0, BASE_STR(""));
}

static void drop_silent(platform_t *platform, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->beats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		beat_t *beat = value;

		if (beat->at && now - beat->at > BEAT_MAX) {
			beat->at = 0;
			sp_store_delete(platform->sp, beat->key);
		}
	}
}

static machine_t *find_machine(platform_t *platform, const char *name)
{
	int i;

	for (i = 0; name && i < platform->n_machines; i++)
		if (!strcmp(platform->machines[i].name, name))
			return &platform->machines[i];
	return NULL;
}

static json_t *describe_machine(const beat_t *beat)
{
	json_t *entry = json_loads(beat->text, 0, NULL);
	const char *id = beat->key + strlen("servers/");
	json_t *row = json_pack(
		"{s:s+,s:O,s:s,s:O,s:O,s:O,s:s}", "machine", "m-", id, "pool",
		json_object_get(entry, "service"), "state",
		beat->at ? "up" : "down", "zone",
		json_object_get(entry, "zone"), "labels",
		json_object_get(entry, "labels"), "capacity",
		json_object_get(entry, "capacity"), "id", beat->at ? id : "");

	json_decref(entry);
	return row;
}

static json_t *describe_spare(const machine_t *machine)
{
	bool is_off = !strcmp(machine->pool, "spare");

	return json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},s:s}",
			 "machine", machine->name, "pool", machine->pool,
			 "state", machine->up_at ? "moving" : "up", "zone",
			 "z1", "labels", "a", "r1", "capacity", "cpu", 64000,
			 "memMb", 262144, "gpu", 0, "id",
			 is_off || machine->up_at ? "" : machine->id);
}

static void serve_machines(platform_t *platform, net_exchange_t *exchange)
{
	json_t *machines = json_array();
	GHashTableIter iter;
	gpointer value;
	int i;

	for (i = 0; i < platform->n_machines; i++)
		json_array_append_new(machines,
				      describe_spare(&platform->machines[i]));
	g_hash_table_iter_init(&iter, platform->beats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		json_t *row = describe_machine(value);

		/* An executor of a machine that was moved is listed there. */
		if (find_machine(platform, json_string_value(json_object_get(
						   row, "machine"))))
			json_decref(row);
		else
			json_array_append_new(machines, row);
	}
	sp_reply_json(
		exchange, 200,
		json_pack("{s:o,s:n}", "machines", machines, "nextToken"));
}

/* Carries out the move of a spare machine; any other one is busy. */
static int move_machine(machine_t *machine, const char *pool)
{
	if (!machine || !pool)
		return 409;
	if (!strcmp(machine->pool, pool))
		return 200;
	if (machine->up_at || strcmp(machine->pool, "spare") != 0)
		return 409;
	g_strlcpy(machine->pool, pool, sizeof(machine->pool));
	machine->up_at = base_clock_mono() + MOVE_TIME;
	return 200;
}

static void serve_order(platform_t *platform, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "machine"));
	const char *pool = json_string_value(json_object_get(root, "pool"));
	const char *holder = net_exchange_header(exchange, "X-Duty-Holder");
	const char *token = net_exchange_header(exchange, "X-Fencing-Token");
	int status = move_machine(find_machine(platform, name), pool);

	printf("%lld platform order %s %s %s %s %d\n",
	       (long long)(base_clock_wall() / BASE_MS), name ? name : "-",
	       pool ? pool : "-", holder ? holder : "-", token ? token : "0",
	       status);
	fflush(stdout);
	net_reply(exchange, status, NULL, 0,
		  status == 200 ? BASE_STR("{}")
				: BASE_STR("{\"reason\":\"busy\"}"));
	json_decref(root);
}

/* Ends the moves that are due. */
static void end_moves(platform_t *platform, int64_t now)
{
	int i;

	for (i = 0; i < platform->n_machines; i++) {
		machine_t *machine = &platform->machines[i];

		if (!machine->up_at || now < machine->up_at)
			continue;
		machine->up_at = 0;
		printf("%lld platform arrived %s %s %s\n",
		       (long long)(base_clock_wall() / BASE_MS), machine->name,
		       machine->pool, machine->id);
		fflush(stdout);
	}
}

static void add_spares(platform_t *platform, int n)
{
	int i;

	platform->n_machines = MIN(n, SPARES_MAX);
	for (i = 0; i < platform->n_machines; i++) {
		machine_t *machine = &platform->machines[i];

		g_snprintf(machine->id, sizeof(machine->id), "i-spare-%d", i);
		g_snprintf(machine->name, sizeof(machine->name), "m-i-spare-%d",
			   i);
		g_strlcpy(machine->pool, "spare", sizeof(machine->pool));
	}
}

/* Whether a value of the change is longer than the store takes. */
static bool is_too_long(base_str_t text)
{
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const json_t *sets = json_object_get(root, "setKeys");
	bool is_long = false;
	size_t i;

	for (i = 0; i < json_array_size(sets); i++)
		is_long |= json_string_length(json_object_get(
				   json_array_get(sets, i), "value")) >
			   VALUE_TEXT_MAX;
	json_decref(root);
	return is_long;
}

static void serve_store(platform_t *platform, net_exchange_t *exchange)
{
	char *path = g_strdup(net_exchange_path(exchange));

	if (g_str_has_prefix(path, "/v1/kv-txn") &&
	    is_too_long(net_exchange_body(exchange))) {
		printf("value too long\n");
		fflush(stdout);
		net_reply(exchange, 400, NULL, 0, BASE_STR(""));
	} else {
		sp_store_serve(platform->sp, exchange, path);
	}
	g_free(path);
}

static void serve_delayed(void *arg)
{
	delayed_t *delayed = arg;

	serve_store(delayed->platform, delayed->exchange);
	talloc_free(delayed);
}

static void delay_store(platform_t *platform, net_exchange_t *exchange)
{
	delayed_t *delayed = talloc_zero(platform, delayed_t);

	delayed->platform = platform;
	delayed->exchange = exchange;
	delayed->timer = net_timer_new(delayed, platform->sp->loop,
				       serve_delayed, delayed);
	net_timer_start(delayed->timer, platform->store_delay);
}

/* The next tick of the store ends the leases, and removes their keys. */
static void revoke_leases(const platform_t *platform, int number)
{
	sp_t *sp = platform->sp;
	guint i;
	guint j;

	for (i = 0; i < sp->leases->len; i++) {
		sp_lease_t *lease = &g_array_index(sp->leases, sp_lease_t, i);
		const GArray *ids = platform->entries[number - 1].leases;

		for (j = 0; j < ids->len; j++)
			if (g_array_index(ids, int64_t, j) == lease->id)
				lease->deadline_us = 0;
	}
	sp_store_tick(sp, base_clock_mono());
}

static int read_entry(const char *path)
{
	char *text = sp_query(path, "entry");
	int number = (int)strtol(text, NULL, 10);

	g_free(text);
	return number >= 0 && number <= ENTRIES ? number : 0;
}

static void serve_test(platform_t *platform, net_exchange_t *exchange,
		       const char *path)
{
	base_str_t body = net_exchange_body(exchange);
	char *key = sp_query(path, "key");
	char *text;

	if (g_str_has_prefix(path, "/beat")) {
		serve_beat(platform, exchange, key);
	} else if (g_str_has_prefix(path, "/operator")) {
		text = g_strndup(body.ptr, body.len);
		sp_store_put(platform->sp, key, text);
		net_reply(exchange, 200, NULL, 0, BASE_STR(""));
		g_free(text);
	} else if (g_str_has_prefix(path, "/read")) {
		text = sp_store_text(platform->sp, key);
		net_reply(exchange, text ? 200 : 404, NULL, 0, base_str(text));
		g_free(text);
	} else if (g_str_has_prefix(path, "/reject")) {
		platform->rejected = read_entry(path);
		net_reply(exchange, 200, NULL, 0, BASE_STR(""));
	} else if (g_str_has_prefix(path, "/revoke") && read_entry(path)) {
		revoke_leases(platform, read_entry(path));
		net_reply(exchange, 200, NULL, 0, BASE_STR(""));
	} else if (g_str_has_prefix(path, "/store")) {
		text = sp_query(path, "ms");
		platform->store_delay = strtoll(text, NULL, 10) * BASE_MS;
		net_reply(exchange, 200, NULL, 0, BASE_STR(""));
		g_free(text);
	} else {
		net_reply(exchange, 404, NULL, 0, BASE_STR(""));
	}
	g_free(key);
}

static void serve(void *arg, net_exchange_t *exchange)
{
	platform_t *platform = arg;
	char *path = g_strdup(net_exchange_path(exchange));

	if (g_str_has_prefix(path, "/v1/kv-") && platform->store_delay)
		delay_store(platform, exchange);
	else if (g_str_has_prefix(path, "/v1/kv-"))
		serve_store(platform, exchange);
	else if (g_str_has_prefix(path, "/v1/machines"))
		serve_machines(platform, exchange);
	else if (g_str_has_prefix(path, "/v1/machine-"))
		serve_order(platform, exchange);
	else
		serve_test(platform, exchange, path);
	g_free(path);
}

/* Requests of an entry to the store. */
static void serve_entry(void *arg, net_exchange_t *exchange)
{
	const entry_t *entry = arg;
	platform_t *platform = entry->platform;
	int64_t last = platform->sp->next_lease;

	if (platform->rejected == entry->number) {
		net_reply(exchange, 503, NULL, 0, BASE_STR(""));
		return;
	}
	serve(platform, exchange);
	if (platform->sp->next_lease != last)
		g_array_append_val(entry->leases, platform->sp->next_lease);
}

static bool listen_entries(platform_t *platform, int port, GError **err)
{
	char address[32];
	int i;

	for (i = 0; i < ENTRIES; i++) {
		entry_t *entry = &platform->entries[i];

		entry->platform = platform;
		entry->number = i + 1;
		entry->leases = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   port + ENTRY_PORT + i + 1);
		if (!net_server_new(platform, platform->sp->loop, address,
				    serve_entry, entry, err))
			return false;
	}
	return true;
}

static void tick(void *arg)
{
	platform_t *platform = arg;
	int64_t now = base_clock_mono();

	drop_silent(platform, now);
	end_moves(platform, now);
	sp_store_tick(platform->sp, now);
	net_timer_start(platform->tick, TICK);
}

static void terminate(void *arg, int signo)
{
	(void)signo;
	net_loop_stop(arg);
}

static sp_t *sp_new(void)
{
	sp_t *sp = talloc_zero(NULL, sp_t);

	sp->loop = net_loop_new(sp);
	sp->items = g_hash_table_new(g_str_hash, g_str_equal);
	sp->events = g_ptr_array_new();
	sp->leases = g_array_new(FALSE, TRUE, sizeof(sp_lease_t));
	sp->watches = g_ptr_array_new();
	sp->unanswered = g_ptr_array_new();
	sp->late_changes = g_array_new(FALSE, TRUE, sizeof(sp_late_change_t));
	sp->rng.state = 7;
	return sp;
}

int main(int argc, char **argv)
{
	platform_t *platform = talloc_zero(NULL, platform_t);
	GError *err = NULL;
	char address[32];

	if (argc != 2 && argc != 3)
		return 2;
	platform->sp = sp_new();
	add_spares(platform, argc == 3 ? (int)strtol(argv[2], NULL, 10) : 0);
	platform->beats = g_hash_table_new(g_str_hash, g_str_equal);
	g_snprintf(address, sizeof(address), "127.0.0.1:%s", argv[1]);
	if (!net_server_new(platform, platform->sp->loop, address, serve,
			    platform, &err) ||
	    !listen_entries(platform, (int)strtol(argv[1], NULL, 10), &err)) {
		fprintf(stderr, "rv-platform: %s\n", err->message);
		return 2;
	}
	platform->tick =
		net_timer_new(platform, platform->sp->loop, tick, platform);
	net_loop_signal(platform->sp->loop, SIGTERM, terminate,
			platform->sp->loop);
	tick(platform);
	net_loop_run(platform->sp->loop);
	return 0;
}
