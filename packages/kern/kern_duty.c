#include <stdatomic.h>

#include "kern_int.h"

struct kern_duty {
	kern_duty_options_t options;
	kern_ring_t *inbox;
	pthread_t thread;
	bool started;
	atomic_int stopping;
};

static void *run(void *arg);
static void take_messages(kern_duty_t *duty, int64_t until);
static int free_duty(kern_duty_t *duty);

kern_duty_t *kern_duty_start(const void *ctx,
			     const kern_duty_options_t *options, GError **err)
{
	kern_duty_t *duty = talloc_zero(ctx, kern_duty_t);

	duty->options = *options;
	duty->inbox = kern_ring_new(duty, options->ring_size);
	talloc_set_destructor(duty, free_duty);
	if (pthread_create(&duty->thread, NULL, run, duty)) {
		g_set_error(err, KERN_ERROR, KERN_ERROR_THREAD,
			    "no thread for duty '%s'", options->name);
		talloc_free(duty);
		return NULL;
	}
	duty->started = true;
	pthread_setname_np(duty->thread, options->name);
	return duty;
}

bool kern_duty_post(kern_duty_t *duty, void *msg)
{
	return kern_ring_put(duty->inbox, msg);
}

void kern_duty_wake(kern_duty_t *duty)
{
	kern_ring_wake(duty->inbox);
}

bool kern_duty_stopping(const kern_duty_t *duty)
{
	return atomic_load(&duty->stopping) != 0;
}

void kern_duty_stop(kern_duty_t *duty)
{
	if (!duty->started)
		return;
	atomic_store(&duty->stopping, 1);
	kern_ring_wake(duty->inbox);
	pthread_join(duty->thread, NULL);
	duty->started = false;
}

static void *run(void *arg)
{
	kern_duty_t *duty = arg;
	const kern_duty_options_t *options = &duty->options;

	while (!kern_duty_stopping(duty)) {
		int64_t now = base_clock_mono();
		int64_t wait = options->period_us;

		options->tick(options->arg, now);
		if (options->next)
			wait = options->next(options->arg);
		take_messages(duty, now + wait);
	}
	return NULL;
}

static void take_messages(kern_duty_t *duty, int64_t until)
{
	while (!kern_duty_stopping(duty)) {
		int64_t left = until - base_clock_mono();
		void *msg;

		if (left <= 0)
			return;
		msg = kern_ring_take(duty->inbox, left);
		if (!msg)
			return;
		if (duty->options.message)
			duty->options.message(duty->options.arg, msg,
					      base_clock_mono());
	}
}

static int free_duty(kern_duty_t *duty)
{
	kern_duty_stop(duty);
	return 0;
}
