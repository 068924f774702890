/*
 * usage: soak --seed=N --seconds=N --programs=DIR --work=DIR [--kinds=N]
 *             [--workspaces]
 *
 * One run: the site settles, faults are injected while callers submit jobs, all
 * faults end, and every accepted job has to complete.  The last line of output
 * is a JSON summary.  Exit status: 1 if a guarantee was violated, 2 if no job
 * was accepted or the run could not be set up.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <unistd.h>

#include "soak_int.h"

#define SOAK_TICK (10 * BASE_MS)
/* Callers are served again within this time after the processes are back:
 * recoveryS in RULES. */
#define SOAK_RECOVERY_MAX (15 * BASE_SEC)
/* After that, the last wide jobs may take this long on a machine with several
 * runs. */
#define SOAK_COMPLETION_MAX (60 * BASE_SEC)
/* Covers programs with a sanitizer and several runs at once. */
#define SOAK_START_MAX (20 * BASE_SEC)
/* Blocks lie below the ports of the other tests. */
#define SOAK_PORT_FIRST 2000
#define SOAK_PORT_BLOCK 200
#define SOAK_PORT_BLOCKS 40
#define SOAK_WAVE_INSTANCES 5 /* instances in the wave */
#define SOAK_DRIFT_PERCENT 2  /* clock error of the workers, from PROTOCOL */
/* A request may be lost if its connection is closed sooner than this after its
 * last byte: lossSlackMs in RULES. */
#define SOAK_LOSS_SLACK (200 * BASE_MS)

typedef enum phase {
	PHASE_START,
	PHASE_FAULTS,
	PHASE_RECOVERY,
	PHASE_CHECK,
	PHASE_MAX
} phase_t;

typedef struct run {
	soak_t *soak;
	const char *name;
	int64_t seconds;
	bool has_workspaces;
	phase_t phase;
	int64_t phase_since; /* when the phase began or service was restored */
	bool is_querying;
	bool started;	   /* the stand-in is this run's own */
	bool is_served;	   /* a job submitted after the faults was accepted */
	guint jobs_before; /* submitted before the faults ended */
	int64_t faults_ended_at;
	net_timer_t *timer;
} run_t;

void soak_report_violation(soak_t *soak, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("{\"at_ms\":%lld,\"broken\":\"%s\"}\n",
	       (long long)((base_clock_mono() - soak->started_at) / BASE_MS),
	       text);
	g_ptr_array_add(soak->violations, text);
}

int64_t soak_random_range(base_rng_t *rng, int64_t min, int64_t max)
{
	return min + (int64_t)base_rng_below(rng, (uint64_t)(max - min + 1));
}

int soak_port(const soak_t *soak, soak_port_kind_t kind, int number)
{
	static const int first[SOAK_PORT_KIND_MAX] = {
		[SOAK_PORT_STANDIN] = 0,
		[SOAK_PORT_CALLERS] = 80,
		[SOAK_PORT_READY] = 90,
		[SOAK_PORT_PEERS] = 100,
		[SOAK_PORT_METRICS] = 110,
		[SOAK_PORT_STORE_LINK] = 120,
		[SOAK_PORT_INSTANCES_LINK] = 130,
		[SOAK_PORT_PEERS_LINK] = 140,
		[SOAK_PORT_CALLERS_LINK] = 150,
		[SOAK_PORT_WORKERS_LINK] = 160,
	};

	return soak->port + first[kind] + number;
}

static void post_done(void *arg, const net_answer_t *answer)
{
	soak_t *soak = arg;

	if (answer->call_outcome != NET_ANSWERED || answer->status != 200)
		soak_report_violation(
			soak,
			"the stand-in rejected or did not answer a request");
}

void soak_post(soak_t *soak, const char *path, const char *body)
{
	net_request_t request = { .method = NET_POST,
				  .path = path,
				  .body = base_str(body),
				  .timeout = 5 * BASE_SEC };

	net_call(soak->control, &request, post_done, soak);
}

typedef struct config_write {
	soak_t *soak;
	int version;
} config_write_t;

static void config_written(void *arg, const net_answer_t *answer)
{
	config_write_t *write = arg;

	post_done(write->soak, answer);
	if (answer->call_outcome == NET_ANSWERED && answer->status == 200)
		soak_keys_written(write->soak, write->version);
	talloc_free(write);
}

