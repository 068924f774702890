#include <jansson.h>

#include "entry_memb.h"

/*
 * Pages and metrics of the operators' port about membership and the spread of
 * the configuration.
 */

static void add_flows(base_buf_t *out, const peer_stats_t *stats);
static json_t *member_json(const memb_record_t *rec);
static json_t *held_json(const entry_shared_config_t *held);

static const char *const update_kind_names[SITE_UPDATE_MAX] = {
	[SITE_UPDATE_KNOWN] = "known",
	[SITE_UPDATE_DELTAS] = "deltas",
	[SITE_UPDATE_FULL] = "whole",
};

int entry_rollout_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	entry_memb_t *memb = daemon->memb;
	json_t *members = json_array();
	json_t *root;
	char *text;
	int status;

	pthread_mutex_lock(&memb->lock);
	for (size_t i = 0; i < memb_count(memb->core); i++)
		json_array_append_new(members,
				      member_json(memb_at(memb->core, i)));
	root = json_pack("{s:s,s:s,s:b,s:b,s:o,s:o}", "entry",
			 daemon->settings->name, "zone", daemon->settings->zone,
			 "watches", memb_is_watcher(memb->core), "sure",
			 memb_is_confirmed(memb->core, base_clock_mono()),
			 "config", held_json(&memb->shared_config), "members",
			 members);
	pthread_mutex_unlock(&memb->lock);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	status = entry_operators_answer(conn, 200, "application/json",
					base_str(text));
	free(text);
	return status;
}

/*
 * /cut?zone=NAME&on=1 drops all messages to and from a zone, on=0 ends that.
 * For tests; only if the settings allow it.
 */
int entry_cut_zone_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	const char *query = mg_get_request_info(conn)->query_string;
	size_t len = query ? strlen(query) : 0;
	char zone[MEMB_NAME_MAX + 1], on[4];

	if (!daemon->settings->test_cuts)
		return entry_operators_answer(
			conn, 404, "text/plain",
			BASE_STR("test_cuts is not set\n"));
	if (mg_get_var(query, len, "zone", zone, sizeof(zone)) <= 0 ||
	    mg_get_var(query, len, "on", on, sizeof(on)) != 1)
		return entry_operators_answer(
			conn, 400, "text/plain",
			BASE_STR("zone=NAME and on=0 or on=1 are required\n"));
	peer_block_zone(daemon->memb->peer, zone, on[0] == '1');
	return entry_operators_answer(conn, 200, "text/plain",
				      BASE_STR("done\n"));
}

