#include "entry_claim.h"

/*
 * The claim service, and the run of a request that needs a claim.
 */

#define TICK_US (250 * BASE_MS)
#define RETRY_PAUSE_US (25 * BASE_MS)
/*
 * Longest time that a request waits to retry its claim.  A change of the list
 * of entries takes less.
 */
#define RETRY_MAX_US (5 * BASE_SEC)
/*
 * While the list of entries changes, most requests that need a claim wait to
 * retry it.  At most one in RETRY_THREAD_DIVISOR threads waits; the others keep
 * serving.
 */
#define RETRY_THREAD_DIVISOR 2
#define RETRY_AFTER_MS 1000

static bool claim_start(void *service, kern_t *kern, GError **err);
static void claim_stop(void *service);
static int free_claims(entry_claims_t *claims);
static void free_peer(void *peer);
static void tick(void *arg, int64_t now);
static void wake(void *arg, void *msg, int64_t now);
static bool take_claim(entry_claims_t *claims, entry_request_t *request,
		       claim_action_t *action);
static bool retry_claim(entry_claims_t *claims, entry_request_t *request,
			claim_action_t *action);
static void start_claim(entry_claims_t *claims, entry_request_t *request,
			uint64_t ticket, claim_action_t *action);
static claim_epoch_t *copy_epoch(entry_claims_t *claims, const void *ctx);
static bool check_ticket(entry_claims_t *claims, const entry_request_t *request,
			 uint64_t *epoch);
static void release_claim(entry_claims_t *claims, const claim_holder_t *holder,
			  const claim_action_t *action);
static entry_verdict_t make_verdict(entry_claims_t *claims,
				    entry_request_t *request,
				    const claim_action_t *action,
				    entry_message_t *answer);
static bool replay_answer(entry_request_t *request, base_str_t text,
			  entry_message_t *answer);
static void pack_answer(const entry_message_t *answer, base_buf_t *out);

const kern_service_ops_t entry_claim_ops = { claim_start, claim_stop };

entry_claims_t *entry_claims_new(entry_daemon_t *daemon)
{
	claim_table_opts_t opts = { .entry = daemon->settings->name,
				    .limits = claim_limits_default };
	entry_claims_t *claims = talloc_zero(daemon, entry_claims_t);

	opts.incarnation = g_ascii_strtoull(daemon->incarnation, NULL, 10);
	claims->daemon = daemon;
	claims->rng.state =
		opts.incarnation ^ (uint64_t)daemon->settings->peer.port << 48;
	claims->entry_digest =
		claim_entry_digest(base_str(opts.entry), opts.incarnation);
	claims->table = claim_table_new(claims, &opts);
	claims->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_peer);
	pthread_mutex_init(&claims->lock, NULL);
	talloc_set_destructor(claims, free_claims);
	return claims;
}

entry_verdict_t entry_claim_run(entry_daemon_t *daemon,
				entry_request_t *request,
				entry_message_t *answer)
{
	entry_claims_t *claims = daemon->claims;
	claim_action_t action = { .next = CLAIM_ACTION_REPORT,
				  .caller_outcome = CLAIM_OUTCOME_UNKNOWN,
				  .reason = CLAIM_REASON_STALE };
	entry_verdict_t verdict;
	uint64_t ticket = 0;

	request->claim = talloc_zero(request, struct entry_claim);
	if (!check_ticket(claims, request, &ticket))
		return make_verdict(claims, request, &action, answer);
	start_claim(claims, request, ticket, &action);
	if (!take_claim(claims, request, &action)) {
		release_claim(claims, &request->claim->holder, &action);
		return make_verdict(claims, request, &action, answer);
	}
	request->claim->is_held = true;
	verdict = entry_route_run(daemon->route, request, answer);
	if (verdict.outcome == ENTRY_NOT_RUN) {
		request->claim->is_held = false;
		claim_holder_cancel(&request->claim->holder, &action);
		release_claim(claims, &request->claim->holder, &action);
	}
	return verdict;
}

