/*
 * tool_fleet - functions shared by the verbs that act on the fleet.
 */
#ifndef TOOL_FLEET_H
#define TOOL_FLEET_H

#include "site.h"
#include "site_config.h"
#include "tool_int.h"

typedef struct tool_fleet {
	const void *ctx;
	FILE *out, *err;
	plat_store_t *store;
	plat_list_t *list;
	fleet_t *fleet;
	fleet_ops_t *ops; /* operations that the holder would issue now */
	int64_t now;
} tool_fleet_t;

/*
 * Sets up the clients of the store and, unless "list" is NULL, of the instance
 * list.  Prints an error and returns false when an address is malformed.
 */
bool tool_fleet_open(tool_fleet_t *tool, const char *store, const char *list);

/*
 * Reads the state of the fleet and computes the operations that are due,
 * without executing them.  Returns the exit status; other than for TOOL_OK an
 * error was printed.
 */
int tool_fleet_decide(tool_fleet_t *tool, const char *store, const char *list);

/*
 * Returns the new value of a key, given the old one, or NULL after printing why
 * the change is refused.
 */
typedef char *(*tool_fleet_edit_t)(tool_fleet_t *tool, base_str_t old,
				   void *arg);

/* Edits one key by compare-and-swap.  Returns the exit status. */
int tool_fleet_edit(tool_fleet_t *tool, const char *key, tool_fleet_edit_t edit,
		    void *arg);

#endif
