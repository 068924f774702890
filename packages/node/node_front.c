/*
 * Requests of callers: each is matched to a queue, passed to the holder, which
 * is this entry or another one, and answered.
 */
#include "node_int.h"

/* Time to look for a holder before the caller is told to retry later.  After a
 * planned handover a holder is there within a second; any other takeover takes
 * longer than a caller should be kept waiting. */
#define FRONT_SEARCH_TIMEOUT (1000 * BASE_MS)
/* Time to look for a holder for a request from another entry, which waits
 * PEER_TIMEOUT for the answer and goes on searching itself. */
#define FRONT_SEARCH_TIMEOUT_RELAYED (150 * BASE_MS)
/* Delay between two tries to reach a holder: several round trips. */
#define FRONT_RETRY_DELAY (40 * BASE_MS)
/* Half the time until a failed holder is replaced. */
#define FRONT_RETRY_AFTER BASE_SEC
/* A request is answered at the latest this long before its caller stops
 * waiting, so that the answer arrives.  For a caller that waits only briefly
 * the margin is its waiting time over FRONT_MARGIN_DIVISOR. */
#define FRONT_MARGIN (100 * BASE_MS)
#define FRONT_MARGIN_DIVISOR 4
/* A try that ends as the one before it is logged only if it took longer: while
 * no holder is known there is one every FRONT_RETRY_DELAY. */
#define FRONT_TRY_LOG_MIN (100 * BASE_MS)

typedef struct dispatch {
	node_t *node;
	node_job_request_t ask;
	node_outcome_done_t *done;
	void *arg;
	net_timer_t *timer;
	net_timer_t *deadline_timer;
	int64_t search_until;
	int64_t tried_at;
	int64_t relayed_term; /* that a relayed request is for; 0: any */
	/* A later term than the store has named here, from the answer to the
	 * last try; 0: none.  A wrong one spoils only the next try. */
	int64_t peer_term;
	int n_tries;
	char **lost; /* addresses of tries that may be carried out late */
	size_t n_lost;
	bool lost_without_term; /* one of these tries named no term */
	int first_try_number;	/* of a relayed request: the one relayed */
	char *hop; /* address that was tried; NULL: this entry decides */
	bool through_relay;		 /* that address was not the holder's */
	node_outcome_kind_t logged_kind; /* NODE_OUT_MAX: none logged */
	bool is_trying;			 /* a try has no outcome yet */
	bool may_be_done;		 /* a try may have been carried out */
	bool is_answered;		 /* "done" was called */
} dispatch_t;

typedef struct front {
	node_t *node;
	net_exchange_t *exchange;
	node_op_t ask;
	char *id;
	char *queue;
	int64_t began_at;
} front_t;

static void try_again(void *arg);

static void finish_dispatch(dispatch_t *dispatch, const node_outcome_t *outcome)
{
	if (!dispatch->is_answered) {
		dispatch->is_answered = true;
		g_hash_table_remove(dispatch->node->open_requests, dispatch);
		net_timer_stop(dispatch->timer);
		net_timer_stop(dispatch->deadline_timer);
		dispatch->done(dispatch->arg, outcome);
	}
	/* A pending try still refers to the dispatch; try_done() frees it. */
	if (!dispatch->is_trying)
		talloc_free(dispatch);
}

static bool is_change(const dispatch_t *dispatch)
{
	return dispatch->ask.job_op == NODE_OP_SUBMIT ||
	       dispatch->ask.job_op == NODE_OP_CANCEL;
}

static void deadline_reached(void *arg)
{
	dispatch_t *dispatch = arg;
	/* The caller may have sent the request to another entry before. */
	bool is_unsure = dispatch->is_trying || dispatch->may_be_done ||
			 !dispatch->ask.relayed;
	node_outcome_t outcome = {
		.kind = is_change(dispatch) && is_unsure ? NODE_OUT_UNKNOWN
							 : NODE_OUT_NOT_HOLDER,
		.why = dispatch->node->stopping ? "this entry ends"
						: "no answer in time",
	};

	finish_dispatch(dispatch, &outcome);
}

/* The try had no definite answer: tries again, or gives up. */
static void retry_or_fail(dispatch_t *dispatch)
{
	/* Not a refusal: another entry may reach the holder. */
	node_outcome_t outcome = { .kind = NODE_OUT_NOT_HOLDER,
				   .retry_after = FRONT_RETRY_AFTER,
				   .why = "no holder reached" };

	/* A request that may have been carried out is tried until there is a
	 * definite answer or its time is over. */
	if (dispatch->may_be_done || base_clock_mono() < dispatch->search_until)
		net_timer_start(dispatch->timer, FRONT_RETRY_DELAY);
	else
		finish_dispatch(dispatch, &outcome);
}

