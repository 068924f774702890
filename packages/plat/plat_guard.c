#include "plat_int.h"

typedef struct limited_store {
	plat_store_t store; /* the rate-limited client */
	plat_guard_t *guard;
	plat_purpose_t purpose;
	plat_store_t *inner; /* performs the calls */
	double tokens;	     /* calls left in the token bucket */
	int64_t refilled_at;
	plat_calls_t calls;
} limited_store_t;

struct plat_guard {
	pthread_mutex_t lock; /* guards circuit, tokens and calls */
	plat_circuit_t circuit;
	double calls_s[PLAT_PURPOSE_MAX];
	limited_store_t stores[PLAT_PURPOSE_MAX];
};

static bool guard_range(plat_store_t *store, const void *ctx, const char *key,
			bool prefix, plat_kvs_t *out, GError **err);
static bool guard_keys(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err);
static bool guard_changes(plat_store_t *store, const void *ctx, const char *key,
			  bool prefix, int64_t since, plat_kvs_t *out,
			  GError **err);
static plat_cas_t guard_cas(plat_store_t *store, const plat_put_t *put,
			    int64_t *revision, GError **err);
static int64_t guard_grant(plat_store_t *store, int64_t ttl_s, GError **err);
static bool guard_keep(plat_store_t *store, int64_t lease, GError **err);
static bool guard_revoke(plat_store_t *store, int64_t lease, GError **err);
static bool begin_call(limited_store_t *g, GError **err);
static void end_call(limited_store_t *g, GError *cause, GError **err);
static bool take_token(limited_store_t *g, int64_t now);
static int free_guard(plat_guard_t *guard);

static const plat_store_ops_t guard_ops = {
	.range = guard_range,
	.keys = guard_keys,
	.changes = guard_changes,
	.cas = guard_cas,
	.lease_grant = guard_grant,
	.lease_keep = guard_keep,
	.lease_revoke = guard_revoke,
};

static const char *const purpose_names[PLAT_PURPOSE_MAX] = {
	[PLAT_FOR_CONFIG] = "config",	[PLAT_FOR_FLEET] = "fleet",
	[PLAT_FOR_EPOCH] = "epoch",	[PLAT_FOR_DUTY] = "duty",
	[PLAT_FOR_MEMBERS] = "members", [PLAT_FOR_JOBS] = "jobs",
};

plat_guard_t *plat_guard_new(const void *ctx,
			     const plat_guard_options_t *options)
{
	plat_guard_t *guard = talloc_zero(ctx, plat_guard_t);

	pthread_mutex_init(&guard->lock, NULL);
	guard->circuit.rng.state = options->seed;
	for (int i = 0; i < PLAT_PURPOSE_MAX; i++) {
		limited_store_t *g = &guard->stores[i];

		guard->calls_s[i] = options->calls_s[i];
		g->store.ops = &guard_ops;
		g->guard = guard;
		g->purpose = (plat_purpose_t)i;
		g->tokens = MAX(options->calls_s[i], 1.0);
		g->inner = options->connect(guard, &options->address);
	}
	talloc_set_destructor(guard, free_guard);
	return guard;
}

plat_store_t *plat_guard_store(plat_guard_t *guard, plat_purpose_t purpose)
{
	return &guard->stores[purpose].store;
}

const char *plat_purpose_name(plat_purpose_t purpose)
{
	return purpose_names[purpose];
}

plat_calls_t plat_guard_calls(plat_guard_t *guard, plat_purpose_t purpose)
{
	plat_calls_t calls;

	pthread_mutex_lock(&guard->lock);
	calls = guard->stores[purpose].calls;
	pthread_mutex_unlock(&guard->lock);
	return calls;
}

static int free_guard(plat_guard_t *guard)
{
	pthread_mutex_destroy(&guard->lock);
	return 0;
}

