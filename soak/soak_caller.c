/*
 * Callers: keep connections open until the peer closes them, submit jobs to
 * random entries, retry after a refusal or a missing answer, query the state of
 * their jobs and cancel some of them.
 */
#include <stdlib.h>

#include "soak_int.h"

#define CALLER_CONNECTIONS 4
/* One job each; the workers take about 30 jobs per second. */
#define CALLER_JOB_INTERVAL (90 * BASE_MS)
/* Between state queries. */
#define CALLER_QUERY_INTERVAL (40 * BASE_MS)
/* Same as the platform's callers. */
#define CALLER_ATTEMPTS_MAX 4
/* Jobs whose caller tries once: hardly any job is refused four times. */
#define CALLER_ONE_ATTEMPT_PERCENT 40
/* Sent to the entry as X-Deadline-Ms. */
#define CALLER_DEADLINE (3 * BASE_SEC)
/* Waited beyond the deadline. */
#define CALLER_DEADLINE_MARGIN (200 * BASE_MS)
/* The delay that most refusals ask for. */
#define CALLER_REFUSED_DELAY (1 * BASE_SEC)
/* After a missing answer. */
#define CALLER_RETRY_DELAY (150 * BASE_MS)
/* Jobs that are cancelled. */
#define CALLER_CANCEL_PERCENT 12
#define CALLER_CANCEL_MAX (3 * BASE_SEC)
#define CALLER_WIDE_STEP_MAX 40 /* most tasks of a wide step */
/* Jobs that run until they are cancelled. */
#define CALLER_LONG_RUNNING_PERCENT 6
#define CALLER_LONG_RUNNING_TASKS_MAX 3
/* Jobs of the workspace with a limit and a key that is removed at times; none
 * of them is long-running, as those might fill the limit. */
#define CALLER_RED_PERCENT 30
/* Maximum age of a reported state: visible_ms in PROTOCOL. */
#define CALLER_STALE_MAX (3 * BASE_SEC)

struct soak_callers {
	soak_t *soak;
	base_rng_t rng;
	net_client_t *entries[SOAK_NODES];
	GPtrArray *jobs;
	int64_t next_job;
	int64_t next_query;
	guint next_index; /* job to query next */
};

typedef struct query {
	soak_job_t *job;
	int64_t sent_at;
	soak_key_use_t use;
} query_t;

static void submit_job(void *arg);
static void cancel_job(soak_job_t *job);

static net_client_t *pick_entry(soak_t *soak)
{
	soak_callers_t *callers = soak->callers;

	return callers->entries[base_rng_below(&callers->rng, SOAK_NODES)];
}

static void send_request(soak_job_t *job, net_method_t method, const char *body,
			 net_done_t *done, void *arg)
{
	const net_header_t headers[] = {
		{ "Host", "desk.example" },
		{ "X-Deadline-Ms", "3000" },
		{ "X-Key", soak_key(job->workspace) },
	};
	char path[40];
	net_request_t request = { .method = method,
				  .path = path,
				  .headers = headers,
				  .n_headers = job->soak->keys ? 3 : 2,
				  .body = base_str(body),
				  .timeout = CALLER_DEADLINE +
					     CALLER_DEADLINE_MARGIN };

	g_snprintf(path, sizeof(path), "/jobs/%s", job->id);
	net_call(pick_entry(job->soak), &request, done, arg);
}

static void retry_or_finish(soak_job_t *job, int64_t delay)
{
	if (job->attempts < job->attempts_max)
		net_timer_start(job->timer, delay);
	else
		job->outcome = job->may_be_accepted ? SOAK_JOB_UNKNOWN
						    : SOAK_JOB_REFUSED;
}

static void submit_done(void *arg, const net_answer_t *answer)
{
	soak_job_t *job = arg;
	bool is_answered = answer->call_outcome == NET_ANSWERED;

	if (is_answered)
		soak_key_judge(job->soak, job->workspace, &job->submit_use,
			       answer->status);
	if (is_answered && answer->status == 200) {
		job->outcome = SOAK_JOB_ACCEPTED;
		job->accepted_at = base_clock_mono();
		return;
	}
	/* 503: this attempt was not accepted.  504: it may have been. */
	if (is_answered && (answer->status == 503 ||
			    (job->soak->keys && (answer->status == 401 ||
						 answer->status == 429)))) {
		retry_or_finish(job, CALLER_REFUSED_DELAY);
		return;
	}
	if (answer->call_outcome == NET_ANSWERED && answer->status != 504)
		soak_report_violation(job->soak,
				      "job %s: submit answered with status %d",
				      job->id, answer->status);
	job->may_be_accepted |= answer->call_outcome != NET_UNSENT;
	retry_or_finish(job, CALLER_RETRY_DELAY);
}

