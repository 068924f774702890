/*
 * base_log - JSON lines.
 *
 * One object a line: "time" (RFC 3339, UTC), "level", "msg" (the catalogue's
 * name), "text", then the caller's fields.  A line is written with one
 * write(2), so that lines of several threads do not mix.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "base_msg.h"

typedef enum base_field_kind {
	BASE_FIELD_STR,
	BASE_FIELD_INT,
	BASE_FIELD_REAL,
	BASE_FIELD_BOOL,
	BASE_FIELD_KIND_MAX
} base_field_kind_t;

typedef struct base_field {
	const char *key;
	base_field_kind_t kind;
	const char *str;
	int64_t num;
	double real;
} base_field_t;

#define BASE_F_STR(k, v) ((base_field_t){ k, BASE_FIELD_STR, v, 0, 0.0 })
#define BASE_F_INT(k, v) ((base_field_t){ k, BASE_FIELD_INT, NULL, v, 0.0 })
#define BASE_F_REAL(k, v) ((base_field_t){ k, BASE_FIELD_REAL, NULL, 0, v })
#define BASE_F_BOOL(k, v) ((base_field_t){ k, BASE_FIELD_BOOL, NULL, v, 0.0 })

typedef struct base_log {
	int fd;		    /* where lines go */
	base_level_t level; /* the least that is written */
} base_log_t;

/* Write "msg" with "n" fields, if its level is enough. */
void base_log_fields(const base_log_t *log, base_msg_t msg,
		     const base_field_t *fields, size_t n);

/* The same with the fields as further arguments. */
#define base_log(log, msg, ...)                                          \
	base_log_fields(log, msg, (const base_field_t[]){ __VA_ARGS__ }, \
			sizeof((const base_field_t[]){ __VA_ARGS__ }) /  \
				sizeof(base_field_t))

#endif
