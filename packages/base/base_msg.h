/*
 * base_msg - the catalogue of log messages.
 *
 * Programs of this project log only these messages, so that an operator can
 * look each up and a test can match its name.
 */
#ifndef BASE_MSG_H
#define BASE_MSG_H

typedef enum base_level {
	BASE_DEBUG,
	BASE_INFO,
	BASE_WARN,
	BASE_ERROR,
	BASE_LEVEL_MAX
} base_level_t;

typedef enum base_msg {
#define BASE_MSG(id, level, name, text) BASE_MSG_##id,
#include "base_msg.def"
#undef BASE_MSG
	BASE_MSG_MAX
} base_msg_t;

typedef struct base_msg_info {
	base_level_t level;
	const char *name; /* stable; for programs to match */
	const char *text; /* for people to read */
} base_msg_info_t;

/* The catalogue's entry for "msg". */
const base_msg_info_t *base_msg_info(base_msg_t msg);

/* "debug", "info", "warn" or "error". */
const char *base_level_name(base_level_t level);

#endif