static const char *const op_names[NODE_OP_MAX] = {
	[NODE_OP_SUBMIT] = "submit",
	[NODE_OP_STATE] = "state",
	[NODE_OP_CANCEL] = "cancel",
	[NODE_OP_PENDING] = "pending",
};

static void log_try(dispatch_t *dispatch, const node_outcome_t *outcome)
{
	node_t *node = dispatch->node;
	const node_job_request_t *ask = &dispatch->ask;
	int64_t took = base_clock_mono() - dispatch->tried_at;

	node_metrics_count(node, NODE_COUNT_TRY_UNDECIDED);
	if (outcome->kind == dispatch->logged_kind && took < FRONT_TRY_LOG_MIN)
		return;
	dispatch->logged_kind = outcome->kind;
	node_log(node, BASE_MSG_JOB_TRY,
		 BASE_F_STR("ask", op_names[ask->job_op]),
		 BASE_F_STR("id", ask->id),
		 BASE_F_STR("token", ask->token ? ask->token : ""),
		 BASE_F_INT("try", ask->try_number),
		 BASE_F_STR("peer", dispatch->hop ? dispatch->hop : ""),
		 BASE_F_BOOL("through_relay", dispatch->through_relay),
		 BASE_F_BOOL("for_peer", ask->relayed),
		 BASE_F_INT("term", ask->term),
		 BASE_F_STR("outcome", outcome->kind == NODE_OUT_UNKNOWN
					       ? "unknown"
					       : "not done"),
		 BASE_F_STR("why", outcome->why ? outcome->why : ""),
		 BASE_F_INT("took_us", took));
}

/* A try may have been carried out, or may be when it is read. */
static void record_lost_try(dispatch_t *dispatch)
{
	dispatch->may_be_done = true;
	if (!dispatch->hop)
		return;
	dispatch->lost = talloc_realloc(dispatch, dispatch->lost, char *,
					dispatch->n_lost + 1);
	dispatch->lost[dispatch->n_lost++] =
		talloc_strdup(dispatch->lost, dispatch->hop);
	dispatch->lost_without_term |= !dispatch->ask.term;
}

/* Whether an earlier try might still be accepted in spite of a refusal: it, or
 * the refusal, came by an entry of a version that ignores tokens, or it can
 * reach a later holder. */
static bool may_still_be_accepted(const dispatch_t *dispatch,
				  const node_outcome_t *refusal)
{
	size_t i;

	if (!dispatch->n_lost)
		return false;
	if (!refusal->is_binding || dispatch->lost_without_term)
		return true;
	for (i = 0; i < dispatch->n_lost; i++)
		if (!node_peer_keeps_tokens(dispatch->node, dispatch->lost[i]))
			return true;
	return false;
}

static void finish_refused(dispatch_t *dispatch, const node_outcome_t *outcome)
{
	static const node_outcome_t unknown = {
		.kind = NODE_OUT_UNKNOWN,
		.why = "an earlier try may be accepted"
	};

	if (is_change(dispatch) && may_still_be_accepted(dispatch, outcome)) {
		node_metrics_count(dispatch->node, NODE_COUNT_REFUSAL_UNSURE);
		outcome = &unknown;
	}
	finish_dispatch(dispatch, outcome);
}

static void try_done(void *arg, const node_outcome_t *outcome)
{
	dispatch_t *dispatch = arg;

	dispatch->is_trying = false;
	if (outcome->kind == NODE_OUT_UNKNOWN ||
	    outcome->kind == NODE_OUT_NOT_HOLDER)
		log_try(dispatch, outcome);
	if (dispatch->is_answered) {
		talloc_free(dispatch);
		return;
	}
	switch (outcome->kind) {
	case NODE_OUT_UNKNOWN:
		/* A retry is safe: each job id is accepted only once. */
		if (is_change(dispatch))
			record_lost_try(dispatch);
		retry_or_fail(dispatch);
		break;
	case NODE_OUT_NOT_HOLDER:
		dispatch->peer_term = outcome->term;
		retry_or_fail(dispatch);
		break;
	case NODE_OUT_REFUSED:
	case NODE_OUT_LIMITED:
	case NODE_OUT_UNAUTHORIZED:
	case NODE_OUT_NOT_FOUND:
		finish_refused(dispatch, outcome);
		break;
	default:
		finish_dispatch(dispatch, outcome);
		break;
	}
}

/* Returns the holder's address, or that of another entry if the holder cannot
 * be reached.  NULL: there is none. */
static const char *next_hop(dispatch_t *dispatch, int64_t now)
{
	node_t *node = dispatch->node;
	const char *self = node->settings->peers_at;
	bool is_reachable = node->known_holder.address &&
			    strcmp(node->known_holder.address, self) &&
			    now >= node->known_holder.suspect_until;

	const char *relay;

	if (is_reachable)
		return node->known_holder.address;
	if (dispatch->ask.relayed)
		return NULL;
	relay = node_peer_find_relay(node);
	if (relay)
		return relay;
	if (node->members->len)
		return g_ptr_array_index(
			node->members,
			base_rng_below(&node->rng, node->members->len));
	return NULL;
}