void entry_claim_record_answer(entry_daemon_t *daemon,
			       const entry_request_t *request,
			       const entry_message_t *answer)
{
	const struct entry_claim *claim = request->claim;
	const claim_request_t *claim_request;
	claim_member_t targets[2];
	claim_finish_t finish;
	base_buf_t *text;
	unsigned n;

	if (!claim || !claim->is_held)
		return;
	claim_request = &claim->holder.request;
	text = base_buf_new(NULL);
	finish = (claim_finish_t){ .id = claim_request->id,
				   .attempt = claim_request->attempt,
				   .fingerprint = claim_request->fingerprint,
				   .caller = claim_request->caller };
	if (answer->body->len <= CLAIM_ANSWER_MAX)
		pack_answer(answer, text);
	if (text->len && text->len <= CLAIM_ANSWER_MAX)
		finish.answer = base_buf_str(text);
	n = claim_holder_targets(&claim->holder, targets);
	for (unsigned i = 0; i < n; i++)
		entry_claim_end(daemon->claims, &targets[i], &finish, true);
	talloc_free(text);
}

bool entry_claim_may_write(const entry_request_t *request)
{
	return !request->claim ||
	       claim_holder_may_write(&request->claim->holder,
				      base_clock_mono());
}

void entry_claim_leave(entry_daemon_t *daemon)
{
	entry_claims_t *claims = daemon->claims;

	pthread_mutex_lock(&claims->lock);
	entry_claim_wake(claims);
	pthread_mutex_unlock(&claims->lock);
}

bool entry_claim_is_ready(entry_daemon_t *daemon)
{
	entry_claims_t *claims = daemon->claims;
	uint64_t incarnation = g_ascii_strtoull(daemon->incarnation, NULL, 10);
	const claim_epoch_t *epoch;
	bool listed;

	pthread_mutex_lock(&claims->lock);
	epoch = claim_table_epoch(claims->table);
	listed = epoch && !claims->copying &&
		 claim_list_find(&epoch->current_list, daemon->settings->name,
				 incarnation) >= 0;
	pthread_mutex_unlock(&claims->lock);
	return listed;
}

bool entry_claim_handed_over(const entry_daemon_t *daemon)
{
	return atomic_load(&daemon->claims->handed_over) != 0;
}

void entry_metrics_claim(entry_daemon_t *daemon, base_buf_t *out)
{
	entry_claims_t *claims = daemon->claims;
	claim_contact_t self;
	claim_stats_t stats;

	pthread_mutex_lock(&claims->lock);
	stats = claim_table_stats(claims->table, base_clock_mono());
	self = claim_table_hello(claims->table, base_clock_mono());
	base_buf_addf(out,
		      "cactusfield_claim_epoch %llu\n"
		      "cactusfield_claim_records %u\n"
		      "cactusfield_claim_bytes %zu\n"
		      "cactusfield_claim_slices %u\n"
		      "cactusfield_claim_slices_fenced %u\n"
		      "cactusfield_claim_granted_total %llu\n",
		      (unsigned long long)self.epoch, stats.records,
		      stats.bytes, stats.homed, stats.fenced,
		      (unsigned long long)claims->granted);
	for (int i = 0; i < CLAIM_REASON_MAX; i++)
		base_buf_addf(out,
			      "cactusfield_claim_told_total{reason=\"%s\"} "
			      "%llu\n",
			      claim_reason_name((claim_reason_t)i),
			      (unsigned long long)claims->reason_counts[i]);
	pthread_mutex_unlock(&claims->lock);
}

static bool claim_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	kern_thread_options_t options = { .name = "claim",
					  .period_us = TICK_US,
					  .ring_size = 2,
					  .arg = daemon->claims,
					  .tick = tick,
					  .message = wake };
	kern_thread_t *duty = kern_thread_start(NULL, &options, err);

	(void)kern;
	pthread_mutex_lock(&daemon->claims->lock);
	daemon->claims->duty = duty;
	pthread_mutex_unlock(&daemon->claims->lock);
	return duty != NULL;
}

static void claim_stop(void *service)
{
	entry_daemon_t *daemon = service;
	kern_thread_t *duty;

	/* The peer service stops later and may still wake the duty. */
	pthread_mutex_lock(&daemon->claims->lock);
	duty = daemon->claims->duty;
	daemon->claims->duty = NULL;
	pthread_mutex_unlock(&daemon->claims->lock);
	kern_thread_stop(duty);
	talloc_free(duty);
}

