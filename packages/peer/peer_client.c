#include "peer_int.h"

#define TRIES_MAX 3 /* tries of one call, each after a refusal */

/* The result of one try of a call. */
typedef enum try_status {
	TRY_ANSWERED,
	TRY_RETRY, /* refused before it ran; the life was corrected */
	TRY_NOT_RUN,
	TRY_UNKNOWN,
	TRY_STATUS_MAX
} try_status_t;

typedef struct call {
	const peer_dest_t *to;
	peer_proc_t proc;
	const void *args;
	void *res;
	int64_t timeout_us;
	uint64_t to_life; /* life of the receiver; 0: the latest known */
	peer_call_head head;
} call_t;

static const peer_outcome_t outcomes[TRY_STATUS_MAX] = {
	[TRY_ANSWERED] = PEER_ANSWERED,
	[TRY_RETRY] = PEER_NOT_RUN,
	[TRY_NOT_RUN] = PEER_NOT_RUN,
	[TRY_UNKNOWN] = PEER_UNKNOWN,
};

static bool send_datagram(peer_t *peer, call_t *call);
static try_status_t try_call(peer_t *peer, call_t *call);
static try_status_t exchange(peer_t *peer, call_t *call, CLIENT *client,
			     peer_sealed *sealed);
static try_status_t read_reply(peer_t *peer, call_t *call, peer_sealed *sealed);
static try_status_t read_result(call_t *call, XDR *xdrs,
				const peer_sealed *sealed);
static bool reply_matches(const peer_t *peer, const call_t *call,
			  const peer_reply_head *head);
static bool seal_call(peer_t *peer, call_t *call, peer_sealed *sealed);
static void count_out(peer_t *peer, const call_t *call,
		      const peer_sealed *sealed);

peer_outcome_t peer_call(peer_t *peer, const peer_dest_t *to, peer_proc_t proc,
			 const void *args, void *res, int64_t timeout_us)
{
	int64_t deadline_us = base_clock_mono() + timeout_us;
	call_t call = { .to = to, .proc = proc, .args = args, .res = res };
	try_status_t status = TRY_NOT_RUN;

	memset(res, 0, peer_procs[proc].res_size);
	for (int i = 0; i < TRIES_MAX; i++) {
		call.timeout_us = deadline_us - base_clock_mono();
		if (call.timeout_us <= 0)
			break;
		status = try_call(peer, &call);
		if (status != TRY_RETRY)
			break;
	}
	return outcomes[status];
}

void peer_free_res(peer_proc_t proc, void *res)
{
	if (peer_procs[proc].xdr_res)
		xdr_free(peer_procs[proc].xdr_res, res);
}

bool peer_send(peer_t *peer, const peer_dest_t *to, peer_proc_t proc,
	       const void *args)
{
	call_t call = { .to = to, .proc = proc, .args = args };

	return send_datagram(peer, &call);
}

void peer_send_life(peer_t *peer, const peer_call_head *head,
		    uint64_t seen_life)
{
	peer_dest_t to = { .addr = { head->from_addr.ip,
				     (uint16_t)head->from_addr.port },
			   .zone = head->zone };
	peer_life life = { .life = peer->life, .seen_life = seen_life };
	call_t call = { .to = &to,
			.proc = PEER_LIFE,
			.args = &life,
			.to_life = head->from_life };

	send_datagram(peer, &call);
}

void peer_raise_life(peer_t *peer, uint64_t latest)
{
	uint64_t life = peer->life;

	while (life <= latest &&
	       !atomic_compare_exchange_weak(&peer->life, &life, latest + 1))
		continue;
}

static bool send_datagram(peer_t *peer, call_t *call)
{
	peer_sealed sealed;
	bool sent;

	if (peer_blocklist_contains(peer->blocklist, call->to->zone)) {
		peer_count(peer, PEER_BLOCKED, 1);
		return false;
	}
	if (!seal_call(peer, call, &sealed))
		return false;
	sent = peer_pool_send(peer->pool, call->to->addr, &sealed);
	count_out(peer, call, &sealed);
	peer_sealed_free(&sealed);
	return sent;
}

static try_status_t try_call(peer_t *peer, call_t *call)
{
	peer_sealed sealed;
	try_status_t status;
	CLIENT *client;

	if (peer_blocklist_contains(peer->blocklist, call->to->zone)) {
		peer_count(peer, PEER_BLOCKED, 1);
		return TRY_NOT_RUN;
	}
	client = peer_pool_take(peer->pool, call->to->addr, call->timeout_us);
	if (!client)
		return TRY_NOT_RUN;
	if (!seal_call(peer, call, &sealed)) {
		peer_pool_give(peer->pool, call->to->addr, client, true);
		return TRY_NOT_RUN;
	}
	status = exchange(peer, call, client, &sealed);
	peer_sealed_free(&sealed);
	peer_pool_give(peer->pool, call->to->addr, client,
		       status != TRY_UNKNOWN);
	return status;
}

