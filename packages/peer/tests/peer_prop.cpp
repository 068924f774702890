#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "peer.h"
#include "peer_memb.h"
}

namespace
{

using bytes_t = std::vector<uint8_t>;

memb_msg_t valid_msg()
{
	memb_msg_t msg = {};

	msg.kind = (memb_kind_t)*rc::gen::inRange(0, (int)MEMB_KIND_MAX);
	msg.seq = *rc::gen::arbitrary<uint32_t>();
	msg.digest = *rc::gen::arbitrary<uint64_t>();
	msg.n = *rc::gen::inRange<uint32_t>(1, MEMB_UPDATES_MAX + 1);
	for (uint32_t i = 0; i < msg.n; i++) {
		memb_record_t *rec = &msg.updates[i];

		g_snprintf(rec->id, sizeof(rec->id), "entry-%u", i);
		g_strlcpy(rec->zone, "zone-1", sizeof(rec->zone));
		rec->addr = { *rc::gen::arbitrary<uint32_t>(),
			      *rc::gen::arbitrary<uint16_t>() };
		rec->state =
			(memb_state_t)*rc::gen::inRange(0, (int)MEMB_STATE_MAX);
		rec->incarnation = *rc::gen::arbitrary<uint64_t>();
		rec->generation = *rc::gen::arbitrary<uint64_t>();
		rec->in_force_wall_us = *rc::gen::arbitrary<int64_t>();
		rec->sealed = *rc::gen::arbitrary<bool>();
	}
	return msg;
}

bytes_t encode(const memb_msg_t &msg)
{
	peer_gossip_buf_t buf;
	bytes_t out(4096);
	XDR xdrs;

	peer_gossip_from_msg(&buf, &msg);
	xdrmem_create(&xdrs, (char *)out.data(), out.size(), XDR_ENCODE);
	RC_ASSERT(xdr_peer_gossip(&xdrs, &buf.wire));
	out.resize(xdr_getpos(&xdrs));
	xdr_destroy(&xdrs);
	return out;
}

/* Decode as the server does, and free the value even when decoding fails. */
bool decode(xdrproc_t proc, size_t size, bytes_t in, memb_msg_t *msg)
{
	std::vector<char> value(size, 0);
	bool ok;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)in.data(), in.size(), XDR_DECODE);
	ok = proc(&xdrs, value.data());
	if (ok && msg)
		ok = peer_gossip_to_msg((peer_gossip *)value.data(), msg);
	xdr_destroy(&xdrs);
	xdr_free(proc, value.data());
	return ok;
}

void mutate(bytes_t *bytes)
{
	int n = *rc::gen::inRange(1, 8);

	while (n-- > 0 && !bytes->empty())
		(*bytes)[*rc::gen::inRange<size_t>(0, bytes->size())] =
			*rc::gen::arbitrary<uint8_t>();
	if (*rc::gen::inRange(0, 4) == 0)
		bytes->resize(*rc::gen::inRange<size_t>(0, bytes->size() + 1));
}

void prop_round_trip()
{
	memb_msg_t msg = valid_msg(), back;
	bytes_t wire = encode(msg);

	RC_ASSERT(wire.size() == peer_gossip_size(&msg));
	RC_ASSERT(decode((xdrproc_t)xdr_peer_gossip, sizeof(peer_gossip), wire,
			 &back));
	RC_ASSERT(encode(back) == wire);
}

void prop_mutated()
{
	bytes_t wire = encode(valid_msg());
	memb_msg_t msg;

	mutate(&wire);
	if (!decode((xdrproc_t)xdr_peer_gossip, sizeof(peer_gossip), wire,
		    &msg))
		return;
	RC_ASSERT(msg.n <= (uint32_t)MEMB_UPDATES_MAX);
	for (uint32_t i = 0; i < msg.n; i++) {
		RC_ASSERT(strlen(msg.updates[i].id) <= (size_t)MEMB_NAME_MAX);
		RC_ASSERT(peer_name_ok(msg.updates[i].zone));
	}
}

void prop_random_bytes()
{
	static const struct {
		xdrproc_t proc;
		size_t size;
	} decoders[] = {
		{ (xdrproc_t)xdr_peer_sealed, sizeof(peer_sealed) },
		{ (xdrproc_t)xdr_peer_call_head, sizeof(peer_call_head) },
		{ (xdrproc_t)xdr_peer_reply_head, sizeof(peer_reply_head) },
		{ (xdrproc_t)xdr_peer_config_get, sizeof(peer_config_get) },
		{ (xdrproc_t)xdr_peer_config_part, sizeof(peer_config_part) },
		{ (xdrproc_t)xdr_peer_parts_list, sizeof(peer_parts_list) },
		{ (xdrproc_t)xdr_peer_pick_get, sizeof(peer_pick_get) },
		{ (xdrproc_t)xdr_peer_pieces, sizeof(peer_pieces) },
		{ (xdrproc_t)xdr_peer_gossip, sizeof(peer_gossip) },
		{ (xdrproc_t)xdr_peer_life, sizeof(peer_life) },
	};
	auto bytes = *rc::gen::arbitrary<bytes_t>();

	/* Small values in length fields let the decoders read further. */
	for (size_t i = 0; i + 4 <= bytes.size(); i += 4)
		if (*rc::gen::arbitrary<bool>())
			bytes[i] = bytes[i + 1] = bytes[i + 2] = 0;
	for (const auto &d : decoders)
		decode(d.proc, d.size, bytes, nullptr);
}

void test_round_trip()
{
	g_assert_true(rc::check("decoded gossip encodes to the same bytes",
				prop_round_trip));
}

void test_mutated()
{
	g_assert_true(rc::check("mutated gossip is rejected or within limits",
				prop_mutated));
}

void test_random_bytes()
{
	g_assert_true(rc::check("decoders handle arbitrary bytes",
				prop_random_bytes));
}

} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/peer/round-trip", test_round_trip);
	g_test_add_func("/peer/mutated", test_mutated);
	g_test_add_func("/peer/random-bytes", test_random_bytes);
	return g_test_run();
}
