#include "entry_int.h"

/* Defaults while there is no configuration. */
#define BODY_MAX_DEFAULT (1024 * 1024) /* bytes */
#define DEADLINE_DEFAULT_MS 10000

#define DEADLINE_MAX_MS 600000
/* Time limit for a caller to send a body. */
#define BODY_TIME_MAX_US (10 * BASE_SEC)
#define READ_CHUNK 16384 /* bytes */

/* Not forwarded: hop-by-hop headers and those that this entry sets itself. */
static const base_str_t dropped_headers[] = {
	{ "Connection", sizeof("Connection") - 1 },
	{ "Keep-Alive", sizeof("Keep-Alive") - 1 },
	{ "Transfer-Encoding", sizeof("Transfer-Encoding") - 1 },
	{ "Content-Length", sizeof("Content-Length") - 1 },
	{ "Host", sizeof("Host") - 1 },
	{ "TE", sizeof("TE") - 1 },
	{ "Trailer", sizeof("Trailer") - 1 },
	{ "Upgrade", sizeof("Upgrade") - 1 },
	{ "Proxy-Connection", sizeof("Proxy-Connection") - 1 },
	{ "Expect", sizeof("Expect") - 1 },
	{ "X-Request-Id", sizeof("X-Request-Id") - 1 },
	{ "X-Cactusfield-Caller", sizeof("X-Cactusfield-Caller") - 1 },
	{ "X-Cactusfield-Outcome", sizeof("X-Cactusfield-Outcome") - 1 },
};

static const char *const outcome_names[ENTRY_OUTCOME_MAX] = {
	[ENTRY_ANSWERED] = "answered",
	[ENTRY_NOT_RUN] = "not-run",
	[ENTRY_UNKNOWN] = "unknown",
};

static char *make_target(const void *ctx, const struct mg_request_info *info);
static bool read_identity(entry_request_t *request, struct mg_connection *conn);
static bool read_class(entry_request_t *request, struct mg_connection *conn,
		       const entry_view_t *view);
static bool read_body(entry_request_t *request, struct mg_connection *conn,
		      const entry_view_t *view);
static bool copy_header_value(struct mg_connection *conn, const char *name,
			      char *out, size_t size);
static void copy_headers(entry_request_t *request,
			 const struct mg_request_info *info);
static bool is_dropped(const char *name);
static void refuse_request(struct mg_connection *conn,
			   const entry_request_t *request, int status,
			   const char *reason);
static void add_status(base_buf_t *out, const struct mg_connection *conn,
		       int status);

const char *entry_outcome_name(entry_outcome_t outcome)
{
	return outcome_names[outcome];
}

entry_request_t *entry_http_read(const void *ctx, struct mg_connection *conn,
				 const entry_view_t *view)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	entry_request_t *request = talloc_zero(ctx, entry_request_t);

	request->arrived = base_clock_mono();
	request->method = info->request_method;
	request->message.body = base_buf_new(request);
	request->target = make_target(request, info);
	if (read_identity(request, conn) && read_class(request, conn, view) &&
	    read_body(request, conn, view)) {
		copy_headers(request, info);
		return request;
	}
	talloc_free(request);
	return NULL;
}

static char *make_target(const void *ctx, const struct mg_request_info *info)
{
	const char *path = info->local_uri_raw ? info->local_uri_raw : "/";
	const char *query = info->query_string;
	size_t path_len = strlen(path);
	size_t query_len = query ? strlen(query) + 1 : 0;
	char *target = talloc_size(ctx, path_len + query_len + 1);

	memcpy(target, path, path_len);
	if (query) {
		target[path_len] = '?';
		memcpy(target + path_len + 1, query, query_len - 1);
	}
	target[path_len + query_len] = '\0';
	return target;
}

