/*
 * Tasks that crash the workers that start them.
 *
 * When a worker crashes, the runs that it had only just started are suspected:
 * each run is proven harmless once its worker was alive for some time after its
 * start.  The next start of a suspected task is a trial: the worker has no
 * other run that is not proven, and gets no start before the outcome is known.
 * So a second crash has one possible cause.  The counts are part of the job's
 * row, which is stored before each start.  What is only lost may live: it is
 * counted apart until it answers (batch_missing.c).  docs/design/crashes.md
 */
#include "batch_int.h"

/*
 * A worker that is alive this long after a start was confirmed has survived it:
 * a worker crashes some ten milliseconds after it, and the holder may be late
 * to see either.
 */
#define CRASH_PROVEN_AGE (200 * BASE_MS)
/*
 * Earlier crashes no longer count once a run lasts this long, and a run of this
 * age is not suspected: many times the age above.
 */
#define CRASH_CLEARED_AGE (5 * BASE_SEC)
/* Crashes of which the task is the only possible cause. */
#define CRASH_CERTAIN_MAX 2
/* The same of a long-running task: its end stops others at work. */
#define CRASH_CERTAIN_MAX_LASTING 3
/* The same together with crashes of which it is the likely cause. */
#define CRASH_LIKELY_MAX 3
/*
 * All of them, with crashes that had several possible causes, and with workers
 * that are missing: a task must not be started three times more once three
 * workers have crashed under it.
 */
#define CRASH_TOTAL_MAX 5
/*
 * Workers of one rack or zone whose last answers are this close may have one
 * cause: an idle worker answers a poll each 1.8 s, and a poll waits for half a
 * second more.
 */
#define CRASH_CORRELATED_TIME (2500 * BASE_MS)
/* Crashes that must be known, for losses that may be none to count as well. */
#define CRASH_KNOWN_MIN 2
/* Workers that are missing before the next start waits for one of them, and for
 * how long: some seconds, after which a worker that has crashed is mostly back.
 */
#define CRASH_MISSING_MAX 3
#define CRASH_RETURN_TIME (4 * BASE_SEC)
/* Two readings of the list are mostly closer.  Workers that drain for less may
 * leave unseen, and are taken for crashed. */
#define CRASH_LIST_GAP (1500 * BASE_MS)
/* A loss is found by then: the longest lease and some more. */
#define CRASH_LOSS_AGE_MAX (15 * BASE_SEC)
/* Other lost workers of a rack or zone that show a common cause, besides being
 * most of it. */
#define CRASH_RACK_LOST_MIN 2
#define CRASH_ZONE_LOST_MIN 3
/*
 * Part of a pool's workers that may be kept for trials, 1 in this many: each is
 * kept from other starts for some tenths of a second.
 */
#define CRASH_TRIAL_WORKERS_PART 2

typedef struct batch_loss {
	const batch_worker_t *worker; /* compared only; it may be freed */
	GQuark zone;
	GQuark rack;
	int64_t alive_at; /* its last answer */
	int64_t found_at;
	bool by_trial; /* it had a run on trial */
} batch_loss_t;

GArray *batch_crash_losses_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(batch_loss_t));
}

/* The members of a gang start together, so they are judged together. */
batch_task_t *batch_crash_head(const batch_task_t *task)
{
	batch_step_t *step = task->step;

	return step->spec->gang ? &step->tasks[0] : &step->tasks[task->index];
}

static int count_known(const batch_crashes_t *crashes)
{
	return crashes->certain + crashes->likely + crashes->shared;
}

static int count_all(const batch_crashes_t *crashes)
{
	return count_known(crashes) + crashes->missing + crashes->unanswered;
}

/* A worker that is missing, and may live, counts only for a task under which
 * workers have crashed. */
static int count_losses(const batch_crashes_t *crashes)
{
	int known = count_known(crashes);

	return known >= CRASH_KNOWN_MIN ? count_all(crashes) : known;
}

bool batch_crash_needs_trial(const batch_task_t *task)
{
	const batch_crashes_t *crashes = &batch_crash_head(task)->crashes;

	return crashes->needs_trial || crashes->certain || crashes->likely;
}

static bool is_given_up(const batch_task_t *head)
{
	const batch_crashes_t *crashes = &head->crashes;
	int n = count_losses(crashes);

	/* Crashes for other reasons hit a task that lasts again and again. */
	if (head->step->spec->long_running)
		return crashes->certain >= CRASH_CERTAIN_MAX_LASTING ||
		       n >= CRASH_TOTAL_MAX;
	return crashes->certain >= CRASH_CERTAIN_MAX ||
	       crashes->certain + crashes->likely >= CRASH_LIKELY_MAX ||
	       crashes->certain + n >= CRASH_TOTAL_MAX;
}

