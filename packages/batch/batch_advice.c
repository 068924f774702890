/*
 * Queues whose policy decides which workers may run a step.
 *
 * The policy service works on one question of an instance at a time, and takes
 * longer the more workers a question names (batch_advice_cost.c).  So one
 * question is asked at a time, about few workers, the preferred ones first.  A
 * question that takes much longer than expected is overdue: it stays open, as
 * its answer may still come, but holds back no other.  After that, the queue's
 * questions name fewer workers and may take longer.
 *
 * An answer is kept for the incarnation of the worker, and an expiring ticket
 * is renewed only for workers that the policy allowed.
 */
#include "batch_int.h"

#define ADVICE_WORKERS_MIN 8 /* workers in a question, if there are as many */
#define ADVICE_WORKERS_PER_TASK 2
/* A ticket is used only if it is still valid when the start arrives: for this
 * long, or for a quarter of its validity if that is less. */
#define ADVICE_TICKET_MARGIN (150 * BASE_MS)
#define ADVICE_TICKET_MARGIN_PART 4
/* A ticket is renewed this long before it expires, or earlier if the answer
 * takes longer, but never in the first half of its validity. */
#define ADVICE_RENEW_BEFORE (500 * BASE_MS)
/* The pass that asks, and the one that learns of the answer, may be late. */
#define ADVICE_RENEW_SLACK (2 * BATCH_PASS_INTERVAL)
/* Delay of a queue's next question after one that was refused; doubled up to
 * twice if more are. */
#define ADVICE_RETRY_DELAY (300 * BASE_MS)
#define ADVICE_RETRY_DOUBLINGS_MAX 2
/* Questions that are open at most: half of the calls that the users' service
 * lets wait. */
#define ADVICE_OPEN_MAX 16

static batch_permit_t *find_permit(const batch_step_t *step,
				   const batch_worker_t *worker)
{
	size_t n = talloc_array_length(step->permits);
	size_t i;

	for (i = 0; i < n; i++)
		if (step->permits[i].incarnation == worker->incarnation &&
		    !strcmp(step->permits[i].worker, worker->id))
			return &step->permits[i];
	return NULL;
}

static bool needs_ticket(const batch_task_t *task)
{
	const batch_queue_t *queue = task->step->occ->job->queue;

	return queue && queue->advised;
}

static int64_t ticket_margin(const batch_queue_t *queue)
{
	int64_t validity = batch_advice_cost_validity(&queue->advice);

	return validity > 0 ? MIN(ADVICE_TICKET_MARGIN,
				  validity / ADVICE_TICKET_MARGIN_PART)
			    : ADVICE_TICKET_MARGIN;
}

bool batch_advice_allows(const batch_task_t *task, const batch_worker_t *worker,
			 int64_t now)
{
	const batch_permit_t *permit;

	if (!needs_ticket(task))
		return true;
	permit = find_permit(task->step, worker);
	return permit && permit->ticket &&
	       permit->until > now + ticket_margin(task->step->occ->job->queue);
}

base_str_t batch_advice_ticket(const batch_task_t *task,
			       const batch_worker_t *worker)
{
	const batch_permit_t *permit =
		needs_ticket(task) ? find_permit(task->step, worker) : NULL;

	return base_str(permit ? permit->ticket : NULL);
}

void batch_advice_invalidate(batch_task_t *task, const batch_worker_t *worker)
{
	batch_permit_t *permit = find_permit(task->step, worker);

	if (permit)
		permit->until = 0;
}

/* Number of tasks of the step that need a worker. */
static int count_waiting(const batch_step_t *step)
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

/* A worker that a question may name. */
typedef struct candidate {
	const batch_worker_t *worker;
	bool has_room; /* for a task of the step */
	bool is_known; /* to be allowed; its ticket expires soon */
	int free_cpu;
} candidate_t;

/* What is known of the workers of a step's pool. */
typedef struct survey {
	candidate_t chosen[BATCH_ADVICE_WORKERS_MAX];
	size_t n;	 /* of the chosen */
	bool may_serve;	 /* a worker that takes work is large enough and
			  * has the label */
	bool is_allowed; /* the policy allows a worker */
} survey_t;

