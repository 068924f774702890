#include "plat.h"

/*
 * A store of one key in memory, with faults.
 */
typedef struct fake {
	plat_store_t store;
	char value[64];
	int64_t mod, create;
	int64_t lease;	    /* of the key */
	int64_t next_lease; /* the last one granted */
	int64_t revision;
	int lose;  /* answers of writes to lose */
	bool down; /* nothing is sent */
	int calls;
} fake_t;

static bool fake_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	fake_t *fake = (fake_t *)store;

	(void)key;
	(void)prefix;
	fake->calls++;
	if (fake->down) {
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_DOWN, "down");
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
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_DOWN, "down");
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
	if (fake->lose) {
		fake->lose--;
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
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_DOWN, "down");
	return fake->down ? 0 : ++fake->next_lease;
}

static bool fake_keep(plat_store_t *store, int64_t lease, GError **err)
{
	fake_t *fake = (fake_t *)store;

	fake->calls++;
	if (fake->down)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "down");
	else if (lease != fake->lease)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_BAD, "gone");
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

static void expire(fake_t *fake)
{
	fake_revoke(&fake->store, fake->lease, NULL);
}

static void test_cas_sure(void)
{
	fake_t fake = { .store = { &fake_ops }, .lose = 1 };
	plat_put_t put = { .key = "k", .value = BASE_STR("one") };
	int64_t revision = 0;

	g_assert_cmpint(plat_cas_sure(&fake.store, &put, &revision, NULL), ==,
			PLAT_CAS_DONE);
	put.value = BASE_STR("two");
	g_assert_cmpint(plat_cas_sure(&fake.store, &put, &revision, NULL), ==,
			PLAT_CAS_CONFLICT);
	fake.down = true;
	g_assert_cmpint(plat_cas_sure(&fake.store, &put, &revision, NULL), ==,
			PLAT_CAS_FAILED);
}

/* Two who want one duty. */
typedef struct rivals {
	fake_t fake;
	plat_duty_t *first, *second;
} rivals_t;

static void rivals_begin(rivals_t *r)
{
	plat_duty_options_t options = { &r->fake.store, "d", "e1", 10 };

	r->fake = (fake_t){ .store = { &fake_ops } };
	r->first = plat_duty_new(NULL, &options);
	r->second = plat_duty_new(NULL, &options);
	g_assert_true(plat_duty_tick(r->first, 0));
}

static void rivals_end(rivals_t *r)
{
	talloc_free(r->first);
	talloc_free(r->second);
}

static void test_duty(void)
{
	rivals_t r;

	rivals_begin(&r);
	g_assert_false(plat_duty_tick(r.second, 0));
	g_assert_true(plat_duty_held(r.first, 7 * BASE_SEC));
	g_assert_false(plat_duty_held(r.first, 8 * BASE_SEC));
	plat_duty_release(r.first);
	g_assert_true(plat_duty_tick(r.second, BASE_SEC));
	rivals_end(&r);
}

/* A holder that was paused neither believes in its duty nor can write. */
static void test_duty_paused(void)
{
	plat_put_t put = { 0 }, late = { 0 };
	rivals_t r;

	rivals_begin(&r);
	plat_duty_fence(r.first, &late);
	expire(&r.fake);
	g_assert_true(plat_duty_tick(r.second, 11 * BASE_SEC));
	g_assert_false(plat_duty_held(r.first, 12 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.first, 12 * BASE_SEC));
	plat_duty_fence(r.second, &put);
	g_assert_cmpint(put.fence_revision, >, late.fence_revision);
	rivals_end(&r);
}

/* An outage shorter than the lease does not cost the duty. */
static void test_duty_outage(void)
{
	rivals_t r;

	rivals_begin(&r);
	r.fake.down = true;
	g_assert_true(plat_duty_tick(r.first, 3 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.first, 9 * BASE_SEC));
	r.fake.down = false;
	g_assert_true(plat_duty_tick(r.first, 9 * BASE_SEC));
	g_assert_false(plat_duty_tick(r.second, 9 * BASE_SEC));
	rivals_end(&r);
}

static void test_circuit(void)
{
	plat_circuit_t circuit = { .rng = { 7 } };
	int64_t now = BASE_SEC;
	int passed = 0;

	/* An hour of outage, asked every 10 ms. */
	for (; now < 3600 * BASE_SEC; now += 10 * BASE_MS) {
		if (!plat_circuit_allows(&circuit, now))
			continue;
		passed++;
		plat_circuit_note(&circuit, false, now);
	}
	/* At most one in half of the longest pause. */
	g_assert_cmpint(passed, <,
			2 * 3600 * BASE_SEC / PLAT_CIRCUIT_MAX_US + 20);
	g_assert_cmpint(passed, >, 3600 * BASE_SEC / PLAT_CIRCUIT_MAX_US / 2);
	now += PLAT_CIRCUIT_MAX_US;
	g_assert_true(plat_circuit_allows(&circuit, now));
	/* Only one tries. */
	g_assert_false(plat_circuit_allows(&circuit, now));
	plat_circuit_note(&circuit, true, now);
	g_assert_true(plat_circuit_allows(&circuit, now));
	g_assert_true(plat_circuit_allows(&circuit, now));
}

static fake_t guarded = { .store = { &fake_ops } };

static plat_store_t *connect_fake(const void *ctx, const plat_address_t *to)
{
	(void)ctx;
	(void)to;
	return &guarded.store;
}

/* Calls of "n" that were answered. */
static int read_often(plat_guard_t *guard, plat_purpose_t purpose, int n)
{
	plat_store_t *store = plat_guard_store(guard, purpose);
	void *ctx = talloc_new(NULL);
	int answered = 0;
	plat_kvs_t kvs;

	for (int i = 0; i < n; i++)
		answered +=
			store->ops->range(store, ctx, "k", false, &kvs, NULL);
	talloc_free(ctx);
	return answered;
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
	int before = guarded.calls;
	int answered = read_often(guard, PLAT_FOR_CONFIG, 50);

	g_assert_cmpint(answered, >=, 5);
	g_assert_cmpint(answered, <, 50);
	g_assert_cmpint(guarded.calls - before, ==, answered);
	g_assert_cmpuint(plat_guard_calls(guard, PLAT_FOR_CONFIG).refused, ==,
			 50 - (guint)answered);
	talloc_free(guard);
}

/* Purposes have budgets of their own and one circuit. */
static void test_guard_circuit(void)
{
	plat_guard_t *guard = new_guard();
	int before;

	g_assert_cmpint(read_often(guard, PLAT_FOR_CONFIG, 50), >=, 5);
	before = guarded.calls;
	guarded.down = true;
	g_assert_cmpint(read_often(guard, PLAT_FOR_FLEET, 5), ==, 0);
	g_assert_cmpint(guarded.calls - before, ==, PLAT_CIRCUIT_FAILURES);
	/* What the circuit holds back has not used the budget up. */
	guarded.down = false;
	for (int i = 0; i < 3000; i++) {
		if (read_often(guard, PLAT_FOR_DUTY, 1))
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
	g_test_add_func("/plat/duty", test_duty);
	g_test_add_func("/plat/duty-paused", test_duty_paused);
	g_test_add_func("/plat/duty-outage", test_duty_outage);
	g_test_add_func("/plat/circuit", test_circuit);
	g_test_add_func("/plat/guard", test_guard);
	g_test_add_func("/plat/guard-circuit", test_guard_circuit);
	return g_test_run();
}
