/*
 * A simulated worker: starts, stops, progress, ends and answers to polls.
 */
#include "batch_world_int.h"

static void add_end(const world_t *world, world_worker_t *worker,
		    const world_run_t *run, batch_end_t how)
{
	world_end_t end = { .number = worker->next_end++,
			    .run = *run,
			    .how = how,
			    .at = world->now };

	g_array_append_val(worker->ends, end);
	g_array_append_val(worker->fence, *run);
}

static bool is_fenced(const world_worker_t *worker, const world_run_t *run)
{
	guint i;

	for (i = 0; i < worker->fence->len; i++) {
		const world_run_t *past =
			&g_array_index(worker->fence, world_run_t, i);

		if (world_same_task(past, run) && run->number <= past->number)
			return true;
	}
	return false;
}

static const batch_step_spec_t *find_spec(world_t *world,
					  const world_run_t *run)
{
	world_job_t *job = world_find_job(world, run->job);

	return job ? &job->spec.steps[run->step] : NULL;
}

batch_res_t world_worker_used(const world_worker_t *worker)
{
	batch_res_t sum = { 0, 0, 0 };
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->runs, world_run_t, i);

		sum.cpu += run->need.cpu;
		sum.memory += run->need.memory;
		sum.gpu += run->need.gpu;
	}
	return sum;
}

static bool has_room(const world_worker_t *worker, const world_run_t *run)
{
	batch_res_t used = world_worker_used(worker);

	return used.cpu + run->need.cpu <= worker->capacity.cpu &&
	       used.memory + run->need.memory <= worker->capacity.memory &&
	       used.gpu + run->need.gpu <= worker->capacity.gpu;
}

batch_answer_t world_worker_start(world_t *world, world_worker_t *worker,
				  const world_order_t *order)
{
	world_run_t run = order->run;
	guint i;

	if (order->term < worker->term)
		return BATCH_ANSWER_NOT_STARTED;
	worker->term = order->term;
	if (order->lease < world->now &&
	    !(world->polls_revive_starts && worker->lease_end >= world->now))
		return BATCH_ANSWER_NOT_STARTED;
	worker->lease_end = MAX(worker->lease_end, order->lease);
	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *other =
			&g_array_index(worker->runs, world_run_t, i);

		if (world_same_task(other, &run) && other->number == run.number)
			return BATCH_ANSWER_OK;
	}
	if (is_fenced(worker, &run))
		return BATCH_ANSWER_STALE_RUN;
	if (world->advised && !(order->ticket && worker->allowed)) {
		world->tickets_refused++;
		return BATCH_ANSWER_INVALID_TICKET;
	}
	if (!world->no_admission && !has_room(worker, &run))
		return BATCH_ANSWER_NO_CAPACITY;
	world_check_start(world, worker, &run, order->holder < 0);
	world->starts++;
	run.begun = world->now;
	run.fails = worker->fails_all ||
		    world_chance(world, world->failed_run_percent);
	run.pace = 100;
	run.length = run.length *
		     (50 + (int64_t)base_rng_below(&world->rng, 100)) / 100;
	if (run.presence)
		run.presence->is_stopped = false;
	g_array_append_val(worker->runs, run);
	if (world_is_deadly(world, &run) && !worker->crash_at)
		worker->crash_at = world->now + world->crash_delay;
	return BATCH_ANSWER_OK;
}

batch_answer_t world_worker_stop(world_t *world, world_worker_t *worker,
				 const world_order_t *order)
{
	guint i;

	if (order->term < worker->term)
		return BATCH_ANSWER_NOT_STARTED;
	worker->term = order->term;
	for (i = 0; i < worker->runs->len; i++) {
		world_run_t *run = &g_array_index(worker->runs, world_run_t, i);
		world_run_t stopped = *run;

		if (!world_same_task(run, &order->run) ||
		    run->number != order->run.number)
			continue;
		world_check_stop(world, worker, run, order->holder < 0);
		if (world->stop_time) {
			if (!run->stops_at)
				run->stops_at = world->now + world->stop_time;
			return BATCH_ANSWER_OK;
		}
		g_array_remove_index(worker->runs, i);
		add_end(world, worker, &stopped, BATCH_END_STOPPED);
		return BATCH_ANSWER_OK;
	}
	g_array_append_val(worker->fence, order->run);
	return BATCH_ANSWER_OK;
}

void world_worker_pace(world_worker_t *worker, const world_run_t *named,
		       int percent)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		world_run_t *run = &g_array_index(worker->runs, world_run_t, i);

		if (world_same_task(run, named) && run->number == named->number)
			run->pace = percent;
	}
}

/*
 * By how much best-effort tasks raise the tail latency of each serving task on
 * the worker, percent of its target.
 */
static int interference(world_t *world, const world_worker_t *worker)
{
	int sum = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->runs, world_run_t, i);
		const batch_step_spec_t *spec = find_spec(world, run);

		if (spec && spec->best_effort)
			sum += world->interference * run->pace / 100;
	}
	return sum;
}

/*
 * Tail latency without best-effort tasks on the worker, percent of the target.
 */
#define UNDISTURBED_TAIL 40

static int64_t tail_latency(world_t *world, const world_worker_t *worker,
			    const world_run_t *run)
{
	const batch_step_spec_t *spec = find_spec(world, run);

	if (!spec || !spec->tail_target)
		return 0;
	return spec->tail_target *
	       (UNDISTURBED_TAIL + interference(world, worker)) / 100;
}

