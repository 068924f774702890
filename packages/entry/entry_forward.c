#include "entry_int.h"

/* Idle time after which a connection is closed. */
#define IDLE_MAX_US (5 * BASE_SEC)
#define ERROR_TEXT_MAX 160 /* bytes */
#define READ_CHUNK 16384   /* bytes */

typedef struct idle_conn {
	struct mg_connection *conn;
	int64_t idle_since;
} idle_conn_t;

/* The connections to one incarnation of an instance. */
typedef struct endpoint_conns {
	/* Elements of idle_conn_t, most recently used last. */
	GArray *idle;
	int open; /* number of connections, idle and in use */
} endpoint_conns_t;

struct entry_forward {
	pthread_mutex_t lock;
	GHashTable *endpoints; /* "id/incarnation" -> endpoint_conns_t */
};

static int free_forward(entry_forward_t *forward);
static void free_conns(void *p);
static char *endpoint_key(const void *ctx, const entry_endpoint_t *endpoint);
static endpoint_conns_t *acquire_conn(entry_forward_t *forward, const void *ctx,
				      const entry_forward_options_t *options,
				      struct mg_connection **conn);
static struct mg_connection *open_conn(const entry_endpoint_t *endpoint);
static void drop_conn(entry_forward_t *forward, endpoint_conns_t *conns,
		      struct mg_connection *conn);
static void keep_conn(entry_forward_t *forward,
		      const entry_forward_options_t *options,
		      endpoint_conns_t *conns, struct mg_connection *conn);
static bool send_request(struct mg_connection *conn,
			 const entry_forward_options_t *options);
static entry_attempt_t receive_answer(struct mg_connection *conn,
				      const void *ctx,
				      const entry_forward_options_t *options,
				      entry_message_t *answer, bool *reusable);
static entry_attempt_t read_body(struct mg_connection *conn,
				 const entry_forward_options_t *options,
				 entry_message_t *answer, bool *whole);
static void copy_headers(const void *ctx, const struct mg_response_info *info,
			 entry_message_t *answer);
static bool has_no_body(const entry_forward_options_t *options, int status);
static bool is_other_request(const entry_forward_options_t *options,
			     const entry_message_t *answer);
static bool is_refusal(const entry_message_t *answer);

entry_forward_t *entry_forward_new(const void *ctx)
{
	entry_forward_t *forward = talloc_zero(ctx, entry_forward_t);

	entry_lock_init(&forward->lock);
	forward->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_conns);
	talloc_set_destructor(forward, free_forward);
	return forward;
}

entry_attempt_t entry_forward_send(entry_forward_t *forward, const void *ctx,
				   const entry_forward_options_t *options,
				   entry_message_t *answer)
{
	entry_attempt_t ended = ENTRY_ATTEMPT_CONNECT;
	bool reusable = false;
	struct mg_connection *conn;
	endpoint_conns_t *conns = acquire_conn(forward, ctx, options, &conn);

	if (!conn)
		conn = open_conn(options->endpoint);

	if (conn) {
		ended = ENTRY_ATTEMPT_FAILED;
		if (send_request(conn, options))
			ended = receive_answer(conn, ctx, options, answer,
					       &reusable);
	}
	if (reusable)
		keep_conn(forward, options, conns, conn);
	else
		drop_conn(forward, conns, conn);
	return ended;
}

void entry_forward_expire(entry_forward_t *forward, int64_t now)
{
	GPtrArray *closing = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&forward->lock);
	g_hash_table_iter_init(&iter, forward->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_conns_t *conns = value;
		guint old = 0;

		while (old < conns->idle->len &&
		       now - g_array_index(conns->idle, idle_conn_t, old)
					       .idle_since >
			       IDLE_MAX_US)
			g_ptr_array_add(
				closing,
				g_array_index(conns->idle, idle_conn_t, old++)
					.conn);
		if (old)
			g_array_remove_range(conns->idle, 0, old);
		conns->open -= (int)old;
		if (!conns->open)
			g_hash_table_iter_remove(&iter);
	}
	pthread_mutex_unlock(&forward->lock);
	for (guint i = 0; i < closing->len; i++)
		mg_close_connection(closing->pdata[i]);
	g_ptr_array_free(closing, TRUE);
}

const char *entry_header(const entry_message_t *message, const char *name)
{
	for (size_t i = 0; i < message->header_count; i++)
		if (!g_ascii_strcasecmp(message->headers[i].name, name))
			return message->headers[i].value;
	return NULL;
}

static int free_forward(entry_forward_t *forward)
{
	entry_forward_expire(forward, INT64_MAX);
	g_hash_table_destroy(forward->endpoints);
	pthread_mutex_destroy(&forward->lock);
	return 0;
}