/* Time for which the worker is known to have lived with the run. */
static int64_t survived(const batch_run_t *run)
{
	if (!run->start_confirmed_at ||
	    run->incarnation != run->worker->incarnation)
		return 0;
	return MAX(run->worker->alive_at - run->start_confirmed_at, 0);
}

static bool is_proven(const batch_run_t *run)
{
	return survived(run) >= CRASH_PROVEN_AGE;
}

/*
 * Whether the run is no longer expected to crash its worker, so that others may
 * start there.  A worker that crashes is mostly silent at once: its connections
 * break.  But only its next answer proves that it has not.
 */
static bool is_settled(const batch_run_t *run, int64_t now)
{
	return is_proven(run) ||
	       (run->start_confirmed_at && !run->worker->silent &&
		run->incarnation == run->worker->incarnation &&
		now - run->start_confirmed_at >= CRASH_PROVEN_AGE);
}

void batch_crash_run_new(batch_run_t *run)
{
	run->incarnation = run->worker->incarnation;
	run->on_trial = batch_crash_needs_trial(run->task);
	run->worker->n_trials += run->on_trial;
}

static void end_trial(batch_run_t *run)
{
	run->worker->n_trials -= run->on_trial;
	run->on_trial = false;
	run->worker->core->pass_needed = true;
}

void batch_crash_run_freed(batch_run_t *run)
{
	end_trial(run);
}

/* Members of a gang are on several workers: one that lasts proves nothing for
 * the others. */
static void clear(batch_task_t *task, bool also_counts)
{
	batch_crashes_t *crashes = &task->crashes;

	if (task->step->spec->gang ||
	    !(crashes->needs_trial || (also_counts && count_all(crashes))))
		return;
	crashes->needs_trial = false;
	if (also_counts)
		*crashes = (batch_crashes_t){
			.counted_run = crashes->counted_run,
			.cleared_run = task->number,
		};
	if (batch_job_is_active(task->step->occ->job))
		batch_job_changed(task->step->occ->job);
}

void batch_crash_worker_alive(batch_worker_t *worker, int64_t now)
{
	guint i;

	worker->alive_at = now;
	for (i = 0; i < worker->runs->len; i++) {
		batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (survived(run) >= CRASH_CLEARED_AGE)
			clear(run->task, true);
		if (!run->on_trial || !is_proven(run))
			continue;
		clear(run->task, false);
		end_trial(run);
	}
}

void batch_crash_run_ended(batch_task_t *task, batch_end_t how)
{
	if (how == BATCH_END_FAILED)
		clear(task, true);
}

int batch_crash_unsettled(const batch_worker_t *worker, const batch_task_t *but,
			  int64_t now)
{
	int n = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		n += batch_crash_head(run->task) != batch_crash_head(but) &&
		     !is_settled(run, now);
	}
	return n;
}

/* Two trials on one worker must not both be unproven when it crashes. */
static bool has_other_trial(const batch_worker_t *worker,
			    const batch_task_t *task, int64_t now)
{
	bool is_trial = batch_crash_needs_trial(task);
	guint i;

	for (i = 0; worker->n_trials && i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->on_trial && (is_trial || !is_settled(run, now)) &&
		    batch_crash_head(run->task) != batch_crash_head(task))
			return true;
	}
	return false;
}

/*
 * A gang needs many workers at once and would seldom find all of them without
 * unsettled runs: those stay suspected with it.
 */
bool batch_crash_allows(const batch_worker_t *worker, const batch_task_t *task,
			int64_t now)
{
	if (has_other_trial(worker, task, now))
		return false;
	return !batch_crash_needs_trial(task) || task->step->spec->gang ||
	       !batch_crash_unsettled(worker, task, now);
}

/* A long-running task may not be away for longer. */
bool batch_crash_must_wait(const batch_task_t *task, int64_t now)
{
	const batch_crashes_t *crashes = &batch_crash_head(task)->crashes;

	return crashes->missing >= CRASH_MISSING_MAX &&
	       count_known(crashes) < CRASH_KNOWN_MIN &&
	       now < crashes->missing_since + CRASH_RETURN_TIME &&
	       !task->step->spec->long_running;
}

