#include "standin_int.h"

void query_param(struct mg_connection *conn, const char *name, char *out,
		 size_t len)
{
	const char *query = mg_get_request_info(conn)->query_string;

	out[0] = '\0';
	if (query && mg_get_var(query, strlen(query), name, out, len) < 0)
		out[0] = '\0';
}

char *read_body(struct mg_connection *conn)
{
	int64_t announced = mg_get_request_info(conn)->content_length;
	base_buf_t *buf = base_buf_new(NULL);
	char chunk[8192];
	char *body;
	int got;

	while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		base_buf_add(buf, chunk, (size_t)got);
		if (buf->len > BODY_MAX) {
			talloc_free(buf);
			return NULL;
		}
	}
	if (got < 0 || (int64_t)buf->len < announced) {
		talloc_free(buf);
		return NULL;
	}
	body = talloc_steal(NULL, buf->ptr);
	talloc_free(buf);
	return body;
}

int reply_json(struct mg_connection *conn, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	size_t len = strlen(text);
	base_buf_t *out = base_buf_new(NULL);

	base_buf_addf(out,
		      "HTTP/1.1 %d Answer\r\n"
		      "Content-Type: application/json\r\n"
		      "Content-Length: %zu\r\n\r\n",
		      status, len);
	base_buf_add(out, text, len);
	if (mg_write(conn, out->ptr, out->len) != (int)out->len)
		mg_disable_connection_keep_alive(conn);
	talloc_free(out);
	free(text);
	json_decref(json);
	return status;
}

int close_unanswered(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
	return 499;
}

bool zone_is_isolated(standin_t *s, struct mg_connection *conn)
{
	int zone = mg_get_request_info(conn)->server_port - s->port;
	bool is_isolated = false;

	pthread_mutex_lock(&s->lock);
	if (zone >= 0 && zone < s->zone_count)
		is_isolated = s->zones[zone].is_isolated;
	pthread_mutex_unlock(&s->lock);
	return is_isolated;
}