void soak_configure(soak_t *soak, int version)
{
	config_write_t *write = talloc_zero(soak, config_write_t);
	net_request_t request = { .method = NET_POST,
				  .path = "/operator?key=op/config",
				  .timeout = 5 * BASE_SEC };
	char *body = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"jobs\","
		"\"host\":\"desk.example\",\"prefix\":\"/jobs/\","
		"\"service\":\"desk\",\"attempts\":2,\"stretch\":50,"
		"\"targetLatencyMs\":20000,\"priority\":0%s}],\"services\":["
		"{\"name\":\"desk\",\"admissionCheck\":true},"
		"{\"name\":\"spare\",\"admissionCheck\":true,\"spare\":true}]%s}",
		version,
		soak->has_policy ? ",\"advice\":{\"decisionMs\":40,"
				   "\"periodMs\":4,\"validityMs\":1500}"
				 : "",
		soak_keys_tenants(soak));

	*write = (config_write_t){ soak, version };
	soak_keys_sent(soak, version);
	request.body = base_str(body);
	net_call(soak->control, &request, config_written, write);
	g_free(body);
}

void soak_order_wave(soak_t *soak, int number, int max_concurrent)
{
	GString *body = g_string_new(NULL);
	char *path = g_strdup_printf("/operator?key=op/wave/%d", number);
	int i;

	g_string_append_printf(body, "{\"wave\":%d,\"machines\":[", number);
	for (i = 0; i < SOAK_WAVE_INSTANCES; i++)
		g_string_append_printf(body, "%s\"m-%d\"", i ? "," : "",
				       i * 2 + (number + 1) % 2);
	g_string_append_printf(body, "],\"durationS\":60,\"atMost\":%d}",
			       max_concurrent);
	soak_post(soak, path, body->str);
	g_string_free(body, TRUE);
	g_free(path);
}

/* A node closed a connection on which a request waits. */
static void request_lost(void *arg, int64_t asked_at)
{
	soak_process_t *node = arg;
	int64_t now = base_clock_mono();

	if (now - asked_at > SOAK_LOSS_SLACK &&
	    soak_process_is_calm(node, asked_at - SOAK_STABLE))
		soak_report_violation(
			node->soak,
			"%s: closed a connection without an answer, %d ms "
			"after a request and %d ms after SIGTERM",
			node->name, (int)((now - asked_at) / BASE_MS),
			node->terminated_at
				? (int)((now - node->terminated_at) / BASE_MS)
				: -1);
}

static char *write_settings(const soak_t *soak, int i)
{
	char *file =
		talloc_asprintf(soak, "%s/node-%d.json", soak->work_dir, i);
	char *text = g_strdup_printf(
		"{\"name\": \"edge-%d\", \"availability_zone\": \"z%d\",\n"
		"\"callers\": \"127.0.0.1:%d\", \"ready\": \"127.0.0.1:%d\",\n"
		"\"peers\": \"127.0.0.1:%d\", \"peers_at\": \"127.0.0.1:%d\",\n"
		"\"metrics\": \"127.0.0.1:%d\", \"store\": \"127.0.0.1:%d\",\n"
		"\"instances\": \"127.0.0.1:%d\", \"processor_cores\": 0.25,\n"
		"\"advice\": \"127.0.0.1:%d\",\n"
		"\"lease_max_ms\": 6000, \"keep_s\": 600%s}\n",
		i, i % 3, soak_port(soak, SOAK_PORT_CALLERS, i),
		soak_port(soak, SOAK_PORT_READY, i),
		soak_port(soak, SOAK_PORT_PEERS, i),
		soak_port(soak, SOAK_PORT_PEERS_LINK, i),
		soak_port(soak, SOAK_PORT_METRICS, i),
		soak_port(soak, SOAK_PORT_STORE_LINK, i),
		soak_port(soak, SOAK_PORT_INSTANCES_LINK, i),
		soak_port(soak, SOAK_PORT_INSTANCES_LINK, i),
		soak->keys ? ", \"revoke_bound_ms\": 3000" : "");
	GError *err = NULL;

	if (!g_file_set_contents(file, text, -1, &err)) {
		fprintf(stderr, "soak: %s\n", err->message);
		exit(2);
	}
	g_free(text);
	return file;
}

static soak_process_t *node_new(soak_t *soak, int i)
{
	char *name = talloc_asprintf(soak, "node-%d", i);
	char *argv[] = {
		talloc_asprintf(soak, "%s/cactusfield-node", soak->program_dir),
		talloc_asprintf(soak, "--settings=%s", write_settings(soak, i)),
		NULL
	};
	soak_process_t *node = soak_process_new(soak, name, argv);

	node->restart_delay = soak_random_range(&soak->rng, 0, 2 * BASE_SEC);
	return node;
}

