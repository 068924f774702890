// Properties of claims on a small network in memory: messages are lost,
// delayed, repeated and reordered, entries crash, pause and are cut off,
// clocks run at different rates, the list of entries changes at any moment.
#include <rapidcheck.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "claim.h"
}

namespace
{

const int64_t MS = 1000, SEC = 1000 * MS;
const int64_t WINDOW = 20 * SEC;
const int ZONES = 3;

claim_limits_t limits()
{
	claim_limits_t l = claim_limits_default;

	l.window_us = WINDOW;
	l.confirm_us = SEC;
	l.store_us = 10 * SEC;
	l.hold_us = 500 * MS;
	l.lag_us = 2 * SEC;
	l.tombstone_us = 3 * SEC;
	l.max_records = 400;
	l.answer_bytes = 2000;
	return l;
}

struct Entry {
	std::string id, zone;
	uint64_t incarnation = 1;
	claim_table_t *table = nullptr;
	bool up = true, paused = false, store = true;
	int side = 0; // of a partition
	int64_t offset = 0;
	double rate = 1.0;
	uint64_t attempts = 0;
};

struct Request {
	int entry;
	uint64_t incarnation;
	int key;
	int64_t submitted;
	claim_holder_t holder;
	claim_epoch_t *epoch; // its strings are the holder's
	unsigned step = 0;    // of the answer that is waited for
	int rounds = 0;
	bool over = false, ran = false, granted = false;
};

struct Event {
	int64_t at;
	uint64_t order;
	int entry; // it waits while this one is paused; -1 for none
	std::function<void()> run;
	bool operator<(const Event &o) const
	{
		return at != o.at ? at > o.at : order > o.order;
	}
};

class World
{
      public:
	World(uint64_t seed, int entries) : rng{ seed }
	{
		ctx = talloc_new(nullptr);
		for (int i = 0; i < entries; i++) {
			Entry e;

			e.id = "entry-" + std::to_string(i);
			e.zone = "z" + std::to_string(i % ZONES);
			e.offset = below(1000) * SEC + SEC;
			e.rate = 0.993 + 0.014 * base_rng_unit(&rng);
			all.push_back(e);
			boot(i);
		}
	}
	~World()
	{
		for (auto &e : all)
			talloc_free(e.table);
		talloc_free(ctx);
	}

	std::string fault; // the first broken promise
	int ran = 0, refused_not_run = 0, epochs = 0, unknown = 0;
	double loss = 0.05;
	uint32_t calm = 16; // the more, the fewer failures
	double busy = 1;    // with hearing of a change

	uint32_t below(uint32_t n)
	{
		return base_rng_below(&rng, n);
	}
	bool chance(double p)
	{
		return base_rng_unit(&rng) < p;
	}
	size_t size() const
	{
		return all.size();
	}
	Entry &entry(int i)
	{
		return all[i];
	}
	int64_t local(int i) const
	{
		return all[i].offset + (int64_t)(now * all[i].rate);
	}

	void boot(int i)
	{
		claim_table_opts_t opts = { all[i].id.c_str(),
					    all[i].incarnation, limits() };

		talloc_free(all[i].table);
		all[i].table = claim_table_new(nullptr, &opts);
		all[i].up = true;
		all[i].paused = false;
	}
	void crash(int i)
	{
		for (auto &r : requests)
			if (r->entry == i)
				r->over = true;
		all[i].incarnation++;
		boot(i);
	}

	// Let time pass, with what is due in it.
	void pass(int64_t us)
	{
		int64_t end = now + us;

		while (!events.empty() && events.top().at <= end) {
			Event e = events.top();

			events.pop();
			now = std::max(now, e.at);
			if (e.entry >= 0 && all[e.entry].paused)
				later(e.entry, 200 * MS, e.run);
			else
				e.run();
		}
		now = end;
	}
	void later(int entry, int64_t us, std::function<void()> run)
	{
		events.push(Event{ now + us, ++order, entry, run });
	}
	// A message from one entry to another.
	void send(int from, int to, std::function<void()> run)
	{
		int copies = chance(loss) ? 0 : chance(loss) ? 2 : 1;

		if (all[from].side != all[to].side)
			return;
		while (copies--)
			later(to,
			      chance(2 * loss) ? below(3000) * MS
					       : (1 + below(20)) * MS,
			      run);
	}

