/*
 * The holder's links to workers.  Polls extend the workers' leases and return
 * finished runs; orders start, stop and pace runs.
 */
#include "node_int.h"

/* Fraction of the longest lease that the platform allows.  The rest is a
 * reserve: a successor can take over before the leases expire, and a lost
 * worker can be given up in time. */
#define WORKER_LEASE_FRACTION 0.75
#define WORKER_LEASE_MAX (4500 * BASE_MS)
#define WORKER_CLOCK_RATE_MIN 0.98 /* lowest rate of a worker's clock */
/* Lease margin of workers: time added to the lease and the stop timeout before
 * all runs under the lease count as ended. */
#define WORKER_LEASE_MARGIN (100 * BASE_MS)
/* Longest time that a poll waits at the worker for a run to end.  Several
 * polls fit into one lease. */
#define WORKER_POLL_WAIT (1000 * BASE_MS)
/* Time after WORKER_POLL_WAIT in which a poll's answer can still arrive. */
#define WORKER_POLL_GRACE (500 * BASE_MS)
/* A poll that fails later than this had reached its worker: several times the
 * round trip. */
#define WORKER_BREAK_MIN (20 * BASE_MS)
#define WORKER_RETRY_DELAY (150 * BASE_MS)
/* Delay of the poll that follows a report of ended runs, so that this poll
 * returns several runs that end together. */
#define WORKER_POLL_GAP (30 * BASE_MS)
/* Longest delay of a poll until the ends that its worker has listed are stored:
 * the worker would list them again at once.  Several fit into one lease. */
#define WORKER_STORED_WAIT_MAX (250 * BASE_MS)
#define WORKER_LIST_PERIOD_SHORT (150 * BASE_MS)
/* Interval at which the list of workers is read: a drain that the list shows
 * must be in force within two seconds. */
#define WORKER_LIST_PERIOD (700 * BASE_MS)

/* Least time between two addresses of a worker: by then no order or poll at
 * the former one lacks an answer. */
#define WORKER_MOVE_GAP (2 * BASE_SEC)
/* Revisions of unreadable entries that are remembered; more than a list has in
 * practice. */
#define WORKER_UNREADABLE_MAX 1024

struct node_worker {
	node_holder_t *holder;
	char *id;
	char *address;
	node_link_t *link;
	node_link_t *former_link; /* at its former address, for late answers */
	int64_t moved_at;	  /* when its address changed; 0: never */
	net_timer_t *timer;
	int64_t clock;	   /* last known reading of its clock; -1: unknown */
	int64_t clock_at;  /* monotonic time of that reading */
	int64_t lease_end; /* monotonic, for the slowest clock allowed */
	int64_t polled_at;
	int64_t poll_sent_at;
	int64_t poll_timeout;
	int64_t acknowledged; /* the last end that it was told to discard */
	int64_t list_round;   /* number of the list in which the worker was last
				 seen */
	bool is_polling;
	/* In holder->awaiting_stored while the next poll waits until ends are
	 * stored; its data is NULL otherwise. */
	GList awaits_stored;
	bool has_seen_term; /* it rejects orders of earlier terms */
	bool is_listed;
	bool is_silent;	   /* the last poll had no answer */
	bool has_answered; /* at its address */
};

typedef struct order_call {
	node_holder_t *holder;
	batch_order_t order;
	const node_link_t *link; /* compared only; it may be freed */
	int64_t sent_at;
	bool is_start; /* false: it stops or paces a run */
} order_call_t;

typedef struct poll_call {
	node_worker_t *worker;
	const node_link_t *link;
} poll_call_t;

static void poll_worker(void *arg);

static int64_t lease_length(const node_holder_t *holder)
{
	int64_t length = (int64_t)(WORKER_LEASE_FRACTION *
				   (double)holder->node->settings->lease_max);

	return MIN(length, WORKER_LEASE_MAX);
}

