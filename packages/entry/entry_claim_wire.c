#include "entry_claim.h"
#include "peer_proto_xdr.h"

#define TAKE_TIMEOUT_US (900 * BASE_MS)
#define END_TIMEOUT_US BASE_SEC
#define PULL_TIMEOUT_US BASE_SEC
/* Pause after a call that was not answered. */
#define UNANSWERED_PAUSE_US (500 * BASE_MS)

static bool on_take(void *arg, const peer_sender_t *from, const void *args,
		    void *res);
static bool on_end(void *arg, const peer_sender_t *from, const void *args,
		   void *res);
static bool on_pull(void *arg, const peer_sender_t *from, const void *args,
		    void *res);
static bool unanswered_recently(entry_claims_t *claims, const char *id);
static bool is_self(const entry_claims_t *claims, const claim_member_t *target);
static void take_locally(entry_claims_t *claims, const void *ctx,
			 const claim_take_t *take, claim_reply_t *reply);
static void end_locally(entry_claims_t *claims, const claim_finish_t *finish,
			bool answered);
static void *copy_bytes(base_str_t bytes);
static base_str_t wire_bytes(u_int len, char *val);

void entry_claim_handle(entry_claims_t *claims, peer_t *peer)
{
	peer_set_handler(peer, PEER_CLAIM_TAKE, on_take, claims);
	peer_set_handler(peer, PEER_CLAIM_END, on_end, claims);
	peer_set_handler(peer, PEER_CLAIM_HELLO, entry_claim_on_hello, claims);
	peer_set_handler(peer, PEER_CLAIM_PULL, on_pull, claims);
}

void entry_claim_take(entry_claims_t *claims, const void *ctx,
		      const claim_member_t *target, const claim_take_t *take,
		      claim_reply_t *reply)
{
	peer_claim_take args = { .name = { take->id.hi, take->id.lo,
					   take->attempt.entry,
					   take->attempt.number,
					   take->fingerprint, take->caller },
				 .epoch = take->epoch,
				 .ticket = take->ticket,
				 .look = take->lookup_only };
	peer_dest_t to = { .zone = target->zone };
	peer_claim_verdict res = { 0 };
	bool answered;

	*reply = (claim_reply_t){ .verdict = CLAIM_LOST };
	if (is_self(claims, target)) {
		take_locally(claims, ctx, take, reply);
		return;
	}
	if (unanswered_recently(claims, target->id) ||
	    !entry_claim_find_address(claims, target->id, &to.addr))
		return;
	answered = peer_call(claims->daemon->memb->peer, &to, PEER_CLAIM_TAKE,
			     &args, &res, TAKE_TIMEOUT_US) == PEER_ANSWERED;
	entry_claim_note_call(claims, target->id, answered);
	if (!answered)
		return;
	if (res.verdict < CLAIM_VERDICT_MAX)
		reply->verdict = (claim_verdict_t)res.verdict;
	reply->fresh = res.fresh;
	reply->copy_pending = res.soon;
	reply->epoch = res.epoch;
	if (res.kept)
		reply->answer =
			(base_str_t){ talloc_memdup(ctx, res.answer.answer_val,
						    res.answer.answer_len),
				      res.answer.answer_len };
	peer_free_res(PEER_CLAIM_TAKE, &res);
}

void entry_claim_end(entry_claims_t *claims, const claim_member_t *target,
		     const claim_finish_t *finish, bool answered)
{
	peer_claim_end args = {
		.name = { finish->id.hi, finish->id.lo, finish->attempt.entry,
			  finish->attempt.number, finish->fingerprint,
			  finish->caller },
		.answered = answered,
		.kept = finish->answer.ptr != NULL,
		.answer = { (u_int)finish->answer.len,
			    (char *)finish->answer.ptr },
	};
	peer_dest_t to = { .zone = target->zone };
	peer_claim_done res = { 0 };

	if (is_self(claims, target))
		end_locally(claims, finish, answered);
	else if (!unanswered_recently(claims, target->id) &&
		 entry_claim_find_address(claims, target->id, &to.addr))
		entry_claim_note_call(claims, target->id,
				      peer_call(claims->daemon->memb->peer, &to,
						PEER_CLAIM_END, &args, &res,
						END_TIMEOUT_US) ==
					      PEER_ANSWERED);
}

