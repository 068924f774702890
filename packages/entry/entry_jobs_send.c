#include "entry_jobs.h"

/*
 * Threads that send orders to the platform.  All orders about a job go through
 * the same one, in their order.  What may have been lost is sent again for as
 * long as the holding lasts; a checkpoint or a throttle is not: the core asks
 * for something harder by then.
 */

#define RING_SIZE 4096
#define AGAIN_US (200 * BASE_MS)

typedef struct send {
	entry_send_t kind;
	uint64_t epoch;
	bool unsure;	    /* an earlier try may have taken effect */
	jobs_order_t order; /* strings below this */
} send_t;

struct entry_sender {
	entry_jobs_t *jobs;
	kern_duty_t *thread;
	GQueue waiting; /* the jobs thread's: found no room in the ring */
	GQueue again;	/* the sender's */
	plat_tasks_t *tasks;
};

typedef bool (*send_fn_t)(entry_sender_t *sender, const send_t *send,
			  GError **err);

static void end_sender(entry_sender_t *sender);
static void on_message(void *arg, void *msg, int64_t now);
static void on_tick(void *arg, int64_t now);
static void carry_out(entry_sender_t *sender, send_t *send);
static bool do_start(entry_sender_t *sender, const send_t *send, GError **err);
static bool do_checkpoint(entry_sender_t *sender, const send_t *send,
			  GError **err);
static bool do_throttle(entry_sender_t *sender, const send_t *send,
			GError **err);
static bool do_resume(entry_sender_t *sender, const send_t *send, GError **err);
static bool do_stop(entry_sender_t *sender, const send_t *send, GError **err);
static bool do_forbid(entry_sender_t *sender, const send_t *send, GError **err);
static bool do_forget(entry_sender_t *sender, const send_t *send, GError **err);
static void never_began(entry_sender_t *sender, const send_t *send);

static const struct {
	const char *name;
	send_fn_t fn;
	bool again;
} kinds[ENTRY_SEND_MAX] = {
	[ENTRY_SEND_START] = { "start", do_start, true },
	[ENTRY_SEND_CHECKPOINT] = { "checkpoint", do_checkpoint, false },
	[ENTRY_SEND_THROTTLE] = { "throttle", do_throttle, false },
	[ENTRY_SEND_RESUME] = { "resume", do_resume, true },
	[ENTRY_SEND_STOP] = { "stop", do_stop, true },
	[ENTRY_SEND_FORBID] = { "forbid", do_forbid, true },
	[ENTRY_SEND_FORGET] = { "forget", do_forget, true },
};

bool entry_senders_start(entry_jobs_t *jobs, GError **err)
{
	for (int i = 0; i < ENTRY_JOBS_SENDERS; i++) {
		entry_sender_t *sender = talloc_zero(NULL, entry_sender_t);
		kern_duty_options_t options = { .name = "jobs-send",
						.period_us = AGAIN_US,
						.ring_size = RING_SIZE,
						.arg = sender,
						.tick = on_tick,
						.message = on_message };

		sender->jobs = jobs;
		sender->tasks =
			plat_pods_new(sender, &jobs->daemon->settings->tasks);
		sender->thread = kern_duty_start(sender, &options, err);
		if (!sender->thread)
			return false;
		jobs->senders[i] = sender;
	}
	return true;
}

void entry_senders_stop(entry_jobs_t *jobs)
{
	for (int i = 0; i < ENTRY_JOBS_SENDERS; i++)
		end_sender(jobs->senders[i]);
}

static void end_sender(entry_sender_t *sender)
{
	send_t *send;

	kern_duty_stop(sender->thread);
	while ((send = g_queue_pop_head(&sender->waiting)))
		talloc_free(send);
	while ((send = g_queue_pop_head(&sender->again)))
		talloc_free(send);
	talloc_free(sender);
}

