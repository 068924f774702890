/*
 * tool_fleet - what the verbs on the fleet share.
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
	fleet_ops_t *ops; /* what the holder would do now */
	int64_t now;
} tool_fleet_t;

/* Take the addresses; "list" may be NULL.  Tells what is wrong. */
bool tool_fleet_open(tool_fleet_t *tool, const char *store, const char *list);

/*
 * Take the addresses, read all and decide, without carrying it out.  The exit
 * status; other than TOOL_OK the reason was told.
 */
int tool_fleet_decide(tool_fleet_t *tool, const char *store, const char *list);

/* The new value of a key from its old one; NULL refuses, with the reason. */
typedef char *(*tool_fleet_edit_t)(tool_fleet_t *tool, base_str_t old,
				   void *arg);

/* Read, edit and write one key by compare-and-swap; the exit status. */
int tool_fleet_edit(tool_fleet_t *tool, const char *key, tool_fleet_edit_t edit,
		    void *arg);

#endif
