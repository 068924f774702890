#include "load_int.h"

#define BALANCE_PERIOD_US (100 * BASE_MS)

static void add_target(load_t *load, const char *text);
static void add_flows(load_t *load, const conf_t *conf, const char *text);
static conf_t *read_config(const void *ctx, const char *path);
static int run_threads(load_t *load);

const char *const seen_names[SEEN_MAX] = {
	[SEEN_ANSWERED] = "answered", [SEEN_NOT_RUN] = "not-run",
	[SEEN_UNKNOWN] = "unknown",   [SEEN_UNREACHED] = "unreached",
	[SEEN_BROKEN] = "broken",     [SEEN_WRONG] = "wrong",
};

int load_run(int argc, char **argv)
{
	struct arg_str *targets =
		arg_strn(NULL, "target", "CALLER[@OPERATORS]", 1, TARGETS_MAX,
			 "an entry's ports, ADDRESS:PORT");
	struct arg_file *config =
		arg_file1(NULL, "config", "FILE", "generated configuration");
	struct arg_str *services = arg_strn(NULL, "service", "NAME:RATE", 1,
					    SERVICES_MAX, "requests a second");
	struct arg_dbl *seconds = arg_dbl1(NULL, "seconds", "S", "how long");
	struct arg_int *workers =
		arg_int0(NULL, "workers", "N", "connections at once (16)");
	struct arg_int *work =
		arg_int0(NULL, "work-us", "US", "time to run (1000)");
	struct arg_int *bytes =
		arg_int0(NULL, "answer-bytes", "N", "padding (0)");
	struct arg_int *repeat = arg_int0(NULL, "repeat", "PERCENT",
					  "sent again with the same key (0)");
	struct arg_lit *shared =
		arg_lit0(NULL, "shared-keys", "all workers use the same keys");
	struct arg_int *deadline =
		arg_int0(NULL, "deadline-ms", "MS", "told to the entry");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "(1)");
	struct arg_int *ids =
		arg_int0(NULL, "ids", "N",
			 "in requests' ids, so that two runs with "
			 "the same keys differ (the seed)");
	struct arg_file *out =
		arg_file1(NULL, "out", "FILE", "one JSON line a request");
	struct arg_end *end = arg_end(8);
	void *table[] = { targets, config, services, seconds, workers,
			  work,	   bytes,  repeat,   shared,  deadline,
			  seed,	   ids,	   out,	     end };
	load_t *load = talloc_zero(NULL, load_t);
	conf_t *conf;
	int status;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "load run");
		return 2;
	}
	conf = read_config(load, config->filename[0]);
	for (int i = 0; i < targets->count; i++)
		add_target(load, targets->sval[i]);
	for (int i = 0; i < services->count; i++)
		add_flows(load, conf, services->sval[i]);
	load->workers = workers->count ? workers->ival[0] : 16;
	load->work_us = work->count ? work->ival[0] : 1000;
	load->answer_bytes = bytes->count ? bytes->ival[0] : 0;
	load->repeat_percent = repeat->count ? repeat->ival[0] : 0;
	load->shared_keys = shared->count > 0;
	load->deadline_ms = deadline->count ? deadline->ival[0] : 0;
	load->seed = seed->count ? (uint64_t)seed->ival[0] : 1;
	load->ids = ids->count ? (uint64_t)ids->ival[0] : load->seed;
	load->until = base_clock_mono() +
		      (int64_t)(seconds->dval[0] * (double)BASE_SEC);
	load->log = fopen(out->filename[0], "w");
	if (!load->log) {
		perror(out->filename[0]);
		return 1;
	}
	status = run_threads(load);
	arg_freetable(table, ARRAY_SIZE(table));
	return status;
}

static conf_t *read_config(const void *ctx, const char *path)
{
	GError *cause = NULL;
	conf_t *conf = NULL;
	char *text = NULL;
	gsize len = 0;

	if (g_file_get_contents(path, &text, &len, &cause))
		conf = conf_load(ctx, (base_str_t){ text, len }, &cause);
	if (!conf) {
		fprintf(stderr, "load: %s\n", cause->message);
		exit(1);
	}
	g_free(text);
	return conf;
}

static void add_target(load_t *load, const char *text)
{
	target_t *target = &load->targets[load->target_count++];
	char **parts = g_strsplit(text, "@", 2);

	target->caller = load_address(load, parts[0]);
	if (parts[1])
		target->operators = load_address(load, parts[1]);
	target->ready = 1;
	g_strfreev(parts);
}

/* Adds a flow for each class of a service and splits the rate evenly. */
static void add_flows(load_t *load, const conf_t *conf, const char *text)
{
	char **parts = g_strsplit(text, ":", 2);
	double rate = parts[1] ? g_ascii_strtod(parts[1], NULL) : 1.0;
	size_t first = load->flow_count;

	for (size_t i = 0; i < conf->n_classes; i++) {
		if (!base_str_eq(conf->classes[i].pool, base_str(parts[0])))
			continue;
		load->flows = talloc_realloc(load, load->flows, flow_t,
					     load->flow_count + 1);
		load->flows[load->flow_count++].class = &conf->classes[i];
	}
	if (load->flow_count == first) {
		fprintf(stderr, "load: no service '%s'\n", parts[0]);
		exit(2);
	}
	for (size_t i = first; i < load->flow_count; i++)
		load->flows[i].rate = rate / (double)(load->flow_count - first);
	g_strfreev(parts);
}

static int run_threads(load_t *load)
{
	pthread_t balancer, *threads = g_new0(pthread_t, (gsize)load->workers);

	pthread_mutex_init(&load->log_lock, NULL);
	pthread_create(&balancer, NULL, load_balance, load);
	for (int i = 0; i < load->workers; i++)
		pthread_create(&threads[i], NULL, load_work, load);
	for (int i = 0; i < load->workers; i++)
		pthread_join(threads[i], NULL);
	atomic_store(&load->stop, 1);
	pthread_join(balancer, NULL);
	fclose(load->log);
	g_free(threads);
	talloc_free(load);
	return 0;
}

void *load_balance(void *arg)
{
	load_t *load = arg;

	while (!atomic_load(&load->stop)) {
		for (size_t i = 0; i < load->target_count; i++) {
			target_t *target = &load->targets[i];
			char error[160];
			struct mg_connection *conn;
			bool ready = false;

			if (!target->operators.port)
				continue;
			conn = mg_download(target->operators.host,
					   target->operators.port, 0, error,
					   sizeof(error),
					   "GET /readyz HTTP/1.1\r\nHost: x"
					   "\r\nConnection: close\r\n\r\n");
			if (conn) {
				ready = mg_get_response_info(conn)
						->status_code == 200;
				mg_close_connection(conn);
			}
			if (atomic_exchange(&target->ready, ready) && !ready)
				atomic_fetch_add(&target->epoch, 1);
		}
		base_clock_sleep(BALANCE_PERIOD_US);
	}
	return NULL;
}