static int count_allowed(const batch_step_t *step)
{
	size_t n = talloc_array_length(step->permits);
	int allowed = 0;
	size_t i;

	for (i = 0; i < n; i++)
		allowed += step->permits[i].ticket != NULL;
	return allowed;
}

/* How long before they expire the tickets of the step are renewed. */
static int64_t renew_before(const batch_step_t *step, size_t max)
{
	const batch_queue_t *queue = step->occ->job->queue;
	int64_t validity = batch_advice_cost_validity(&queue->advice);
	size_t n = CLAMP((size_t)count_allowed(step), 1, max);
	int64_t needed = batch_advice_cost_expected(&queue->advice, n) +
			 ticket_margin(queue) + ADVICE_RENEW_SLACK;

	return MIN(MAX(needed, ADVICE_RENEW_BEFORE),
		   validity > 0 ? validity / 2 : ADVICE_RENEW_BEFORE);
}

/*
 * Workers with room come first: those without it must not keep the others from
 * being asked about.  Then those known to be allowed, then those with more free
 * cpu.
 */
static bool is_preferred(const candidate_t *a, const candidate_t *b)
{
	if (a->has_room != b->has_room)
		return a->has_room;
	if (a->is_known != b->is_known)
		return a->is_known;
	return a->free_cpu > b->free_cpu;
}

static void add_candidate(survey_t *survey, size_t max,
			  const candidate_t *candidate)
{
	size_t at;

	for (at = survey->n;
	     at > 0 && is_preferred(candidate, &survey->chosen[at - 1]); at--)
		if (at < max)
			survey->chosen[at] = survey->chosen[at - 1];
	if (at < max)
		survey->chosen[at] = *candidate;
	survey->n = MIN(survey->n + 1, max);
}

/* Chooses at most "max" workers that are not known yet, or whose tickets expire
 * soon. */
static void survey_pool(const batch_step_t *step, int64_t now, size_t max,
			survey_t *survey)
{
	const batch_pool_t *pool = step->occ->job->queue->pool;
	int64_t renew_at = now + renew_before(step, max);
	guint i;

	survey->n = 0;
	survey->may_serve = false;
	survey->is_allowed = count_allowed(step) > 0;
	for (i = 0; i < pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(pool->workers, i);
		const batch_permit_t *permit;

		if (!batch_worker_usable(worker, now) ||
		    !batch_fit_when_empty(worker, step->spec))
			continue;
		survey->may_serve = true;
		permit = find_permit(step, worker);
		if (permit && (!permit->ticket || permit->until >= renew_at))
			continue;
		add_candidate(
			survey, max,
			&(candidate_t){
				worker,
				batch_fit_has_capacity(worker, step->spec),
				permit != NULL,
				worker->capacity.cpu - worker->used.cpu,
			});
	}
}

static void send_question(batch_step_t *step, int64_t now,
			  const survey_t *survey)
{
	batch_job_t *job = step->occ->job;
	batch_t *core = job->core;
	batch_queue_t *queue = job->queue;
	size_t n = survey->n;
	batch_open_question_t *asked = talloc_zero(core, batch_open_question_t);
	base_str_t ids[BATCH_ADVICE_WORKERS_MAX];
	batch_question_t question = {
		.number = ++core->last_question,
		.queue = base_str(queue->name),
		.workers = ids,
		.n_workers = n,
		.attempt = queue->advice.unanswered + queue->advice.refused + 1,
		.expected = batch_advice_cost_expected(&queue->advice, n),
		.timeout = batch_advice_cost_timeout(&queue->advice, n),
	};
	size_t i;

	asked->number = question.number;
	asked->queue = queue;
	asked->step = (batch_task_id_t){ { talloc_strdup(asked, job->id),
					   strlen(job->id) },
					 step->occ->number,
					 step->number,
					 0 };
	asked->workers = talloc_array(asked, char *, n);
	asked->incarnations = talloc_array(asked, int64_t, n);
	asked->n = n;
	asked->at = now;
	asked->overdue_at = now + batch_advice_cost_overdue(&queue->advice, n);
	for (i = 0; i < n; i++) {
		const batch_worker_t *worker = survey->chosen[i].worker;

		asked->workers[i] = talloc_strdup(asked, worker->id);
		asked->incarnations[i] = worker->incarnation;
		ids[i] = base_str(asked->workers[i]);
	}
	asked->next = core->open_questions;
	core->open_questions = asked;
	step->advice_turn_at = now;
	queue->asked_at = now;
	queue->ask_not_before =
		now + batch_advice_cost_retry(&queue->advice, n);
	question.step = asked->step;
	core->options.ops->advise(core->options.arg, &question);
}

