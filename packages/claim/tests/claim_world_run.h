// Simulation of claim_world.h: how entries process a request.
#ifndef CLAIM_WORLD_RUN_H
#define CLAIM_WORLD_RUN_H

#include "claim_world.h"

namespace
{

inline void Simulation::submit(int at, int key, uint64_t ticket)
{
	auto r = std::make_shared<Request>();
	claim_action_t action;
	claim_limits_t l = limits();
	claim_request_t request = {};
	std::string name = std::to_string(key);

	r->entry = at;
	r->incarnation = entries[at].incarnation;
	r->key = key;
	r->submitted = now;
	request.id = claim_id(BASE_STR("caller"), base_str(name.c_str()));
	request.attempt = { claim_entry_digest(base_str(entries[at].id.c_str()),
					       entries[at].incarnation),
			    ++entries[at].attempts };
	request.caller = (uint64_t)key % 3;
	request.ticket = ticket;
	request.arrived = local(at);
	requests.push_back(r);
	r->epoch = epoch_of(at);
	claim_holder_start(&r->holder, &request, r->epoch, &l, local(at),
			   &action);
	handle_action(r, action);
}

inline void Simulation::handle_action(std::shared_ptr<Request> r,
				      const claim_action_t &action)
{
	if (action.next == CLAIM_ACTION_TAKE) {
		send_take(r, action);
	} else if (action.next == CLAIM_ACTION_RUN) {
		r->granted = true;
		if (!claim_holder_may_write(&r->holder, local(r->entry)))
			return;
		// Between this check and the write of the first byte the entry
		// may pause, and anything else may happen.
		schedule(r->entry, below(50) * MS, [=] { run_request(r); });
	} else {
		handle_result(r, action);
	}
}

inline void Simulation::send_take(std::shared_ptr<Request> r,
				  const claim_action_t &action)
{
	unsigned step = ++r->awaited_step;
	int to = index_of(action.target), from = r->entry;
	claim_take_t take = action.take;

	send(from, to, [=] {
		claim_reply_t reply;

		claim_table_take(entries[to].table, &take, local(to), &reply);
		std::string answer(reply.answer.ptr ? reply.answer.ptr : "",
				   reply.answer.len);
		bool kept = reply.answer.ptr != nullptr;
		send(to, from, [=] {
			claim_reply_t received = reply;

			received.answer = { kept ? answer.c_str() : nullptr,
					    answer.size() };
			reply_to(r, step, received);
		});
	});
	schedule(from, 400 * MS, [=] {
		claim_reply_t lost = {};

		lost.verdict = CLAIM_LOST;
		reply_to(r, step, lost);
	});
}

inline void Simulation::reply_to(std::shared_ptr<Request> r, unsigned step,
				 const claim_reply_t &reply)
{
	claim_action_t action;

	if (is_dead(r) || r->awaited_step != step)
		return;
	r->awaited_step++;
	claim_holder_reply(&r->holder, &reply, local(r->entry), &action);
	handle_action(r, action);
}

inline void Simulation::release(const claim_action_t &action,
				const std::shared_ptr<Request> &r)
{
	for (unsigned i = 0; i < action.release_count; i++) {
		int to = index_of(action.release[i]);
		claim_request_t q = r->holder.request;

		send(r->entry, to, [=] {
			claim_table_release(entries[to].table, q.id, q.attempt,
					    local(to));
		});
	}
}

inline void Simulation::handle_result(std::shared_ptr<Request> r,
				      const claim_action_t &action)
{
	if (action.may_retry && r->rounds++ < 3 && chance(0.7)) {
		r->awaited_step++;
		schedule(r->entry, 300 * MS, [=] {
			claim_action_t next;

			if (is_dead(r))
				return;
			r->epoch = epoch_of(r->entry);
			claim_holder_retry(&r->holder, r->epoch,
					   local(r->entry), &next);
			handle_action(r, next);
		});
		return;
	}
	r->is_over = true;
	release(action, r);
	if (action.caller_outcome == CLAIM_OUTCOME_NOT_RUN)
		check_not_run(r);
	else
		unknown++;
	if (action.caller_outcome == CLAIM_OUTCOME_REPLAY &&
	    (runs[r->key].empty() ||
	     strtol(action.answer.ptr, nullptr, 10) != r->key))
		violation = "replayed an answer that no run has given";
}

inline void Simulation::check_not_run(std::shared_ptr<Request> r)
{
	reported_not_run++;
	for (int64_t at : runs[r->key])
		if (std::abs(at - r->submitted) <= WINDOW)
			violation = "reported not run for key " +
				    std::to_string(r->key) + ", which ran";
}

inline void Simulation::run_request(std::shared_ptr<Request> r)
{
	claim_action_t action;

	if (is_dead(r))
		return;
	r->is_over = true;
	if (chance(0.2)) { // no endpoint: nothing was written
		claim_holder_cancel(&r->holder, &action);
		release(action, r);
		check_not_run(r);
		return;
	}
	for (int64_t at : runs[r->key])
		if (std::abs(at - r->submitted) <= WINDOW)
			violation =
				"key " + std::to_string(r->key) + " ran twice";
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
					     q.fingerprint,
					     q.caller,
					     { text.c_str(), text.size() } };

			claim_table_finish(entries[to].table, &f, local(to));
		});
	}
}

} // namespace

#endif