static bool read_identity(entry_request_t *request, struct mg_connection *conn)
{
	const char *path = request->target;
	size_t segment;

	if (!copy_header_value(conn, "X-Request-Id", request->id,
			       sizeof(request->id)) ||
	    !copy_header_value(conn, "Idempotency-Key", request->key,
			       sizeof(request->key)) ||
	    !copy_header_value(conn, "X-Cactusfield-Caller", request->caller,
			       sizeof(request->caller))) {
		refuse_request(conn, request, 400, "header-too-long");
		return false;
	}
	if (!request->id[0])
		entry_id_make(request->id);
	if (!request->caller[0])
		g_strlcpy(request->caller, "other", sizeof(request->caller));
	if (path[0] == '/')
		path++;
	segment = strcspn(path, "/?");
	request->service = (base_str_t){ path, segment };
	path += segment;
	request->path = *path == '/' ? (base_str_t){ path, strcspn(path, "?") }
				     : BASE_STR("/");
	return true;
}

static bool read_class(entry_request_t *request, struct mg_connection *conn,
		       const entry_view_t *view)
{
	const char *named = mg_get_header(conn, "X-Cactusfield-Class");
	const char *repeatable =
		mg_get_header(conn, "X-Cactusfield-Repeatable");
	const char *left = mg_get_header(conn, "X-Cactusfield-Deadline-Ms");
	int64_t deadline_ms = DEADLINE_DEFAULT_MS;

	request->repeatable = true;
	if (view->record) {
		const conf_t *conf = view->record->config;

		if (!conf_pool(conf, request->service)) {
			refuse_request(conn, request, 404, "no-such-service");
			return false;
		}
		if (named)
			request->class = conf_class(conf, request->service,
						    base_str(named));
		if (!request->class)
			request->class = conf_class_match(
				conf, request->service,
				base_str(request->method), request->path);
	}
	if (request->class) {
		request->repeatable = request->class->repeatable;
		deadline_ms = request->class->deadline_ms;
	}
	if (repeatable && !g_ascii_strcasecmp(repeatable, "no"))
		request->repeatable = false;
	if (left) {
		deadline_ms = g_ascii_strtoll(left, NULL, 10);
		if (deadline_ms < 1 || deadline_ms > DEADLINE_MAX_MS) {
			refuse_request(conn, request, 400, "bad-deadline");
			return false;
		}
	}
	request->deadline = request->arrived + deadline_ms * BASE_MS;
	return true;
}

static bool read_body(entry_request_t *request, struct mg_connection *conn,
		      const entry_view_t *view)
{
	long long announced = mg_get_request_info(conn)->content_length;
	int64_t max = BODY_MAX_DEFAULT;
	char chunk[READ_CHUNK];
	int got;

	if (view->record)
		max = view->record->config->limits.body_bytes;
	if (announced > max) {
		refuse_request(conn, request, 413, "body-too-large");
		return false;
	}
	while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		base_buf_add(request->message.body, chunk, (size_t)got);
		if ((int64_t)request->message.body->len > max) {
			refuse_request(conn, request, 413, "body-too-large");
			return false;
		}
		if (base_clock_mono() - request->arrived > BODY_TIME_MAX_US) {
			refuse_request(conn, request, 408, "body-too-slow");
			return false;
		}
	}
	if (got < 0 || (announced >= 0 &&
			(long long)request->message.body->len != announced)) {
		refuse_request(conn, request, 400, "body-cut-short");
		return false;
	}
	return true;
}

/* Returns false if the header's value does not fit. */
static bool copy_header_value(struct mg_connection *conn, const char *name,
			      char *out, size_t size)
{
	const char *value = mg_get_header(conn, name);

	return !value || g_strlcpy(out, value, size) < size;
}

static void copy_headers(entry_request_t *request,
			 const struct mg_request_info *info)
{
	entry_message_t *message = &request->message;

	message->headers = talloc_zero_array(request, entry_header_t,
					     (size_t)info->num_headers);
	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *from = &info->http_headers[i];

		if (!is_dropped(from->name))
			message->headers[message->header_count++] =
				(entry_header_t){ (char *)from->name,
						  (char *)from->value };
	}
}

