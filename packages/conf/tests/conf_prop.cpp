#include <algorithm>
#include <rapidcheck.h>
#include <sstream>
#include <string>

extern "C" {
#include "conf_int.h"
}

namespace
{

int pick(int low, int high)
{
	return *rc::gen::inRange(low, high + 1);
}

/* Answers with valid sizes; with min_up above 0 a budget may be too high. */
std::string random_answers(bool zero_min_up)
{
	static const char *const survive[] = { "none", "rack", "zone" };
	int zones = pick(1, 4), pools = pick(1, 5), room = 0;
	int per_rack = pick(1, 4);
	std::ostringstream out;

	out << "{\"schema\":1,\"site\":\"s\",\"region\":\"r\",\n\"zones\":[";
	for (int z = 0; z < zones; z++) {
		int racks = pick(1, 6);
		int workers = pick(1, racks * per_rack);

		room += workers;
		out << (z ? ",\n" : "") << "{\"name\":\"z" << z
		    << "\",\"racks\":" << racks << ",\"workers\":" << workers
		    << "}";
	}
	out << "],\n\"workers\":{\"per_rack\":" << per_rack
	    << ",\"mixed_racks\":" << (pick(0, 1) ? "true" : "false") << "},\n"
	    << "\"weights\":{\"buffer\":" << pick(0, 9) / 7.0
	    << ",\"moves\":1,\"flood\":2},\n\"pools\":[";
	pools = std::min(pools, room);
	for (int p = 0; p < pools; p++) {
		int left = room - (pools - 1 - p);
		int executors = pick(1, std::max(1, left / 2));

		room -= executors;
		out << (p ? ",\n" : "") << "{\"name\":\"p" << p
		    << "\",\"executors\":" << executors
		    << ",\"worker\":{\"cores\":4,\"memory_gb\":8},"
		    << "\"budget\":{\"min_up\":"
		    << (zero_min_up ? 0 : pick(0, executors))
		    << ",\"survive\":\"" << survive[pick(0, 2)]
		    << "\",\"drain\":0}}";
	}
	out << "],\n\"classes\":[";
	for (int p = 0; p < pools; p++)
		out << (p ? ",\n" : "") << "{\"name\":\"all\",\"pool\":\"p" << p
		    << "\",\"method\":\"*\",\"path\":\"/\",\"urgency\":"
		    << pick(0, 9)
		    << ",\"repeatable\":" << (pick(0, 1) ? "true" : "false")
		    << ",\"deadline_ms\":" << pick(10, 5000) << "}";
	out << "],\n\"callers\":[],\"teams\":[]}\n";
	return out.str();
}

/* A talloc context that is freed at the end of its scope. */
struct scoped_ctx {
	void *ctx = talloc_new(nullptr);
	~scoped_ctx()
	{
		talloc_free(ctx);
	}
};

conf_answers_t *load(void *ctx, const std::string &text, conf_faults_t *faults)
{
	base_str_t view = { text.data(), text.size() };

	return conf_answers_load(ctx, view, faults);
}

conf_t *generated(void *ctx, const conf_answers_t *answers, std::string *text)
{
	GError *err = nullptr;
	char *json = conf_generate(ctx, answers, &err);
	conf_t *conf = json ? conf_load(ctx, base_str(json), &err) : nullptr;

	RC_ASSERT(!err);
	*text = json;
	return conf;
}

std::string mutated(std::string text)
{
	static const std::string pieces[] = { "{", "}", "[",	"]",   "\"",
					      ",", ":", "null", "-1",  "1e9",
					      "0", "7", "x",	"\\u", "\xff",
					      " ", "\n" };
	int times = pick(1, 3);

	for (int i = 0; i < times && !text.empty(); i++) {
		size_t at = (size_t)pick(0, (int)text.size() - 1);
		size_t cut = (size_t)pick(0, 6);

		text.replace(at, cut, pieces[pick(0, 16)]);
	}
	return text;
}

void generated_equals_answers()
{
	g_assert_true(rc::check(
		"a generated configuration keeps the answers'"
		" values",
		[] {
			scoped_ctx m;
			conf_faults_t *faults = conf_faults_new(m.ctx);
			conf_answers_t *a =
				load(m.ctx, random_answers(true), faults);
			std::string once, again;

			RC_ASSERT(a != nullptr);
			conf_t *conf = generated(m.ctx, a, &once);
			json_t *x = conf_encode(a, CONF_IN_ANSWERS);
			json_t *y = conf_encode(conf, CONF_IN_ANSWERS);
			bool same = json_equal(x, y);

			json_decref(x);
			json_decref(y);
			RC_ASSERT(same);
			generated(m.ctx, conf, &again);
			RC_ASSERT(once == again);
			RC_ASSERT(conf_diff(m.ctx, conf, conf)->n == 0u);
		}));
}

void placement_is_complete()
{
	g_assert_true(rc::check("executors are placed within the zones", [] {
		scoped_ctx m;
		conf_faults_t *faults = conf_faults_new(m.ctx);
		conf_answers_t *a = load(m.ctx, random_answers(true), faults);
		std::string text;
		conf_t *conf = generated(m.ctx, a, &text);

		for (size_t z = 0; z < conf->n_zones; z++) {
			int64_t here = 0;

			for (size_t p = 0; p < conf->n_pools; p++)
				here += conf->pools[p].placement[z].executors;
			RC_ASSERT(here <= conf->zones[z].workers);
		}
		for (size_t p = 0; p < conf->n_pools; p++) {
			int64_t sum = 0;

			for (size_t z = 0; z < conf->n_zones; z++)
				sum += conf->pools[p].placement[z].executors;
			RC_ASSERT(sum == conf->pools[p].executors);
		}
	}));
}

/*
 * The min_up that a fault message suggests is accepted, and one more is not.
 */
void suggested_change_is_smallest()
{
	g_assert_true(rc::check("the suggested change is the smallest", [] {
		scoped_ctx m;
		conf_faults_t *faults = conf_faults_new(m.ctx);
		std::string text = random_answers(false);

		if (load(m.ctx, text, faults))
			return;
		for (size_t i = 0; i < faults->n; i++) {
			const conf_fault_t *f = &faults->v[i];
			const char *at = strstr(f->want, "change: min_up ");
			size_t pool = strtoul(f->path + 8, nullptr, 10);
			std::string key = "\"p" + std::to_string(pool) + "\"";

			RC_ASSERT(at != nullptr);
			long best = strtol(at + 15, nullptr, 10);
			size_t from =
				text.find("\"min_up\":", text.find(key)) + 9;
			size_t to = text.find(',', from);

			RC_ASSERT(best + 1 <= std::stol(text.substr(from)));
			text.replace(from, to - from, std::to_string(best));
		}
		conf_faults_t *none = conf_faults_new(m.ctx);
		conf_answers_t *a = load(m.ctx, text, none);

		RC_ASSERT(a != nullptr);
		for (size_t i = 0; i < faults->n; i++) {
			size_t p = strtoul(faults->v[i].path + 8, nullptr, 10);
			conf_faults_t *one = conf_faults_new(m.ctx);
			conf_answers_t more = *a;
			std::string json;
			conf_t *conf = generated(m.ctx, a, &json);

			more.pools = (conf_pool_t *)talloc_memdup(
				m.ctx, conf->pools,
				conf->n_pools * sizeof(*conf->pools));
			more.pools[p].budget.min_up++;
			json_t *tree = conf_encode(&more, CONF_IN_ANSWERS);
			char *dump = json_dumps(tree, 0);

			a = load(m.ctx, dump, one);
			free(dump);
			json_decref(tree);
			RC_ASSERT(a == nullptr);
			a = load(m.ctx, text, none);
		}
	}));
}

void mutations_are_reported()
{
	gchar *base = nullptr;

	g_assert_true(g_file_get_contents("examples/addis.answers.json", &base,
					  nullptr, nullptr));
	g_assert_true(rc::check("a broken file gets faults with lines", [&] {
		scoped_ctx m;
		conf_faults_t *faults = conf_faults_new(m.ctx);
		std::string text = mutated(base), json;
		int lines = (int)std::count(text.begin(), text.end(), '\n');
		conf_answers_t *a = load(m.ctx, text, faults);

		RC_ASSERT((a == nullptr) == (faults->n > 0));
		if (a)
			RC_ASSERT(generated(m.ctx, a, &json) != nullptr);
		for (size_t i = 0; i < faults->n; i++) {
			RC_ASSERT(faults->v[i].line >= 1);
			RC_ASSERT(faults->v[i].line <= lines + 1);
			RC_ASSERT(faults->v[i].path[0] == '$');
		}
	}));
	g_free(base);
}

void edits_are_refused()
{
	scoped_ctx outer;
	std::string json;
	conf_faults_t *faults = conf_faults_new(outer.ctx);
	gchar *base = nullptr;

	g_assert_true(g_file_get_contents("examples/vakatawa.answers.json",
					  &base, nullptr, nullptr));
	generated(outer.ctx, load(outer.ctx, base, faults), &json);
	g_free(base);
	g_assert_true(rc::check("an edited configuration is refused", [&] {
		scoped_ctx m;
		std::string text = mutated(json);
		base_str_t view = { text.data(), text.size() };
		GError *err = nullptr;
		conf_t *conf = conf_load(m.ctx, view, &err);

		RC_ASSERT((conf == nullptr) == (err != nullptr));
		g_clear_error(&err);
		if (!conf)
			return;
		json_t *x = json_loads(text.c_str(), 0, nullptr);
		json_t *y = json_loads(json.c_str(), 0, nullptr);
		bool same = json_equal(x, y);

		json_decref(x);
		json_decref(y);
		RC_ASSERT(same);
	}));
}

void differences_agree()
{
	g_assert_true(
		rc::check("no difference if and only if texts are equal", [] {
			scoped_ctx m;
			conf_faults_t *faults = conf_faults_new(m.ctx);
			std::string a, b;
			conf_t *x = generated(
				m.ctx,
				load(m.ctx, random_answers(true), faults), &a);
			conf_t *y = generated(
				m.ctx,
				load(m.ctx, random_answers(true), faults), &b);
			conf_diff_t *there = conf_diff(m.ctx, x, y);
			conf_diff_t *back = conf_diff(m.ctx, y, x);

			RC_ASSERT((there->n == 0) == (a == b));
			RC_ASSERT(there->n == back->n);
			RC_ASSERT(there->before.slots == back->after.slots);
		}));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/conf/prop/generate", generated_equals_answers);
	g_test_add_func("/conf/prop/placement", placement_is_complete);
	g_test_add_func("/conf/prop/smallest-change",
			suggested_change_is_smallest);
	g_test_add_func("/conf/prop/mutations", mutations_are_reported);
	g_test_add_func("/conf/prop/edits", edits_are_refused);
	g_test_add_func("/conf/prop/differences", differences_agree);
	return g_test_run();
}
