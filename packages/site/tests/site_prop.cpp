#include <algorithm>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "site.h"
}

namespace
{

int pick(int low, int high)
{
	return *rc::gen::inRange(low, high + 1);
}

/* Answers for zones of full racks; some budgets cannot be met. */
std::string random_answers()
{
	static const char *const survive[] = { "none", "rack", "zone" };
	int zones = pick(1, 4), pools = pick(1, 5), room = 0;
	int per_rack = pick(1, 4);
	std::ostringstream out;

	out << "{\"schema\":1,\"site\":\"s\",\"region\":\"r\",\"zones\":[";
	for (int z = 0; z < zones; z++) {
		int racks = pick(1, 6);

		room += racks * per_rack;
		out << (z ? "," : "") << "{\"name\":\"z" << z
		    << "\",\"racks\":" << racks
		    << ",\"workers\":" << racks * per_rack << "}";
	}
	out << "],\"workers\":{\"per_rack\":" << per_rack
	    << ",\"mixed_racks\":" << (pick(0, 1) ? "true" : "false")
	    << "},\"weights\":{\"buffer\":1,\"moves\":1,\"flood\":1},"
	    << "\"pools\":[";
	pools = std::min(pools, room);
	for (int p = 0; p < pools; p++) {
		int left = room - (pools - 1 - p);
		int executors = pick(1, std::max(1, left / 2));

		room -= executors;
		out << (p ? "," : "") << "{\"name\":\"p" << p
		    << "\",\"executors\":" << executors
		    << ",\"worker\":{\"cores\":4,\"memory_gb\":8},"
		    << "\"budget\":{\"min_up\":" << pick(1, executors)
		    << ",\"survive\":\"" << survive[pick(0, 2)]
		    << "\",\"drain\":" << pick(0, 2) << "}}";
	}
	out << "],\"classes\":[";
	for (int p = 0; p < pools; p++)
		out << (p ? "," : "") << "{\"name\":\"all\",\"pool\":\"p" << p
		    << "\",\"method\":\"*\",\"path\":\"/\",\"urgency\":1,"
		    << "\"repeatable\":true,\"deadline_ms\":100}";
	out << "],\"callers\":[],\"teams\":[]}";
	return out.str();
}

/* The configuration generated from the answers; nullptr if refused. */
conf_t *accepted_config(void *ctx, const std::string &text)
{
	conf_faults_t *faults = conf_faults_new(ctx);
	base_str_t view = { text.data(), text.size() };
	conf_answers_t *answers = conf_answers_load(ctx, view, faults);
	GError *err = nullptr;

	if (!answers)
		return nullptr;
	char *json = conf_generate(ctx, answers, &err);
	RC_ASSERT(json != nullptr);
	conf_t *conf = conf_load(ctx, base_str(json), &err);
	RC_ASSERT(conf != nullptr);
	return conf;
}

std::vector<fleet_rack_t> racks_of(const conf_t *conf)
{
	std::vector<fleet_rack_t> racks;

	for (size_t z = 0; z < conf->n_zones; z++)
		for (int64_t r = 0; r < conf->zones[z].racks; r++)
			racks.push_back({ (uint32_t)z,
					  (uint32_t)conf->workers.per_rack });
	return racks;
}

/*
 * The planner can place and keep every budget that the answers' check accepts.
 * The check computes without the racks' contents; the planner places executor
 * by executor.
 */
void accepted_can_be_met()
{
	int seen = 0;

	g_assert_true(rc::check("accepted budgets can be met", [&] {
		void *ctx = talloc_new(nullptr);
		std::string text = random_answers();
		conf_t *conf = accepted_config(ctx, text);
		fleet_refusal_t *out;

		if (!conf) {
			talloc_free(ctx);
			RC_DISCARD("refused");
		}
		seen++;
		fleet_pool_t *pools = site_pools(ctx, conf);
		std::vector<fleet_rack_t> racks = racks_of(conf);
		fleet_site_t site = { pools, conf->n_pools, racks.data(),
				      racks.size(), conf->n_zones };
		size_t refused = fleet_budget_check(ctx, &site, &out);
		std::string why = refused ? out->text : "";
		talloc_free(ctx);
		if (refused)
			RC_FAIL(why + " in " + text);
	}));
	g_assert_cmpint(seen, >, 50);
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/site/prop/accepted-can-be-met", accepted_can_be_met);
	return g_test_run();
}