/* Whether a question is open that is not overdue, or as many as may be. */
static bool has_to_wait(batch_t *core, int64_t now)
{
	batch_open_question_t *asked;
	bool wait = false;
	int n = 0;

	for (asked = core->open_questions; asked; asked = asked->next) {
		n++;
		if (now < asked->overdue_at) {
			wait = true;
		} else if (!asked->is_overdue) {
			asked->is_overdue = true;
			batch_advice_cost_unanswered(&asked->queue->advice,
						     asked->n);
		}
	}
	return wait || n >= ADVICE_OPEN_MAX;
}

bool batch_advice_search_begin(batch_advice_search_t *search, batch_t *core,
			       int64_t now)
{
	*search = (batch_advice_search_t){ .now = now };
	if (has_to_wait(core, now))
		return false;
	search->by_rank = core->last_question % 2 == 0;
	return true;
}

/* Whether it is the step's turn rather than that of the one found so far. */
static bool is_earlier(const batch_step_t *step, const batch_step_t *found)
{
	const batch_queue_t *a = step->occ->job->queue;
	const batch_queue_t *b = found ? found->occ->job->queue : NULL;

	if (!found)
		return true;
	if (a->asked_at != b->asked_at)
		return a->asked_at < b->asked_at;
	return step->advice_turn_at < found->advice_turn_at;
}

/* Whether there is something to ask about the step. */
static bool has_question(batch_step_t *step, int64_t now)
{
	batch_queue_t *queue = step->occ->job->queue;
	survey_t survey;

	if (!count_waiting(step))
		return false;
	if (!step->advice_turn_at)
		step->advice_turn_at = now;
	survey_pool(step, now, 1, &survey);
	if (!survey.n && survey.may_serve && !survey.is_allowed)
		queue->pool->excluded_at = now;
	return survey.n > 0;
}

bool batch_advice_search(batch_advice_search_t *search, batch_job_t *job)
{
	guint i;
	int s;

	if (!job->queue || !job->queue->advised ||
	    search->now < job->queue->ask_not_before)
		return true;
	for (i = 0; i < job->occs->len; i++) {
		batch_occ_t *occ = g_ptr_array_index(job->occs, i);

		for (s = 0; s < job->spec.n_steps; s++) {
			batch_step_t *step = &occ->steps[s];

			if (!job->start_decided && !batch_step_is_ready(step))
				continue;
			if (!is_earlier(step, search->found) ||
			    !has_question(step, search->now))
				continue;
			search->found = step;
			if (search->by_rank)
				return false;
		}
	}
	return true;
}

void batch_advice_search_end(const batch_advice_search_t *search)
{
	batch_step_t *step = search->found;
	survey_t survey;
	size_t max;

	if (!step)
		return;
	max = (size_t)CLAMP(count_waiting(step) * ADVICE_WORKERS_PER_TASK,
			    ADVICE_WORKERS_MIN, BATCH_ADVICE_WORKERS_MAX);
	max = batch_advice_cost_limit(&step->occ->job->queue->advice, max);
	survey_pool(step, search->now, max, &survey);
	if (survey.n)
		send_question(step, search->now, &survey);
}

bool batch_advice_is_awaited(const batch_task_t *task, int64_t now)
{
	const batch_step_t *step = task->step;
	const batch_queue_t *queue = step->occ->job->queue;
	guint i;

	if (!needs_ticket(task))
		return false;
	for (i = 0; i < queue->pool->workers->len; i++) {
		const batch_worker_t *worker =
			g_ptr_array_index(queue->pool->workers, i);

		if (batch_worker_usable(worker, now) &&
		    batch_fit_when_empty(worker, step->spec) &&
		    !find_permit(step, worker))
			return true;
	}
	return false;
}