void entry_claim_pull(entry_claims_t *claims, const claim_pull_t *pull)
{
	peer_claim_pull args = { pull->min_epoch, pull->cursor, pull->slice };
	peer_dest_t to = { .zone = pull->source.zone };
	claim_batch_t *batch = talloc_zero(NULL, claim_batch_t);
	peer_claim_batch res = { 0 };
	bool got;

	got = !unanswered_recently(claims, pull->source.id) &&
	      entry_claim_find_address(claims, pull->source.id, &to.addr) &&
	      peer_call(claims->daemon->memb->peer, &to, PEER_CLAIM_PULL, &args,
			&res, PULL_TIMEOUT_US) == PEER_ANSWERED;
	if (got && (res.copies.copies_val || !res.copies.copies_len)) {
		batch->ok = res.ok;
		batch->last = res.last;
		batch->cursor = res.cursor;
		batch->lost_epoch = res.lost;
		batch->complete_age = res.complete_age;
		batch->n = MIN(res.copies.copies_len, CLAIM_BATCH_MAX);
	}
	for (uint32_t i = 0; i < batch->n && res.copies.copies_val; i++) {
		const peer_claim_copy *from = &res.copies.copies_val[i];
		const peer_claim_name *name = &from->name;

		batch->copies[i] = (claim_copy_t){
			.id = { name->id_hi, name->id_lo },
			.attempt = { name->attempt_entry,
				     name->attempt_number },
			.fingerprint = name->print,
			.caller = name->caller,
			.age = from->age,
			.state = (int)from->state,
			.answer = wire_bytes(from->answer.answer_len,
					     from->answer.answer_val),
		};
	}
	pthread_mutex_lock(&claims->lock);
	claim_table_import(claims->table, pull, got ? batch : NULL,
			   base_clock_mono());
	pthread_mutex_unlock(&claims->lock);
	if (got)
		peer_free_res(PEER_CLAIM_PULL, &res);
	talloc_free(batch);
}

bool entry_claim_find_address(entry_claims_t *claims, const char *id,
			      peer_addr_t *addr)
{
	entry_memb_t *memb = claims->daemon->memb;
	const memb_record_t *rec;

	pthread_mutex_lock(&memb->lock);
	rec = memb_find(memb->core, id);
	if (rec)
		*addr = (peer_addr_t){ rec->addr.ip, rec->addr.port };
	pthread_mutex_unlock(&memb->lock);
	return rec != NULL;
}

static bool on_take(void *arg, const peer_sender_t *from, const void *args,
		    void *res)
{
	const peer_claim_take *wire = args;
	const peer_claim_name *name = &wire->name;
	entry_claims_t *claims = arg;
	peer_claim_verdict *out = res;
	claim_take_t take = {
		.id = { name->id_hi, name->id_lo },
		.attempt = { name->attempt_entry, name->attempt_number },
		.fingerprint = name->print,
		.caller = name->caller,
		.epoch = wire->epoch,
		.ticket = wire->ticket,
		.lookup_only = wire->look,
	};
	claim_reply_t reply;

	(void)from;
	pthread_mutex_lock(&claims->lock);
	claim_table_take(claims->table, &take, base_clock_mono(), &reply);
	out->verdict = reply.verdict;
	out->fresh = reply.fresh;
	out->soon = reply.copy_pending;
	out->epoch = reply.epoch;
	out->kept = reply.answer.ptr != NULL;
	out->answer.answer_len = (u_int)reply.answer.len;
	out->answer.answer_val = copy_bytes(reply.answer);
	pthread_mutex_unlock(&claims->lock);
	return true;
}

static bool on_end(void *arg, const peer_sender_t *from, const void *args,
		   void *res)
{
	const peer_claim_end *wire = args;
	const peer_claim_name *name = &wire->name;
	claim_finish_t finish = {
		.id = { name->id_hi, name->id_lo },
		.attempt = { name->attempt_entry, name->attempt_number },
		.fingerprint = name->print,
		.caller = name->caller,
	};

	(void)from;
	(void)res;
	if (wire->kept)
		finish.answer = (base_str_t){ wire->answer.answer_val
						      ? wire->answer.answer_val
						      : "",
					      wire->answer.answer_len };
	end_locally(arg, &finish, wire->answered);
	return true;
}

