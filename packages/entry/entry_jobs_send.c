#include "entry_jobs.h"

/*
 * Threads that send orders to the platform.  All orders for a job go through
 * the same thread, in sequence.  An order that may have been lost is retried
 * as long as this entry holds the duty.  Checkpoint and throttle orders are not
 * retried, because by then the core escalates to a stronger order.
 */

#define RING_SIZE 4096
#define RETRY_PERIOD_US (200 * BASE_MS)

typedef struct queued_order {
	entry_send_t kind;
	uint64_t epoch;
	bool outcome_unknown; /* an earlier attempt may have succeeded */
	/* Strings are talloc children of this struct. */
	jobs_order_t order;
} queued_order_t;

struct entry_sender {
	entry_jobs_t *jobs;
	kern_thread_t *thread;
	/* Orders that did not fit the ring; used only by the jobs thread. */
	GQueue overflow;
	/* Orders to send again; used only by the sender's thread. */
	GQueue retry;
	plat_tasks_t *tasks;
};

typedef bool (*send_fn_t)(entry_sender_t *sender, const queued_order_t *queued,
			  GError **err);

static void stop_sender(entry_sender_t *sender);
static void on_message(void *arg, void *msg, int64_t now);
static void on_tick(void *arg, int64_t now);
static void send_order(entry_sender_t *sender, queued_order_t *queued);
static bool do_start(entry_sender_t *sender, const queued_order_t *queued,
		     GError **err);
static bool do_checkpoint(entry_sender_t *sender, const queued_order_t *queued,
			  GError **err);
static bool do_throttle(entry_sender_t *sender, const queued_order_t *queued,
			GError **err);
static bool do_resume(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err);
static bool do_stop(entry_sender_t *sender, const queued_order_t *queued,
		    GError **err);
static bool do_forbid(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err);
static bool do_forget(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err);
static void report_refused(entry_sender_t *sender,
			   const queued_order_t *queued);

static const struct {
	const char *name;
	send_fn_t fn;
	bool retry;
} order_kinds[ENTRY_SEND_MAX] = {
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
		kern_thread_options_t options = { .name = "jobs-send",
						  .period_us = RETRY_PERIOD_US,
						  .ring_size = RING_SIZE,
						  .arg = sender,
						  .tick = on_tick,
						  .message = on_message };

		sender->jobs = jobs;
		sender->tasks =
			plat_pods_new(sender, &jobs->daemon->settings->tasks);
		sender->thread = kern_thread_start(sender, &options, err);
		if (!sender->thread)
			return false;
		jobs->senders[i] = sender;
	}
	return true;
}

void entry_senders_stop(entry_jobs_t *jobs)
{
	for (int i = 0; i < ENTRY_JOBS_SENDERS; i++)
		stop_sender(jobs->senders[i]);
}

static void stop_sender(entry_sender_t *sender)
{
	queued_order_t *queued;

	kern_thread_stop(sender->thread);
	while ((queued = g_queue_pop_head(&sender->overflow)))
		talloc_free(queued);
	while ((queued = g_queue_pop_head(&sender->retry)))
		talloc_free(queued);
	talloc_free(sender);
}

void entry_send(entry_jobs_t *jobs, entry_send_t kind,
		const jobs_order_t *order)
{
	queued_order_t *queued = talloc_zero(NULL, queued_order_t);
	entry_sender_t *sender;

	queued->kind = kind;
	queued->epoch = atomic_load(&jobs->epoch);
	queued->order = *order;
	queued->order.job = base_str(base_str_dup(queued, order->job));
	queued->order.worker = base_str(base_str_dup(queued, order->worker));
	queued->order.family = base_str(base_str_dup(queued, order->family));
	sender = jobs->senders[g_str_hash(queued->order.job.ptr) %
			       ENTRY_JOBS_SENDERS];
	if (!g_queue_is_empty(&sender->overflow) ||
	    !kern_thread_post(sender->thread, queued))
		g_queue_push_tail(&sender->overflow, queued);
}