static void try_once(dispatch_t *dispatch)
{
	node_t *node = dispatch->node;
	node_outcome_t unknown = { .kind = NODE_OUT_UNKNOWN,
				   .why = "being stored" };
	node_outcome_t other_term = { .kind = NODE_OUT_NOT_HOLDER,
				      .why = "another term" };
	const char *address;

	dispatch->is_trying = true;
	dispatch->tried_at = base_clock_mono();
	dispatch->ask.try_number =
		dispatch->first_try_number + dispatch->n_tries++;
	dispatch->ask.term = dispatch->relayed_term ? dispatch->relayed_term
						    : MAX(node->highest_term,
							  dispatch->peer_term);
	dispatch->through_relay = false;
	TALLOC_FREE(dispatch->hop);
	if (node->holder &&
	    node_holder_job_uncertain(node->holder, dispatch->ask.id)) {
		try_done(dispatch, &unknown);
		return;
	}
	if (dispatch->relayed_term &&
	    dispatch->relayed_term < node->highest_term) {
		try_done(dispatch, &other_term);
		return;
	}
	if (node->holder && node_holder_may_decide(node->holder)) {
		node_holder_handle_request(node->holder, &dispatch->ask,
					   try_done, dispatch);
		return;
	}
	address = next_hop(dispatch, base_clock_mono());
	if (address) {
		dispatch->hop = talloc_strdup(dispatch, address);
		dispatch->through_relay =
			g_strcmp0(address, node->known_holder.address) != 0;
		node_peer_forward(node, address, &dispatch->ask, try_done,
				  dispatch);
		return;
	}
	dispatch->is_trying = false;
	dispatch->n_tries--;
	retry_or_fail(dispatch);
}

static void try_again(void *arg)
{
	try_once(arg);
}

void node_dispatch(node_t *node, const node_job_request_t *ask,
		   node_outcome_done_t *done, void *arg)
{
	dispatch_t *dispatch = talloc_zero(node, dispatch_t);
	int64_t now = base_clock_mono();
	int64_t time_left;

	dispatch->node = node;
	dispatch->ask = *ask;
	dispatch->ask.queue = talloc_strdup(dispatch, ask->queue);
	dispatch->ask.id = talloc_strdup(dispatch, ask->id);
	dispatch->ask.workspace = talloc_strdup(dispatch, ask->workspace);
	dispatch->ask.key_digest = talloc_strdup(dispatch, ask->key_digest);
	dispatch->ask.body.ptr =
		talloc_memdup(dispatch, ask->body.ptr, ask->body.len);
	dispatch->ask.token =
		ask->relayed ? talloc_strdup(dispatch, ask->token)
			     : talloc_asprintf(
				       dispatch, "%s.%llu", node->token_prefix,
				       (unsigned long long)++node->n_requests);
	dispatch->relayed_term = ask->relayed ? ask->term : 0;
	dispatch->first_try_number = ask->relayed ? ask->try_number : 1;
	dispatch->logged_kind = NODE_OUT_MAX;
	dispatch->done = done;
	dispatch->arg = arg;
	dispatch->timer =
		net_timer_new(dispatch, node->loop, try_again, dispatch);
	dispatch->deadline_timer =
		net_timer_new(dispatch, node->loop, deadline_reached, dispatch);
	time_left = ask->deadline - now;
	net_timer_start(dispatch->deadline_timer,
			time_left - MIN(FRONT_MARGIN,
					time_left / FRONT_MARGIN_DIVISOR));
	dispatch->search_until =
		now + (ask->relayed ? FRONT_SEARCH_TIMEOUT_RELAYED
				    : FRONT_SEARCH_TIMEOUT);
	g_hash_table_add(node->open_requests, dispatch);
	try_once(dispatch);
}

void node_dispatch_answer_all(node_t *node)
{
	GList *dispatches = g_hash_table_get_keys(node->open_requests);
	GList *link;

	for (link = dispatches; link; link = link->next)
		deadline_reached(link->data);
	g_list_free(dispatches);
}

