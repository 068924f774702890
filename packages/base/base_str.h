/*
 * base_str - length-counted strings and a growing buffer.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A view of bytes that it does not own, not necessarily NUL-terminated. */
typedef struct base_str {
	const char *ptr;
	size_t len; /* bytes */
} base_str_t;

/* Initialise from a string literal. */
#define BASE_STR(lit) ((base_str_t){ (lit), sizeof(lit) - 1 })

/* Arguments for a "%.*s" conversion. */
#define BASE_STR_ARG(s) (int)(s).len, (s).ptr

/* A view of the NUL-terminated "text"; NULL gives the empty string. */
base_str_t base_str(const char *text);

/* Whether "a" and "b" hold the same bytes. */
bool base_str_eq(base_str_t a, base_str_t b);

/* Copy "s" below the talloc context "ctx", NUL-terminated. */
char *base_str_dup(const void *ctx, base_str_t s);

/*
 * A buffer that grows.  "ptr" is always NUL-terminated, "len" does not count
 * that NUL.
 */
typedef struct base_buf {
	char *ptr;
	size_t len;   /* bytes */
	size_t alloc; /* bytes */
} base_buf_t;

/* A new empty buffer below "ctx". */
base_buf_t *base_buf_new(const void *ctx);

/* Append "len" bytes. */
void base_buf_add(base_buf_t *buf, const void *data, size_t len);

/* Append the NUL-terminated "text". */
void base_buf_adds(base_buf_t *buf, const char *text);

/* Append formatted text, as printf(3) does. */
void base_buf_addf(base_buf_t *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Append "value" in decimal; faster than base_buf_addf(). */
void base_buf_add_uint(base_buf_t *buf, uint64_t value);
void base_buf_add_int(base_buf_t *buf, int64_t value);

/* Append "s" as a JSON string with its quotes. */
void base_buf_add_json(base_buf_t *buf, base_str_t s);

/* Empty the buffer; its memory is kept. */
void base_buf_reset(base_buf_t *buf);

/* The content as a view, valid until the next change. */
base_str_t base_buf_str(const base_buf_t *buf);

#endif
