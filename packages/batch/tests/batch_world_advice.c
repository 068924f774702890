/*
 * The policy service of the simulation.  It works on one question at a time, in
 * turn, also on those that were given up; a ticket is issued with the answer.
 */
#include <stdlib.h>

#include "batch_world_int.h"

/* Questions that wait at most. */
#define WAITING_MAX 32

/* A question at the service. */
typedef struct question {
	uint64_t number;
	char *asked[WORLD_ADVICE_MAX];
	size_t n;
	int64_t begun_at; /* when the service takes it up */
	int64_t done_at;
	int64_t given_up_at;
	bool is_refused;
	bool is_lost; /* its answer never comes */
	bool is_told; /* the core knows its outcome */
} question_t;

static void question_free(void *data)
{
	question_t *question = data;
	size_t i;

	for (i = 0; i < question->n; i++)
		g_free(question->asked[i]);
	g_free(question);
}

GPtrArray *world_advice_new(void)
{
	return g_ptr_array_new_with_free_func(question_free);
}

void world_advice_ask(world_t *world, const batch_question_t *asked)
{
	world_advice_t *service = &world->advice;
	question_t *question = g_new0(question_t, 1);
	size_t i;

	g_assert_cmpuint(asked->n_workers, >=, 1);
	g_assert_cmpuint(asked->n_workers, <=, WORLD_ADVICE_MAX);
	world->questions++;
	question->number = asked->number;
	question->n = asked->n_workers;
	for (i = 0; i < asked->n_workers; i++)
		question->asked[i] =
			g_strndup(asked->workers[i].ptr, asked->workers[i].len);
	question->given_up_at = world->now + asked->timeout;
	question->is_refused =
		service->questions->len >= WAITING_MAX || service->is_down;
	question->is_lost = base_str_eq(asked->queue, service->silent_queue);
	if (service->lost_percent && world_chance(world, service->lost_percent))
		question->is_lost = true;
	if (!question->is_refused) {
		question->begun_at = MAX(service->free_at, world->now);
		service->free_at = question->begun_at + service->decision +
				   (int64_t)asked->n_workers * service->period;
		question->done_at = service->free_at;
	}
	g_ptr_array_add(service->questions, question);
}

static void answer(world_t *world, const question_t *question)
{
	batch_ticket_t tickets[WORLD_ADVICE_MAX];
	batch_advice_t advice = { .outcome = BATCH_ADVICE_ANSWERED,
				  .tickets = tickets,
				  .validity = world->advice.validity };
	int64_t issued_at =
		world->advice.issues_early ? question->begun_at : world->now;
	int64_t expires_at = issued_at + world->advice.validity;
	size_t i;

	for (i = 0; i < question->n; i++) {
		const world_worker_t *worker =
			world_find_worker(world, question->asked[i]);

		if (!worker || !worker->allowed)
			continue;
		tickets[advice.n].worker = base_str(worker->id);
		tickets[advice.n++].text = base_str(
			g_strdup_printf("%lld", (long long)expires_at));
	}
	batch_advice_answer(world->core, world->now, question->number, &advice);
	for (i = 0; i < advice.n; i++)
		g_free((char *)tickets[i].text.ptr);
}

static void end(world_t *world, const question_t *question,
		batch_advice_outcome_t outcome)
{
	batch_advice_t none = { .outcome = outcome };

	batch_advice_answer(world->core, world->now, question->number, &none);
}

/* Tells the core what has become of the question. */
static void report(world_t *world, question_t *question)
{
	if (question->is_told)
		return;
	if (question->is_refused) {
		question->is_told = true;
		end(world, question, BATCH_ADVICE_REFUSED);
	} else if (world->now >= question->given_up_at) {
		question->is_told = true;
		end(world, question, BATCH_ADVICE_UNANSWERED);
	} else if (world->now >= question->done_at && !question->is_lost) {
		question->is_told = true;
		answer(world, question);
	}
}

void world_advice_advance(world_t *world)
{
	GPtrArray *questions = world->advice.questions;
	guint i = 0;

	while (i < questions->len) {
		question_t *question = g_ptr_array_index(questions, i);

		report(world, question);
		if (question->is_told && world->now >= question->done_at)
			g_ptr_array_remove_index(questions, i);
		else
			i++;
	}
}

/* The calls of a holder that has ended are answered to nobody. */
void world_advice_forget(world_t *world)
{
	GPtrArray *questions = world->advice.questions;
	guint i;

	for (i = 0; i < questions->len; i++)
		((question_t *)g_ptr_array_index(questions, i))->is_told = true;
}

bool world_ticket_is_valid(const world_t *world, base_str_t ticket)
{
	char *text = base_str_dup(NULL, ticket);
	bool is_valid = strtoll(text, NULL, 10) > world->now;

	talloc_free(text);
	return is_valid;
}