void entry_senders_post_overflow(entry_jobs_t *jobs)
{
	for (int i = 0; i < ENTRY_JOBS_SENDERS; i++) {
		entry_sender_t *sender = jobs->senders[i];

		while (!g_queue_is_empty(&sender->overflow) &&
		       kern_thread_post(sender->thread,
					g_queue_peek_head(&sender->overflow)))
			g_queue_pop_head(&sender->overflow);
	}
}

static void on_message(void *arg, void *msg, int64_t now)
{
	(void)now;
	send_order(arg, msg);
}

static void on_tick(void *arg, int64_t now)
{
	entry_sender_t *sender = arg;
	guint n = g_queue_get_length(&sender->retry);

	(void)now;
	while (n-- && !kern_thread_is_stopping(sender->thread))
		send_order(sender, g_queue_pop_head(&sender->retry));
}

/*
 * Makes one attempt to send an order and takes ownership of it.  Orders of an
 * earlier epoch are dropped.
 */
static void send_order(entry_sender_t *sender, queued_order_t *queued)
{
	GError *cause = NULL;

	if (!entry_jobs_is_current_epoch(sender->jobs, queued->epoch) ||
	    order_kinds[queued->kind].fn(sender, queued, &cause)) {
		talloc_free(queued);
		return;
	}
	if (!g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_REJECTED)) {
		if (g_error_matches(cause, PLAT_ERROR, PLAT_ERROR_UNKNOWN))
			queued->outcome_unknown = true;
		g_clear_error(&cause);
		if (order_kinds[queued->kind].retry)
			g_queue_push_tail(&sender->retry, queued);
		else
			talloc_free(queued);
		return;
	}
	base_log(sender->jobs->daemon->log, BASE_MSG_TASK_REFUSED,
		 BASE_F_STR("order", order_kinds[queued->kind].name),
		 BASE_F_STR("job", queued->order.job.ptr),
		 BASE_F_INT("attempt", queued->order.attempt),
		 BASE_F_STR("why", cause->message));
	g_clear_error(&cause);
	if (queued->kind == ENTRY_SEND_START && !queued->outcome_unknown)
		report_refused(sender, queued);
	talloc_free(queued);
}

static bool do_start(entry_sender_t *sender, const queued_order_t *queued,
		     GError **err)
{
	return sender->tasks->ops->start(sender->tasks, &queued->order, err);
}

static bool do_checkpoint(entry_sender_t *sender, const queued_order_t *queued,
			  GError **err)
{
	return sender->tasks->ops->checkpoint(sender->tasks, &queued->order,
					      err);
}

static bool do_throttle(entry_sender_t *sender, const queued_order_t *queued,
			GError **err)
{
	return sender->tasks->ops->throttle(sender->tasks, &queued->order, err);
}

static bool do_resume(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err)
{
	return sender->tasks->ops->resume(sender->tasks, &queued->order, err);
}

static bool do_stop(entry_sender_t *sender, const queued_order_t *queued,
		    GError **err)
{
	return sender->tasks->ops->stop(sender->tasks, &queued->order, err);
}

/*
 * The pod that takes the task's name reports that the task never began; no
 * report is made here.
 */
static bool do_forbid(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err)
{
	return sender->tasks->ops->forbid(sender->tasks, &queued->order, err);
}

static bool do_forget(entry_sender_t *sender, const queued_order_t *queued,
		      GError **err)
{
	char name[JOBS_ID_MAX + 32];

	g_snprintf(name, sizeof(name), "%s.%lld", queued->order.job.ptr,
		   (long long)queued->order.attempt);
	return sender->tasks->ops->forget(sender->tasks, name, err);
}

static void report_refused(entry_sender_t *sender, const queued_order_t *queued)
{
	const jobs_report_t report = {
		.worker = queued->order.worker,
		.incarnation = queued->order.incarnation,
		.job = queued->order.job,
		.attempt = queued->order.attempt,
		.event = JOBS_EVENT_REFUSED,
	};

	entry_jobs_report(sender->jobs, queued->epoch, &report);
}
