/*
 * claim_bench - cost of a claim in memory, time and messages.
 *
 * Times are given relative to a loop in the same run that only digests the ids.
 */
#include <rpc/rpc.h>

#include "claim.h"
#include "peer_proto_xdr.h"

#define RECORDS 200000
#define ANSWER 512	 /* bytes */
#define NAME "entry-1"	 /* of typical length */
#define FRAMING_BYTES 36 /* MAC, and length of the body that it covers */

static claim_id_t id_of(uint32_t i);
static int64_t time_digests(void);
static int64_t time_takes(claim_table_t *table, claim_verdict_t want);
static void bench_memory(void);
static void bench_messages(void);
static void bench_handover(void);
static void fill(claim_table_t *table);
static claim_table_t *new_table(const char *name, const claim_epoch_t *epoch);
static size_t batch_bytes(const claim_batch_t *batch);
static size_t message_bytes(xdrproc_t head, void *head_of, xdrproc_t args,
			    void *of);

int main(void)
{
	bench_memory();
	bench_messages();
	bench_handover();
	return 0;
}

static claim_id_t id_of(uint32_t i)
{
	char key[32];
	int len = snprintf(key, sizeof(key), "settlement-%u", i);

	return claim_id(BASE_STR("addis"), (base_str_t){ key, (size_t)len });
}

static int64_t time_digests(void)
{
	int64_t begin = base_clock_mono();
	uint64_t sum = 0;

	for (uint32_t i = 0; i < RECORDS; i++)
		sum += id_of(i).hi;
	return sum ? base_clock_mono() - begin : 0;
}

static int64_t time_takes(claim_table_t *table, claim_verdict_t want)
{
	int64_t begin = base_clock_mono();

	for (uint32_t i = 0; i < RECORDS; i++) {
		claim_take_t take = { .id = id_of(i),
				      .attempt = { want, i + 1 },
				      .caller = i,
				      .epoch = 1 };
		claim_reply_t reply;

		claim_table_take(table, &take, BASE_SEC, &reply);
		if (reply.verdict != want)
			abort();
	}
	return base_clock_mono() - begin;
}

static void bench_memory(void)
{
	claim_table_opts_t opts = { NAME, 1, claim_limits_default };
	claim_member_t self = { NAME, "z", 1 };
	claim_epoch_t epoch = { .number = 1, .current_list = { &self, 1 } };
	claim_table_t *table = claim_table_new(NULL, &opts);
	double digest_us, granted, held;
	claim_stats_t stats;

	claim_table_adopt(table, &epoch, BASE_SEC, BASE_SEC);
	digest_us = (double)time_digests();
	granted = (double)time_takes(table, CLAIM_GRANTED);
	held = (double)time_takes(table, CLAIM_HELD);
	stats = claim_table_stats(table, BASE_SEC);
	printf("{\"bench\":\"claim\",\"records\":%u,\"bytes\":%zu,"
	       "\"bytes_per_record\":%.1f,\"records_per_mb\":%.0f,"
	       "\"grant_to_digest\":%.2f,\"refusal_to_digest\":%.2f}\n",
	       stats.records, stats.bytes, (double)stats.bytes / stats.records,
	       1048576.0 * stats.records / (double)stats.bytes,
	       granted / digest_us, held / digest_us);
	talloc_free(table);
}

/* A claim by an entry that is neither home nor backup: two takes, two ends. */
static void bench_messages(void)
{
	char answer[ANSWER] = "";
	peer_call_head call = { .from = (char *)NAME,
				.zone = (char *)"zone-1" };
	peer_reply_head reply = { 0 };
	peer_claim_take take = { 0 };
	peer_claim_verdict verdict = { 0 };
	peer_claim_end end = { .kept = true, .answer = { ANSWER, answer } };
	peer_claim_done done = { 0 };
	xdrproc_t head = (xdrproc_t)xdr_peer_call_head;
	xdrproc_t back = (xdrproc_t)xdr_peer_reply_head;
	size_t take_out = message_bytes(head, &call,
					(xdrproc_t)xdr_peer_claim_take, &take);
	size_t take_back = message_bytes(
		back, &reply, (xdrproc_t)xdr_peer_claim_verdict, &verdict);
	size_t end_out =
		message_bytes(head, &call, (xdrproc_t)xdr_peer_claim_end, &end);
	size_t end_back = message_bytes(back, &reply,
					(xdrproc_t)xdr_peer_claim_done, &done);

	printf("{\"bench\":\"claim-messages\",\"calls\":4,\"messages\":8,"
	       "\"take_bytes\":%zu,\"verdict_bytes\":%zu,\"end_bytes\":%zu,"
	       "\"done_bytes\":%zu,\"answer_bytes\":%d,\"bytes\":%zu,"
	       "\"store_calls\":0}\n",
	       take_out, take_back, end_out, end_back, ANSWER,
	       2 * (take_out + take_back + end_out + end_back));
}

