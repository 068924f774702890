// A small network in memory for properties of claims: messages are lost,
// delayed, repeated and reordered, entries crash, pause and are cut off,
// clocks run at different rates, the list of entries changes at any moment.
#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

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
	l.confirm_ttl_us = SEC;
	l.store_outage_us = 10 * SEC;
	l.round_us = 500 * MS;
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

	void submit(int at, int key, uint64_t ticket);
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
	void read_store(int i);
	void hello(int from, int to);
	void pull(int i);
	// "wild": any list at all, as if "i" saw nothing but that.
	void propose(int i, bool wild);
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
	void act(std::shared_ptr<Request> r, const claim_action_t &action);
	void ask(std::shared_ptr<Request> r, const claim_action_t &action);
	void reply_to(std::shared_ptr<Request> r, unsigned step,
		      const claim_reply_t &reply);
	void release(const claim_action_t &action,
		     const std::shared_ptr<Request> &r);
	void tell(std::shared_ptr<Request> r, const claim_action_t &action);
	void not_run(std::shared_ptr<Request> r);
	void run(std::shared_ptr<Request> r);
};

} // namespace

#include "claim_world_list.h"
#include "claim_world_run.h"

#endif