static bool on_pull(void *arg, const peer_sender_t *from, const void *args,
		    void *res)
{
	const peer_claim_pull *wire = args;
	entry_claims_t *claims = arg;
	peer_claim_batch *out = res;
	claim_batch_t *batch = talloc(NULL, claim_batch_t);
	claim_pull_t pull = { .min_epoch = wire->epoch,
			      .cursor = wire->cursor,
			      .slice = wire->slice };

	(void)from;
	pthread_mutex_lock(&claims->lock);
	claim_table_export(claims->table, &pull, base_clock_mono(), batch);
	out->ok = batch->ok;
	out->last = batch->last;
	out->cursor = batch->cursor;
	out->lost = batch->lost_epoch;
	out->complete_age = batch->complete_age;
	out->copies.copies_len = batch->n;
	out->copies.copies_val = calloc(batch->n, sizeof(peer_claim_copy));
	for (uint32_t i = 0; i < batch->n; i++) {
		const claim_copy_t *copy = &batch->copies[i];
		peer_claim_copy *to = &out->copies.copies_val[i];

		to->name = (peer_claim_name){
			copy->id.hi,	     copy->id.lo,
			copy->attempt.entry, copy->attempt.number,
			copy->fingerprint,   copy->caller
		};
		to->age = copy->age;
		to->state = (u_int)copy->state;
		to->answer.answer_len = (u_int)copy->answer.len;
		to->answer.answer_val = copy_bytes(copy->answer);
	}
	pthread_mutex_unlock(&claims->lock);
	talloc_free(batch);
	return true;
}

/*
 * Whether a call to entry "id" failed so recently that no new one is made.  A
 * call that is not made counts as lost, which is always safe.  Otherwise a
 * paused entry would block one thread for each request that calls it.
 */
static bool unanswered_recently(entry_claims_t *claims, const char *id)
{
	const entry_claim_peer_t *peer;
	int64_t now = base_clock_mono();
	bool unanswered;

	pthread_mutex_lock(&claims->lock);
	peer = g_hash_table_lookup(claims->peers, id);
	unanswered = peer && peer->unanswered_call_at &&
		     now - peer->unanswered_call_at < UNANSWERED_PAUSE_US;
	pthread_mutex_unlock(&claims->lock);
	return unanswered;
}

void entry_claim_note_call(entry_claims_t *claims, const char *id,
			   bool answered)
{
	entry_claim_peer_t *peer;

	pthread_mutex_lock(&claims->lock);
	peer = g_hash_table_lookup(claims->peers, id);
	if (peer)
		peer->unanswered_call_at = answered ? 0 : base_clock_mono();
	pthread_mutex_unlock(&claims->lock);
}

static bool is_self(const entry_claims_t *claims, const claim_member_t *target)
{
	return !strcmp(target->id, claims->daemon->settings->name);
}

static void take_locally(entry_claims_t *claims, const void *ctx,
			 const claim_take_t *take, claim_reply_t *reply)
{
	pthread_mutex_lock(&claims->lock);
	claim_table_take(claims->table, take, base_clock_mono(), reply);
	if (reply->answer.ptr)
		reply->answer.ptr = talloc_memdup(ctx, reply->answer.ptr,
						  reply->answer.len);
	pthread_mutex_unlock(&claims->lock);
}

static void end_locally(entry_claims_t *claims, const claim_finish_t *finish,
			bool answered)
{
	int64_t now = base_clock_mono();

	pthread_mutex_lock(&claims->lock);
	if (answered)
		claim_table_finish(claims->table, finish, now);
	else
		claim_table_release(claims->table, finish->id, finish->attempt,
				    now);
	pthread_mutex_unlock(&claims->lock);
}

static void *copy_bytes(base_str_t bytes)
{
	char *copy = malloc(bytes.len + 1);

	if (copy && bytes.ptr)
		memcpy(copy, bytes.ptr, bytes.len);
	return copy;
}

static base_str_t wire_bytes(u_int len, char *val)
{
	return (base_str_t){ len ? val : NULL, len };
}
