#include "entry_int.h"

/*
 * The callers' port: one thread a connection, each request read, tried on
 * endpoints and answered.
 */

#define KEEP_ALIVE_MS 5000
#define ATTEMPTS_MAX 3
#define ANSWER_MAX_DEFAULT (4 * 1024 * 1024) /* bytes */

typedef struct verdict {
	entry_outcome_t outcome;
	const char *reason;
} verdict_t;

/* What an attempt that gave no answer means for the request. */
static const verdict_t verdicts[ENTRY_ATTEMPT_MAX] = {
	[ENTRY_ATTEMPT_ANSWERED] = { ENTRY_ANSWERED, "answered" },
	[ENTRY_ATTEMPT_REFUSED] = { ENTRY_NOT_RUN, "endpoint-refused" },
	[ENTRY_ATTEMPT_CONNECT] = { ENTRY_NOT_RUN, "no-connection" },
	[ENTRY_ATTEMPT_FAILED] = { ENTRY_UNKNOWN, "connection-lost" },
	[ENTRY_ATTEMPT_CUT] = { ENTRY_UNKNOWN, "answer-cut-short" },
	[ENTRY_ATTEMPT_TIMEOUT] = { ENTRY_UNKNOWN, "no-answer-in-time" },
	[ENTRY_ATTEMPT_LARGE] = { ENTRY_UNKNOWN, "answer-too-large" },
};

static bool caller_start(void *service, kern_t *kern, GError **err);
static void caller_stop(void *service);
static int on_request(struct mg_connection *conn, void *arg);
static void serve(entry_daemon_t *daemon, struct mg_connection *conn,
		  entry_request_t *request, const entry_view_t *view);
static entry_attempt_t try_endpoints(entry_daemon_t *daemon,
				     entry_request_t *request,
				     const entry_view_t *view,
				     entry_message_t *answer);
static const entry_endpoint_t *choose(const entry_daemon_t *daemon,
				      const entry_pool_t *pool, int attempt);
static void refuse(entry_daemon_t *daemon, struct mg_connection *conn,
		   const entry_request_t *request, verdict_t verdict);

const kern_service_ops_t entry_caller_ops = { caller_start, caller_stop };

static bool caller_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;

	(void)kern;
	daemon->caller_http = entry_listen(&daemon->settings->caller, daemon,
					   KEEP_ALIVE_MS, err);
	if (!daemon->caller_http)
		return false;
	mg_set_request_handler(daemon->caller_http, "/", on_request, daemon);
	return true;
}

static void caller_stop(void *service)
{
	entry_daemon_t *daemon = service;

	mg_stop(daemon->caller_http);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	entry_daemon_t *daemon = arg;
	entry_view_t *view = entry_view_hold(daemon->views);
	void *ctx = talloc_new(NULL);
	entry_request_t *request;

	atomic_fetch_add(&daemon->in_flight, 1);
	request = entry_http_read(ctx, conn, view);
	if (request)
		serve(daemon, conn, request, view);
	else
		atomic_fetch_add(&daemon->outcomes[ENTRY_NOT_RUN], 1);
	atomic_fetch_sub(&daemon->in_flight, 1);
	talloc_free(ctx);
	entry_view_release(view);
	return 200;
}

static void serve(entry_daemon_t *daemon, struct mg_connection *conn,
		  entry_request_t *request, const entry_view_t *view)
{
	bool last = atomic_load(&daemon->draining) != 0;
	entry_message_t answer = { 0 };
	entry_attempt_t ended;

	ended = try_endpoints(daemon, request, view, &answer);
	if (ended != ENTRY_ATTEMPT_ANSWERED) {
		refuse(daemon, conn, request, verdicts[ended]);
		return;
	}
	atomic_fetch_add(&daemon->outcomes[ENTRY_ANSWERED], 1);
	entry_http_answer(conn, request, &answer, last);
}

static entry_attempt_t try_endpoints(entry_daemon_t *daemon,
				     entry_request_t *request,
				     const entry_view_t *view,
				     entry_message_t *answer)
{
	const entry_pool_t *pool = entry_view_pool(view, request->service);
	entry_attempt_t ended = ENTRY_ATTEMPT_CONNECT;
	entry_attempt_t doubt = ENTRY_ATTEMPT_ANSWERED;

	for (int attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
		entry_forward_options_t options = {
			.endpoint = choose(daemon, pool, attempt),
			.request = request,
			.answer_max = ANSWER_MAX_DEFAULT,
			.fresh = !request->repeatable,
		};

		if (!options.endpoint)
			break;
		ended = entry_forward_send(daemon->forward, request, &options,
					   answer);
		if (ended == ENTRY_ATTEMPT_ANSWERED)
			return ended;
		if (verdicts[ended].outcome == ENTRY_UNKNOWN)
			doubt = ended;
		if (!request->repeatable &&
		    verdicts[ended].outcome != ENTRY_NOT_RUN)
			break;
		if (base_clock_mono() >= request->deadline)
			break;
	}
	/* Once it may have run, a later refusal does not undo that. */
	return doubt != ENTRY_ATTEMPT_ANSWERED ? doubt : ended;
}

/* The next live endpoint in turn. */
static const entry_endpoint_t *choose(const entry_daemon_t *daemon,
				      const entry_pool_t *pool, int attempt)
{
	size_t start = daemon->outcomes[ENTRY_ANSWERED] + (size_t)attempt;

	for (size_t i = 0; pool && i < pool->endpoint_count; i++) {
		const entry_endpoint_t *endpoint =
			&pool->endpoints[(start + i) % pool->endpoint_count];

		if (endpoint->state == PLAT_LIVE)
			return endpoint;
	}
	return NULL;
}

static void refuse(entry_daemon_t *daemon, struct mg_connection *conn,
		   const entry_request_t *request, verdict_t verdict)
{
	bool not_run = verdict.outcome == ENTRY_NOT_RUN;
	entry_refusal_t refusal = {
		.outcome = verdict.outcome,
		.status = not_run ? 503 : 504,
		.reason = verdict.reason,
		.retry_after_s = not_run ? 1 : 0,
		.last = atomic_load(&daemon->draining) != 0,
	};

	atomic_fetch_add(&daemon->outcomes[verdict.outcome], 1);
	entry_http_refuse(conn, request->id, &refusal);
}