static int free_claims(entry_claims_t *claims)
{
	g_hash_table_destroy(claims->peers);
	g_free(claims->live_text);
	pthread_mutex_destroy(&claims->lock);
	return 0;
}

static void free_peer(void *p)
{
	entry_claim_peer_t *peer = p;

	g_free(peer->zone);
	g_free(peer);
}

static void tick(void *arg, int64_t now)
{
	entry_claim_epoch_tick(arg, now);
}

static void wake(void *arg, void *msg, int64_t now)
{
	(void)msg;
	entry_claim_epoch_tick(arg, now);
}

/*
 * Requests the claim at the home and the backup of its slice until it is
 * granted or refused.
 */
static bool take_claim(entry_claims_t *claims, entry_request_t *request,
		       claim_action_t *action)
{
	claim_holder_t *holder = &request->claim->holder;

	for (;;) {
		claim_reply_t reply;

		if (action->next == CLAIM_ACTION_RUN)
			return true;
		if (action->next == CLAIM_ACTION_REPORT) {
			if (!retry_claim(claims, request, action))
				return false;
			continue;
		}
		entry_claim_take(claims, request, &action->target,
				 &action->take, &reply);
		claim_holder_reply(holder, &reply, base_clock_mono(), action);
	}
}

/*
 * Requests the claim again at home and backup if that may succeed and the
 * request has time left.
 */
static bool retry_claim(entry_claims_t *claims, entry_request_t *request,
			claim_action_t *action)
{
	int max = claims->daemon->settings->caller.threads /
			  RETRY_THREAD_DIVISOR +
		  1;
	int64_t now = base_clock_mono();
	bool room;

	if (!action->may_retry || now - request->arrived > RETRY_MAX_US ||
	    now + 2 * RETRY_PAUSE_US > request->deadline)
		return false;
	pthread_mutex_lock(&claims->lock);
	room = (int)claims->retry_waiters < max;
	claims->retry_waiters += room;
	pthread_mutex_unlock(&claims->lock);
	if (!room)
		return false;
	base_clock_sleep(RETRY_PAUSE_US);
	pthread_mutex_lock(&claims->lock);
	claims->retry_waiters--;
	pthread_mutex_unlock(&claims->lock);
	claim_holder_retry(&request->claim->holder, copy_epoch(claims, request),
			   base_clock_mono(), action);
	return true;
}

static void start_claim(entry_claims_t *claims, entry_request_t *request,
			uint64_t ticket, claim_action_t *action)
{
	base_str_t caller = base_str(request->caller);
	claim_request_t claim_request = {
		.id = claim_id(caller, base_str(request->key)),
		.attempt = { .entry = claims->entry_digest },
		.fingerprint = claim_fingerprint(
			base_str(request->method), base_str(request->target),
			base_buf_str(request->message.body)),
		.caller = claim_entry_digest(caller, 0),
		.ticket = ticket,
		.arrived = request->arrived,
	};

	pthread_mutex_lock(&claims->lock);
	claim_request.attempt.number = ++claims->last_attempt;
	pthread_mutex_unlock(&claims->lock);
	claim_holder_start(&request->claim->holder, &claim_request,
			   copy_epoch(claims, request), &claim_limits_default,
			   base_clock_mono(), action);
}

/* A copy of the adopted epoch below "ctx", or NULL if there is none. */
static claim_epoch_t *copy_epoch(entry_claims_t *claims, const void *ctx)
{
	const claim_epoch_t *epoch;
	claim_epoch_t *copy = NULL;

	pthread_mutex_lock(&claims->lock);
	epoch = claim_table_epoch(claims->table);
	if (epoch)
		copy = claim_epoch_dup(ctx, epoch);
	pthread_mutex_unlock(&claims->lock);
	return copy;
}

/*
 * Returns false if the key is a ticket that is too old.  "*epoch" is set only
 * if the key is a ticket.
 */
static bool check_ticket(entry_claims_t *claims, const entry_request_t *request,
			 uint64_t *epoch)
{
	base_str_t key = base_str(claims->daemon->settings->peer_key);
	claim_ticket_t ticket;

	if (!claim_ticket_parse(base_str(request->key), key, &ticket))
		return true;
	*epoch = ticket.epoch;
	return claim_ticket_usable(&ticket, base_clock_wall() / BASE_SEC,
				   claim_limits_default.window_us);
}

