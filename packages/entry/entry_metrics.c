#include "entry_int.h"

/*
 * Counters and histograms of the routing core in the Prometheus text format.
 */

static void add_pool(void *arg, const route_pool_stats_t *pool);
static void add_group(void *arg, const route_group_stats_t *group);
static void add_labels(base_buf_t *out, const route_group_stats_t *group);
static void add_summary(base_buf_t *out, const char *name,
			const route_group_stats_t *group,
			const base_hist_t *hist);

/*
 * The metrics of one scrape.  Each metric has its own buffer, so that its lines
 * are adjacent; those of pools share one, pool after pool.
 */
typedef struct scrape {
	base_buf_t *pools;
	base_buf_t *outcomes;
	base_buf_t *reasons;
	base_buf_t *attempts;
	base_buf_t *waits;
	base_buf_t *runs;
} scrape_t;

void entry_metrics_route(entry_daemon_t *daemon, base_buf_t *out)
{
	void *ctx = talloc_new(NULL);
	scrape_t scrape = {
		.pools = base_buf_new(ctx),
		.outcomes = base_buf_new(ctx),
		.reasons = base_buf_new(ctx),
		.attempts = base_buf_new(ctx),
		.waits = base_buf_new(ctx),
		.runs = base_buf_new(ctx),
	};
	const route_visitor_t visitor = { add_pool, add_group, &scrape };

	entry_route_visit(daemon->route, &visitor);
	base_buf_add(out, scrape.pools->ptr, scrape.pools->len);
	base_buf_adds(out, "# TYPE cactusfield_outcomes_total counter\n");
	base_buf_add(out, scrape.outcomes->ptr, scrape.outcomes->len);
	base_buf_adds(out, "# TYPE cactusfield_refusals_total counter\n");
	base_buf_add(out, scrape.reasons->ptr, scrape.reasons->len);
	base_buf_adds(out, "# TYPE cactusfield_attempts_total counter\n");
	base_buf_add(out, scrape.attempts->ptr, scrape.attempts->len);
	base_buf_adds(out, "# TYPE cactusfield_queue_wait_seconds summary\n");
	base_buf_add(out, scrape.waits->ptr, scrape.waits->len);
	base_buf_adds(out, "# TYPE cactusfield_run_seconds summary\n");
	base_buf_add(out, scrape.runs->ptr, scrape.runs->len);
	talloc_free(ctx);
}

static void add_pool(void *arg, const route_pool_stats_t *pool)
{
	scrape_t *scrape = arg;
	const struct {
		const char *name;
		double value;
	} gauges[] = {
		{ "endpoints_live", pool->live },
		{ "endpoints_ejected", pool->ejected },
		{ "pool_running", pool->running },
		{ "pool_queued", pool->queued },
		{ "pool_queued_bytes", (double)pool->queued_bytes },
		{ "pool_limit", pool->limit },
		{ "endpoint_connections", pool->connection_limit },
		{ "retries_total", (double)pool->retries },
		{ "retries_denied_total", (double)pool->retries_denied },
	};

	for (size_t i = 0; i < ARRAY_SIZE(gauges); i++)
		base_buf_addf(scrape->pools,
			      "cactusfield_%s{pool=\"%s\"} %.6g\n",
			      gauges[i].name, pool->name, gauges[i].value);
}

static void add_group(void *arg, const route_group_stats_t *group)
{
	const route_counts_t *counts = group->counts;
	scrape_t *scrape = arg;

	for (int i = 0; i < ROUTE_OUTCOME_MAX; i++) {
		base_buf_adds(scrape->outcomes, "cactusfield_outcomes_total");
		add_labels(scrape->outcomes, group);
		base_buf_addf(scrape->outcomes, ",outcome=\"%s\"} %llu\n",
			      route_outcome_name((route_outcome_t)i),
			      (unsigned long long)counts->outcome[i]);
	}
	for (int i = ROUTE_REASON_NONE + 1; i < ROUTE_REASON_MAX; i++) {
		if (!counts->reason[i])
			continue;
		base_buf_adds(scrape->reasons, "cactusfield_refusals_total");
		add_labels(scrape->reasons, group);
		base_buf_addf(scrape->reasons, ",reason=\"%s\"} %llu\n",
			      route_reason_name((route_reason_t)i),
			      (unsigned long long)counts->reason[i]);
	}
	base_buf_adds(scrape->attempts, "cactusfield_attempts_total");
	add_labels(scrape->attempts, group);
	base_buf_addf(scrape->attempts, "} %llu\n",
		      (unsigned long long)counts->attempts);
	if (!group->wait)
		return;
	add_summary(scrape->waits, "queue_wait", group, group->wait);
	add_summary(scrape->runs, "run", group, group->run);
}

/* Appends the labels without the closing brace, which the caller adds. */
static void add_labels(base_buf_t *out, const route_group_stats_t *group)
{
	const char *comma = "";

	base_buf_adds(out, "{");
	if (group->pool) {
		base_buf_addf(out, "pool=\"%s\",class=\"%s\"", group->pool,
			      group->cls);
		comma = ",";
	}
	if (group->caller)
		base_buf_addf(out, "%scaller=\"%s\"", comma, group->caller);
}

static void add_summary(base_buf_t *out, const char *name,
			const route_group_stats_t *group,
			const base_hist_t *hist)
{
	static const double quantiles[] = { 0.5, 0.9, 0.99 };

	for (size_t i = 0; i < ARRAY_SIZE(quantiles); i++) {
		base_buf_addf(out, "cactusfield_%s_seconds", name);
		add_labels(out, group);
		base_buf_addf(out, ",quantile=\"%g\"} %.6g\n", quantiles[i],
			      base_hist_quantile(hist, quantiles[i]) /
				      BASE_SEC);
	}
	base_buf_addf(out, "cactusfield_%s_seconds_sum", name);
	add_labels(out, group);
	base_buf_addf(out, "} %.6f\n", (double)base_hist_sum(hist) / BASE_SEC);
	base_buf_addf(out, "cactusfield_%s_seconds_count", name);
	add_labels(out, group);
	base_buf_addf(out, "} %llu\n",
		      (unsigned long long)base_hist_count(hist));
}
