/*
 * Orders to workers: the operations through which the core takes effect, and
 * the log of its decisions.
 */
#include "node_worker_int.h"

typedef struct order_call {
	node_holder_t *holder;
	batch_order_t order;
	const node_link_t *link; /* compared only; it may be freed */
	int64_t sent_at;
	bool is_start; /* false: it stops or paces a run */
} order_call_t;

static const batch_answer_t batch_answers[NODE_ORDER_STATUS_MAX] = {
	[NODE_ORDER_OK] = BATCH_ANSWER_OK,
	[NODE_ORDER_FENCED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_STALE_RUN] = BATCH_ANSWER_STALE_RUN,
	[NODE_ORDER_LEASE_EXPIRED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_NO_CAPACITY] = BATCH_ANSWER_NO_CAPACITY,
	[NODE_ORDER_INVALID_TICKET] = BATCH_ANSWER_INVALID_TICKET,
	[NODE_ORDER_REFUSED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_OTHER_INCARNATION] = BATCH_ANSWER_OTHER_INCARNATION,
	[NODE_ORDER_UNSENT] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_NO_REPLY] = BATCH_ANSWER_NO_REPLY,
};

static const char *const order_status_names[NODE_ORDER_STATUS_MAX] = {
	[NODE_ORDER_OK] = "ok",
	[NODE_ORDER_FENCED] = "fenced",
	[NODE_ORDER_STALE_RUN] = "old",
	[NODE_ORDER_LEASE_EXPIRED] = "late",
	[NODE_ORDER_NO_CAPACITY] = "no room",
	[NODE_ORDER_INVALID_TICKET] = "no valid ticket",
	[NODE_ORDER_REFUSED] = "refused",
	[NODE_ORDER_OTHER_INCARNATION] = "another life",
	[NODE_ORDER_UNSENT] = "not sent",
	[NODE_ORDER_NO_REPLY] = "no answer",
};

static node_worker_t *find_worker(node_holder_t *holder,
				  const batch_order_t *order)
{
	char *id = base_str_dup(NULL, order->worker);
	node_worker_t *worker = g_hash_table_lookup(holder->worker_links, id);

	talloc_free(id);
	return worker;
}

/*
 * Whether the worker of the order lives at that address or has ended.  One that
 * did not answer there yet may live at another address.
 */
static bool is_at_address(const order_call_t *call)
{
	const node_worker_t *worker = find_worker(call->holder, &call->order);

	return worker && worker->link == call->link && worker->has_answered;
}

static batch_answer_t batch_answer(const order_call_t *call,
				   node_order_status_t status)
{
	if (status == NODE_ORDER_OTHER_INCARNATION && !call->is_start &&
	    !is_at_address(call))
		return BATCH_ANSWER_NO_REPLY;
	return batch_answers[status];
}

static void order_answered(void *arg, const node_poll_result_t *answer)
{
	order_call_t *call = arg;
	node_holder_t *holder = call->holder;
	int64_t now = base_clock_mono();

	node_worker_t *worker;

	if (holder->ended)
		return;
	worker = find_worker(holder, &call->order);
	if (worker && answer->order_status != NODE_ORDER_OTHER_INCARNATION)
		node_worker_clock_read(worker, answer->clock);
	if (worker && call->is_start && !answer->is_unreached &&
	    answer->order_status == NODE_ORDER_NO_REPLY)
		node_worker_grant_unanswered(worker, call->sent_at);
	node_metrics_add_time(holder->node, NODE_TIME_ORDER,
			      now - call->sent_at);
	if (answer->order_status != NODE_ORDER_OK)
		node_log(holder->node, BASE_MSG_ORDER_FAILED,
			 BASE_F_STR("order", call->is_start ? "start" : "stop"),
			 BASE_F_STR("id", call->order.task.job.ptr),
			 BASE_F_INT("step", call->order.task.step),
			 BASE_F_INT("index", call->order.task.index),
			 BASE_F_INT("run", call->order.run),
			 BASE_F_STR("worker", call->order.worker.ptr),
			 BASE_F_STR("fate",
				    order_status_names[answer->order_status]));
	if (answer->order_status == NODE_ORDER_FENCED) {
		node_election_lost(holder->node, "fenced by a worker");
		return;
	}
	if (call->is_start)
		batch_start_answer(holder->core, now, &call->order,
				   batch_answers[answer->order_status]);
	else
		batch_stop_answer(holder->core, now, &call->order,
				  batch_answer(call, answer->order_status));
	node_holder_step_soon(holder);
	talloc_free(call);
}

static order_call_t *order_call(node_holder_t *holder,
				const batch_order_t *order, bool is_start)
{
	order_call_t *call = talloc_zero(holder, order_call_t);

	call->holder = holder;
	call->order = *order;
	call->order.task.job = base_str(base_str_dup(call, order->task.job));
	call->order.worker = base_str(base_str_dup(call, order->worker));
	call->order.payload = BASE_STR("");
	call->order.checkpoint = BASE_STR("");
	call->order.ticket = BASE_STR("");
	call->sent_at = base_clock_mono();
	call->is_start = is_start;
	return call;
}

