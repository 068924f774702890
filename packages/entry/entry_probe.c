#include "entry_int.h"

/*
 * Probes this entry's share of the endpoints: GET /healthz, whose status and
 * X-Instance-State header are the endpoint's own word.  Other zones have
 * threads of their own, so that a zone that is cut off and lets connections
 * hang delays no probe of the own one.
 *
 * A probe goes out on a kept connection where there is one.  That such a one
 * was closed says nothing about the endpoint, so a fresh one has the last
 * word.
 */

#define PERIOD_US (100 * BASE_MS)
#define ANSWER_WAIT_US (1 * BASE_SEC)
#define AGAIN_WITHIN_US (ANSWER_WAIT_US / 2) /* later it was no stale one */
#define ANSWER_BYTES_MAX 4096
#define PROBE_POOL 4096 /* bytes at once for one probe */

static bool probe_start(void *service, kern_t *kern, GError **err);
static void probe_stop(void *service);
static void probe_near(void *arg, int64_t now);
static void probe_far(void *arg, int64_t now);
static void probe_due(entry_daemon_t *daemon, bool own_zone);
static route_probe_t probe(entry_forward_t *forward, const entry_probe_t *due);
static route_probe_t read_state(const entry_message_t *answer);

const kern_service_ops_t entry_probe_ops = { probe_start, probe_stop };

static void (*const ticks[ENTRY_PROBE_DUTIES])(void *, int64_t) = {
	probe_near,
	probe_far,
	probe_far,
};

static bool probe_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	kern_duty_options_t options = { .name = "probe",
					.period_us = PERIOD_US,
					.ring_size = 8,
					.arg = daemon };

	(void)kern;
	for (size_t i = 0; i < ENTRY_PROBE_DUTIES; i++) {
		options.tick = ticks[i];
		daemon->probes[i] = kern_duty_start(NULL, &options, err);
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
			kern_duty_stop(daemon->probes[i]);
		talloc_free(daemon->probes[i]);
		daemon->probes[i] = NULL;
	}
}

static void probe_near(void *arg, int64_t now)
{
	(void)now;
	probe_due(arg, true);
}

static void probe_far(void *arg, int64_t now)
{
	(void)now;
	probe_due(arg, false);
}

static void probe_due(entry_daemon_t *daemon, bool own_zone)
{
	void *ctx = talloc_new(NULL);
	entry_probe_t due[ENTRY_PROBES_MAX];
	size_t n = entry_route_probes(daemon->route, ctx, own_zone, due,
				      ENTRY_PROBES_MAX);

	for (size_t i = 0; i < n; i++) {
		const entry_endpoint_t *endpoint = &due[i].endpoint;
		route_probe_t result = probe(daemon->forward, &due[i]);

		entry_route_probed(daemon->route, endpoint, result);
		if (result == ROUTE_PROBE_LEAVING)
			entry_leaving_heard(daemon, endpoint->id,
					    endpoint->incarnation, true);
	}
	talloc_free(ctx);
}

static route_probe_t probe(entry_forward_t *forward, const entry_probe_t *due)
{
	void *ctx = talloc_pool(NULL, PROBE_POOL);
	entry_request_t *request = talloc_zero(ctx, entry_request_t);
	entry_forward_options_t options = { .endpoint = &due->endpoint,
					    .request = request,
					    .answer_max = ANSWER_BYTES_MAX,
					    .connections = due->connections };
	entry_message_t answer = { 0 };
	route_probe_t result;

	entry_id_make(request->id);
	g_strlcpy(request->caller, "probe", sizeof(request->caller));
	request->method = "GET";
	request->target = talloc_strdup(request, "/healthz");
	request->message.body = base_buf_new(request);
	request->arrived = base_clock_mono();
	request->deadline = request->arrived + ANSWER_WAIT_US;
	entry_forward_send(forward, ctx, &options, &answer);
	if (!answer.status &&
	    base_clock_mono() - request->arrived < AGAIN_WITHIN_US) {
		options.fresh = true;
		entry_forward_send(forward, ctx, &options, &answer);
	}
	result = read_state(&answer);
	talloc_free(ctx);
	return result;
}

/* The status is 0 where no answer came. */
static route_probe_t read_state(const entry_message_t *answer)
{
	const char *state = entry_header(answer, "X-Instance-State");

	if (state && !g_ascii_strcasecmp(state, "leaving"))
		return ROUTE_PROBE_LEAVING;
	return answer->status && answer->status < 500 ? ROUTE_PROBE_OK
						      : ROUTE_PROBE_FAILED;
}
