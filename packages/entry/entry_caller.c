#include "entry_int.h"

/*
 * The callers' port: one thread per connection.  Each request is read, sent to
 * an endpoint, with retries, and answered.
 */

#define KEEP_ALIVE_MS 5000
#define REQUEST_POOL_BYTES 8192 /* size of a request's talloc pool */
static bool caller_start(void *service, kern_t *kern, GError **err);
static void caller_stop(void *service);
static int on_request(struct mg_connection *conn);
static void handle_request(entry_daemon_t *daemon, struct mg_connection *conn);
static void serve_request(entry_daemon_t *daemon, struct mg_connection *conn,
			  entry_request_t *request);
static void refuse(entry_daemon_t *daemon, struct mg_connection *conn,
		   const entry_request_t *request,
		   const entry_verdict_t *verdict);
static int round_up_to_seconds(int ms);

static const entry_page_t pages[] = {
	{ "/cactusfield/ticket", entry_claim_ticket_page, true },
};

const kern_service_ops_t entry_caller_ops = { caller_start, caller_stop };

static bool caller_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;

	(void)kern;
	daemon->caller_http =
		entry_listen(&daemon->settings->caller, on_request, daemon,
			     KEEP_ALIVE_MS, err);
	return daemon->caller_http != NULL;
}

static void caller_stop(void *service)
{
	entry_daemon_t *daemon = service;

	mg_stop(daemon->caller_http);
}

static int on_request(struct mg_connection *conn)
{
	const entry_page_t *page =
		entry_page_find(pages, ARRAY_SIZE(pages), conn);
	entry_daemon_t *daemon = entry_listen_daemon(conn);

	if (page)
		return page->serve(conn, daemon);
	handle_request(daemon, conn);
	return 200;
}

static void handle_request(entry_daemon_t *daemon, struct mg_connection *conn)
{
	entry_view_t *view = entry_view_hold(daemon->views);
	void *ctx = talloc_pool(NULL, REQUEST_POOL_BYTES);
	entry_request_t *request;

	atomic_fetch_add(&daemon->in_flight, 1);
	request = entry_http_read(ctx, conn, view);
	if (request)
		serve_request(daemon, conn, request);
	else
		atomic_fetch_add(&daemon->outcomes[ENTRY_NOT_RUN], 1);
	atomic_fetch_sub(&daemon->in_flight, 1);
	talloc_free(ctx);
	entry_view_release(view);
}

static void serve_request(entry_daemon_t *daemon, struct mg_connection *conn,
			  entry_request_t *request)
{
	bool last = atomic_load(&daemon->draining) != 0;
	entry_message_t answer = { 0 };
	entry_verdict_t verdict;

	if (!request->repeatable && request->key[0])
		verdict = entry_claim_run(daemon, request, &answer);
	else
		verdict = entry_route_run(daemon->route, request, &answer);
	atomic_fetch_add(&daemon->outcomes[verdict.outcome], 1);
	if (verdict.outcome == ENTRY_ANSWERED) {
		entry_http_answer(conn, request, &answer, last);
		entry_claim_record_answer(daemon, request, &answer);
		return;
	}
	refuse(daemon, conn, request, &verdict);
}

static void refuse(entry_daemon_t *daemon, struct mg_connection *conn,
		   const entry_request_t *request,
		   const entry_verdict_t *verdict)
{
	bool not_run = verdict->outcome == ENTRY_NOT_RUN;
	entry_refusal_t refusal = {
		.outcome = verdict->outcome,
		.status = not_run ? 503 : 504,
		.reason = verdict->reason,
		.retry_after_s =
			not_run ? round_up_to_seconds(verdict->retry_after_ms)
				: 0,
		.close_after = atomic_load(&daemon->draining) != 0,
	};

	entry_http_refuse(conn, request->id, &refusal);
}

static int round_up_to_seconds(int ms)
{
	return (ms + 999) / 1000;
}