int64_t node_worker_lease_span(const node_holder_t *holder)
{
	return (int64_t)((double)lease_length(holder) / WORKER_CLOCK_RATE_MIN) +
	       holder->node->settings->stop_timeout + WORKER_LEASE_MARGIN;
}

/*
 * Returns the end, on the worker's clock, of a lease granted now, and records
 * when it ends at the latest.  Returns -1 while that clock is unknown.
 */
static int64_t grant_lease(node_worker_t *worker)
{
	int64_t now = base_clock_mono();
	int64_t length = lease_length(worker->holder);
	int64_t lease;
	int64_t end;

	if (worker->clock < 0)
		return -1;
	lease = worker->clock + (now - worker->clock_at) + length;
	/*
	 * The worker's clock read "clock" no later than "clock_at".  It may
	 * run slow, so that the lease ends later in monotonic time.
	 */
	end = worker->clock_at +
	      (int64_t)((double)(lease - worker->clock) /
			WORKER_CLOCK_RATE_MIN) +
	      worker->holder->node->settings->stop_timeout +
	      WORKER_LEASE_MARGIN;
	if (end > worker->lease_end)
		worker->lease_end = end;
	if (worker->has_seen_term)
		batch_worker_lease(worker->holder->core, base_str(worker->id),
				   worker->lease_end);
	return lease;
}

static void set_awaits_stored(node_worker_t *worker, bool awaits)
{
	if (awaits == (worker->awaits_stored.data != NULL))
		return;
	if (awaits) {
		worker->awaits_stored.data = worker;
		g_queue_push_tail_link(&worker->holder->awaiting_stored,
				       &worker->awaits_stored);
	} else {
		g_queue_unlink(&worker->holder->awaiting_stored,
			       &worker->awaits_stored);
		worker->awaits_stored.data = NULL;
	}
}

static void remove_worker(node_worker_t *worker, const char *why)
{
	set_awaits_stored(worker, false);
	node_metrics_count(worker->holder->node, NODE_COUNT_WORKER_DROPPED);
	node_log(worker->holder->node, BASE_MSG_WORKER_DROPPED,
		 BASE_F_STR("worker", worker->id), BASE_F_STR("why", why),
		 BASE_F_INT("acknowledged", worker->acknowledged),
		 BASE_F_INT("looked_us_ago",
			    base_clock_mono() - worker->polled_at),
		 BASE_F_INT("term", worker->holder->term));
	g_hash_table_remove(worker->holder->worker_links, worker->id);
	talloc_free(worker);
}

static void schedule_poll(node_worker_t *worker, int64_t delay)
{
	net_timer_start(worker->timer, delay);
}

static void set_silent(node_worker_t *worker, bool is_silent, const char *why)
{
	if (worker->is_silent == is_silent)
		return;
	worker->is_silent = is_silent;
	if (is_silent)
		batch_worker_silent(worker->holder->core, base_str(worker->id));
	node_log(worker->holder->node,
		 is_silent ? BASE_MSG_WORKER_SILENT : BASE_MSG_WORKER_HEARD,
		 BASE_F_STR("worker", worker->id), BASE_F_STR("why", why),
		 BASE_F_INT("looked_us_ago",
			    base_clock_mono() - worker->polled_at));
}

static void apply_poll(node_worker_t *worker, int64_t sent,
		       const node_poll_result_t *answer)
{
	int64_t now = base_clock_mono();
	batch_poll_result_t seen = {
		.worker = base_str(worker->id),
		.incarnation =
			answer->incarnation > 0 ? answer->incarnation : 1,
		.sent = sent,
		.runs = answer->runs,
		.n_runs = answer->n_runs,
		.ends = answer->ends,
		.n_ends = answer->n_ends,
	};

	node_metrics_add_time(worker->holder->node, NODE_TIME_POLL_GAP,
			      now - worker->polled_at);
	worker->polled_at = now;
	if (answer->clock >= 0) {
		worker->clock = answer->clock;
		worker->clock_at = now;
	}
	if (!worker->has_seen_term) {
		/*
		 * The worker now rejects lease extensions of earlier holders.
		 * A lease that one of them granted ends no later than one
		 * that is granted now.
		 */
		worker->has_seen_term = true;
		grant_lease(worker);
	}
	batch_worker_polled(worker->holder->core, now, &seen);
}

