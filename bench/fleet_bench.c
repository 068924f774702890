/*
 * fleet_bench - cost of fleet decisions, as JSON lines.
 *
 * Buffer, moves and rollout run in virtual time and are reproducible; processor
 * time is that of the calling thread.
 */
#include <stdio.h>
#include <time.h>

#include "../packages/fleet/tests/fleet_measure.h"

#define STEPS 50

static void print(const measure_site_t *site, const char *what,
		  const char *unit, measure_t m);
static void measure_site(const measure_site_t *site, bool moves);
static void measure_time(const measure_site_t *site);
static double cpu_ms(void);

int main(void)
{
	static const size_t sizes[] = { 600, 1200, 2400, 4800 };
	void *ctx = talloc_new(NULL);
	measure_site_t vakatawa = measure_today("vakatawa", 0.4, 0.4, 0.2);
	measure_site_t addis = measure_today("addis", 0.2, 0.2, 0.6);
	measure_site_t zone = measure_zone(ctx, 2400);

	measure_site(&vakatawa, true);
	measure_site(&addis, true);
	measure_site(&zone, true);
	for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		zone = measure_zone(ctx, sizes[i]);
		measure_time(&zone);
	}
	zone = measure_target(ctx);
	measure_time(&zone);
	talloc_free(ctx);
	return 0;
}

static void measure_site(const measure_site_t *site, bool moves)
{
	print(site, "buffer", "executors", measure_buffer(site));
	print(site, "rollout", "reboots in a row", measure_rollout(site));
	if (moves)
		print(site, "moves", "instances", measure_moves(site));
}

static void print(const measure_site_t *site, const char *what,
		  const char *unit, measure_t m)
{
	printf("{\"bench\":\"fleet\",\"site\":\"%s\",\"what\":\"%s\","
	       "\"unit\":\"%s\",\"ours\":%.2f,\"bound\":%.2f,"
	       "\"ratio\":%.3f,\"baseline_1\":%.2f,\"baseline_2\":%.2f}\n",
	       site->name, what, unit, m.measured_cost, m.bound,
	       m.measured_cost / m.bound, m.one_at_a_time, m.fixed_part);
	fflush(stdout);
}

/* Times the first plan of an unassigned fleet, then steps without changes. */
static void measure_time(const measure_site_t *site)
{
	world_t *w = world_new(site->zones, site->racks, site->per_rack);
	fleet_t *fleet = measure_holder(w, site);
	double plan_ms, start_ms, idle_ms;
	size_t largest = 0;
	fleet_ops_t *ops;

	world_tick(w, site->tick);
	world_feed(w, fleet);
	start_ms = cpu_ms();
	ops = fleet_step(fleet, NULL, w->now);
	plan_ms = cpu_ms() - start_ms;
	for (size_t i = 0; i < ops->n; i++)
		world_apply_op(w, fleet, &ops->ops[i], WORLD_NO_FAULT);
	talloc_free(ops);
	for (int i = 0; i < 4; i++)
		world_turn(w, fleet, site->tick);
	for (size_t i = 0; i < w->n_kv; i++)
		largest = MAX(largest, strlen(w->kv[i].value));
	idle_ms = 0.0;
	for (int i = 0; i < STEPS; i++) {
		world_tick(w, site->tick);
		world_feed(w, fleet);
		start_ms = cpu_ms();
		ops = fleet_step(fleet, NULL, w->now);
		idle_ms += cpu_ms() - start_ms;
		talloc_free(ops);
	}
	printf("{\"bench\":\"fleet\",\"what\":\"time\",\"instances\":%zu,"
	       "\"plan_ms\":%.2f,\"step_ms\":%.3f,\"memory_kb\":%zu,"
	       "\"largest_record_bytes\":%zu}\n",
	       site->instances, plan_ms, idle_ms / STEPS,
	       talloc_total_size(fleet) / 1024, largest);
	talloc_free(w);
}

static double cpu_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}
