/*
 * The holder: its lease, its decisions and its answers to requests.
 *
 * While the store cannot be reached the lease expires and nothing is decided,
 * but workers are still polled.  This extends their leases, so that their
 * tasks run on until a new holder, with its higher term, takes the workers
 * over.
 */
#include "node_int.h"

/* Equals ELECTION_TTL in node_election.c. */
#define HOLDER_TTL (2000 * BASE_MS)
#define HOLDER_RENEW (500 * BASE_MS) /* four renewals within a lease */
/* Lease margin: nothing is decided in this time before the end of the holder's
 * lease. */
#define HOLDER_MARGIN (100 * BASE_MS)
/* Delay of a decision after the event that requires it, so that one decision
 * covers several events. */
#define HOLDER_STEP_DELAY (4 * BASE_MS)
/* How long workers' leases are extended after the holder's own lease has
 * expired; a new holder waits as long, and a lease longer, for workers that it
 * cannot reach. */
#define HOLDER_ORPHAN_GRACE (3 * BASE_SEC)
/* Interval between searches for ended jobs to remove, and the factor by which
 * they are kept longer than required. */
#define HOLDER_FORGET_EVERY (5 * BASE_SEC)
#define HOLDER_KEEP_FACTOR 2

typedef struct waiter {
	char *token;
	int try_number;
	node_outcome_done_t *done;
	void *arg;
	bool cancel;
} waiter_t;

/* A cancel of a job that this holder does not know. */
typedef struct unknown_cancel {
	node_job_request_t ask;
	node_outcome_done_t *done;
	void *arg;
} unknown_cancel_t;

static void renew(void *arg);
static void step(void *arg);
static void answer_cancels(GQueue *cancels, node_outcome_t *outcome);

static void renewed(void *arg, const node_answer_t *answer)
{
	node_holder_t *holder = arg;
	node_t *node = holder->node;
	int64_t now = base_clock_mono();

	node_store_track_status(node, answer->store_status);
	if (answer->store_status == NODE_STORE_MISSING) {
		node_election_lost(node,
				   "the store reports the lease as expired");
		return;
	}
	if (answer->store_status == NODE_STORE_OK && holder->handover_pending) {
		node_holder_resign(holder, "a peer may have ended the lease");
		return;
	}
	if (answer->store_status == NODE_STORE_OK) {
		holder->lease_until = holder->renew_sent_at + HOLDER_TTL;
		holder->suspension_logged = false;
	}
	if (now > holder->lease_until && !holder->suspension_logged) {
		holder->suspension_logged = true;
		node_log(node, BASE_MSG_DUTY_SUSPENDED,
			 BASE_F_INT("term", holder->term),
			 BASE_F_INT("lease_over_us_ago",
				    now - holder->lease_until));
	}
	if (!node_holder_may_extend(holder)) {
		node_election_lost(
			node, "the store has been unavailable for too long");
		return;
	}
	net_timer_start(holder->renew_timer,
			MAX(holder->renew_sent_at + HOLDER_RENEW - now, 0));
}

static void renew(void *arg)
{
	node_holder_t *holder = arg;
	node_renewal_t renewal = { holder->lease, HOLDER_RENEW };

	/* The store counts the lease from the arrival of the call, so a lease
	 * that is counted from the sending of the call ends no later. */
	holder->renew_sent_at = base_clock_mono();
	node_store_renew(holder->node, holder->store, &renewal, renewed,
			 holder);
}

bool node_holder_may_decide(const node_holder_t *holder)
{
	return holder->restored && !holder->ended &&
	       !holder->handover_pending &&
	       base_clock_mono() < holder->lease_until - HOLDER_MARGIN;
}

bool node_holder_may_extend(const node_holder_t *holder)
{
	int64_t until = holder->lease_until;

	/* The next holder may count from the time at which a peer ended the
	 * lease. */
	if (holder->handover_pending)
		until = MIN(until, holder->handover_asked_at);
	return !holder->ended &&
	       base_clock_mono() < until + HOLDER_ORPHAN_GRACE;
}

