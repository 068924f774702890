/*
 * The holder's links to workers.  Polls extend the workers' leases and return
 * finished runs.
 */
#include "node_worker_int.h"

/* Fraction of the longest lease that the platform allows.  The rest is a
 * reserve: a successor can take over before the leases expire, and a lost
 * worker can be given up in time. */
#define WORKER_LEASE_FRACTION 0.75
#define WORKER_LEASE_MAX (4500 * BASE_MS)
#define WORKER_CLOCK_RATE_MIN 0.98 /* lowest rate of a worker's clock */
/* An answer to an order is late by no more than this. */
#define WORKER_CLOCK_SLACK (2 * BASE_SEC)
/* Lease margin of workers: time added to the lease and the stop timeout before
 * all runs under the lease count as ended. */
#define WORKER_LEASE_MARGIN (100 * BASE_MS)
/* Longest time that a poll waits at the worker for a run to end.  Several
 * polls fit into one lease. */
#define WORKER_POLL_WAIT (1000 * BASE_MS)
/* The same for a worker with a run on trial: a little longer than a trial. */
#define WORKER_POLL_WAIT_TRIAL (250 * BASE_MS)
/* The same for a worker without changes, and for all while the holder is too
 * slow for its events; two polls fit into one lease. */
#define WORKER_POLL_WAIT_LONG (1800 * BASE_MS)
/* A holder is too slow for its events when starts are answered later than this:
 * several times the round trip to a worker. */
#define WORKER_BUSY_ANSWER_TIME (20 * BASE_MS)
/* Time after WORKER_POLL_WAIT in which a poll's answer can still arrive. */
#define WORKER_POLL_GRACE (500 * BASE_MS)
/* A poll that fails later than this had reached its worker: several times the
 * round trip. */
#define WORKER_BREAK_MIN (20 * BASE_MS)
#define WORKER_RETRY_DELAY (150 * BASE_MS)
/* Delay of the poll that follows a report of ended runs, so that this poll
 * returns several runs that end together. */
#define WORKER_POLL_GAP (30 * BASE_MS)
/* More of it for each worker, so that the polls of a large fleet return more
 * ends each. */
#define WORKER_POLL_GAP_PER_WORKER 80 /* microseconds */
/* The same while the holder is too slow for its events: this many times the
 * answer time of starts, so that a poll returns more ends. */
#define WORKER_POLL_GAP_ANSWERS 3
#define WORKER_POLL_GAP_MAX (250 * BASE_MS)
/* Longest delay of a poll until the ends that its worker has listed are stored:
 * the worker would list them again at once.  Several fit into one lease. */
#define WORKER_STORED_WAIT_MAX (250 * BASE_MS)

/* A call without an answer may still be carried out up to 12 s later. */
#define WORKER_LATE_CALL_MAX (15 * BASE_SEC)

/* Least time between two addresses of a worker: by then no order or poll at
 * the former one lacks an answer. */
#define WORKER_MOVE_GAP (2 * BASE_SEC)

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

/* Time until nothing runs any more under a lease of this length. */
static int64_t lease_span(const node_holder_t *holder, int64_t length)
{
	return (int64_t)((double)length / WORKER_CLOCK_RATE_MIN) +
	       holder->node->settings->stop_timeout + WORKER_LEASE_MARGIN;
}

int64_t node_worker_lease_span(const node_holder_t *holder)
{
	return lease_span(holder, holder->node->settings->lease_max);
}

int64_t node_worker_grant_lease(node_worker_t *worker)
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
	      lease_span(worker->holder, lease - worker->clock);
	if (end > worker->lease_end)
		worker->lease_end = end;
	worker->granted = lease;
	if (worker->has_seen_term)
		batch_worker_lease(worker->holder->core, base_str(worker->id),
				   worker->lease_end);
	return lease;
}

/*
 * A process that started lately may have taken a lease that was granted on the
 * clock of the former one, or may yet do so.  It cuts that at the longest lease
 * allowed.
 */
static void extend_lease_end(node_worker_t *worker, int64_t now)
{
	int64_t last = MAX(now, worker->granted_until);

	worker->lease_end = MAX(worker->lease_end,
				last + node_worker_lease_span(worker->holder));
	batch_worker_lease(worker->holder->core, base_str(worker->id),
			   worker->lease_end);
}

