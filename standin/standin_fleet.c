#include "standin_int.h"

#define WATCH_INTERVAL_US (50 * BASE_MS)

/*
 * The instance list with its lag, the switches, the reboot action and the
 * records of the endpoints' runs.
 */

static const char *const mode_names[MODE_MAX] = {
	[MODE_OK] = "ok",
	[MODE_FAIL] = "fail",
	[MODE_REFUSE] = "refuse",
	[MODE_TRUNCATE] = "cut",
	[MODE_DROP_ANSWER] = "reset",
	[MODE_HANG] = "hang",
};

static int on_list(struct mg_connection *conn, void *arg);
static int on_switch(struct mg_connection *conn, void *arg);
static int on_records(struct mg_connection *conn, void *arg);
static int on_reset(struct mg_connection *conn, void *arg);
static int on_watch(struct mg_connection *conn, standin_t *s, const char *zone,
		    int64_t since);
static bool in_zone(const standin_t *s, const instance_t *instance,
		    const char *zone);
static json_t *slice_json(const standin_t *s, const instance_t *instance);
static void apply_due_changes(standin_t *s, int64_t now);
static instance_t *find_instance(standin_t *s, const char *id);
static bool switch_instance(standin_t *s, const char *id, const char *mode);
static void schedule_listing(standin_t *s, instance_t *instance);
static void set_leaving(standin_t *s, instance_t *instance, bool leaving);

void fleet_serve(struct mg_context *ctx, standin_t *s)
{
	mg_set_request_handler(ctx, "/apis/discovery.k8s.io/v1/endpointslices",
			       on_list, s);
	mg_set_request_handler(ctx, "/switch", on_switch, s);
	mg_set_request_handler(ctx, "/records", on_records, s);
	mg_set_request_handler(ctx, "/redfish/v1/Systems/", on_reset, s);
}

static int on_list(struct mg_connection *conn, void *arg)
{
	standin_t *s = arg;
	json_t *items = json_array();
	char selector[ID_MAX * 2], version[24], watch[8];
	const char *zone = NULL;

	if (s->list_down || zone_is_isolated(s, conn)) {
		json_decref(items);
		return close_unanswered(conn);
	}
	query_param(conn, "labelSelector", selector, sizeof(selector));
	if (!strncmp(selector, "zone=", 5))
		zone = selector + 5;
	query_param(conn, "watch", watch, sizeof(watch));
	query_param(conn, "resourceVersion", version, sizeof(version));
	if (watch[0]) {
		json_decref(items);
		return on_watch(conn, s, zone, atoll(version));
	}
	pthread_mutex_lock(&s->lock);
	apply_due_changes(s, base_clock_mono());
	for (int i = 0; i < s->instance_count; i++) {
		instance_t *instance = &s->instances[i];

		if (!instance->listed_down && in_zone(s, instance, zone))
			json_array_append_new(items, slice_json(s, instance));
	}
	snprintf(version, sizeof(version), "%lld", (long long)s->list_revision);
	pthread_mutex_unlock(&s->lock);
	return reply_json(
		conn, 200,
		json_pack("{s:s,s:s,s:{s:s},s:o}", "kind", "EndpointSliceList",
			  "apiVersion", "discovery.k8s.io/v1", "metadata",
			  "resourceVersion", version, "items", items));
}