void entry_metrics_memb(entry_daemon_t *daemon, base_buf_t *out)
{
	entry_memb_t *memb = daemon->memb;
	peer_stats_t stats = peer_stats(memb->peer);
	uint64_t events[MEMB_EVENT_MAX];

	pthread_mutex_lock(&memb->lock);
	memcpy(events, memb->events, sizeof(events));
	pthread_mutex_unlock(&memb->lock);
	base_buf_adds(out, "# TYPE cactusfield_member_events_total counter\n");
	for (int i = 0; i < MEMB_EVENT_MAX; i++)
		base_buf_addf(
			out,
			"cactusfield_member_events_total{event=\"%s\"} %llu\n",
			memb_event_name((memb_event_t)i),
			(unsigned long long)events[i]);
	base_buf_addf(out,
		      "# TYPE cactusfield_peer_messages_total counter\n"
		      "cactusfield_peer_messages_total{way=\"out\"} %llu\n"
		      "cactusfield_peer_messages_total{way=\"in\"} %llu\n"
		      "# TYPE cactusfield_peer_bytes_total counter\n"
		      "cactusfield_peer_bytes_total{way=\"out\"} %llu\n"
		      "cactusfield_peer_bytes_total{way=\"in\"} %llu\n",
		      (unsigned long long)stats.calls_out,
		      (unsigned long long)stats.calls_in,
		      (unsigned long long)stats.bytes_out,
		      (unsigned long long)stats.bytes_in);
	add_flows(out, &stats);
	base_buf_addf(
		out,
		"# TYPE cactusfield_config_pulled_total counter\n"
		"cactusfield_config_pulled_total{what=\"whole\"} %llu\n"
		"cactusfield_config_pulled_total{what=\"parts\"} %llu\n",
		(unsigned long long)atomic_load(&memb->pull_counts[false]),
		(unsigned long long)atomic_load(&memb->pull_counts[true]));
	base_buf_adds(out, "# TYPE cactusfield_config_read_total counter\n");
	for (int i = SITE_UPDATE_NONE + 1; i < SITE_UPDATE_MAX; i++)
		base_buf_addf(
			out,
			"cactusfield_config_read_total{what=\"%s\"} %llu\n",
			update_kind_names[i],
			(unsigned long long)atomic_load(
				&daemon->config_read_counts[i]));
	base_buf_addf(out,
		      "# TYPE cactusfield_peer_refused_total counter\n"
		      "cactusfield_peer_refused_total{why=\"code\"} %llu\n"
		      "cactusfield_peer_refused_total{why=\"life\"} %llu\n"
		      "cactusfield_peer_refused_total{why=\"replay\"} %llu\n"
		      "cactusfield_peer_refused_total{why=\"cut\"} %llu\n",
		      (unsigned long long)stats.refused_mac,
		      (unsigned long long)stats.refused_life,
		      (unsigned long long)stats.refused_replay,
		      (unsigned long long)stats.blocked);
}

static void add_flows(base_buf_t *out, const peer_stats_t *stats)
{
	static const char *const ways[PEER_DIRECTION_MAX] = { "out", "in" };
	static const char *const names[] = { "messages", "bytes" };

	for (size_t n = 0; n < ARRAY_SIZE(names); n++) {
		base_buf_addf(out,
			      "# TYPE cactusfield_peer_proc_%s_total counter\n",
			      names[n]);
		for (int i = 0; i < PEER_PROC_MAX * PEER_DIRECTION_MAX; i++) {
			peer_proc_t proc =
				(peer_proc_t)(i / PEER_DIRECTION_MAX);
			int way = i % PEER_DIRECTION_MAX;
			const peer_flow_t *flow = &stats->flows[proc][way];

			base_buf_addf(out,
				      "cactusfield_peer_proc_%s_total"
				      "{proc=\"%s\",way=\"%s\"} %llu\n",
				      names[n], peer_proc_name(proc), ways[way],
				      (unsigned long long)(n ? flow->bytes
							     : flow->messages));
		}
	}
}

static json_t *member_json(const memb_record_t *rec)
{
	peer_addr_t addr = { rec->addr.ip, rec->addr.port };
	char text[PEER_ADDR_LEN];

	peer_addr_format(addr, text);
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b}", "id", rec->id,
			 "zone", rec->zone, "address", text, "state",
			 memb_state_name(rec->state), "incarnation",
			 (json_int_t)rec->incarnation, "generation",
			 (json_int_t)rec->generation, "in_force_us",
			 (json_int_t)rec->in_force_wall_us, "epoch",
			 (json_int_t)rec->epoch, "sealed", rec->sealed);
}

static json_t *held_json(const entry_shared_config_t *held)
{
	const entry_view_t *view = held->view;
	char digest[17];

	if (!view)
		return json_null();
	snprintf(digest, sizeof(digest), "%016llx",
		 (unsigned long long)held->digest);
	return json_pack("{s:I,s:s%,s:s,s:s,s:I,s:I,s:I}", "generation",
			 (json_int_t)view->record->generation, "change",
			 view->record->change.ptr, view->record->change.len,
			 "digest", digest, "source", held->source, "heard_us",
			 (json_int_t)held->first_heard_at, "in_force_us",
			 (json_int_t)held->in_force_at, "bytes",
			 (json_int_t)view->text.len);
}