/*
 * A worker that ends breaks its connections.  A poll that fails at once may
 * have found it gone already, and one that times out tells nothing.
 */
static void note_broken_off(const node_worker_t *worker)
{
	int64_t now = base_clock_mono();
	int64_t took = now - worker->poll_sent_at;

	if (took > WORKER_BREAK_MIN &&
	    took < worker->poll_timeout - WORKER_BREAK_MIN)
		batch_worker_broke_off(worker->holder->core, now,
				       base_str(worker->id));
}

static void poll_answered(void *arg, const node_poll_result_t *answer)
{
	poll_call_t *call = arg;
	node_worker_t *worker = call->worker;
	node_holder_t *holder = worker->holder;
	int64_t sent = worker->poll_sent_at;
	bool is_current = call->link == worker->link;

	talloc_free(call);
	if (!is_current)
		return;
	worker->is_polling = false;
	if (holder->ended)
		return;
	switch (answer->order_status) {
	case NODE_ORDER_OK:
		set_silent(worker, false, "answered");
		worker->has_answered = true;
		apply_poll(worker, sent, answer);
		node_holder_step_soon(holder);
		schedule_poll(worker,
			      answer->n_ends ? WORKER_POLL_GAP : BASE_MS);
		break;
	case NODE_ORDER_FENCED:
		node_election_lost(holder->node, "fenced by a worker");
		break;
	case NODE_ORDER_OTHER_INCARNATION:
		set_silent(worker, true,
			   "another worker answers at its address");
		/* One that never answered there may live at another address,
		 * if this one is wrong, and its instance has it then. */
		if (worker->has_answered ||
		    node_instances_lack_worker(holder->instances, worker->id))
			batch_worker_terminated(holder->core, base_clock_mono(),
						base_str(worker->id),
						BATCH_LOSS_CRASHED);
		node_holder_step_soon(holder);
		if (worker->is_listed || !worker->has_answered)
			schedule_poll(worker, WORKER_POLL_GRACE);
		else
			remove_worker(worker,
				      "another worker answers at its address");
		break;
	default:
		note_broken_off(worker);
		set_silent(worker, true, "no answer");
		schedule_poll(worker, WORKER_RETRY_DELAY);
		break;
	}
}

/* Whether the worker has listed an end that no poll has acknowledged yet. */
static bool has_unacknowledged_ends(const node_worker_t *worker)
{
	batch_t *core = worker->holder->core;
	base_str_t id = base_str(worker->id);

	return batch_worker_has_unstored_ends(core, id) ||
	       batch_worker_stored_end(core, base_clock_mono(), id) >
		       worker->acknowledged;
}

/* Whether the worker is unlisted, no run on it can still be alive, and its ends
 * are acknowledged or will never be. */
static bool is_gone(const node_worker_t *worker, int64_t now)
{
	size_t n_long_running;

	if (worker->is_listed)
		return false;
	if (!batch_worker_runs(worker->holder->core, base_str(worker->id),
			       &n_long_running) &&
	    !has_unacknowledged_ends(worker))
		return true;
	return now >
	       MAX(worker->lease_end,
		   worker->has_seen_term ? 0 : worker->holder->orphan_until);
}

/*
 * Returns the last end that the worker may discard.  Not for a worker that did
 * not answer: it may have restarted, and its ends are numbered anew.
 */
