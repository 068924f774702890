/*
 * Calls to the store: each is counted by its purpose and timed from the call to
 * its answer.  A watch is only counted, since it waits for a change.
 */
#include "node_int.h"

typedef struct store_call {
	node_t *node;
	node_time_t purpose;
	int64_t started_at;
	node_answered_t *done;
	void *arg;
} store_call_t;

static void answered(void *arg, const node_answer_t *answer)
{
	store_call_t *call = arg;

	/* The callback may free the store, which owns the call. */
	talloc_steal(NULL, call);
	node_metrics_add_time(call->node, call->purpose,
			      base_clock_mono() - call->started_at);
	call->done(call->arg, answer);
	talloc_free(call);
}

static store_call_t *begin_call(node_t *node, node_store_t *store,
				node_count_t count, node_time_t purpose,
				node_answered_t *done, void *arg)
{
	store_call_t *call = talloc(store, store_call_t);

	*call = (store_call_t){ .node = node,
				.purpose = purpose,
				.started_at = base_clock_mono(),
				.done = done,
				.arg = arg };
	node_metrics_count(node, count);
	return call;
}

void node_store_get(node_t *node, node_store_t *store, const char *key,
		    node_answered_t *done, void *arg)
{
	node->platform->get(store, key, answered,
			    begin_call(node, store, NODE_COUNT_STORE_READ,
				       NODE_TIME_STORE_READ, done, arg));
}

void node_store_list(node_t *node, node_store_t *store,
		     const node_range_t *range, node_answered_t *done,
		     void *arg)
{
	node->platform->list(store, range->prefix, range->after,
			     range->accepts_stale, answered,
			     begin_call(node, store, NODE_COUNT_STORE_READ,
					NODE_TIME_STORE_READ, done, arg));
}

void node_store_watch(node_t *node, const char *prefix, int64_t after,
		      int64_t wait, node_answered_t *done)
{
	node_metrics_count(node, NODE_COUNT_STORE_WATCH);
	node->platform->watch(node->store, prefix, after, wait, done, node);
}

void node_store_change(node_t *node, node_store_t *store,
		       const node_change_t *change, node_answered_t *done,
		       void *arg)
{
	node->platform->change(store, change, answered,
			       begin_call(node, store, NODE_COUNT_STORE_CHANGE,
					  NODE_TIME_STORE_CHANGE, done, arg));
}

void node_store_lease(node_t *node, int64_t ttl, node_answered_t *done)
{
	node->platform->lease(node->store, ttl, answered,
			      begin_call(node, node->store,
					 NODE_COUNT_STORE_LEASE,
					 NODE_TIME_STORE_LEASE, done, node));
}

void node_store_renew(node_t *node, node_store_t *store,
		      const node_renewal_t *renewal, node_answered_t *done,
		      void *arg)
{
	node->platform->renew(store, renewal->lease, renewal->timeout, answered,
			      begin_call(node, store, NODE_COUNT_STORE_LEASE,
					 NODE_TIME_STORE_LEASE, done, arg));
}

void node_store_release(node_t *node, int64_t lease, node_answered_t *done,
			void *arg)
{
	node->platform->release(node->store, lease, answered,
				begin_call(node, node->store,
					   NODE_COUNT_STORE_LEASE,
					   NODE_TIME_STORE_LEASE, done, arg));
}
