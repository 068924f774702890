#include "memb_net.h"

static uint64_t sum_events(const net_t *net, memb_event_t event)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < net->n; i++)
		sum += net->nodes[i].events[event];
	return sum;
}

static void check_all_alive(const net_t *net)
{
	for (uint32_t i = 0; i < net->n; i++)
		for (uint32_t j = 0; j < net->n; j++)
			g_assert_true(i == j || net_sees_alive(net, i, j));
}

/*
 * Two entries paused together: each has only an unconfirmed entry to ask, and
 * both must still be confirmed in the end.
 */
static void test_paused_together(void)
{
	net_t *net = net_new(2, 1, 7);

	net_run(net, 5000);
	net->nodes[0].paused = net->nodes[1].paused = true;
	net_run(net, 3000);
	net->nodes[0].paused = net->nodes[1].paused = false;
	net_run(net, 1000);
	g_assert_false(memb_is_confirmed(net->nodes[0].memb, net_now(net)));
	net_run(net, 10000);
	for (uint32_t i = 0; i < net->n; i++)
		g_assert_true(
			memb_is_confirmed(net->nodes[i].memb, net_now(net)));
	net_free(net);
}

/* Two groups that started apart find each other through the seeds. */
static void test_groups_meet(void)
{
	net_t *net = net_new(4, 2, 7);

	net->cut[0][1] = net->cut[1][0] = true;
	net_run(net, 5000);
	g_assert_false(net_sees_alive(net, 0, 1));
	net->cut[0][1] = net->cut[1][0] = false;
	net_run(net, 10000);
	check_all_alive(net);
	net_free(net);
}

/*
 * After a network partition, records from the other side must not make an entry
 * declare a member of its own side dead.
 */
static void test_cut_heals(void)
{
	net_t *net = net_new(12, 3, 7);
	uint64_t died;

	net_run(net, 10000);
	for (uint32_t z = 1; z < 3; z++)
		net->cut[0][z] = net->cut[z][0] = true;
	net_run(net, 60000);
	g_assert_false(net_sees_alive(net, 0, 1));
	g_assert_true(net_sees_alive(net, 0, 3));
	net_publish(net, 1, 5);
	net_run(net, 3000);
	g_assert_cmpuint(memb_generation(net->nodes[4].memb), ==, 5);
	g_assert_cmpuint(memb_generation(net->nodes[0].memb), ==, 0);
	died = sum_events(net, MEMB_DIED);
	memset(net->cut, 0, sizeof(net->cut));
	net_run(net, 30000);
	check_all_alive(net);
	g_assert_cmpuint(memb_generation(net->nodes[0].memb), ==, 5);
	g_assert_cmpuint(sum_events(net, MEMB_DIED), ==, died);
	net_free(net);
}

/* Entries started together all know each other after 25 s, at 1 % loss. */
static void test_start_together(void)
{
	net_t *net = net_new(64, 8, 7);

	net->loss = 0.01;
	net_run(net, 25000);
	check_all_alive(net);
	net_free(net);
}

static void test_watchers(void)
{
	net_t *net = net_new(15, 3, 7);
	uint32_t watching[3] = { 0 };

	net_run(net, 20000);
	for (uint32_t i = 0; i < net->n; i++)
		watching[net->nodes[i].zone] +=
			memb_is_watcher(net->nodes[i].memb);
	for (uint32_t z = 0; z < 3; z++)
		g_assert_cmpuint(watching[z], ==, 2);
	net_free(net);
}

static void test_conflict(void)
{
	net_t *net = net_new(2, 1, 7);
	memb_t *memb = net->nodes[0].memb;

	net_run(net, 3000);
	net_publish(net, 1, 9);
	g_assert_true(memb_set_config(memb, net_now(net), 9, 1234, 0));
	g_assert_false(memb_set_config(memb, net_now(net), 9, 99, 0));
	g_assert_false(memb_set_config(memb, net_now(net), 8, 99, 0));
	net_run(net, 5000);
	g_assert_cmpuint(net->nodes[0].events[MEMB_CONFIG_CONFLICT], ==, 1);
	g_assert_cmpuint(memb_generation(memb), ==, 9);
	/* The next generation resolves the conflict. */
	net_publish(net, 1, 10);
	net_run(net, 3000);
	g_assert_cmpuint(memb_generation(memb), ==, 10);
	net_free(net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/memb/paused-together", test_paused_together);
	g_test_add_func("/memb/groups-meet", test_groups_meet);
	g_test_add_func("/memb/cut-heals", test_cut_heals);
	g_test_add_func("/memb/start-together", test_start_together);
	g_test_add_func("/memb/watchers", test_watchers);
	g_test_add_func("/memb/conflict", test_conflict);
	return g_test_run();
}