/* Sends changes after revision "since" for the requested time. */
static int on_watch(struct mg_connection *conn, standin_t *s, const char *zone,
		    int64_t since)
{
	int64_t ends_at;
	char seconds[8];

	query_param(conn, "timeoutSeconds", seconds, sizeof(seconds));
	ends_at = base_clock_mono() + atoll(seconds) * BASE_SEC;
	mg_printf(conn, "HTTP/1.1 200 OK\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
	while (base_clock_mono() < ends_at && !s->list_down) {
		GString *lines = g_string_new("");
		int64_t newest = since;

		pthread_mutex_lock(&s->lock);
		apply_due_changes(s, base_clock_mono());
		for (int i = 0; i < s->instance_count; i++) {
			instance_t *instance = &s->instances[i];
			json_t *event;
			char *text;

			if (instance->listed_revision <= since ||
			    !in_zone(s, instance, zone))
				continue;
			event = json_pack("{s:s,s:o}", "type",
					  instance->listed_down ? "DELETED"
								: "MODIFIED",
					  "object", slice_json(s, instance));
			text = json_dumps(event, JSON_COMPACT);
			g_string_append_printf(lines, "%s\n", text);
			free(text);
			json_decref(event);
			newest = MAX(newest, instance->listed_revision);
		}
		pthread_mutex_unlock(&s->lock);
		if (lines->len)
			mg_send_chunk(conn, lines->str, (unsigned)lines->len);
		g_string_free(lines, TRUE);
		since = newest;
		base_clock_sleep(WATCH_INTERVAL_US);
	}
	mg_send_chunk(conn, "", 0);
	return 200;
}

static bool in_zone(const standin_t *s, const instance_t *instance,
		    const char *zone)
{
	return !zone || !strcmp(zone, s->zones[instance->zone].name);
}

static json_t *slice_json(const standin_t *s, const instance_t *instance)
{
	char uid[16], rack[ID_MAX + 16], version[24];

	snprintf(version, sizeof(version), "%lld",
		 (long long)instance->listed_revision);
	snprintf(uid, sizeof(uid), "%d", instance->listed_incarnation);
	snprintf(rack, sizeof(rack), "%s-r%d", s->zones[instance->zone].name,
		 instance->rack);
	return json_pack(
		"{s:{s:s,s:s},s:s,s:[{s:i}],s:[{s:[s],s:s,s:{s:s,s:s},s:{s:s},"
		"s:{s:b,s:b}}]}",
		"metadata", "name", instance->id, "resourceVersion", version,
		"addressType", "IPv4", "ports", "port",
		s->base_port + (int)(instance - s->instances), "endpoints",
		"addresses", "127.0.0.1", "zone", s->zones[instance->zone].name,
		"targetRef", "name", instance->id, "uid", uid,
		"deprecatedTopology", "rack", rack, "conditions", "ready",
		!instance->listed_leaving, "terminating",
		instance->listed_leaving);
}

/* Ends reboots that are due and applies due changes to the list. */
static void apply_due_changes(standin_t *s, int64_t now)
{
	for (int i = 0; i < s->instance_count; i++) {
		instance_t *instance = &s->instances[i];

		if (instance->reboot_ends_at &&
		    instance->reboot_ends_at <= now) {
			instance->reboot_ends_at = 0;
			instance->is_down = false;
			instance->incarnation++;
			set_leaving(s, instance, false);
		}
		if (instance->listed_at && instance->listed_at <= now) {
			instance->listed_at = 0;
			instance->listed_revision = ++s->list_revision;
			instance->listed_leaving = instance->leaving;
			instance->listed_down = instance->is_down;
			instance->listed_incarnation = instance->incarnation;
		}
	}
}

static int on_switch(struct mg_connection *conn, void *arg)
{
	static const char *const store_names[] = { "store", "store_slow_ms",
						   "store_lose",
						   "store_drop_writes" };
	standin_t *s = arg;
	char value[ID_MAX], mode[ID_MAX];
	bool done = false;

	for (size_t i = 0; i < ARRAY_SIZE(store_names); i++) {
		query_param(conn, store_names[i], value, sizeof(value));
		if (value[0])
			done |= store_set_switch(store_names[i], value);
	}
	pthread_mutex_lock(&s->lock);
	query_param(conn, "list", value, sizeof(value));
	if (value[0]) {
		s->list_down = !strcmp(value, "down");
		done = true;
	}
	query_param(conn, "lag_ms", value, sizeof(value));
	if (value[0]) {
		s->lag_us = atoll(value) * BASE_MS;
		done = true;
	}
	query_param(conn, "reboot_ms", value, sizeof(value));
	if (value[0]) {
		s->reboot_us = atoll(value) * BASE_MS;
		done = true;
	}
	query_param(conn, "cut", value, sizeof(value));
	query_param(conn, "heal", mode, sizeof(mode));
	for (int z = 0; z < s->zone_count; z++) {
		if (!strcmp(s->zones[z].name, value))
			s->zones[z].is_isolated = done = true;
		if (!strcmp(s->zones[z].name, mode)) {
			s->zones[z].is_isolated = false;
			done = true;
		}
	}
	query_param(conn, "instance", value, sizeof(value));
	query_param(conn, "mode", mode, sizeof(mode));
	if (value[0])
		done |= switch_instance(s, value, mode);
	pthread_mutex_unlock(&s->lock);
	return reply_json(conn, done ? 200 : 404,
			  json_pack("{s:b}", "done", done));
}

static bool switch_instance(standin_t *s, const char *id, const char *mode)
{
	instance_t *instance = find_instance(s, id);

	if (!instance)
		return false;
	for (int m = 0; m < MODE_MAX; m++)
		if (!strcmp(mode, mode_names[m])) {
			instance->mode = (endpoint_mode_t)m;
			return true;
		}
	if (!strncmp(mode, "slow:", 5))
		instance->extra_us = atoll(mode + 5) * BASE_MS;
	else if (!strncmp(mode, "slots:", 6))
		instance->slots = atoi(mode + 6);
	else if (!strcmp(mode, "leaving"))
		set_leaving(s, instance, true);
	else if (!strcmp(mode, "back"))
		set_leaving(s, instance, false);
	else if (!strcmp(mode, "gone"))
		instance->is_down = true;
	else
		return false;
	schedule_listing(s, instance);
	return true;
}

static void set_leaving(standin_t *s, instance_t *instance, bool leaving)
{
	instance->leaving = leaving;
	instance->leaving_since = leaving ? base_clock_mono() : 0;
	schedule_listing(s, instance);
}

static void schedule_listing(standin_t *s, instance_t *instance)
{
	instance->listed_at = base_clock_mono() + s->lag_us + 1;
}

static instance_t *find_instance(standin_t *s, const char *id)
{
	for (int i = 0; i < s->instance_count; i++)
		if (!strcmp(s->instances[i].id, id))
			return &s->instances[i];
	return NULL;
}

/* Redfish: POST /redfish/v1/Systems/ID/Actions/ComputerSystem.Reset */
static int on_reset(struct mg_connection *conn, void *arg)
{
	standin_t *s = arg;
	const char *path = mg_get_request_info(conn)->local_uri;
	const char *match = mg_get_header(conn, "If-Match");
	char id[ID_MAX] = "";
	instance_t *instance;
	int status = 404;

	sscanf(path, "/redfish/v1/Systems/%63[^/]", id);
	talloc_free(read_body(conn));
	if (zone_is_isolated(s, conn))
		return close_unanswered(conn);
	pthread_mutex_lock(&s->lock);
	instance = find_instance(s, id);
	if (instance)
		status = 200;
	if (instance && match && atoi(match + 1) != instance->incarnation)
		status = 412; /* another incarnation */
	else if (instance && !instance->reboot_ends_at) {
		instance->reboot_ends_at = base_clock_mono() + s->reboot_us;
		instance->is_down = true;
		schedule_listing(s, instance);
		for (size_t i = 0; i < s->run_count; i++)
			if (&s->instances[s->runs[i].instance] == instance &&
			    !s->runs[i].ended_at)
				s->runs[i].interrupted = true;
	}
	pthread_mutex_unlock(&s->lock);
	return reply_json(conn, status, json_object());
}

static int on_records(struct mg_connection *conn, void *arg)
{
	standin_t *s = arg;
	json_t *runs = json_array();

	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < s->run_count; i++) {
		const run_t *run = &s->runs[i];

		json_array_append_new(
			runs,
			json_pack("{s:s,s:i,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b}",
				  "instance", s->instances[run->instance].id,
				  "incarnation", run->incarnation, "request",
				  run->request, "key", run->key, "caller",
				  run->caller, "service", run->service, "began",
				  run->started_at, "ended", run->ended_at,
				  "leaving_us", run->leaving_us, "interrupted",
				  run->interrupted));
	}
	pthread_mutex_unlock(&s->lock);
	return reply_json(conn, 200, json_pack("{s:o}", "runs", runs));
}
