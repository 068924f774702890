/*
 * base_log - a logger that writes JSON lines.
 *
 * Each line is one object: "time" (RFC 3339, UTC), "level", "msg" (the name in
 * the catalogue), "text", then the caller's fields.  A line is written with one
 * write(2), so that lines of several threads do not interleave.
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
	int fd;		    /* lines are written to it */
	base_level_t level; /* messages below it are not written */
} base_log_t;

/* Write "msg" with "n" fields, unless its level is below that of "log". */
void base_log_fields(const base_log_t *log, base_msg_t msg,
		     const base_field_t *fields, size_t n);

/* Write "msg" with the fields that follow as variable arguments. */
#define base_log(log, msg, ...)                                          \
	base_log_fields(log, msg, (const base_field_t[]){ __VA_ARGS__ }, \
			sizeof((const base_field_t[]){ __VA_ARGS__ }) /  \
				sizeof(base_field_t))

#endif
