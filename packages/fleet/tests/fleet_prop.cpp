#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <jansson.h>

#include "fleet_world.h"

/*
 * A fleet of random shape, two holders of the duty that take turns, one of
 * them with decisions that it carries out late, and a script of what goes
 * wrong.  After every turn the records and the machines are audited.
 */
namespace
{
struct Shape {
	size_t zones, racks, per_rack, pools;
	bool by_zone;	 /* budgets outlive a zone, and a zone fails */
	bool one_domain; /* one failure at a time; else any number */
};

struct Event {
	unsigned what, arg;
};

std::ostream &operator<<(std::ostream &os, const Event &e)
{
	return os << '{' << e.what % 16 << ", " << e.arg << '}';
}

struct Rec {
	std::string id, pool;
	const world_inst_t *inst;
	fleet_state_t state;
	json_int_t seq;
};

struct Scene {
	world_t *w;
	Shape shape;
	std::vector<fleet_pool_t> pools;
	std::vector<std::string> names;
	fleet_t *holder[2];
	uint64_t token = 2;
	int active = 0;
	fleet_ops_t *late[2] = { nullptr, nullptr };
	std::set<size_t> failed, healed;
	std::map<std::string, std::string> pool_of;
	std::map<std::string, world_inst_t *> inst;
	std::map<std::string, json_int_t> granted; /* ID@POOL to its seq */
	std::map<std::string, size_t> hits;	   /* what the script reached */
	std::vector<Rec> recs; /* of the store at "recs_rev" */
	std::map<std::string, std::pair<int64_t, std::vector<Rec>>> shards;
	std::map<std::string, json_int_t> grants;
	size_t jobs_at = 0;		/* the entry that decides on jobs */
	std::vector<fleet_idle_t> idle; /* as it wrote */
	size_t salt = 0;
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

bool make_pools(Scene &s)
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

fleet_t *make_holder(Scene &s)
{
	fleet_opts_t opts = {};

	opts.weights = { 0.5, 0.0, 0.5 };
	opts.hold = 2 * BASE_SEC;
	opts.fresh = s.shape.one_domain ? 10 * BASE_SEC : 1;
	fleet_t *fleet = fleet_new(s.w, &opts);
	fleet_configure(fleet, s.pools.data(), s.pools.size());
	return fleet;
}

bool in_service(Scene &s)
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

/* What failed before is whole again, as far as failures go. */
bool recovered(Scene &s)
{
	fleet_inst_view_t view;
	fleet_t *fleet = s.holder[s.active];

	world_read_all(s.w, fleet);
	for (size_t i = 0; i < fleet_n_instances(fleet); i++) {
		fleet_inst_view(fleet, i, &view);
		const world_inst_t *inst = s.inst.at(view.id);

		if (!s.healed.count((size_t)(inst - s.w->insts)))
			continue;
		if (view.state == FLEET_FAILED ||
		    view.state == FLEET_VERIFYING || view.inc != inst->inc)
			return false;
	}
	return true;
}

void fail_domain(Scene &s, unsigned arg)
{
	const world_inst_t &hit = s.w->insts[arg % s.w->n];

	if (s.shape.one_domain && (!s.failed.empty() || !recovered(s)))
		return;
	s.hits["failures"]++;
	s.hits["failures amid reboots"] +=
		std::any_of(s.w->insts, s.w->insts + s.w->n,
			    [](const world_inst_t &i) { return i.rebooting; });
	for (size_t i = 0; i < s.w->n; i++) {
		world_inst_t &inst = s.w->insts[i];
		bool same = s.shape.by_zone ? !strcmp(inst.zone, hit.zone)
					    : !strcmp(inst.rack, hit.rack);

		if (!same)
			continue;
		inst.up = inst.rebooting = inst.task = false;
		s.failed.insert(i);
	}
}

void heal(Scene &s)
{
	if (!s.failed.empty())
		s.healed = s.failed;
	for (size_t i : s.failed) {
		s.w->insts[i].inc++;
		s.w->insts[i].up = true;
	}
	s.failed.clear();
}

void order(Scene &s, unsigned arg, fleet_purpose_t purpose)
{
	world_kv_t *kv = world_find(s.w, FLEET_ORDERS_KEY);
	const char *old = kv ? kv->value : "";
	char *value = fleet_order_edit(s.w, base_str(old),
				       s.w->insts[arg % s.w->n].id, purpose,
				       s.w->now);

	world_cas(s.w, FLEET_ORDERS_KEY, value, kv ? kv->rev : 0);
}

void wave_verb(Scene &s, fleet_wave_verb_t verb)
{
	fleet_t *fleet = s.holder[s.active];
	fleet_wave_t next;

	world_read_all(s.w, fleet);
	if (fleet_wave_operator(fleet_wave(fleet), verb, s.w->now, &next))
		world_cas(s.w, FLEET_WAVE_KEY, fleet_wave_encode(s.w, &next),
			  fleet_wave(fleet)->rev);
}

/*
 * Tasks begin and end, as the entry that decides on jobs knows the records:
 * perhaps not those of now.  Nothing begins while the store is down.
 */
void jobs_turn(Scene &s)
{
	const fleet_t *map = s.w->entries[s.jobs_at].map;
	size_t salt = ++s.salt;
	bool tells = salt % 4; /* else what it writes is lost */

	if (s.w->down)
		return;
	if (tells)
		s.idle.clear();
	for (size_t i = 0; i < fleet_n_instances(map); i++) {
		fleet_inst_view_t view;

		fleet_inst_view(map, i, &view);
		if (view.state == FLEET_FREE)
			continue;
		world_inst_t *inst = s.inst.at(view.id);
		if (inst->task)
			inst->task = (i + salt) % 3 != 0;
		else if (view.state == FLEET_SERVING && inst->up &&
			 view.inc == inst->inc)
			inst->task = (i + salt) % 5 == 0;
		if (view.state == FLEET_CORDONED && !inst->task && tells)
			s.idle.push_back({ inst->id, view.seq });
		s.hits["tasks on what drains"] +=
			view.state == FLEET_CORDONED && inst->task;
	}
}

void feed(Scene &s, fleet_t *fleet)
{
	world_read_all(s.w, fleet);
	world_feed(s.w, fleet);
	world_confirm(s.w, fleet);
	fleet_tasks(fleet, true, s.idle.data(), s.idle.size());
}

/* The holder decides, is paused, and the other takes over. */
void take_over(Scene &s)
{
	talloc_free(s.late[s.active]);
	feed(s, s.holder[s.active]);
	s.late[s.active] = fleet_step(s.holder[s.active], nullptr, s.w->now);
	s.active = !s.active;
	fleet_fence(s.holder[s.active], ++s.token);
}

void resume_late(Scene &s)
{
	fleet_ops_t *late = s.late[!s.active];

	for (size_t i = 0; late && i < late->n; i++)
		world_do(s.w, s.holder[!s.active], &late->ops[i], WORLD_FINE);
	talloc_free(late);
	s.late[!s.active] = nullptr;
}

/* An operator takes one executor from a pool and gives it to another. */
void reconfigure(Scene &s, unsigned arg)
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

void happen(Scene &s, const Event &e)
{
	switch (e.what % 16) {
	case 0:
		fail_domain(s, e.arg);
		break;
	case 1:
		heal(s);
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
		resume_late(s);
		break;
	case 9:
		s.w->entries[e.arg % s.w->n_entries].stuck ^= true;
		break;
	case 10:
		s.w->down = !s.w->down;
		break;
	case 14:
		reconfigure(s, e.arg);
		break;
	case 15: /* a new holder's first word voids its predecessor's */
		if (!s.w->down) {
			s.jobs_at = e.arg % s.w->n_entries;
			s.idle.clear();
			jobs_turn(s);
		}
		break;
	case 11: /* demand that asks for moves */
		for (int i = 0; i < 50; i++)
			fleet_demand(s.holder[s.active],
				     s.pools[e.arg % s.pools.size()].name,
				     e.arg % 97, s.w->now + i * 60 * BASE_SEC);
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

std::map<std::string, json_int_t> read_grants(Scene &s)
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

std::vector<Rec> read_shard(Scene &s, const char *value)
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

/* Only what was written since is decoded again. */
std::vector<Rec> read_recs(Scene &s)
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

/* One record, against the grants and what was there before. */
void audit_rec(Scene &s, const Rec &rec, std::map<std::string, Up> &up)
{
	auto grant = s.grants.find(rec.id + "@" + rec.pool);
	bool open = grant != s.grants.end() && grant->second == rec.seq;

	if (s.pool_of.count(rec.id) && s.pool_of[rec.id] != rec.pool) {
		s.hits["moves"]++;
		world_must_be_idle(s.w, rec.id.c_str(), "move");
		RC_ASSERT(!rec.inst->task);
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

bool newly_granted(const Scene &s, const std::string &pool)
{
	for (const auto &grant : s.grants)
		if (!s.granted.count(grant.first) &&
		    g_str_has_suffix(grant.first.c_str(), ("@" + pool).c_str()))
			return true;
	return false;
}

/*
 * Every promise that records and machines show.  With "fresh" the grants that
 * are new were given on what is true now.
 */
void audit(Scene &s, bool settled, bool fresh)
{
	std::map<std::string, std::string> pool_of;
	std::map<std::string, Up> up;

	if (s.recs_rev != s.w->rev) {
		s.recs = read_recs(s);
		s.grants = read_grants(s);
		s.recs_rev = s.w->rev;
	}
	for (const Rec &rec : s.recs) {
		RC_ASSERT(!pool_of.count(rec.id)); /* one record only */
		pool_of[rec.id] = rec.pool;
		audit_rec(s, rec, up);
	}
	s.pool_of = pool_of;
	RC_ASSERT(!s.w->broken);
	for (const fleet_pool_t &pool : s.pools) {
		const Up &now = up[pool.name];

		if (s.shape.one_domain && settled)
			RC_ASSERT(now.up >= pool.min_up);
		if (!s.shape.one_domain && fresh && newly_granted(s, pool.name))
			RC_ASSERT(now.up >= pool.min_up + now.worst);
	}
	s.granted = s.grants;
}

void turn(Scene &s, unsigned fault, bool settled)
{
	fleet_t *fleet = s.holder[s.active];
	fleet_ops_t *ops;

	world_tick(s.w, BASE_SEC);
	jobs_turn(s);
	feed(s, fleet);
	ops = fleet_step(fleet, nullptr, s.w->now);
	for (size_t i = 0; i < ops->n; i++)
		world_do(s.w, fleet, &ops->ops[i],
			 fault % 11 == 1   ? WORLD_LOST
			 : fault % 11 == 2 ? WORLD_REFUSED
					   : WORLD_FINE);
	talloc_free(ops);
	audit(s, settled, true);
}

/* With nothing in the way all that was begun or due comes to its end. */
void must_progress(Scene &s)
{
	bool done = false;

	s.w->down = false;
	heal(s);
	for (size_t e = 0; e < s.w->n_entries; e++)
		s.w->entries[e].stuck = false;
	for (size_t i = 0; i < s.w->n; i++)
		order(s, (unsigned)i, FLEET_FOR_NONE);
	wave_verb(s, FLEET_WAVE_RESUME);
	wave_verb(s, FLEET_WAVE_START);
	for (int i = 0; i < 1500 && !done; i++) {
		world_tick(s.w, 9 * BASE_SEC);
		turn(s, 0, true);
		done = fleet_wave(s.holder[s.active])->state ==
			       FLEET_WAVE_NONE &&
		       in_service(s);
	}
	RC_ASSERT(done);
}

void run(const Shape &shape, const std::vector<Event> &script)
{
	Scene s;

	s.shape = shape;
	s.w = world_new(shape.zones, shape.racks, shape.per_rack);
	for (size_t i = 0; i < s.w->n; i++)
		s.inst[s.w->insts[i].id] = &s.w->insts[i];
	if (!make_pools(s)) {
		talloc_free(s.w);
		RC_DISCARD("no such budget");
	}
	s.w->boot = 20 * BASE_SEC;
	world_add_entry(s.w);
	world_add_entry(s.w);
	s.holder[0] = make_holder(s);
	s.holder[1] = make_holder(s);
	fleet_fence(s.holder[0], 1);
	fleet_fence(s.holder[1], 2);
	for (int i = 0; i < 8; i++)
		turn(s, 0, false);
	for (const Event &e : script) {
		happen(s, e);
		audit(s, true, false);
		for (unsigned i = 0; i < 1 + e.arg % 4; i++)
			turn(s, e.arg / 4, true);
	}
	must_progress(s);
	s.hits["reboots"] += s.w->reboots;
	s.hits["large"] += s.w->n > 400;
	for (const auto &hit : s.hits)
		RC_CLASSIFY(hit.second > 0, hit.first);
	for (fleet_ops_t *&late : s.late)
		talloc_free(late);
	talloc_free(s.w);
}

rc::Gen<Event> an_event()
{
	return rc::gen::build<Event>(
		rc::gen::set(&Event::what,
			     rc::gen::resize(rc::kNominalSize,
					     rc::gen::inRange(0u, 16u))),
		rc::gen::set(&Event::arg,
			     rc::gen::resize(rc::kNominalSize,
					     rc::gen::inRange(0u, 10000u))));
}

size_t within(size_t low, size_t high)
{
	return *rc::gen::resize(rc::kNominalSize,
				rc::gen::inRange<size_t>(low, high + 1));
}

void small(bool one_domain)
{
	Shape shape;
	int events = 24; /* at most */

	shape.zones = within(1, 3);
	shape.racks = within(3, 8);
	shape.per_rack = within(1, 4);
	shape.pools = within(1, 5);
	shape.by_zone = shape.zones > 2 && within(0, 2) == 0;
	shape.one_domain = one_domain;
	if (within(0, 59) == 0) { /* a large zone now and then */
		shape.zones = 1;
		shape.racks = within(100, 625);
		shape.per_rack = 4;
		shape.pools = shape.racks / 20;
		shape.by_zone = false;
		events = 6;
	}
	run(shape,
	    *rc::gen::resize(events, rc::gen::container<std::vector<Event>>(
					     an_event())));
}

void test_one_domain()
{
	g_assert_true(rc::check("the budget holds through the loss of any one "
				"domain at any moment",
				[] { small(true); }));
}

void test_any_failures()
{
	g_assert_true(rc::check("one pool, nothing under an entry's feet and "
				"progress, whatever fails",
				[] { small(false); }));
}
} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/fleet/prop/one-domain", test_one_domain);
	g_test_add_func("/fleet/prop/any-failures", test_any_failures);
	return g_test_run();
}
