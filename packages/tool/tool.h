/*
 * tool - cactusfield: the operators' verbs, cactusfield(1).
 */
#ifndef TOOL_H
#define TOOL_H

#include <stdio.h>

#include "base.h"
#include "plat.h"

typedef enum tool_exit {
	TOOL_OK = 0,
	TOOL_REFUSED = 1,     /* the input or the request is not accepted */
	TOOL_USAGE = 2,	      /* the command line is wrong */
	TOOL_MOVED = 3,	      /* another change came first */
	TOOL_UNREACHABLE = 4, /* nobody answered; nothing was changed */
	TOOL_IN_DOUBT = 5,    /* it may or may not have taken effect */
	TOOL_EXIT_MAX
} tool_exit_t;

/*
 * A verb of one or two words.  "argv[0]" is the verb; output goes to "out",
 * errors to "err".
 */
typedef struct tool_verb {
	const char *group; /* first word, or NULL */
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv, FILE *out, FILE *err);
} tool_verb_t;

/* Find the verb of the command line and run it; returns the exit status. */
int tool_run(int argc, char **argv, FILE *out, FILE *err);

#endif
