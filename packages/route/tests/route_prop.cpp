#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base.h"
#include "route.h"
}

namespace
{

constexpr int kSlots = 2, kConnections = 8, kEntries = 2, kQueue = 6;
constexpr int kHeld = 40, kBytes = 60;

struct Req {
	route_request_t r{};
	int starts = 0, ends = 0;
	bool running = false, bytes_written = false;
	std::string endpoint;
	route_end_t end{};
};

struct Cores;

struct Core {
	Cores *all;
	route_t *route;
	std::vector<std::unique_ptr<Req>> reqs;
};

/* The cores of several entries that share endpoints, and the expected state. */
struct Cores {
	std::vector<std::unique_ptr<Core>> cores;
	std::map<std::string, int> running; /* per identity, all cores */
	std::set<std::string> leaving;
	int64_t now = BASE_SEC;
	uint64_t version = 0;
};

std::string identity(const route_endpoint_t *ep)
{
	return std::string(ep->instance) + "/" + ep->incarnation;
}

void on_start(void *arg, route_request_t *r, const route_endpoint_t *ep, int n)
{
	auto *core = static_cast<Core *>(arg);
	auto *req = static_cast<Req *>(r->data);

	RC_ASSERT(!req->running);
	RC_ASSERT(req->ends == 0);
	RC_ASSERT(!req->bytes_written || r->repeatable);
	RC_ASSERT(n == ++req->starts);
	RC_ASSERT(core->all->leaving.count(identity(ep)) == 0u);
	RC_ASSERT(core->all->now < r->deadline);
	req->running = true;
	req->endpoint = identity(ep);
	RC_ASSERT(++core->all->running[req->endpoint] <= kConnections);
}

void on_end(void *, route_request_t *r, const route_end_t *end)
{
	auto *req = static_cast<Req *>(r->data);

	RC_ASSERT(!req->running);
	RC_ASSERT(++req->ends == 1);
	req->end = *end;
	if (end->outcome == ROUTE_NOT_RUN)
		RC_ASSERT(!req->bytes_written);
	if (end->outcome != ROUTE_ANSWERED)
		RC_ASSERT(end->retry_after_ms > 0);
}

const route_ops_t ops = { on_start, on_end };

void configure(Core &core, int n_classes, int64_t now)
{
	const route_pool_conf_t pools[] = {
		{ "p", kSlots, kConnections, kEntries, kQueue, 40, 0.1 },
		{ "q", kSlots, kConnections, kEntries, kQueue, 40, 0.1 },
	};
	const route_class_conf_t classes[] = {
		{ "x", "p", 3, 1.0, true, BASE_SEC },
		{ "y", "q", 2, 2.0, true, BASE_SEC },
		{ "z", "p", 1, 1.0, true, BASE_SEC },
	};
	const route_caller_conf_t callers[] = { { "a", 1.0 }, { "b", 3.0 } };
	const route_conf_t conf = { pools,   2, classes, (size_t)n_classes,
				    callers, 2 };

	route_configure(core.route, &conf, now);
}

void replace_endpoints(Cores &all, Core &core, uint64_t version)
{
	static const char *const names[] = { "i0", "i1", "i2", "i3", "i4" };
	std::vector<route_endpoint_t> list;
	const char *incarnations[] = { "1", "2" };
	const char *zones[] = { "z0", "z1" };

	for (int i = 0; i < 5; i++) {
		if (*rc::gen::inRange(0, 8) == 0)
			continue;
		list.push_back({ names[i],
				 incarnations[*rc::gen::inRange(0, 2)],
				 zones[i % 2], "addr", 1, ROUTE_LIVE });
	}
	route_set_endpoints(core.route, base_str("p"), version, list.data(),
			    list.size(), all.now);
}

void submit(Cores &all, Core &core)
{
	auto req = std::make_unique<Req>();
	route_request_t *r = &req->r;

	r->class_id = *rc::gen::inRange(0, 3);
	r->caller_id = *rc::gen::inRange(0u, 3u);
	r->repeatable = *rc::gen::arbitrary<bool>();
	r->bytes = *rc::gen::inRange(0u, 12u);
	if (*rc::gen::inRange(0, 4) == 0)
		r->deadline = all.now + *rc::gen::inRange(-10, 100000);
	r->data = req.get();
	core.reqs.push_back(std::move(req));
	route_submit(core.route, r, all.now);
}

std::vector<Req *> open_requests(Core &core, bool running)
{
	std::vector<Req *> found;

	for (auto &req : core.reqs)
		if (req->ends == 0 && req->running == running)
			found.push_back(req.get());
	return found;
}

void finish(Cores &all, Core &core, Req *req, route_result_t result)
{
	req->running = false;
	all.running[req->endpoint]--;
	if (result != ROUTE_RESULT_REFUSED &&
	    result != ROUTE_RESULT_CONNECT_FAILED)
		req->bytes_written = true;
	route_done(core.route, &req->r, result, all.now);
}

void finish_any(Cores &all, Core &core)
{
	auto running = open_requests(core, true);

	if (running.empty())
		return;
	auto *req = running[*rc::gen::inRange<size_t>(0, running.size())];
	int draw = *rc::gen::inRange(0, 2 * ROUTE_RESULT_MAX);

	finish(all, core, req,
	       draw < ROUTE_RESULT_MAX ? (route_result_t)draw
				       : ROUTE_RESULT_ANSWERED);
}

void cancel(Cores &all, Core &core)
{
	if (core.reqs.empty())
		return;

	size_t i = *rc::gen::inRange<size_t>(0, core.reqs.size());
	Req *req = core.reqs[i].get();
	bool queued = req->ends == 0 && !req->running;

	RC_ASSERT(route_cancel(core.route, &req->r, all.now) == queued);
}

void mark_leaving(Cores &all)
{
	std::string instance = "i" + std::to_string(*rc::gen::inRange(0, 5));
	std::string incarnation = std::to_string(*rc::gen::inRange(1, 3));

	all.leaving.insert(instance + "/" + incarnation);
	for (auto &core : all.cores)
		route_mark_leaving(core->route, base_str(instance.c_str()),
				   base_str(incarnation.c_str()), all.now);
}

/* A probe of any incarnation must not make a leaving endpoint live again. */
void probe(Cores &all, Core &core)
{
	std::string instance = "i" + std::to_string(*rc::gen::inRange(0, 5));
	std::string incarnation = std::to_string(*rc::gen::inRange(1, 3));
	route_probe_result_t result = *rc::gen::inRange(0, 3) != 0
					      ? ROUTE_PROBE_OK
					      : ROUTE_PROBE_FAILED;

	route_probe_done(core.route, base_str(instance.c_str()),
			 base_str(incarnation.c_str()), result, all.now);
}

void check_pool(void *arg, const route_pool_stats_t *s)
{
	auto *held = static_cast<int *>(arg);

	RC_ASSERT(s->queued <= kQueue);
	RC_ASSERT(s->queued_bytes <= 40);
	RC_ASSERT(s->live == 0 || s->ejected < s->live);
	RC_ASSERT(s->running + s->queued >= 0);
	*held += s->running + s->queued;
}

void check(Cores &all)
{
	for (auto &core : all.cores) {
		int held = 0, open = 0;

		route_each_pool(core->route, all.now, check_pool, &held);
		for (auto &req : core->reqs)
			open += req->ends == 0;
		RC_ASSERT(held == open);
		RC_ASSERT(held <= kHeld);
	}
}

void step(Cores &all)
{
	Core &core = *all.cores[*rc::gen::inRange<size_t>(0, kEntries)];

	switch (*rc::gen::inRange(0, 18)) {
	case 0:
		all.version++;
		for (auto &each : all.cores)
			if (*rc::gen::inRange(0, 4) != 0)
				replace_endpoints(all, *each, all.version);
		break;
	case 1:
		mark_leaving(all);
		break;
	case 2:
		cancel(all, core);
		break;
	case 3:
		configure(core, *rc::gen::inRange(2, 4), all.now);
		break;
	case 4:
		replace_endpoints(all, core, all.version / 2);
		break;
	case 5:
	case 6:
		all.now += *rc::gen::inRange(0, 400000);
		route_tick(core.route, all.now);
		break;
	case 7:
	case 8:
	case 9:
	case 10:
		finish_any(all, core);
		break;
	case 11:
	case 12:
		probe(all, core);
		break;
	default:
		submit(all, core);
	}
	check(all);
}

void build(Cores &all)
{
	const route_entry_t entries[] = { { "e0", "z0" }, { "e1", "z1" } };

	for (int i = 0; i < kEntries; i++) {
		auto core = std::make_unique<Core>();
		route_options_t opt{};

		core->all = &all;
		opt.ops = &ops;
		opt.arg = core.get();
		opt.entry = entries[i].id;
		opt.zone = entries[i].zone;
		opt.seed = *rc::gen::arbitrary<uint64_t>();
		opt.held_max = kHeld;
		opt.bytes_max = kBytes;
		core->route = route_new(nullptr, &opt);
		configure(*core, 3, all.now);
		route_set_entries(core->route, entries, kEntries, all.now);
		replace_endpoints(all, *core, 1);
		all.cores.push_back(std::move(core));
	}
	all.version = 1;
}

/* Answers running requests and advances the clock until all have ended. */
void drain(Cores &all)
{
	for (auto &core : all.cores) {
		for (int round = 0; round < 1000; round++) {
			auto running = open_requests(*core, true);

			if (running.empty() &&
			    open_requests(*core, false).empty())
				break;
			for (auto *req : running)
				finish(all, *core, req, ROUTE_RESULT_ANSWERED);
			all.now += 100 * BASE_MS;
			route_tick(core->route, all.now);
		}
		for (auto &req : core->reqs)
			RC_ASSERT(req->ends == 1);
		talloc_free(core->route);
	}
}

void prop_interleavings()
{
	g_assert_true(
		rc::check("each request ends once, with a true outcome", [] {
			Cores all;
			int steps = *rc::gen::inRange(0, 150);

			build(all);
			for (int i = 0; i < steps; i++)
				step(all);
			drain(all);
		}));
}

/* Removes the requests that have ended. */
void drop_ended(Core &core)
{
	std::vector<std::unique_ptr<Req>> rest;

	for (auto &req : core.reqs)
		if (!req->ends)
			rest.push_back(std::move(req));
	core.reqs = std::move(rest);
}

void offer(Cores &all, Core &core, int cls, uint32_t caller)
{
	auto req = std::make_unique<Req>();

	req->r.class_id = cls;
	req->r.caller_id = caller;
	req->r.bytes = 1;
	req->r.deadline = all.now + 1000 * BASE_SEC;
	req->r.data = req.get();
	core.reqs.push_back(std::move(req));
	route_submit(core.route, &core.reqs.back()->r, all.now);
}

/*
 * One class submits one request per turn, the other floods.  The first must get
 * the lesser of its demand and half of what was served.
 */
void check_class_shares()
{
	const route_endpoint_t one[] = { { "i9", "1", "z0", "a", 1,
					   ROUTE_LIVE } };
	int flooder = *rc::gen::element(0, 2), served = 0;
	double owed = 0.0;
	Cores all;

	build(all);
	Core &core = *all.cores[0];
	route_set_endpoints(core.route, base_str("p"), 2, one, 1, all.now);
	for (int turn = 0; turn < 2000; turn++) {
		int total = 0;

		for (int k = 0; k < 6; k++)
			offer(all, core, flooder, 1);
		offer(all, core, 2 - flooder, 1);
		all.now += BASE_MS;
		for (auto *req : open_requests(core, true)) {
			served += req->r.class_id != flooder;
			total++;
			finish(all, core, req, ROUTE_RESULT_ANSWERED);
		}
		RC_ASSERT(total > 0);
		owed += std::min(1.0, total / 2.0);
		drop_ended(core);
	}
	/* The flooder may first use its saved credit: CREDIT_MAX is 16. */
	RC_ASSERT(served >= 0.99 * owed - 16);
	for (auto &each : all.cores)
		talloc_free(each->route);
}

void check_no_idle_slot(void *, const route_pool_stats_t *s)
{
	int most = std::max((int)s->limit, 1);

	if (s->queued > 0)
		RC_ASSERT(s->running >=
			  std::min(most, s->live * s->connection_limit));
}

/* While no endpoint fails, no request stays queued while a slot is free. */
void check_work_conserving()
{
	Cores all;

	build(all);
	Core &core = *all.cores[0];
	for (int i = *rc::gen::inRange(0, 300); i > 0; i--) {
		auto running = open_requests(core, true);

		switch (*rc::gen::inRange(0, 5)) {
		case 0:
			all.now += *rc::gen::inRange(0, 30000);
			route_tick(core.route, all.now);
			break;
		case 1:
		case 2:
			if (!running.empty())
				finish(all, core, running[0],
				       ROUTE_RESULT_ANSWERED);
			break;
		default:
			submit(all, core);
		}
		route_each_pool(core.route, all.now, check_no_idle_slot,
				nullptr);
	}
	drain(all);
}

/* Backlogged callers of a class are served in proportion to their weights. */
void check_caller_weights()
{
	int served[3] = { 0, 0, 0 };
	Cores all;

	build(all);
	Core &core = *all.cores[0];
	const route_endpoint_t one[] = { { "i9", "1", "z0", "a", 1,
					   ROUTE_LIVE } };

	route_set_endpoints(core.route, base_str("p"), 2, one, 1, all.now);
	for (int turn = 0; turn < 1000; turn++) {
		for (uint32_t caller = 0; caller < 3; caller++)
			for (int k = 0; k < 2; k++)
				offer(all, core, 0, caller);
		all.now += BASE_MS;
		for (auto *req : open_requests(core, true)) {
			served[req->r.caller_id]++;
			finish(all, core, req, ROUTE_RESULT_ANSWERED);
		}
		drop_ended(core);
	}
	/* The weights are 1, 1 and 3; at most six requests are queued. */
	RC_ASSERT(std::abs(served[0] - served[1]) <= 20);
	RC_ASSERT(served[2] >= 2 * served[0]);
	for (auto &each : all.cores)
		talloc_free(each->route);
}

void prop_conserving()
{
	g_assert_true(rc::check("no request queues while a slot is free",
				check_work_conserving));
}

void prop_callers()
{
	g_assert_true(rc::check("callers are served by weight",
				check_caller_weights));
}

void prop_shares()
{
	g_assert_true(rc::check("classes get their shares, the rest is lent",
				check_class_shares));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/interleavings", prop_interleavings);
	g_test_add_func("/route/conserving", prop_conserving);
	g_test_add_func("/route/callers", prop_callers);
	g_test_add_func("/route/shares", prop_shares);
	return g_test_run();
}