static bool guard_range(plat_store_t *store, const void *ctx, const char *key,
			bool prefix, plat_kvs_t *out, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	bool done;

	if (!begin_call(g, err))
		return false;
	done = g->inner->ops->range(g->inner, ctx, key, prefix, out, &cause);
	end_call(g, cause, err);
	return done;
}

static bool guard_keys(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	bool done;

	if (!begin_call(g, err))
		return false;
	done = g->inner->ops->keys(g->inner, ctx, key, prefix, out, &cause);
	end_call(g, cause, err);
	return done;
}

static bool guard_changes(plat_store_t *store, const void *ctx, const char *key,
			  bool prefix, int64_t since, plat_kvs_t *out,
			  GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	bool done;

	if (!begin_call(g, err))
		return false;
	done = g->inner->ops->changes(g->inner, ctx, key, prefix, since, out,
				      &cause);
	end_call(g, cause, err);
	return done;
}

static plat_cas_t guard_cas(plat_store_t *store, const plat_put_t *put,
			    int64_t *revision, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	plat_cas_t done;

	if (!begin_call(g, err))
		return PLAT_CAS_FAILED;
	done = g->inner->ops->cas(g->inner, put, revision, &cause);
	end_call(g, cause, err);
	return done;
}

static int64_t guard_grant(plat_store_t *store, int64_t ttl_s, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	int64_t lease;

	if (!begin_call(g, err))
		return 0;
	lease = g->inner->ops->lease_grant(g->inner, ttl_s, &cause);
	end_call(g, cause, err);
	return lease;
}

static bool guard_keep(plat_store_t *store, int64_t lease, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	bool kept;

	if (!begin_call(g, err))
		return false;
	kept = g->inner->ops->lease_keep(g->inner, lease, &cause);
	end_call(g, cause, err);
	return kept;
}

static bool guard_revoke(plat_store_t *store, int64_t lease, GError **err)
{
	limited_store_t *g = (limited_store_t *)store;
	GError *cause = NULL;
	bool done;

	if (!begin_call(g, err))
		return false;
	done = g->inner->ops->lease_revoke(g->inner, lease, &cause);
	end_call(g, cause, err);
	return done;
}

static bool begin_call(limited_store_t *g, GError **err)
{
	int64_t now = base_clock_mono();
	bool allowed;

	pthread_mutex_lock(&g->guard->lock);
	allowed = take_token(g, now);
	if (allowed && !plat_circuit_allows(&g->guard->circuit, now)) {
		/* A call that the circuit breaker refuses uses up no token. */
		g->tokens += 1.0;
		allowed = false;
	}
	if (allowed)
		g->calls.made++;
	else
		g->calls.refused++;
	pthread_mutex_unlock(&g->guard->lock);
	if (!allowed)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE,
			    "rate limit or circuit refuses store call for %s",
			    purpose_names[g->purpose]);
	return allowed;
}

/*
 * Records the result of a call and passes "cause" on.  PLAT_ERROR_REJECTED
 * means that the store responded, so it does not count as a failure.
 */
static void end_call(limited_store_t *g, GError *cause, GError **err)
{
	bool answered = !cause ||
			g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_REJECTED);

	pthread_mutex_lock(&g->guard->lock);
	if (!answered)
		g->calls.failed++;
	plat_circuit_record(&g->guard->circuit, answered, base_clock_mono());
	pthread_mutex_unlock(&g->guard->lock);
	if (cause)
		g_propagate_error(err, cause);
}

static bool take_token(limited_store_t *g, int64_t now)
{
	double rate = g->guard->calls_s[g->purpose];
	double burst = rate < 1.0 ? 1.0 : rate;

	if (g->refilled_at)
		g->tokens += rate * (double)(now - g->refilled_at) /
			     (double)BASE_SEC;
	g->refilled_at = now;
	if (g->tokens > burst)
		g->tokens = burst;
	if (g->tokens < 1.0)
		return false;
	g->tokens -= 1.0;
	return true;
}
