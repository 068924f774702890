/*
 * Callers: each keeps its connections open until the other side is gone,
 * hands jobs in at random entries, comes back where it was refused or not
 * answered, asks how its jobs stand, and at times changes its mind.
 */
#include <stdlib.h>

#include "soak_int.h"

#define CALLER_CONNECTIONS 4
#define CALLER_EVERY (90 * BASE_MS)	/* a job; the workers carry some 30/s */
#define CALLER_ASKS (40 * BASE_MS)	/* between two questions */
#define CALLER_TRIES 4			/* as the platform's callers */
#define CALLER_WAIT (3 * BASE_SEC)	/* for an answer, told to the entry */
#define CALLER_PATIENCE (200 * BASE_MS) /* beyond that */
#define CALLER_BACK (1 * BASE_SEC)	/* what refusals ask for, mostly */
#define CALLER_AGAIN (150 * BASE_MS)	/* after no answer */
#define CALLER_CANCELS 12		/* of a hundred jobs */
#define CALLER_CANCEL_MAX (3 * BASE_SEC)
#define CALLER_WIDE 40 /* tasks of a wide step */
/* A state may be old by as much, PROTOCOL's visible_ms. */
#define CALLER_VISIBLE (3 * BASE_SEC)

struct soak_callers {
	soak_t *soak;
	base_rng_t rng;
	net_client_t *entries[SOAK_NODES];
	GPtrArray *jobs;
	int64_t next_job;
	int64_t next_ask;
	guint turn; /* who is asked about next */
};

typedef struct question {
	soak_job_t *job;
	int64_t sent;
} question_t;

static void hand_in(void *arg);
static void cancel(soak_job_t *job);

static net_client_t *any_entry(soak_t *soak)
{
	soak_callers_t *callers = soak->callers;

	return callers->entries[base_rng_below(&callers->rng, SOAK_NODES)];
}

static void ask(soak_job_t *job, net_method_t method, const char *body,
		net_done_t *done, void *arg)
{
	static const net_header_t headers[] = {
		{ "Host", "desk.example" },
		{ "X-Deadline-Ms", "3000" },
	};
	char path[40];
	net_request_t request = { .method = method,
				  .path = path,
				  .headers = headers,
				  .n_headers = ARRAY_SIZE(headers),
				  .body = base_str(body),
				  .timeout = CALLER_WAIT + CALLER_PATIENCE };

	g_snprintf(path, sizeof(path), "/jobs/%s", job->id);
	net_call(any_entry(job->soak), &request, done, arg);
}

static void come_back(soak_job_t *job, int64_t delay)
{
	if (job->tries < CALLER_TRIES)
		net_timer_start(job->timer, delay);
	else
		job->outcome = job->maybe ? SOAK_JOB_UNKNOWN : SOAK_JOB_REFUSED;
}

static void handed_in(void *arg, const net_answer_t *answer)
{
	soak_job_t *job = arg;

	if (answer->call_outcome == NET_ANSWERED && answer->status == 200) {
		job->outcome = SOAK_JOB_ACCEPTED;
		job->accepted_at = base_clock_mono();
		return;
	}
	/* 503 says that this try was not taken, 504 that it may have been. */
	if (answer->call_outcome == NET_ANSWERED && answer->status == 503) {
		come_back(job, CALLER_BACK);
		return;
	}
	if (answer->call_outcome == NET_ANSWERED && answer->status != 504)
		soak_broke(job->soak, "job %s: handed in, status %d", job->id,
			   answer->status);
	job->maybe |= answer->call_outcome != NET_UNSENT;
	come_back(job, CALLER_AGAIN);
}

static void hand_in(void *arg)
{
	soak_job_t *job = arg;
	char *body = g_strdup_printf(
		"{\"spec\":\"x\",\"steps\":["
		"{\"count\":%d,\"cpu\":500,\"memMb\":100,\"estimateMs\":300},"
		"{\"count\":%d,\"cpu\":500,\"memMb\":100,\"estimateMs\":300,"
		"\"after\":[0]}]}",
		job->count[0], job->count[1]);

	job->tries++;
	ask(job, NET_POST, body, handed_in, job);
	g_free(body);
}

