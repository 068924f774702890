#include <map>
#include <rapidcheck.h>
#include <string>

extern "C" {
#include "site_config.h"
}

namespace
{

/* An in-memory store: key to value and mod_revision. */
struct mem_store_t {
	plat_store_t store;
	std::map<std::string, std::pair<std::string, int64_t>> keys;
	int64_t revision;
};

base_rng_t rng;

int random_below(size_t n)
{
	return (int)(base_rng_next(&rng) % n);
}

site_config_t config(const std::string &text, int64_t generation)
{
	return { { text.data(), text.size() }, generation };
}

std::string text_of(const site_config_t &config)
{
	return { config.text.ptr, config.text.len };
}

bool changes(plat_store_t *store, const void *ctx, const char *key, bool prefix,
	     int64_t since, plat_kvs_t *out, GError **)
{
	auto w = (mem_store_t *)store;

	*out = {};
	out->items = talloc_zero_array(ctx, plat_kv_t, w->keys.size());
	for (auto &[name, at] : w->keys)
		if (at.second > since &&
		    (prefix ? !name.rfind(key, 0) : name == key)) {
			plat_kv_t *kv = &out->items[out->count++];
			kv->key = base_str(talloc_strdup(ctx, name.c_str()));
			kv->value =
				base_str(talloc_strdup(ctx, at.first.c_str()));
			kv->mod_revision = at.second;
		}
	return true;
}

bool range(plat_store_t *store, const void *ctx, const char *key, bool prefix,
	   plat_kvs_t *out, GError **err)
{
	return changes(store, ctx, key, prefix, 0, out, err);
}

const plat_store_ops_t ops = { range,	range,	 changes, nullptr,
			       nullptr, nullptr, nullptr };

/* Similar elements with characters of one to three bytes. */
std::string random_text()
{
	static const char *const letters[] = { "a", "\\\"", "ü", "€", "" };
	std::string text = "{\"generation\":1,\"list\":[";

	for (int i = 100 + random_below(100); i >= 0; i--)
		text += "{\"name\":\"" + std::to_string(i % 90) +
			letters[random_below(5)] +
			"\",\"cores\":100,\"memory_gb\":400}" +
			(i ? "," : "]}");
	return text;
}

std::string edited(std::string text)
{
	static const char *const put[] = { "", "x", "ü", "{\"a\":1},{", "€€" };
	auto inside = [&](size_t at) {
		return at < text.size() && (text[at] & 0xc0) == 0x80;
	};

	if (text.find("ü") != text.npos) /* "é" differs in its last byte */
		text.replace(text.find("ü"), 2, "é");
	for (int i = random_below(3); i >= 0; i--) {
		size_t at = (size_t)random_below(text.size()), len = 9;

		while (inside(at))
			at--;
		while (inside(at + len))
			len++;
		text.replace(at, len, put[random_below(5)]);
	}
	return text + " ";
}

/* Changes one byte. */
void change_byte(std::string *text)
{
	char &byte = (*text)[(size_t)random_below(text->size())];

	byte = (char)(isdigit(byte) ? '0' + random_below(10)
				    : 32 + random_below(90));
}

/* Writes the full record, and in four of five cases its delta. */
void approve(mem_store_t *w, const site_config_t &from, const site_config_t &to)
{
	void *ctx = talloc_new(nullptr);
	plat_put_t put = {};

	if (from.generation && random_below(5))
		site_config_put_delta(ctx, &from, &to, &put);
	w->keys[SITE_CONFIG_KEY] = { to.text.ptr, ++w->revision };
	if (put.extra_key)
		w->keys[put.extra_key] = { put.extra_value.ptr, w->revision };
	talloc_free(ctx);
}

int update_counts[SITE_UPDATE_MAX];

/*
 * A reader ends with the stored record and accepts no other text, whichever
 * deltas are missing, malformed or too old.
 */
void prop_reader()
{
	void *ctx = talloc_new(nullptr);
	mem_store_t w = { { &ops }, {}, 0 };
	site_config_t held = {};
	int64_t seen = 0, last = 1;

	rng = { *rc::gen::arbitrary<uint64_t>() };
	std::map<int64_t, std::string> texts = { { 1, random_text() } };
	approve(&w, {}, config(texts[1], 1));
	for (int step = 40, act = 0; step >= 0; step--) {
		site_config_update_t update = {};

		/* What a peer has supplied is often read next. */
		act = !step || (act == 4 && random_below(2)) ? 7
							     : random_below(8);
		if (act < 4) {
			texts[last + 1] = edited(texts[last]);
			approve(&w, config(texts[last], last),
				config(texts[last + 1], last + 1));
			last++;
		} else if (act == 4) { /* a peer supplied the latest text */
			held = config(texts[last], last);
		} else if (act == 5) { /* "held" was never accepted */
			texts[-step] = edited(texts[last]);
			held = config(texts[-step], last);
		} else if (act == 6) {
			auto at = std::next(w.keys.begin(),
					    random_below(w.keys.size()));
			if (at->first != SITE_CONFIG_KEY)
				change_byte(&at->second.first);
		} else {
			RC_ASSERT(site_config_read_update(
				&w.store, ctx, seen, &held, &update, nullptr));
			update_counts[update.kind]++;
			if (update.text.len)
				held = { update.text, last };
			if (update.kind != SITE_UPDATE_NONE)
				RC_ASSERT(text_of(held) == texts[last]);
			else
				RC_ASSERT(seen == w.revision);
			seen = update.revision;
			RC_ASSERT(seen == w.revision);
		}
	}
	talloc_free(ctx);
}

/* A delta never produces another text than its target digest names. */
void prop_malformed()
{
	rng = { *rc::gen::arbitrary<uint64_t>() };

	void *ctx = talloc_new(nullptr);
	std::string a = random_text(), b = edited(a), c = edited(a) + " ";
	site_config_t from = config(a, 4), to = config(b, 5), out = {};
	site_config_t other = config(c, 4);
	char *delta = site_delta_make(ctx, &from, &to);

	RC_ASSERT(delta);
	RC_ASSERT(site_delta_produces(base_str(delta), &to));
	RC_ASSERT(!site_delta_apply(ctx, base_str(delta), &other, &out));
	RC_ASSERT(!site_delta_apply(ctx, base_str(delta), &to, &out));
	for (int i = 0; i < 50; i++) {
		std::string text = delta;

		change_byte(&text);
		if (site_delta_apply(ctx, config(text, 0).text, &from, &out))
			RC_ASSERT(text_of(out) == b);
	}
	talloc_free(ctx);
}

void test_reader()
{
	g_assert_true(
		rc::check("a reader ends with the stored record", prop_reader));
	for (int kind = 0; kind < SITE_UPDATE_MAX; kind++)
		g_assert_cmpint(update_counts[kind], >, 50);
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/site/config/reader", test_reader);
	g_test_add_func("/site/config/malformed", [] {
		g_assert_true(
			rc::check("a wrong delta is refused", prop_malformed));
	});
	return g_test_run();
}
