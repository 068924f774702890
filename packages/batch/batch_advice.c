/*
 * Queues whose policy says which workers may run a step.
 *
 * Whoever knows the policy answers one question at a time, and takes longer
 * the more workers it names.  So few workers are asked about, those first that
 * would be chosen; what was answered is kept for the life of the worker, and a
 * ticket that runs out is asked for again only where the answer was good.
 */
#include "batch_int.h"

#define ADVICE_MIN 8  /* workers a question, where there are as many */
#define ADVICE_MAX 30 /* as many as the users count a step with */
#define ADVICE_PER_TASK 2
/* A ticket is used only if it is still valid when the start arrives. */
#define ADVICE_MARGIN (150 * BASE_MS)
#define ADVICE_RENEW (500 * BASE_MS) /* asked again so long before its end */
#define ADVICE_RETRY (300 * BASE_MS) /* after no answer */

static batch_permit_t *find_permit(const batch_step_t *step,
				   const batch_worker_t *worker)
{
	size_t n = talloc_array_length(step->permits);
	size_t i;

	for (i = 0; i < n; i++)
		if (step->permits[i].born == worker->born &&
		    !strcmp(step->permits[i].worker, worker->id))
			return &step->permits[i];
	return NULL;
}

static bool is_advised(const batch_task_t *task)
{
	const batch_queue_t *queue = task->step->occ->job->queue;

	return queue && queue->advised;
}

bool batch_advice_allows(const batch_task_t *task, const batch_worker_t *worker,
			 int64_t now)
{
	const batch_permit_t *permit;

	if (!is_advised(task))
		return true;
	permit = find_permit(task->step, worker);
	return permit && permit->ticket && permit->until > now + ADVICE_MARGIN;
}

base_str_t batch_advice_ticket(const batch_task_t *task,
			       const batch_worker_t *worker)
{
	const batch_permit_t *permit =
		is_advised(task) ? find_permit(task->step, worker) : NULL;

	return base_str(permit ? permit->ticket : NULL);
}

void batch_advice_refused(batch_task_t *task, const batch_worker_t *worker)
{
	batch_permit_t *permit = find_permit(task->step, worker);

	if (permit)
		permit->until = 0;
}

/* Tasks for which a worker is looked for. */
static int waiting(const batch_step_t *step)
{
	int n = 0;
	int i;

	for (i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		n += !task->done &&
		     (!task->run || task->run->worker->cordoned ||
		      task->run->worker->draining);
	}
	return n;
}

/* Whether the worker is worth asking about. */
static bool is_open(const batch_step_t *step, const batch_worker_t *worker,
		    int64_t now)
{
	const batch_permit_t *permit;

	if (!batch_worker_usable(worker, now))
		return false;
	permit = find_permit(step, worker);
	return !permit ||
	       (permit->ticket && permit->until < now + ADVICE_RENEW);
}

/* Known to be good, then those with the most room. */
static bool before(const batch_step_t *step, const batch_worker_t *a,
		   const batch_worker_t *b)
{
	bool known_a = find_permit(step, a) != NULL;
	bool known_b = find_permit(step, b) != NULL;

	if (known_a != known_b)
		return known_a;
	return a->capacity.cpu - a->used.cpu > b->capacity.cpu - b->used.cpu;
}

static size_t pick(const batch_step_t *step, const batch_pool_t *pool,
		   int64_t now, size_t max, const batch_worker_t **picked)
{
	size_t n = 0;
	size_t at;
	guint i;

	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);

		if (!is_open(step, worker, now))
			continue;
		for (at = n; at > 0 && before(step, worker, picked[at - 1]);
		     at--)
			if (at < max)
				picked[at] = picked[at - 1];
		if (at < max)
			picked[at] = worker;
		n = MIN(n + 1, max);
	}
	return n;
}

static void ask(batch_step_t *step, int64_t now, const batch_worker_t **picked,
		size_t n)
{
	batch_job_t *job = step->occ->job;
	batch_t *core = job->core;
	batch_asked_t *asked = talloc_zero(core, batch_asked_t);
	base_str_t ids[ADVICE_MAX];
	batch_question_t question = { .workers = ids, .n_workers = n };
	size_t i;

	asked->step = (batch_task_id_t){ { talloc_strdup(asked, job->id),
					   strlen(job->id) },
					 step->occ->number,
					 step->number,
					 0 };
	asked->workers = talloc_array(asked, char *, n);
	asked->born = talloc_array(asked, int64_t, n);
	asked->n = n;
	asked->at = now;
	for (i = 0; i < n; i++) {
		asked->workers[i] = talloc_strdup(asked, picked[i]->id);
		asked->born[i] = picked[i]->born;
		ids[i] = base_str(asked->workers[i]);
	}
	core->asked = asked;
	question.step = asked->step;
	core->options.ops->advise(core->options.arg, &question);
}

/* A step whose tasks wait, or will when those before it are done. */
static bool ask_step(batch_step_t *step, int64_t now)
{
	const batch_worker_t *picked[ADVICE_MAX];
	int tasks = waiting(step);
	size_t max =
		(size_t)CLAMP(tasks * ADVICE_PER_TASK, ADVICE_MIN, ADVICE_MAX);
	size_t n;

	if (!tasks)
		return false;
	n = pick(step, step->occ->job->queue->pool, now, max, picked);
	if (n)
		ask(step, now, picked, n);
	return n > 0;
}

bool batch_advice_job(batch_job_t *job, int64_t now)
{
	batch_t *core = job->core;
	guint i;
	int s;

	if (core->asked || now < core->ask_again)
		return false;
	if (!job->queue || !job->queue->advised)
		return true;
	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++)
			if ((job->begun || batch_step_open(&occ->steps[s])) &&
			    ask_step(&occ->steps[s], now))
				return false;
	}
	return true;
}

static void note_permit(batch_step_t *step, const batch_permit_t *seen)
{
	size_t n = talloc_array_length(step->permits);
	size_t i;

	for (i = 0; i < n; i++)
		if (step->permits[i].born == seen->born &&
		    !strcmp(step->permits[i].worker, seen->worker))
			break;
	if (i == n) {
		step->permits = talloc_realloc(step->occ, step->permits,
					       batch_permit_t, n + 1);
		step->permits[i].worker =
			talloc_strdup(step->permits, seen->worker);
		step->permits[i].born = seen->born;
		step->permits[i].ticket = NULL;
	}
	talloc_free(step->permits[i].ticket);
	step->permits[i].ticket = talloc_strdup(step->permits, seen->ticket);
	step->permits[i].until = seen->until;
}

void batch_advised(batch_t *core, int64_t now, const batch_ticket_t *tickets,
		   size_t n, int64_t validity)
{
	batch_asked_t *asked = core->asked;
	batch_task_t *task;
	size_t i;
	size_t j;

	if (!asked)
		return;
	core->asked = NULL;
	core->changed = true;
	if (!tickets)
		core->ask_again = now + ADVICE_RETRY;
	task = batch_find_task(core, &asked->step);
	for (i = 0; tickets && task && i < asked->n; i++) {
		batch_permit_t seen = { .worker = asked->workers[i],
					.born = asked->born[i] };

		for (j = 0; j < n; j++)
			if (base_str_eq(tickets[j].worker,
					base_str(seen.worker))) {
				seen.ticket =
					base_str_dup(asked, tickets[j].text);
				/* Valid from some moment after the question. */
				seen.until = asked->at + validity;
			}
		note_permit(task->step, &seen);
	}
	talloc_free(asked);
}