static int64_t acknowledge_stored_ends(node_worker_t *worker)
{
	int64_t last_stored_end = batch_worker_stored_end(
		worker->holder->core, base_clock_mono(), base_str(worker->id));

	if (last_stored_end == worker->acknowledged)
		return last_stored_end;
	node_log(worker->holder->node, BASE_MSG_ENDS_ACKNOWLEDGED,
		 BASE_F_STR("worker", worker->id),
		 BASE_F_INT("from", worker->acknowledged),
		 BASE_F_INT("to", last_stored_end),
		 BASE_F_INT("term", worker->holder->term));
	worker->acknowledged = last_stored_end;
	return last_stored_end;
}

static bool awaits_stored_ends(const node_worker_t *worker, int64_t now)
{
	return !worker->is_silent &&
	       now - worker->polled_at < WORKER_STORED_WAIT_MAX &&
	       batch_worker_has_unstored_ends(worker->holder->core,
					      base_str(worker->id));
}

static void poll_worker(void *arg)
{
	node_worker_t *worker = arg;
	node_holder_t *holder = worker->holder;
	int64_t now = base_clock_mono();
	node_poll_request_t order = { .term = holder->term };
	poll_call_t *call;

	if (worker->is_polling || !node_holder_may_extend(holder))
		return;
	if (is_gone(worker, now)) {
		batch_worker_terminated(holder->core, now, base_str(worker->id),
					BATCH_LOSS_UNKNOWN);
		node_holder_step_soon(holder);
		remove_worker(worker, "not listed and without runs");
		return;
	}
	set_awaits_stored(worker, awaits_stored_ends(worker, now));
	if (worker->awaits_stored.data) {
		schedule_poll(worker,
			      worker->polled_at + WORKER_STORED_WAIT_MAX - now);
		return;
	}
	/*
	 * A worker that does not answer gets no lease: a poll whose answer is
	 * lost must not keep its tasks alive, because it is to be given up.
	 */
	order.lease = worker->is_silent ? -1 : grant_lease(worker);
	if (!worker->is_silent)
		order.last_stored_end = acknowledge_stored_ends(worker);
	order.wait = worker->has_seen_term && !worker->is_silent
			     ? WORKER_POLL_WAIT
			     : 0;
	order.timeout = order.wait + WORKER_POLL_GRACE;
	worker->is_polling = true;
	worker->poll_sent_at = now;
	worker->poll_timeout = order.timeout;
	node_metrics_count(holder->node, NODE_COUNT_POLL);
	call = talloc(worker, poll_call_t);
	*call = (poll_call_t){ worker, worker->link };
	holder->node->platform->poll(worker->link, &order, poll_answered, call);
}

/*
 * The entry has another address: the worker restarted there, or another writer
 * named it.  Its runs are lost only once it answers there as another
 * incarnation, or when their lease ends.
 */
static void move_worker(node_worker_t *worker, const char *address)
{
	const node_t *node = worker->holder->node;
	int64_t now = base_clock_mono();
	node_link_t *link;

	if (worker->moved_at && now - worker->moved_at < WORKER_MOVE_GAP)
		return;
	link = node->platform->link_new(worker, node->loop, address,
					worker->id);
	if (!link)
		return;
	talloc_free(worker->former_link);
	worker->former_link = worker->link;
	worker->link = link;
	talloc_free(worker->address);
	worker->address = talloc_strdup(worker, address);
	worker->moved_at = now;
	worker->has_answered = false;
	worker->clock = -1;
	worker->has_seen_term = false;
	worker->is_polling = false;
	schedule_poll(worker, 0);
}

/* Logs and counts an unreadable entry once per revision. */
static void note_unreadable(node_holder_t *holder, const node_item_t *item,
			    const char *why)
{
	const int64_t *noted =
		g_hash_table_lookup(holder->unreadable_entries, item->key);

	if (noted && *noted == item->revision)
		return;
	if (g_hash_table_size(holder->unreadable_entries) >=
	    WORKER_UNREADABLE_MAX)
		g_hash_table_remove_all(holder->unreadable_entries);
	g_hash_table_replace(
		holder->unreadable_entries, g_strdup(item->key),
		g_memdup2(&item->revision, sizeof(item->revision)));
	node_metrics_count(holder->node, NODE_COUNT_WORKER_UNREADABLE);
	node_log(holder->node, BASE_MSG_WORKER_UNREADABLE,
		 BASE_F_STR("key", item->key), BASE_F_STR("why", why),
		 BASE_F_INT("revision", item->revision));
}