static void order_not_sent(void *arg)
{
	node_poll_result_t answer = { .order_status = NODE_ORDER_UNSENT,
				      .clock = -1 };

	order_answered(arg, &answer);
}

/* Logs how long this holder took to start its first run, and at what cost. */
static void log_first_start(node_holder_t *holder)
{
	int64_t now = base_clock_mono();

	holder->first_start_logged = true;
	node_log(holder->node, BASE_MSG_FIRST_START,
		 BASE_F_INT("term", holder->term),
		 BASE_F_INT("taken_us_ago", now - holder->taken_at),
		 BASE_F_INT("process_us_ago",
			    now - holder->node->process_started_at),
		 BASE_F_INT("store_calls",
			    (int64_t)node_store_calls(holder->node)),
		 BASE_F_INT("processor_us", base_clock_processor()));
}

static void start_run(void *arg, const batch_order_t *order)
{
	node_holder_t *holder = arg;
	node_worker_t *worker = find_worker(holder, order);
	order_call_t *call = order_call(holder, order, true);

	if (!worker || worker->clock < 0 || !node_holder_may_decide(holder)) {
		net_defer(holder->node->loop, order_not_sent, call);
		return;
	}
	if (!holder->first_start_logged)
		log_first_start(holder);
	node_metrics_count(holder->node, NODE_COUNT_ORDER);
	holder->node->platform->start(worker->link, order, holder->term,
				      node_worker_grant_lease(worker),
				      order_answered, call);
}

static void stop_run(void *arg, const batch_order_t *order)
{
	node_holder_t *holder = arg;
	node_worker_t *worker = find_worker(holder, order);
	order_call_t *call;

	/* Without a link the run ends with the worker's lease. */
	if (!worker)
		return;
	call = order_call(holder, order, false);
	call->link = worker->link;
	/* Polls are still answered, and lead to stops, after the end of the
	 * holder's lease. */
	if (!node_holder_may_decide(holder)) {
		net_defer(holder->node->loop, order_not_sent, call);
		return;
	}
	node_metrics_count(holder->node, NODE_COUNT_ORDER);
	holder->node->platform->stop(worker->link, order, holder->term,
				     order_answered, call);
}

static void pace_answered(void *arg, const node_poll_result_t *answer)
{
	order_call_t *call = arg;

	if (answer->order_status != NODE_ORDER_OK && !call->holder->ended)
		node_log(call->holder->node, BASE_MSG_ORDER_FAILED,
			 BASE_F_STR("order", "pace"),
			 BASE_F_STR("id", call->order.task.job.ptr),
			 BASE_F_STR("worker", call->order.worker.ptr),
			 BASE_F_STR("fate",
				    order_status_names[answer->order_status]));
	talloc_free(call);
}

static void pace_run(void *arg, const batch_order_t *order)
{
	node_holder_t *holder = arg;
	node_worker_t *worker = find_worker(holder, order);

	/* A pace changes no run, so that it is ordered as long as workers are
	 * polled. */
	if (!worker || !node_holder_may_extend(holder))
		return;
	node_metrics_count(holder->node, NODE_COUNT_ORDER);
	holder->node->platform->pace(worker->link, order, holder->term,
				     pace_answered,
				     order_call(holder, order, false));
}

static const base_msg_t event_messages[BATCH_LOG_MAX] = {
	[BATCH_LOG_JOB_ACCEPTED] = BASE_MSG_JOB_ACCEPTED,
	[BATCH_LOG_JOB_REFUSED] = BASE_MSG_JOB_REFUSED,
	[BATCH_LOG_JOB_ENDED] = BASE_MSG_JOB_ENDED,
	[BATCH_LOG_JOB_CANCELLED] = BASE_MSG_JOB_CANCELLED,
	[BATCH_LOG_STEP_STARTED] = BASE_MSG_STEP_STARTED,
	[BATCH_LOG_STEP_PLACED] = BASE_MSG_STEP_PLACED,
	[BATCH_LOG_RUN_SENT] = BASE_MSG_RUN_SENT,
	[BATCH_LOG_RUN_DONE] = BASE_MSG_RUN_DONE,
	[BATCH_LOG_RUN_FAILED] = BASE_MSG_RUN_FAILED,
	[BATCH_LOG_RUN_LOST] = BASE_MSG_RUN_LOST,
	[BATCH_LOG_RUN_STOPPED] = BASE_MSG_RUN_STOPPED,
	[BATCH_LOG_RUN_COPIED] = BASE_MSG_RUN_COPIED,
	[BATCH_LOG_RUN_IN_DOUBT] = BASE_MSG_RUN_DOUBTED,
	[BATCH_LOG_STOP_VOID] = BASE_MSG_STOP_VOID,
	[BATCH_LOG_STOP_HOLDS] = BASE_MSG_STOP_HOLDS,
	[BATCH_LOG_END_UNMATCHED] = BASE_MSG_END_UNMATCHED,
	[BATCH_LOG_WORKER_QUARANTINED] = BASE_MSG_WORKER_OUT,
	[BATCH_LOG_WORKER_ON_TRIAL] = BASE_MSG_WORKER_BACK,
	[BATCH_LOG_PACED] = BASE_MSG_PACED,
	[BATCH_LOG_WORKER_CAPACITY] = BASE_MSG_WORKER_CAPACITY,
	[BATCH_LOG_RUN_SUSPECTED] = BASE_MSG_RUN_SUSPECTED,
	[BATCH_LOG_JOB_GIVEN_UP] = BASE_MSG_JOB_GIVEN_UP,
	[BATCH_LOG_TASK_WAITS] = BASE_MSG_TASK_WAITS,
	[BATCH_LOG_OCCURRENCES_WAIT] = BASE_MSG_OCCURRENCES_WAIT,
};