static bool has_unsettled_trial(const batch_worker_t *worker, int64_t now)
{
	guint i;

	for (i = 0; worker->n_trials && i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->on_trial && !is_settled(run, now))
			return true;
	}
	return false;
}

bool batch_crash_may_try(const batch_pool_t *pool, int64_t now)
{
	guint n = 0;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		n += has_unsettled_trial(worker, now) ||
		     (worker->reserved_for &&
		      batch_crash_needs_trial(worker->reserved_for));
	}
	return n < MAX(1, pool->workers->len / CRASH_TRIAL_WORKERS_PART);
}

/* One start of a gang counts once, on however many workers. */
static bool is_counted(const batch_run_t *run)
{
	return batch_crash_head(run->task)->crashes.counted_run >= run->number;
}

static void add_head(GPtrArray *heads, const batch_run_t *run)
{
	batch_task_t *head = batch_crash_head(run->task);

	if (!g_ptr_array_find(heads, head, NULL))
		g_ptr_array_add(heads, head);
}

/* The tasks that may have crashed a worker. */
typedef struct suspects {
	GPtrArray *unproven; /* their runs are not proven */
	GPtrArray *begun;    /* of these, those known to have begun */
	GPtrArray *young;    /* proven, but younger than CRASH_CLEARED_AGE */
	GPtrArray *late;     /* tasks whose starts may have found it crashed */
	/* Of the unproven ones, that which is alone on trial; NULL: none. */
	const batch_task_t *on_trial;
	bool correlated; /* the loss has a common cause with others */
	bool cordoned;	 /* the worker was being emptied */
} suspects_t;

static const char *const suspicion_names[BATCH_SUSPECT_MAX] = {
	[BATCH_SUSPECT_POSSIBLE] = "crashed, an unlikely cause",
	[BATCH_SUSPECT_SHARED] = "crashed, one of several causes",
	[BATCH_SUSPECT_LIKELY] = "crashed, the likely cause",
	[BATCH_SUSPECT_CERTAIN] = "crashed, the only cause",
};

/*
 * Whether the run was sent so long after the worker's last answer that a run
 * from before it is the likelier cause.
 */
static bool is_late(const batch_run_t *run)
{
	const batch_worker_t *worker = run->worker;
	guint i;

	if (run->start_confirmed_at || !run->sent_at ||
	    run->sent_at - worker->alive_at < CRASH_PROVEN_AGE)
		return false;
	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *other = g_ptr_array_index(worker->runs, i);

		if (other->start_confirmed_at && !is_proven(other) &&
		    !is_counted(other))
			return true;
	}
	return false;
}

/* The runs that are known to be of incarnation "present" live; 0: none. */
static suspects_t find_suspects(const batch_worker_t *worker, int64_t present)
{
	GPtrArray *trials = g_ptr_array_new();
	suspects_t found = { .unproven = g_ptr_array_new(),
			     .begun = g_ptr_array_new(),
			     .young = g_ptr_array_new(),
			     .late = g_ptr_array_new() };
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->state == RUN_STORING || is_counted(run) ||
		    (present && run->incarnation == present))
			continue;
		if (is_proven(run)) {
			if (survived(run) < CRASH_CLEARED_AGE)
				add_head(found.young, run);
			continue;
		}
		if (is_late(run)) {
			add_head(found.late, run);
			continue;
		}
		add_head(found.unproven, run);
		if (run->start_confirmed_at)
			add_head(found.begun, run);
		if (run->on_trial && !run->task->step->spec->gang)
			add_head(trials, run);
	}
	if (trials->len == 1)
		found.on_trial = g_ptr_array_index(trials, 0);
	g_ptr_array_unref(trials);
	return found;
}

static void free_suspects(suspects_t *found)
{
	g_ptr_array_unref(found->unproven);
	g_ptr_array_unref(found->begun);
	g_ptr_array_unref(found->young);
	g_ptr_array_unref(found->late);
}

static batch_loss_t describe_loss(const batch_worker_t *worker, int64_t now)
{
	batch_loss_t loss = { .worker = worker,
			      .zone = worker->zone_quark,
			      .rack = worker->rack_quark,
			      .alive_at = worker->alive_at,
			      .found_at = now,
			      .by_trial = worker->n_trials > 0 };

	return loss;
}

/* Workers of a rack or zone, without the one in question. */
typedef struct domain {
	int present;
	int lost;	 /* at the same time */
	int unexplained; /* of these, without a run on trial */
} domain_t;