	void submit(int at, int key, uint64_t ticket)
	{
		auto r = std::make_shared<Request>();
		claim_action_t action;
		claim_limits_t l = limits();
		claim_request_t request = {};
		std::string name = std::to_string(key);

		r->entry = at;
		r->incarnation = all[at].incarnation;
		r->key = key;
		r->submitted = now;
		request.id =
			claim_id(BASE_STR("caller"), base_str(name.c_str()));
		request.attempt = { claim_entry_digest(
					    base_str(all[at].id.c_str()),
					    all[at].incarnation),
				    ++all[at].attempts };
		request.caller = (uint64_t)key % 3;
		request.ticket = ticket;
		request.arrived = local(at);
		requests.push_back(r);
		r->epoch = epoch_of(at);
		claim_holder_start(&r->holder, &request, r->epoch, &l,
				   local(at), &action);
		act(r, action);
	}
	void ask_at(int i, int key, int64_t after)
	{
		later(i, after, [=] { submit(i, key, 0); });
	}
	// A new key, asked for at several entries now and a little later.
	void burst()
	{
		int key = ++bursts + BURSTS;

		for (int n = 0; n < 4; n++)
			ask_at((int)below((uint32_t)all.size()), key,
			       n * below(2000) * MS);
	}
	// What the store knows, read by entry "i" and heard a little later.
	void read_store(int i)
	{
		Entry &e = all[i];
		int64_t asked = local(i);
		uint64_t incarnation = e.incarnation;

		if (!e.store || e.paused || !record)
			return;
		claim_epoch_t *seen = claim_epoch_dup(ctx, record);
		later(i, below(300) * MS, [=] {
			if (all[i].incarnation != incarnation)
				return;
			claim_table_adopt(all[i].table, seen, asked, local(i));
			claim_table_confirm(all[i].table, seen->number, asked);
		});
	}
	void hello(int from, int to)
	{
		int64_t asked = local(from);
		uint64_t incarnation = all[from].incarnation;

		if (all[from].paused)
			return;
		send(from, to, [=] {
			claim_contact_t said =
				claim_table_hello(all[to].table, local(to));
			claim_epoch_t *epoch = epoch_of(to);

			said.entry = talloc_strdup(ctx, said.entry);
			send(to, from, [=] {
				claim_contact_t c = said;

				if (all[from].incarnation != incarnation)
					return;
				c.asked_at = asked;
				if (epoch)
					claim_table_adopt(all[from].table,
							  epoch, 0,
							  local(from));
				claim_table_contact(all[from].table, &c,
						    local(from));
			});
		});
	}
	void pull(int i)
	{
		claim_pull_t pull;
		uint64_t incarnation = all[i].incarnation;

		if (all[i].paused ||
		    !claim_table_next_pull(all[i].table, below(CLAIM_SLICES),
					   local(i), &pull))
			return;
		std::string source = pull.source.id;
		pull.source.id = talloc_strdup(ctx, pull.source.id);
		int to = atoi(source.c_str() + 6);
		if (chance(loss) || all[to].side != all[i].side) {
			claim_table_import(all[i].table, &pull, nullptr,
					   local(i));
			return;
		}
		send(i, to, [=] {
			auto batch = std::make_shared<claim_batch_t>();

			claim_table_export(all[to].table, &pull, local(to),
					   batch.get());
			auto text =
				std::make_shared<std::vector<std::string>>();
			for (uint32_t n = 0; n < batch->n; n++)
				text->push_back(std::string(
					batch->copies[n].answer.len
						? batch->copies[n].answer.ptr
						: "",
					batch->copies[n].answer.len));
			send(to, i, [=] {
				for (uint32_t n = 0; n < batch->n; n++)
					if (batch->copies[n].answer.len)
						batch->copies[n].answer.ptr =
							(*text)[n].c_str();
				if (all[i].incarnation == incarnation)
					claim_table_import(all[i].table, &pull,
							   batch.get(),
							   local(i));
			});
		});
	}
	// "wild": any list at all, as if "i" saw nothing but that.
	void propose(int i, bool wild)
	{
		const claim_epoch_t *mine = claim_table_epoch(all[i].table);
		std::vector<claim_member_t> live, registered;
		claim_epoch_t *next;

		if (all[i].paused || !all[i].store ||
		    (record && (!mine || mine->number != record->number)))
			return;
		for (size_t j = 0; j < all.size(); j++) {
			const Entry &e = all[j];
			claim_member_t m = { e.id.c_str(), e.zone.c_str(),
					     e.incarnation };

			if (wild ? chance(0.5)
				 : !e.paused && e.side == all[i].side)
				live.push_back(m);
			if (e.store)
				registered.push_back(m);
		}
		claim_view_t view{};

		view.live = { live.data(), live.size() };
		view.registered = { registered.data(), registered.size() };
		view.since = INT64_MIN / 2;
		if (wild && mine && live.size()) {
			claim_epoch_t e = { mine->number + 1,
					    claim_table_settled(all[i].table,
								local(i)),
					    view.live, mine->now };

			next = claim_epoch_dup(ctx, &e);
		} else {
			next = claim_propose(ctx, all[i].table, &view, !record,
					     local(i));
		}
		if (!next)
			return;
		record = next; // the compare-and-swap
		epochs++;
		if (!chance(0.2)) // or its answer is lost
			read_store(i);
	}
	// What was paused or cut off is not any more.
	void mend()
	{
		for (size_t i = 0; i < all.size(); i++) {
			all[i].paused = false;
			all[i].store = true;
			all[i].side = 0;
		}
	}
	void duties()
	{
		for (size_t i = 0; i < all.size(); i++) {
			if (chance(busy))
				read_store((int)i);
			if (chance(busy))
				hello((int)i, (int)below((uint32_t)all.size()));
			pull((int)i);
			pull((int)i);
		}
	}
	unsigned fenced()
	{
		unsigned n = 0;

		for (size_t i = 0; i < all.size(); i++)
			n += claim_table_stats(all[i].table, local((int)i))
				     .fenced;
		return n;
	}
	bool granted(int key) const
	{
		for (auto &r : requests)
			if (r->key == key && r->granted)
				return true;
		return false;
	}
	uint64_t newest() const
	{
		return record ? record->number : 0;
	}
	uint64_t epoch_number(int i) const
	{
		const claim_epoch_t *e = claim_table_epoch(all[i].table);

		return e ? e->number : 0;
	}

