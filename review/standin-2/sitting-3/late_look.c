/*
 * late_look - the executors of ../r2_worker.c, whose looks (/v1/hold) can be
 * late: on SIGUSR1, for LATE_TIME, one look in LATE_PART gets no answer and is
 * carried out 2 to 12 s later by the process that then has the executor's id.
 */
#include <signal.h>

#include "../r2.h"

#define LATE_TIME (4400 * BASE_MS)
#define LATE_PART 17 /* a share of 0.059 */
#define LATE_LEAST (2 * BASE_SEC)
#define LATE_SPAN (10 * BASE_SEC)

typedef struct late_look {
	char id[32];
	char *body;
	int64_t born_ms; /* of the process that it was sent to */
	int64_t due_at;
} late_look_t;

static GArray *looks; /* late_look_t that wait */
static int64_t late_until;

static net_server_t *serve_looks(const void *ctx, net_loop_t *loop,
				 const char *address, net_handler_t *handler,
				 void *arg, GError **err);

/* The executors as they are, with serve_looks() before their own handler. */
#define net_server_new serve_looks
#define r2_workers_begin begin_workers
#define r2_workers_tick tick_workers
#include "../r2_worker.c" /* NOLINT(bugprone-suspicious-include) */
#undef net_server_new
#undef r2_workers_begin
#undef r2_workers_tick

static bool keep_look(const r2_worker_t *worker, const net_exchange_t *exchange)
{
	r2_t *r2 = worker->r2;
	int64_t now = base_clock_mono();
	base_str_t text = net_exchange_body(exchange);
	late_look_t look = { .born_ms = worker->born_ms };

	if (now > late_until ||
	    strcmp(net_exchange_path(exchange), "/v1/hold") != 0 ||
	    base_rng_below(&r2->sp.rng, LATE_PART))
		return false;
	look.due_at = now + LATE_LEAST +
		      (int64_t)base_rng_below(&r2->sp.rng, LATE_SPAN);
	g_strlcpy(look.id, worker->id, sizeof(look.id));
	look.body = g_strndup(text.ptr, text.len);
	g_array_append_val(looks, look);
	return true;
}

static void serve_or_keep(void *arg, net_exchange_t *exchange)
{
	if (!keep_look(arg, exchange))
		serve(arg, exchange);
}

static net_server_t *serve_looks(const void *ctx, net_loop_t *loop,
				 const char *address, net_handler_t *handler,
				 void *arg, GError **err)
{
	(void)handler;
	return net_server_new(ctx, loop, address, serve_or_keep, arg, err);
}

/* Nobody gets the lists.  What it says of leases and ends holds. */
static void apply_look(const late_look_t *look, r2_worker_t *worker)
{
	json_t *root = json_loads(look->body, 0, NULL);
	int64_t token =
		json_integer_value(json_object_get(root, "fencingToken"));
	int64_t seen = json_integer_value(json_object_get(root, "lastSeen"));
	int64_t deadline =
		json_integer_value(json_object_get(root, "deadlineMs"));
	guint before = worker->ends->len;

	if (token >= worker->token) {
		worker->token = token;
		worker->lease_end_ms =
			MAX(worker->lease_end_ms,
			    MIN(deadline, clock_ms(worker) + HOLD_MAX_MS));
		forget_ends(worker, seen);
	}
	if (look->born_ms != worker->born_ms)
		r2_note(worker->r2,
			"a look that was sent to the life before reaches %s: "
			"lastSeen %lld, %u of %lld ends forgotten",
			worker->id, (long long)seen, before - worker->ends->len,
			(long long)worker->next_end - 1);
	json_decref(root);
}

void r2_workers_tick(r2_t *r2, int64_t now)
{
	guint i;

	for (i = looks->len; i-- > 0;) {
		late_look_t look = g_array_index(looks, late_look_t, i);
		r2_worker_t *worker = find_worker(r2, look.id);

		if (now < look.due_at)
			continue;
		g_array_remove_index(looks, i);
		if (worker)
			apply_look(&look, worker);
		g_free(look.body);
	}
	tick_workers(r2, now);
}

static void begin_late(void *arg, int signo)
{
	r2_t *r2 = arg;

	(void)signo;
	late_until = base_clock_mono() + LATE_TIME;
	r2_note(r2, "for %lld ms one look in %d gets no answer and is late",
		(long long)(LATE_TIME / BASE_MS), LATE_PART);
}

void r2_workers_begin(r2_t *r2, int port)
{
	looks = g_array_new(FALSE, TRUE, sizeof(late_look_t));
	net_loop_signal(r2->sp.loop, SIGUSR1, begin_late, r2);
	begin_workers(r2, port);
}
