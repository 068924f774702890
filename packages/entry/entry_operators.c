#include <jansson.h>

#include "entry_memb.h"

/*
 * The operators' port: health checks for the balancer, metrics, status and the
 * operators' pages.
 */

#define KEEP_ALIVE_MS 5000
#define BEARER "Bearer "

/*
 * How long /readyz waits for this entry's share of the claims.  Until the entry
 * has it, it refuses requests that are not repeatable, and a rolling
 * replacement of the entries must not go on to the next one.  After this time
 * the entry reports ready all the same, so that it serves the other requests.
 * Once it has stopped waiting it does not wait again, even if the other entries
 * exclude it from the claims.
 */
#define CLAIMS_WAIT_MAX_US (5 * BASE_SEC)

static bool operators_start(void *service, kern_t *kern, GError **err);
static void operators_stop(void *service);
static int on_request(struct mg_connection *conn);
static bool is_allowed(struct mg_connection *conn, const entry_page_t *page,
		       const entry_daemon_t *daemon);
static bool has_valid_key(struct mg_connection *conn, const char *key);
static int on_healthz(struct mg_connection *conn, entry_daemon_t *daemon);
static int on_readyz(struct mg_connection *conn, entry_daemon_t *daemon);
static bool is_waiting_for_claims(entry_daemon_t *daemon);
static int on_metrics(struct mg_connection *conn, entry_daemon_t *daemon);
static int on_status(struct mg_connection *conn, entry_daemon_t *daemon);
static void add_store_calls(base_buf_t *out, const entry_daemon_t *daemon);
static json_t *pool_status(const entry_pool_t *pool);

const kern_service_ops_t entry_operators_ops = { operators_start,
						 operators_stop };

/* The balancer and the metrics' collector read their pages without a key. */
static const entry_page_t pages[] = {
	{ "/healthz", on_healthz, true },
	{ "/readyz", on_readyz, true },
	{ "/metrics", on_metrics, true },
	{ "/status", on_status, false },
	{ "/rollout", entry_rollout_page, false },
	{ "/cut", entry_cut_zone_page, false },
	{ "/jobs", entry_jobs_page, false },
	{ "/jobs/explain", entry_jobs_explain_page, false },
	{ "/jobs/cancel", entry_jobs_cancel_page, false },
	{ "/jobs/release", entry_jobs_release_page, false },
};

int entry_operators_answer(struct mg_connection *conn, int status,
			   const char *type, base_str_t text)
{
	base_buf_t *out = base_buf_new(NULL);

	base_buf_addf(out,
		      "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		      "Content-Length: %zu\r\n\r\n",
		      status, mg_get_response_code_text(conn, status), type,
		      text.len);
	base_buf_add(out, text.ptr, text.len);
	mg_write(conn, out->ptr, out->len);
	talloc_free(out);
	return status;
}

static bool operators_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;

	(void)kern;
	daemon->operators_http =
		entry_listen(&daemon->settings->operators, on_request, daemon,
			     KEEP_ALIVE_MS, err);
	return daemon->operators_http != NULL;
}

static int on_request(struct mg_connection *conn)
{
	const entry_page_t *page =
		entry_page_find(pages, ARRAY_SIZE(pages), conn);
	entry_daemon_t *daemon = entry_listen_daemon(conn);

	if (!is_allowed(conn, page, daemon))
		return entry_operators_answer(
			conn, 401, "text/plain",
			BASE_STR("the operators' key is needed\n"));
	if (!page)
		return entry_operators_answer(conn, 404, "text/plain",
					      BASE_STR("no such page\n"));
	return page->serve(conn, daemon);
}

static bool is_allowed(struct mg_connection *conn, const entry_page_t *page,
		       const entry_daemon_t *daemon)
{
	return (page && page->without_key) ||
	       has_valid_key(conn, daemon->settings->operators_key);
}

/*
 * Compares without an early exit, so that the time does not reveal how much of
 * a given key is right.
 */
static bool has_valid_key(struct mg_connection *conn, const char *key)
{
	const char *given = mg_get_header(conn, "Authorization");
	size_t len = strlen(key), given_len;
	unsigned differ;

	if (!given || strncmp(given, BEARER, strlen(BEARER)))
		return false;
	given += strlen(BEARER);
	given_len = strlen(given);
	differ = given_len != len;
	for (size_t i = 0; i < given_len; i++)
		differ |= (unsigned)(given[i] ^ key[i % len]);
	return !differ;
}

static void operators_stop(void *service)
{
	entry_daemon_t *daemon = service;

	mg_stop(daemon->operators_http);
}

static int on_healthz(struct mg_connection *conn, entry_daemon_t *daemon)
{
	(void)daemon;
	return entry_operators_answer(conn, 200, "text/plain",
				      BASE_STR("alive\n"));
}

/*
 * The balancer's check.  An entry is ready when it does not drain, and has a
 * configuration, fleet records and its share of the claims.
 */
