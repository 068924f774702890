#include "site.h"

static void test_entry(void)
{
	const char *ids[] = { "a", "b" };
	uint64_t seqs[] = { 7, 8 };
	const char *pools[] = { "p" };
	double demand[] = { 12.0 };
	site_entry_t in = { .inc = 5,
			    .operator_address = { .host = "127.0.0.1",
						  .port = 80 },
			    .confirmed_ids = ids,
			    .confirmed_seqs = seqs,
			    .n = 2,
			    .pools = pools,
			    .demand = demand,
			    .n_pools = 1 };
	void *ctx = talloc_new(NULL);
	char *text = site_entry_print(ctx, &in);
	site_entry_t out;

	g_assert_true(site_entry_load(ctx, "e", base_str(text), &out));
	g_assert_cmpuint(out.inc, ==, 5);
	g_assert_false(out.has_shut_down);
	g_assert_cmpuint(out.n, ==, 2);
	g_assert_cmpuint(out.confirmed_seqs[1], ==, 8);
	g_assert_cmpfloat(out.demand[0], ==, 12.0);
	talloc_free(ctx);
}

static void test_bad_entry(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"incarnation\":1}",
		("{\"incarnation\":\"1\",\"address\":\"x\",\"port\":1,"
		 "\"gone\":false,\"confirmed\":{},\"demand\":{}}"),
	};
	site_entry_t out;

	for (size_t i = 0; i < ARRAY_SIZE(bad); i++)
		g_assert_false(
			site_entry_load(NULL, "e", base_str(bad[i]), &out));
}

static uint32_t up_after(fleet_t *fleet)
{
	fleet_pool_view_t view;

	fleet_step(fleet, fleet, BASE_SEC);
	g_assert_true(fleet_pool_view(fleet, 0, &view));
	return view.up;
}

/* An instance that left the list is no longer up. */
static void test_observe(void)
{
	plat_instance_t items[] = {
		{ "i1", "3", "z", "r1", "127.0.0.1", 1, PLAT_LIVE },
		{ "i2", "3", "z", "r2", "127.0.0.1", 2, PLAT_LIVE },
	};
	plat_instances_t list = { items, 2 };
	fleet_pool_t pool = {
		.name = "p", .executors = 2, .slots = 8, .min_up = 1
	};
	fleet_opts_t opts = { 0 };
	fleet_t *fleet = fleet_new(NULL, &opts);
	fleet_ops_t *ops;

	fleet_configure(fleet, &pool, 1);
	fleet_set_fencing_token(fleet, 1);
	site_observe(fleet, &list, BASE_SEC);
	ops = fleet_step(fleet, fleet, BASE_SEC);
	for (size_t i = 0; i < ops->n; i++)
		fleet_load(fleet, ops->ops[i].key, base_str(ops->ops[i].value),
			   (int64_t)i + 1, NULL);
	g_assert_cmpuint(up_after(fleet), ==, 2);
	list.count = 1;
	site_observe(fleet, &list, BASE_SEC);
	g_assert_cmpuint(up_after(fleet), ==, 1);
	talloc_free(fleet);
}

/* An in-memory store that counts calls and returned values. */
typedef struct fake {
	plat_store_t store;
	plat_kv_t kv[8];
	size_t n;
	int64_t revision;
	int calls;
	size_t values;
} fake_t;

static bool fake_changes(plat_store_t *store, const void *ctx, const char *key,
			 bool prefix, int64_t since, plat_kvs_t *out,
			 GError **err)
{
	fake_t *fake = (fake_t *)store;

	(void)err;
	fake->calls++;
	*out = (plat_kvs_t){ .revision = fake->revision };
	out->items = talloc_zero_array(ctx, plat_kv_t, fake->n);
	for (size_t i = 0; i < fake->n; i++) {
		const char *name = fake->kv[i].key.ptr;

		if (prefix ? !g_str_has_prefix(name, key) : !!strcmp(name, key))
			continue;
		out->total++;
		if (fake->kv[i].mod_revision > since)
			out->items[out->count++] = fake->kv[i];
	}
	fake->values += out->count;
	return true;
}

static bool fake_range(plat_store_t *store, const void *ctx, const char *key,
		       bool prefix, plat_kvs_t *out, GError **err)
{
	return fake_changes(store, ctx, key, prefix, 0, out, err);
}

static void fake_put(fake_t *fake, const char *key, const char *value)
{
	size_t i = 0;

	while (i < fake->n && strcmp(fake->kv[i].key.ptr, key))
		i++;
	if (i == fake->n)
		fake->n++;
	fake->kv[i] = (plat_kv_t){ .key = base_str(key),
				   .value = base_str(value),
				   .mod_revision = ++fake->revision };
}

#define SHARD(seq)                                                      \
	"{\"instances\":{\"u\":{\"inc\":1,\"seq\":" seq ",\"pool\":\"p" \
	"\",\"state\":\"serving\",\"since\":0,\"maintained\":0}}}"
#define ENTRY                                                             \
	"{\"incarnation\":1,\"address\":\"x\",\"port\":1,\"gone\":false," \
	"\"confirmed\":{},\"demand\":{}}"