static void log_capacity(node_holder_t *holder, const batch_log_event_t *event)
{
	char *worker = base_str_dup(NULL, event->worker);

	node_log(holder->node, event_messages[event->kind],
		 BASE_F_STR("worker", worker),
		 BASE_F_INT("cpu_from", event->from->cpu),
		 BASE_F_INT("cpu_to", event->to->cpu),
		 BASE_F_INT("memory_mb_from", event->from->memory),
		 BASE_F_INT("memory_mb_to", event->to->memory),
		 BASE_F_INT("gpu_from", event->from->gpu),
		 BASE_F_INT("gpu_to", event->to->gpu),
		 BASE_F_INT("dropped", event->value),
		 BASE_F_INT("term", holder->term));
	talloc_free(worker);
}

static void log_wait(node_holder_t *holder, const batch_log_event_t *event)
{
	char *id = base_str_dup(NULL, event->task.job);
	const base_field_t about[] = {
		BASE_F_STR("id", id),
		BASE_F_INT("step", event->task.step),
		BASE_F_INT("index", event->task.index),
		BASE_F_INT("run", event->run),
		BASE_F_STR("why", event->why),
		BASE_F_INT("value", event->value),
		BASE_F_INT("incoming", event->workers->incoming),
		BASE_F_INT("needed", event->workers->wanted),
		BASE_F_INT("term", holder->term),
	};
	base_field_t fields[ARRAY_SIZE(about) + BATCH_FIT_MAX];
	int i;

	memcpy(fields, about, sizeof(about));
	for (i = 0; i < BATCH_FIT_MAX; i++)
		fields[ARRAY_SIZE(about) + (size_t)i] = BASE_F_INT(
			batch_fit_name((batch_fit_t)i), event->workers->n[i]);
	node_log_fields(holder->node, event_messages[event->kind], fields,
			ARRAY_SIZE(fields));
	talloc_free(id);
}

static void log_fields(node_holder_t *holder, const batch_log_event_t *event)
{
	char *id = base_str_dup(NULL, event->task.job);
	char *worker = base_str_dup(id, event->worker);
	int try_number;
	const char *token =
		node_holder_judged(holder, event->task.job, &try_number);
	const base_field_t fields[] = {
		BASE_F_STR("id", id),
		BASE_F_INT("step", event->task.step),
		BASE_F_INT("index", event->task.index),
		BASE_F_INT("run", event->run),
		BASE_F_STR("worker", worker),
		BASE_F_STR("why", event->why ? event->why : ""),
		BASE_F_INT("value", event->value),
		BASE_F_INT("age_us", event->age),
		BASE_F_INT("term", holder->term),
		/* Only of a submit: */
		BASE_F_STR("token", token),
		BASE_F_INT("try", try_number),
		BASE_F_STR("workspace",
			   event->workspace ? event->workspace : ""),
	};
	bool is_verdict = event->kind == BATCH_LOG_JOB_ACCEPTED ||
			  event->kind == BATCH_LOG_JOB_REFUSED;
	bool has_workspace = event->workspace && *event->workspace;

	if (event->kind == BATCH_LOG_END_UNMATCHED)
		node_metrics_count(holder->node, NODE_COUNT_END_UNMATCHED);
	node_log_fields(holder->node, event_messages[event->kind], fields,
			ARRAY_SIZE(fields) - (is_verdict ? !has_workspace : 3));
	talloc_free(id);
}

static void log_batch_event(void *arg, const batch_log_event_t *event)
{
	if (event->kind == BATCH_LOG_WORKER_CAPACITY)
		log_capacity(arg, event);
	else if (event->kind == BATCH_LOG_TASK_WAITS)
		log_wait(arg, event);
	else
		log_fields(arg, event);
}

const batch_ops_t node_batch_ops = {
	.advise = node_advise,
	.accepted = node_holder_accepted,
	.cancelled = node_holder_cancelled,
	.start = start_run,
	.stop = stop_run,
	.pace = pace_run,
	.log_event = log_batch_event,
};
