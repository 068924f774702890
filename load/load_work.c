#include <math.h>

#include "load_int.h"

#define ERROR_TEXT_MAX 160	   /* bytes */
#define ANSWER_WAIT_MS 30000	   /* for an entry's answer */
#define ANSWER_MAX (1024 * 1024)   /* bytes */
#define REQUESTS_PER_KEY 4	   /* requests per shared key */
#define IDLE_MAX_US (2 * BASE_SEC) /* below the entries' limit */

typedef struct worker {
	load_t *load;
	int number;
	unsigned count;
	base_rng_t rng;
	struct mg_connection *conns[TARGETS_MAX];
	int epochs[TARGETS_MAX]; /* epoch of the target at connect time */
	int64_t used_at[TARGETS_MAX];
	base_buf_t *text;
	base_buf_t *body;
} worker_t;

typedef struct request {
	char id[48];
	char key[48];
	const conf_class_t *class;
} request_t;

static void sleep_until_next(worker_t *w, double rate);
static const flow_t *pick_flow(worker_t *w, double total);
static int pick_target(worker_t *w, int avoid);
static void make_request(worker_t *w, request_t *request,
			 const conf_class_t *class);
static int send_to(worker_t *w, const request_t *request, int avoid);
static bool ensure_connected(worker_t *w, int at);
static seen_t exchange(worker_t *w, int at, const request_t *request,
		       char *reason);
static void print_request(worker_t *w, const request_t *request);
static seen_t read_answer(worker_t *w, struct mg_connection *conn,
			  const request_t *request, char *reason);
static seen_t classify_answer(worker_t *w, const request_t *request, int status,
			      const char *outcome);
static void log_request(worker_t *w, const request_t *request, int at,
			seen_t seen, const char *reason, int64_t us);
static void close_connection(worker_t *w, int at);

void *load_work(void *arg)
{
	load_t *load = arg;
	worker_t *w = talloc_zero(NULL, worker_t);
	double total = 0.0;

	w->load = load;
	w->number = atomic_fetch_add(&load->next_worker, 1);
	w->rng.state = load->seed * 1000003 + (uint64_t)w->number;
	w->text = base_buf_new(w);
	w->body = base_buf_new(w);
	for (size_t i = 0; i < load->flow_count; i++)
		total += load->flows[i].rate;
	while (base_clock_mono() < load->until) {
		const flow_t *flow = pick_flow(w, total);
		request_t request;
		int at;

		make_request(w, &request, flow->class);
		at = send_to(w, &request, -1);
		if (!flow->class->repeatable &&
		    (int)base_rng_below(&w->rng, 100) < load->repeat_percent)
			send_to(w, &request, at);
		sleep_until_next(w, total / load->workers);
	}
	for (size_t i = 0; i < load->target_count; i++)
		close_connection(w, (int)i);
	talloc_free(w);
	return NULL;
}

/* Sleeps for an exponential time, so that arrivals form a Poisson process. */
static void sleep_until_next(worker_t *w, double rate)
{
	double unit = base_rng_unit(&w->rng);
	double wait = -log(1.0 - unit) / rate;

	base_clock_sleep((int64_t)(wait * (double)BASE_SEC));
}

static const flow_t *pick_flow(worker_t *w, double total)
{
	double at = base_rng_unit(&w->rng) * total;
	const load_t *load = w->load;

	for (size_t i = 0; i + 1 < load->flow_count; i++) {
		at -= load->flows[i].rate;
		if (at < 0.0)
			return &load->flows[i];
	}
	return &load->flows[load->flow_count - 1];
}

/*
 * Returns a random ready target, other than "avoid" if possible, or -1 if none
 * is ready.
 */
static int pick_target(worker_t *w, int avoid)
{
	uint32_t count = (uint32_t)w->load->target_count;
	uint32_t start = base_rng_below(&w->rng, count);
	int last = -1;

	for (uint32_t i = 0; i < count; i++) {
		int at = (int)((start + i) % count);

		if (!atomic_load(&w->load->targets[at].ready))
			continue;
		if (at != avoid)
			return at;
		last = at;
	}
	return last;
}

