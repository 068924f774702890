// A simulated network of entries, for property tests of claims.  Messages are
// lost, delayed, duplicated and reordered; entries crash, pause and are
// partitioned; clocks run at different rates; the list of entries changes at
// any time.
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
	bool up = true, paused = false, store_reachable = true;
	int partition_side = 0; // messages pass only within one side
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
	claim_epoch_t *epoch;	   // the holder refers to its strings
	unsigned awaited_step = 0; // number of the awaited reply
	int rounds = 0;
	bool is_over = false, ran = false, granted = false;
};

struct Event {
	int64_t at;
	uint64_t order;
	int entry; // the event waits while this entry is paused; -1: none
	std::function<void()> run;
	bool operator<(const Event &o) const
	{
		return at != o.at ? at > o.at : order > o.order;
	}
};

class Simulation
{
      public:
	Simulation(uint64_t seed, int n_entries) : rng{ seed }
	{
		ctx = talloc_new(nullptr);
		for (int i = 0; i < n_entries; i++) {
			Entry e;

			e.id = "entry-" + std::to_string(i);
			e.zone = "z" + std::to_string(i % ZONES);
			e.offset = below(1000) * SEC + SEC;
			e.rate = 0.993 + 0.014 * base_rng_unit(&rng);
			entries.push_back(e);
			boot(i);
		}
	}
	~Simulation()
	{
		for (auto &e : entries)
			talloc_free(e.table);
		talloc_free(ctx);
	}

	std::string violation; // set when a guarantee was broken
	int ran = 0, reported_not_run = 0, epochs = 0, unknown = 0;
	double loss = 0.05;
	uint32_t action_range = 16; // a higher value makes failures rarer
	double sync_chance = 1; // probability that an entry learns of a change

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
		return entries.size();
	}
	Entry &entry(int i)
	{
		return entries[i];
	}
	int64_t local(int i) const
	{
		return entries[i].offset + (int64_t)(now * entries[i].rate);
	}

	void boot(int i)
	{
		claim_table_opts_t opts = { entries[i].id.c_str(),
					    entries[i].incarnation, limits() };

		talloc_free(entries[i].table);
		entries[i].table = claim_table_new(nullptr, &opts);
		entries[i].up = true;
		entries[i].paused = false;
	}
	void crash(int i)
	{
		for (auto &r : requests)
			if (r->entry == i)
				r->is_over = true;
		entries[i].incarnation++;
		boot(i);
	}

	// Advance the clock by "us" and run the events that are due.
	void advance(int64_t us)
	{
		int64_t end = now + us;

		while (!events.empty() && events.top().at <= end) {
			Event e = events.top();

			events.pop();
			now = std::max(now, e.at);
			if (e.entry >= 0 && entries[e.entry].paused)
				schedule(e.entry, 200 * MS, e.run);
			else
				e.run();
		}
		now = end;
	}
	void schedule(int entry, int64_t us, std::function<void()> run)
	{
		events.push(Event{ now + us, ++order, entry, run });
	}
	// Send a message, which may be lost, duplicated or delayed.
	void send(int from, int to, std::function<void()> run)
	{
		int copies = chance(loss) ? 0 : chance(loss) ? 2 : 1;

		if (entries[from].partition_side != entries[to].partition_side)
			return;
		while (copies--)
			schedule(to,
				 chance(2 * loss) ? below(3000) * MS
						  : (1 + below(20)) * MS,
				 run);
	}

	void submit(int at, int key, uint64_t ticket);
	void submit_later(int i, int key, int64_t after)
	{
		schedule(i, after, [=] { submit(i, key, 0); });
	}
	// Request a new key at several entries, now and a little later.
	void submit_burst()
	{
		int key = ++burst_count + FIRST_BURST_KEY;

		for (int n = 0; n < 4; n++)
			submit_later((int)below((uint32_t)entries.size()), key,
				     n * below(2000) * MS);
	}
	// Entry "i" reads the epoch record; the store answers a little later.
	void read_store(int i);
	void exchange_hello(int from, int to);
	void pull(int i);
	// Entry "i" proposes a list; with "random_list" a random one, as if it
	// saw only those entries.
	void propose(int i, bool random_list);
	// End all pauses, partitions and outages of the store.
	void heal()
	{
		for (size_t i = 0; i < entries.size(); i++) {
			entries[i].paused = false;
			entries[i].store_reachable = true;
			entries[i].partition_side = 0;
		}
	}
	void run_periodic()
	{
		for (size_t i = 0; i < entries.size(); i++) {
			if (chance(sync_chance))
				read_store((int)i);
			if (chance(sync_chance))
				exchange_hello(
					(int)i,
					(int)below((uint32_t)entries.size()));
			pull((int)i);
			pull((int)i);
		}
	}
	unsigned fenced()
	{
		unsigned n = 0;

		for (size_t i = 0; i < entries.size(); i++)
			n += claim_table_stats(entries[i].table, local((int)i))
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
	uint64_t newest_epoch() const
	{
		return record ? record->number : 0;
	}
	uint64_t epoch_number(int i) const
	{
		const claim_epoch_t *e = claim_table_epoch(entries[i].table);

		return e ? e->number : 0;
	}

      private:
	static const int FIRST_BURST_KEY = 10000;
	base_rng_t rng;
	int burst_count = 0;
	void *ctx;
	int64_t now = 1000 * SEC;
	uint64_t order = 0;
	std::vector<Entry> entries;
	std::vector<std::shared_ptr<Request>> requests;
	std::priority_queue<Event> events;
	claim_epoch_t *record = nullptr; // the epoch record in the store
	std::map<int, std::vector<int64_t>> runs; // submission times, by key

	claim_epoch_t *epoch_of(int i)
	{
		const claim_epoch_t *epoch =
			claim_table_epoch(entries[i].table);

		return epoch ? claim_epoch_dup(ctx, epoch) : nullptr;
	}
	int index_of(const claim_member_t &m)
	{
		return atoi(m.id + 6);
	}
	bool is_dead(const std::shared_ptr<Request> &r)
	{
		return r->is_over ||
		       entries[r->entry].incarnation != r->incarnation;
	}
	void handle_action(std::shared_ptr<Request> r,
			   const claim_action_t &action);
	void send_take(std::shared_ptr<Request> r,
		       const claim_action_t &action);
	void reply_to(std::shared_ptr<Request> r, unsigned step,
		      const claim_reply_t &reply);
	void release(const claim_action_t &action,
		     const std::shared_ptr<Request> &r);
	void handle_result(std::shared_ptr<Request> r,
			   const claim_action_t &action);
	void check_not_run(std::shared_ptr<Request> r);
	void run_request(std::shared_ptr<Request> r);
};

} // namespace

#include "claim_world_list.h"
#include "claim_world_run.h"

#endif
