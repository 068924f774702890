#include "standin_int.h"

/*
 * An endpoint: runs a request for the time in X-Work-Us and answers with the
 * instance that ran it.  It runs at most "slots" requests at a time and refuses
 * others as documented, with status 503 and X-Not-Run.
 */

#define WORK_US_DEFAULT 1000
#define ANSWER_PAD_MAX (512 * 1024) /* bytes */

static long start_run(standin_t *s, int index, struct mg_connection *conn,
		      instance_t *copy);
static void copy_header(struct mg_connection *conn, const char *name,
			char *out);
static int64_t header_number(struct mg_connection *conn, const char *name,
			     int64_t default_value);
static int refuse(struct mg_connection *conn, const instance_t *instance);
static int answer(struct mg_connection *conn, const instance_t *instance,
		  const run_t *run, base_str_t body);

int endpoint_request(struct mg_connection *conn, void *arg)
{
	standin_t *s = arg;
	int index = mg_get_request_info(conn)->server_port - s->base_port;
	char *body = read_body(conn);
	instance_t instance;
	int64_t work_us;
	int status;
	run_t run;
	long at;

	if (!body)
		return close_unanswered(conn);
	at = start_run(s, index, conn, &instance);
	if (at < 0) {
		talloc_free(body);
		return at == -2 ? close_unanswered(conn)
				: refuse(conn, &instance);
	}
	work_us = header_number(conn, "X-Work-Us", WORK_US_DEFAULT) +
		  instance.extra_us;
	if (instance.mode == MODE_HANG)
		work_us += HANG_US;
	if (work_us)
		base_clock_sleep(work_us);
	pthread_mutex_lock(&s->lock);
	s->runs[at].ended_at = base_clock_mono();
	s->instances[index].running--;
	run = s->runs[at];
	pthread_mutex_unlock(&s->lock);
	status = instance.mode == MODE_DROP_ANSWER || run.interrupted
			 ? close_unanswered(conn)
			 : answer(conn, &instance, &run, base_str(body));
	talloc_free(body);
	return status;
}

/* Answers a health probe, which takes no slot and is not recorded as a run. */
int endpoint_health(struct mg_connection *conn, void *arg)
{
	standin_t *s = arg;
	int index = mg_get_request_info(conn)->server_port - s->base_port;
	bool is_down, leaving;

	pthread_mutex_lock(&s->lock);
	is_down = s->instances[index].is_down;
	leaving = s->instances[index].leaving;
	pthread_mutex_unlock(&s->lock);
	if (is_down)
		return close_unanswered(conn);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nX-Instance-State: %s\r\n"
		  "Content-Length: 0\r\n\r\n",
		  leaving ? "leaving" : "live");
	return 200;
}

/*
 * Starts a run and returns its index; -1: refused, -2: the instance is down.
 * "copy" gets the state of the instance at that time.
 */
static long start_run(standin_t *s, int index, struct mg_connection *conn,
		      instance_t *copy)
{
	instance_t *instance = &s->instances[index];
	long at = -1;
	run_t *run;

	pthread_mutex_lock(&s->lock);
	if (instance->is_down) {
		at = -2;
	} else if (instance->mode != MODE_REFUSE &&
		   instance->running < instance->slots) {
		if (s->run_count == s->run_alloc) {
			s->run_alloc = s->run_alloc * 2 + 1024;
			s->runs = g_renew(run_t, s->runs, s->run_alloc);
		}
		at = (long)s->run_count++;
		run = &s->runs[at];
		memset(run, 0, sizeof(*run));
		run->instance = index;
		run->incarnation = instance->incarnation;
		run->started_at = base_clock_mono();
		if (instance->leaving)
			run->leaving_us =
				run->started_at - instance->leaving_since + 1;
		copy_header(conn, "X-Request-Id", run->request);
		copy_header(conn, "Idempotency-Key", run->key);
		copy_header(conn, "X-Cactusfield-Caller", run->caller);
		sscanf(mg_get_request_info(conn)->local_uri, "/%63[^/]",
		       run->service);
		instance->running++;
	}
	*copy = *instance;
	pthread_mutex_unlock(&s->lock);
	return at;
}

static void copy_header(struct mg_connection *conn, const char *name, char *out)
{
	const char *value = mg_get_header(conn, name);

	g_strlcpy(out, value ? value : "", ID_MAX);
}

static int64_t header_number(struct mg_connection *conn, const char *name,
			     int64_t default_value)
{
	const char *value = mg_get_header(conn, name);

	return value ? g_ascii_strtoll(value, NULL, 10) : default_value;
}

static int refuse(struct mg_connection *conn, const instance_t *instance)
{
	mg_printf(conn,
		  "HTTP/1.1 503 Busy\r\nX-Not-Run: yes\r\n"
		  "X-Instance-State: %s\r\nContent-Length: 0\r\n\r\n",
		  instance->leaving ? "leaving" : "busy");
	return 503;
}

static int answer(struct mg_connection *conn, const instance_t *instance,
		  const run_t *run, base_str_t body)
{
	int64_t pad = header_number(conn, "X-Answer-Bytes", 0);
	base_buf_t *text = base_buf_new(NULL), *out = base_buf_new(NULL);
	bool head = !strcmp(mg_get_request_info(conn)->request_method, "HEAD");
	int status = instance->mode == MODE_FAIL ? 500 : 200;

	base_buf_addf(text, "{\"instance\":\"%s\",\"incarnation\":%d,",
		      instance->id, run->incarnation);
	base_buf_addf(text, "\"request\":\"%s\",\"key\":\"%s\",\"echo\":",
		      run->request, run->key);
	base_buf_add_json(text, body);
	base_buf_adds(text, ",\"pad\":\"");
	for (int64_t i = 0; i < pad && i < ANSWER_PAD_MAX; i++)
		base_buf_add(text, "x", 1);
	base_buf_adds(text, "\"}\n");
	base_buf_addf(out,
		      "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
		      "X-Instance-State: %s\r\n",
		      status, instance->leaving ? "leaving" : "live");
	if (mg_get_header(conn, "X-Answer-Chunked")) {
		base_buf_adds(out, "Transfer-Encoding: chunked\r\n\r\n");
		mg_write(conn, out->ptr, out->len);
		mg_send_chunk(conn, text->ptr, (unsigned)text->len);
		if (instance->mode != MODE_TRUNCATE)
			mg_send_chunk(conn, "", 0);
	} else {
		base_buf_addf(out, "Content-Length: %zu\r\n\r\n", text->len);
		if (!head)
			base_buf_add(out, text->ptr,
				     instance->mode == MODE_TRUNCATE
					     ? text->len / 2
					     : text->len);
		mg_write(conn, out->ptr, out->len);
	}
	if (instance->mode == MODE_TRUNCATE)
		mg_disable_connection_keep_alive(conn);
	talloc_free(text);
	talloc_free(out);
	return status;
}
