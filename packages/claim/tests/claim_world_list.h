// Simulation of claim_world.h: how entries learn the list and copy slices.
#ifndef CLAIM_WORLD_LIST_H
#define CLAIM_WORLD_LIST_H

#include "claim_world.h"

namespace
{

inline void Simulation::read_store(int i)
{
	Entry &e = entries[i];
	int64_t asked = local(i);
	uint64_t incarnation = e.incarnation;

	if (!e.store_reachable || e.paused || !record)
		return;
	claim_epoch_t *seen = claim_epoch_dup(ctx, record);
	schedule(i, below(300) * MS, [=] {
		if (entries[i].incarnation != incarnation)
			return;
		claim_table_adopt(entries[i].table, seen, asked, local(i));
		claim_table_confirm(entries[i].table, seen->number, asked);
	});
}

inline void Simulation::exchange_hello(int from, int to)
{
	int64_t asked = local(from);
	uint64_t incarnation = entries[from].incarnation;

	if (entries[from].paused)
		return;
	send(from, to, [=] {
		claim_contact_t said =
			claim_table_hello(entries[to].table, local(to));
		claim_epoch_t *epoch = epoch_of(to);

		said.entry = talloc_strdup(ctx, said.entry);
		send(to, from, [=] {
			claim_contact_t c = said;

			if (entries[from].incarnation != incarnation)
				return;
			c.asked_at = asked;
			if (epoch)
				claim_table_adopt(entries[from].table, epoch, 0,
						  local(from));
			claim_table_contact(entries[from].table, &c,
					    local(from));
		});
	});
}

inline void Simulation::pull(int i)
{
	claim_pull_t pull;
	uint64_t incarnation = entries[i].incarnation;

	if (entries[i].paused ||
	    !claim_table_next_pull(entries[i].table, below(CLAIM_SLICES),
				   local(i), &pull))
		return;
	std::string source = pull.source.id;
	pull.source.id = talloc_strdup(ctx, pull.source.id);
	int to = atoi(source.c_str() + 6);
	if (chance(loss) ||
	    entries[to].partition_side != entries[i].partition_side) {
		claim_table_import(entries[i].table, &pull, nullptr, local(i));
		return;
	}
	send(i, to, [=] {
		auto batch = std::make_shared<claim_batch_t>();

		claim_table_export(entries[to].table, &pull, local(to),
				   batch.get());
		auto text = std::make_shared<std::vector<std::string>>();
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
			if (entries[i].incarnation == incarnation)
				claim_table_import(entries[i].table, &pull,
						   batch.get(), local(i));
		});
	});
}

inline void Simulation::propose(int i, bool random_list)
{
	const claim_epoch_t *mine = claim_table_epoch(entries[i].table);
	std::vector<claim_member_t> live, registered;
	claim_epoch_t *next;

	if (entries[i].paused || !entries[i].store_reachable ||
	    (record && (!mine || mine->number != record->number)))
		return;
	for (size_t j = 0; j < entries.size(); j++) {
		const Entry &e = entries[j];
		claim_member_t m = { e.id.c_str(), e.zone.c_str(),
				     e.incarnation };

		if (random_list
			    ? chance(0.5)
			    : !e.paused && e.partition_side ==
						   entries[i].partition_side)
			live.push_back(m);
		if (e.store_reachable)
			registered.push_back(m);
	}
	claim_view_t view{};

	view.live = { live.data(), live.size() };
	view.registered = { registered.data(), registered.size() };
	view.since = INT64_MIN / 2;
	if (random_list && mine && live.size()) {
		claim_epoch_t e = { mine->number + 1,
				    claim_table_settled(entries[i].table,
							local(i)),
				    view.live, mine->current_list };

		next = claim_epoch_dup(ctx, &e);
	} else {
		next = claim_propose(ctx, entries[i].table, &view, !record,
				     local(i));
	}
	if (!next)
		return;
	record = next; // the compare-and-swap succeeds
	epochs++;
	if (!chance(0.2)) // otherwise the answer is lost
		read_store(i);
}

} // namespace

#endif
