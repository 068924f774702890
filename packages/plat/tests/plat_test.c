#include "plat.h"

/*
 * An in-memory store of one key that can lose responses or be unreachable.
 */
typedef struct fake {
	plat_store_t store;
	char value[64];
	int64_t mod, create;
	int64_t lease;	    /* lease attached to the key */
	int64_t next_lease; /* last lease granted */
	int64_t revision;
	int lost_responses; /* number of write responses to lose */
	bool delays;	 /* a write whose response is lost has no effect yet */
	bool unreadable; /* reads fail */
	bool down;	 /* calls fail without effect */
	int calls;
} fake_t;

static bool fake_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	fake_t *fake = (fake_t *)store;

	(void)key;
	(void)prefix;
	fake->calls++;
	if (fake->down || fake->unreadable) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE, "down");
		return false;
	}
	out->count = fake->mod ? 1 : 0;
	out->revision = fake->revision;
	out->items = talloc_zero_array(ctx, plat_kv_t, out->count);
	if (out->count)
		out->items[0] = (plat_kv_t){
			.value = base_str(fake->value),
			.mod_revision = fake->mod,
			.create_revision = fake->create,
		};
	return true;
}

static plat_cas_t fake_cas(plat_store_t *store, const plat_put_t *put,
			   int64_t *revision, GError **err)
{
	fake_t *fake = (fake_t *)store;

	fake->calls++;
	if (fake->down) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE, "down");
		return PLAT_CAS_FAILED;
	}
	if (fake->delays) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "lost");
		return PLAT_CAS_FAILED;
	}
	if (put->expected != fake->mod)
		return PLAT_CAS_CONFLICT;
	g_strlcpy(fake->value, put->value.ptr,
		  MIN(put->value.len + 1, sizeof(fake->value)));
	fake->revision++;
	fake->create = fake->mod ? fake->create : fake->revision;
	fake->mod = fake->revision;
	fake->lease = put->lease;
	*revision = fake->mod;
	if (fake->lost_responses) {
		fake->lost_responses--;
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "lost");
		return PLAT_CAS_FAILED;
	}
	return PLAT_CAS_DONE;
}

static int64_t fake_grant(plat_store_t *store, int64_t ttl_s, GError **err)
{
	fake_t *fake = (fake_t *)store;

	(void)ttl_s;
	fake->calls++;
	if (fake->down)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE, "down");
	return fake->down ? 0 : ++fake->next_lease;
}

static bool fake_keep(plat_store_t *store, int64_t lease, GError **err)
{
	fake_t *fake = (fake_t *)store;

	fake->calls++;
	if (fake->down)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "down");
	else if (lease != fake->lease)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED, "gone");
	return !fake->down && lease == fake->lease;
}

static bool fake_revoke(plat_store_t *store, int64_t lease, GError **err)
{
	fake_t *fake = (fake_t *)store;

	(void)err;
	if (lease == fake->lease)
		fake->mod = fake->create = fake->lease = 0;
	return true;
}

static const plat_store_ops_t fake_ops = {
	.range = fake_range,
	.cas = fake_cas,
	.lease_grant = fake_grant,
	.lease_keep = fake_keep,
	.lease_revoke = fake_revoke,
};

static void expire_lease(fake_t *fake)
{
	fake_revoke(&fake->store, fake->lease, NULL);
}

static void test_cas_sure(void)
{
	fake_t fake = { .store = { &fake_ops }, .lost_responses = 1 };
	plat_put_t put = { .key = "k", .value = BASE_STR("one") };
	int64_t revision = 0;

	g_assert_cmpint(plat_cas_confirmed(&fake.store, &put, &revision, NULL),
			==, PLAT_CAS_DONE);
	put.value = BASE_STR("two");
	g_assert_cmpint(plat_cas_confirmed(&fake.store, &put, &revision, NULL),
			==, PLAT_CAS_CONFLICT);
	fake.down = true;
	g_assert_cmpint(plat_cas_confirmed(&fake.store, &put, &revision, NULL),
			==, PLAT_CAS_FAILED);
}

/*
 * Guards against a write that is reported as not done although the store may
 * still carry it out: its response is lost, and the key is unchanged or cannot
 * be read.
 */
static void test_cas_in_doubt(void)
{
	fake_t fake = { .store = { &fake_ops }, .delays = true };
	plat_put_t put = { .key = "k", .value = BASE_STR("one") };
	GError *err = NULL;
	int64_t revision = 0;

	g_assert_cmpint(plat_cas_confirmed(&fake.store, &put, &revision, &err),
			==, PLAT_CAS_FAILED);
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN);
	g_clear_error(&err);
	fake.unreadable = true;
	g_assert_cmpint(plat_cas_confirmed(&fake.store, &put, &revision, &err),
			==, PLAT_CAS_FAILED);
	g_assert_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN);
	g_clear_error(&err);
}

/* Two contenders for the same duty; the first one holds it. */
typedef struct contenders {
	fake_t fake;
	plat_duty_t *first, *second;
} contenders_t;

static void contenders_begin(contenders_t *r)
{
	plat_duty_options_t options = { &r->fake.store, "d", "e1", 10 };

	r->fake = (fake_t){ .store = { &fake_ops } };
	r->first = plat_duty_new(NULL, &options);
	r->second = plat_duty_new(NULL, &options);
	g_assert_true(plat_duty_tick(r->first, 0));
}

static void contenders_end(contenders_t *r)
{
	talloc_free(r->first);
	talloc_free(r->second);
}

static void test_duty(void)
{
	contenders_t r;

	contenders_begin(&r);
	g_assert_false(plat_duty_tick(r.second, 0));
	g_assert_true(plat_duty_held(r.first, 7 * BASE_SEC));
	g_assert_false(plat_duty_held(r.first, 8 * BASE_SEC));
	plat_duty_release(r.first);
	g_assert_true(plat_duty_tick(r.second, BASE_SEC));
	contenders_end(&r);
}