static bool is_decide_permit_valid(const void *arg)
{
	return node_holder_may_decide(arg);
}

static bool is_extend_permit_valid(const void *arg)
{
	return node_holder_may_extend(arg);
}

net_permit_t node_holder_decide_permit(const node_holder_t *holder)
{
	return (net_permit_t){ is_decide_permit_valid, holder };
}

net_permit_t node_holder_extend_permit(const node_holder_t *holder)
{
	return (net_permit_t){ is_extend_permit_valid, holder };
}

bool node_holder_is_meant(const node_holder_t *holder,
			  const node_job_request_t *ask)
{
	return !ask->term || ask->term == holder->term;
}

bool node_holder_job_uncertain(const node_holder_t *holder, const char *id)
{
	return !node_holder_may_decide(holder) &&
	       batch_job_unstored(holder->core, base_str(id));
}

batch_t *node_holder_core(const node_holder_t *holder)
{
	return holder->core;
}

void node_holder_step_soon(node_holder_t *holder)
{
	if (holder->step_soon || !holder->restored)
		return;
	holder->step_soon = true;
	net_timer_start(holder->step_timer, HOLDER_STEP_DELAY);
}

/* Removes ended jobs that need not be kept from memory and from the store. */
static void forget_ended_jobs(node_holder_t *holder, int64_t now)
{
	int64_t keep = HOLDER_KEEP_FACTOR * holder->node->settings->keep;
	GPtrArray *ids;
	guint i;

	if (now - holder->forgot_at < HOLDER_FORGET_EVERY)
		return;
	holder->forgot_at = now;
	ids = batch_purge_jobs(holder->core, base_clock_wall() - keep);
	for (i = 0; i < ids->len; i++)
		g_queue_push_tail(&holder->forgotten,
				  g_strdup(g_ptr_array_index(ids, i)));
	g_ptr_array_unref(ids);
}

static void step(void *arg)
{
	node_holder_t *holder = arg;

	int64_t delay = BATCH_PASS_INTERVAL;

	holder->step_soon = false;
	net_timer_start(holder->step_timer, delay);
	node_pass_check(holder);
	if (!node_holder_may_decide(holder))
		return;
	delay = batch_tick(holder->core, base_clock_mono(), base_clock_wall());
	/* An event during the call may have scheduled the next one sooner. */
	if (!holder->step_soon)
		net_timer_start(holder->step_timer, delay);
	forget_ended_jobs(holder, base_clock_mono());
	node_commit_send_pending(holder);
}

static int holder_free(node_holder_t *holder)
{
	g_queue_clear_full(&holder->forgotten, g_free);
	g_queue_clear(&holder->cancels_read);
	g_queue_clear(&holder->cancels_next);
	g_hash_table_unref(holder->waiting);
	g_hash_table_unref(holder->worker_links);
	g_hash_table_unref(holder->lookups);
	g_hash_table_unref(holder->ended_workers);
	g_hash_table_unref(holder->dropped_grants);
	g_hash_table_unref(holder->unreadable_entries);
	if (holder->sources)
		g_hash_table_unref(holder->sources);
	return 0;
}

void node_holder_config(node_holder_t *holder)
{
	const node_config_t *config = &holder->node->config;
	batch_queue_info_t *queues =
		talloc_array(NULL, batch_queue_info_t, config->n_routes + 1);
	size_t i;

	for (i = 0; i < config->n_routes; i++)
		queues[i] = config->routes[i].queue;
	batch_config(holder->core, queues, config->n_routes, config->pools,
		     config->n_pools);
	batch_config_workspaces(holder->core, config->workspaces,
				config->n_workspaces);
	talloc_free(queues);
	node_holder_step_soon(holder);
}