static void free_conns(void *p)
{
	endpoint_conns_t *conns = p;

	g_array_free(conns->idle, TRUE);
	g_free(conns);
}

/* Key of an endpoint, "id/incarnation", allocated below "ctx". */
static char *endpoint_key(const void *ctx, const entry_endpoint_t *endpoint)
{
	size_t id = strlen(endpoint->id);
	size_t incarnation = strlen(endpoint->incarnation);
	char *key = talloc_size(ctx, id + incarnation + 2);

	memcpy(key, endpoint->id, id);
	key[id] = '/';
	memcpy(key + id + 1, endpoint->incarnation, incarnation + 1);
	return key;
}

/*
 * Return the endpoint's connections with one more counted as open; they are
 * not freed while any is.  "*conn" is an idle connection, or NULL if the caller
 * must open one.  For a new connection at the limit an idle one is closed.
 */
static endpoint_conns_t *acquire_conn(entry_forward_t *forward, const void *ctx,
				      const entry_forward_options_t *options,
				      struct mg_connection **conn)
{
	char *key = endpoint_key(ctx, options->endpoint);
	struct mg_connection *idle = NULL;
	endpoint_conns_t *conns;

	pthread_mutex_lock(&forward->lock);
	conns = g_hash_table_lookup(forward->endpoints, key);
	if (!conns) {
		conns = g_new0(endpoint_conns_t, 1);
		conns->idle = g_array_new(FALSE, FALSE, sizeof(idle_conn_t));
		g_hash_table_insert(forward->endpoints, g_strdup(key), conns);
	}
	if (conns->idle->len && (!options->new_connection ||
				 conns->open >= options->connection_limit)) {
		guint last = conns->idle->len - 1;

		idle = g_array_index(conns->idle, idle_conn_t, last).conn;
		g_array_set_size(conns->idle, last);
	} else {
		conns->open++;
	}
	pthread_mutex_unlock(&forward->lock);
	if (idle && options->new_connection) {
		mg_close_connection(idle);
		idle = NULL;
	}
	*conn = idle;
	return conns;
}

static struct mg_connection *open_conn(const entry_endpoint_t *endpoint)
{
	char text[ERROR_TEXT_MAX];

	return mg_connect_client(endpoint->address, endpoint->port, 0, text,
				 sizeof(text));
}

static void drop_conn(entry_forward_t *forward, endpoint_conns_t *conns,
		      struct mg_connection *conn)
{
	if (conn)
		mg_close_connection(conn);
	pthread_mutex_lock(&forward->lock);
	conns->open--;
	pthread_mutex_unlock(&forward->lock);
}

static void keep_conn(entry_forward_t *forward,
		      const entry_forward_options_t *options,
		      endpoint_conns_t *conns, struct mg_connection *conn)
{
	idle_conn_t idle_conn = { conn, base_clock_mono() };
	bool room;

	pthread_mutex_lock(&forward->lock);
	room = conns->open <= options->connection_limit;
	if (room)
		g_array_append_val(conns->idle, idle_conn);
	pthread_mutex_unlock(&forward->lock);
	if (!room)
		drop_conn(forward, conns, conn);
}

static bool send_request(struct mg_connection *conn,
			 const entry_forward_options_t *options)
{
	const entry_request_t *request = options->request;
	const entry_message_t *message = &request->message;
	base_buf_t *text = base_buf_new(request);
	bool sent;

	base_buf_adds(text, request->method);
	base_buf_add(text, " ", 1);
	base_buf_adds(text, request->target);
	base_buf_adds(text, " HTTP/1.1\r\nHost: ");
	base_buf_adds(text, options->endpoint->address);
	base_buf_add(text, ":", 1);
	base_buf_add_uint(text, (uint64_t)options->endpoint->port);
	base_buf_add(text, "\r\n", 2);
	for (size_t i = 0; i < message->header_count; i++)
		entry_http_add_header(text, message->headers[i].name,
				      message->headers[i].value);
	entry_http_add_header(text, "X-Request-Id", request->id);
	entry_http_add_header(text, "X-Cactusfield-Caller", request->caller);
	if (message->body->len || !strcmp(request->method, "POST") ||
	    !strcmp(request->method, "PUT"))
		entry_http_add_length(text, message->body->len);
	base_buf_add(text, "\r\n", 2);
	base_buf_add(text, message->body->ptr, message->body->len);
	sent = mg_write(conn, text->ptr, text->len) == (int)text->len;
	talloc_free(text);
	return sent;
}

