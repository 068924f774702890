#include "plat_int.h"

#define ERROR_TEXT_MAX 160 /* bytes */
#define READ_CHUNK 16384   /* bytes */

struct plat_http {
	char *host;
	int port;
	char *key; /* NULL: none */
	struct mg_connection *conn;
};

static int free_http(plat_http_t *http);
static bool connect_to(plat_http_t *http, struct mg_connection **conn,
		       GError **err);
static bool send_request(plat_http_t *http, struct mg_connection *conn,
			 const plat_http_request_t *request);
static bool fetch(plat_http_t *http, const plat_http_request_t *request,
		  base_buf_t *response, int *status, GError **err);
static bool exchange(plat_http_t *http, const plat_http_request_t *request,
		     GError **err);
static bool read_body(struct mg_connection *conn, base_buf_t *out);
static json_t *parse_json(int status, const base_buf_t *body, GError **err);
static void disconnect(plat_http_t *http);

plat_http_t *plat_http_new(const void *ctx, const plat_address_t *address)
{
	plat_http_t *http = talloc_zero(ctx, plat_http_t);

	http->host = talloc_strdup(http, address->host);
	http->port = address->port;
	if (address->key)
		http->key = talloc_strdup(http, address->key);
	talloc_set_destructor(http, free_http);
	return http;
}

json_t *plat_http_call(plat_http_t *http, const char *path, const char *body,
		       GError **err)
{
	const plat_http_request_t request = { .method = body ? "POST" : "GET",
					      .path = path,
					      .body = body };
	base_buf_t *response = base_buf_new(NULL);
	json_t *root = NULL;
	int status;

	if (fetch(http, &request, response, &status, err))
		root = parse_json(status, response, err);
	talloc_free(response);
	return root;
}

bool plat_http_get(plat_http_t *http, const char *path, base_buf_t *body,
		   GError **err)
{
	const plat_http_request_t request = { .method = "GET", .path = path };
	int status;

	if (!fetch(http, &request, body, &status, err))
		return false;
	if (status == 200)
		return true;
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED, "status %d", status);
	return false;
}

int plat_http_send(plat_http_t *http, const plat_http_request_t *request,
		   GError **err)
{
	base_buf_t *response = base_buf_new(NULL);
	int status = 0;

	if (!fetch(http, request, response, &status, err))
		status = 0;
	talloc_free(response);
	return status;
}

json_t *plat_post_json(const plat_address_t *address, const char *path,
		       const char *body, GError **err)
{
	plat_http_t *http = plat_http_new(NULL, address);
	json_t *root = plat_http_call(http, path, body, err);

	talloc_free(http);
	return root;
}

json_t *plat_get_json(const plat_address_t *address, const char *path,
		      GError **err)
{
	plat_http_t *http = plat_http_new(NULL, address);
	json_t *root = plat_http_call(http, path, NULL, err);

	talloc_free(http);
	return root;
}

/* Sends a request and reads the whole response. */
static bool fetch(plat_http_t *http, const plat_http_request_t *request,
		  base_buf_t *response, int *status, GError **err)
{
	if (!exchange(http, request, err))
		return false;
	*status = mg_get_response_info(http->conn)->status_code;
	if (read_body(http->conn, response))
		return true;
	/*
	 * A body without Content-Length ends with the connection, which looks
	 * like truncation.  The status of an error response suffices.
	 */
	if (*status >= 400) {
		disconnect(http);
		return true;
	}
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN,
		    "answer of %s:%d was cut short", http->host, http->port);
	disconnect(http);
	return false;
}

static int free_http(plat_http_t *http)
{
	disconnect(http);
	return 0;
}

static bool connect_to(plat_http_t *http, struct mg_connection **conn,
		       GError **err)
{
	char text[ERROR_TEXT_MAX];

	*conn = mg_connect_client(http->host, http->port, 0, text,
				  sizeof(text));
	if (*conn)
		return true;
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNAVAILABLE, "%s", text);
	return false;
}

static bool send_request(plat_http_t *http, struct mg_connection *conn,
			 const plat_http_request_t *request)
{
	const char *type = request->type ? request->type : "application/json";
	const char *body = request->body;
	base_buf_t *text = base_buf_new(NULL);
	bool sent;

	base_buf_addf(text,
		      "%s %s HTTP/1.1\r\nHost: %s:%d\r\n"
		      "Accept: application/json\r\n",
		      request->method, request->path, http->host, http->port);
	if (http->key)
		base_buf_addf(text, "Authorization: Bearer %s\r\n", http->key);
	if (body)
		base_buf_addf(text,
			      "Content-Type: %s\r\n"
			      "Content-Length: %zu\r\n",
			      type, strlen(body));
	base_buf_adds(text, "\r\n");
	if (body)
		base_buf_adds(text, body);
	sent = mg_write(conn, text->ptr, text->len) == (int)text->len;
	talloc_free(text);
	return sent;
}

/*
 * Sends a request and waits for the response header.  If a persistent
 * connection turns out to be closed by the server, a GET is sent once more over
 * a new one.  Other methods are not: the request may have taken effect.
 */
static bool exchange(plat_http_t *http, const plat_http_request_t *request,
		     GError **err)
{
	char text[ERROR_TEXT_MAX];
	bool reused = http->conn != NULL;
	bool is_get = !strcmp(request->method, "GET");

	if (!reused && !connect_to(http, &http->conn, err))
		return false;
	if (send_request(http, http->conn, request) &&
	    mg_get_response(http->conn, text, sizeof(text), PLAT_TIMEOUT_MS) >=
		    0)
		return true;
	disconnect(http);
	if (reused && is_get)
		return exchange(http, request, err);
	g_set_error(err, PLAT_ERROR, PLAT_ERROR_UNKNOWN, "no answer from %s:%d",
		    http->host, http->port);
	return false;
}

static bool read_body(struct mg_connection *conn, base_buf_t *out)
{
	long long left = mg_get_response_info(conn)->content_length;
	bool has_length = left >= 0;
	char chunk[READ_CHUNK];

	while (!has_length || left > 0) {
		size_t want = sizeof(chunk);
		int got;

		if (has_length && left < (long long)want)
			want = (size_t)left;
		got = mg_read(conn, chunk, want);
		if (got < 0 || (has_length && !got))
			return false;
		if (!got)
			return true;
		if (out->len + (size_t)got > PLAT_BODY_MAX)
			return false;
		base_buf_add(out, chunk, (size_t)got);
		left -= got;
	}
	return true;
}

static json_t *parse_json(int status, const base_buf_t *body, GError **err)
{
	json_error_t where;
	json_t *root;

	if (status != 200) {
		g_set_error(err, PLAT_ERROR,
			    status >= 500 ? PLAT_ERROR_UNKNOWN
					  : PLAT_ERROR_REJECTED,
			    "status %d", status);
		return NULL;
	}
	root = json_loadb(body->ptr, body->len, 0, &where);
	if (!root)
		g_set_error(err, PLAT_ERROR, PLAT_ERROR_REJECTED,
			    "response is not JSON: line %d: %s", where.line,
			    where.text);
	return root;
}

static void disconnect(plat_http_t *http)
{
	if (http->conn)
		mg_close_connection(http->conn);
	http->conn = NULL;
}
