#include "sp_int.h"

/* Validity of a ticket, unless a test sets another. */
#define ADVICE_VALID_MS 1500

/* The ticket for tasks of one step on one incarnation of a worker. */
static char *new_ticket(const sp_worker_t *worker, const char *step, size_t len)
{
	return g_strdup_printf("t-%s-%.*s", worker->id, (int)len, step);
}

static bool is_eligible(const sp_worker_t *worker)
{
	return worker->index % 2 == 0;
}

static const sp_worker_t *find_worker(const sp_t *sp, const char *id)
{
	int i;

	for (i = 0; id && i < sp->n_workers; i++)
		if (sp->workers[i].up && !strcmp(sp->workers[i].id, id))
			return &sp->workers[i];
	return NULL;
}

/* A question whose answer is under way. */
typedef struct sp_question {
	sp_t *sp;
	net_exchange_t *exchange;
	net_timer_t *timer;
	json_t *eligible;
} sp_question_t;

static void answer(void *arg)
{
	sp_question_t *question = arg;
	const sp_t *sp = question->sp;

	sp_reply_json(question->exchange, 200,
		      json_pack("{s:o,s:i}", "good", question->eligible,
				"validityMs",
				sp->advice_valid_ms ? sp->advice_valid_ms
						    : ADVICE_VALID_MS));
	talloc_free(question);
}

/* Answers in turn, after the time that this many workers take. */
static void answer_in_turn(sp_t *sp, net_exchange_t *exchange, json_t *eligible,
			   size_t workers)
{
	sp_question_t *question = talloc_zero(sp, sp_question_t);
	int64_t now = base_clock_mono();
	int64_t takes =
		(sp->advice_ms + (int64_t)workers * sp->advice_each_ms) *
		BASE_MS;

	question->sp = sp;
	question->exchange = exchange;
	question->eligible = eligible;
	question->timer = net_timer_new(question, sp->loop, answer, question);
	sp->advice_free_at = MAX(sp->advice_free_at, now) + takes;
	net_timer_start(question->timer, sp->advice_free_at - now);
}

void sp_advice_serve(sp_t *sp, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *step = json_string_value(json_object_get(root, "step"));
	const json_t *ids = json_object_get(root, "workers");
	json_t *eligible = json_array();
	size_t i;

	sp->advice_requests++;
	for (i = 0; step && i < json_array_size(ids); i++) {
		const sp_worker_t *worker = find_worker(
			sp, json_string_value(json_array_get(ids, i)));
		char *ticket;

		if (!worker || !is_eligible(worker))
			continue;
		ticket = new_ticket(worker, step, strlen(step));
		json_array_append_new(eligible,
				      json_pack("[s,s]", worker->id, ticket));
		g_free(ticket);
	}
	answer_in_turn(sp, exchange, eligible, json_array_size(ids));
	json_decref(root);
}

bool sp_advice_allows(const sp_worker_t *worker, const sp_run_t *run,
		      const json_t *root)
{
	const char *received =
		json_string_value(json_object_get(root, "ticket"));
	const char *end = strrchr(run->task, '.');
	char *expected;
	bool is_valid;

	if (!worker->sp->requires_ticket)
		return true;
	/* A task name is its step, a dot and the index within the step. */
	expected =
		new_ticket(worker, run->task,
			   end ? (size_t)(end - run->task) : strlen(run->task));
	is_valid =
		is_eligible(worker) && received && !strcmp(received, expected);
	g_free(expected);
	worker->sp->tickets_refused += !is_valid;
	return is_valid;
}
