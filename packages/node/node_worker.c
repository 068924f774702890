/*
 * The holder's links to workers: looks that extend leases and bring ends,
 * orders, and how long what runs there may go on.
 */
#include "node_int.h"

/* Of the longest that the platform grants: what is kept in hand lets a
 * successor take over before tasks lapse, and a lost worker be given up. */
#define WORKER_LEASE_PART 0.75
#define WORKER_LEASE_MAX (4500 * BASE_MS)
#define WORKER_CLOCK_SLOW 0.98 /* a worker's clock, at least */
#define WORKER_LEASE_MARGIN (100 * BASE_MS)
/* A look waits so long for an end; several fit into a lease. */
#define WORKER_WAIT (1000 * BASE_MS)
#define WORKER_LATE (500 * BASE_MS) /* an answer beyond its wait */
#define WORKER_RETRY (150 * BASE_MS)
#define WORKER_GAP (30 * BASE_MS) /* gathers ends of one moment */
#define WORKER_LIST_HURRY (150 * BASE_MS)
#define WORKER_LIST_EVERY (700 * BASE_MS) /* draining is in force in two */

struct node_worker {
	node_owner_t *owner;
	char *id;
	char *address;
	node_link_t *link;
	net_timer_t *timer;
	int64_t clock; /* of the worker; -1: not known */
	int64_t clock_at;
	int64_t lease_end; /* steady time */
	int64_t looked_at;
	int64_t look_sent;
	int64_t round;
	bool looking;
	bool met; /* it has seen this term: nobody else's orders count */
	bool listed;
	bool silent;
};

typedef struct order_call {
	node_owner_t *owner;
	batch_order_t order;
	int64_t began;
	bool start;
} order_call_t;

static void look(void *arg);

static int64_t lease_length(const node_owner_t *owner)
{
	int64_t length = (int64_t)(WORKER_LEASE_PART *
				   (double)owner->node->settings->lease_max);

	return MIN(length, WORKER_LEASE_MAX);
}

int64_t node_worker_lease_span(const node_owner_t *owner)
{
	return (int64_t)((double)lease_length(owner) / WORKER_CLOCK_SLOW) +
	       owner->node->settings->stop_timeout + WORKER_LEASE_MARGIN;
}

/* The lease on the worker's clock if it begins now; -1 before that is known. */
static int64_t lease_now(node_worker_t *worker)
{
	int64_t now = base_clock_mono();
	int64_t length = lease_length(worker->owner);
	int64_t lease;
	int64_t end;

	if (worker->clock < 0)
		return -1;
	lease = worker->clock + (now - worker->clock_at) + length;
	/* Its clock showed "clock" at "clock_at" or before, and may be slow. */
	end = worker->clock_at +
	      (int64_t)((double)(lease - worker->clock) / WORKER_CLOCK_SLOW) +
	      worker->owner->node->settings->stop_timeout + WORKER_LEASE_MARGIN;
	if (end > worker->lease_end)
		worker->lease_end = end;
	if (worker->met)
		batch_worker_lease(worker->owner->core, base_str(worker->id),
				   worker->lease_end);
	return lease;
}

static void drop(node_worker_t *worker)
{
	g_hash_table_remove(worker->owner->links, worker->id);
	talloc_free(worker);
}

static void next_look(node_worker_t *worker, int64_t delay)
{
	net_timer_start(worker->timer, delay);
}

static void say_silent(node_worker_t *worker, bool silent, const char *why)
{
	if (worker->silent == silent)
		return;
	worker->silent = silent;
	if (silent)
		batch_worker_silent(worker->owner->core, base_str(worker->id));
	node_log(worker->owner->node,
		 silent ? BASE_MSG_WORKER_SILENT : BASE_MSG_WORKER_HEARD,
		 BASE_F_STR("worker", worker->id), BASE_F_STR("why", why),
		 BASE_F_INT("looked_us_ago",
			    base_clock_mono() - worker->looked_at));
}

