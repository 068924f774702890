#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <jansson.h>

#include "fleet_world.h"

/*
 * Runs a fleet of random shape through a script of faults.  Two holders of the
 * lease take turns, and one of them may carry out its decisions late.  The
 * records and the instances are checked after every turn.
 */
namespace
{
struct Shape {
	size_t zones, racks, per_rack, pools;
	bool by_zone;	 /* zones fail, not racks; pools survive a zone */
	bool one_domain; /* at most one failure domain is down at a time */
};

struct Event {
	unsigned kind, arg;
};

std::ostream &operator<<(std::ostream &os, const Event &e)
{
	return os << '{' << e.kind % 16 << ", " << e.arg << '}';
}

struct Rec {
	std::string id, pool;
	const world_inst_t *inst;
	fleet_state_t state;
	json_int_t seq;
};

struct Sim {
	world_t *w;
	Shape shape;
	std::vector<fleet_pool_t> pools;
	std::vector<std::string> names;
	fleet_t *holder[2];
	uint64_t token = 2;
	int active = 0;
	fleet_ops_t *delayed[2] = { nullptr, nullptr };
	std::set<size_t> failed, restarted;
	std::map<std::string, std::string> pool_of;
	std::map<std::string, world_inst_t *> inst;
	std::map<std::string, json_int_t> granted; /* maps ID@POOL to the seq */
	std::map<std::string, size_t> cases; /* how often each case occurred */
	std::vector<Rec> recs; /* records in the store at "recs_rev" */
	std::map<std::string, std::pair<int64_t, std::vector<Rec>>> shards;
	std::map<std::string, json_int_t> grants;
	size_t jobs_entry = 0;		/* entry that holds the jobs lease */
	std::vector<fleet_idle_t> idle; /* its last stored report */
	size_t jobs_turns = 0;
	int64_t recs_rev = -1;
};

struct Up {
	size_t up = 0, worst = 0;
	std::map<std::string, size_t> domain;
	void add(const std::string &where)
	{
		up++;
		worst = std::max(worst, ++domain[where]);
	}
};

bool make_pools(Sim &s)
{
	size_t n = s.w->n, each = n / s.shape.pools;
	size_t domains =
		s.shape.by_zone ? s.shape.zones : s.shape.zones * s.shape.racks;
	std::vector<fleet_rack_t> racks;
	fleet_refusal_t *out;

	for (size_t r = 0; r < s.shape.zones * s.shape.racks; r++)
		racks.push_back({ (uint32_t)(r / s.shape.racks),
				  (uint32_t)s.shape.per_rack });
	for (size_t i = 0; i < s.shape.pools; i++)
		s.names.push_back("pool-" + std::to_string(i));
	for (size_t i = 0; i < s.shape.pools; i++) {
		size_t loss = (each + domains - 1) / domains;
		size_t drain = 1 + each / 8;

		if (each < loss + drain + 1)
			return false;
		s.pools.push_back({ s.names[i].c_str(), (uint32_t)each, 8,
				    (uint32_t)(each - loss - drain), true,
				    s.shape.by_zone, i == 0, false,
				    (uint32_t)(i % 3 * drain) });
	}
	fleet_site_t site = { s.pools.data(), s.pools.size(), racks.data(),
			      racks.size(), s.shape.zones };
	size_t refused = fleet_budget_check(nullptr, &site, &out);
	for (size_t i = 0; i < refused; i++)
		if (out[i].pool < s.pools.size())
			s.pools[out[i].pool].min_up = out[i].min_up;
	talloc_free(out);
	if (refused) {
		refused = fleet_budget_check(nullptr, &site, &out);
		talloc_free(out);
	}
	return !refused;
}

fleet_t *make_holder(Sim &s)
{
	fleet_opts_t opts = {};

	opts.weights = { 0.5, 0.0, 0.5 };
	opts.move_delay = 2 * BASE_SEC;
	opts.alive_for = s.shape.one_domain ? 10 * BASE_SEC : 1;
	fleet_t *fleet = fleet_new(s.w, &opts);
	fleet_configure(fleet, s.pools.data(), s.pools.size());
	return fleet;
}

bool all_in_service(Sim &s)
{
	fleet_inst_view_t view;
	fleet_t *fleet = s.holder[s.active];

	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		if (view.state != FLEET_FREE &&
		    (view.state != FLEET_SERVING || !view.up))
			return false;
	}
	return true;
}