static soak_process_t *standin_new(soak_t *soak, const char *run)
{
	char *argv[] = {
		talloc_asprintf(soak, "%s/standin/standin-platform",
				soak->program_dir),
		talloc_asprintf(soak, "--port=%d", soak->port),
		talloc_asprintf(soak, "--workers=%d", SOAK_WORKERS),
		talloc_asprintf(soak, "--listed=%d",
				soak_port(soak, SOAK_PORT_WORKERS_LINK, 0)),
		talloc_asprintf(soak, "--drift=%d", SOAK_DRIFT_PERCENT),
		talloc_asprintf(soak, "--run=%s", run),
		NULL
	};

	return soak_process_new(soak, "standin", argv);
}

static bool create_links(soak_t *soak)
{
	soak_link_t **const links[] = { soak->store_links, soak->instance_links,
					soak->peer_links, soak->caller_links };
	static const soak_port_kind_t from[] = { SOAK_PORT_STORE_LINK,
						 SOAK_PORT_INSTANCES_LINK,
						 SOAK_PORT_PEERS_LINK,
						 SOAK_PORT_CALLERS_LINK };
	bool ok = true;
	size_t k;
	int i;

	for (k = 0; k < ARRAY_SIZE(links); k++)
		for (i = 0; i < SOAK_NODES; i++) {
			int to = soak->port;

			if (links[k] == soak->peer_links)
				to = soak_port(soak, SOAK_PORT_PEERS, i);
			else if (links[k] == soak->caller_links)
				to = soak_port(soak, SOAK_PORT_CALLERS, i);
			links[k][i] =
				soak_link_new(soak, soak->base,
					      soak_port(soak, from[k], i), to);
			ok = ok && links[k][i];
		}
	for (i = 0; i < SOAK_WORKERS; i++) {
		soak->worker_links[i] = soak_link_new(
			soak, soak->base,
			soak_port(soak, SOAK_PORT_WORKERS_LINK, i),
			soak->port + 1 + i);
		ok = ok && soak->worker_links[i];
	}
	return ok;
}

static void begin_phase(run_t *run, phase_t phase)
{
	run->phase = phase;
	run->phase_since = base_clock_mono();
}

/* Sets up the site once the stand-in answers. */
static void set_up(run_t *run)
{
	soak_t *soak = run->soak;
	int i;

	if (!create_links(soak)) {
		fprintf(stderr, "soak: a port is in use\n");
		exit(2);
	}
	soak->standin->is_exit_expected = false;
	if (run->has_workspaces)
		soak->keys = soak_keys_new(soak);
	soak_configure(soak, 1);
	for (i = 0; i < SOAK_NODES; i++) {
		soak->nodes[i] = node_new(soak, i);
		soak_link_report_lost(soak->caller_links[i], request_lost,
				      soak->nodes[i]);
		soak_process_start(soak->nodes[i]);
	}
	soak->callers = soak_callers_new(soak);
	soak->faults = soak_faults_new(soak);
	begin_phase(run, PHASE_FAULTS);
}

static void results_received(void *arg, const net_answer_t *answer)
{
	run_t *run = arg;
	soak_t *soak = run->soak;
	json_t *root = NULL;
	const char *name;
	json_int_t late;

	run->is_querying = false;
	if (answer->call_outcome == NET_ANSWERED)
		root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	name = json_string_value(json_object_get(root, "run"));
	if (run->phase == PHASE_START) {
		if (name && !strcmp(name, run->name))
			set_up(run);
	} else if (!root) {
		soak_report_violation(soak,
				      "the stand-in sent no valid results");
	} else {
		if (json_integer_value(json_object_get(root, "broken")))
			soak_report_violation(soak, "%s",
					      json_string_value(json_object_get(
						      root, "fault")));
		late = json_integer_value(json_object_get(root, "late_orders"));
		if (late)
			soak_report_violation(
				soak,
				"%d orders for instances with a lower fencing "
				"token after a higher one",
				(int)late);
	}
	json_decref(root);
}

static void query_standin(run_t *run, const char *path, net_done_t *done)
{
	net_request_t request = { .method = NET_GET,
				  .path = path,
				  .timeout = 10 * BASE_SEC };

	run->is_querying = true;
	net_call(run->soak->control, &request, done, run);
}

