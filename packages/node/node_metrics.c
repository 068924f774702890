#include "node_int.h"

struct node_metrics {
	uint64_t counts[NODE_COUNT_MAX];
	base_hist_t *times[NODE_TIME_MAX];
};

static const char *const count_names[NODE_COUNT_MAX] = {
	[NODE_COUNT_SUBMIT_ACCEPTED] = "submits{outcome=\"accepted\"}",
	[NODE_COUNT_SUBMIT_REFUSED] = "submits{outcome=\"refused\"}",
	[NODE_COUNT_SUBMIT_UNKNOWN] = "submits{outcome=\"unknown\"}",
	[NODE_COUNT_STATE] = "requests{ask=\"state\"}",
	[NODE_COUNT_CANCEL] = "requests{ask=\"cancel\"}",
	[NODE_COUNT_STORE_READ] = "store_calls{purpose=\"read\"}",
	[NODE_COUNT_STORE_WATCH] = "store_calls{purpose=\"watch\"}",
	[NODE_COUNT_STORE_CHANGE] = "store_calls{purpose=\"change\"}",
	[NODE_COUNT_STORE_LEASE] = "store_calls{purpose=\"lease\"}",
	[NODE_COUNT_STORE_FAILED] = "store_calls_failed",
	[NODE_COUNT_POLL] = "worker_calls{purpose=\"look\"}",
	[NODE_COUNT_ORDER] = "worker_calls{purpose=\"order\"}",
	[NODE_COUNT_FORWARD] = "forwards",
	[NODE_COUNT_TRY_UNDECIDED] = "tries_undecided",
	[NODE_COUNT_REFUSED_AGAIN] = "refusals_given_again",
	[NODE_COUNT_REFUSAL_UNSURE] = "refusals_told_unknown",
	[NODE_COUNT_INSTANCE_LIST] = "instance_lists",
	[NODE_COUNT_ADVICE] = "advice_calls",
	[NODE_COUNT_ADVICE_ANSWERED] = "advice_answered",
	[NODE_COUNT_ADVICE_REFUSED] = "advice_refused",
	[NODE_COUNT_ADVICE_UNANSWERED] = "advice_unanswered",
	[NODE_COUNT_LOG_DROPPED] = "log_lines_dropped",
	[NODE_COUNT_WORKER_UNREADABLE] = "worker_entries_unreadable",
	[NODE_COUNT_WORKER_DROPPED] = "workers_dropped",
	[NODE_COUNT_END_UNMATCHED] = "ends_unmatched",
	[NODE_COUNT_ENDS_TRUNCATED] = "end_lists_truncated",
	[NODE_COUNT_KEY_MISSING] = "key_refusals{why=\"no key\"}",
	[NODE_COUNT_KEY_UNKNOWN] = "key_refusals{why=\"unknown key\"}",
	[NODE_COUNT_KEY_STALE] = "key_refusals{why=\"configuration too old\"}",
};

static const char *const time_names[NODE_TIME_MAX] = {
	[NODE_TIME_SUBMIT] = "submit",
	[NODE_TIME_STATE] = "state",
	[NODE_TIME_CANCEL] = "cancel",
	[NODE_TIME_PENDING] = "pending",
	[NODE_TIME_STORE_READ] = "store_read",
	[NODE_TIME_STORE_CHANGE] = "store_change",
	[NODE_TIME_STORE_LEASE] = "store_lease",
	[NODE_TIME_COMMIT] = "commit",
	[NODE_TIME_POLL_GAP] = "look_gap",
	[NODE_TIME_ORDER] = "order",
};

struct node_metrics *node_metrics_new(const void *ctx)
{
	struct node_metrics *metrics = talloc_zero(ctx, struct node_metrics);
	int i;

	for (i = 0; i < NODE_TIME_MAX; i++)
		metrics->times[i] = base_hist_new(metrics);
	return metrics;
}

void node_metrics_count(node_t *node, node_count_t what)
{
	node->metrics->counts[what]++;
}

void node_metrics_add_time(node_t *node, node_time_t what, int64_t took)
{
	base_hist_add(node->metrics->times[what], took);
}

uint64_t node_store_calls(const node_t *node)
{
	const uint64_t *counts = node->metrics->counts;

	return counts[NODE_COUNT_STORE_READ] + counts[NODE_COUNT_STORE_WATCH] +
	       counts[NODE_COUNT_STORE_CHANGE] + counts[NODE_COUNT_STORE_LEASE];
}

/* Upper bounds, from below an answer of the store (4 ms) to longer than any
 * caller waits. */
static const int64_t buckets[] = {
	2 * BASE_MS,  5 * BASE_MS,   10 * BASE_MS,  20 * BASE_MS,
	50 * BASE_MS, 100 * BASE_MS, 200 * BASE_MS, 500 * BASE_MS,
	1 * BASE_SEC, 2 * BASE_SEC,  5 * BASE_SEC,  10 * BASE_SEC,
};

static void add_bucket(base_buf_t *out, const char *name, const char *bound,
		       uint64_t count)
{
	base_buf_addf(out,
		      "cactusfield_seconds_bucket{of=\"%s\",le=\"%s\"} %llu\n",
		      name, bound, (unsigned long long)count);
}

