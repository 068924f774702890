#include "entry_int.h"

#define IDS_PER_THREAD 1000

static void *make_ids(void *arg)
{
	char(*ids)[ENTRY_ID_MAX] = arg;

	for (int i = 0; i < IDS_PER_THREAD; i++)
		entry_id_make(ids[i]);
	return NULL;
}

static void test_unique(void)
{
	static char ids[2 * IDS_PER_THREAD][ENTRY_ID_MAX];
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_t other;

	pthread_create(&other, NULL, make_ids, ids);
	make_ids(ids + IDS_PER_THREAD);
	pthread_join(other, NULL);
	for (int i = 0; i < 2 * IDS_PER_THREAD; i++)
		g_assert_true(g_hash_table_add(seen, ids[i]));
	g_hash_table_destroy(seen);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/id/unique", test_unique);
	return g_test_run();
}
