#include <rapidcheck.h>
#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "jobs.h"
}

namespace
{

const int64_t second = 1000000;

typedef std::pair<std::string, int64_t> task_id; /* job and attempt */

struct fake_task {
	int worker;
	int64_t incarnation;
	jobs_res_t share, full;
	int64_t begin;
	int order = 0; /* jobs_event_t that an order asked for; 0: none */
};

struct fake_report {
	task_id id;
	fake_task task;
	int event;
	int64_t as_of;
	uint32_t x;
};

struct fake_worker {
	int64_t incarnation = 1;
	bool broken = false;
	bool reachable = true;
	bool drains = false; /* the worker is to drain */
	bool empty = false;  /* it drains and the holder has no tasks there */
	std::set<task_id> fenced; /* reported gone: a late start is ignored */
};

struct fake_job {
	std::string team;
	bool repeatable, poison, cancelled;
	int ran = 0;	  /* number of tasks that started */
	int in_doubt = 0; /* start orders that were sent and not refused */
};

/*
 * A simulation of workers, a store and consecutive holders.  The script decides
 * which messages are lost, delayed or repeated.
 */
struct world {
	int64_t now = second;
	std::vector<fake_worker> workers;
	std::map<std::string, fake_job> jobs;
	std::map<task_id, fake_task> running;
	std::vector<jobs_order_t> starts; /* start orders in transit */
	std::vector<std::string> names;	  /* not used */
	std::map<std::string, std::string> store;
	std::vector<fake_report> sent_reports;
	bool within_shares = true; /* no task uses more than its share */
	/* Fate of the next commit: 0 done, 1 lost, 2 done but unknown. */
	int commit_fate = 0;
	struct holder *holder = nullptr;
	int64_t quota = 12000;
	jobs_res_t capacity = { { 8000, 8000, 2 } };
};

struct holder {
	world *w;
	void *ctx;
	jobs_t *core;
	bool fenced = false;
};

std::string text(base_str_t s)
{
	return std::string(s.ptr, s.len);
}

void check_load(holder *h)
{
	world *w = h->w;

	for (size_t i = 0; w->within_shares && i < w->workers.size(); i++) {
		std::string id = "w" + std::to_string(i);
		jobs_res_t taken, has;

		if (!jobs_worker_load(h->core, base_str(id.c_str()), &taken,
				      &has))
			continue;
		for (int k = 0; has.v[0] && k < JOBS_KIND_MAX; k++)
			RC_ASSERT(taken.v[k] <= has.v[k]);
	}
}

jobs_commit_t fake_commit(void *arg, const jobs_record_t *records, size_t n)
{
	holder *h = (holder *)arg;
	world *w = h->w;
	int commit_fate = w->commit_fate;

	if (w->holder != h) {
		h->fenced = true;
		return JOBS_COMMIT_FENCED;
	}
	w->commit_fate = 0;
	if (commit_fate == 1) /* nothing is written */
		return JOBS_COMMIT_UNKNOWN;
	for (size_t i = 0; i < n; i++) {
		char *json = jobs_record_print(nullptr, &records[i]);

		w->store[text(records[i].spec.id)] = json;
		talloc_free(json);
	}
	return commit_fate == 2 ? JOBS_COMMIT_UNKNOWN : JOBS_COMMIT_DONE;
}

void fake_start(void *arg, const jobs_order_t *order)
{
	holder *h = (holder *)arg;
	world *w = h->w;
	fake_job &job = w->jobs[text(order->job)];

	RC_ASSERT(!h->fenced);
	if (!job.repeatable)
		RC_ASSERT(job.in_doubt == 0);
	job.in_doubt++;
	for (size_t i = 0; w->holder == h && i < w->workers.size(); i++)
		RC_ASSERT(text(order->worker) != "w" + std::to_string(i) ||
			  !w->workers[i].empty);
	if (w->holder == h)
		check_load(h);
	w->starts.push_back(*order);
	w->starts.back().job = base_str(
		talloc_strndup(h->ctx, order->job.ptr, order->job.len));
	w->starts.back().worker = base_str(
		talloc_strndup(h->ctx, order->worker.ptr, order->worker.len));
}

void record_order(holder *h, const jobs_order_t *order, jobs_event_t event)
{
	task_id id = { text(order->job), order->attempt };
	auto it = h->w->running.find(id);

	RC_ASSERT(!h->fenced);
	if (it != h->w->running.end())
		it->second.order = event;
	else if (event == JOBS_EVENT_GONE)
		for (size_t i = 0; i < h->w->workers.size(); i++)
			if (text(order->worker) == "w" + std::to_string(i))
				h->w->workers[i].fenced.insert(id);
}

void fake_checkpoint(void *arg, const jobs_order_t *order)
{
	record_order((holder *)arg, order, JOBS_EVENT_CHECKPOINTED);
}

void fake_throttle(void *arg, const jobs_order_t *order)
{
	record_order((holder *)arg, order, JOBS_EVENT_THROTTLED);
}

void fake_resume(void *arg, const jobs_order_t *order)
{
	record_order((holder *)arg, order, JOBS_EVENT_RESUMED);
}

void fake_stop(void *arg, const jobs_order_t *order)
{
	record_order((holder *)arg, order, JOBS_EVENT_GONE);
}

const jobs_ops_t fake_ops = { fake_commit,   fake_start,  fake_checkpoint,
			      fake_throttle, fake_resume, fake_stop };

void report_worker(holder *h, size_t i)
{
	std::string id = "w" + std::to_string(i);
	fake_worker &w = h->w->workers[i];
	jobs_worker_info_t info = { base_str(id.c_str()), w.incarnation,
				    h->w->capacity, true };

	jobs_worker_seen(h->core, h->w->now, &info);
}

/* Pass the draining workers to the core, and note which of them are empty. */
void update_drains(holder *h)
{
	std::vector<std::string> ids;
	std::vector<jobs_drain_t> drains;
	world *w = h->w;

	for (size_t i = 0; i < w->workers.size(); i++)
		ids.push_back("w" + std::to_string(i));
	for (size_t i = 0; i < ids.size(); i++)
		if (w->workers[i].drains)
			drains.push_back({ base_str(ids[i].c_str()),
					   w->workers[i].incarnation });
	jobs_drain(h->core, w->now, drains.data(), drains.size());
	for (size_t i = 0; i < ids.size(); i++) {
		fake_worker &worker = w->workers[i];

		worker.empty =
			worker.drains &&
			!jobs_worker_tasks(h->core, base_str(ids[i].c_str()));
	}
	for (auto &it : w->running)
		RC_ASSERT(!w->workers[(size_t)it.second.worker].empty);
}

/* Create a new holder and restore it from the store. */
void take_over(world *w, void *ctx)
{
	holder *h = new (talloc_size(ctx, sizeof(holder))) holder();
	jobs_options_t options = { &fake_ops, h, 10 * second };
	GError *err = nullptr;

	h->w = w;
	h->ctx = ctx;
	h->core = jobs_new(ctx, &options);
	w->holder = h;
	for (int t = 0; t < 3; t++) {
		std::string team = "t" + std::to_string(t);

		jobs_team_set(h->core, base_str(team.c_str()),
			      { { w->quota, w->quota, 4 } });
	}
	for (auto &it : w->store) {
		jobs_record_t record;
		base_str_t json = { it.second.data(), it.second.size() };

		RC_ASSERT(jobs_record_load(ctx, json, &record, &err));
		RC_ASSERT(jobs_restore(h->core, w->now, &record, &err));
	}
	update_drains(h);
	for (size_t i = 0; i < w->workers.size(); i++)
		report_worker(h, i);
}

void submit(world *w, uint32_t x)
{
	std::string id = "j" + std::to_string(w->jobs.size());
	std::string team = "t" + std::to_string(x % 3);
	std::string family = "f" + std::to_string(x / 3 % 4);
	jobs_spec_t spec = {};
	GError *err = nullptr;

	spec.id = base_str(id.c_str());
	spec.team = base_str(team.c_str());
	spec.family = base_str(family.c_str());
	spec.urgency = (int)(x / 12 % 4);
	spec.repeatable = x / 48 % 3 != 0;
	spec.checkpoints = x / 144 % 2;
	spec.throttles = x / 288 % 2;
	spec.declared.v[JOBS_CORES] = 100 + x / 576 % 5000;
	spec.declared.v[JOBS_MEMORY] = 100 + x / 7 % 5000;
	spec.declared.v[JOBS_ACCELERATORS] = x % 11 == 0;
	w->jobs[id] = { team, spec.repeatable, x % 13 == 0, false };
	RC_ASSERT(jobs_submit(w->holder->core, w->now, &spec, &err));
	RC_ASSERT(!jobs_submit(w->holder->core, w->now, &spec, &err));
	g_clear_error(&err);
}

void deliver_report(world *w, const fake_report &f)
{
	std::string worker = "w" + std::to_string(f.task.worker);
	jobs_report_t r = {};

	r.worker = base_str(worker.c_str());
	r.incarnation = f.task.incarnation;
	r.job = base_str(f.id.first.c_str());
	r.attempt = f.id.second;
	r.event = (jobs_event_t)f.event;
	r.as_of = f.as_of;
	r.run_us = f.as_of - f.task.begin;
	for (int k = 0; k < JOBS_ACCELERATORS; k++)
		r.peak.v[k] = w->within_shares
				      ? f.task.share.v[k] * (f.x % 100) / 100
				      : 1 + f.x % 6000;
	jobs_report(w->holder->core, w->now, &r);
}

void send_report(world *w, const task_id &id, const fake_task &t, int event,
		 uint32_t x)
{
	w->sent_reports.push_back({ id, t, event, w->now, x });
	/* One report in 32 is lost. */
	if (x % 32 != 1)
		deliver_report(w, w->sent_reports.back());
}

/* Deliver a start order to its worker, or lose it. */
void deliver_start(world *w, uint32_t x)
{
	if (w->starts.empty())
		return;
	size_t at = x % w->starts.size();
	jobs_order_t o = w->starts[at];
	int n = std::stoi(text(o.worker).substr(1));
	fake_worker &worker = w->workers[(size_t)n];
	task_id id = { text(o.job), o.attempt };
	fake_task task = { n, o.incarnation, o.share, o.share, w->now };

	w->starts.erase(w->starts.begin() + (long)at);
	if (x / 16 % 8 == 0 || !worker.reachable ||
	    worker.incarnation != o.incarnation || worker.fenced.count(id))
		return;
	if (x / 128 % 16 == 0) {
		worker.fenced.insert(id);
		w->jobs[id.first].in_doubt--;
		send_report(w, id, task, JOBS_EVENT_REFUSED, 0);
		return;
	}
	w->running[id] = task;
	w->jobs[id.first].ran++;
	if (!w->jobs[id.first].repeatable)
		RC_ASSERT(w->jobs[id.first].ran == 1);
	send_report(w, id, task, JOBS_EVENT_RUNNING, x);
}

/* A running task reports, carries out its order, ends or fails. */
void task_event(world *w, uint32_t x)
{
	if (w->running.empty())
		return;
	auto it = w->running.begin();
	std::advance(it, x % w->running.size());
	task_id id = it->first;
	fake_task task = it->second;
	fake_worker &worker = w->workers[(size_t)task.worker];
	int event = JOBS_EVENT_RUNNING;

	if (!worker.reachable)
		return;
	if (task.order)
		event = task.order;
	else if (x / 64 % 3 == 0)
		event = worker.broken || w->jobs[id.first].poison
				? JOBS_EVENT_FAILED
				: JOBS_EVENT_ENDED;
	it->second.order = 0;
	if (event == JOBS_EVENT_THROTTLED)
		it->second.share.v[JOBS_CORES] /= 8;
	else if (event == JOBS_EVENT_RESUMED)
		it->second.share = task.full;
	if (event != JOBS_EVENT_RUNNING && event != JOBS_EVENT_THROTTLED &&
	    event != JOBS_EVENT_RESUMED) {
		worker.fenced.insert(id);
		w->running.erase(it);
	}
	send_report(w, id, task, event, x / 256);
}

void restart(world *w, uint32_t x)
{
	size_t i = x % w->workers.size();

	w->workers[i].incarnation++;
	for (auto it = w->running.begin(); it != w->running.end();)
		it = it->second.worker == (int)i ? w->running.erase(it)
						 : std::next(it);
	report_worker(w->holder, i);
}

void cancel(world *w, uint32_t x)
{
	if (w->jobs.empty())
		return;
	auto it = w->jobs.begin();
	std::advance(it, x % w->jobs.size());
	for (uint32_t i = 0; i < 1 + x / 64 % 5 && it != w->jobs.end();
	     i++, ++it) {
		jobs_cancel(w->holder->core, w->now,
			    base_str(it->first.c_str()), nullptr);
		it->second.cancelled = true;
	}
}

/*
 * Running tasks fit on their workers and in the quotas: no share is allocated
 * twice, also after a lease has lapsed.
 */
void check_workers(world *w)
{
	std::vector<jobs_res_t> used(w->workers.size(), jobs_res_t{});
	std::map<std::string, jobs_res_t> teams;

	for (auto &it : w->running) {
		const std::string &team = w->jobs[it.first.first].team;

		for (int k = 0; w->within_shares && k < JOBS_KIND_MAX; k++) {
			int64_t &u = used[(size_t)it.second.worker].v[k];
			int64_t &t = teams[team].v[k];

			u += it.second.share.v[k];
			t += it.second.share.v[k];
			RC_ASSERT(u <= w->capacity.v[k]);
			RC_ASSERT(k == JOBS_ACCELERATORS || t <= w->quota);
			RC_ASSERT(t <= jobs_team_used(w->holder->core,
						      base_str(team.c_str()))
					       .v[k]);
		}
	}
	for (auto &it : teams)
		for (int k = 0; k < JOBS_ACCELERATORS; k++)
			RC_ASSERT(jobs_team_used(w->holder->core,
						 base_str(it.first.c_str()))
					  .v[k] <= w->quota);
}

void run_action(world *w, void *ctx, uint32_t x)
{
	uint32_t y = x / 32;

	switch (x % 32) {
	case 0 ... 7:
		submit(w, y);
		break;
	case 8 ... 13:
		deliver_start(w, y);
		break;
	case 14 ... 21:
		task_event(w, y);
		break;
	case 22:
		restart(w, y);
		break;
	case 23:
		cancel(w, y);
		break;
	case 24:
		w->commit_fate = (int)(y % 3);
		break;
	case 25:
		/* The old holder was only paused and makes one more step. */
		if (y % 2) {
			holder *old = w->holder;

			take_over(w, ctx);
			jobs_step(old->core, w->now);
		}
		break;
	case 26:
		w->workers[y % w->workers.size()].reachable = y / 8 % 2;
		break;
	case 27:
		/* Repeat a report, late or from an old incarnation. */
		if (!w->sent_reports.empty())
			deliver_report(
				w, w->sent_reports[y % w->sent_reports.size()]);
		break;
	case 28:
		w->workers[y % w->workers.size()].drains = y / 8 % 2;
		break;
	default:
		w->now += (int64_t)(y % 4000) * (y % 7 ? 1000 : 4000);
		jobs_step(w->holder->core, w->now);
		check_load(w->holder);
	}
	check_workers(w);
	update_drains(w->holder);
}

/* Step for a long time with all workers reachable and no losses. */
void run_until_settled(world *w)
{
	for (auto &worker : w->workers)
		worker.reachable = true, worker.drains = false;
	update_drains(w->holder);
	w->commit_fate = 0;
	for (int i = 0; i < 400; i++) {
		std::vector<task_id> ids;

		w->now += second;
		jobs_step(w->holder->core, w->now);
		for (auto &it : w->running)
			ids.push_back(it.first);
		while (!w->starts.empty())
			deliver_start(w, 16 + 128);
		for (size_t j = 0; j < ids.size(); j++)
			if (w->running.count(ids[j]))
				task_event(w, (uint32_t)std::distance(
						      w->running.begin(),
						      w->running.find(ids[j])) +
						      (i % 3 ? 64 : 0));
		check_workers(w);
	}
	/* After a restart no worker has tasks of its old incarnation. */
	for (size_t i = 0; i < w->workers.size(); i++)
		restart(w, (uint32_t)i);
	for (int i = 0; i < 400; i++) {
		w->now += second;
		jobs_step(w->holder->core, w->now);
		while (!w->starts.empty())
			deliver_start(w, 16 + 128);
		while (!w->running.empty())
			task_event(w, 0);
	}
}

void check_final_states(world *w)
{
	for (auto &it : w->jobs) {
		jobs_record_t r;
		char *explanation;

		/*
		 * The job was not committed before the holder changed, so it
		 * was never accepted.
		 */
		if (!jobs_record(w->holder->core, base_str(it.first.c_str()),
				 &r)) {
			RC_ASSERT(!w->store.count(it.first));
			RC_ASSERT(it.second.ran == 0);
			continue;
		}
		explanation = jobs_explain(w->holder->core, nullptr, w->now,
					   r.spec.id);
		RC_ASSERT(explanation != nullptr);
		if (r.state == JOBS_QUEUED)
			RC_LOG() << explanation << "\n";
		RC_ASSERT(r.state >= JOBS_HELD ||
			  r.reason == JOBS_REASON_OVER_QUOTA ||
			  r.reason == JOBS_REASON_TOO_LARGE);
		RC_ASSERT(!(it.second.poison && r.state == JOBS_DONE));
		talloc_free(explanation);
	}
}

void run(bool within_shares)
{
	std::vector<uint32_t> script =
		*rc::gen::scale(6.0, rc::gen::container<std::vector<uint32_t>>(
					     rc::gen::arbitrary<uint32_t>()));
	void *ctx = talloc_new(nullptr);
	world w;

	w.within_shares = within_shares;
	w.workers.resize(1 + script.size() % 5);
	w.quota = script.size() % 2 ? 12000 : 60000;
	for (size_t i = 0; i < w.workers.size(); i++)
		w.workers[i].broken = i == 3;
	take_over(&w, ctx);
	for (uint32_t x : script)
		run_action(&w, ctx, x);
	run_until_settled(&w);
	check_final_states(&w);
	talloc_free(ctx);
}

/* A corrupted record is refused, or restores to a state that can step. */
void damaged_record()
{
	g_assert_true(rc::check("damaged records are refused or harmless", [] {
		void *ctx = talloc_new(nullptr);
		world w;
		jobs_record_t record;
		GError *err = nullptr;
		char *json, *again;

		w.within_shares = false;
		w.workers.resize(2);
		take_over(&w, ctx);
		submit(&w, *rc::gen::arbitrary<uint32_t>());
		jobs_step(w.holder->core, w.now);
		RC_ASSERT(jobs_record(w.holder->core, BASE_STR("j0"), &record));
		json = jobs_record_print(ctx, &record);
		RC_ASSERT(jobs_record_load(ctx, base_str(json), &record, &err));
		again = jobs_record_print(ctx, &record);
		RC_ASSERT(std::string(json) == again);
		for (int i = *rc::gen::inRange(1, 4); i > 0; i--)
			json[*rc::gen::inRange<size_t>(0, strlen(json))] =
				"0129-{}[],:\"xe"[*rc::gen::inRange(0, 14)];
		w.store.clear();
		take_over(&w, ctx);
		if (!jobs_record_load(ctx, base_str(json), &record, &err) ||
		    !jobs_restore(w.holder->core, w.now, &record, &err))
			RC_ASSERT(err != nullptr);
		g_clear_error(&err);
		w.now += 60 * second;
		RC_ASSERT(jobs_step(w.holder->core, w.now));
		talloc_free(ctx);
	}));
}

void tasks_within_shares()
{
	g_assert_true(rc::check("jobs end, shares and quotas hold",
				[] { run(true); }));
}

void tasks_outgrow_shares()
{
	g_assert_true(rc::check("jobs end though tasks outgrow their shares",
				[] { run(false); }));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/jobs/prop/record", damaged_record);
	g_test_add_func("/jobs/prop/tame", tasks_within_shares);
	g_test_add_func("/jobs/prop/wild", tasks_outgrow_shares);
	return g_test_run();
}
