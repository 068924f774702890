#include <rapidcheck.h>

extern "C" {
#include "memb_int.h"
}
#include "memb_net.h"

namespace
{

/* Time in which all connected entries agree, in virtual milliseconds. */
constexpr int64_t CONVERGE_MS = 60000;

bool is_running(const net_t *net, uint32_t i)
{
	return net->nodes[i].memb && !net->nodes[i].left;
}

/* Injects one random fault or action. */
void inject_fault(net_t *net, uint64_t *generation)
{
	uint32_t i = *rc::gen::inRange<uint32_t>(0, net->n);
	uint32_t a = *rc::gen::inRange<uint32_t>(0, net->zones);
	uint32_t b = *rc::gen::inRange<uint32_t>(0, net->zones);
	net_node_t *node = &net->nodes[i];

	switch (*rc::gen::inRange(0, 8)) {
	case 0:
		if (node->memb)
			net_kill(net, i);
		break;
	case 1:
		if (!node->memb || node->left) {
			net_kill(net, i);
			net_start(net, i);
		}
		break;
	case 2:
		node->paused = true;
		break;
	case 3:
		node->paused = false;
		break;
	case 4:
		net->cut[a][b] = true; /* cuts one direction only */
		break;
	case 5:
		net->cut[a][b] = net->cut[b][a] = false;
		break;
	case 6:
		if (is_running(net, i) && !node->paused)
			net_publish(net, i, ++*generation);
		break;
	case 7:
		if (is_running(net, i) && !node->paused) {
			memb_leave(node->memb, net_now(net));
			node->left = true;
		}
		break;
	}
	net_run(net, *rc::gen::inRange(1, 4000));
}

void clear_faults(net_t *net)
{
	memset(net->cut, 0, sizeof(net->cut));
	net->loss = 0.01;
	for (uint32_t i = 0; i < net->n; i++)
		net->nodes[i].paused = false;
}

void check_agreement(const net_t *net)
{
	uint64_t newest = 0;

	for (uint32_t i = 0; i < net->n; i++)
		if (is_running(net, i))
			newest = MAX(newest, net->nodes[i].generation);
	for (uint32_t i = 0; i < net->n; i++) {
		if (!is_running(net, i))
			continue;
		RC_ASSERT(memb_is_confirmed(net->nodes[i].memb, net_now(net)));
		RC_ASSERT(memb_generation(net->nodes[i].memb) == newest);
		RC_ASSERT(net->nodes[i].stale_generations == 0u);
		for (uint32_t j = 0; j < net->n; j++)
			if (j != i)
				RC_ASSERT(net_sees_alive(net, i, j) ==
					  is_running(net, j));
	}
}

void prop_converge()
{
	uint32_t n = *rc::gen::inRange<uint32_t>(2, 13);
	uint32_t zones = *rc::gen::inRange<uint32_t>(1, 5);
	net_t *net = net_new(n, zones, *rc::gen::arbitrary<uint64_t>());
	uint64_t generation = 0;
	int acts = *rc::gen::inRange(0, 25);

	net->loss = *rc::gen::inRange(0, 30) / 100.0;
	net->duplicate_rate = *rc::gen::inRange(0, 20) / 100.0;
	net->delay_ms = *rc::gen::inRange<uint32_t>(1, 40);
	net_run(net, 5000);
	while (acts-- > 0)
		inject_fault(net, &generation);
	clear_faults(net);
	net_run(net, CONVERGE_MS);
	check_agreement(net);
	net_free(net);
}

/* Without loss, one message tells each entry of the own zone of a leave. */
void prop_leave()
{
	uint32_t n = *rc::gen::inRange<uint32_t>(2, 17);
	uint32_t zones = *rc::gen::inRange<uint32_t>(1, 4);
	net_t *net = net_new(n, zones, *rc::gen::arbitrary<uint64_t>());
	uint32_t who = *rc::gen::inRange<uint32_t>(0, n);

	net_run(net, 30000);
	check_agreement(net);
	memb_leave(net->nodes[who].memb, net_now(net));
	net_run(net, 3);
	for (uint32_t i = 0; i < n; i++)
		if (i != who && net->nodes[i].zone == net->nodes[who].zone)
			RC_ASSERT(!net_sees_alive(net, i, who));
	net_run(net, 3000);
	for (uint32_t i = 0; i < n; i++)
		if (i != who) {
			RC_ASSERT(!net_sees_alive(net, i, who));
			RC_ASSERT(net->nodes[i].events[MEMB_DIED] == 0u);
		}
	net_free(net);
}

/*
 * A process that was paused learns that it was declared dead before
 * memb_is_confirmed() holds again.
 */
void prop_pause()
{
	uint32_t n = *rc::gen::inRange<uint32_t>(3, 10);
	net_t *net = net_new(n, 1, *rc::gen::arbitrary<uint64_t>());
	uint32_t who = *rc::gen::inRange<uint32_t>(0, n);
	net_node_t *node = &net->nodes[who];

	net_run(net, 20000);
	RC_ASSERT(memb_is_confirmed(node->memb, net_now(net)));
	node->paused = true;
	net_run(net, 30000);
	for (uint32_t i = 0; i < n; i++)
		if (i != who)
			RC_ASSERT(!net_sees_alive(net, i, who));
	/* Before its first tick and before any message. */
	RC_ASSERT(!memb_is_confirmed(node->memb, net_now(net)));
	node->paused = false;
	for (int ms = 0; ms < 5000; ms++) {
		net_step(net);
		if (memb_is_confirmed(node->memb, net_now(net)))
			RC_ASSERT(node->events[MEMB_SELF_DECLARED_DEAD] > 0u);
	}
	RC_ASSERT(memb_is_confirmed(node->memb, net_now(net)));
	net_free(net);
}

/*
 * A record of an older incarnation or revision, or of a state of lower
 * precedence, changes nothing.
 */
void prop_merge_order()
{
	net_t *net = net_new(2, 1, 1);
	memb_t *memb = net->nodes[0].memb;
	auto n = *rc::gen::inRange(1, 20);
	memb_record_t best = {};

	for (int i = 0; i < n; i++) {
		memb_record_t rec = {};

		g_strlcpy(rec.id, "other", sizeof(rec.id));
		g_strlcpy(rec.zone, "zone", sizeof(rec.zone));
		rec.addr = { 9, 9 };
		rec.incarnation = *rc::gen::inRange<uint64_t>(1, 4);
		rec.revision = *rc::gen::inRange<uint32_t>(0, 4);
		rec.generation = rec.revision;
		rec.state =
			(memb_state_t)*rc::gen::inRange(0, (int)MEMB_STATE_MAX);
		memb_merge(memb, &rec, 1);
		const memb_record_t *is = memb_find(memb, "other");
		if (!is)
			continue;
		RC_ASSERT(is->incarnation >= best.incarnation);
		if (is->incarnation == best.incarnation) {
			RC_ASSERT(is->state >= best.state);
			RC_ASSERT(is->revision >= best.revision);
			RC_ASSERT(is->generation >= best.generation);
		}
		best = *is;
	}
	net_free(net);
}

/*
 * No message, however malformed, undoes what was accepted, and the member table
 * stays bounded.
 */
void prop_any_message()
{
	net_t *net = net_new(3, 1, *rc::gen::arbitrary<uint64_t>());
	memb_t *memb = net->nodes[0].memb;

	net_run(net, 3000);
	net_publish(net, 0, 10);
	for (int i = 0; i < 50; i++) {
		auto bytes = *rc::gen::container<std::vector<uint8_t>>(
			64, rc::gen::arbitrary<uint8_t>());
		memb_msg_t msg = {};

		memb_fill(net->nodes[1].memb, &msg, MEMB_GOSSIP, nullptr);
		for (size_t b = 0; b + 2 < bytes.size(); b += 3)
			((uint8_t *)&msg)[(bytes[b] << 8 | bytes[b + 1]) %
					  sizeof(msg)] = bytes[b + 2];
		/* The decoder sets a bool to 0 or 1 only. */
		for (auto &rec : msg.updates)
			*(uint8_t *)&rec.sealed &= 1;
		memb_receive(memb, net_now(net), &msg);
		memb_tick(memb, net_now(net));
		RC_ASSERT(memb_generation(memb) == 10u);
		RC_ASSERT(memb_count(memb) <= MEMB_MEMBERS_MAX + 1u);
	}
	net_free(net);
}

void test_converge()
{
	g_assert_true(rc::check("connected entries agree", prop_converge));
}

void test_leave()
{
	g_assert_true(rc::check("a leave is known at once", prop_leave));
}

void test_pause()
{
	g_assert_true(rc::check("a paused entry asks before it is confirmed",
				prop_pause));
}

void test_merge_order()
{
	g_assert_true(rc::check("records only advance", prop_merge_order));
}

void test_any_message()
{
	g_assert_true(rc::check("no message undoes accepted state",
				prop_any_message));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/memb/converge", test_converge);
	g_test_add_func("/memb/leave", test_leave);
	g_test_add_func("/memb/pause", test_pause);
	g_test_add_func("/memb/merge-order", test_merge_order);
	g_test_add_func("/memb/any-message", test_any_message);
	return g_test_run();
}