/*
 * Returns whether each instance that was restarted after a failure has been
 * verified in its new incarnation.
 */
bool restarts_done(Sim &s)
{
	fleet_inst_view_t view;
	fleet_t *fleet = s.holder[s.active];

	world_read_all(s.w, fleet);
	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		const world_inst_t *inst = s.inst.at(view.id);

		if (!s.restarted.count((size_t)(inst - s.w->insts)))
			continue;
		if (view.state == FLEET_FAILED ||
		    view.state == FLEET_VERIFYING || view.inc != inst->inc)
			return false;
	}
	return true;
}

void fail_domain(Sim &s, unsigned arg)
{
	const world_inst_t &chosen = s.w->insts[arg % s.w->n];

	if (s.shape.one_domain && (!s.failed.empty() || !restarts_done(s)))
		return;
	s.cases["failures"]++;
	s.cases["failures during reboots"] +=
		std::any_of(s.w->insts, s.w->insts + s.w->n,
			    [](const world_inst_t &i) { return i.rebooting; });
	for (size_t i = 0; i < s.w->n; i++) {
		world_inst_t &inst = s.w->insts[i];
		bool same = s.shape.by_zone ? !strcmp(inst.zone, chosen.zone)
					    : !strcmp(inst.rack, chosen.rack);

		if (!same)
			continue;
		inst.up = inst.rebooting = inst.has_task = false;
		s.failed.insert(i);
	}
}

void recover_domain(Sim &s)
{
	if (!s.failed.empty())
		s.restarted = s.failed;
	for (size_t i : s.failed) {
		s.w->insts[i].inc++;
		s.w->insts[i].up = true;
	}
	s.failed.clear();
}

void order(Sim &s, unsigned arg, fleet_purpose_t purpose)
{
	world_kv_t *kv = world_find(s.w, FLEET_ORDERS_KEY);
	const char *old = kv ? kv->value : "";
	char *value = fleet_order_edit(s.w, base_str(old),
				       s.w->insts[arg % s.w->n].id, purpose,
				       s.w->now);

	world_cas(s.w, FLEET_ORDERS_KEY, value, kv ? kv->rev : 0);
}

void wave_verb(Sim &s, fleet_wave_verb_t verb)
{
	fleet_t *fleet = s.holder[s.active];
	fleet_wave_t next;

	world_read_all(s.w, fleet);
	if (fleet_wave_operator(fleet_wave(fleet), verb, s.w->now, &next))
		world_cas(s.w, FLEET_WAVE_KEY, fleet_wave_encode(s.w, &next),
			  fleet_wave(fleet)->rev);
}

/*
 * Starts and ends tasks by the records that the holder of the jobs lease has
 * read, which may be old.  Nothing starts or ends while the store is down.
 */
void step_jobs(Sim &s)
{
	const fleet_t *map = s.w->entries[s.jobs_entry].map;
	size_t jobs_turns = ++s.jobs_turns;
	bool is_stored = jobs_turns % 4; /* else the jobs report is lost */

	if (s.w->store_down)
		return;
	if (is_stored)
		s.idle.clear();
	for (size_t i = 0; i < fleet_n_instances(map); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(map, i, &view);
		if (view.state == FLEET_FREE)
			continue;
		world_inst_t *inst = s.inst.at(view.id);
		if (inst->has_task)
			inst->has_task = (i + jobs_turns) % 3 != 0;
		else if (view.state == FLEET_SERVING && inst->up &&
			 view.inc == inst->inc)
			inst->has_task = (i + jobs_turns) % 5 == 0;
		if (view.state == FLEET_CORDONED && !inst->has_task &&
		    is_stored)
			s.idle.push_back({ inst->id, view.seq });
		s.cases["tasks on draining instances"] +=
			view.state == FLEET_CORDONED && inst->has_task;
	}
}