static void release_claim(entry_claims_t *claims, const claim_holder_t *holder,
			  const claim_action_t *action)
{
	claim_finish_t end = { .id = holder->request.id,
			       .attempt = holder->request.attempt };

	for (unsigned i = 0; i < action->release_count; i++)
		entry_claim_end(claims, &action->release[i], &end, false);
}

static entry_verdict_t make_verdict(entry_claims_t *claims,
				    entry_request_t *request,
				    const claim_action_t *action,
				    entry_message_t *answer)
{
	entry_verdict_t verdict = { ENTRY_UNKNOWN,
				    claim_reason_name(action->reason), 0 };

	pthread_mutex_lock(&claims->lock);
	claims->outcome_counts[action->caller_outcome]++;
	claims->reason_counts[action->reason]++;
	pthread_mutex_unlock(&claims->lock);
	if (action->caller_outcome == CLAIM_OUTCOME_NOT_RUN) {
		verdict.outcome = ENTRY_NOT_RUN;
		verdict.retry_after_ms = RETRY_AFTER_MS;
	} else if (action->caller_outcome == CLAIM_OUTCOME_REPLAY) {
		if (replay_answer(request, action->answer, answer))
			verdict.outcome = ENTRY_ANSWERED;
		else
			verdict.reason =
				claim_reason_name(CLAIM_REASON_NOT_KEPT);
	}
	return verdict;
}

/* Parse what pack_answer() wrote: status, headers, an empty line, the body. */
static bool replay_answer(entry_request_t *request, base_str_t text,
			  entry_message_t *answer)
{
	char *at = talloc_strndup(request, text.ptr, text.len);
	const char *end = at + text.len;
	char *line = strchr(at, '\n');

	if (!line)
		return false;
	*answer = (entry_message_t){ .status = atoi(at),
				     .body = base_buf_new(request) };
	answer->headers =
		talloc_zero_array(request, entry_header_t, text.len / 2 + 2);
	answer->headers[answer->header_count++] =
		(entry_header_t){ (char *)"X-Cactusfield-Replayed",
				  (char *)"yes" };
	for (at = line + 1; at < end && *at != '\n'; at = line + 1) {
		char *colon = strchr(at, ':');

		line = strchr(at, '\n');
		if (!line || !colon || colon > line)
			return false;
		*colon = '\0';
		*line = '\0';
		answer->headers[answer->header_count++] =
			(entry_header_t){ at, colon + 1 };
	}
	if (at >= end)
		return false;
	base_buf_add(answer->body, at + 1, (size_t)(end - at - 1));
	return true;
}

static void pack_answer(const entry_message_t *answer, base_buf_t *out)
{
	base_buf_addf(out, "%d\n", answer->status);
	for (size_t i = 0; i < answer->header_count; i++)
		base_buf_addf(out, "%s:%s\n", answer->headers[i].name,
			      answer->headers[i].value);
	base_buf_adds(out, "\n");
	base_buf_add(out, answer->body->ptr, answer->body->len);
}

int entry_claim_ticket_page(struct mg_connection *conn, entry_daemon_t *daemon)
{
	entry_claims_t *claims = daemon->claims;
	base_str_t key = base_str(daemon->settings->peer_key);
	claim_ticket_t ticket = { .issued = base_clock_wall() / BASE_SEC };
	entry_refusal_t refusal = { ENTRY_NOT_RUN, 503, "claim-epoch", 1,
				    false };
	char text[CLAIM_TICKET_SIZE];

	pthread_mutex_lock(&claims->lock);
	ticket.epoch = claim_table_hello(claims->table, 0).epoch;
	ticket.random = base_rng_next(&claims->rng);
	pthread_mutex_unlock(&claims->lock);
	if (!ticket.epoch) {
		entry_http_refuse(conn, "", &refusal);
		return refusal.status;
	}
	claim_ticket_print(&ticket, key, text);
	return entry_operators_answer(conn, 200, "text/plain", base_str(text));
}
