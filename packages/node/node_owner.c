/*
 * The holder: its lease, its decisions and its answers to requests.
 *
 * While the store cannot be reached the lease expires and nothing is decided,
 * but workers are still looked at.  This extends their leases, so that their
 * tasks run on until a new holder, with its higher term, takes the workers
 * over.
 */
#include "node_int.h"

#define OWNER_TTL (2000 * BASE_MS)  /* equals LEAD_TTL in node_lead.c */
#define OWNER_RENEW (500 * BASE_MS) /* four tries within a lease */
/* Nothing is decided this shortly before the lease ends. */
#define OWNER_MARGIN (100 * BASE_MS)
#define OWNER_STEP_DELAY (4 * BASE_MS) /* batches events that come together */
/* How long workers' leases are extended after the holder's own lease has
 * expired; a new holder waits as long for workers that it cannot reach. */
#define OWNER_ORPHAN_GRACE (3 * BASE_SEC)
/* Interval between searches for ended jobs to remove, and the factor by which
 * they are kept longer than required. */
#define OWNER_FORGET_EVERY (5 * BASE_SEC)
#define OWNER_KEEP_FACTOR 2

typedef struct waiter {
	node_job_ask_t ask;
	node_outcome_done_t *done;
	void *arg;
	bool cancel;
} waiter_t;

static void renew(void *arg);
static void step(void *arg);

static void renewed(void *arg, const node_answer_t *answer)
{
	node_owner_t *owner = arg;
	node_t *node = owner->node;
	int64_t now = base_clock_mono();

	node_store_answered(node, answer->fate);
	if (answer->fate == NODE_STORE_MISSING) {
		node_lead_lost(node, "the store reports the lease as expired");
		return;
	}
	if (answer->fate == NODE_STORE_OK && owner->handover_pending) {
		node_owner_resign(owner, "a peer may have ended the lease");
		return;
	}
	if (answer->fate == NODE_STORE_OK) {
		owner->lease_until = owner->renew_sent_at + OWNER_TTL;
		owner->suspension_logged = false;
	}
	if (now > owner->lease_until && !owner->suspension_logged) {
		owner->suspension_logged = true;
		node_log(node, BASE_MSG_DUTY_SUSPENDED,
			 BASE_F_INT("term", owner->term),
			 BASE_F_INT("lease_over_us_ago",
				    now - owner->lease_until));
	}
	if (!node_owner_keeps(owner)) {
		node_lead_lost(node,
			       "the store has been unavailable for too long");
		return;
	}
	net_timer_start(owner->renew_timer,
			MAX(owner->renew_sent_at + OWNER_RENEW - now, 0));
}

static void renew(void *arg)
{
	node_owner_t *owner = arg;
	node_renewal_t renewal = { owner->lease, OWNER_RENEW };

	/* The store's lease starts when the call arrives, which is later. */
	owner->renew_sent_at = base_clock_mono();
	node_store_renew(owner->node, owner->store, &renewal, renewed, owner);
}

bool node_owner_valid(const node_owner_t *owner)
{
	return owner->restored && !owner->ended && !owner->handover_pending &&
	       base_clock_mono() < owner->lease_until - OWNER_MARGIN;
}

bool node_owner_keeps(const node_owner_t *owner)
{
	return !owner->ended &&
	       base_clock_mono() < owner->lease_until + OWNER_ORPHAN_GRACE;
}

bool node_owner_doubts(const node_owner_t *owner, const char *id)
{
	return !node_owner_valid(owner) &&
	       batch_unsettled(owner->core, base_str(id));
}

batch_t *node_owner_core(const node_owner_t *owner)
{
	return owner->core;
}

void node_owner_wake(node_owner_t *owner)
{
	if (owner->step_soon || !owner->restored)
		return;
	owner->step_soon = true;
	net_timer_start(owner->step_timer, OWNER_STEP_DELAY);
}

/* Removes ended jobs that need not be kept from memory and from the store. */
static void forget_ended_jobs(node_owner_t *owner, int64_t now)
{
	int64_t keep = OWNER_KEEP_FACTOR * owner->node->settings->keep;
	GPtrArray *ids;
	guint i;

	if (now - owner->forgot_at < OWNER_FORGET_EVERY)
		return;
	owner->forgot_at = now;
	ids = batch_forget(owner->core, base_clock_wall() - keep);
	for (i = 0; i < ids->len; i++)
		g_queue_push_tail(&owner->forgotten,
				  g_strdup(g_ptr_array_index(ids, i)));
	g_ptr_array_unref(ids);
}

