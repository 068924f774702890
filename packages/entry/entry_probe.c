#include "entry_int.h"

/*
 * Probes this entry's share of the endpoints with GET /healthz.  The endpoint
 * reports its state by the status and the X-Instance-State header.  Endpoints
 * of other zones are probed by separate threads, so that a zone that is cut off
 * and lets connections hang does not delay probes in the own zone.
 *
 * A probe uses a kept connection if there is one.  A kept connection that was
 * closed says nothing about the endpoint, so a probe that fails soon is
 * repeated on a new connection.
 */

#define PERIOD_US (100 * BASE_MS)
#define ANSWER_WAIT_US (1 * BASE_SEC)
/*
 * A kept connection that was closed fails sooner than this; a later failure is
 * the endpoint's.
 */
#define RETRY_WITHIN_US (ANSWER_WAIT_US / 2)
#define ANSWER_BYTES_MAX 4096
#define PROBE_POOL 4096 /* bytes of a probe's talloc pool */

static bool probe_start(void *service, kern_t *kern, GError **err);
static void probe_stop(void *service);
static void probe_own_zone(void *arg, int64_t now);
static void probe_other_zones(void *arg, int64_t now);
static void probe_due(entry_daemon_t *daemon, bool own_zone);
static route_probe_result_t probe(entry_forward_t *forward,
				  const entry_probe_t *due);
static route_probe_result_t read_state(const entry_message_t *answer);

const kern_service_ops_t entry_probe_ops = { probe_start, probe_stop };

static void (*const ticks[ENTRY_PROBE_DUTIES])(void *, int64_t) = {
	probe_own_zone,
	probe_other_zones,
	probe_other_zones,
};

static bool probe_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	kern_thread_options_t options = { .name = "probe",
					  .period_us = PERIOD_US,
					  .ring_size = 8,
					  .arg = daemon };

	(void)kern;
	for (size_t i = 0; i < ENTRY_PROBE_DUTIES; i++) {
		options.tick = ticks[i];
		daemon->probes[i] = kern_thread_start(NULL, &options, err);
		if (!daemon->probes[i]) {
			probe_stop(daemon);
			return false;
		}
	}
	return true;
}

static void probe_stop(void *service)
{
	entry_daemon_t *daemon = service;

	for (size_t i = 0; i < ENTRY_PROBE_DUTIES; i++) {
		if (daemon->probes[i])
			kern_thread_stop(daemon->probes[i]);
		talloc_free(daemon->probes[i]);
		daemon->probes[i] = NULL;
	}
}

static void probe_own_zone(void *arg, int64_t now)
{
	(void)now;
	probe_due(arg, true);
}

static void probe_other_zones(void *arg, int64_t now)
{
	(void)now;
	probe_due(arg, false);
}

static void probe_due(entry_daemon_t *daemon, bool own_zone)
{
	void *ctx = talloc_new(NULL);
	entry_probe_t due[ENTRY_PROBES_MAX];
	size_t n = entry_route_take_due_probes(daemon->route, ctx, own_zone,
					       due, ENTRY_PROBES_MAX);

	for (size_t i = 0; i < n; i++) {
		const entry_endpoint_t *endpoint = &due[i].endpoint;
		route_probe_result_t result = probe(daemon->forward, &due[i]);

		entry_route_probe_done(daemon->route, endpoint, result);
		if (result == ROUTE_PROBE_LEAVING)
			entry_leaving_notify(daemon, endpoint->id,
					     endpoint->incarnation, true);
	}
	talloc_free(ctx);
}

static route_probe_result_t probe(entry_forward_t *forward,
				  const entry_probe_t *due)
{
	void *ctx = talloc_pool(NULL, PROBE_POOL);
	entry_request_t *request = talloc_zero(ctx, entry_request_t);
	entry_forward_options_t options = { .endpoint = &due->endpoint,
					    .request = request,
					    .answer_max = ANSWER_BYTES_MAX,
					    .connection_limit =
						    due->connection_limit };
	entry_message_t answer = { 0 };
	route_probe_result_t result;

	entry_id_make(request->id);
	g_strlcpy(request->caller, "probe", sizeof(request->caller));
	request->method = "GET";
	request->target = talloc_strdup(request, "/healthz");
	request->message.body = base_buf_new(request);
	request->arrived = base_clock_mono();
	request->deadline = request->arrived + ANSWER_WAIT_US;
	entry_forward_send(forward, ctx, &options, &answer);
	if (!answer.status &&
	    base_clock_mono() - request->arrived < RETRY_WITHIN_US) {
		options.new_connection = true;
		entry_forward_send(forward, ctx, &options, &answer);
	}
	result = read_state(&answer);
	talloc_free(ctx);
	return result;
}

/* Result of a probe; the status of "answer" is 0 if there was no answer. */
static route_probe_result_t read_state(const entry_message_t *answer)
{
	const char *state = entry_header(answer, "X-Instance-State");

	if (state && !g_ascii_strcasecmp(state, "leaving"))
		return ROUTE_PROBE_LEAVING;
	return answer->status && answer->status < 500 ? ROUTE_PROBE_OK
						      : ROUTE_PROBE_FAILED;
}