void node_holder_waves(node_holder_t *holder)
{
	GHashTableIter iter;
	gpointer value;

	if (!holder->restored)
		return;
	g_hash_table_iter_init(&iter, holder->node->wave_texts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		node_waves_add(holder->waves, base_str(value));
}

node_holder_t *node_holder_new(node_t *node,
			       const node_holder_options_t *options)
{
	node_holder_t *holder = talloc_zero(node, node_holder_t);
	batch_options_t core = {
		.ops = &node_batch_ops,
		.arg = holder,
		.in_doubt_timeout = 300 * BASE_MS,
		.drain_time = node->settings->drain_time,
		.remote_penalty = node->settings->remote_penalty,
		.row_max = (size_t)node->settings->store_value_max,
	};

	holder->node = node;
	holder->term = options->term;
	holder->lease = options->lease;
	holder->lease_until = options->lease_until;
	holder->holder_revision = options->holder_revision;
	holder->fence_revision = options->fence_revision;
	holder->taken_at = base_clock_mono();
	/* The store may have removed the key of the former holder before the
	 * lease ended that this one counts on. */
	holder->orphan_until = holder->taken_at + HOLDER_TTL +
			       HOLDER_ORPHAN_GRACE +
			       node_worker_lease_span(holder);
	holder->former_orders_until =
		holder->taken_at + HOLDER_TTL + NODE_INSTANCE_ORDER_LATE_MAX;
	holder->store = node->platform->store_new(holder, node->loop,
						  node->settings->store);
	holder->core = batch_new(holder, &core);
	holder->refusals = node_refusals_new(holder);
	holder->waiting =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	holder->worker_links = g_hash_table_new(g_str_hash, g_str_equal);
	holder->lookups = g_hash_table_new(g_str_hash, g_str_equal);
	holder->ended_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	holder->dropped_grants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	holder->unreadable_entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&holder->forgotten);
	g_queue_init(&holder->awaiting_stored);
	g_queue_init(&holder->cancels_next);
	g_queue_init(&holder->cancels_read);
	holder->forgot_at = holder->taken_at;
	talloc_set_destructor(holder, holder_free);
	node_advice_begin(holder);
	holder->instances = node_instances_new(holder);
	holder->waves = node_waves_new(holder);
	holder->moves = node_moves_new(holder);
	holder->renew_timer = net_timer_new(holder, node->loop, renew, holder);
	holder->step_timer = net_timer_new(holder, node->loop, step, holder);
	net_timer_start(holder->renew_timer, HOLDER_RENEW);
	node_holder_config(holder);
	node_restore_begin(holder);
	return holder;
}

/* Answers the submits or, with "cancels", the cancels in a job's list. */
static void answer_waiters(GPtrArray *list, bool cancels,
			   const node_outcome_t *outcome)
{
	guint i = 0;

	while (i < list->len) {
		waiter_t *waiter = g_ptr_array_index(list, i);

		if (waiter->cancel != cancels) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(list, i);
		waiter->done(waiter->arg, outcome);
		g_free(waiter->token);
		g_free(waiter);
	}
}

void node_holder_end(node_holder_t *holder)
{
	node_outcome_t unknown = { .kind = NODE_OUT_UNKNOWN,
				   .why = "the holder changed" };
	GHashTableIter iter;
	gpointer value;

	holder->ended = true;
	g_hash_table_iter_init(&iter, holder->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		answer_waiters(value, false, &unknown);
		answer_waiters(value, true, &unknown);
	}
	answer_cancels(&holder->cancels_read, &unknown);
	answer_cancels(&holder->cancels_next, &unknown);
}

static void add_waiter(node_holder_t *holder, const node_job_request_t *ask,
		       node_outcome_done_t *done, void *arg)
{
	GPtrArray *list = g_hash_table_lookup(holder->waiting, ask->id);
	waiter_t *waiter = g_new0(waiter_t, 1);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(holder->waiting, g_strdup(ask->id), list);
	}
	waiter->token = g_strdup(ask->token);
	waiter->try_number = ask->try_number;
	waiter->done = done;
	waiter->arg = arg;
	waiter->cancel = ask->job_op == NODE_OP_CANCEL;
	g_ptr_array_add(list, waiter);
}

