#include <pthread.h>

#include "base_clock.h"
#include "tool_int.h"

/*
 * What a verb that takes longer than a second is waiting for, said once a
 * second on the error output by a thread of its own.
 */

#define WHO_SIZE 80

static struct {
	pthread_mutex_t lock; /* of everything below */
	pthread_cond_t changed;
	const char *verb;
	char who[WHO_SIZE];
	FILE *err;
	bool over;
} progress = { .lock = PTHREAD_MUTEX_INITIALIZER,
	       .changed = PTHREAD_COND_INITIALIZER };

static void *tell(void *arg);
static bool over_by(int64_t until);

int tool_progress_run(const tool_verb_t *verb, int argc, char **argv, FILE *out,
		      FILE *err)
{
	pthread_t thread;
	int status;
	bool told;

	progress.verb = argv[0];
	progress.err = err;
	progress.who[0] = '\0';
	progress.over = false;
	told = !pthread_create(&thread, NULL, tell, NULL);
	status = verb->run(argc, argv, out, err);
	pthread_mutex_lock(&progress.lock);
	progress.over = true;
	pthread_cond_signal(&progress.changed);
	pthread_mutex_unlock(&progress.lock);
	if (told)
		pthread_join(thread, NULL);
	return status;
}

void tool_progress_ask(const char *who)
{
	pthread_mutex_lock(&progress.lock);
	g_strlcpy(progress.who, who, sizeof(progress.who));
	pthread_mutex_unlock(&progress.lock);
}

static void *tell(void *arg)
{
	int64_t begin = base_clock_wall();

	(void)arg;
	pthread_mutex_lock(&progress.lock);
	for (int s = 1; !over_by(begin + s * BASE_SEC); s++)
		fprintf(progress.err, "%s: %d s%s%s\n", progress.verb, s,
			progress.who[0] ? ", waiting for " : "", progress.who);
	pthread_mutex_unlock(&progress.lock);
	return NULL;
}

/* Under the lock, on the clock that a condition waits by. */
static bool over_by(int64_t until)
{
	struct timespec wake = { until / BASE_SEC, until % BASE_SEC * 1000 };

	while (!progress.over && !pthread_cond_timedwait(&progress.changed,
							 &progress.lock, &wake))
		continue;
	return progress.over;
}