static void take_look(node_worker_t *worker, int64_t sent,
		      const node_look_t *look)
{
	int64_t now = base_clock_mono();
	batch_look_t seen = {
		.worker = base_str(worker->id),
		.born = look->born > 0 ? look->born : 1,
		.sent = sent,
		.runs = look->runs,
		.n_runs = look->n_runs,
		.ends = look->ends,
		.n_ends = look->n_ends,
	};

	node_time(worker->owner->node, NODE_TIME_LOOK_GAP,
		  now - worker->looked_at);
	worker->looked_at = now;
	if (look->clock >= 0) {
		worker->clock = look->clock;
		worker->clock_at = now;
	}
	if (!worker->met) {
		/* From here on nobody but us extends its lease, and whoever
		 * did before gave it no more than this from now. */
		worker->met = true;
		lease_now(worker);
	}
	batch_look(worker->owner->core, now, &seen);
}

static void looked(void *arg, const node_look_t *look_seen)
{
	node_worker_t *worker = arg;
	node_owner_t *owner = worker->owner;
	int64_t sent = worker->look_sent;

	worker->looking = false;
	if (owner->ended)
		return;
	switch (look_seen->fate) {
	case NODE_ORDER_OK:
		say_silent(worker, false, "answered");
		take_look(worker, sent, look_seen);
		node_owner_wake(owner);
		next_look(worker, look_seen->n_ends ? WORKER_GAP : BASE_MS);
		break;
	case NODE_ORDER_FENCED:
		node_lead_lost(owner->node, "fenced by a worker");
		break;
	case NODE_ORDER_OTHER_LIFE:
		say_silent(worker, true, "another worker is there");
		batch_worker_over(owner->core, base_clock_mono(),
				  base_str(worker->id));
		node_owner_wake(owner);
		if (worker->listed)
			next_look(worker, WORKER_LATE);
		else
			drop(worker);
		break;
	default:
		say_silent(worker, true, "no answer");
		next_look(worker, WORKER_RETRY);
		break;
	}
}

/* An unlisted worker is given up when nothing on it can run any more. */
static bool gone(const node_worker_t *worker, int64_t now)
{
	size_t lasting;

	if (worker->listed)
		return false;
	if (!batch_worker_runs(worker->owner->core, base_str(worker->id),
			       &lasting))
		return true;
	return now > MAX(worker->lease_end,
			 worker->met ? 0 : worker->owner->orphan_until);
}

static void look(void *arg)
{
	node_worker_t *worker = arg;
	node_owner_t *owner = worker->owner;
	int64_t now = base_clock_mono();
	node_look_order_t order = { .term = owner->term };

	if (worker->looking || !node_owner_keeps(owner))
		return;
	if (gone(worker, now)) {
		batch_worker_over(owner->core, now, base_str(worker->id));
		node_owner_wake(owner);
		drop(worker);
		return;
	}
	/* What keeps silent is let go: asking must not keep its tasks alive. */
	order.lease = worker->silent ? -1 : lease_now(worker);
	order.noted = batch_worker_noted(owner->core, base_clock_mono(),
					 base_str(worker->id));
	order.wait = worker->met && !worker->silent ? WORKER_WAIT : 0;
	order.timeout = order.wait + WORKER_LATE;
	worker->looking = true;
	worker->look_sent = now;
	node_count(owner->node, NODE_COUNT_LOOK);
	owner->node->platform->look(worker->link, &order, looked, worker);
}