static void begin_job(soak_callers_t *callers)
{
	soak_t *soak = callers->soak;
	soak_job_t *job = talloc_zero(callers, soak_job_t);
	bool wide = base_rng_below(&callers->rng, 20) == 0;

	job->soak = soak;
	g_snprintf(job->id, sizeof(job->id), "%016x", callers->jobs->len + 1);
	job->count[0] =
		(int)soak_between(&callers->rng, 1, wide ? CALLER_WIDE : 4);
	job->count[1] = (int)soak_between(&callers->rng, 1, 2);
	if (base_rng_below(&callers->rng, 100) < CALLER_CANCELS)
		job->cancel_at =
			base_clock_mono() +
			soak_between(&callers->rng, 0, CALLER_CANCEL_MAX);
	job->timer = net_timer_new(job, soak->loop, hand_in, job);
	g_ptr_array_add(callers->jobs, job);
	hand_in(job);
}

static void cancelled(void *arg, const net_answer_t *answer)
{
	soak_job_t *job = arg;
	bool told = answer->call_outcome == NET_ANSWERED;

	if (told && answer->status == 200)
		job->cancelled_at = base_clock_mono();
	else if (told && answer->status == 410)
		job->cancel_at = 0; /* it had ended */
	else
		job->cancel_at = base_clock_mono() + CALLER_AGAIN;
}

static void cancel(soak_job_t *job)
{
	job->cancel_sent = true;
	job->cancel_at = INT64_MAX;
	ask(job, NET_DELETE, NULL, cancelled, job);
}

static void judge_state(soak_job_t *job, const char *state, int64_t sent)
{
	bool completed = !strcmp(state, "completed");

	if (completed && !job->completed_at)
		job->completed_at = base_clock_mono();
	else if (!completed && job->completed_at &&
		 sent > job->completed_at + CALLER_VISIBLE)
		soak_broke(job->soak, "job %s: completed, then %s", job->id,
			   state);
	if (!strcmp(state, "failed") ||
	    (!strcmp(state, "canceled") && !job->cancel_sent))
		soak_broke(job->soak, "job %s: %s without cause", job->id,
			   state);
}

static void told_state(void *arg, const net_answer_t *answer)
{
	question_t *question = arg;
	soak_job_t *job = question->job;
	json_t *root;
	const char *state;

	if (answer->call_outcome == NET_ANSWERED && answer->status == 410 &&
	    !job->cancel_sent &&
	    question->sent > job->accepted_at + CALLER_VISIBLE)
		soak_broke(job->soak, "job %s: accepted, then not known",
			   job->id);
	if (answer->call_outcome == NET_ANSWERED && answer->status == 200) {
		root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		state = json_string_value(json_object_get(root, "state"));
		if (state)
			judge_state(job, state, question->sent);
		else
			soak_broke(job->soak, "job %s: a state without one",
				   job->id);
		json_decref(root);
	}
	talloc_free(question);
}

static bool is_owed(const soak_job_t *job)
{
	return job->outcome == SOAK_JOB_ACCEPTED && !job->cancel_sent &&
	       !job->completed_at;
}

/* The next accepted job in turn; while closing, those that are owed. */
static soak_job_t *next_asked(soak_callers_t *callers, bool closing)
{
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		soak_job_t *job = g_ptr_array_index(
			callers->jobs, callers->turn++ % callers->jobs->len);

		if (closing ? is_owed(job) : job->outcome == SOAK_JOB_ACCEPTED)
			return job;
	}
	return NULL;
}

static void ask_state(soak_callers_t *callers, bool closing)
{
	soak_job_t *job = next_asked(callers, closing);
	question_t *question;

	if (!job)
		return;
	question = talloc_zero(callers, question_t);
	question->job = job;
	question->sent = base_clock_mono();
	ask(job, NET_GET, NULL, told_state, question);
}

static void cancel_due(const soak_callers_t *callers, int64_t now)
{
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		soak_job_t *job = g_ptr_array_index(callers->jobs, i);

		if (job->outcome == SOAK_JOB_ACCEPTED && job->cancel_at &&
		    now >= job->cancel_at && !job->cancelled_at)
			cancel(job);
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
		callers->next_job = now + CALLER_EVERY;
		begin_job(callers);
	}
	if (now >= callers->next_ask) {
		callers->next_ask = now + CALLER_ASKS;
		ask_state(callers, closing);
	}
	cancel_due(callers, now);
}

const GPtrArray *soak_callers_jobs(const soak_callers_t *callers)
{
	return callers->jobs;
}

size_t soak_callers_owed(const soak_callers_t *callers)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < callers->jobs->len; i++) {
		const soak_job_t *job = g_ptr_array_index(callers->jobs, i);

		n += is_owed(job) || job->outcome == SOAK_JOB_OPEN;
	}
	return n;
}