static entry_attempt_t receive_answer(struct mg_connection *conn,
				      const void *ctx,
				      const entry_forward_options_t *options,
				      entry_message_t *answer, bool *reusable)
{
	int64_t left_us = options->request->deadline - base_clock_mono();
	int wait_ms = left_us < BASE_MS ? 1 : (int)(left_us / BASE_MS);
	const struct mg_response_info *info;
	char text[ERROR_TEXT_MAX] = "";
	entry_attempt_t ended;
	const char *header;
	bool whole = false;

	if (mg_get_response(conn, text, sizeof(text), wait_ms) < 0)
		return base_clock_mono() >= options->request->deadline
			       ? ENTRY_ATTEMPT_TIMEOUT
			       : ENTRY_ATTEMPT_FAILED;
	info = mg_get_response_info(conn);
	/* civetweb loses what follows a 1xx answer in the same segment. */
	if (info->status_code < 200)
		return ENTRY_ATTEMPT_TRUNCATED;
	answer->status = info->status_code;
	copy_headers(ctx, info, answer);
	answer->body = base_buf_new(ctx);
	ended = read_body(conn, options, answer, &whole);
	if (ended != ENTRY_ATTEMPT_ANSWERED)
		return ended;
	if (is_other_request(options, answer))
		return ENTRY_ATTEMPT_FAILED;
	header = mg_get_header(conn, "Connection");
	*reusable = whole && (!header || g_ascii_strcasecmp(header, "close"));
	return is_refusal(answer) ? ENTRY_ATTEMPT_REFUSED
				  : ENTRY_ATTEMPT_ANSWERED;
}

/*
 * Read the body to its end.  "*whole" is set if the next answer can be read
 * from the connection.  A body that is ended by the close of the connection
 * cannot be told from a truncated one and counts as truncated.
 */
static entry_attempt_t read_body(struct mg_connection *conn,
				 const entry_forward_options_t *options,
				 entry_message_t *answer, bool *whole)
{
	const char *coding = mg_get_header(conn, "Transfer-Encoding");
	long long left = mg_get_response_info(conn)->content_length;
	bool chunked = coding && !g_ascii_strcasecmp(coding, "chunked");
	char chunk[READ_CHUNK];

	if (has_no_body(options, answer->status)) {
		*whole = true;
		return ENTRY_ATTEMPT_ANSWERED;
	}
	if (!chunked && left < 0)
		return ENTRY_ATTEMPT_TRUNCATED;
	if (!chunked && left > options->answer_max)
		return ENTRY_ATTEMPT_TOO_LARGE;
	while (chunked || left > 0) {
		size_t want = sizeof(chunk);
		int got;

		if (!chunked && left < (long long)want)
			want = (size_t)left;
		got = mg_read(conn, chunk, want);
		if (got < 0 || (!got && !chunked))
			return ENTRY_ATTEMPT_TRUNCATED;
		if (!got)
			break;
		if ((int64_t)answer->body->len + got > options->answer_max)
			return ENTRY_ATTEMPT_TOO_LARGE;
		base_buf_add(answer->body, chunk, (size_t)got);
		left -= got;
		if (base_clock_mono() > options->request->deadline)
			return ENTRY_ATTEMPT_TIMEOUT;
	}
	*whole = true;
	return ENTRY_ATTEMPT_ANSWERED;
}

static bool has_no_body(const entry_forward_options_t *options, int status)
{
	return !strcmp(options->request->method, "HEAD") || status == 204 ||
	       status == 304;
}

/*
 * Copies all strings into one block, because a talloc chunk for each costs
 * more than the copy.
 */
static void copy_headers(const void *ctx, const struct mg_response_info *info,
			 entry_message_t *answer)
{
	size_t n = (size_t)info->num_headers, bytes = 1;
	char *to;

	for (size_t i = 0; i < n; i++)
		bytes += strlen(info->http_headers[i].name) +
			 strlen(info->http_headers[i].value) + 2;
	answer->headers = talloc_zero_array(ctx, entry_header_t, n);
	answer->header_count = n;
	to = talloc_size(ctx, bytes);
	for (size_t i = 0; i < n; i++) {
		answer->headers[i].name = to;
		to = stpcpy(to, info->http_headers[i].name) + 1;
		answer->headers[i].value = to;
		to = stpcpy(to, info->http_headers[i].value) + 1;
	}
}

/* An answer with the id of another request does not belong to this one. */
static bool is_other_request(const entry_forward_options_t *options,
			     const entry_message_t *answer)
{
	const char *id = entry_header(answer, "X-Request-Id");

	return id && strcmp(id, options->request->id) != 0;
}

static bool is_refusal(const entry_message_t *answer)
{
	const char *mark = entry_header(answer, "X-Not-Run");

	return answer->status == 503 && mark &&
	       !g_ascii_strcasecmp(mark, "yes");
}