static void count_loss(const batch_loss_t *own, const batch_loss_t *loss,
		       domain_t *rack, domain_t *zone)
{
	if (ABS(loss->alive_at - own->alive_at) > CRASH_CORRELATED_TIME)
		return;
	rack->lost += loss->rack == own->rack;
	rack->unexplained += loss->rack == own->rack && !loss->by_trial;
	zone->unexplained += loss->zone == own->zone && !loss->by_trial;
}

static int count_present(GHashTable *counts, GQuark domain,
			 const batch_worker_t *but)
{
	return GPOINTER_TO_INT(
		       g_hash_table_lookup(counts, GUINT_TO_POINTER(domain))) -
	       but->listed;
}

/*
 * Whether the worker's whole rack was lost together with it, or the larger part
 * of its rack or zone, apart from workers with runs on trial: these runs may
 * have crashed them.
 */
static bool is_correlated(const batch_worker_t *worker, int64_t now)
{
	batch_t *core = worker->core;
	batch_loss_t own = describe_loss(worker, now);
	domain_t rack = { .present = count_present(core->listed_in_rack,
						   own.rack, worker) };
	domain_t zone = { .present = count_present(core->listed_in_zone,
						   own.zone, worker) };
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, core->silent_workers);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const batch_worker_t *other = value;
		batch_loss_t loss = describe_loss(other, now);

		core->stats.scanned++;
		if (other != worker && other->listed &&
		    !g_hash_table_contains(core->lost_workers, other))
			count_loss(&own, &loss, &rack, &zone);
	}
	for (i = 0; i < core->losses->len; i++) {
		const batch_loss_t *loss =
			&g_array_index(core->losses, batch_loss_t, i);

		core->stats.scanned++;
		if (loss->worker != worker)
			count_loss(&own, loss, &rack, &zone);
	}
	return (rack.lost >= CRASH_RACK_LOST_MIN &&
		(rack.lost >= rack.present ||
		 2 * rack.unexplained > rack.present)) ||
	       (zone.unexplained >= CRASH_ZONE_LOST_MIN &&
		2 * zone.unexplained > zone.present);
}

/* Drops the losses that are too old, and that of the worker. */
static void drop_past_losses(const batch_worker_t *worker, int64_t now)
{
	GArray *losses = worker->core->losses;
	guint i;

	for (i = losses->len; i-- > 0;) {
		const batch_loss_t *past =
			&g_array_index(losses, batch_loss_t, i);

		if (past->worker == worker ||
		    now - past->found_at > CRASH_LOSS_AGE_MAX) {
			g_hash_table_remove(worker->core->lost_workers,
					    past->worker);
			g_array_remove_index_fast(losses, i);
		}
	}
}

static void log_suspicion(const batch_task_t *head, const char *worker,
			  int64_t run, int64_t age, const char *why)
{
	batch_log_emit(head->step->occ->job->core,
		       &(batch_log_event_t){ .kind = BATCH_LOG_RUN_SUSPECTED,
					     .task = batch_task_get_id(head),
					     .run = run,
					     .worker = base_str(worker),
					     .why = why,
					     .value = count_all(&head->crashes),
					     .age = age });
}

static void give_up_if_due(batch_task_t *head)
{
	if (!is_given_up(head))
		return;
	head->step->occ->job->crash_task = head;
	head->step->occ->job->core->give_up_due = true;
}

static void count_crash(batch_task_t *head, batch_suspicion_t suspicion)
{
	batch_crashes_t *crashes = &head->crashes;

	if (suspicion >= BATCH_SUSPECT_SHARED)
		crashes->needs_trial = true;
	if (suspicion == BATCH_SUSPECT_CERTAIN)
		crashes->certain++;
	else if (suspicion == BATCH_SUSPECT_LIKELY)
		crashes->likely++;
	else if (suspicion != BATCH_SUSPECT_NONE)
		crashes->shared++;
	batch_job_changed(head->step->occ->job);
	give_up_if_due(head);
}

/* The run of the task, or of its gang, on the worker: of two runs of a task the
 * other one may be lost later. */
static const batch_run_t *find_run(const batch_worker_t *worker,
				   const batch_task_t *head)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (batch_crash_head(run->task) == head)
			return run;
	}
	return NULL;
}

static int64_t number_of_run(const batch_worker_t *worker,
			     const batch_task_t *head)
{
	const batch_run_t *run = find_run(worker, head);

	return run && !head->step->spec->gang ? run->number : head->number;
}