void node_workers_entry(node_owner_t *owner, const node_item_t *item)
{
	node_t *node = owner->node;
	void *ctx = talloc_new(owner);
	node_worker_entry_t entry;
	node_worker_t *worker;
	GError *err = NULL;
	char *id;

	if (!node->platform->worker_read(ctx, item->key, item->value, &entry,
					 &err)) {
		node_log(node, BASE_MSG_WORKER_UNREADABLE,
			 BASE_F_STR("key", item->key),
			 BASE_F_STR("why", err->message),
			 BASE_F_INT("revision", item->revision));
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	id = base_str_dup(ctx, entry.info.id);
	worker = g_hash_table_lookup(owner->links, id);
	if (worker && strcmp(worker->address, entry.address)) {
		/* Started again elsewhere: the link leads to somebody else. */
		batch_worker_over(owner->core, base_clock_mono(),
				  entry.info.id);
		drop(worker);
		worker = NULL;
	}
	if (!worker) {
		worker = talloc_zero(owner, node_worker_t);
		worker->owner = owner;
		worker->id = talloc_strdup(worker, id);
		worker->address = talloc_strdup(worker, entry.address);
		worker->clock = -1;
		worker->timer = net_timer_new(worker, node->loop, look, worker);
		worker->link = node->platform->link_new(
			worker, node->loop, entry.address, worker->id);
		if (!worker->link) {
			node_log(node, BASE_MSG_WORKER_UNREADABLE,
				 BASE_F_STR("key", item->key),
				 BASE_F_STR("why", "address"),
				 BASE_F_INT("revision", item->revision));
			talloc_free(worker);
			talloc_free(ctx);
			return;
		}
		g_hash_table_insert(owner->links, worker->id, worker);
		if (owner->restored)
			next_look(worker, 0);
	}
	worker->round = owner->list_round;
	worker->listed = true;
	batch_worker_listed(owner->core, base_clock_mono(), &entry.info);
	talloc_free(ctx);
}

void node_workers_round(node_owner_t *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		node_worker_t *worker = value;

		if (worker->round == owner->list_round || !worker->listed)
			continue;
		worker->listed = false;
		batch_worker_unlisted(owner->core, base_clock_mono(),
				      base_str(worker->id));
	}
	owner->list_round++;
}

static void list_page(void *arg);

void node_workers_hurry(node_owner_t *owner)
{
	owner->list_hurry = true;
}

static void page_read(void *arg, const node_answer_t *answer)
{
	node_owner_t *owner = arg;
	size_t i;

	node_store_answered(owner->node, answer->fate);
	if (owner->ended)
		return;
	if (answer->fate != NODE_STORE_OK) {
		/* The round is incomplete: nobody is missing from it. */
		TALLOC_FREE(owner->page);
		net_timer_start(owner->list_timer, WORKER_RETRY);
		return;
	}
	for (i = 0; i < answer->n_items; i++)
		node_workers_entry(owner, &answer->items[i]);
	TALLOC_FREE(owner->page);
	if (answer->more && answer->n_items) {
		owner->page = talloc_strdup(
			owner, answer->items[answer->n_items - 1].key);
		list_page(owner);
		return;
	}
	owner->listed_at = base_clock_mono();
	node_workers_round(owner);
	node_owner_wake(owner);
	net_timer_start(owner->list_timer, owner->list_hurry
						   ? WORKER_LIST_HURRY
						   : WORKER_LIST_EVERY);
	owner->list_hurry = false;
}

static void list_page(void *arg)
{
	node_owner_t *owner = arg;
	node_range_t range = { owner->node->platform->worker_prefix,
			       owner->page, false };

	node_store_list(owner->node, owner->store, &range, page_read, owner);
}

void node_workers_begin(node_owner_t *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		next_look(value, 0);
	owner->list_timer =
		net_timer_new(owner, owner->node->loop, list_page, owner);
	net_timer_start(owner->list_timer, WORKER_LIST_EVERY);
}

static const batch_answer_t answers[NODE_ORDER_FATE_MAX] = {
	[NODE_ORDER_OK] = BATCH_ANSWER_OK,
	[NODE_ORDER_FENCED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_OLD] = BATCH_ANSWER_OLD,
	[NODE_ORDER_LATE] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_ROOM] = BATCH_ANSWER_ROOM,
	[NODE_ORDER_TICKET] = BATCH_ANSWER_TICKET,
	[NODE_ORDER_REFUSED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_OTHER_LIFE] = BATCH_ANSWER_OTHER_LIFE,
	[NODE_ORDER_SILENT] = BATCH_ANSWER_SILENT,
};