static void set_judged(node_holder_t *holder, const char *id, const char *token,
		       int try_number)
{
	talloc_free(holder->judged_id);
	talloc_free(holder->judged_token);
	holder->judged_id = talloc_strdup(holder, id);
	holder->judged_token = talloc_strdup(holder, token ? token : "");
	holder->judged_try = try_number;
}

const char *node_holder_judged(const node_holder_t *holder, base_str_t job,
			       int *try_number)
{
	*try_number = 0;
	if (!holder->judged_id ||
	    !base_str_eq(job, base_str(holder->judged_id)))
		return "";
	*try_number = holder->judged_try;
	return holder->judged_token;
}

/* The submit that waits longest is the one that was accepted. */
static void set_judged_waiter(node_holder_t *holder, const char *id,
			      const GPtrArray *list)
{
	guint i;

	for (i = 0; i < list->len; i++) {
		const waiter_t *waiter = g_ptr_array_index(list, i);

		if (waiter->cancel)
			continue;
		set_judged(holder, id, waiter->token, waiter->try_number);
		return;
	}
}

static void answer_job_waiters(node_holder_t *holder, base_str_t job,
			       bool cancel)
{
	node_outcome_t outcome = { .kind = NODE_OUT_ACCEPTED };
	char *id = base_str_dup(NULL, job);
	GPtrArray *list = g_hash_table_lookup(holder->waiting, id);

	if (list) {
		if (!cancel)
			set_judged_waiter(holder, id, list);
		answer_waiters(list, cancel, &outcome);
		if (!list->len)
			g_hash_table_remove(holder->waiting, id);
	}
	talloc_free(id);
}

void node_holder_accepted(void *arg, base_str_t job)
{
	answer_job_waiters(arg, job, false);
}

void node_holder_cancelled(void *arg, base_str_t job)
{
	answer_job_waiters(arg, job, true);
}

/*
 * The stored form of a job: its queue, the body that the caller sent, and the
 * queue's settings, which a later holder uses if the queue has been removed.
 * {"queue", "body", "workspace" (if the job has one), "settings": [pool,
 * priority, attempts, advised, stretch, target latency in microseconds]}
 */
static char *print_source(const node_t *node, const void *ctx,
			  const node_job_request_t *ask)
{
	const node_route_t *route = node_route_by_queue(node, ask->queue);
	const batch_queue_info_t *queue = route ? &route->queue : NULL;
	base_buf_t *buf = base_buf_new(ctx);
	char stretch[G_ASCII_DTOSTR_BUF_SIZE];

	base_buf_adds(buf, "{\"queue\":");
	base_buf_add_json(buf, base_str(ask->queue));
	base_buf_adds(buf, ",\"body\":");
	base_buf_add_json(buf, ask->body);
	if (ask->workspace) {
		base_buf_adds(buf, ",\"workspace\":");
		base_buf_add_json(buf, base_str(ask->workspace));
	}
	if (queue) {
		base_buf_adds(buf, ",\"settings\":[");
		base_buf_add_json(buf, queue->pool);
		base_buf_addf(buf, ",%d,%d,%d,%s,%lld]", queue->priority,
			      queue->attempts, queue->advised,
			      g_ascii_dtostr(stretch, sizeof(stretch),
					     queue->stretch),
			      (long long)queue->target_latency);
	}
	base_buf_adds(buf, "}");
	return buf->ptr;
}

/* Makes a refusal binding for all tries of the request, or turns it into
 * NODE_OUT_UNKNOWN.  The first try needs no memory: no other one is on its
 * way. */
static void bind_refusal(node_holder_t *holder, const node_job_request_t *ask,
			 node_outcome_t *outcome)
{
	if (!ask->token)
		return;
	outcome->is_binding =
		ask->try_number == 1 ||
		node_refusals_add(holder->refusals, base_clock_mono(),
				  ask->token, outcome);
	if (outcome->is_binding)
		return;
	outcome->kind = NODE_OUT_UNKNOWN;
	outcome->why = "too many refusals to remember";
}

