#include <pthread.h>

#include "base_clock.h"
#include "tool_int.h"

/*
 * A thread prints once a second, on the error output, which peer the running
 * verb waits for.
 */

#define PEER_SIZE 80

static struct {
	pthread_mutex_t lock; /* protects the members below */
	pthread_cond_t changed;
	const char *verb;
	char peer[PEER_SIZE];
	FILE *err;
	bool is_done;
} progress = { .lock = PTHREAD_MUTEX_INITIALIZER,
	       .changed = PTHREAD_COND_INITIALIZER };

static void *print_progress(void *arg);
static bool wait_done(int64_t until);

int tool_progress_run(const tool_verb_t *verb, int argc, char **argv, FILE *out,
		      FILE *err)
{
	pthread_t thread;
	int status;
	bool has_thread;

	progress.verb = argv[0];
	progress.err = err;
	progress.peer[0] = '\0';
	progress.is_done = false;
	has_thread = !pthread_create(&thread, NULL, print_progress, NULL);
	status = verb->run(argc, argv, out, err);
	pthread_mutex_lock(&progress.lock);
	progress.is_done = true;
	pthread_cond_signal(&progress.changed);
	pthread_mutex_unlock(&progress.lock);
	if (has_thread)
		pthread_join(thread, NULL);
	return status;
}

void tool_progress_set_peer(const char *peer)
{
	pthread_mutex_lock(&progress.lock);
	g_strlcpy(progress.peer, peer, sizeof(progress.peer));
	pthread_mutex_unlock(&progress.lock);
}

static void *print_progress(void *arg)
{
	int64_t begin = base_clock_wall();

	(void)arg;
	pthread_mutex_lock(&progress.lock);
	for (int s = 1; !wait_done(begin + s * BASE_SEC); s++)
		fprintf(progress.err, "%s: %d s%s%s\n", progress.verb, s,
			progress.peer[0] ? ", waiting for " : "",
			progress.peer);
	pthread_mutex_unlock(&progress.lock);
	return NULL;
}

/*
 * Waits until the verb has returned or the time "until", in microseconds of the
 * wall clock, has come.  Needs the lock.
 */
static bool wait_done(int64_t until)
{
	struct timespec wake = { until / BASE_SEC, until % BASE_SEC * 1000 };

	while (!progress.is_done &&
	       !pthread_cond_timedwait(&progress.changed, &progress.lock,
				       &wake))
		continue;
	return progress.is_done;
}
