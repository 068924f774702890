// Whatever fails, an id runs at most once within the window, and no caller is
// told that it did not run, or gets a recorded answer, unless that is true.
#include "claim_world.h"

namespace
{

void random_step(Simulation &sim, bool random_list)
{
	int i = (int)sim.below((uint32_t)sim.size());
	Entry &e = sim.entry(i);
	// Mostly one of 12 keys, so that keys repeat soon, and sometimes one of
	// 1000, so that keys also repeat after a long time.
	int key = sim.chance(0.8) ? (int)sim.below(12) : (int)sim.below(1000);
	static const int FIRST_TICKET_KEY = 2000;

	if (sim.chance(0.15))
		sim.heal();
	switch (sim.below(sim.action_range)) {
	case 0:
		sim.crash(i);
		break;
	case 1:
		e.paused = !e.paused;
		break;
	case 2:
		e.partition_side = (int)sim.below(2);
		break;
	case 3:
		e.store_reachable = !e.store_reachable;
		break;
	case 4:
		sim.propose(i, random_list && sim.chance(0.4));
		break;
	case 5: { // a ticket of the epoch that the entry has adopted
		uint64_t epoch = sim.epoch_number(i);

		if (epoch && !e.paused)
			sim.submit(i, FIRST_TICKET_KEY + (int)epoch, epoch);
		break;
	}
	case 6:
		sim.advance(sim.below(5000) * MS);
		break;
	case 7: // partition most entries of a zone; all others reconnect
		for (size_t j = 0; j < sim.size(); j++)
			sim.entry((int)j).partition_side =
				sim.entry((int)j).zone == e.zone &&
				sim.chance(0.9);
		break;
	case 8: // only some entries reach the store
		for (size_t j = 0; j < sim.size(); j++)
			sim.entry((int)j).store_reachable = sim.chance(0.3);
		break;
	default:
		if (sim.chance(0.3))
			sim.submit_later(i, key, 0);
		else
			sim.submit_burst();
	}
	sim.run_periodic();
	sim.advance(sim.below(300) * MS);
}

void run_simulation(uint64_t seed, bool random_list)
{
	Simulation sim(seed, 3 + (int)(seed % 4));

	sim.action_range = 12 + sim.below(60);
	sim.sync_chance = 0.1 + 0.1 * sim.below(10);
	for (int i = 0; i < 20; i++) {
		sim.propose((int)sim.below((uint32_t)sim.size()), false);
		sim.run_periodic();
		sim.advance(200 * MS);
	}
	for (int i = 0; i < 250 && sim.violation.empty(); i++)
		random_step(sim, random_list);
	RC_ASSERT(sim.violation == "");
	RC_TAG(sim.epochs > 3 ? "more than 3 epochs" : "few epochs");
	RC_TAG(sim.ran > 10 ? "more than 10 runs" : "few runs");
	RC_TAG(sim.reported_not_run ? "some reported not run"
				    : "none reported not run");

	// Once nothing fails and the fences have passed, new keys run.
	sim.heal();
	sim.loss = 0;
	sim.sync_chance = 1;
	for (int i = 0; i < 260; i++) {
		sim.propose((int)sim.below((uint32_t)sim.size()), false);
		sim.run_periodic();
		sim.advance(200 * MS);
	}
	RC_ASSERT(sim.fenced() == 0U);
	for (int i = 0; i < (int)sim.size(); i++) {
		RC_ASSERT(sim.epoch_number(i) == sim.newest_epoch());
		sim.submit(i, 5000 + i, 0);
	}
	for (int i = 0; i < 10; i++) {
		sim.run_periodic();
		sim.advance(200 * MS);
	}
	for (int i = 0; i < (int)sim.size(); i++)
		RC_ASSERT(sim.granted(5000 + i));
	RC_ASSERT(sim.violation == "");
}

uint64_t arbitrary_seed()
{
	// From this size on, RapidCheck generates integers of all magnitudes.
	const int ALL_BITS = 100;

	return *rc::gen::noShrink(
		rc::gen::resize(ALL_BITS, rc::gen::arbitrary<uint64_t>()));
}

void test_once()
{
	g_assert_true(
		rc::check("an id runs at most once and is reported truthfully",
			  [] { run_simulation(arbitrary_seed(), false); }));
}

void test_once_random_list()
{
	g_assert_true(
		rc::check("also when the list of entries changes arbitrarily",
			  [] { run_simulation(arbitrary_seed(), true); }));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/once", test_once);
	g_test_add_func("/claim/once-wild", test_once_random_list);
	return g_test_run();
}
