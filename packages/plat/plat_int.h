/*
 * plat_int - what the files of this package share.
 */
#ifndef PLAT_INT_H
#define PLAT_INT_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "plat.h"

#define PLAT_TIMEOUT_MS 2000		 /* for one call */
#define PLAT_BODY_MAX (16 * 1024 * 1024) /* bytes of one answer */

/*
 * An HTTP client with one kept connection.  Not thread-safe.
 */
typedef struct plat_http plat_http_t;

plat_http_t *plat_http_new(const void *ctx, const plat_address_t *address);

/*
 * Send "body" (NULL: a GET) to "path" and parse the JSON answer.  PLAT_ERROR
 * _DOWN when the request was not sent, _UNKNOWN when the answer was lost,
 * _BAD when it is no JSON or its status is not 200.
 */
json_t *plat_http_call(plat_http_t *http, const char *path, const char *body,
		       GError **err);

/*
 * A GET whose answer is not one JSON text: its body is appended to "body".
 */
bool plat_http_get(plat_http_t *http, const char *path, base_buf_t *body,
		   GError **err);

/* One request; "type" is that of the body, NULL for JSON. */
typedef struct plat_http_request {
	const char *method;
	const char *path;
	const char *type;
	const char *body; /* NULL: none */
} plat_http_request_t;

/*
 * Send a request whose status the caller judges.  Returns the status, or 0
 * with PLAT_ERROR_DOWN or _UNKNOWN.
 */
int plat_http_send(plat_http_t *http, const plat_http_request_t *request,
		   GError **err);

/*
 * A stream of messages over a websocket, below "ctx"; for one thread.  It ends
 * where more than this would wait to be taken.
 */
#define PLAT_WS_BYTES_MAX ((size_t)4 * 1024 * 1024)
typedef struct plat_ws plat_ws_t;

plat_ws_t *plat_ws_open(const void *ctx, const plat_address_t *address,
			const char *path, GError **err);

/* The next message, or NULL after "wait_us" or at the end; the caller's. */
GString *plat_ws_take(plat_ws_t *ws, int64_t wait_us);

/* Whether no more comes; some may still wait to be taken. */
bool plat_ws_ended(plat_ws_t *ws);

/* Whether it has ended and everything was taken. */
bool plat_ws_closed(plat_ws_t *ws);

#endif
