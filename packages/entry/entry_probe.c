#include "entry_int.h"

/*
 * Probes this entry's share of the endpoints: GET /healthz, whose status and
 * X-Instance-State header are the endpoint's own word.  Other zones have
 * threads of their own, so that a zone that is cut off and lets connections
 * hang delays no probe of the own one.
 */

#define PERIOD_US (100 * BASE_MS)
#define ANSWER_WAIT_MS 1000
#define ERROR_TEXT_MAX 160 /* bytes */

static bool probe_start(void *service, kern_t *kern, GError **err);
static void probe_stop(void *service);
static void probe_near(void *arg, int64_t now);
static void probe_far(void *arg, int64_t now);
static void probe_due(entry_daemon_t *daemon, bool own_zone);
static route_probe_t probe(const entry_endpoint_t *endpoint);
static route_probe_t read_state(struct mg_connection *conn);

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
	entry_endpoint_t due[ENTRY_PROBES_MAX];
	size_t n = entry_route_probes(daemon->route, ctx, own_zone, due,
				      ENTRY_PROBES_MAX);

	for (size_t i = 0; i < n; i++) {
		route_probe_t result = probe(&due[i]);

		entry_route_probed(daemon->route, &due[i], result);
		if (result == ROUTE_PROBE_LEAVING)
			entry_leaving_heard(daemon, due[i].id,
					    due[i].incarnation, true);
	}
	talloc_free(ctx);
}

static route_probe_t probe(const entry_endpoint_t *endpoint)
{
	struct mg_connection *conn;
	route_probe_t result = ROUTE_PROBE_FAILED;
	char text[ERROR_TEXT_MAX];

	conn = mg_connect_client(endpoint->address, endpoint->port, 0, text,
				 sizeof(text));
	if (!conn)
		return ROUTE_PROBE_FAILED;
	if (mg_printf(conn,
		      "GET /healthz HTTP/1.1\r\nHost: %s:%d\r\n"
		      "Connection: close\r\n\r\n",
		      endpoint->address, endpoint->port) > 0 &&
	    mg_get_response(conn, text, sizeof(text), ANSWER_WAIT_MS) >= 0)
		result = read_state(conn);
	mg_close_connection(conn);
	return result;
}

static route_probe_t read_state(struct mg_connection *conn)
{
	const char *state = mg_get_header(conn, "X-Instance-State");
	int status = mg_get_response_info(conn)->status_code;

	if (state && !g_ascii_strcasecmp(state, "leaving"))
		return ROUTE_PROBE_LEAVING;
	return status < 500 ? ROUTE_PROBE_OK : ROUTE_PROBE_FAILED;
}