static int on_readyz(struct mg_connection *conn, entry_daemon_t *daemon)
{
	entry_view_t *view = entry_view_hold(daemon->views);
	bool configured = view->record != NULL;
	bool owned = view->has_owner_records;

	entry_view_release(view);
	if (atomic_load(&daemon->draining))
		return entry_operators_answer(conn, 503, "text/plain",
					      BASE_STR("draining\n"));
	if (!configured)
		return entry_operators_answer(conn, 503, "text/plain",
					      BASE_STR("no configuration\n"));
	if (!owned)
		return entry_operators_answer(conn, 503, "text/plain",
					      BASE_STR("no pools yet\n"));
	if (is_waiting_for_claims(daemon))
		return entry_operators_answer(conn, 503, "text/plain",
					      BASE_STR("no claims yet\n"));
	return entry_operators_answer(conn, 200, "text/plain",
				      BASE_STR("ready\n"));
}

static bool is_waiting_for_claims(entry_daemon_t *daemon)
{
	int64_t now = base_clock_mono();
	long long since = 0;

	if (atomic_load(&daemon->claims_wait_over))
		return false;
	if (!entry_claim_is_ready(daemon) &&
	    (atomic_compare_exchange_strong(&daemon->claims_wait_start, &since,
					    now) ||
	     now - since < CLAIMS_WAIT_MAX_US))
		return true;
	atomic_store(&daemon->claims_wait_over, 1);
	return false;
}

static int on_metrics(struct mg_connection *conn, entry_daemon_t *daemon)
{
	base_buf_t *out = base_buf_new(NULL);
	int status;

	base_buf_adds(out, "# TYPE cactusfield_requests_total counter\n");
	for (int i = 0; i < ENTRY_OUTCOME_MAX; i++)
		base_buf_addf(
			out,
			"cactusfield_requests_total{outcome=\"%s\"} %llu\n",
			entry_outcome_name((entry_outcome_t)i),
			(unsigned long long)atomic_load(&daemon->outcomes[i]));
	base_buf_adds(out, "# TYPE cactusfield_in_flight gauge\n");
	base_buf_addf(out, "cactusfield_in_flight %d\n",
		      atomic_load(&daemon->in_flight));
	add_store_calls(out, daemon);
	entry_metrics_route(daemon, out);
	entry_metrics_memb(daemon, out);
	entry_metrics_claim(daemon, out);
	entry_metrics_jobs(daemon, out);
	status = entry_operators_answer(conn, 200, "text/plain; version=0.0.4",
					base_buf_str(out));
	talloc_free(out);
	return status;
}

static void add_store_calls(base_buf_t *out, const entry_daemon_t *daemon)
{
	base_buf_adds(out, "# TYPE cactusfield_store_calls_total counter\n");
	for (int i = 0; i < PLAT_PURPOSE_MAX; i++) {
		plat_purpose_t purpose = (plat_purpose_t)i;
		plat_calls_t calls = plat_guard_calls(daemon->guard, purpose);
		const uint64_t values[] = { calls.made, calls.failed,
					    calls.refused };
		const char *const names[] = { "made", "failed", "refused" };

		for (size_t k = 0; k < ARRAY_SIZE(values); k++)
			base_buf_addf(out,
				      "cactusfield_store_calls_total{purpose="
				      "\"%s\",result=\"%s\"} %llu\n",
				      plat_purpose_name(purpose), names[k],
				      (unsigned long long)values[k]);
	}
}

static int on_status(struct mg_connection *conn, entry_daemon_t *daemon)
{
	entry_view_t *view = entry_view_hold(daemon->views);
	json_t *pools = json_array();
	json_t *root = json_pack("{s:s,s:s,s:s,s:b,s:i,s:b,s:b}", "entry",
				 daemon->settings->name, "zone",
				 daemon->settings->zone, "incarnation",
				 daemon->incarnation, "draining",
				 atomic_load(&daemon->draining), "in_flight",
				 atomic_load(&daemon->in_flight), "store_down",
				 atomic_load(&daemon->store_down), "list_down",
				 atomic_load(&daemon->list_down));
	char *text;
	int status;

	if (view->record) {
		json_object_set_new(root, "generation",
				    json_integer(view->record->generation));
		json_object_set_new(root, "change",
				    json_stringn(view->record->change.ptr,
						 view->record->change.len));
	}
	for (size_t i = 0; i < view->pool_count; i++)
		json_array_append_new(pools, pool_status(&view->pools[i]));
	json_object_set_new(root, "pools", pools);
	entry_view_release(view);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	status = entry_operators_answer(conn, 200, "application/json",
					base_str(text));
	free(text);
	return status;
}

static json_t *pool_status(const entry_pool_t *pool)
{
	json_t *leaving = json_array();

	for (size_t i = 0; i < pool->endpoint_count; i++) {
		const entry_endpoint_t *endpoint = &pool->endpoints[i];

		if (endpoint->state != PLAT_LIVE)
			json_array_append_new(leaving,
					      json_string(endpoint->id));
	}
	return json_pack("{s:s%,s:I,s:i,s:I,s:i,s:o}", "name",
			 pool->conf->name.ptr, pool->conf->name.len,
			 "executors", (json_int_t)pool->conf->executors, "live",
			 entry_pool_live_count(pool), "min_up",
			 (json_int_t)pool->conf->budget.min_up, "room",
			 entry_pool_headroom(pool), "leaving", leaving);
}