static void make_request(worker_t *w, request_t *request,
			 const conf_class_t *class)
{
	request->class = class;
	w->count++;
	snprintf(request->id, sizeof(request->id), "r%llu-%d-%u",
		 (unsigned long long)w->load->ids, w->number, w->count);
	request->key[0] = '\0';
	if (!class->repeatable && w->load->shared_keys)
		snprintf(request->key, sizeof(request->key),
			 "s%llu-%.*s-%.*s-%u",
			 (unsigned long long)w->load->seed,
			 BASE_STR_ARG(class->pool), BASE_STR_ARG(class->name),
			 w->count / REQUESTS_PER_KEY);
	else if (!class->repeatable)
		snprintf(request->key, sizeof(request->key), "k%llu-%d-%u",
			 (unsigned long long)w->load->seed, w->number,
			 w->count);
}

/*
 * Sends a request over a kept or a new connection.  A target that refuses the
 * connection counts as unready until the balancer polls it again.  A request
 * with "avoid" is a repeat and gets an id of its own.
 */
static int send_to(worker_t *w, const request_t *request, int avoid)
{
	int64_t began = base_clock_mono();
	request_t sent = *request;
	char reason[64] = "";
	seen_t seen = SEEN_UNREACHED;
	int at = -1;

	if (avoid >= 0) {
		size_t len = strlen(sent.id);

		snprintf(sent.id + len, sizeof(sent.id) - len, "b");
	}
	for (int tries = 0; tries < 3 && seen == SEEN_UNREACHED; tries++) {
		at = pick_target(w, avoid);
		if (at < 0)
			break;
		if (ensure_connected(w, at))
			seen = exchange(w, at, &sent, reason);
		else if (w->load->targets[at].operators.port)
			atomic_store(&w->load->targets[at].ready, 0);
	}
	log_request(w, &sent, at, seen, reason, base_clock_mono() - began);
	return at;
}

/*
 * Connects to the target unless a connection is open.  As behind a load
 * balancer, a connection is not reused after its entry was unready or after
 * IDLE_MAX_US without a request.
 */
static bool ensure_connected(worker_t *w, int at)
{
	target_t *target = &w->load->targets[at];
	int epoch = atomic_load(&target->epoch);
	int64_t now = base_clock_mono();
	char error[ERROR_TEXT_MAX];

	if (w->epochs[at] != epoch || now - w->used_at[at] > IDLE_MAX_US)
		close_connection(w, at);
	if (!w->conns[at])
		w->conns[at] = mg_connect_client(target->caller.host,
						 target->caller.port, 0, error,
						 sizeof(error));
	w->epochs[at] = epoch;
	w->used_at[at] = now;
	return w->conns[at] != NULL;
}

static seen_t exchange(worker_t *w, int at, const request_t *request,
		       char *reason)
{
	struct mg_connection *conn = w->conns[at];
	char error[ERROR_TEXT_MAX];
	const char *close;
	seen_t seen;

	reason[0] = '\0';
	print_request(w, request);
	if (mg_write(conn, w->text->ptr, w->text->len) != (int)w->text->len ||
	    mg_get_response(conn, error, sizeof(error), ANSWER_WAIT_MS) < 0) {
		close_connection(w, at);
		return SEEN_BROKEN;
	}
	close = mg_get_header(conn, "Connection");
	seen = read_answer(w, conn, request, reason);
	if (seen == SEEN_WRONG || (close && !strcmp(close, "close")))
		close_connection(w, at);
	return seen;
}