static try_status_t exchange(peer_t *peer, call_t *call, CLIENT *client,
			     peer_sealed *sealed)
{
	struct timeval timeout = { call->timeout_us / BASE_SEC,
				   call->timeout_us % BASE_SEC };
	peer_sealed reply = { 0 };
	try_status_t status = TRY_UNKNOWN;
	enum clnt_stat stat;

	stat = clnt_call(client, PEER_RPC_SEALED, (xdrproc_t)xdr_peer_sealed,
			 (char *)sealed, (xdrproc_t)xdr_peer_sealed,
			 (char *)&reply, timeout);
	count_out(peer, call, sealed);
	/* RPC errors carry no MAC and may be forged: TRY_UNKNOWN. */
	if (stat == RPC_SUCCESS)
		status = read_reply(peer, call, &reply);
	xdr_free((xdrproc_t)xdr_peer_sealed, (char *)&reply);
	return status;
}

static try_status_t read_reply(peer_t *peer, call_t *call, peer_sealed *sealed)
{
	peer_reply_head head;
	try_status_t status = TRY_UNKNOWN;
	XDR xdrs;

	if (!peer_seal_check(peer, sealed)) {
		peer_count(peer, PEER_REFUSED_MAC, 1);
		return TRY_UNKNOWN;
	}
	peer_count(peer, PEER_BYTES_IN, PEER_MAC_LEN + sealed->body.body_len);
	peer_count_flow(peer, call->proc, PEER_IN, sealed);
	peer_decode_begin(&xdrs, sealed);
	if (!xdr_peer_reply_head(&xdrs, &head) ||
	    !reply_matches(peer, call, &head))
		return TRY_UNKNOWN;
	peer_lives_set(peer->lives, call->to->addr, head.life);
	switch (head.status) {
	case PEER_WIRE_DONE:
		status = read_result(call, &xdrs, sealed);
		break;
	case PEER_WIRE_LIFE:
		status = TRY_RETRY;
		break;
	case PEER_WIRE_STALE:
		peer_raise_life(peer, head.from_life);
		status = TRY_RETRY;
		break;
	case PEER_WIRE_REPLAY:
		/* A replayed copy of the call may have arrived first and have
		 * run. */
		status = TRY_UNKNOWN;
		break;
	case PEER_WIRE_REFUSED:
		status = TRY_NOT_RUN;
		break;
	}
	xdr_destroy(&xdrs);
	return status;
}

static try_status_t read_result(call_t *call, XDR *xdrs,
				const peer_sealed *sealed)
{
	const peer_proc_info_t *info = &peer_procs[call->proc];

	if (info->xdr_res(xdrs, call->res) && peer_decode_done(xdrs, sealed))
		return TRY_ANSWERED;
	xdr_free(info->xdr_res, call->res);
	memset(call->res, 0, info->res_size);
	return TRY_UNKNOWN;
}

static bool reply_matches(const peer_t *peer, const call_t *call,
			  const peer_reply_head *head)
{
	return head->magic == PEER_REPLY_MAGIC && head->seq == call->head.seq &&
	       peer_wire_addr_eq(&head->from_addr, peer->addr) &&
	       (head->status == PEER_WIRE_STALE ||
		head->from_life == call->head.from_life);
}

static bool seal_call(peer_t *peer, call_t *call, peer_sealed *sealed)
{
	const peer_proc_info_t *info = &peer_procs[call->proc];
	peer_call_head *head = &call->head;

	*head = (peer_call_head){ .proc = call->proc,
				  .from = peer->id,
				  .zone = peer->zone,
				  .from_life = peer->life };
	peer_wire_addr_set(&head->from_addr, peer->addr);
	peer_wire_addr_set(&head->to_addr, call->to->addr);
	head->to_life =
		peer_lives_next(peer->lives, call->to->addr, &head->seq);
	if (call->to_life)
		head->to_life = call->to_life;
	return peer_seal(peer, sealed, (xdrproc_t)xdr_peer_call_head, head,
			 info->xdr_args, (void *)call->args);
}

static void count_out(peer_t *peer, const call_t *call,
		      const peer_sealed *sealed)
{
	peer_count(peer, PEER_CALLS_OUT, 1);
	peer_count(peer, PEER_BYTES_OUT, PEER_MAC_LEN + sealed->body.body_len);
	peer_count_flow(peer, call->proc, PEER_OUT, sealed);
}
