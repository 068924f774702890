/*
 * Asks the service that knows the policy of advised queues which workers may
 * run a step, on behalf of the core.
 */
#include "node_int.h"

static void advice_answered(void *arg, const node_advice_t *advice)
{
	node_owner_t *owner = arg;
	int64_t now = base_clock_mono();

	if (owner->ended)
		return;
	node_log(owner->node, BASE_MSG_ADVICE,
		 BASE_F_STR("id", owner->advice_id),
		 BASE_F_INT("step", owner->advice_step),
		 BASE_F_BOOL("ok", advice->ok),
		 BASE_F_INT("good", (int64_t)advice->n),
		 BASE_F_INT("valid_us", advice->validity),
		 BASE_F_INT("took_us", now - owner->advice_asked),
		 BASE_F_INT("term", owner->term));
	batch_advised(owner->core, now, advice->ok ? advice->tickets : NULL,
		      advice->n, advice->validity);
	node_owner_wake(owner);
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
	node_owner_t *owner = arg;

	talloc_free(owner->advice_id);
	owner->advice_id = base_str_dup(owner, question->step.job);
	owner->advice_step = question->step.step;
	owner->advice_asked = base_clock_mono();
	if (!owner->advice) {
		net_later(owner->node->loop, no_advice_service, owner);
		return;
	}
	node_count(owner->node, NODE_COUNT_ADVICE);
	owner->node->platform->advise(owner->advice, question, advice_answered,
				      owner);
}

void node_advice_begin(node_owner_t *owner)
{
	const node_t *node = owner->node;

	if (!node->settings->advice)
		return;
	owner->advice = node->platform->advice_new(owner, node->loop,
						   node->settings->advice);
	if (!owner->advice)
		node_log(
			owner->node, BASE_MSG_SETTINGS_BAD,
			BASE_F_STR("file", node->settings_file),
			BASE_F_STR("why", "\"advice\" is not a valid address"));
}