/*
 * A holder that is paused until its lease has expired does not count the duty
 * as held, and the next holder has a higher fencing token, so that its late
 * writes fail.
 */
static void test_duty_paused(void)
{
	plat_put_t put = { 0 }, late = { 0 };
	contenders_t r;

	contenders_begin(&r);
	plat_duty_fence(r.first, &late);
	expire_lease(&r.fake);
	g_assert_true(plat_duty_tick(r.second, 11 * BASE_SEC));
	g_assert_false(plat_duty_held(r.first, 12 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.first, 12 * BASE_SEC));
	plat_duty_fence(r.second, &put);
	g_assert_cmpint(put.fence_revision, >, late.fence_revision);
	contenders_end(&r);
}

/*
 * A store outage shorter than the lease does not lose the duty: it is unheld
 * near the end of the TTL and held again after the next renewal.
 */
static void test_duty_outage(void)
{
	contenders_t r;

	contenders_begin(&r);
	r.fake.down = true;
	g_assert_true(plat_duty_tick(r.first, 3 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.first, 9 * BASE_SEC));
	r.fake.down = false;
	g_assert_true(plat_duty_tick(r.first, 9 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.second, 9 * BASE_SEC));
	contenders_end(&r);
}

static void test_circuit(void)
{
	plat_circuit_t circuit = { .rng = { 7 } };
	int64_t now = BASE_SEC;
	int allowed = 0;

	/* An hour of outage, with a call every 10 ms. */
	for (; now < 3600 * BASE_SEC; now += 10 * BASE_MS) {
		if (!plat_circuit_allows(&circuit, now))
			continue;
		allowed++;
		plat_circuit_record(&circuit, false, now);
	}
	/* At most one probe per half of the longest backoff. */
	g_assert_cmpint(allowed, <,
			2 * 3600 * BASE_SEC / PLAT_CIRCUIT_MAX_US + 20);
	g_assert_cmpint(allowed, >, 3600 * BASE_SEC / PLAT_CIRCUIT_MAX_US / 2);
	now += PLAT_CIRCUIT_MAX_US;
	g_assert_true(plat_circuit_allows(&circuit, now));
	/* Only one probe at a time. */
	g_assert_false(plat_circuit_allows(&circuit, now));
	plat_circuit_record(&circuit, true, now);
	g_assert_true(plat_circuit_allows(&circuit, now));
	g_assert_true(plat_circuit_allows(&circuit, now));
}

static fake_t inner_store = { .store = { &fake_ops } };

static plat_store_t *connect_fake(const void *ctx, const plat_address_t *to)
{
	(void)ctx;
	(void)to;
	return &inner_store.store;
}

/* How many of "n" reads succeed. */
static int count_reads(plat_guard_t *guard, plat_purpose_t purpose, int n)
{
	plat_store_t *store = plat_guard_store(guard, purpose);
	void *ctx = talloc_new(NULL);
	int succeeded = 0;
	plat_kvs_t kvs;

	for (int i = 0; i < n; i++)
		succeeded +=
			store->ops->range(store, ctx, "k", false, &kvs, NULL);
	talloc_free(ctx);
	return succeeded;
}

static plat_guard_t *new_guard(void)
{
	const plat_guard_options_t options = {
		.connect = connect_fake,
		.calls_s = { 5.0, 5.0, 5.0, 0.001 },
		.seed = 3,
	};

	return plat_guard_new(NULL, &options);
}

static void test_guard(void)
{
	plat_guard_t *guard = new_guard();
	int before = inner_store.calls;
	int succeeded = count_reads(guard, PLAT_FOR_CONFIG, 50);

	g_assert_cmpint(succeeded, >=, 5);
	g_assert_cmpint(succeeded, <, 50);
	g_assert_cmpint(inner_store.calls - before, ==, succeeded);
	g_assert_cmpuint(plat_guard_calls(guard, PLAT_FOR_CONFIG).refused, ==,
			 50 - (guint)succeeded);
	talloc_free(guard);
}

/*
 * Each purpose has its own rate limit, but all share one circuit: failures of
 * one purpose open it for the others.
 */
static void test_guard_circuit(void)
{
	plat_guard_t *guard = new_guard();
	int before;

	g_assert_cmpint(count_reads(guard, PLAT_FOR_CONFIG, 50), >=, 5);
	before = inner_store.calls;
	inner_store.down = true;
	g_assert_cmpint(count_reads(guard, PLAT_FOR_FLEET, 5), ==, 0);
	g_assert_cmpint(inner_store.calls - before, ==, PLAT_CIRCUIT_FAILURES);
	/* A call that the circuit breaker refuses consumes no token. */
	inner_store.down = false;
	for (int i = 0; i < 3000; i++) {
		if (count_reads(guard, PLAT_FOR_DUTY, 1))
			break;
		base_clock_sleep(10 * BASE_MS);
	}
	g_assert_cmpuint(plat_guard_calls(guard, PLAT_FOR_DUTY).made, ==, 1);
	talloc_free(guard);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plat/cas-sure", test_cas_sure);
	g_test_add_func("/plat/cas-in-doubt", test_cas_in_doubt);
	g_test_add_func("/plat/duty", test_duty);
	g_test_add_func("/plat/duty-paused", test_duty_paused);
	g_test_add_func("/plat/duty-outage", test_duty_outage);
	g_test_add_func("/plat/circuit", test_circuit);
	g_test_add_func("/plat/guard", test_guard);
	g_test_add_func("/plat/guard-circuit", test_guard_circuit);
	return g_test_run();
}