/*
 * The largest copy that an entry makes: of two entries one stops, and a third
 * one takes over all slices of a full table.
 */
static void bench_handover(void)
{
	claim_member_t before[] = { { "a", "z1", 1 }, { "b", "z2", 1 } };
	claim_member_t after[] = { { "a", "z1", 1 }, { "c", "z2", 1 } };
	claim_epoch_t first = { .number = 1, .current_list = { before, 2 } };
	claim_epoch_t second = { .number = 2,
				 .current_list = { after, 2 },
				 .former_list = { before, 2 } };
	claim_table_t *from = new_table("a", &first);
	claim_table_t *to = new_table("c", &second);
	claim_batch_t *batch = talloc(from, claim_batch_t);
	double digest_us = (double)time_digests();
	uint32_t calls = 0, slice = 0;
	size_t bytes = 0;
	claim_pull_t pull;
	int64_t begin;

	fill(from);
	claim_table_adopt(from, &second, BASE_SEC, BASE_SEC);
	begin = base_clock_mono();
	while (claim_table_next_pull(to, slice, BASE_SEC, &pull)) {
		bool answers = !strcmp(pull.source.id, "a");

		slice = pull.slice;
		if (answers)
			claim_table_export(from, &pull, BASE_SEC, batch);
		claim_table_import(to, &pull, answers ? batch : NULL, BASE_SEC);
		calls += answers;
		bytes += answers ? batch_bytes(batch) : 0;
	}
	printf("{\"bench\":\"claim-handover\",\"records\":%u,\"copied\":%u,"
	       "\"calls\":%u,\"bytes\":%zu,\"bytes_per_record\":%.1f,"
	       "\"still_copying\":%u,\"record_to_digest\":%.2f}\n",
	       claim_table_stats(from, BASE_SEC).records,
	       claim_table_stats(to, BASE_SEC).records, calls, bytes,
	       (double)bytes / claim_table_stats(to, BASE_SEC).records,
	       claim_table_uncopied_slices(to, BASE_SEC),
	       (double)(base_clock_mono() - begin) /
		       claim_table_stats(to, BASE_SEC).records / digest_us *
		       RECORDS);
	talloc_free(from);
	talloc_free(to);
}

/* Adds claims of many callers until the table is full. */
static void fill(claim_table_t *table)
{
	claim_reply_t reply = { .verdict = CLAIM_GRANTED };

	for (uint32_t i = 0; reply.verdict == CLAIM_GRANTED; i++) {
		claim_take_t take = { .id = id_of(i),
				      .attempt = { 7, i + 1 },
				      .caller = i,
				      .epoch = 1 };

		claim_table_take(table, &take, BASE_SEC, &reply);
	}
}

static claim_table_t *new_table(const char *name, const claim_epoch_t *epoch)
{
	claim_table_opts_t opts = { name, 1, claim_limits_default };
	claim_table_t *table = claim_table_new(NULL, &opts);

	claim_table_adopt(table, epoch, BASE_SEC, BASE_SEC);
	return table;
}

/* Encoded size of a pull and its reply; the claims have no answers. */
static size_t batch_bytes(const claim_batch_t *batch)
{
	peer_call_head call = { .from = (char *)NAME,
				.zone = (char *)"zone-1" };
	peer_reply_head reply = { 0 };
	peer_claim_pull pull = { 0 };
	peer_claim_copy copies[CLAIM_BATCH_MAX] = { 0 };
	peer_claim_batch wire = { .copies = { batch->n, copies } };

	return message_bytes((xdrproc_t)xdr_peer_call_head, &call,
			     (xdrproc_t)xdr_peer_claim_pull, &pull) +
	       message_bytes((xdrproc_t)xdr_peer_reply_head, &reply,
			     (xdrproc_t)xdr_peer_claim_batch, &wire);
}

static size_t message_bytes(xdrproc_t head, void *head_of, xdrproc_t args,
			    void *of)
{
	return xdr_sizeof(head, head_of) + xdr_sizeof(args, of) + FRAMING_BYTES;
}