static const char *const outcome_names[BATCH_ADVICE_OUTCOME_MAX] = {
	[BATCH_ADVICE_ANSWERED] = "answered",
	[BATCH_ADVICE_REFUSED] = "refused",
	[BATCH_ADVICE_UNANSWERED] = "unanswered",
};

const char *batch_advice_outcome_name(batch_advice_outcome_t outcome)
{
	return outcome_names[outcome];
}

static void store_permit(batch_step_t *step, const batch_permit_t *permit)
{
	size_t n = talloc_array_length(step->permits);
	size_t i;

	for (i = 0; i < n; i++)
		if (step->permits[i].incarnation == permit->incarnation &&
		    !strcmp(step->permits[i].worker, permit->worker))
			break;
	if (i == n) {
		step->permits = talloc_realloc(step->occ, step->permits,
					       batch_permit_t, n + 1);
		step->permits[i].worker =
			talloc_strdup(step->permits, permit->worker);
		step->permits[i].incarnation = permit->incarnation;
		step->permits[i].ticket = NULL;
	}
	talloc_free(step->permits[i].ticket);
	step->permits[i].ticket = talloc_strdup(step->permits, permit->ticket);
	step->permits[i].until = permit->until;
}

static batch_open_question_t *take_question(batch_t *core, uint64_t number)
{
	batch_open_question_t **at;

	for (at = &core->open_questions; *at; at = &(*at)->next)
		if ((*at)->number == number) {
			batch_open_question_t *asked = *at;

			*at = asked->next;
			return asked;
		}
	return NULL;
}

/*
 * A ticket is issued between the question and its answer.  Where the question
 * took most of its validity, the worker has to say whether it is still valid.
 */
static int64_t ticket_end(const batch_open_question_t *asked, int64_t now)
{
	const batch_queue_t *queue = asked->queue;
	int64_t validity = batch_advice_cost_validity(&queue->advice);

	if (validity <= 0)
		return INT64_MAX / 2;
	if (asked->at + validity - now > 2 * ticket_margin(queue))
		return asked->at + validity;
	return now + validity;
}

static void store_answer(batch_t *core, batch_open_question_t *asked,
			 int64_t now, const batch_advice_t *advice)
{
	batch_task_t *task = batch_find_task(core, &asked->step);
	size_t i;
	size_t j;

	for (i = 0; task && i < asked->n; i++) {
		batch_permit_t permit = { .worker = asked->workers[i],
					  .incarnation =
						  asked->incarnations[i] };

		for (j = 0; j < advice->n; j++)
			if (base_str_eq(advice->tickets[j].worker,
					base_str(permit.worker))) {
				permit.ticket = base_str_dup(
					asked, advice->tickets[j].text);
				permit.until = ticket_end(asked, now);
			}
		store_permit(task->step, &permit);
	}
}

static void delay_next(batch_queue_t *queue, int64_t now)
{
	int doublings =
		CLAMP(queue->advice.refused - 1, 0, ADVICE_RETRY_DOUBLINGS_MAX);

	queue->ask_not_before = now + (ADVICE_RETRY_DELAY << doublings);
}

void batch_advice_answer(batch_t *core, int64_t now, uint64_t question,
			 const batch_advice_t *advice)
{
	batch_open_question_t *asked = take_question(core, question);
	batch_advice_cost_t *cost;

	if (!asked)
		return;
	core->pass_needed = true;
	cost = &asked->queue->advice;
	switch (advice->outcome) {
	case BATCH_ADVICE_ANSWERED:
		/* The service took it up after the one answered before. */
		batch_advice_cost_answered(
			cost, asked->n,
			now - MAX(asked->at, core->advice_answered_at),
			advice->validity);
		core->advice_answered_at = now;
		asked->queue->ask_not_before = 0;
		store_answer(core, asked, now, advice);
		break;
	case BATCH_ADVICE_REFUSED:
		batch_advice_cost_refused(cost, asked->n);
		delay_next(asked->queue, now);
		break;
	default:
		if (!asked->is_overdue)
			batch_advice_cost_unanswered(cost, asked->n);
		break;
	}
	talloc_free(asked);
}