void entry_send(entry_jobs_t *jobs, entry_send_t kind,
		const jobs_order_t *order)
{
	send_t *send = talloc_zero(NULL, send_t);
	entry_sender_t *sender;

	send->kind = kind;
	send->epoch = atomic_load(&jobs->epoch);
	send->order = *order;
	send->order.job = base_str(base_str_dup(send, order->job));
	send->order.worker = base_str(base_str_dup(send, order->worker));
	send->order.family = base_str(base_str_dup(send, order->family));
	sender = jobs->senders[g_str_hash(send->order.job.ptr) %
			       ENTRY_JOBS_SENDERS];
	if (!g_queue_is_empty(&sender->waiting) ||
	    !kern_duty_post(sender->thread, send))
		g_queue_push_tail(&sender->waiting, send);
}

void entry_senders_tick(entry_jobs_t *jobs)
{
	for (int i = 0; i < ENTRY_JOBS_SENDERS; i++) {
		entry_sender_t *sender = jobs->senders[i];

		while (!g_queue_is_empty(&sender->waiting) &&
		       kern_duty_post(sender->thread,
				      g_queue_peek_head(&sender->waiting)))
			g_queue_pop_head(&sender->waiting);
	}
}

static void on_message(void *arg, void *msg, int64_t now)
{
	(void)now;
	carry_out(arg, msg);
}

static void on_tick(void *arg, int64_t now)
{
	entry_sender_t *sender = arg;
	guint n = g_queue_get_length(&sender->again);

	(void)now;
	while (n-- && !kern_duty_stopping(sender->thread))
		carry_out(sender, g_queue_pop_head(&sender->again));
}

/* Owns "send". */
static void carry_out(entry_sender_t *sender, send_t *send)
{
	GError *cause = NULL;

	if (!entry_jobs_holds(sender->jobs, send->epoch) ||
	    kinds[send->kind].fn(sender, send, &cause)) {
		talloc_free(send);
		return;
	}
	if (!g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_BAD)) {
		if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNKNOWN))
			send->unsure = true;
		g_clear_error(&cause);
		if (kinds[send->kind].again)
			g_queue_push_tail(&sender->again, send);
		else
			talloc_free(send);
		return;
	}
	base_log(sender->jobs->daemon->log, BASE_MSG_TASK_REFUSED,
		 BASE_F_STR("order", kinds[send->kind].name),
		 BASE_F_STR("job", send->order.job.ptr),
		 BASE_F_INT("attempt", send->order.attempt),
		 BASE_F_STR("why", cause->message));
	g_clear_error(&cause);
	if (send->kind == ENTRY_SEND_START && !send->unsure)
		never_began(sender, send);
	talloc_free(send);
}

static bool do_start(entry_sender_t *sender, const send_t *send, GError **err)
{
	return sender->tasks->ops->start(sender->tasks, &send->order, err);
}

static bool do_checkpoint(entry_sender_t *sender, const send_t *send,
			  GError **err)
{
	return sender->tasks->ops->checkpoint(sender->tasks, &send->order, err);
}

static bool do_throttle(entry_sender_t *sender, const send_t *send,
			GError **err)
{
	return sender->tasks->ops->throttle(sender->tasks, &send->order, err);
}

static bool do_resume(entry_sender_t *sender, const send_t *send, GError **err)
{
	return sender->tasks->ops->resume(sender->tasks, &send->order, err);
}

static bool do_stop(entry_sender_t *sender, const send_t *send, GError **err)
{
	return sender->tasks->ops->stop(sender->tasks, &send->order, err);
}

/* That the name was free in time is told by the pod that takes it. */
static bool do_forbid(entry_sender_t *sender, const send_t *send, GError **err)
{
	return sender->tasks->ops->forbid(sender->tasks, &send->order, err);
}

static bool do_forget(entry_sender_t *sender, const send_t *send, GError **err)
{
	char name[JOBS_ID_MAX + 32];

	g_snprintf(name, sizeof(name), "%s.%lld", send->order.job.ptr,
		   (long long)send->order.attempt);
	return sender->tasks->ops->forget(sender->tasks, name, err);
}

static void never_began(entry_sender_t *sender, const send_t *send)
{
	const jobs_report_t report = {
		.worker = send->order.worker,
		.incarnation = send->order.incarnation,
		.job = send->order.job,
		.attempt = send->order.attempt,
		.event = JOBS_EVENT_REFUSED,
	};

	entry_jobs_report(sender->jobs, send->epoch, &report);
}