static const char *const fate_names[NODE_ORDER_FATE_MAX] = {
	[NODE_ORDER_OK] = "ok",
	[NODE_ORDER_FENCED] = "fenced",
	[NODE_ORDER_OLD] = "old",
	[NODE_ORDER_LATE] = "late",
	[NODE_ORDER_ROOM] = "no room",
	[NODE_ORDER_TICKET] = "no valid ticket",
	[NODE_ORDER_REFUSED] = "refused",
	[NODE_ORDER_OTHER_LIFE] = "another life",
	[NODE_ORDER_SILENT] = "no answer",
};

static void ordered(void *arg, const node_look_t *look_seen)
{
	order_call_t *call = arg;
	node_owner_t *owner = call->owner;
	int64_t now = base_clock_mono();

	if (owner->ended)
		return;
	node_time(owner->node, NODE_TIME_ORDER, now - call->began);
	if (look_seen->fate != NODE_ORDER_OK)
		node_log(owner->node, BASE_MSG_ORDER_FAILED,
			 BASE_F_STR("order", call->start ? "start" : "stop"),
			 BASE_F_STR("id", call->order.task.job.ptr),
			 BASE_F_INT("step", call->order.task.step),
			 BASE_F_INT("index", call->order.task.index),
			 BASE_F_INT("run", call->order.run),
			 BASE_F_STR("worker", call->order.worker.ptr),
			 BASE_F_STR("fate", fate_names[look_seen->fate]));
	if (look_seen->fate == NODE_ORDER_FENCED) {
		node_lead_lost(owner->node, "fenced by a worker");
		return;
	}
	if (call->start)
		batch_start_answer(owner->core, now, &call->order,
				   answers[look_seen->fate]);
	else
		batch_stop_answer(owner->core, now, &call->order,
				  answers[look_seen->fate]);
	node_owner_wake(owner);
	talloc_free(call);
}

static order_call_t *order_call(node_owner_t *owner, const batch_order_t *order,
				bool start)
{
	order_call_t *call = talloc_zero(owner, order_call_t);

	call->owner = owner;
	call->order = *order;
	call->order.task.job = base_str(base_str_dup(call, order->task.job));
	call->order.worker = base_str(base_str_dup(call, order->worker));
	call->order.payload = BASE_STR("");
	call->order.checkpoint = BASE_STR("");
	call->order.ticket = BASE_STR("");
	call->began = base_clock_mono();
	call->start = start;
	return call;
}

static node_worker_t *link_of(node_owner_t *owner, const batch_order_t *order)
{
	char *id = base_str_dup(NULL, order->worker);
	node_worker_t *worker = g_hash_table_lookup(owner->links, id);

	talloc_free(id);
	return worker;
}

static void not_sent(void *arg)
{
	node_look_t look_seen = { .fate = NODE_ORDER_REFUSED };

	ordered(arg, &look_seen);
}

/* How long a recovery took, and what it cost. */
static void tell_first_start(node_owner_t *owner)
{
	int64_t now = base_clock_mono();

	owner->said_first_start = true;
	node_log(owner->node, BASE_MSG_FIRST_START,
		 BASE_F_INT("term", owner->term),
		 BASE_F_INT("taken_us_ago", now - owner->taken_at),
		 BASE_F_INT("process_us_ago", now - owner->node->started),
		 BASE_F_INT("store_calls",
			    (int64_t)node_store_calls(owner->node)),
		 BASE_F_INT("processor_us", base_clock_processor()));
}

static void start(void *arg, const batch_order_t *order)
{
	node_owner_t *owner = arg;
	node_worker_t *worker = link_of(owner, order);
	order_call_t *call = order_call(owner, order, true);

	if (!worker || worker->clock < 0 || !node_owner_valid(owner)) {
		net_later(owner->node->loop, not_sent, call);
		return;
	}
	if (!owner->said_first_start)
		tell_first_start(owner);
	node_count(owner->node, NODE_COUNT_ORDER);
	owner->node->platform->start(worker->link, order, owner->term,
				     lease_now(worker), ordered, call);
}