static void submit_job(void *arg)
{
	soak_job_t *job = arg;
	static const char two_steps[] =
		"{\"spec\":\"x\",\"steps\":["
		"{\"count\":%d,\"cpu\":500,\"memMb\":100,\"estimateMs\":300},"
		"{\"count\":%d,\"cpu\":500,\"memMb\":100,\"estimateMs\":300,"
		"\"after\":[0]}]}";
	/* The stand-in knows long-running tasks by their spec. */
	static const char long_running[] =
		"{\"spec\":\"lasts\",\"steps\":[{\"count\":%d,\"cpu\":500,"
		"\"memMb\":100,\"longRunning\":true}]}";
	char *body = job->is_long_running
			     ? g_strdup_printf(long_running, job->task_count[0])
			     : g_strdup_printf(two_steps, job->task_count[0],
					       job->task_count[1]);

	job->attempts++;
	job->submit_use = soak_key_use(job->soak, job->workspace);
	send_request(job, NET_POST, body, submit_done, job);
	g_free(body);
}

static void create_job(soak_callers_t *callers)
{
	soak_t *soak = callers->soak;
	soak_job_t *job = talloc_zero(callers, soak_job_t);
	bool wide = base_rng_below(&callers->rng, 20) == 0;

	job->soak = soak;
	g_snprintf(job->id, sizeof(job->id), "%016x", callers->jobs->len + 1);
	job->task_count[0] = (int)soak_random_range(
		&callers->rng, 1, wide ? CALLER_WIDE_STEP_MAX : 4);
	job->task_count[1] = (int)soak_random_range(&callers->rng, 1, 2);
	job->attempts_max =
		base_rng_below(&callers->rng, 100) < CALLER_ONE_ATTEMPT_PERCENT
			? 1
			: CALLER_ATTEMPTS_MAX;
	job->is_long_running = base_rng_below(&callers->rng, 100) <
			       CALLER_LONG_RUNNING_PERCENT;
	if (job->is_long_running) {
		job->task_count[0] = (int)soak_random_range(
			&callers->rng, 1, CALLER_LONG_RUNNING_TASKS_MAX);
		job->task_count[1] = 0;
	}
	if (soak->keys &&
	    base_rng_below(&callers->rng, 100) < CALLER_RED_PERCENT &&
	    !job->is_long_running)
		job->workspace = SOAK_RED;
	if (base_rng_below(&callers->rng, 100) < CALLER_CANCEL_PERCENT)
		job->cancel_at =
			base_clock_mono() +
			soak_random_range(&callers->rng, 0, CALLER_CANCEL_MAX);
	job->timer = net_timer_new(job, soak->loop, submit_job, job);
	g_ptr_array_add(callers->jobs, job);
	submit_job(job);
}

static void cancel_done(void *arg, const net_answer_t *answer)
{
	soak_job_t *job = arg;
	bool is_answered = answer->call_outcome == NET_ANSWERED;

	if (is_answered)
		soak_key_judge(job->soak, job->workspace, &job->cancel_use,
			       answer->status);
	if (is_answered && answer->status == 200)
		job->cancelled_at = base_clock_mono();
	else if (is_answered && answer->status == 410)
		job->cancel_at = 0; /* the job had already ended */
	else
		job->cancel_at = base_clock_mono() + CALLER_RETRY_DELAY;
}

static void cancel_job(soak_job_t *job)
{
	job->cancel_sent = true;
	job->cancel_at = INT64_MAX;
	job->cancel_use = soak_key_use(job->soak, job->workspace);
	send_request(job, NET_DELETE, NULL, cancel_done, job);
}