/* The task may have crashed the worker, which has crashed. */
static void suspect(batch_task_t *head, const batch_worker_t *worker,
		    int64_t now, batch_suspicion_t suspicion)
{
	int64_t run = number_of_run(worker, head);

	head->crashes.counted_run = MAX(head->crashes.counted_run, run);
	count_crash(head, suspicion);
	log_suspicion(head, worker->id, run, now - worker->polled_at,
		      suspicion_names[suspicion]);
}

/* Incarnation of the worker that has a run of the task, or of its gang. */
static int64_t incarnation_of_run(const batch_worker_t *worker,
				  const batch_task_t *head)
{
	const batch_run_t *run = find_run(worker, head);

	return run ? run->incarnation : worker->incarnation;
}

/*
 * Whether the worker may have announced that it leaves, and have left, between
 * two readings of the list.  It leaves the list with its end, unless the entry
 * had lapsed before.  What a former holder has read is not known.
 */
static bool may_have_left(const batch_worker_t *worker, int64_t now)
{
	bool is_end_listed =
		!worker->listed && worker->alive_at <= worker->unlisted_at;
	int64_t until = is_end_listed ? worker->unlisted_at : now;
	int64_t limit = MAX(worker->core->options.drain_time, CRASH_LIST_GAP);

	return until - worker->listed_at > limit;
}

/* The same for a worker that may live: nothing but a trial follows for a run
 * that is not known to have begun. */
static void miss(batch_task_t *head, const batch_worker_t *worker, int64_t now,
		 batch_suspicion_t suspicion, bool begun)
{
	batch_crashes_t *crashes = &head->crashes;
	batch_missing_run_t run = {
		.run = number_of_run(worker, head),
		.incarnation = incarnation_of_run(worker, head),
		.address = worker->address,
		.instance = worker->instance,
		.lost_at = now,
		.begun = begun,
		/* That it has ended is then no sign of a crash. */
		.if_crashed = may_have_left(worker, now) ? BATCH_SUSPECT_NONE
							 : suspicion,
	};

	crashes->counted_run = MAX(crashes->counted_run, run.run);
	if (suspicion >= BATCH_SUSPECT_SHARED)
		crashes->needs_trial = true;
	batch_job_changed(head->step->occ->job);
	batch_missing_add(base_str(worker->id), head, &run);
	log_suspicion(head, worker->id, run.run, now - worker->polled_at,
		      begun ? "lost, perhaps crashed"
			    : "lost, perhaps before the start");
	give_up_if_due(head);
}

void batch_crash_withdraw(batch_task_t *head, const batch_missing_run_t *run,
			  const char *worker)
{
	batch_crashes_t *crashes = &head->crashes;

	if (!batch_job_is_active(head->step->occ->job))
		return;
	batch_missing_uncount(head, run);
	if (!count_all(crashes))
		crashes->needs_trial = false;
	batch_job_changed(head->step->occ->job);
	log_suspicion(head, worker, run->run, 0, "it lives, not counted");
}

void batch_crash_confirm(batch_task_t *head, const batch_missing_run_t *run,
			 const char *worker, int64_t now)
{
	if (!batch_job_is_active(head->step->occ->job))
		return;
	batch_missing_uncount(head, run);
	count_crash(head, run->if_crashed);
	log_suspicion(head, worker, run->run, now - run->lost_at,
		      suspicion_names[run->if_crashed]);
}

/*
 * Unproven runs are the likely causes of a crash.  One on trial is the likely
 * one of them: runs beside it started once it had settled, or before a
 * takeover.  A start without an answer may have found the worker crashed.
 */
static batch_suspicion_t judge_unproven(const suspects_t *found,
					const batch_task_t *head)
{
	bool is_likely = found->on_trial ? head == found->on_trial
					 : found->unproven->len == 1;

	if (found->cordoned)
		return head->step->spec->long_running ? BATCH_SUSPECT_NONE
						      : BATCH_SUSPECT_POSSIBLE;
	if (!is_likely || found->correlated ||
	    found->begun->len < found->unproven->len)
		return BATCH_SUSPECT_SHARED;
	return found->unproven->len == 1 && !found->late->len
		       ? BATCH_SUSPECT_CERTAIN
		       : BATCH_SUSPECT_LIKELY;
}

/*
 * Without unproven runs, the young ones are the likely causes.  A rack that is
 * lost again and again must not give up what ran there, nor a task on trial
 * what ran beside it.  Long-running tasks do not count: at work for longer than
 * others, they meet more crashes.
 */
