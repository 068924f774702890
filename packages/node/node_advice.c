/*
 * Asks the service that knows the policy of advised queues which workers may
 * run a step, on behalf of the core.
 */
#include "node_int.h"

/* An open question. */
typedef struct asked {
	node_holder_t *holder;
	uint64_t number;
	char *id; /* of the job */
	char *queue;
	int step;
	size_t workers;
	int attempt;
	int64_t expected;
	int64_t timeout;
	int64_t at;
} asked_t;

static void log_answer(const asked_t *asked, const batch_advice_t *advice)
{
	const node_holder_t *holder = asked->holder;

	node_log(holder->node, BASE_MSG_ADVICE, BASE_F_STR("id", asked->id),
		 BASE_F_STR("queue", asked->queue),
		 BASE_F_INT("step", asked->step),
		 BASE_F_STR("outcome",
			    batch_advice_outcome_name(advice->outcome)),
		 BASE_F_INT("asked", (int64_t)asked->workers),
		 BASE_F_INT("good", (int64_t)advice->n),
		 BASE_F_INT("attempt", asked->attempt),
		 BASE_F_INT("valid_us", advice->validity),
		 BASE_F_INT("took_us", base_clock_mono() - asked->at),
		 BASE_F_INT("expected_us", asked->expected),
		 BASE_F_INT("timeout_us", asked->timeout),
		 BASE_F_INT("term", holder->term));
}

static const node_count_t outcome_counts[BATCH_ADVICE_OUTCOME_MAX] = {
	[BATCH_ADVICE_ANSWERED] = NODE_COUNT_ADVICE_ANSWERED,
	[BATCH_ADVICE_REFUSED] = NODE_COUNT_ADVICE_REFUSED,
	[BATCH_ADVICE_UNANSWERED] = NODE_COUNT_ADVICE_UNANSWERED,
};

static void advice_answered(void *arg, const batch_advice_t *advice)
{
	asked_t *asked = arg;
	node_holder_t *holder = asked->holder;

	if (!holder->ended) {
		node_metrics_count(holder->node,
				   outcome_counts[advice->outcome]);
		log_answer(asked, advice);
		batch_advice_answer(holder->core, base_clock_mono(),
				    asked->number, advice);
		node_holder_step_soon(holder);
	}
	talloc_free(asked);
}

/* Runs from the loop: the core must not be called back from within its
 * question. */
static void no_advice_service(void *arg)
{
	batch_advice_t none = { .outcome = BATCH_ADVICE_REFUSED };

	advice_answered(arg, &none);
}

void node_advise(void *arg, const batch_question_t *question)
{
	node_holder_t *holder = arg;
	asked_t *asked = talloc_zero(holder, asked_t);

	*asked = (asked_t){
		.holder = holder,
		.number = question->number,
		.id = base_str_dup(asked, question->step.job),
		.queue = base_str_dup(asked, question->queue),
		.step = question->step.step,
		.workers = question->n_workers,
		.attempt = question->attempt,
		.expected = question->expected,
		.timeout = question->timeout,
		.at = base_clock_mono(),
	};
	if (!holder->advice) {
		net_defer(holder->node->loop, no_advice_service, asked);
		return;
	}
	node_metrics_count(holder->node, NODE_COUNT_ADVICE);
	holder->node->platform->advise(holder->advice, question,
				       advice_answered, asked);
}

void node_advice_begin(node_holder_t *holder)
{
	const node_t *node = holder->node;

	if (!node->settings->advice)
		return;
	holder->advice = node->platform->advice_new(holder, node->loop,
						    node->settings->advice);
	if (!holder->advice)
		node_log(
			holder->node, BASE_MSG_SETTINGS_BAD,
			BASE_F_STR("file", node->settings_file),
			BASE_F_STR("why", "\"advice\" is not a valid address"));
}