/* Answers a try of a request that was refused before; false: it was not. */
static bool refuse_again(node_holder_t *holder, const node_job_request_t *ask,
			 node_outcome_done_t *done, void *arg)
{
	node_outcome_t outcome;

	if (!ask->token ||
	    !node_refusals_find(holder->refusals, base_clock_mono(), ask->token,
				&outcome))
		return false;
	outcome.is_binding = true;
	node_metrics_count(holder->node, NODE_COUNT_REFUSED_AGAIN);
	node_log(holder->node, BASE_MSG_JOB_REFUSED_AGAIN,
		 BASE_F_STR("id", ask->id), BASE_F_STR("why", outcome.why),
		 BASE_F_INT("term", holder->term),
		 BASE_F_STR("token", ask->token),
		 BASE_F_INT("try", ask->try_number));
	done(arg, &outcome);
	return true;
}

/* The store refuses a change with a value that is too large: nothing else in it
 * would be stored. */
static bool check_source(const node_t *node, base_str_t source, GError **err)
{
	int64_t most = node->settings->store_value_max;

	if (!most || source.len <= (size_t)most)
		return true;
	g_set_error(err, NODE_ERROR, NODE_ERR_JOB_SIZE,
		    "the job takes %zu bytes, the store holds %lld", source.len,
		    (long long)most);
	return false;
}

/*
 * Whether the job belongs to another workspace than the request.  One on a
 * public route has none; it must not reach the jobs of other queues.
 */
static bool is_of_others(const node_holder_t *holder,
			 const node_job_request_t *ask)
{
	base_str_t id = base_str(ask->id);
	base_str_t workspace = batch_job_workspace(holder->core, id);

	if (!workspace.len)
		return false;
	if (ask->workspace)
		return !base_str_eq(workspace, base_str(ask->workspace));
	return holder->node->keys &&
	       !base_str_eq(base_str(ask->queue),
			    batch_job_queue(holder->core, id));
}

/* Whether the caller's workspace, not the pool, is the reason. */
static bool is_of_workspace(batch_refusal_kind_t kind)
{
	return kind == BATCH_REFUSAL_SHARE || kind == BATCH_REFUSAL_LIMIT ||
	       kind == BATCH_REFUSAL_TOO_LARGE;
}