static const plat_store_ops_t fake_ops = { .range = fake_range,
					   .changes = fake_changes };

typedef struct fixture {
	fake_t fake;
	fleet_t *fleet;
	site_reader_t *reader;
} fixture_t;

static void fixture_init(fixture_t *w)
{
	fleet_opts_t opts = { 0 };

	*w = (fixture_t){ .fake = { .store = { &fake_ops } } };
	fake_put(&w->fake, FLEET_POOLS_PREFIX "z/0", SHARD("1"));
	fake_put(&w->fake, FLEET_POOLS_PREFIX "z/1", "{\"instances\":{}}");
	fake_put(&w->fake, SITE_ENTRIES_PREFIX "e1", ENTRY);
	fake_put(&w->fake, SITE_ENTRIES_PREFIX "e2", ENTRY);
	w->fleet = fleet_new(NULL, &opts);
	w->reader = site_reader_new(w->fleet, w->fleet, &w->fake.store);
	g_assert_true(site_read_records(w->reader, NULL));
	w->fake.calls = 0;
	w->fake.values = 0;
}

static uint64_t first_seq(const fixture_t *w)
{
	fleet_inst_view_t view;

	fleet_inst_view(w->fleet, 0, &view);
	return view.seq;
}

/* Later reads return only changed records. */
static void test_reader(void)
{
	fixture_t w;

	fixture_init(&w);
	g_assert_true(site_read_records(w.reader, NULL));
	g_assert_cmpint(w.fake.calls, ==, 4);
	g_assert_cmpuint(w.fake.values, ==, 0);
	fake_put(&w.fake, FLEET_POOLS_PREFIX "z/0", SHARD("2"));
	fake_put(&w.fake, FLEET_POOLS_PREFIX "y/0", "{\"instances\":{}}");
	g_assert_true(site_read_pools(w.reader, NULL));
	g_assert_cmpuint(w.fake.values, ==, 2);
	g_assert_cmpuint(first_seq(&w), ==, 2);
	talloc_free(w.fleet);
}

/* A malformed record is read again and is an error until it is repaired. */
static void test_reader_bad(void)
{
	fixture_t w;

	fixture_init(&w);
	fake_put(&w.fake, FLEET_POOLS_PREFIX "z/0", "[");
	g_assert_false(site_read_pools(w.reader, NULL));
	g_assert_false(site_read_pools(w.reader, NULL));
	g_assert_cmpuint(first_seq(&w), ==, 1);
	fake_put(&w.fake, FLEET_POOLS_PREFIX "z/0", SHARD("2"));
	g_assert_true(site_read_pools(w.reader, NULL));
	g_assert_cmpuint(first_seq(&w), ==, 2);
	talloc_free(w.fleet);
}

/* A deleted record is an error, also if another key was added meanwhile. */
static void test_reader_vanished(void)
{
	plat_kv_t gone;
	fixture_t w;

	fixture_init(&w);
	gone = w.fake.kv[1];
	w.fake.kv[1].key = BASE_STR(FLEET_POOLS_PREFIX "y/7");
	w.fake.kv[1].mod_revision = ++w.fake.revision;
	g_assert_false(site_read_pools(w.reader, NULL));
	g_assert_false(site_read_records(w.reader, NULL));
	fake_put(&w.fake, gone.key.ptr, gone.value.ptr);
	g_assert_true(site_read_records(w.reader, NULL));
	talloc_free(w.fleet);
}

/* Deleting an entry's record is not an error. */
static void test_reader_entries(void)
{
	site_entries_t out;
	fixture_t w;

	fixture_init(&w);
	g_assert_true(site_read_entries(w.reader, &out, NULL));
	g_assert_cmpuint(out.n, ==, 2);
	w.fake.n = 3;
	w.fake.revision++;
	g_assert_true(site_read_entries(w.reader, &out, NULL));
	g_assert_cmpuint(out.n, ==, 1);
	g_assert_cmpstr(out.items[0].name, ==, "e1");
	talloc_free(w.fleet);
}

/* If the store's revision goes back, all records are read again. */
static void test_reader_set_back(void)
{
	site_entries_t out;
	fixture_t w;

	fixture_init(&w);
	g_assert_true(site_read_entries(w.reader, &out, NULL));
	w.fake.n = 3;
	w.fake.revision = 1;
	w.fake.kv[2].mod_revision = 1;
	w.fake.kv[2].key = BASE_STR(SITE_ENTRIES_PREFIX "e0");
	g_assert_true(site_read_entries(w.reader, &out, NULL));
	g_assert_cmpuint(out.n, ==, 1);
	g_assert_cmpstr(out.items[0].name, ==, "e0");
	talloc_free(w.fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/entry", test_entry);
	g_test_add_func("/site/bad-entry", test_bad_entry);
	g_test_add_func("/site/observe", test_observe);
	g_test_add_func("/site/reader", test_reader);
	g_test_add_func("/site/reader-bad", test_reader_bad);
	g_test_add_func("/site/reader-vanished", test_reader_vanished);
	g_test_add_func("/site/reader-entries", test_reader_entries);
	g_test_add_func("/site/reader-set-back", test_reader_set_back);
	return g_test_run();
}