static batch_suspicion_t judge_young(const suspects_t *found,
				     const batch_task_t *head)
{
	if (head->step->spec->long_running)
		return BATCH_SUSPECT_NONE;
	if (found->cordoned)
		return BATCH_SUSPECT_POSSIBLE;
	if (found->correlated || found->on_trial)
		return BATCH_SUSPECT_NONE;
	if (found->unproven->len)
		return BATCH_SUSPECT_POSSIBLE;
	return found->young->len == 1 ? BATCH_SUSPECT_LIKELY
				      : BATCH_SUSPECT_SHARED;
}

typedef batch_suspicion_t judge_t(const suspects_t *found,
				  const batch_task_t *head);

static void count_suspects(const suspects_t *found, const GPtrArray *heads,
			   judge_t *judge, const batch_worker_t *worker,
			   int64_t now, batch_loss_cause_t cause)
{
	guint i;

	for (i = 0; i < heads->len; i++) {
		batch_task_t *head = g_ptr_array_index(heads, i);
		batch_suspicion_t suspicion = judge(found, head);

		if (suspicion == BATCH_SUSPECT_NONE ||
		    !batch_job_is_active(head->step->occ->job))
			continue;
		if (cause == BATCH_LOSS_CRASHED && !may_have_left(worker, now))
			suspect(head, worker, now, suspicion);
		else
			miss(head, worker, now, suspicion,
			     heads != found->unproven ||
				     g_ptr_array_find(found->begun, head,
						      NULL));
	}
}

static void record_loss(const batch_worker_t *worker, int64_t now)
{
	batch_loss_t loss = describe_loss(worker, now);

	g_array_append_val(worker->core->losses, loss);
	g_hash_table_add(worker->core->lost_workers, (gpointer)worker);
}

static void count_lost_worker(batch_worker_t *worker, int64_t now,
			      batch_loss_cause_t cause, int64_t present)
{
	suspects_t found;
	guint i;

	/* Whatever runs on a worker that leaves ends with it. */
	if (cause == BATCH_LOSS_ORDERED || worker->leaves)
		return;
	if (worker->replaced)
		cause = BATCH_LOSS_CRASHED;
	drop_past_losses(worker, now);
	batch_missing_expire(worker->core, now);
	found = find_suspects(worker, present);
	found.correlated = is_correlated(worker, now);
	found.cordoned = worker->cordoned;
	if (!found.cordoned &&
	    (cause == BATCH_LOSS_CRASHED || found.unproven->len))
		record_loss(worker, now);
	count_suspects(&found, found.unproven, judge_unproven, worker, now,
		       cause);
	count_suspects(&found, found.young, judge_young, worker, now, cause);
	for (i = 0; i < found.late->len && !found.cordoned; i++)
		((batch_task_t *)g_ptr_array_index(found.late, i))
			->crashes.needs_trial = true;
	free_suspects(&found);
}

void batch_crash_worker_lost(batch_worker_t *worker, int64_t now,
			     batch_loss_cause_t cause)
{
	count_lost_worker(worker, now, cause, 0);
	if (cause == BATCH_LOSS_CRASHED)
		batch_missing_resolve(worker->core, now, worker->id, 0);
}

void batch_crash_first_poll(batch_worker_t *worker, int64_t now,
			    int64_t incarnation)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const batch_run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->incarnation || run->incarnation == incarnation)
			continue;
		count_lost_worker(worker, now, BATCH_LOSS_CRASHED, incarnation);
		return;
	}
}

void batch_crash_restored(batch_task_t *task)
{
	give_up_if_due(task);
}

static void give_up(batch_job_t *job, int64_t now)
{
	const batch_task_t *task = job->crash_task;
	const batch_crashes_t *crashes = &task->crashes;

	job->given_up = (batch_given_up_t){
		.workers = count_losses(crashes),
		.occurrence = task->step->occ->number,
		.step = task->step->number,
		.index = task->index,
	};
	batch_log_emit(job->core,
		       &(batch_log_event_t){ .kind = BATCH_LOG_JOB_GIVEN_UP,
					     .task = batch_task_get_id(task),
					     .run = task->number,
					     .why = "workers that it crashed",
					     .value = job->given_up.workers });
	batch_job_end(job, now, BATCH_FAILED);
}

void batch_crash_tick(batch_t *core, int64_t now)
{
	guint i;

	if (!core->give_up_due)
		return;
	core->give_up_due = false;
	for (i = 0; i < core->active_jobs->len; i++) {
		batch_job_t *job = g_ptr_array_index(core->active_jobs, i);

		if (job->crash_task && batch_job_is_active(job))
			give_up(job, now);
	}
}
