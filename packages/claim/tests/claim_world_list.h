// The world of claim_world.h: how entries come to know the list of entries.
#ifndef CLAIM_WORLD_LIST_H
#define CLAIM_WORLD_LIST_H

#include "claim_world.h"

namespace
{

inline void World::read_store(int i)
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

inline void World::hello(int from, int to)
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
				claim_table_adopt(all[from].table, epoch, 0,
						  local(from));
			claim_table_contact(all[from].table, &c, local(from));
		});
	});
}

inline void World::pull(int i)
{
	claim_pull_t pull;
	uint64_t incarnation = all[i].incarnation;

	if (all[i].paused ||
	    !claim_table_next_pull(all[i].table, below(CLAIM_SLICES), local(i),
				   &pull))
		return;
	std::string source = pull.source.id;
	pull.source.id = talloc_strdup(ctx, pull.source.id);
	int to = atoi(source.c_str() + 6);
	if (chance(loss) || all[to].side != all[i].side) {
		claim_table_import(all[i].table, &pull, nullptr, local(i));
		return;
	}
	send(i, to, [=] {
		auto batch = std::make_shared<claim_batch_t>();

		claim_table_export(all[to].table, &pull, local(to),
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
			if (all[i].incarnation == incarnation)
				claim_table_import(all[i].table, &pull,
						   batch.get(), local(i));
		});
	});
}

inline void World::propose(int i, bool wild)
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

		if (wild ? chance(0.5) : !e.paused && e.side == all[i].side)
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
				    claim_table_settled(all[i].table, local(i)),
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

} // namespace

#endif
