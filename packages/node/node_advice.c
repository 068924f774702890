/*
 * Asks the service that knows the policy of advised queues which workers may
 * run a step, on behalf of the core.
 */
#include "node_int.h"

static void advice_answered(void *arg, const node_advice_t *advice)
{
	node_holder_t *holder = arg;
	int64_t now = base_clock_mono();

	if (holder->ended)
		return;
	node_log(holder->node, BASE_MSG_ADVICE,
		 BASE_F_STR("id", holder->advice_id),
		 BASE_F_INT("step", holder->advice_step),
		 BASE_F_BOOL("ok", advice->ok),
		 BASE_F_INT("good", (int64_t)advice->n),
		 BASE_F_INT("valid_us", advice->validity),
		 BASE_F_INT("took_us", now - holder->advice_asked_at),
		 BASE_F_INT("term", holder->term));
	batch_advice_answer(holder->core, now,
			    advice->ok ? advice->tickets : NULL, advice->n,
			    advice->validity);
	node_holder_step_soon(holder);
}

/* Runs from the loop: the core must not be called back from within its
 * question. */
static void no_advice_service(void *arg)
{
	node_advice_t none = { .ok = false };

	advice_answered(arg, &none);
}

void node_advise(void *arg, const batch_question_t *question)
{
	node_holder_t *holder = arg;

	talloc_free(holder->advice_id);
	holder->advice_id = base_str_dup(holder, question->step.job);
	holder->advice_step = question->step.step;
	holder->advice_asked_at = base_clock_mono();
	if (!holder->advice) {
		net_defer(holder->node->loop, no_advice_service, holder);
		return;
	}
	node_metrics_count(holder->node, NODE_COUNT_ADVICE);
	holder->node->platform->advise(holder->advice, question,
				       advice_answered, holder);
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