void update_holder(Sim &s, fleet_t *fleet)
{
	world_read_all(s.w, fleet);
	world_feed(s.w, fleet);
	world_confirm(s.w, fleet);
	fleet_set_idle(fleet, true, s.idle.data(), s.idle.size());
}

/* The holder decides and is paused; then the other one takes over. */
void take_over(Sim &s)
{
	talloc_free(s.delayed[s.active]);
	update_holder(s, s.holder[s.active]);
	s.delayed[s.active] = fleet_step(s.holder[s.active], nullptr, s.w->now);
	s.active = !s.active;
	fleet_set_fencing_token(s.holder[s.active], ++s.token);
}

void run_delayed_ops(Sim &s)
{
	fleet_ops_t *delayed = s.delayed[!s.active];

	for (size_t i = 0; delayed && i < delayed->n; i++)
		world_apply_op(s.w, s.holder[!s.active], &delayed->ops[i],
			       WORLD_NO_FAULT);
	talloc_free(delayed);
	s.delayed[!s.active] = nullptr;
}

/* An operator takes one executor from a pool and gives it to another. */
void reconfigure(Sim &s, unsigned arg)
{
	fleet_pool_t &from = s.pools[arg % s.pools.size()];
	fleet_pool_t &to = s.pools[arg / 7 % s.pools.size()];

	if (&from == &to || from.min_up < 2)
		return;
	from.executors--;
	from.min_up--;
	to.executors++;
	for (fleet_t *fleet : s.holder)
		fleet_configure(fleet, s.pools.data(), s.pools.size());
}

void apply_event(Sim &s, const Event &e)
{
	switch (e.kind % 16) {
	case 0:
		fail_domain(s, e.arg);
		break;
	case 1:
		recover_domain(s);
		break;
	case 2:
		wave_verb(s, FLEET_WAVE_START);
		break;
	case 3:
		wave_verb(s, (fleet_wave_verb_t)(e.arg % FLEET_WAVE_VERB_MAX));
		break;
	case 4:
		order(s, e.arg, FLEET_FOR_HOLD);
		break;
	case 5:
		order(s, e.arg, FLEET_FOR_URGENT);
		break;
	case 6:
		order(s, e.arg, FLEET_FOR_NONE);
		break;
	case 7:
		take_over(s);
		break;
	case 8:
		run_delayed_ops(s);
		break;
	case 9:
		s.w->entries[e.arg % s.w->n_entries].stuck ^= true;
		break;
	case 10:
		s.w->store_down = !s.w->store_down;
		break;
	case 14:
		reconfigure(s, e.arg);
		break;
	case 15: /* the first report of a new holder replaces the old one */
		if (!s.w->store_down) {
			s.jobs_entry = e.arg % s.w->n_entries;
			s.idle.clear();
			step_jobs(s);
		}
		break;
	case 11: /* demand that causes moves */
		for (int i = 0; i < 50; i++)
			fleet_add_demand(s.holder[s.active],
					 s.pools[e.arg % s.pools.size()].name,
					 e.arg % 97,
					 s.w->now + i * 60 * BASE_SEC);
		break;
	default:
		world_tick(s.w, (e.arg % 400) * BASE_SEC);
		break;
	}
}

std::string name_of(json_t *obj, const char *key)
{
	return json_string_value(json_object_get(obj, key));
}

std::map<std::string, json_int_t> read_grants(Sim &s)
{
	std::map<std::string, json_int_t> granted;

	for (size_t k = 0; k < s.w->n_kv; k++) {
		const world_kv_t &kv = s.w->kv[k];
		json_t *root, *obj;
		size_t i;

		if (!g_str_has_prefix(kv.key, FLEET_BUDGET_PREFIX))
			continue;
		root = json_loads(kv.value, 0, nullptr);
		json_array_foreach(json_object_get(root, "grants"), i, obj)
			granted[name_of(obj, "id") + "@" +
				(kv.key + strlen(FLEET_BUDGET_PREFIX))] =
				json_integer_value(json_object_get(obj, "seq"));
		json_decref(root);
	}
	return granted;
}