static void make_progress(world_t *world, world_worker_t *worker,
			  world_run_t *run)
{
	const batch_step_spec_t *spec = find_spec(world, run);
	bool tail_over = spec && spec->tail_target &&
			 tail_latency(world, worker, run) > spec->tail_target;

	if (!tail_over)
		run->tail_over_since = 0;
	else if (!run->tail_over_since)
		run->tail_over_since = world->now;
	if (run->presence && !run->stops_at)
		run->presence->at_work = world->now;
	if (!worker->stalled && !run->stops_at)
		run->done += WORLD_TICK * run->pace / 100 /
			     (worker->slowdown ? worker->slowdown : 1);
}

void world_worker_break_gang(const world_t *world, world_worker_t *worker,
			     const world_run_t *member)
{
	guint i;

	for (i = worker->runs->len; !worker->crashed && i-- > 0;) {
		world_run_t run = g_array_index(worker->runs, world_run_t, i);

		if (strcmp(run.job, member->job) ||
		    run.occurrence != member->occurrence ||
		    run.step != member->step || run.number != member->number)
			continue;
		g_array_remove_index(worker->runs, i);
		add_end(world, worker, &run, BATCH_END_GANG_BROKEN);
	}
}

void world_worker_advance(world_t *world, world_worker_t *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		make_progress(world, worker,
			      &g_array_index(worker->runs, world_run_t, i));
	world_check_tails(world, worker);

	/* By the rules, an end counts only if acknowledged within the lease. */
	for (i = 0; world->now > worker->lease_end && i < worker->ends->len;
	     i++)
		g_array_index(worker->ends, world_end_t, i).stale = true;
	i = 0;
	while (i < worker->runs->len) {
		world_run_t run = g_array_index(worker->runs, world_run_t, i);
		bool expired = world->now > worker->lease_end;

		if (!expired && run.stops_at && world->now >= run.stops_at) {
			g_array_remove_index(worker->runs, i);
			add_end(world, worker, &run, BATCH_END_STOPPED);
			continue;
		}
		if (!expired && (!run.length || run.done < run.length)) {
			i++;
			continue;
		}
		g_array_remove_index(worker->runs, i);
		if (!expired)
			world->finished++;
		if (!expired && !run.fails && world_find_job(world, run.job))
			g_hash_table_insert(
				world_find_job(world, run.job)->finished_tasks,
				world_task_key(&run), GINT_TO_POINTER(1));
		add_end(world, worker, &run,
			expired	    ? BATCH_END_LEASE_EXPIRED
			: run.fails ? BATCH_END_FAILED
				    : BATCH_END_DONE);
	}
}

/* The answer to the poll: what the worker knows now. */
static void list_for_poll(world_t *world, world_worker_t *worker)
{
	guint i;

	g_array_set_size(worker->poll_runs, 0);
	g_array_set_size(worker->poll_ends, 0);
	for (i = 0; i < worker->runs->len && i < WORLD_LISTED_MAX; i++) {
		world_run_t run = g_array_index(worker->runs, world_run_t, i);

		run.load_metric = tail_latency(world, worker, &run);
		g_array_append_val(worker->poll_runs, run);
	}
	if (worker->ends->len)
		g_array_append_vals(
			worker->poll_ends, worker->ends->data,
			MIN(worker->ends->len, world->ends_listed_max));
}

void world_worker_answer_poll(world_t *world, world_worker_t *worker)
{
	batch_listed_run_t runs[WORLD_LISTED_MAX];
	batch_listed_end_t ends[WORLD_LISTED_MAX];
	batch_poll_result_t poll = { .worker = base_str(worker->id),
				     .incarnation = worker->incarnation,
				     .sent = worker->polled_at,
				     .runs = runs,
				     .ends = ends };
	guint i;

	if (worker->answer_at > world->now)
		return;
	worker->answer_at = 0;
	if (worker->unreachable)
		return;
	if (!worker->met_at)
		worker->met_at = world->now;
	for (i = 0; i < worker->poll_runs->len; i++) {
		const world_run_t *run =
			&g_array_index(worker->poll_runs, world_run_t, i);

		runs[poll.n_runs++] = (batch_listed_run_t){
			.task = { base_str(run->job), run->occurrence,
				  run->step, run->index },
			.run = run->number,
			.checkpoint = BASE_STR(""),
			.percent = run->length ? (int)(100 * run->done /
						       run->length)
					       : 100,
			.load_metric = run->load_metric,
		};
	}
	for (i = 0; i < worker->poll_ends->len; i++) {
		const world_end_t *end =
			&g_array_index(worker->poll_ends, world_end_t, i);

		ends[poll.n_ends++] = (batch_listed_end_t){
			.number = end->number,
			.task = { base_str(end->run.job), end->run.occurrence,
				  end->run.step, end->run.index },
			.run = end->run.number,
			.end_kind = end->how,
			.checkpoint = BASE_STR(""),
		};
	}
	poll.ends_truncated = poll.n_ends >= world->ends_listed_max;
	batch_worker_polled(world->core, world->now, &poll);
}

void world_worker_poll(world_t *world, world_worker_t *worker)
{
	int64_t ticks = world->poll_time / WORLD_TICK;

	worker->polled_at = world->now;
	if (worker->term < world->term)
		worker->term = world->term;
	world_acknowledge_ends(world, worker,
			       batch_worker_stored_end(world->core, world->now,
						       base_str(worker->id)));
	worker->lease_end = world->now + WORLD_LEASE;
	worker->holder_lease =
		MAX(worker->holder_lease, worker->lease_end + BASE_SEC / 2);
	worker->polled = true;
	batch_worker_lease(world->core, base_str(worker->id),
			   worker->holder_lease);
	list_for_poll(world, worker);
	worker->answer_at = world->now;
	if (ticks)
		worker->answer_at +=
			(int64_t)base_rng_below(&world->rng, (uint32_t)ticks) *
			WORLD_TICK;
	world_worker_answer_poll(world, worker);
}
