/*
 * plat_int - declarations shared by the files of this package.
 */
#ifndef PLAT_INT_H
#define PLAT_INT_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "plat.h"

#define PLAT_TIMEOUT_MS 2000		 /* longest wait for one response */
#define PLAT_BODY_MAX (16 * 1024 * 1024) /* largest response body, in bytes */

/*
 * An HTTP client with one persistent connection.  Not thread-safe.
 */
typedef struct plat_http plat_http_t;

plat_http_t *plat_http_new(const void *ctx, const plat_address_t *address);

/*
 * POST "body" to "path", or GET "path" if "body" is NULL, and parse the JSON
 * response.  Fails with PLAT_ERROR_UNAVAILABLE if there is no connection,
 * PLAT_ERROR_UNKNOWN if the response was lost or has a status of 500 or above,
 * and PLAT_ERROR_REJECTED for any other status but 200 or a body that is not
 * JSON.
 */
json_t *plat_http_call(plat_http_t *http, const char *path, const char *body,
		       GError **err);

/*
 * GET "path" and append the response body to "body", unparsed.  Any status but
 * 200 is PLAT_ERROR_REJECTED.
 */
bool plat_http_get(plat_http_t *http, const char *path, base_buf_t *body,
		   GError **err);

/* A request.  "type" is the media type of the body; NULL: JSON. */
typedef struct plat_http_request {
	const char *method;
	const char *path;
	const char *type;
	const char *body; /* NULL: none */
} plat_http_request_t;

/*
 * Send a request and discard the response body.  Returns the status, which the
 * caller checks, or 0 with PLAT_ERROR_UNAVAILABLE or PLAT_ERROR_UNKNOWN.
 */
int plat_http_send(plat_http_t *http, const plat_http_request_t *request,
		   GError **err);

/*
 * A websocket client that queues received messages.  The connection is closed
 * if more than PLAT_WS_QUEUE_MAX bytes would be queued.  Not thread-safe.
 */
#define PLAT_WS_QUEUE_MAX ((size_t)4 * 1024 * 1024)
typedef struct plat_ws plat_ws_t;

plat_ws_t *plat_ws_open(const void *ctx, const plat_address_t *address,
			const char *path, GError **err);

/*
 * The next message, owned by the caller; NULL if none arrives within "wait_us"
 * or the connection is closed and the queue empty.
 */
GString *plat_ws_receive(plat_ws_t *ws, int64_t wait_us);

/* Whether the connection is closed; messages may still be queued. */
bool plat_ws_is_closed(plat_ws_t *ws);

/* Whether the connection is closed and the queue is empty. */
bool plat_ws_is_drained(plat_ws_t *ws);

#endif