void node_worker_grant_unanswered(node_worker_t *worker, int64_t sent)
{
	worker->granted_until =
		MAX(worker->granted_until, sent + WORKER_LATE_CALL_MAX);
	if (sent < worker->restarted_at)
		extend_lease_end(worker, base_clock_mono());
}

/*
 * The reading is of now or earlier, and a lease that was granted on that clock
 * ends accordingly, whichever process has it.
 */
static void count_lease_from(node_worker_t *worker, int64_t clock, int64_t now)
{
	int64_t length = MIN(worker->granted - clock,
			     worker->holder->node->settings->lease_max);

	worker->lease_end = MAX(worker->lease_end,
				now + lease_span(worker->holder, length));
	batch_worker_lease(worker->holder->core, base_str(worker->id),
			   worker->lease_end);
}

void node_worker_clock_read(node_worker_t *worker, int64_t clock)
{
	int64_t now = base_clock_mono();
	int64_t elapsed = now - worker->clock_at;
	int64_t least = worker->clock +
			(int64_t)(WORKER_CLOCK_RATE_MIN * (double)elapsed) -
			WORKER_CLOCK_SLACK;

	if (clock < 0 || worker->clock < 0)
		return;
	if (clock >= least &&
	    clock <= worker->clock + elapsed + WORKER_CLOCK_SLACK) {
		if (worker->granted > clock)
			count_lease_from(worker, clock, now);
		return;
	}
	worker->clock = clock;
	worker->clock_at = now;
	worker->restarted_at = now;
	extend_lease_end(worker, now);
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
	if (worker->granted_until > base_clock_mono())
		g_hash_table_replace(worker->holder->dropped_grants,
				     g_strdup(worker->id),
				     g_memdup2(&worker->granted_until,
					       sizeof(worker->granted_until)));
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

void node_worker_schedule_poll(node_worker_t *worker, int64_t delay)
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

void node_workers_ended(node_holder_t *holder, const char *id)
{
	node_worker_t *worker = g_hash_table_lookup(holder->worker_links, id);
	int64_t now = base_clock_mono();

	if (!*id)
		return;
	g_hash_table_replace(holder->ended_workers, g_strdup(id),
			     g_memdup2(&now, sizeof(now)));
	batch_worker_unlisted(holder->core, now, base_str(id));
	batch_worker_terminated(holder->core, now, base_str(id),
				BATCH_LOSS_ORDERED);
	if (worker)
		remove_worker(worker, "its instance was moved or is in "
				      "maintenance");
}

/*
 * The worker has another process, whose ends are numbered anew: a late
 * acknowledgement would have it discard ends that nobody has seen.
 */
static void begin_process(node_worker_t *worker, int64_t now)
{
	worker->restarted_at = now;
	extend_lease_end(worker, now);
	worker->poll_acknowledges = 0;
	worker->acknowledged = 0;
	worker->discarded = 0;
	if (worker->acknowledged_until <= now)
		return;
	batch_worker_hold(worker->holder->core, base_str(worker->id),
			  worker->acknowledged_until);
	node_log(worker->holder->node, BASE_MSG_WORKER_HELD,
		 BASE_F_STR("worker", worker->id),
		 BASE_F_INT("for_us", worker->acknowledged_until - now));
}

/* How far the clock of the worker's former process, if it went on, would be
 * ahead of the reading: a lease that was asked for by it is longer by as much.
 */
static void log_restart(const node_worker_t *worker,
			const node_poll_result_t *answer, int64_t now)
{
	int64_t former = worker->clock + now - worker->clock_at;

	node_log(worker->holder->node, BASE_MSG_WORKER_RESTARTED,
		 BASE_F_STR("worker", worker->id),
		 BASE_F_INT("from", worker->incarnation),
		 BASE_F_INT("to", answer->incarnation),
		 BASE_F_INT("clock_ahead_us", former - answer->clock),
		 BASE_F_INT("looked_us_ago", now - worker->polled_at),
		 BASE_F_INT("term", worker->holder->term));
}

static void note_truncated_ends(node_worker_t *worker,
				const node_poll_result_t *answer)
{
	size_t n_long_running;

	if (!answer->ends_truncated)
		return;
	node_metrics_count(worker->holder->node, NODE_COUNT_ENDS_TRUNCATED);
	node_log(worker->holder->node, BASE_MSG_ENDS_TRUNCATED,
		 BASE_F_STR("worker", worker->id),
		 BASE_F_INT("ends", (int64_t)answer->n_ends),
		 BASE_F_INT("listed_runs", (int64_t)answer->n_runs),
		 BASE_F_INT("runs",
			    (int64_t)batch_worker_runs(worker->holder->core,
						       base_str(worker->id),
						       &n_long_running)),
		 BASE_F_INT("term", worker->holder->term));
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
		.ends_truncated = answer->ends_truncated,
	};

	bool is_restarted =
		worker->incarnation && worker->incarnation != seen.incarnation;

	node_metrics_add_time(worker->holder->node, NODE_TIME_POLL_GAP,
			      now - worker->polled_at);
	if (is_restarted)
		log_restart(worker, answer, now);
	worker->polled_at = now;
	if (answer->clock >= 0) {
		worker->clock = answer->clock;
		worker->clock_at = now;
	}
	if (is_restarted)
		begin_process(worker, now);
	worker->discarded = MAX(worker->discarded, worker->poll_acknowledges);
	worker->incarnation = seen.incarnation;
	if (!worker->has_seen_term) {
		/*
		 * The worker now rejects lease extensions of earlier holders.
		 * One of them may not have known that its process had
		 * restarted.
		 */
		worker->has_seen_term = true;
		extend_lease_end(worker, now);
	}
	note_truncated_ends(worker, answer);
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

static int64_t poll_gap(const node_holder_t *holder)
{
	int64_t least = WORKER_POLL_GAP + WORKER_POLL_GAP_PER_WORKER *
						  (int64_t)g_hash_table_size(
							  holder->worker_links);
	int64_t gap = WORKER_POLL_GAP_ANSWERS * batch_answer_time(holder->core);

	return MIN(MAX(gap, least), WORKER_POLL_GAP_MAX);
}

/* Delay of the next poll: none if the worker has further ends to list. */
static int64_t next_poll_delay(const node_holder_t *holder,
			       const node_poll_result_t *answer)
{
	return answer->n_ends && !answer->ends_truncated ? poll_gap(holder)
							 : BASE_MS;
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
		node_worker_schedule_poll(worker,
					  next_poll_delay(holder, answer));
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
			node_worker_schedule_poll(worker, WORKER_POLL_GRACE);
		else
			remove_worker(worker,
				      "another worker answers at its address");
		break;
	case NODE_ORDER_UNSENT:
		set_silent(worker, true, "not sent");
		node_worker_schedule_poll(worker, WORKER_RETRY_DELAY);
		break;
	default:
		note_broken_off(worker);
		if (worker->poll_acknowledges && !answer->is_unreached)
			worker->acknowledged_until =
				worker->poll_sent_at + WORKER_LATE_CALL_MAX;
		if (worker->poll_grants && !answer->is_unreached)
			node_worker_grant_unanswered(worker,
						     worker->poll_sent_at);
		set_silent(worker, true,
			   answer->is_unreached ? "not reached" : "no answer");
		if (answer->is_unreached)
			batch_worker_unreached(holder->core,
					       base_str(worker->id));
		node_worker_schedule_poll(worker, WORKER_RETRY_DELAY);
		break;
	}
}

