#include "flood.h"

/*
 * What the other work keeps during a flood, and what the flooded class gets.
 * Virtual time: the figures repeat exactly.
 */

static void floods(const char *site, const flood_options_t *base);
static void flood(const char *site, const flood_options_t *base,
		  unsigned flooding, const flood_result_t *calm);
static void faults(void);
static void print_floods(unsigned flooding, int n);

int main(int argc, char **argv)
{
	int only = argc > 1 && argv[1] ? FLOOD_CORE + 1 : FLOOD_POLICY_MAX;

	for (int policy = 0; policy < only; policy++) {
		for (int full = 0; full < FLOOD_FULL_MAX; full++) {
			flood_options_t five = flood_five_pools();
			flood_options_t shared = flood_shared_pool();

			five.policy = shared.policy = (flood_policy_t)policy;
			five.full = shared.full = (flood_full_t)full;
			floods("five-pools", &five);
			floods("shared-pool", &shared);
		}
	}
	for (int slots = 4; slots <= 12; slots += 8) {
		flood_options_t wrong = flood_five_pools();

		wrong.true_slots = slots;
		floods(slots == 4 ? "true-4-of-8" : "true-12-of-8", &wrong);
	}
	faults();
	return 0;
}

/* Least urgent first, most urgent last, then both together. */
static void floods(const char *site, const flood_options_t *base)
{
	flood_result_t calm;
	int n = base->n_classes;

	flood_run(base, &calm);
	for (int c = n - 1; c >= 0; c--)
		flood(site, base, flood_bit(c), &calm);
	flood(site, base, flood_bit(0) | flood_bit(n - 1), &calm);
}

static void flood(const char *site, const flood_options_t *base,
		  unsigned flooding, const flood_result_t *calm)
{
	flood_options_t opt = *base;
	double calm_p99 = 0.0, calm_goodput = 1.0;
	flood_kept_t kept;
	flood_result_t r;

	opt.flooding = flooding;
	flood_run(&opt, &r);
	kept = flood_kept(&opt, calm, &r);
	for (int c = 0; c < opt.n_classes; c++) {
		if (flooding & flood_bit(c))
			continue;
		calm_p99 = MAX(calm_p99, calm->p99_us[c]);
		calm_goodput =
			MIN(calm_goodput, (double)calm->answered[c] /
						  (double)calm->offered[c]);
	}
	printf("{\"bench\":\"flood\",\"site\":\"%s\",\"policy\":\"%s\","
	       "\"full\":\"%s\",\"flooding\":[",
	       site, flood_policy_name(opt.policy),
	       opt.full == FLOOD_QUEUES ? "queues" : "refuses");
	print_floods(flooding, opt.n_classes);
	printf("],\"others_goodput\":%.4f,\"others_p99_ratio\":%.3f,"
	       "\"calm_goodput\":%.4f,\"calm_p99_ms\":%.0f,"
	       "\"pool_goodput\":%.4f,\"connections_max\":%d,"
	       "\"refused_part\":%.4f,\"remote_part\":%.4f}\n",
	       MIN(kept.goodput, 1.0), kept.p99, calm_goodput,
	       calm_p99 / 1000.0, kept.pool, r.connections_max, r.refused_part,
	       r.remote_part);
	fflush(stdout);
}

static void print_floods(unsigned flooding, int n)
{
	const char *comma = "";

	for (int c = 0; c < n; c++)
		if (flooding & flood_bit(c)) {
			printf("%s%d", comma, c);
			comma = ",";
		}
}

/* A third of a pool fails for five seconds. */
static void faults(void)
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
