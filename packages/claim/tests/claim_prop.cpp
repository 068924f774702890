// Whatever fails in the world, an id runs at most once and is told truthfully.
#include "claim_world.h"

namespace
{

void step(World &w, bool wild)
{
	int i = (int)w.below((uint32_t)w.size());
	Entry &e = w.entry(i);
	// A few keys, asked for again and again; some only after a while.
	int key = w.chance(0.8) ? (int)w.below(12) : (int)w.below(1000);
	static const int TICKETS = 2000;

	if (w.chance(0.15))
		w.mend();
	switch (w.below(w.calm)) {
	case 0:
		w.crash(i);
		break;
	case 1:
		e.paused = !e.paused;
		break;
	case 2:
		e.side = (int)w.below(2);
		break;
	case 3:
		e.store = !e.store;
		break;
	case 4:
		w.propose(i, wild && w.chance(0.4));
		break;
	case 5: { // a ticket of the newest epoch: a key of its own
		uint64_t epoch = w.epoch_number(i);

		if (epoch && !e.paused)
			w.submit(i, TICKETS + (int)epoch, epoch);
		break;
	}
	case 6:
		w.pass(w.below(5000) * MS);
		break;
	case 7: // the whole zone, or the other way round
		for (size_t j = 0; j < w.size(); j++)
			w.entry((int)j).side =
				w.entry((int)j).zone == e.zone && w.chance(0.9);
		break;
	case 8: // the store, for all
		for (size_t j = 0; j < w.size(); j++)
			w.entry((int)j).store = w.chance(0.3);
		break;
	default:
		if (w.chance(0.3))
			w.ask_at(i, key, 0);
		else
			w.burst();
	}
	w.duties();
	w.pass(w.below(300) * MS);
}

void run_world(uint64_t seed, bool wild)
{
	World w(seed, 3 + (int)(seed % 4));

	w.calm = 12 + w.below(60);
	w.busy = 0.1 + 0.1 * w.below(10);
	for (int i = 0; i < 20; i++) {
		w.propose((int)w.below((uint32_t)w.size()), false);
		w.duties();
		w.pass(200 * MS);
	}
	for (int i = 0; i < 250 && w.fault.empty(); i++)
		step(w, wild);
	RC_ASSERT(w.fault == "");
	RC_TAG(w.epochs > 3 ? "more than 3 epochs" : "few epochs");
	RC_TAG(w.ran > 10 ? "more than 10 runs" : "few runs");
	RC_TAG(w.refused_not_run ? "some not run" : "no not run");

	// Once nothing fails and the fences have passed, new keys run.
	w.mend();
	w.loss = 0;
	w.busy = 1;
	for (int i = 0; i < 260; i++) {
		w.propose((int)w.below((uint32_t)w.size()), false);
		w.duties();
		w.pass(200 * MS);
	}
	RC_ASSERT(w.fenced() == 0U);
	for (int i = 0; i < (int)w.size(); i++) {
		RC_ASSERT(w.epoch_number(i) == w.newest());
		w.submit(i, 5000 + i, 0);
	}
	for (int i = 0; i < 10; i++) {
		w.duties();
		w.pass(200 * MS);
	}
	for (int i = 0; i < (int)w.size(); i++)
		RC_ASSERT(w.granted(5000 + i));
	RC_ASSERT(w.fault == "");
}

uint64_t any_seed()
{
	const int ALL_BITS = 100; // the size at which integers are any

	return *rc::gen::noShrink(
		rc::gen::resize(ALL_BITS, rc::gen::arbitrary<uint64_t>()));
}

void test_once()
{
	g_assert_true(rc::check("an id runs at most once, told truthfully",
				[] { run_world(any_seed(), false); }));
}

void test_once_wild()
{
	g_assert_true(rc::check("also when the list becomes anything",
				[] { run_world(any_seed(), true); }));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/once", test_once);
	g_test_add_func("/claim/once-wild", test_once_wild);
	return g_test_run();
}
