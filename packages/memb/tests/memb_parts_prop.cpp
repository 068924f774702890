#include <rapidcheck.h>

extern "C" {
#include "memb_parts.h"
}

namespace
{

typedef std::vector<uint8_t> bytes_t;

base_str_t str(const bytes_t &bytes)
{
	return { (const char *)bytes.data(), bytes.size() };
}

/* An array of elements, some of them equal. */
bytes_t random_elements()
{
	int n = *rc::gen::inRange(0, 400);
	base_rng_t rng = { *rc::gen::arbitrary<uint64_t>() };
	uint64_t kinds = *rc::gen::inRange<uint64_t>(1, 1000);
	std::string text = "[";

	for (int i = 0; i < n; i++) {
		uint64_t kind = base_rng_next(&rng) % kinds;

		text += i ? ",{" : "{";
		text += std::to_string(kind) + std::string(kind % 300, 'x');
		text += "}";
	}
	return bytes_t(text.begin(), text.end());
}

/* Random bytes, which rarely contain the start of an element. */
bytes_t random_bytes()
{
	size_t len = *rc::gen::inRange<size_t>(0, 60000);
	base_rng_t rng = { *rc::gen::arbitrary<uint64_t>() };
	bytes_t text(len);

	for (auto &byte : text)
		byte = (uint8_t)base_rng_next(&rng);
	return text;
}

bytes_t edited(const bytes_t &from)
{
	size_t at = *rc::gen::inRange<size_t>(0, from.size() + 1);
	size_t end = at + *rc::gen::inRange<size_t>(0, 40);
	auto put = *rc::gen::resize(40, rc::gen::arbitrary<bytes_t>());
	bytes_t text(from.begin(), from.begin() + (long)at);

	text.insert(text.end(), put.begin(), put.end());
	if (end < from.size())
		text.insert(text.end(), from.begin() + (long)end, from.end());
	return text;
}

std::vector<uint64_t> digests_of(const memb_parts_t *parts)
{
	std::vector<uint64_t> digests;

	for (size_t i = 0; i < parts->n; i++)
		digests.push_back(parts->items[i].digest);
	return digests;
}

bytes_t joined(const void *ctx, const memb_parts_t *parts, size_t max)
{
	base_buf_t *out = base_buf_new(ctx);

	RC_ASSERT(memb_parts_join(parts, out, max));
	return bytes_t(out->ptr, out->ptr + out->len);
}

/* The parts that the receiver holds and those it pulls give the new text. */
void prop_pull()
{
	void *ctx = talloc_new(nullptr);
	bytes_t old_text = random_elements(), new_text = edited(old_text);
	memb_parts_t *held = memb_parts_cut(ctx, str(old_text));
	memb_parts_t *whole = memb_parts_cut(ctx, str(new_text));
	auto digests = digests_of(whole);
	memb_parts_t *parts =
		memb_parts_match(ctx, digests.data(), digests.size(), held);
	uint32_t indices[8];
	size_t n, missing = parts->missing;

	RC_ASSERT(joined(ctx, whole, new_text.size()) == new_text);
	while ((n = memb_parts_missing(parts, indices, 8)))
		for (size_t i = 0; i < n; i++)
			RC_ASSERT(
				memb_parts_take(parts, indices[i],
						whole->items[indices[i]].text));
	RC_ASSERT(!parts->missing);
	RC_ASSERT(joined(ctx, parts, new_text.size()) == new_text);
	/* One edit affects the parts around it and one cut at MEMB_PART_MAX. */
	RC_ASSERT(missing <= 8u);
	talloc_free(ctx);
}

void prop_sizes()
{
	void *ctx = talloc_new(nullptr);
	bytes_t text = *rc::gen::arbitrary<bool>() ? random_elements()
						   : random_bytes();
	memb_parts_t *parts = memb_parts_cut(ctx, str(text));

	for (size_t i = 0; i < parts->n; i++) {
		size_t len = parts->items[i].text.len;

		RC_ASSERT(len && len <= (size_t)MEMB_PART_MAX);
	}
	RC_ASSERT(joined(ctx, parts, text.size()) == text);
	talloc_free(ctx);
}

/* Whatever a peer answers, only the requested part is accepted. */
void prop_malformed()
{
	void *ctx = talloc_new(nullptr);
	bytes_t text = random_elements(), junk = *rc::gen::arbitrary<bytes_t>();
	memb_parts_t *held = memb_parts_cut(ctx, { "", 0 });
	memb_parts_t *whole = memb_parts_cut(ctx, str(text));
	auto digests = digests_of(whole);
	memb_parts_t *parts =
		memb_parts_match(ctx, digests.data(), digests.size(), held);
	size_t index = *rc::gen::inRange<size_t>(0, 100);
	base_buf_t *out = base_buf_new(ctx);

	RC_ASSERT(parts->missing == parts->n);
	RC_ASSERT(!memb_parts_take(parts, index, str(junk)));
	RC_ASSERT(!memb_parts_take(parts, parts->n, str(text)));
	RC_ASSERT(parts->missing == parts->n);
	RC_ASSERT(!parts->n || !memb_parts_join(parts, out, text.size()));
	if (parts->n) {
		RC_ASSERT(memb_parts_take(parts, 0, whole->items[0].text));
		RC_ASSERT(!memb_parts_take(parts, 0, whole->items[0].text));
		RC_ASSERT(!memb_parts_join(whole, out, text.size() - 1));
	}
	talloc_free(ctx);
}

void test_pull()
{
	g_assert_true(rc::check("parts give the whole text", prop_pull));
}

void test_sizes()
{
	g_assert_true(rc::check("parts are bounded", prop_sizes));
}

void test_malformed()
{
	g_assert_true(rc::check("malformed parts are refused", prop_malformed));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/memb/parts-pull", test_pull);
	g_test_add_func("/memb/parts-sizes", test_sizes);
	g_test_add_func("/memb/parts-malformed", test_malformed);
	return g_test_run();
}
