#include "entry_int.h"

#define IDLE_MAX_US (5 * BASE_SEC) /* of a kept connection */
#define ERROR_TEXT_MAX 160	   /* bytes */
#define READ_CHUNK 16384	   /* bytes */

/* Kept connections to one identity of an endpoint, most recent last. */
typedef struct kept {
	struct mg_connection *conn;
	int64_t since;
} kept_t;

struct entry_forward {
	pthread_mutex_t lock;
	GHashTable *idle; /* "id/incarnation" -> GArray of kept_t */
};

static int free_forward(entry_forward_t *forward);
static void free_list(void *p);
static char *identity(const entry_endpoint_t *endpoint);
static struct mg_connection *take_kept(entry_forward_t *forward,
				       const entry_endpoint_t *endpoint);
static void keep(entry_forward_t *forward, const entry_endpoint_t *endpoint,
		 struct mg_connection *conn);
static bool send_request(struct mg_connection *conn,
			 const entry_forward_options_t *options);
static entry_attempt_t receive(struct mg_connection *conn, const void *ctx,
			       const entry_forward_options_t *options,
			       entry_message_t *answer, bool *reusable);
static entry_attempt_t read_body(struct mg_connection *conn,
				 const entry_forward_options_t *options,
				 entry_message_t *answer, bool *whole);
static void copy_headers(const void *ctx, const struct mg_response_info *info,
			 entry_message_t *answer);
static bool has_no_body(const entry_forward_options_t *options, int status);
static bool other_request(const entry_forward_options_t *options,
			  const entry_message_t *answer);
static bool was_refused(const entry_message_t *answer);

entry_forward_t *entry_forward_new(const void *ctx)
{
	entry_forward_t *forward = talloc_zero(ctx, entry_forward_t);

	pthread_mutex_init(&forward->lock, NULL);
	forward->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_list);
	talloc_set_destructor(forward, free_forward);
	return forward;
}

entry_attempt_t entry_forward_send(entry_forward_t *forward, const void *ctx,
				   const entry_forward_options_t *options,
				   entry_message_t *answer)
{
	const entry_endpoint_t *endpoint = options->endpoint;
	char text[ERROR_TEXT_MAX];
	struct mg_connection *conn = NULL;
	entry_attempt_t ended;
	bool reusable = false;

	if (!options->fresh)
		conn = take_kept(forward, endpoint);
	if (!conn)
		conn = mg_connect_client(endpoint->address, endpoint->port, 0,
					 text, sizeof(text));
	if (!conn)
		return ENTRY_ATTEMPT_CONNECT;
	if (!send_request(conn, options)) {
		mg_close_connection(conn);
		return ENTRY_ATTEMPT_FAILED;
	}
	ended = receive(conn, ctx, options, answer, &reusable);
	if (reusable)
		keep(forward, endpoint, conn);
	else
		mg_close_connection(conn);
	return ended;
}

void entry_forward_expire(entry_forward_t *forward, int64_t now)
{
	GPtrArray *closing = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&forward->lock);
	g_hash_table_iter_init(&iter, forward->idle);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *list = value;
		guint old = 0;

		while (old < list->len &&
		       now - g_array_index(list, kept_t, old).since >
			       IDLE_MAX_US)
			g_ptr_array_add(
				closing,
				g_array_index(list, kept_t, old++).conn);
		if (old)
			g_array_remove_range(list, 0, old);
		if (!list->len)
			g_hash_table_iter_remove(&iter);
	}
	pthread_mutex_unlock(&forward->lock);
	for (guint i = 0; i < closing->len; i++)
		mg_close_connection(closing->pdata[i]);
	g_ptr_array_free(closing, TRUE);
}

static int free_forward(entry_forward_t *forward)
{
	entry_forward_expire(forward, INT64_MAX);
	g_hash_table_destroy(forward->idle);
	pthread_mutex_destroy(&forward->lock);
	return 0;
}

static void free_list(void *p)
{
	g_array_free(p, TRUE);
}

static char *identity(const entry_endpoint_t *endpoint)
{
	return g_strdup_printf("%s/%s", endpoint->id, endpoint->incarnation);
}

static struct mg_connection *take_kept(entry_forward_t *forward,
				       const entry_endpoint_t *endpoint)
{
	struct mg_connection *conn = NULL;
	char *key = identity(endpoint);
	GArray *list;

	pthread_mutex_lock(&forward->lock);
	list = g_hash_table_lookup(forward->idle, key);
	if (list && list->len) {
		conn = g_array_index(list, kept_t, list->len - 1).conn;
		g_array_set_size(list, list->len - 1);
	}
	pthread_mutex_unlock(&forward->lock);
	g_free(key);
	return conn;
}

