#include "flood.h"

/*
 * Goodput and latency of the other classes during a flood, and goodput of the
 * flooding class.  Runs in virtual time; the figures are reproducible.
 */

static void run_floods(const char *site, const flood_options_t *base);
static void run_flood(const char *site, const flood_options_t *base,
		      unsigned flooding, const flood_result_t *baseline);
static void run_faults(void);
static void print_flooding(unsigned flooding, int n);

int main(int argc, char **argv)
{
	int only = argc > 1 && argv[1] ? FLOOD_CORE + 1 : FLOOD_POLICY_MAX;

	for (int policy = 0; policy < only; policy++) {
		for (int full = 0; full < FLOOD_FULL_MAX; full++) {
			flood_options_t five = flood_five_pools();
			flood_options_t shared = flood_shared_pool();

			five.policy = shared.policy = (flood_policy_t)policy;
			five.full = shared.full = (flood_full_t)full;
			run_floods("five-pools", &five);
			run_floods("shared-pool", &shared);
		}
	}
	for (int slots = 4; slots <= 12; slots += 8) {
		flood_options_t misdeclared = flood_five_pools();

		misdeclared.true_slots = slots;
		run_floods(slots == 4 ? "true-4-of-8" : "true-12-of-8",
			   &misdeclared);
	}
	run_faults();
	return 0;
}

/* Floods each class alone, least urgent first, then the first and the last. */
static void run_floods(const char *site, const flood_options_t *base)
{
	flood_result_t baseline;
	int n = base->n_classes;

	flood_run(base, &baseline);
	for (int c = n - 1; c >= 0; c--)
		run_flood(site, base, flood_bit(c), &baseline);
	run_flood(site, base, flood_bit(0) | flood_bit(n - 1), &baseline);
}

static void run_flood(const char *site, const flood_options_t *base,
		      unsigned flooding, const flood_result_t *baseline)
{
	flood_options_t opt = *base;
	double baseline_p99 = 0.0, baseline_goodput = 1.0;
	flood_impact_t kept;
	flood_result_t r;

	opt.flooding = flooding;
	flood_run(&opt, &r);
	kept = flood_compute_impact(&opt, baseline, &r);
	for (int c = 0; c < opt.n_classes; c++) {
		if (flooding & flood_bit(c))
			continue;
		baseline_p99 = MAX(baseline_p99, baseline->p99_us[c]);
		baseline_goodput = MIN(baseline_goodput,
				       (double)baseline->answered[c] /
					       (double)baseline->offered[c]);
	}
	printf("{\"bench\":\"flood\",\"site\":\"%s\",\"policy\":\"%s\","
	       "\"full\":\"%s\",\"flooding\":[",
	       site, flood_policy_name(opt.policy),
	       opt.full == FLOOD_QUEUES ? "queues" : "refuses");
	print_flooding(flooding, opt.n_classes);
	printf("],\"others_goodput\":%.4f,\"others_p99_ratio\":%.3f,"
	       "\"calm_goodput\":%.4f,\"calm_p99_ms\":%.0f,"
	       "\"pool_goodput\":%.4f,\"connections_max\":%d,"
	       "\"refused_part\":%.4f,\"remote_part\":%.4f}\n",
	       MIN(kept.goodput, 1.0), kept.p99, baseline_goodput,
	       baseline_p99 / 1000.0, kept.pool, r.connections_max,
	       r.refused_part, r.remote_part);
	fflush(stdout);
}

static void print_flooding(unsigned flooding, int n)
{
	const char *comma = "";

	for (int c = 0; c < n; c++)
		if (flooding & flood_bit(c)) {
			printf("%s%d", comma, c);
			comma = ",";
		}
}

/* A third of the endpoints of pool 0 fails for five seconds. */
static void run_faults(void)
{
	static const char *const names[FLOOD_FAULT_MAX] = {
		[FLOOD_NO_CONNECTION] = "no-connection",
		[FLOOD_RESET] = "reset",
	};

	for (int fault = FLOOD_NO_CONNECTION; fault < FLOOD_FAULT_MAX;
	     fault++) {
		flood_options_t opt = flood_failing((flood_fault_t)fault);
		flood_result_t r;

		flood_run(&opt, &r);
		printf("{\"bench\":\"retry\",\"fault\":\"%s\","
		       "\"amplification\":%.4f,\"answered\":%.4f}\n",
		       names[fault], (double)r.attempts / (double)r.requests,
		       (double)r.answered_fault / (double)r.requests);
	}
}