std::vector<Rec> read_shard(Sim &s, const char *value)
{
	json_t *root = json_loads(value, 0, nullptr), *rec;
	std::vector<Rec> recs;
	const char *id;

	json_object_foreach(json_object_get(root, "instances"), id, rec)
		recs.push_back(
			{ id, name_of(rec, "pool"), s.inst.at(id),
			  fleet_state_parse(name_of(rec, "state").c_str()),
			  json_integer_value(json_object_get(rec, "seq")) });
	json_decref(root);
	return recs;
}

/* Decodes only the shards that were written since the last call. */
std::vector<Rec> read_recs(Sim &s)
{
	std::vector<Rec> recs;

	for (size_t k = 0; k < s.w->n_kv; k++) {
		const world_kv_t &kv = s.w->kv[k];

		if (!g_str_has_prefix(kv.key, FLEET_POOLS_PREFIX))
			continue;
		auto &shard = s.shards[kv.key];
		if (shard.first != kv.rev)
			shard = { kv.rev, read_shard(s, kv.value) };
		recs.insert(recs.end(), shard.second.begin(),
			    shard.second.end());
	}
	return recs;
}

/* Checks one record against the grants and the pool that it was in before. */
void audit_rec(Sim &s, const Rec &rec, std::map<std::string, Up> &up)
{
	auto grant = s.grants.find(rec.id + "@" + rec.pool);
	bool open = grant != s.grants.end() && grant->second == rec.seq;

	if (s.pool_of.count(rec.id) && s.pool_of[rec.id] != rec.pool) {
		s.cases["moves"]++;
		world_check_not_routed(s.w, rec.id.c_str(), "move");
		RC_ASSERT(!rec.inst->has_task);
	}
	if (rec.state == FLEET_CORDONED || rec.state == FLEET_DRAINED ||
	    rec.state == FLEET_REBOOTING) {
		RC_ASSERT(grant != s.grants.end());
		RC_ASSERT(grant->second < rec.seq);
	}
	if (rec.state == FLEET_SERVING && rec.inst->up &&
	    (s.shape.one_domain || !open))
		up[rec.pool].add(s.shape.by_zone ? rec.inst->zone
						 : rec.inst->rack);
}

bool newly_granted(const Sim &s, const std::string &pool)
{
	for (const auto &grant : s.grants)
		if (!s.granted.count(grant.first) &&
		    g_str_has_suffix(grant.first.c_str(), ("@" + pool).c_str()))
			return true;
	return false;
}

/*
 * Checks all invariants on the records and the instances.  "grants_current"
 * says that new grants were made on the current state.
 */
void audit(Sim &s, bool settled, bool grants_current)
{
	std::map<std::string, std::string> pool_of;
	std::map<std::string, Up> up;

	if (s.recs_rev != s.w->rev) {
		s.recs = read_recs(s);
		s.grants = read_grants(s);
		s.recs_rev = s.w->rev;
	}
	for (const Rec &rec : s.recs) {
		RC_ASSERT(!pool_of.count(rec.id)); /* one record per instance */
		pool_of[rec.id] = rec.pool;
		audit_rec(s, rec, up);
	}
	s.pool_of = pool_of;
	RC_ASSERT(!s.w->violations);
	for (const fleet_pool_t &pool : s.pools) {
		const Up &now = up[pool.name];

		if (s.shape.one_domain && settled)
			RC_ASSERT(now.up >= pool.min_up);
		if (!s.shape.one_domain && grants_current &&
		    newly_granted(s, pool.name))
			RC_ASSERT(now.up >= pool.min_up + now.worst);
	}
	s.granted = s.grants;
}

void run_turn(Sim &s, unsigned fault, bool settled)
{
	fleet_t *fleet = s.holder[s.active];
	fleet_ops_t *ops;

	world_tick(s.w, BASE_SEC);
	step_jobs(s);
	update_holder(s, fleet);
	ops = fleet_step(fleet, nullptr, s.w->now);
	for (size_t i = 0; i < ops->n; i++)
		world_apply_op(s.w, fleet, &ops->ops[i],
			       fault % 11 == 1	 ? WORLD_LOST
			       : fault % 11 == 2 ? WORLD_REFUSED
						 : WORLD_NO_FAULT);
	talloc_free(ops);
	audit(s, settled, true);
}