static void records_received(void *arg, const net_answer_t *answer)
{
	run_t *run = arg;

	run->is_querying = false;
	if (answer->call_outcome == NET_ANSWERED)
		soak_check_jobs(run->soak, answer->body);
	else
		soak_report_violation(run->soak,
				      "the stand-in sent no records");
	net_loop_stop(run->soak->loop);
}

static void query_results(run_t *run)
{
	query_standin(run, "/judge", results_received);
	query_standin(run, "/records", records_received);
}

static bool has_accepted_job(const run_t *run)
{
	const GPtrArray *jobs = soak_callers_jobs(run->soak->callers);
	guint i;

	for (i = run->jobs_before; i < jobs->len; i++)
		if (((soak_job_t *)g_ptr_array_index(jobs, i))->outcome ==
		    SOAK_JOB_ACCEPTED)
			return true;
	return false;
}

static void end_faults(run_t *run)
{
	soak_t *soak = run->soak;
	int i;

	soak_faults_end_all(soak->faults);
	soak_keys_restore(soak);
	for (i = 0; i < SOAK_NODES; i++)
		soak_process_signal(soak->nodes[i], SIGCONT);
	run->faults_ended_at = base_clock_mono();
	run->jobs_before = soak_callers_jobs(soak->callers)->len;
	begin_phase(run, PHASE_RECOVERY);
}

/* Whether no process was started, and no fault was there, for so long that
 * long-running tasks must be at work. */
static bool is_calm(const run_t *run, int64_t now)
{
	soak_process_t *const *nodes = run->soak->nodes;
	int64_t since = run->faults_ended_at;
	int i;

	for (i = 0; i < SOAK_NODES && nodes[i]; i++)
		since = MAX(since, nodes[i]->started_at);
	return now - since > SOAK_STABLE + SOAK_AWAY_MAX;
}

static void recovery_tick(run_t *run, int64_t now)
{
	soak_t *soak = run->soak;

	if (!run->is_served && has_accepted_job(run)) {
		run->is_served = true;
		run->phase_since = now;
	}
	if (!run->is_served && now - run->phase_since > SOAK_RECOVERY_MAX) {
		soak_report_violation(
			soak,
			"no job accepted within %d s after the faults ended",
			(int)(SOAK_RECOVERY_MAX / BASE_SEC));
		run->is_served = true;
		run->phase_since = now;
	}
	soak_callers_tick(soak->callers, now, run->is_served);
	if (!run->is_served)
		return;
	if ((is_calm(run, now) && !soak_callers_count_pending(soak->callers)) ||
	    now - run->phase_since > SOAK_COMPLETION_MAX) {
		begin_phase(run, PHASE_CHECK);
		query_results(run);
	}
}

static void tick(void *arg)
{
	run_t *run = arg;
	soak_t *soak = run->soak;
	int64_t now = base_clock_mono();
	int i;

	net_timer_start(run->timer, SOAK_TICK);
	soak_process_tick(soak->standin, now);
	for (i = 0; i < SOAK_NODES && soak->nodes[i]; i++)
		soak_process_tick(soak->nodes[i], now);
	switch (run->phase) {
	case PHASE_START:
		if (!soak->standin->pid ||
		    now - run->phase_since > SOAK_START_MAX)
			net_loop_stop(soak->loop);
		else if (!run->is_querying)
			query_standin(run, "/judge", results_received);
		break;
	case PHASE_FAULTS:
		soak_faults_tick(soak->faults, now);
		soak_keys_tick(soak, now);
		soak_callers_tick(soak->callers, now, false);
		if (now - run->phase_since > run->seconds * BASE_SEC)
			end_faults(run);
		break;
	case PHASE_RECOVERY:
		recovery_tick(run, now);
		break;
	default:
		break;
	}
}

static int count_outcome(const soak_t *soak, soak_outcome_t outcome)
{
	const GPtrArray *jobs = soak_callers_jobs(soak->callers);
	int n = 0;
	guint i;

	for (i = 0; i < jobs->len; i++)
		n += ((soak_job_t *)g_ptr_array_index(jobs, i))->outcome ==
		     outcome;
	return n;
}