void node_workers_rows_stored(node_holder_t *holder)
{
	GList *link = holder->awaiting_stored.head;

	while (link) {
		node_worker_t *worker = link->data;

		link = link->next;
		if (!batch_worker_has_unstored_ends(holder->core,
						    base_str(worker->id))) {
			set_awaits_stored(worker, false);
			schedule_poll(worker, 0);
		}
	}
}

void node_workers_add_listed(node_holder_t *holder, const node_item_t *item)
{
	node_t *node = holder->node;
	void *ctx = talloc_new(holder);
	node_worker_entry_t entry;
	node_worker_t *worker;
	GError *err = NULL;
	bool is_new;
	char *id;

	if (!node->platform->worker_read(ctx, item->key, item->value, &entry,
					 &err)) {
		note_unreadable(holder, item, err->message);
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	id = base_str_dup(ctx, entry.info.id);
	worker = g_hash_table_lookup(holder->worker_links, id);
	if (worker && strcmp(worker->address, entry.address))
		move_worker(worker, entry.address);
	is_new = !worker;
	if (is_new) {
		worker = talloc_zero(holder, node_worker_t);
		worker->holder = holder;
		worker->id = talloc_strdup(worker, id);
		worker->address = talloc_strdup(worker, entry.address);
		worker->clock = -1;
		worker->timer =
			net_timer_new(worker, node->loop, poll_worker, worker);
		worker->link = node->platform->link_new(
			worker, node->loop, entry.address, worker->id);
		if (!worker->link) {
			note_unreadable(holder, item, "address");
			talloc_free(worker);
			talloc_free(ctx);
			return;
		}
		g_hash_table_insert(holder->worker_links, worker->id, worker);
		if (holder->restored) {
			node_log(node, BASE_MSG_WORKER_ADDED,
				 BASE_F_STR("worker", id),
				 BASE_F_STR("address", entry.address),
				 BASE_F_INT("revision", item->revision),
				 BASE_F_INT("term", holder->term));
			schedule_poll(worker, 0);
		}
	}
	worker->list_round = holder->list_round;
	worker->is_listed = true;
	batch_worker_listed(holder->core, base_clock_mono(), &entry.info);
	if (is_new && holder->waves)
		node_waves_worker_added(holder->waves, id);
	talloc_free(ctx);
}

void node_workers_list_done(node_holder_t *holder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holder->worker_links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		node_worker_t *worker = value;

		if (worker->list_round == holder->list_round ||
		    !worker->is_listed)
			continue;
		worker->is_listed = false;
		batch_worker_unlisted(holder->core, base_clock_mono(),
				      base_str(worker->id));
	}
	holder->list_round++;
}

static void list_page(void *arg);

void node_workers_list_soon(node_holder_t *holder)
{
	holder->poll_soon = true;
}

static void page_read(void *arg, const node_answer_t *answer)
{
	node_holder_t *holder = arg;
	size_t i;

	node_store_track_status(holder->node, answer->store_status);
	if (holder->ended)
		return;
	if (answer->store_status != NODE_STORE_OK) {
		/* An incomplete list does not show which workers are gone. */
		TALLOC_FREE(holder->page);
		net_timer_start(holder->list_timer, WORKER_RETRY_DELAY);
		return;
	}
	for (i = 0; i < answer->n_items; i++)
		node_workers_add_listed(holder, &answer->items[i]);
	TALLOC_FREE(holder->page);
	if (answer->more && answer->n_items) {
		holder->page = talloc_strdup(
			holder, answer->items[answer->n_items - 1].key);
		list_page(holder);
		return;
	}
	holder->listed_at = base_clock_mono();
	node_workers_list_done(holder);
	node_holder_step_soon(holder);
	net_timer_start(holder->list_timer, holder->poll_soon
						    ? WORKER_LIST_PERIOD_SHORT
						    : WORKER_LIST_PERIOD);
	holder->poll_soon = false;
}

