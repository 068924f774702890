/*
 * How long everything here stood still at a time, so that a test that fails on
 * a busy machine can tell whether its endpoints had any part in it.
 */
#include <unistd.h>

#include "standin_int.h"

#define STALL_LOOK (10 * BASE_MS)

static atomic_long longest; /* microseconds, since it was last asked for */

/* The lock is taken as every request takes it: its holder may be what stands
 * still. */
static void *watch(void *arg)
{
	standin_t *s = arg;

	for (;;) {
		int64_t began = base_clock_mono();
		int64_t stall;

		usleep(STALL_LOOK);
		pthread_mutex_lock(&s->lock);
		pthread_mutex_unlock(&s->lock);
		stall = base_clock_mono() - began - STALL_LOOK;
		if (stall > longest)
			longest = stall;
	}
	return NULL;
}

static int on_stall(struct mg_connection *conn, void *arg)
{
	(void)arg;
	return answer_json(conn, 200,
			   json_pack("{s:I}", "longest_us",
				     (json_int_t)atomic_exchange(&longest, 0)));
}

void stall_serve(struct mg_context *ctx, standin_t *s)
{
	static bool watched;
	pthread_t thread;

	mg_set_request_handler(ctx, "/stall", on_stall, s);
	if (watched)
		return;
	watched = true;
	pthread_create(&thread, NULL, watch, s);
	pthread_detach(thread);
}