static void print_request(worker_t *w, const request_t *request)
{
	const conf_class_t *class = request->class;
	bool any = base_str_eq(class->method, BASE_STR("*"));
	base_str_t method = any ? BASE_STR("POST") : class->method;
	/* Repeats under one key must have the same body. */
	const char *body = request->key[0] ? request->key : request->id;

	base_buf_reset(w->text);
	base_buf_addf(w->text, "%.*s /%.*s%.*s HTTP/1.1\r\nHost: entry\r\n",
		      BASE_STR_ARG(method), BASE_STR_ARG(class->pool),
		      BASE_STR_ARG(class->path));
	base_buf_addf(w->text,
		      "X-Request-Id: %s\r\nX-Cactusfield-Class: %.*s\r\n"
		      "X-Cactusfield-Caller: caller-%d\r\nX-Work-Us: %lld\r\n",
		      request->id, BASE_STR_ARG(class->name),
		      w->load->shared_keys ? 0 : w->number % 4,
		      (long long)w->load->work_us);
	if (w->load->answer_bytes)
		base_buf_addf(w->text, "X-Answer-Bytes: %d\r\n",
			      w->load->answer_bytes);
	if (w->load->deadline_ms)
		base_buf_addf(w->text, "X-Cactusfield-Deadline-Ms: %d\r\n",
			      w->load->deadline_ms);
	if (request->key[0])
		base_buf_addf(w->text, "Idempotency-Key: %s\r\n", request->key);
	if (base_str_eq(method, BASE_STR("GET")))
		base_buf_adds(w->text, "\r\n");
	else
		base_buf_addf(w->text, "Content-Length: %zu\r\n\r\n%s",
			      strlen(body), body);
}

static seen_t read_answer(worker_t *w, struct mg_connection *conn,
			  const request_t *request, char *reason)
{
	const struct mg_response_info *info = mg_get_response_info(conn);
	const char *header_reason = mg_get_header(conn, "X-Cactusfield-Reason");
	char outcome[16] = "", chunk[8192];
	const char *header_outcome =
		mg_get_header(conn, "X-Cactusfield-Outcome");
	int status = info->status_code;
	long long left = info->content_length;

	if (header_reason)
		g_strlcpy(reason, header_reason, 64);
	if (header_outcome)
		g_strlcpy(outcome, header_outcome, sizeof(outcome));
	base_buf_reset(w->body);
	while (left > 0) {
		int got = mg_read(conn, chunk,
				  left < (long long)sizeof(chunk)
					  ? (size_t)left
					  : sizeof(chunk));

		if (got <= 0 || w->body->len > ANSWER_MAX)
			return SEEN_WRONG;
		base_buf_add(w->body, chunk, (size_t)got);
		left -= got;
	}
	return classify_answer(w, request, status, outcome);
}

static seen_t classify_answer(worker_t *w, const request_t *request, int status,
			      const char *outcome)
{
	json_t *root;
	const char *id, *key;
	bool matches;

	if (!strcmp(outcome, "not-run"))
		return SEEN_NOT_RUN;
	if (!strcmp(outcome, "unknown"))
		return SEEN_UNKNOWN;
	if (strcmp(outcome, "answered") || status != 200)
		return status == 500 ? SEEN_ANSWERED : SEEN_WRONG;
	root = json_loadb(w->body->ptr, w->body->len, 0, NULL);
	id = json_string_value(json_object_get(root, "request"));
	key = json_string_value(json_object_get(root, "key"));
	/* A replayed answer carries the id of the request that ran. */
	matches = request->key[0] ? key && strcmp(key, request->key) == 0
				  : id && strcmp(id, request->id) == 0;
	json_decref(root);
	return matches ? SEEN_ANSWERED : SEEN_WRONG;
}

static void log_request(worker_t *w, const request_t *request, int at,
			seen_t seen, const char *reason, int64_t us)
{
	const conf_class_t *class = request->class;

	pthread_mutex_lock(&w->load->log_lock);
	fprintf(w->load->log,
		"{\"id\":\"%s\",\"key\":\"%s\",\"pool\":\"%.*s\","
		"\"class\":\"%.*s\",\"target\":%d,\"seen\":\"%s\","
		"\"reason\":\"%s\",\"us\":%lld}\n",
		request->id, request->key, BASE_STR_ARG(class->pool),
		BASE_STR_ARG(class->name), at, seen_names[seen], reason,
		(long long)us);
	pthread_mutex_unlock(&w->load->log_lock);
}

static void close_connection(worker_t *w, int at)
{
	if (w->conns[at])
		mg_close_connection(w->conns[at]);
	w->conns[at] = NULL;
}
