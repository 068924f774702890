#include <stdatomic.h>

#include "kern_int.h"

struct kern_thread {
	kern_thread_options_t options;
	kern_ring_t *inbox;
	pthread_t id;
	bool started;
	atomic_int stopping;
};

static void *run(void *arg);
static void handle_messages(kern_thread_t *thread, int64_t deadline_us);
static int free_thread(kern_thread_t *thread);

kern_thread_t *kern_thread_start(const void *ctx,
				 const kern_thread_options_t *options,
				 GError **err)
{
	kern_thread_t *thread = talloc_zero(ctx, kern_thread_t);

	thread->options = *options;
	thread->inbox = kern_ring_new(thread, options->ring_size);
	talloc_set_destructor(thread, free_thread);
	if (pthread_create(&thread->id, NULL, run, thread)) {
		g_set_error(err, KERN_ERROR, KERN_ERROR_THREAD,
			    "cannot create thread '%s'", options->name);
		talloc_free(thread);
		return NULL;
	}
	thread->started = true;
	pthread_setname_np(thread->id, options->name);
	return thread;
}

bool kern_thread_post(kern_thread_t *thread, void *msg)
{
	return kern_ring_put(thread->inbox, msg);
}

void kern_thread_wake(kern_thread_t *thread)
{
	kern_ring_wake(thread->inbox);
}

bool kern_thread_is_stopping(const kern_thread_t *thread)
{
	return atomic_load(&thread->stopping) != 0;
}

void kern_thread_stop(kern_thread_t *thread)
{
	if (!thread->started)
		return;
	atomic_store(&thread->stopping, 1);
	kern_ring_wake(thread->inbox);
	pthread_join(thread->id, NULL);
	thread->started = false;
}

static void *run(void *arg)
{
	kern_thread_t *thread = arg;
	const kern_thread_options_t *options = &thread->options;

	while (!kern_thread_is_stopping(thread)) {
		int64_t now = base_clock_mono();
		int64_t wait_us = options->period_us;

		options->tick(options->arg, now);
		if (options->next)
			wait_us = options->next(options->arg);
		handle_messages(thread, now + wait_us);
	}
	return NULL;
}

static void handle_messages(kern_thread_t *thread, int64_t deadline_us)
{
	while (!kern_thread_is_stopping(thread)) {
		int64_t left_us = deadline_us - base_clock_mono();
		void *msg;

		if (left_us <= 0)
			return;
		msg = kern_ring_take(thread->inbox, left_us);
		if (!msg)
			return;
		if (thread->options.message)
			thread->options.message(thread->options.arg, msg,
						base_clock_mono());
	}
}

static int free_thread(kern_thread_t *thread)
{
	kern_thread_stop(thread);
	return 0;
}