static int print_summary(const run_t *run, int64_t seed)
{
	const soak_t *soak = run->soak;

	printf("{\"seed\":%lld,\"seconds\":%lld,\"faults\":%d,\"jobs\":%u,"
	       "\"accepted\":%d,\"refused\":%d,\"unknown\":%d,\"broken\":%u}\n",
	       (long long)seed, (long long)run->seconds,
	       soak_faults_count(soak->faults),
	       soak_callers_jobs(soak->callers)->len,
	       count_outcome(soak, SOAK_JOB_ACCEPTED),
	       count_outcome(soak, SOAK_JOB_REFUSED),
	       count_outcome(soak, SOAK_JOB_UNKNOWN), soak->violations->len);
	if (!count_outcome(soak, SOAK_JOB_ACCEPTED))
		return 2;
	return soak->violations->len ? 1 : 0;
}

/* Runs once on a block of ports; returns -1 if they are in use. */
static int run_once(soak_t *soak, run_t *run, int64_t seed)
{
	char address[32];
	net_client_options_t options = { .loop = soak->loop,
					 .address = address,
					 .connections = 2 };
	int status = -1;
	int i;

	g_snprintf(address, sizeof(address), "127.0.0.1:%d", soak->port);
	soak->control = net_client_new(soak, &options);
	soak->standin = standin_new(soak, run->name);
	soak_process_start(soak->standin);
	/* It exits if its ports are in use; the next block is tried. */
	soak->standin->is_exit_expected = true;
	begin_phase(run, PHASE_START);
	net_timer_start(run->timer, SOAK_TICK);
	net_loop_run(soak->loop);
	if (run->phase != PHASE_START)
		status = print_summary(run, seed);
	for (i = 0; i < SOAK_NODES && soak->nodes[i]; i++)
		soak_process_kill(soak->nodes[i]);
	soak_process_kill(soak->standin);
	return status;
}

typedef struct options {
	int64_t seed;
	int64_t seconds;
	size_t kinds_max;
	bool has_workspaces;
	const char *programs;
	const char *work;
} options_t;

static int run_seed(const options_t *options)
{
	char *name = g_strdup_printf("soak-%d", (int)getpid());
	int status = -1;
	int i;

	for (i = 0; i < SOAK_PORT_BLOCKS && status < 0; i++) {
		soak_t *soak = talloc_zero(NULL, soak_t);
		run_t *run = talloc_zero(soak, run_t);

		*run = (run_t){ .soak = soak,
				.name = name,
				.seconds = options->seconds,
				.has_workspaces = options->has_workspaces };
		soak->loop = net_loop_new(soak);
		soak->base = net_loop_base(soak->loop);
		soak->rng.state = (uint64_t)options->seed;
		soak->program_dir = options->programs;
		soak->kinds_max = options->kinds_max;
		soak->work_dir = options->work;
		soak->violations = g_ptr_array_new_with_free_func(g_free);
		soak->started_at = base_clock_mono();
		soak->port =
			SOAK_PORT_FIRST +
			SOAK_PORT_BLOCK * ((getpid() + i) % SOAK_PORT_BLOCKS);
		run->timer = net_timer_new(soak->loop, soak->loop, tick, run);
		status = run_once(soak, run, options->seed);
		g_ptr_array_unref(soak->violations);
		talloc_free(soak);
	}
	g_free(name);
	if (status >= 0)
		return status;
	fprintf(stderr, "soak: no block of ports is free\n");
	return 2;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int1(NULL, "seed", "N", "seed of all random values");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N",
					   "duration of the fault phase (20)");
	struct arg_str *programs = arg_str1(NULL, "programs", "DIR",
					    "directory of the built programs");
	struct arg_str *work =
		arg_str1(NULL, "work", "DIR",
			 "existing directory for logs and settings");
	struct arg_int *kinds = arg_int0(NULL, "kinds", "N",
					 "draw from the first N kinds of fault "
					 "(all)");
	struct arg_lit *workspaces =
		arg_lit0(NULL, "workspaces",
			 "two workspaces, of which one has a key that is "
			 "removed and added");
	struct arg_end *end = arg_end(4);
	void *table[] = {
		seed, seconds, programs, work, kinds, workspaces, end
	};
	options_t options = { .seconds = 20, .kinds_max = SIZE_MAX };
	int status;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "soak");
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	options.seed = seed->ival[0];
	if (seconds->count)
		options.seconds = seconds->ival[0];
	if (kinds->count && kinds->ival[0] > 0)
		options.kinds_max = (size_t)kinds->ival[0];
	options.has_workspaces = workspaces->count > 0;
	options.programs = programs->sval[0];
	options.work = work->sval[0];
	status = run_seed(&options);
	arg_freetable(table, ARRAY_SIZE(table));
	return status;
}
