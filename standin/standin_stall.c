/*
 * Measures the longest stall of this process, so that a test that fails on a
 * busy machine can tell whether its endpoints were stalled.
 */
#include <unistd.h>

#include "standin_int.h"

#define STALL_INTERVAL (10 * BASE_MS)

static atomic_long longest_stall_us; /* since the last query */

/* Takes the lock as every request does, since a stalled thread may hold it. */
static void *measure_stalls(void *arg)
{
	standin_t *s = arg;

	for (;;) {
		int64_t started_at = base_clock_mono();
		int64_t stall;

		usleep(STALL_INTERVAL);
		pthread_mutex_lock(&s->lock);
		pthread_mutex_unlock(&s->lock);
		stall = base_clock_mono() - started_at - STALL_INTERVAL;
		if (stall > longest_stall_us)
			longest_stall_us = stall;
	}
	return NULL;
}

static int on_stall(struct mg_connection *conn, void *arg)
{
	(void)arg;
	return reply_json(
		conn, 200,
		json_pack("{s:I}", "longest_us",
			  (json_int_t)atomic_exchange(&longest_stall_us, 0)));
}

void stall_serve(struct mg_context *ctx, standin_t *s)
{
	static bool is_measuring;
	pthread_t thread;

	mg_set_request_handler(ctx, "/stall", on_stall, s);
	if (is_measuring)
		return;
	is_measuring = true;
	pthread_create(&thread, NULL, measure_stalls, s);
	pthread_detach(thread);
}