/* Without faults, everything that has begun or is due must complete. */
void check_progress(Sim &s)
{
	bool done = false;

	s.w->store_down = false;
	recover_domain(s);
	for (size_t e = 0; e < s.w->n_entries; e++)
		s.w->entries[e].stuck = false;
	for (size_t i = 0; i < s.w->n; i++)
		order(s, (unsigned)i, FLEET_FOR_NONE);
	wave_verb(s, FLEET_WAVE_RESUME);
	wave_verb(s, FLEET_WAVE_START);
	for (int i = 0; i < 1500 && !done; i++) {
		world_tick(s.w, 9 * BASE_SEC);
		run_turn(s, 0, true);
		done = fleet_wave(s.holder[s.active])->state ==
			       FLEET_WAVE_NONE &&
		       all_in_service(s);
	}
	RC_ASSERT(done);
}

void run_script(const Shape &shape, const std::vector<Event> &script)
{
	Sim s;

	s.shape = shape;
	s.w = world_new(shape.zones, shape.racks, shape.per_rack);
	for (size_t i = 0; i < s.w->n; i++)
		s.inst[s.w->insts[i].id] = &s.w->insts[i];
	if (!make_pools(s)) {
		talloc_free(s.w);
		RC_DISCARD("no budget fits this shape");
	}
	s.w->boot = 20 * BASE_SEC;
	world_add_entry(s.w);
	world_add_entry(s.w);
	s.holder[0] = make_holder(s);
	s.holder[1] = make_holder(s);
	fleet_set_fencing_token(s.holder[0], 1);
	fleet_set_fencing_token(s.holder[1], 2);
	for (int i = 0; i < 8; i++)
		run_turn(s, 0, false);
	for (const Event &e : script) {
		apply_event(s, e);
		audit(s, true, false);
		for (unsigned i = 0; i < 1 + e.arg % 4; i++)
			run_turn(s, e.arg / 4, true);
	}
	check_progress(s);
	s.cases["reboots"] += s.w->reboots;
	s.cases["large"] += s.w->n > 400;
	for (const auto &seen : s.cases)
		RC_CLASSIFY(seen.second > 0, seen.first);
	for (fleet_ops_t *&delayed : s.delayed)
		talloc_free(delayed);
	talloc_free(s.w);
}

rc::Gen<Event> gen_event()
{
	return rc::gen::build<Event>(
		rc::gen::set(&Event::kind,
			     rc::gen::resize(rc::kNominalSize,
					     rc::gen::inRange(0u, 16u))),
		rc::gen::set(&Event::arg,
			     rc::gen::resize(rc::kNominalSize,
					     rc::gen::inRange(0u, 10000u))));
}

size_t pick_size(size_t low, size_t high)
{
	return *rc::gen::resize(rc::kNominalSize,
				rc::gen::inRange<size_t>(low, high + 1));
}

void check_random_shape(bool one_domain)
{
	Shape shape;
	int events = 24; /* at most */

	shape.zones = pick_size(1, 3);
	shape.racks = pick_size(3, 8);
	shape.per_rack = pick_size(1, 4);
	shape.pools = pick_size(1, 5);
	shape.by_zone = shape.zones > 2 && pick_size(0, 2) == 0;
	shape.one_domain = one_domain;
	if (pick_size(0, 59) == 0) { /* sometimes a large zone */
		shape.zones = 1;
		shape.racks = pick_size(100, 625);
		shape.per_rack = 4;
		shape.pools = shape.racks / 20;
		shape.by_zone = false;
		events = 6;
	}
	run_script(
		shape,
		*rc::gen::resize(events, rc::gen::container<std::vector<Event>>(
						 gen_event())));
}

void test_one_domain()
{
	g_assert_true(rc::check("the budget holds through the loss of any one "
				"domain at any moment",
				[] { check_random_shape(true); }));
}

void test_any_failures()
{
	g_assert_true(
		rc::check("each instance is in one pool, none is rebooted "
			  "or moved while in use, and all work completes, "
			  "whatever fails",
			  [] { check_random_shape(false); }));
}
} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/fleet/prop/one-domain", test_one_domain);
	g_test_add_func("/fleet/prop/any-failures", test_any_failures);
	return g_test_run();
}