static void keep(entry_forward_t *forward, const entry_endpoint_t *endpoint,
		 struct mg_connection *conn)
{
	kept_t kept = { conn, base_clock_mono() };
	char *key = identity(endpoint);
	GArray *list;

	pthread_mutex_lock(&forward->lock);
	list = g_hash_table_lookup(forward->idle, key);
	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(kept_t));
		g_hash_table_insert(forward->idle, g_strdup(key), list);
	}
	g_array_append_val(list, kept);
	pthread_mutex_unlock(&forward->lock);
	g_free(key);
}

static bool send_request(struct mg_connection *conn,
			 const entry_forward_options_t *options)
{
	const entry_request_t *request = options->request;
	const entry_message_t *message = &request->message;
	base_buf_t *text = base_buf_new(NULL);
	bool sent;

	base_buf_addf(text, "%s %s HTTP/1.1\r\nHost: %s:%d\r\n",
		      request->method, request->target,
		      options->endpoint->address, options->endpoint->port);
	for (size_t i = 0; i < message->header_count; i++)
		base_buf_addf(text, "%s: %s\r\n", message->headers[i].name,
			      message->headers[i].value);
	base_buf_addf(text, "X-Request-Id: %s\r\n", request->id);
	base_buf_addf(text, "X-Cactusfield-Caller: %s\r\n", request->caller);
	if (message->body->len || !strcmp(request->method, "POST") ||
	    !strcmp(request->method, "PUT"))
		base_buf_addf(text, "Content-Length: %zu\r\n",
			      message->body->len);
	base_buf_adds(text, "\r\n");
	base_buf_add(text, message->body->ptr, message->body->len);
	sent = mg_write(conn, text->ptr, text->len) == (int)text->len;
	talloc_free(text);
	return sent;
}

static entry_attempt_t receive(struct mg_connection *conn, const void *ctx,
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
	/* The library loses what follows a 1xx answer in one segment. */
	if (info->status_code < 200)
		return ENTRY_ATTEMPT_CUT;
	answer->status = info->status_code;
	copy_headers(ctx, info, answer);
	answer->body = base_buf_new(ctx);
	ended = read_body(conn, options, answer, &whole);
	if (ended != ENTRY_ATTEMPT_ANSWERED)
		return ended;
	if (other_request(options, answer))
		return ENTRY_ATTEMPT_FAILED;
	header = mg_get_header(conn, "Connection");
	*reusable = whole && (!header || g_ascii_strcasecmp(header, "close"));
	return was_refused(answer) ? ENTRY_ATTEMPT_REFUSED
				   : ENTRY_ATTEMPT_ANSWERED;
}

/*
 * Read the body to its end.  "*whole" says that the connection stands at the
 * start of the next answer.  A body that only the close of the connection
 * ends cannot be told from one cut short and counts as cut.
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
		return ENTRY_ATTEMPT_CUT;
	if (!chunked && left > options->answer_max)
		return ENTRY_ATTEMPT_LARGE;
	while (chunked || left > 0) {
		size_t want = sizeof(chunk);
		int got;

		if (!chunked && left < (long long)want)
			want = (size_t)left;
		got = mg_read(conn, chunk, want);
		if (got < 0 || (!got && !chunked))
			return ENTRY_ATTEMPT_CUT;
		if (!got)
			break;
		if ((int64_t)answer->body->len + got > options->answer_max)
			return ENTRY_ATTEMPT_LARGE;
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

static void copy_headers(const void *ctx, const struct mg_response_info *info,
			 entry_message_t *answer)
{
	answer->headers = talloc_zero_array(ctx, entry_header_t,
					    (size_t)info->num_headers);
	answer->header_count = (size_t)info->num_headers;
	for (size_t i = 0; i < answer->header_count; i++) {
		const struct mg_header *from = &info->http_headers[i];

		answer->headers[i].name = talloc_strdup(ctx, from->name);
		answer->headers[i].value = talloc_strdup(ctx, from->value);
	}
}

static const char *header_of(const entry_message_t *message, const char *name)
{
	for (size_t i = 0; i < message->header_count; i++)
		if (!g_ascii_strcasecmp(message->headers[i].name, name))
			return message->headers[i].value;
	return NULL;
}

/* An endpoint that names another request answers somebody else. */
static bool other_request(const entry_forward_options_t *options,
			  const entry_message_t *answer)
{
	const char *id = header_of(answer, "X-Request-Id");

	return id && strcmp(id, options->request->id);
}

static bool was_refused(const entry_message_t *answer)
{
	const char *mark = header_of(answer, "X-Not-Run");

	return answer->status == 503 && mark &&
	       !g_ascii_strcasecmp(mark, "yes");
}