static void reply(front_t *front, int status, const char *body,
		  int64_t retry_after, const char *why)
{
	node_t *node = front->node;
	int64_t took = base_clock_mono() - front->began_at;
	char seconds[24];
	net_header_t header = { "Retry-After", seconds };

	g_snprintf(seconds, sizeof(seconds), "%lld",
		   (long long)((retry_after + BASE_SEC - 1) / BASE_SEC));
	node_metrics_add_time(
		node, (node_time_t)(NODE_TIME_SUBMIT + front->ask), took);
	if (front->ask == NODE_OP_SUBMIT || front->ask == NODE_OP_CANCEL ||
	    status >= 500)
		node_log(node, BASE_MSG_JOB_REQUEST,
			 BASE_F_STR("ask",
				    front->ask == NODE_OP_SUBMIT   ? "submit"
				    : front->ask == NODE_OP_CANCEL ? "cancel"
								   : "state"),
			 BASE_F_STR("id", front->id),
			 BASE_F_STR("queue", front->queue),
			 BASE_F_INT("status", status),
			 BASE_F_STR("why", why ? why : ""),
			 BASE_F_INT("config", node->config.version),
			 BASE_F_INT("term", node->known_holder.term),
			 BASE_F_INT("took_us", took));
	net_reply(front->exchange, status, &header, retry_after ? 1 : 0,
		  base_str(body));
	talloc_free(front);
}

static void count_submit(node_t *node, node_outcome_kind_t kind)
{
	if (kind == NODE_OUT_ACCEPTED)
		node_metrics_count(node, NODE_COUNT_SUBMIT_ACCEPTED);
	else if (kind == NODE_OUT_UNKNOWN)
		node_metrics_count(node, NODE_COUNT_SUBMIT_UNKNOWN);
	else
		node_metrics_count(node, NODE_COUNT_SUBMIT_REFUSED);
}

static void reply_outcome(void *arg, const node_outcome_t *outcome)
{
	front_t *front = arg;
	node_t *node = front->node;

	if (front->ask == NODE_OP_SUBMIT)
		count_submit(node, outcome->kind);
	switch (outcome->kind) {
	case NODE_OUT_ACCEPTED:
		reply(front, 200, NULL, 0, outcome->why);
		break;
	case NODE_OUT_STATE:
		reply(front, 200,
		      node->platform->state_print(front, outcome->state), 0,
		      NULL);
		break;
	case NODE_OUT_PENDING:
		reply(front, 200,
		      node->platform->pending_print(front, outcome->pending), 0,
		      NULL);
		break;
	case NODE_OUT_NOT_FOUND:
		reply(front, 410, NULL, 0, "no such job");
		break;
	case NODE_OUT_LIMITED:
		reply(front, 429, NULL, outcome->retry_after, outcome->why);
		break;
	case NODE_OUT_UNAUTHORIZED:
		reply(front, 401, NULL, 0, outcome->why);
		break;
	case NODE_OUT_INVALID:
		reply(front, 400, NULL, 0, outcome->why);
		break;
	case NODE_OUT_UNKNOWN:
		reply(front, 504, NULL, 0, outcome->why);
		break;
	default:
		reply(front, 503, NULL,
		      outcome->retry_after ? outcome->retry_after
					   : FRONT_RETRY_AFTER,
		      outcome->why);
		break;
	}
}

void node_front_serve(void *arg, net_exchange_t *exchange)
{
	node_t *node = arg;
	front_t *front = talloc_zero(node, front_t);
	const node_route_t *route;
	node_request_t request;
	node_job_request_t ask = { 0 };
	node_key_verdict_t verdict;

	front->node = node;
	front->exchange = exchange;
	front->began_at = base_clock_mono();
	if (!node->config.version) {
		front->id = talloc_strdup(front, "");
		front->queue = front->id;
		reply(front, 503, NULL, FRONT_RETRY_AFTER,
		      "no configuration yet");
		return;
	}
	if (!node->platform->request_read(front, exchange, &request))
		request.job_op = NODE_OP_MAX;
	route = node_route_find(node, request.host, request.path);
	front->ask = request.job_op;
	front->id = base_str_dup(front, request.id);
	front->queue =
		base_str_dup(front, route ? route->queue.name : BASE_STR(""));
	if (!route || request.job_op == NODE_OP_MAX) {
		reply(front, 404, NULL, 0,
		      route ? "the path names no job" : "no such queue");
		return;
	}
	ask.job_op = request.job_op;
	ask.queue = front->queue;
	ask.id = front->id;
	ask.body = request.body;
	ask.deadline = front->began_at + request.caller_timeout;
	verdict = node_access_judge(node, route, request.key, &ask);
	if (verdict == NODE_KEY_STALE) {
		reply(front, 503, NULL, FRONT_RETRY_AFTER,
		      node_key_verdict_name(verdict));
		return;
	}
	if (verdict == NODE_KEY_MISSING || verdict == NODE_KEY_UNKNOWN) {
		reply(front, 401, NULL, 0, node_key_verdict_name(verdict));
		return;
	}
	if (ask.job_op == NODE_OP_CANCEL)
		node_metrics_count(node, NODE_COUNT_CANCEL);
	else if (ask.job_op != NODE_OP_SUBMIT)
		node_metrics_count(node, NODE_COUNT_STATE);
	node_dispatch(node, &ask, reply_outcome, front);
}