static void stop(void *arg, const batch_order_t *order)
{
	node_owner_t *owner = arg;
	node_worker_t *worker = link_of(owner, order);

	/* Without a link there is nobody to tell; the lease settles it. */
	if (!worker)
		return;
	node_count(owner->node, NODE_COUNT_ORDER);
	owner->node->platform->stop(worker->link, order, owner->term, ordered,
				    order_call(owner, order, false));
}

static void paced(void *arg, const node_look_t *look_seen)
{
	order_call_t *call = arg;

	if (look_seen->fate != NODE_ORDER_OK && !call->owner->ended)
		node_log(call->owner->node, BASE_MSG_ORDER_FAILED,
			 BASE_F_STR("order", "pace"),
			 BASE_F_STR("id", call->order.task.job.ptr),
			 BASE_F_STR("worker", call->order.worker.ptr),
			 BASE_F_STR("fate", fate_names[look_seen->fate]));
	talloc_free(call);
}

static void pace(void *arg, const batch_order_t *order)
{
	node_owner_t *owner = arg;
	node_worker_t *worker = link_of(owner, order);

	if (!worker)
		return;
	node_count(owner->node, NODE_COUNT_ORDER);
	owner->node->platform->pace(worker->link, order, owner->term, paced,
				    order_call(owner, order, false));
}

static const base_msg_t note_messages[BATCH_NOTE_MAX] = {
	[BATCH_NOTE_JOB_ACCEPTED] = BASE_MSG_JOB_ACCEPTED,
	[BATCH_NOTE_JOB_REFUSED] = BASE_MSG_JOB_REFUSED,
	[BATCH_NOTE_JOB_ENDED] = BASE_MSG_JOB_ENDED,
	[BATCH_NOTE_JOB_CANCELLED] = BASE_MSG_JOB_CANCELLED,
	[BATCH_NOTE_STEP_STARTED] = BASE_MSG_STEP_STARTED,
	[BATCH_NOTE_STEP_PLACED] = BASE_MSG_STEP_PLACED,
	[BATCH_NOTE_RUN_SENT] = BASE_MSG_RUN_SENT,
	[BATCH_NOTE_RUN_DONE] = BASE_MSG_RUN_DONE,
	[BATCH_NOTE_RUN_FAILED] = BASE_MSG_RUN_FAILED,
	[BATCH_NOTE_RUN_LOST] = BASE_MSG_RUN_LOST,
	[BATCH_NOTE_RUN_STOPPED] = BASE_MSG_RUN_STOPPED,
	[BATCH_NOTE_RUN_DOUBTED] = BASE_MSG_RUN_DOUBTED,
	[BATCH_NOTE_WORKER_OUT] = BASE_MSG_WORKER_OUT,
	[BATCH_NOTE_WORKER_BACK] = BASE_MSG_WORKER_BACK,
	[BATCH_NOTE_PACED] = BASE_MSG_PACED,
};

static void note(void *arg, const batch_note_t *note)
{
	node_owner_t *owner = arg;
	char *id = base_str_dup(NULL, note->task.job);
	char *worker = base_str_dup(id, note->worker);

	node_log(owner->node, note_messages[note->kind], BASE_F_STR("id", id),
		 BASE_F_INT("step", note->task.step),
		 BASE_F_INT("index", note->task.index),
		 BASE_F_INT("run", note->run), BASE_F_STR("worker", worker),
		 BASE_F_STR("why", note->why ? note->why : ""),
		 BASE_F_INT("value", note->value),
		 BASE_F_INT("age_us", note->age),
		 BASE_F_INT("term", owner->term));
	talloc_free(id);
}

const batch_ops_t node_batch_ops = {
	.advise = node_advise,
	.accepted = node_owner_accepted,
	.cancelled = node_owner_cancelled,
	.start = start,
	.stop = stop,
	.pace = pace,
	.note = note,
};