static void step(void *arg)
{
	node_owner_t *owner = arg;

	owner->step_soon = false;
	net_timer_start(owner->step_timer, BATCH_STEP);
	node_pass_check(owner);
	if (!node_owner_valid(owner))
		return;
	batch_step(owner->core, base_clock_mono(), base_clock_wall());
	forget_ended_jobs(owner, base_clock_mono());
	node_commit_pump(owner);
}

static int owner_free(node_owner_t *owner)
{
	g_queue_clear_full(&owner->forgotten, g_free);
	g_hash_table_unref(owner->waiting);
	g_hash_table_unref(owner->links);
	if (owner->sources)
		g_hash_table_unref(owner->sources);
	return 0;
}

void node_owner_config(node_owner_t *owner)
{
	const node_config_t *config = &owner->node->config;
	batch_queue_info_t *queues =
		talloc_array(NULL, batch_queue_info_t, config->n_routes + 1);
	size_t i;

	for (i = 0; i < config->n_routes; i++)
		queues[i] = config->routes[i].queue;
	batch_config(owner->core, queues, config->n_routes, config->pools,
		     config->n_pools);
	talloc_free(queues);
	node_owner_wake(owner);
}

void node_owner_waves(node_owner_t *owner)
{
	GHashTableIter iter;
	gpointer value;

	if (!owner->restored)
		return;
	g_hash_table_iter_init(&iter, owner->node->wave_texts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		node_waves_text(owner->waves, base_str(value));
}

node_owner_t *node_owner_new(node_t *node, const node_owner_options_t *options)
{
	node_owner_t *owner = talloc_zero(node, node_owner_t);
	batch_options_t core = {
		.ops = &node_batch_ops,
		.arg = owner,
		.doubt = 300 * BASE_MS,
	};

	owner->node = node;
	owner->term = options->term;
	owner->lease = options->lease;
	owner->lease_until = options->lease_until;
	owner->owner_revision = options->owner_revision;
	owner->fence_revision = options->fence_revision;
	owner->taken_at = base_clock_mono();
	owner->orphan_until = owner->taken_at + OWNER_ORPHAN_GRACE +
			      node_worker_lease_span(owner);
	owner->store = node->platform->store_new(owner, node->loop,
						 node->settings->store);
	owner->core = batch_new(owner, &core);
	owner->waiting =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	owner->links = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&owner->forgotten);
	owner->forgot_at = owner->taken_at;
	talloc_set_destructor(owner, owner_free);
	node_advice_begin(owner);
	owner->instances = node_instances_new(owner);
	owner->waves = node_waves_new(owner);
	owner->moves = node_moves_new(owner);
	owner->renew_timer = net_timer_new(owner, node->loop, renew, owner);
	owner->step_timer = net_timer_new(owner, node->loop, step, owner);
	net_timer_start(owner->renew_timer, OWNER_RENEW);
	node_owner_config(owner);
	node_restore_begin(owner);
	return owner;
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
		g_free(waiter);
	}
}

void node_owner_end(node_owner_t *owner)
{
	node_outcome_t unknown = { .kind = NODE_OUT_UNKNOWN,
				   .why = "the holder changed" };
	GHashTableIter iter;
	gpointer value;

	owner->ended = true;
	g_hash_table_iter_init(&iter, owner->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		answer_waiters(value, false, &unknown);
		answer_waiters(value, true, &unknown);
	}
}

static void add_waiter(node_owner_t *owner, const node_job_ask_t *ask,
		       node_outcome_done_t *done, void *arg)
{
	GPtrArray *list = g_hash_table_lookup(owner->waiting, ask->id);
	waiter_t *waiter = g_new0(waiter_t, 1);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(owner->waiting, g_strdup(ask->id), list);
	}
	waiter->done = done;
	waiter->arg = arg;
	waiter->cancel = ask->ask == NODE_ASK_CANCEL;
	g_ptr_array_add(list, waiter);
}

static void answer_job_waiters(node_owner_t *owner, base_str_t job, bool cancel)
{
	node_outcome_t outcome = { .kind = NODE_OUT_ACCEPTED };
	char *id = base_str_dup(NULL, job);
	GPtrArray *list = g_hash_table_lookup(owner->waiting, id);

	if (list) {
		answer_waiters(list, cancel, &outcome);
		if (!list->len)
			g_hash_table_remove(owner->waiting, id);
	}
	talloc_free(id);
}

