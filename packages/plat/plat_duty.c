#include "plat_int.h"

#define DUTY_PREFIX "/cactusfield/duty/"

struct plat_duty {
	plat_store_t *store;
	char *key;
	char *holder;
	int64_t ttl_s;
	int64_t lease;	    /* lease id; 0: none */
	int64_t token;	    /* fencing token: create_revision; 0: not held */
	int64_t held_until; /* monotonic; the lease expires later */
};

static bool renew(plat_duty_t *duty, int64_t now);
static bool acquire(plat_duty_t *duty, int64_t now);
static bool is_unheld(plat_duty_t *duty);
static void clear_lease(plat_duty_t *duty);

plat_duty_t *plat_duty_new(const void *ctx, const plat_duty_options_t *options)
{
	plat_duty_t *duty = talloc_zero(ctx, plat_duty_t);

	duty->store = options->store;
	duty->key = talloc_asprintf(duty, DUTY_PREFIX "%s", options->name);
	duty->holder = talloc_strdup(duty, options->holder);
	duty->ttl_s = options->ttl_s;
	return duty;
}

bool plat_duty_tick(plat_duty_t *duty, int64_t now)
{
	return duty->token ? renew(duty, now) : acquire(duty, now);
}

bool plat_duty_held(const plat_duty_t *duty, int64_t now)
{
	return duty->token && now < duty->held_until;
}

int64_t plat_duty_held_until(const plat_duty_t *duty)
{
	return duty->token ? duty->held_until : 0;
}

void plat_duty_fence(const plat_duty_t *duty, plat_put_t *put)
{
	put->fence_key = duty->key;
	put->fence_revision = duty->token;
}

void plat_duty_release(plat_duty_t *duty)
{
	if (duty->lease)
		duty->store->ops->lease_revoke(duty->store, duty->lease, NULL);
	clear_lease(duty);
}

/*
 * Until when a duty counts as held if its lease is granted or renewed by a call
 * that starts at "now".  The store counts the TTL from a later time, so this
 * ends first.  A fifth of the TTL is kept back for clocks that run at different
 * rates.
 */
static int64_t held_deadline(const plat_duty_t *duty, int64_t now)
{
	return now + duty->ttl_s * BASE_SEC * 4 / 5;
}

static bool renew(plat_duty_t *duty, int64_t now)
{
	GError *cause = NULL;

	if (duty->store->ops->lease_keep(duty->store, duty->lease, &cause)) {
		duty->held_until = held_deadline(duty, now);
		return true;
	}
	if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_REJECTED))
		clear_lease(duty);
	g_clear_error(&cause);
	return plat_duty_held(duty, now);
}

static bool acquire(plat_duty_t *duty, int64_t now)
{
	plat_put_t put = { .key = duty->key, .value = base_str(duty->holder) };
	int64_t revision = 0;

	if (!is_unheld(duty))
		return false;
	if (!duty->lease)
		duty->lease = duty->store->ops->lease_grant(duty->store,
							    duty->ttl_s, NULL);
	else if (!duty->store->ops->lease_keep(duty->store, duty->lease, NULL))
		clear_lease(duty);
	if (!duty->lease)
		return false;
	put.lease = duty->lease;
	if (plat_cas_confirmed(duty->store, &put, &revision, NULL) !=
	    PLAT_CAS_DONE)
		return false;
	duty->token = revision;
	duty->held_until = held_deadline(duty, now);
	return true;
}

/* Whether nobody holds the duty; false if that cannot be read. */
static bool is_unheld(plat_duty_t *duty)
{
	void *ctx = talloc_new(NULL);
	plat_kvs_t kvs;
	bool unheld = duty->store->ops->range(duty->store, ctx, duty->key,
					      false, &kvs, NULL) &&
		      !kvs.count;

	talloc_free(ctx);
	return unheld;
}

static void clear_lease(plat_duty_t *duty)
{
	duty->lease = 0;
	duty->token = 0;
	duty->held_until = 0;
}