static void list_page(void *arg)
{
	node_holder_t *holder = arg;
	node_range_t range = { holder->node->platform->worker_prefix,
			       holder->page, false };

	node_store_list(holder->node, holder->store, &range, page_read, holder);
}

void node_workers_begin(node_holder_t *holder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holder->worker_links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		schedule_poll(value, 0);
	holder->list_timer =
		net_timer_new(holder, holder->node->loop, list_page, holder);
	net_timer_start(holder->list_timer, WORKER_LIST_PERIOD);
}

static const batch_answer_t batch_answers[NODE_ORDER_STATUS_MAX] = {
	[NODE_ORDER_OK] = BATCH_ANSWER_OK,
	[NODE_ORDER_FENCED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_STALE_RUN] = BATCH_ANSWER_STALE_RUN,
	[NODE_ORDER_LEASE_EXPIRED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_NO_CAPACITY] = BATCH_ANSWER_NO_CAPACITY,
	[NODE_ORDER_INVALID_TICKET] = BATCH_ANSWER_INVALID_TICKET,
	[NODE_ORDER_REFUSED] = BATCH_ANSWER_NOT_STARTED,
	[NODE_ORDER_OTHER_INCARNATION] = BATCH_ANSWER_OTHER_INCARNATION,
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

	if (holder->ended)
		return;
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
	node_poll_result_t answer = { .order_status = NODE_ORDER_REFUSED };

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
				      grant_lease(worker), order_answered,
				      call);
}

static void stop_run(void *arg, const batch_order_t *order)
{
	node_holder_t *holder = arg;
	node_worker_t *worker = find_worker(holder, order);
	order_call_t *call;

	/* Without a link the run ends with the worker's lease. */
	if (!worker)
		return;
	node_metrics_count(holder->node, NODE_COUNT_ORDER);
	call = order_call(holder, order, false);
	call->link = worker->link;
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

	if (!worker)
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
	[BATCH_LOG_RUN_IN_DOUBT] = BASE_MSG_RUN_DOUBTED,
	[BATCH_LOG_END_UNMATCHED] = BASE_MSG_END_UNMATCHED,
	[BATCH_LOG_WORKER_QUARANTINED] = BASE_MSG_WORKER_OUT,
	[BATCH_LOG_WORKER_ON_TRIAL] = BASE_MSG_WORKER_BACK,
	[BATCH_LOG_PACED] = BASE_MSG_PACED,
	[BATCH_LOG_WORKER_CAPACITY] = BASE_MSG_WORKER_CAPACITY,
	[BATCH_LOG_RUN_SUSPECTED] = BASE_MSG_RUN_SUSPECTED,
	[BATCH_LOG_JOB_GIVEN_UP] = BASE_MSG_JOB_GIVEN_UP,
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
	};
	bool is_verdict = event->kind == BATCH_LOG_JOB_ACCEPTED ||
			  event->kind == BATCH_LOG_JOB_REFUSED;

	if (event->kind == BATCH_LOG_END_UNMATCHED)
		node_metrics_count(holder->node, NODE_COUNT_END_UNMATCHED);
	node_log_fields(holder->node, event_messages[event->kind], fields,
			ARRAY_SIZE(fields) - (is_verdict ? 0 : 2));
	talloc_free(id);
}

static void log_batch_event(void *arg, const batch_log_event_t *event)
{
	if (event->kind == BATCH_LOG_WORKER_CAPACITY)
		log_capacity(arg, event);
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