static void add_time(base_buf_t *out, const char *name, const base_hist_t *hist)
{
	char bound[24];
	size_t i;

	for (i = 0; i < ARRAY_SIZE(buckets); i++) {
		g_snprintf(bound, sizeof(bound), "%g",
			   (double)buckets[i] / BASE_SEC);
		add_bucket(out, name, bound, base_hist_below(hist, buckets[i]));
	}
	add_bucket(out, name, "+Inf", base_hist_count(hist));
	base_buf_addf(out,
		      "cactusfield_seconds_sum{of=\"%s\"} %.6f\n"
		      "cactusfield_seconds_count{of=\"%s\"} %llu\n",
		      name, (double)base_hist_sum(hist) / BASE_SEC, name,
		      (unsigned long long)base_hist_count(hist));
}

static void add_age(base_buf_t *out, const char *of, int64_t age)
{
	base_buf_addf(out, "cactusfield_age_seconds{of=\"%s\"} %.3f\n", of,
		      (double)age / BASE_SEC);
}

static void add_poll_age(void *arg, const char *worker, int64_t age)
{
	base_buf_addf(arg, "cactusfield_look_age_seconds{worker=\"%s\"} %.3f\n",
		      worker, (double)age / BASE_SEC);
}

static void add_workspace(void *arg, const batch_workspace_stats_t *stats)
{
	base_buf_addf(arg,
		      "cactusfield_workspace_cpu{workspace=\"%s\"} %lld\n"
		      "cactusfield_workspace_cpu_limit{workspace=\"%s\"} %lld\n"
		      "cactusfield_workspace_refused{workspace=\"%s\"} %llu\n",
		      stats->name, (long long)stats->used.cpu, stats->name,
		      (long long)stats->limit.cpu, stats->name,
		      (unsigned long long)stats->refused);
}

static const char *const rack_wait_names[BATCH_RACK_WAIT_MAX] = {
	[BATCH_RACK_WAIT_FREE] = "capacity",
	[BATCH_RACK_WAIT_BOUND] = "bound reached",
	[BATCH_RACK_WAIT_MOOT] = "no longer useful",
};

static void add_rack_waits(base_buf_t *out, const batch_stats_t *stats)
{
	int i;

	for (i = 0; i < BATCH_RACK_WAIT_MAX; i++)
		base_buf_addf(out,
			      "cactusfield_rack_waits{outcome=\"%s\"} %llu\n",
			      rack_wait_names[i],
			      (unsigned long long)stats->rack_waits[i]);
}

/* Adds what only the holder knows. */
static void add_holder(base_buf_t *out, const node_t *node)
{
	const node_holder_t *holder = node->holder;
	int64_t now = base_clock_mono();
	batch_stats_t stats;

	base_buf_addf(out, "cactusfield_decides %d\n",
		      node_holder_may_decide(holder));
	add_time(out, "run", batch_times(holder->core, BATCH_TIME_RUN));
	add_time(out, "end_noted",
		 batch_times(holder->core, BATCH_TIME_END_STORED));
	add_time(out, "rack_wait",
		 batch_times(holder->core, BATCH_TIME_RACK_WAIT));
	add_age(out, "workers_list", now - holder->listed_at);
	add_age(out, "instances_list",
		now - holder->instances->complete_round_start);
	batch_poll_ages(holder->core, now, add_poll_age, out);
	batch_workspaces_each(holder->core, add_workspace, out);
	batch_stats(node_holder_core(node->holder), &stats);
	base_buf_addf(out, "cactusfield_jobs_open %zu\n", stats.jobs);
	base_buf_addf(out, "cactusfield_runs %zu\n", stats.runs);
	base_buf_addf(out, "cactusfield_workers %zu\n", stats.workers);
	base_buf_addf(out, "cactusfield_workers_out %zu\n", stats.quarantined);
	base_buf_addf(out, "cactusfield_starts %llu\n",
		      (unsigned long long)stats.starts);
	base_buf_addf(out, "cactusfield_runs_lost %llu\n",
		      (unsigned long long)stats.lost);
	add_rack_waits(out, &stats);
	base_buf_addf(out, "cactusfield_scanned %llu\n",
		      (unsigned long long)stats.scanned);
}

void node_metrics_serve(node_t *node, net_exchange_t *exchange)
{
	base_buf_t *out = base_buf_new(NULL);
	int64_t now = base_clock_mono();
	int i;

	for (i = 0; i < NODE_COUNT_MAX; i++)
		base_buf_addf(out, "cactusfield_%s %llu\n", count_names[i],
			      (unsigned long long)node->metrics->counts[i]);
	for (i = 0; i < NODE_TIME_MAX; i++)
		add_time(out, time_names[i], node->metrics->times[i]);
	base_buf_addf(out, "cactusfield_calls_dropped %llu\n",
		      (unsigned long long)net_loop_calls_dropped(node->loop));
	base_buf_addf(out, "cactusfield_config_version %lld\n",
		      (long long)node->config.version);
	base_buf_addf(out, "cactusfield_is_holder %d\n", node->holder != NULL);
	base_buf_addf(out, "cactusfield_processor_seconds %.6f\n",
		      (double)base_clock_processor() / BASE_SEC);
	base_buf_addf(out, "cactusfield_term %lld\n",
		      (long long)node->known_holder.term);
	add_age(out, "store", now - node->store_answered_at);
	add_age(out, "config", node_config_age(node));
	add_age(out, "holder", now - node->known_holder.refreshed_at);
	if (node->holder)
		add_holder(out, node);
	net_reply(exchange, 200, NULL, 0, base_buf_str(out));
	talloc_free(out);
}