static bool is_dropped(const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < ARRAY_SIZE(dropped_headers); i++)
		if (len == dropped_headers[i].len &&
		    !g_ascii_strcasecmp(name, dropped_headers[i].ptr))
			return true;
	return false;
}

static void refuse_request(struct mg_connection *conn,
			   const entry_request_t *request, int status,
			   const char *reason)
{
	entry_refusal_t refusal = { .outcome = ENTRY_NOT_RUN,
				    .status = status,
				    .reason = reason,
				    .close_after = true };

	entry_http_refuse(conn, request->id, &refusal);
}

void entry_http_add_header(base_buf_t *out, const char *name, const char *value)
{
	base_buf_adds(out, name);
	base_buf_add(out, ": ", 2);
	base_buf_adds(out, value);
	base_buf_add(out, "\r\n", 2);
}

void entry_http_add_length(base_buf_t *out, size_t bytes)
{
	base_buf_adds(out, "Content-Length: ");
	base_buf_add_uint(out, bytes);
	base_buf_add(out, "\r\n", 2);
}

void entry_http_answer(struct mg_connection *conn,
		       const entry_request_t *request,
		       const entry_message_t *answer, bool last)
{
	base_buf_t *out = base_buf_new(request);

	add_status(out, conn, answer->status);
	for (size_t i = 0; i < answer->header_count; i++)
		if (!is_dropped(answer->headers[i].name))
			entry_http_add_header(out, answer->headers[i].name,
					      answer->headers[i].value);
	if (!strcmp(request->method, "HEAD")) {
		for (size_t i = 0; i < answer->header_count; i++)
			if (!g_ascii_strcasecmp(answer->headers[i].name,
						"Content-Length"))
				entry_http_add_header(out, "Content-Length",
						      answer->headers[i].value);
	} else if (answer->status != 204 && answer->status != 304) {
		entry_http_add_length(out, answer->body->len);
	}
	entry_http_add_header(out, "X-Request-Id", request->id);
	base_buf_adds(out, "X-Cactusfield-Outcome: answered\r\n");
	if (last)
		base_buf_adds(out, "Connection: close\r\n");
	base_buf_add(out, "\r\n", 2);
	base_buf_add(out, answer->body->ptr, answer->body->len);
	if (last)
		mg_disable_connection_keep_alive(conn);
	mg_write(conn, out->ptr, out->len);
	talloc_free(out);
}

static void add_status(base_buf_t *out, const struct mg_connection *conn,
		       int status)
{
	base_buf_adds(out, "HTTP/1.1 ");
	base_buf_add_uint(out, (uint64_t)status);
	base_buf_add(out, " ", 1);
	base_buf_adds(out, mg_get_response_code_text(conn, status));
	base_buf_add(out, "\r\n", 2);
}

void entry_http_refuse(struct mg_connection *conn, const char *request_id,
		       const entry_refusal_t *refusal)
{
	base_buf_t *out = base_buf_new(NULL);

	add_status(out, conn, refusal->status);
	if (request_id[0])
		entry_http_add_header(out, "X-Request-Id", request_id);
	if (refusal->retry_after_s > 0) {
		base_buf_adds(out, "Retry-After: ");
		base_buf_add_uint(out, (uint64_t)refusal->retry_after_s);
		base_buf_add(out, "\r\n", 2);
	}
	entry_http_add_header(out, "X-Cactusfield-Outcome",
			      entry_outcome_name(refusal->outcome));
	entry_http_add_header(out, "X-Cactusfield-Reason", refusal->reason);
	entry_http_add_length(out, 0);
	if (refusal->close_after)
		base_buf_adds(out, "Connection: close\r\n");
	base_buf_add(out, "\r\n", 2);
	if (refusal->close_after)
		mg_disable_connection_keep_alive(conn);
	mg_write(conn, out->ptr, out->len);
	talloc_free(out);
}
