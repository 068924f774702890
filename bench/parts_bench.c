/*
 * Bytes that an entry exchanges to pull a change of one team's quota: as a
 * whole record and as parts.  Counts encoded messages with their headers and
 * MACs (ENVELOPE_BYTES), without the headers of ONC RPC and TCP.
 */
#include <string.h>

#include "conf.h"
#include "memb_parts.h"
#include "peer_proto_xdr.h"

#define FIXED_PART_BYTES 1024 /* size of a fixed-size part, bytes */
#define ENVELOPE_BYTES 108    /* MAC and header of a call or a reply */

static void add_pool(base_buf_t *buf, int p)
{
	base_buf_addf(buf,
		      "%s{\"name\":\"pool-%d\",\"executors\":64,"
		      "\"worker\":{\"cores\":64,\"memory_gb\":256},"
		      "\"budget\":{\"min_up\":48}}",
		      p ? "," : "", p);
}

static void add_class(base_buf_t *buf, int p, int c)
{
	base_buf_addf(buf,
		      "%s{\"name\":\"class-%d\",\"pool\":\"pool-%d\","
		      "\"method\":\"%s\",\"path\":\"/%s\",\"urgency\":1,"
		      "\"repeatable\":true,\"deadline_ms\":2000}",
		      p || c ? "," : "", c, p, c < 3 ? "POST" : "*",
		      c == 0   ? "book"
		      : c == 1 ? "cancel"
		      : c == 2 ? "query"
			       : "");
}

/* Returns a configuration record whose middle team has "cores". */
static char *record_of(const void *ctx, int pools, int teams, int cores,
		       const conf_record_t *before)
{
	base_buf_t *buf = base_buf_new(ctx);
	conf_faults_t *faults = conf_faults_new(ctx);

	base_buf_adds(buf, "{\"schema\":1,\"site\":\"s\",\"region\":\"r\","
			   "\"workers\":{\"per_rack\":4},\"weights\":{"
			   "\"buffer\":1,\"moves\":1,\"flood\":1},\"zones\":[");
	for (int z = 0; z < 8; z++)
		base_buf_addf(buf,
			      "%s{\"name\":\"zone-%d\",\"racks\":600,"
			      "\"workers\":2400}",
			      z ? "," : "", z);
	base_buf_adds(buf, "],\"pools\":[");
	for (int p = 0; p < pools; p++)
		add_pool(buf, p);
	base_buf_adds(buf, "],\"classes\":[");
	for (int p = 0; p < pools; p++)
		for (int c = 0; c < 4; c++)
			add_class(buf, p, c);
	base_buf_adds(buf, "],\"callers\":[],\"teams\":[");
	for (int t = 0; t < teams; t++)
		base_buf_addf(buf,
			      "%s{\"name\":\"team-%d\",\"cores\":%d,"
			      "\"memory_gb\":400}",
			      t ? "," : "", t, t == teams / 2 ? cores : 100);
	base_buf_adds(buf, "]}");
	return conf_record_print(
		ctx, before, BASE_STR("0123456789abcdef"),
		base_str(conf_generate(
			ctx, conf_answers_load(ctx, base_str(buf->ptr), faults),
			NULL)),
		NULL);
}

/* Bytes that the puller sends and receives for a whole record. */
static size_t whole_bytes(size_t len)
{
	peer_config_get get = { 0 };
	size_t parts = (len + PEER_CHUNK_MAX - 1) / PEER_CHUNK_MAX;

	return len + parts * (xdr_sizeof((xdrproc_t)xdr_peer_config_get, &get) +
			      28 + 2 * ENVELOPE_BYTES);
}

static size_t part_bytes(const memb_parts_t *parts, size_t *digests,
			 size_t *pieces)
{
	peer_parts_get parts_get = { 0 };
	peer_pick_get pick = { 0 };
	uint32_t indices[PEER_PICK_MAX];

	*digests = parts->n * 8 + 20 + 2 * ENVELOPE_BYTES +
		   xdr_sizeof((xdrproc_t)xdr_peer_parts_get, &parts_get);
	pick.index.index_val = indices;
	pick.index.index_len =
		(u_int)memb_parts_missing(parts, indices, PEER_PICK_MAX);
	*pieces += 20 + 2 * ENVELOPE_BYTES + 8 * pick.index.index_len +
		   xdr_sizeof((xdrproc_t)xdr_peer_pick_get, &pick);
	return *digests + *pieces;
}

/* Bytes for fixed-size parts: all digests, and the parts that differ. */
static size_t fixed_bytes(base_str_t a, base_str_t b, size_t *differ)
{
	size_t bytes = 0;

	*differ = 0;
	for (size_t at = 0; at < b.len; at += FIXED_PART_BYTES) {
		size_t len = MIN(FIXED_PART_BYTES, b.len - at);

		bytes += 8;
		if (at + len <= a.len && !memcmp(a.ptr + at, b.ptr + at, len))
			continue;
		bytes += len;
		++*differ;
	}
	return bytes;
}

static void measure(int pools, int teams, int cores)
{
	void *ctx = talloc_new(NULL);
	char *a = record_of(ctx, pools, teams, 100, NULL);
	conf_record_t *before = conf_record_load(ctx, base_str(a), NULL);
	char *b = record_of(ctx, pools, teams, cores, before);
	memb_parts_t *held = memb_parts_cut(ctx, base_str(a));
	memb_parts_t *want = memb_parts_cut(ctx, base_str(b)), *parts;
	uint64_t *digests = talloc_array(ctx, uint64_t, want->n);
	size_t list = 0, pieces = 0, differ = 0, sum, fixed;

	for (size_t i = 0; i < want->n; i++)
		digests[i] = want->items[i].digest;
	parts = memb_parts_match(ctx, digests, want->n, held);
	for (size_t i = 0; i < want->n; i++)
		if (!parts->items[i].text.len)
			pieces += want->items[i].text.len;
	sum = part_bytes(parts, &list, &pieces);
	fixed = fixed_bytes(base_str(a), base_str(b), &differ);
	printf("{\"bench\":\"parts\",\"pools\":%d,\"teams\":%d,"
	       "\"cores\":%d,\"bytes\":%zu,\"whole\":%zu,\"parts\":%zu,"
	       "\"missing\":%zu,\"list\":%zu,\"pieces\":%zu,\"sum\":%zu,"
	       "\"fixed_differ\":%zu,\"fixed\":%zu}\n",
	       pools, teams, cores, strlen(b), whole_bytes(strlen(b)), want->n,
	       parts->missing, list, pieces, sum, differ, fixed);
	talloc_free(ctx);
}

int main(void)
{
	/* The quota keeps its length, then grows by one digit. */
	measure(5, 3, 101);
	measure(5, 3, 1000);
	measure(57, 153, 101);
	measure(57, 153, 1000);
	measure(225, 610, 101);
	measure(225, 610, 1000);
	return 0;
}