static void check_state(soak_job_t *job, const char *state, int64_t sent_at)
{
	bool completed = !strcmp(state, "completed");

	if (completed && !job->completed_at)
		job->completed_at = base_clock_mono();
	else if (!completed && job->completed_at &&
		 sent_at > job->completed_at + CALLER_STALE_MAX)
		soak_report_violation(
			job->soak, "job %s: state changed from completed to %s",
			job->id, state);
	if (!strcmp(state, "failed") || (completed && job->is_long_running) ||
	    (!strcmp(state, "canceled") && !job->cancel_sent))
		soak_report_violation(job->soak, "job %s: %s without a cause",
				      job->id, state);
}

static void query_done(void *arg, const net_answer_t *answer)
{
	query_t *query = arg;
	soak_job_t *job = query->job;
	json_t *root;
	const char *state;

	if (answer->call_outcome == NET_ANSWERED)
		soak_key_judge(job->soak, job->workspace, &query->use,
			       answer->status);
	if (answer->call_outcome == NET_ANSWERED && answer->status == 410 &&
	    !job->cancel_sent &&
	    query->sent_at > job->accepted_at + CALLER_STALE_MAX)
		soak_report_violation(
			job->soak,
			"job %s: accepted, but a later query got status 410",
			job->id);
	if (answer->call_outcome == NET_ANSWERED && answer->status == 200) {
		root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		state = json_string_value(json_object_get(root, "state"));
		if (state)
			check_state(job, state, query->sent_at);
		else
			soak_report_violation(
				job->soak,
				"job %s: state answer has no state member",
				job->id);
		json_decref(root);
	}
	talloc_free(query);
}

static bool is_pending(const soak_job_t *job)
{
	return job->outcome == SOAK_JOB_ACCEPTED && !job->cancel_sent &&
	       !job->completed_at && !job->is_long_running;
}

/* The next accepted job in round-robin order; while closing, the next pending
 * job. */
static soak_job_t *next_to_query(soak_callers_t *callers, bool closing)
{
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		soak_job_t *job = g_ptr_array_index(callers->jobs,
						    callers->next_index++ %
							    callers->jobs->len);

		if (closing ? is_pending(job)
			    : job->outcome == SOAK_JOB_ACCEPTED)
			return job;
	}
	return NULL;
}

static void query_state(soak_callers_t *callers, bool closing)
{
	soak_job_t *job = next_to_query(callers, closing);
	query_t *query;

	if (!job)
		return;
	query = talloc_zero(callers, query_t);
	query->job = job;
	query->sent_at = base_clock_mono();
	query->use = soak_key_use(job->soak, job->workspace);
	send_request(job, NET_GET, NULL, query_done, query);
}

static void cancel_due(const soak_callers_t *callers, int64_t now)
{
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		soak_job_t *job = g_ptr_array_index(callers->jobs, i);

		if (job->outcome == SOAK_JOB_ACCEPTED && job->cancel_at &&
		    now >= job->cancel_at && !job->cancelled_at)
			cancel_job(job);
	}
}

static int callers_free(soak_callers_t *callers)
{
	g_ptr_array_unref(callers->jobs);
	return 0;
}

soak_callers_t *soak_callers_new(soak_t *soak)
{
	soak_callers_t *callers = talloc_zero(soak, soak_callers_t);
	char address[32];
	int i;

	callers->soak = soak;
	callers->rng.state = base_rng_next(&soak->rng);
	callers->jobs = g_ptr_array_new();
	talloc_set_destructor(callers, callers_free);
	for (i = 0; i < SOAK_NODES; i++) {
		net_client_options_t options = { .loop = soak->loop,
						 .address = address,
						 .connections =
							 CALLER_CONNECTIONS };

		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   soak_port(soak, SOAK_PORT_CALLERS_LINK, i));
		callers->entries[i] = net_client_new(callers, &options);
	}
	return callers;
}

void soak_callers_tick(soak_callers_t *callers, int64_t now, bool closing)
{
	if (!closing && now >= callers->next_job) {
		callers->next_job = now + CALLER_JOB_INTERVAL;
		create_job(callers);
	}
	if (now >= callers->next_query) {
		callers->next_query = now + CALLER_QUERY_INTERVAL;
		query_state(callers, closing);
	}
	cancel_due(callers, now);
}

const GPtrArray *soak_callers_jobs(const soak_callers_t *callers)
{
	return callers->jobs;
}

size_t soak_callers_count_pending(const soak_callers_t *callers)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		const soak_job_t *job = g_ptr_array_index(callers->jobs, i);

		n += is_pending(job) || job->outcome == SOAK_JOB_OPEN;
	}
	return n;
}