static void submit(node_holder_t *holder, const node_job_request_t *ask,
		   node_outcome_done_t *done, void *arg)
{
	void *ctx = talloc_new(NULL);
	batch_spec_t spec = { 0 };
	node_outcome_t outcome = { .kind = NODE_OUT_REFUSED };
	GError *err = NULL;
	batch_refusal_t refusal;
	batch_admission_t verdict;

	spec.id = base_str(ask->id);
	spec.queue = base_str(ask->queue);
	spec.workspace = base_str(ask->workspace);
	spec.source = base_str(print_source(holder->node, ctx, ask));
	if (!check_source(holder->node, spec.source, &err) ||
	    !holder->node->platform->job_read(ctx, ask->body, &spec, &err) ||
	    !batch_spec_check(&spec, &err) ||
	    !batch_spec_fits(&spec,
			     (size_t)holder->node->settings->store_value_max,
			     &err)) {
		outcome.kind = NODE_OUT_INVALID;
		outcome.why = err->message;
		done(arg, &outcome);
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	set_judged(holder, ask->id, ask->token, ask->try_number);
	verdict = batch_submit(holder->core, base_clock_mono(),
			       base_clock_wall(), &spec, &refusal);
	talloc_free(ctx);
	if (verdict == BATCH_REFUSED) {
		outcome.kind = is_of_workspace(refusal.kind) ? NODE_OUT_LIMITED
							     : NODE_OUT_REFUSED;
		outcome.retry_after = refusal.retry_after;
		outcome.why = batch_refusal_name(refusal.kind);
		bind_refusal(holder, ask, &outcome);
		done(arg, &outcome);
	} else if (verdict == BATCH_DUPLICATE && is_of_others(holder, ask)) {
		outcome.kind = NODE_OUT_INVALID;
		outcome.why = "the job's id is in use";
		done(arg, &outcome);
	} else if (verdict == BATCH_DUPLICATE &&
		   batch_state(holder->core, base_str(ask->id)) !=
			   BATCH_UNKNOWN) {
		outcome.kind = NODE_OUT_ACCEPTED;
		outcome.why = "known";
		done(arg, &outcome);
	} else {
		add_waiter(holder, ask, done, arg);
		node_commit_send_pending(holder);
	}
}

static void answer_cancels(GQueue *cancels, node_outcome_t *outcome)
{
	unknown_cancel_t *waiting;

	while ((waiting = g_queue_pop_head(cancels))) {
		waiting->done(waiting->arg, outcome);
		talloc_free(waiting);
	}
}

static void confirm_next_cancels(node_holder_t *holder);

/* Whether the answer shows that the holder's key is still its own. */
static bool confirms_key(const node_holder_t *holder,
			 const node_answer_t *answer)
{
	return answer->store_status == NODE_STORE_OK && answer->n_items &&
	       answer->items[0].revision == holder->holder_revision;
}

static void cancel(node_holder_t *holder, const node_job_request_t *ask,
		   bool is_confirmed, node_outcome_done_t *done, void *arg);

static void key_confirmed(void *arg, const node_answer_t *answer)
{
	node_holder_t *holder = arg;
	node_outcome_t unknown = { .kind = NODE_OUT_UNKNOWN,
				   .why = "the store does not answer" };
	unknown_cancel_t *waiting;

	node_store_track_status(holder->node, answer->store_status);
	if (holder->ended)
		return;
	if (confirms_key(holder, answer)) {
		while ((waiting = g_queue_pop_head(&holder->cancels_read))) {
			cancel(holder, &waiting->ask, true, waiting->done,
			       waiting->arg);
			talloc_free(waiting);
		}
	} else if (answer->store_status == NODE_STORE_OK ||
		   answer->store_status == NODE_STORE_MISSING) {
		node_election_lost(holder->node, "the key is not its own");
		return;
	} else {
		answer_cancels(&holder->cancels_read, &unknown);
	}
	holder->is_key_read = false;
	confirm_next_cancels(holder);
}

/* One read at a time, for all cancels that came before it. */
static void confirm_next_cancels(node_holder_t *holder)
{
	unknown_cancel_t *waiting;

	if (holder->is_key_read || !holder->cancels_next.length)
		return;
	while ((waiting = g_queue_pop_head(&holder->cancels_next)))
		g_queue_push_tail(&holder->cancels_read, waiting);
	holder->is_key_read = true;
	node_store_get(holder->node, holder->store, NODE_KEY_HOLDER,
		       key_confirmed, holder);
}

/*
 * A successor may have accepted the job since the store took the key away,
 * which no lease shows: that there is no such job is answered once a read,
 * begun after the request, shows the key.
 */
static void confirm_cancel(node_holder_t *holder, const node_job_request_t *ask,
			   node_outcome_done_t *done, void *arg)
{
	unknown_cancel_t *waiting = talloc_zero(holder, unknown_cancel_t);

	waiting->ask.job_op = NODE_OP_CANCEL;
	waiting->ask.id = talloc_strdup(waiting, ask->id);
	waiting->ask.queue = talloc_strdup(waiting, ask->queue);
	waiting->ask.workspace = talloc_strdup(waiting, ask->workspace);
	if (ask->token)
		waiting->ask.token = talloc_strdup(waiting, ask->token);
	waiting->ask.try_number = ask->try_number;
	waiting->done = done;
	waiting->arg = arg;
	g_queue_push_tail(&holder->cancels_next, waiting);
	confirm_next_cancels(holder);
}

static void cancel(node_holder_t *holder, const node_job_request_t *ask,
		   bool is_confirmed, node_outcome_done_t *done, void *arg)
{
	node_outcome_t outcome = { .kind = NODE_OUT_ACCEPTED };
	batch_state_t state;

	/* Also if another workspace's job has come since the first look. */
	if (is_of_others(holder, ask)) {
		outcome.kind = NODE_OUT_NOT_FOUND;
		bind_refusal(holder, ask, &outcome);
		done(arg, &outcome);
		return;
	}
	if (!batch_cancel(holder->core, base_clock_mono(), base_str(ask->id),
			  &state)) {
		/* Cancelling an ended job succeeds without effect. */
		if (state == BATCH_UNKNOWN) {
			if (!is_confirmed) {
				confirm_cancel(holder, ask, done, arg);
				return;
			}
			outcome.kind = NODE_OUT_NOT_FOUND;
			bind_refusal(holder, ask, &outcome);
		}
		done(arg, &outcome);
		return;
	}
	if (state == BATCH_CANCELLED) {
		done(arg, &outcome);
		return;
	}
	add_waiter(holder, ask, done, arg);
	node_holder_step_soon(holder);
	node_commit_send_pending(holder);
}

static bool is_change(const node_job_request_t *ask)
{
	return ask->job_op == NODE_OP_SUBMIT || ask->job_op == NODE_OP_CANCEL;
}

static bool is_known(const node_holder_t *holder, const node_job_request_t *ask)
{
	base_str_t id = base_str(ask->id);

	return batch_state(holder->core, id) != BATCH_UNKNOWN ||
	       batch_job_unstored(holder->core, id);
}

/*
 * The key was removed since the request was read.  An earlier try may have been
 * carried out before: that it was not must not be said.
 */
static void refuse_key(node_holder_t *holder, const node_job_request_t *ask,
		       node_outcome_t *outcome, node_outcome_done_t *done,
		       void *arg)
{
	bool is_unknown = !is_known(holder, ask);

	if (ask->job_op == NODE_OP_SUBMIT && ask->try_number > 1 &&
	    !is_unknown && !is_of_others(holder, ask)) {
		submit(holder, ask, done, arg);
		return;
	}
	if (is_change(ask) && is_unknown)
		bind_refusal(holder, ask, outcome);
	done(arg, outcome);
}

void node_holder_handle_request(node_holder_t *holder,
				const node_job_request_t *ask,
				node_outcome_done_t *done, void *arg)
{
	node_outcome_t outcome = { .kind = NODE_OUT_STATE };

	if (node_access_refuses(holder->node, ask, &outcome)) {
		if (outcome.kind == NODE_OUT_UNAUTHORIZED)
			refuse_key(holder, ask, &outcome, done, arg);
		else
			done(arg, &outcome);
		return;
	}
	switch (ask->job_op) {
	case NODE_OP_SUBMIT:
		if (refuse_again(holder, ask, done, arg))
			break;
		submit(holder, ask, done, arg);
		break;
	case NODE_OP_CANCEL:
		if (refuse_again(holder, ask, done, arg))
			break;
		cancel(holder, ask, false, done, arg);
		break;
	case NODE_OP_STATE:
		outcome.state = batch_state(holder->core, base_str(ask->id));
		if (outcome.state == BATCH_UNKNOWN || is_of_others(holder, ask))
			outcome.kind = NODE_OUT_NOT_FOUND;
		done(arg, &outcome);
		break;
	default:
		outcome.kind = NODE_OUT_PENDING;
		outcome.pending =
			batch_pending(holder->core, base_str(ask->queue));
		done(arg, &outcome);
		break;
	}
}

static void resigned(void *arg, const node_answer_t *answer)
{
	(void)arg;
	(void)answer; /* if the release failed, the lease expires */
}

void node_holder_resign(node_holder_t *holder, const char *why)
{
	node_t *node = holder->node;

	/* The next holder reads whether a change in flight took effect. */
	node->platform->release(node->store, holder->lease, resigned, node);
	node_election_lost(node, why);
}