      private:
	static const int BURSTS = 10000;
	base_rng_t rng;
	int bursts = 0;
	void *ctx;
	int64_t now = 1000 * SEC;
	uint64_t order = 0;
	std::vector<Entry> all;
	std::vector<std::shared_ptr<Request>> requests;
	std::priority_queue<Event> events;
	claim_epoch_t *record = nullptr;	  // in the store
	std::map<int, std::vector<int64_t>> runs; // submission of each run

	claim_epoch_t *epoch_of(int i)
	{
		const claim_epoch_t *epoch = claim_table_epoch(all[i].table);

		return epoch ? claim_epoch_dup(ctx, epoch) : nullptr;
	}
	int index_of(const claim_member_t &m)
	{
		return atoi(m.id + 6);
	}
	bool dead(const std::shared_ptr<Request> &r)
	{
		return r->over || all[r->entry].incarnation != r->incarnation;
	}
	void act(std::shared_ptr<Request> r, const claim_action_t &action)
	{
		if (action.todo == CLAIM_DO_TAKE) {
			ask(r, action);
		} else if (action.todo == CLAIM_DO_RUN) {
			r->granted = true;
			if (!claim_holder_may_write(&r->holder,
						    local(r->entry)))
				return;
			// Between this check and the first byte anything
			// may happen, a pause above all.
			later(r->entry, below(50) * MS, [=] { run(r); });
		} else {
			tell(r, action);
		}
	}
	void ask(std::shared_ptr<Request> r, const claim_action_t &action)
	{
		unsigned step = ++r->step;
		int to = index_of(action.target), from = r->entry;
		claim_take_t take = action.take;

		send(from, to, [=] {
			claim_reply_t reply;

			claim_table_take(all[to].table, &take, local(to),
					 &reply);
			std::string answer(reply.answer.ptr ? reply.answer.ptr
							    : "",
					   reply.answer.len);
			bool kept = reply.answer.ptr != nullptr;
			send(to, from, [=] {
				claim_reply_t r2 = reply;

				r2.answer = { kept ? answer.c_str() : nullptr,
					      answer.size() };
				reply_to(r, step, r2);
			});
		});
		later(from, 400 * MS, [=] {
			claim_reply_t lost = {};

			lost.verdict = CLAIM_LOST;
			reply_to(r, step, lost);
		});
	}
	void reply_to(std::shared_ptr<Request> r, unsigned step,
		      const claim_reply_t &reply)
	{
		claim_action_t action;

		if (dead(r) || r->step != step)
			return;
		r->step++;
		claim_holder_reply(&r->holder, &reply, local(r->entry),
				   &action);
		act(r, action);
	}
	void release(const claim_action_t &action,
		     const std::shared_ptr<Request> &r)
	{
		for (unsigned i = 0; i < action.releases; i++) {
			int to = index_of(action.release[i]);
			claim_request_t q = r->holder.request;

			send(r->entry, to, [=] {
				claim_table_release(all[to].table, q.id,
						    q.attempt, local(to));
			});
		}
	}
	void tell(std::shared_ptr<Request> r, const claim_action_t &action)
	{
		if (action.again && r->rounds++ < 3 && chance(0.7)) {
			r->step++;
			later(r->entry, 300 * MS, [=] {
				claim_action_t next;

				if (dead(r))
					return;
				r->epoch = epoch_of(r->entry);
				claim_holder_again(&r->holder, r->epoch,
						   local(r->entry), &next);
				act(r, next);
			});
			return;
		}
		r->over = true;
		release(action, r);
		if (action.tell == CLAIM_TELL_NOT_RUN)
			not_run(r);
		else
			unknown++;
		if (action.tell == CLAIM_TELL_REPLAY &&
		    (runs[r->key].empty() ||
		     strtol(action.answer.ptr, nullptr, 10) != r->key))
			fault = "replayed an answer that was not given";
	}
	void not_run(std::shared_ptr<Request> r)
	{
		refused_not_run++;
		for (int64_t at : runs[r->key])
			if (std::abs(at - r->submitted) <= WINDOW)
				fault = "not run was told of key " +
					std::to_string(r->key) + ", which ran";
	}
	void run(std::shared_ptr<Request> r)
	{
		claim_action_t action;

		if (dead(r))
			return;
		r->over = true;
		if (chance(0.2)) { // no endpoint: nothing was written
			claim_holder_cancel(&r->holder, &action);
			release(action, r);
			not_run(r);
			return;
		}
		for (int64_t at : runs[r->key])
			if (std::abs(at - r->submitted) <= WINDOW)
				fault = "key " + std::to_string(r->key) +
					" ran twice";
		runs[r->key].push_back(r->submitted);
		ran++;
		if (chance(0.3)) // the endpoint's answer is lost
			return;
		claim_member_t targets[2];
		unsigned n = claim_holder_targets(&r->holder, targets);
		claim_request_t q = r->holder.request;
		for (unsigned i = 0; i < n; i++) {
			int to = index_of(targets[i]);
			std::string text = std::to_string(r->key) + " done";

			send(r->entry, to, [=] {
				claim_finish_t f = { q.id,
						     q.attempt,
						     q.print,
						     q.caller,
						     { text.c_str(),
						       text.size() } };

				claim_table_finish(all[to].table, &f,
						   local(to));
			});
		}
	}
};

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

// Whatever ids come, the memory stays bounded and no young claim goes.
void test_flood()
{
	g_assert_true(rc::check("a flood of ids evicts no claim", [] {
		claim_limits_t l = limits();
		claim_table_opts_t opts = { "e", 1, l };
		claim_table_t *table = claim_table_new(nullptr, &opts);
		claim_member_t me = { "e", "z", 1 };
		claim_epoch_t epoch = { 1, 0, { &me, 1 }, { nullptr, 0 } };
		auto callers = *rc::gen::container<std::vector<uint8_t>>(
			2000, rc::gen::inRange<uint8_t>(0, 4));
		std::vector<claim_take_t> held;
		int64_t now = SEC;

		claim_table_adopt(table, &epoch, now, now);
		for (size_t i = 0; i < callers.size(); i++) {
			claim_take_t take = {};
			claim_reply_t reply;

			take.id = claim_id(base_str("c"),
					   { (const char *)&i, sizeof(i) });
			take.attempt = { 1, i + 1 };
			take.caller = callers[i];
			take.epoch = 1;
			now += MS;
			claim_table_confirm(table, 1, now);
			claim_table_take(table, &take, now, &reply);
			if (reply.verdict == CLAIM_GRANTED)
				held.push_back(take);
			else
				RC_ASSERT(reply.verdict == CLAIM_FULL);
		}
		RC_ASSERT(claim_table_stats(table, now).records <=
			  l.max_records);
		RC_ASSERT(held.size() >= l.max_records / 2);
		for (claim_take_t take : held) {
			claim_reply_t reply;

			take.attempt.entry = 2;
			claim_table_take(table, &take, now, &reply);
			RC_ASSERT(reply.verdict == CLAIM_HELD);
		}
		talloc_free(table);
	}));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/once", test_once);
	g_test_add_func("/claim/once-wild", test_once_wild);
	g_test_add_func("/claim/flood", test_flood);
	return g_test_run();
}