/* Whether the worker has an end that no poll has acknowledged yet. */
static bool has_unacknowledged_ends(const node_worker_t *worker)
{
	batch_t *core = worker->holder->core;
	base_str_t id = base_str(worker->id);

	return batch_worker_has_unstored_ends(core, id) ||
	       batch_worker_ends_truncated(core, id) ||
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
 * Returns the last end that the worker may discard; 0 if it has done so: what a
 * poll does not acknowledge, a late one cannot.  Not for a worker that did not
 * answer: it may have restarted, and its ends are numbered anew.
 */
static int64_t acknowledge_stored_ends(node_worker_t *worker)
{
	int64_t last_stored_end = batch_worker_stored_end(
		worker->holder->core, base_clock_mono(), base_str(worker->id));

	if (last_stored_end <= worker->discarded)
		return 0;
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

static int64_t poll_wait(const node_worker_t *worker)
{
	const batch_t *core = worker->holder->core;

	if (!worker->has_seen_term || worker->is_silent)
		return 0;
	if (batch_worker_has_trial(core, base_str(worker->id)))
		return WORKER_POLL_WAIT_TRIAL;
	if (batch_answer_time(core) > WORKER_BUSY_ANSWER_TIME ||
	    batch_worker_is_steady(core, base_str(worker->id)))
		return WORKER_POLL_WAIT_LONG;
	return WORKER_POLL_WAIT;
}

static void poll_worker(void *arg)
{
	node_worker_t *worker = arg;
	node_holder_t *holder = worker->holder;
	int64_t now = base_clock_mono();
	node_poll_request_t order = { .term = holder->term };
	poll_call_t *call;

	if (worker->is_polling || holder->ended)
		return;
	/* The lease may yet be renewed, after a suspension of this process. */
	if (!node_holder_may_extend(holder)) {
		node_worker_schedule_poll(worker, WORKER_RETRY_DELAY);
		return;
	}
	if (is_gone(worker, now)) {
		batch_worker_terminated(holder->core, now, base_str(worker->id),
					BATCH_LOSS_UNKNOWN);
		node_holder_step_soon(holder);
		remove_worker(worker, "not listed and without runs");
		return;
	}
	set_awaits_stored(worker, awaits_stored_ends(worker, now));
	if (worker->awaits_stored.data) {
		node_worker_schedule_poll(worker,
					  worker->polled_at +
						  WORKER_STORED_WAIT_MAX - now);
		return;
	}
	/*
	 * A worker that does not answer gets no lease: a poll whose answer is
	 * lost must not keep its tasks alive, because it is to be given up.
	 */
	order.lease = worker->is_silent ? -1 : node_worker_grant_lease(worker);
	if (!worker->is_silent)
		order.last_stored_end = acknowledge_stored_ends(worker);
	worker->poll_acknowledges = order.last_stored_end;
	worker->poll_grants = order.lease >= 0;
	/* A worker that crashes mostly has a poll open: not this one. */
	order.wait = order.last_stored_end ? 0 : poll_wait(worker);
	order.timeout = order.wait + WORKER_POLL_GRACE;
	worker->is_polling = true;
	worker->poll_sent_at = now;
	worker->poll_timeout = order.timeout;
	node_metrics_count(holder->node, NODE_COUNT_POLL);
	call = talloc(worker, poll_call_t);
	*call = (poll_call_t){ worker, worker->link };
	holder->node->platform->poll(worker->link, &order, poll_answered, call);
}

static node_link_t *new_link(node_worker_t *worker, const char *address)
{
	node_holder_t *holder = worker->holder;
	node_link_options_t options = {
		.loop = holder->node->loop,
		.address = address,
		.worker = worker->id,
		.orders = node_holder_decide_permit(holder),
		.polls = node_holder_extend_permit(holder),
	};

	return holder->node->platform->link_new(worker, &options);
}

node_worker_t *node_worker_new(node_holder_t *holder, const char *id,
			       const char *address)
{
	const node_t *node = holder->node;
	node_worker_t *worker = talloc_zero(holder, node_worker_t);
	const int64_t *granted_until;

	worker->holder = holder;
	worker->id = talloc_strdup(worker, id);
	worker->address = talloc_strdup(worker, address);
	worker->clock = -1;
	granted_until = g_hash_table_lookup(holder->dropped_grants, id);
	if (granted_until)
		worker->granted_until = *granted_until;
	worker->timer = net_timer_new(worker, node->loop, poll_worker, worker);
	worker->link = new_link(worker, address);
	if (!worker->link) {
		talloc_free(worker);
		return NULL;
	}
	g_hash_table_insert(holder->worker_links, worker->id, worker);
	return worker;
}

void node_worker_set_address(node_worker_t *worker, const char *address)
{
	int64_t now = base_clock_mono();
	node_link_t *link;

	if (worker->moved_at && now - worker->moved_at < WORKER_MOVE_GAP)
		return;
	link = new_link(worker, address);
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
	if (worker->is_polling && worker->poll_grants)
		node_worker_grant_unanswered(worker, worker->poll_sent_at);
	worker->is_polling = false;
	if (worker->poll_acknowledges)
		worker->acknowledged_until =
			worker->poll_sent_at + WORKER_LATE_CALL_MAX;
	node_worker_schedule_poll(worker, 0);
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
			node_worker_schedule_poll(worker, 0);
		}
	}
}