void node_owner_accepted(void *arg, base_str_t job)
{
	answer_job_waiters(arg, job, false);
}

void node_owner_cancelled(void *arg, base_str_t job)
{
	answer_job_waiters(arg, job, true);
}

/* The stored form of a job: its queue and the body that the caller sent. */
static char *print_source(const void *ctx, const node_job_ask_t *ask)
{
	base_buf_t *buf = base_buf_new(ctx);

	base_buf_adds(buf, "{\"queue\":");
	base_buf_add_json(buf, base_str(ask->queue));
	base_buf_adds(buf, ",\"body\":");
	base_buf_add_json(buf, ask->body);
	base_buf_adds(buf, "}");
	return buf->ptr;
}

static void submit(node_owner_t *owner, const node_job_ask_t *ask,
		   node_outcome_done_t *done, void *arg)
{
	void *ctx = talloc_new(NULL);
	batch_spec_t spec = { 0 };
	node_outcome_t outcome = { .kind = NODE_OUT_REFUSED };
	GError *err = NULL;
	batch_verdict_t verdict;

	spec.id = base_str(ask->id);
	spec.queue = base_str(ask->queue);
	spec.source = base_str(print_source(ctx, ask));
	if (!owner->node->platform->job_read(ctx, ask->body, &spec, &err) ||
	    !batch_spec_check(&spec, &err)) {
		outcome.kind = NODE_OUT_BAD;
		outcome.why = err->message;
		done(arg, &outcome);
		g_clear_error(&err);
		talloc_free(ctx);
		return;
	}
	verdict = batch_submit(owner->core, base_clock_mono(),
			       base_clock_wall(), &spec, &outcome.retry_after);
	talloc_free(ctx);
	if (verdict == BATCH_REFUSED) {
		outcome.why = "cannot end in time";
		done(arg, &outcome);
	} else if (verdict == BATCH_KNOWN &&
		   batch_state(owner->core, base_str(ask->id)) !=
			   BATCH_UNKNOWN) {
		outcome.kind = NODE_OUT_ACCEPTED;
		outcome.why = "known";
		done(arg, &outcome);
	} else {
		add_waiter(owner, ask, done, arg);
		node_commit_pump(owner);
	}
}

static void cancel(node_owner_t *owner, const node_job_ask_t *ask,
		   node_outcome_done_t *done, void *arg)
{
	node_outcome_t outcome = { .kind = NODE_OUT_ACCEPTED };
	batch_state_t state;

	if (!batch_cancel(owner->core, base_clock_mono(), base_str(ask->id),
			  &state)) {
		/* Cancelling an ended job succeeds without effect. */
		if (state == BATCH_UNKNOWN)
			outcome.kind = NODE_OUT_GONE;
		done(arg, &outcome);
		return;
	}
	if (state == BATCH_CANCELLED) {
		done(arg, &outcome);
		return;
	}
	add_waiter(owner, ask, done, arg);
	node_owner_wake(owner);
	node_commit_pump(owner);
}

void node_owner_ask(node_owner_t *owner, const node_job_ask_t *ask,
		    node_outcome_done_t *done, void *arg)
{
	node_outcome_t outcome = { .kind = NODE_OUT_STATE };

	switch (ask->ask) {
	case NODE_ASK_SUBMIT:
		submit(owner, ask, done, arg);
		break;
	case NODE_ASK_CANCEL:
		cancel(owner, ask, done, arg);
		break;
	case NODE_ASK_STATE:
		outcome.state = batch_state(owner->core, base_str(ask->id));
		if (outcome.state == BATCH_UNKNOWN)
			outcome.kind = NODE_OUT_GONE;
		done(arg, &outcome);
		break;
	default:
		outcome.kind = NODE_OUT_PENDING;
		outcome.pending =
			batch_pending(owner->core, base_str(ask->queue));
		done(arg, &outcome);
		break;
	}
}

static void resigned(void *arg, const node_answer_t *answer)
{
	(void)arg;
	(void)answer; /* without the call the lease expires */
}

void node_owner_resign(node_owner_t *owner, const char *why)
{
	node_t *node = owner->node;

	/* The next holder reads whether a change in flight took effect. */
	node->platform->release(node->store, owner->lease, resigned, node);
	node_lead_lost(node, why);
}
