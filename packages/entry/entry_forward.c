#include "entry_int.h"

#define IDLE_MAX_US (5 * BASE_SEC) /* of a kept connection */
#define ERROR_TEXT_MAX 160	   /* bytes */
#define READ_CHUNK 16384	   /* bytes */

typedef struct kept {
	struct mg_connection *conn;
	int64_t since;
} kept_t;

/* The connections to one identity. */
typedef struct link {
	GArray *idle; /* of kept_t, most recent last */
	int open;     /* idle ones and those in use */
} link_t;

struct entry_forward {
	pthread_mutex_t lock;
	GHashTable *links; /* "id/incarnation" -> link_t */
};

static int free_forward(entry_forward_t *forward);
static void free_link(void *p);
static char *identity(const void *ctx, const entry_endpoint_t *endpoint);
static link_t *hold_link(entry_forward_t *forward, const void *ctx,
			 const entry_forward_options_t *options,
			 struct mg_connection **conn);
static struct mg_connection *open_conn(const entry_endpoint_t *endpoint);
static void close_link(entry_forward_t *forward, link_t *link,
		       struct mg_connection *conn);
static void keep(entry_forward_t *forward,
		 const entry_forward_options_t *options, link_t *link,
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

	entry_lock_init(&forward->lock);
	forward->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_link);
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
	link_t *link = hold_link(forward, ctx, options, &conn);

	if (!conn)
		conn = open_conn(options->endpoint);

	if (conn) {
		ended = ENTRY_ATTEMPT_FAILED;
		if (send_request(conn, options))
			ended = receive(conn, ctx, options, answer, &reusable);
	}
	if (reusable)
		keep(forward, options, link, conn);
	else
		close_link(forward, link, conn);
	return ended;
}

void entry_forward_expire(entry_forward_t *forward, int64_t now)
{
	GPtrArray *closing = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&forward->lock);
	g_hash_table_iter_init(&iter, forward->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		link_t *link = value;
		guint old = 0;

		while (old < link->idle->len &&
		       now - g_array_index(link->idle, kept_t, old).since >
			       IDLE_MAX_US)
			g_ptr_array_add(
				closing,
				g_array_index(link->idle, kept_t, old++).conn);
		if (old)
			g_array_remove_range(link->idle, 0, old);
		link->open -= (int)old;
		if (!link->open)
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
	g_hash_table_destroy(forward->links);
	pthread_mutex_destroy(&forward->lock);
	return 0;
}

static void free_link(void *p)
{
	link_t *link = p;

	g_array_free(link->idle, TRUE);
	g_free(link);
}

/* As "id/incarnation". */
static char *identity(const void *ctx, const entry_endpoint_t *endpoint)
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
 * The endpoint's link, with one connection more counted in; it stays as long
 * as any is.  "*conn" is an idle one, or NULL where one is to be opened: a
 * fresh one takes the place of an idle one where the limit is reached.
 */
static link_t *hold_link(entry_forward_t *forward, const void *ctx,
			 const entry_forward_options_t *options,
			 struct mg_connection **conn)
{
	char *key = identity(ctx, options->endpoint);
	struct mg_connection *idle = NULL;
	link_t *link;

	pthread_mutex_lock(&forward->lock);
	link = g_hash_table_lookup(forward->links, key);
	if (!link) {
		link = g_new0(link_t, 1);
		link->idle = g_array_new(FALSE, FALSE, sizeof(kept_t));
		g_hash_table_insert(forward->links, g_strdup(key), link);
	}
	if (link->idle->len &&
	    (!options->fresh || link->open >= options->connections)) {
		guint last = link->idle->len - 1;

		idle = g_array_index(link->idle, kept_t, last).conn;
		g_array_set_size(link->idle, last);
	} else {
		link->open++;
	}
	pthread_mutex_unlock(&forward->lock);
	if (idle && options->fresh) {
		mg_close_connection(idle);
		idle = NULL;
	}
	*conn = idle;
	return link;
}

static struct mg_connection *open_conn(const entry_endpoint_t *endpoint)
{
	char text[ERROR_TEXT_MAX];

	return mg_connect_client(endpoint->address, endpoint->port, 0, text,
				 sizeof(text));
}

static void close_link(entry_forward_t *forward, link_t *link,
		       struct mg_connection *conn)
{
	if (conn)
		mg_close_connection(conn);
	pthread_mutex_lock(&forward->lock);
	link->open--;
	pthread_mutex_unlock(&forward->lock);
}

static void keep(entry_forward_t *forward,
		 const entry_forward_options_t *options, link_t *link,
		 struct mg_connection *conn)
{
	kept_t kept = { conn, base_clock_mono() };
	bool room;

	pthread_mutex_lock(&forward->lock);
	room = link->open <= options->connections;
	if (room)
		g_array_append_val(link->idle, kept);
	pthread_mutex_unlock(&forward->lock);
	if (!room)
		close_link(forward, link, conn);
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
		entry_http_add(text, message->headers[i].name,
			       message->headers[i].value);
	entry_http_add(text, "X-Request-Id", request->id);
	entry_http_add(text, "X-Cactusfield-Caller", request->caller);
	if (message->body->len || !strcmp(request->method, "POST") ||
	    !strcmp(request->method, "PUT"))
		entry_http_add_length(text, message->body->len);
	base_buf_add(text, "\r\n", 2);
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

/* All texts in one block: a talloc piece each costs more than the copy. */
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

/* An endpoint that names another request answers somebody else. */
static bool other_request(const entry_forward_options_t *options,
			  const entry_message_t *answer)
{
	const char *id = entry_header(answer, "X-Request-Id");

	return id && strcmp(id, options->request->id) != 0;
}

static bool was_refused(const entry_message_t *answer)
{
	const char *mark = entry_header(answer, "X-Not-Run");

	return answer->status == 503 && mark &&
	       !g_ascii_strcasecmp(mark, "yes");
}
