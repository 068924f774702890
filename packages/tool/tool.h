/*
 * tool - the operators' command, cactusfield(1).
 */
#ifndef TOOL_H
#define TOOL_H

#include <stdio.h>

#include "base.h"
#include "plat.h"

typedef enum tool_exit {
	TOOL_OK = 0,
	TOOL_REFUSED = 1,     /* the input or the request was refused */
	TOOL_USAGE = 2,	      /* the command line is wrong */
	TOOL_CONFLICT = 3,    /* a concurrent change was written first */
	TOOL_UNREACHABLE = 4, /* no answer; nothing was changed */
	TOOL_IN_DOUBT = 5,    /* the change may have taken effect */
	TOOL_EXIT_MAX
} tool_exit_t;

/*
 * A verb of one or two words.  "argv[0]" is the whole verb, as "config diff";
 * output goes to "out", errors to "err".
 */
typedef struct tool_verb {
	const char *group; /* first word, or NULL */
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv, FILE *out, FILE *err);
} tool_verb_t;

/* Runs the verb that the command line names.  Returns the exit status. */
int tool_run(int argc, char **argv, FILE *out, FILE *err);

#endif
