/*
 * node_config_check - checks a configuration before the operator sends it, and
 * says what differs from the one in force.
 *
 * Pure.  Findings name their place as the configuration's reader would: "route
 * X", "pool X", "workspace X".  Keys are never part of a finding.
 */
#ifndef NODE_CONFIG_CHECK_H
#define NODE_CONFIG_CHECK_H

#include "node_platform.h"

typedef enum node_finding_level {
	NODE_FINDING_CHANGE, /* differs from the configuration in force */
	NODE_FINDING_WARNING,
	NODE_FINDING_ERROR,
	NODE_FINDING_LEVEL_MAX
} node_finding_level_t;

typedef struct node_finding {
	node_finding_level_t level;
	const char *place;
	const char *text;
} node_finding_t;

typedef struct node_findings {
	node_finding_t *list; /* talloc array */
	size_t n;
	node_finding_level_t highest; /* NODE_FINDING_CHANGE if there is none */
} node_findings_t;

/* All findings, in the order of the configuration; "in_force" NULL: only
 * those about "config" itself.  The result is a child of "ctx". */
node_findings_t *node_config_check(const void *ctx, const node_config_t *config,
				   const node_config_t *in_force);

const char *node_finding_level_name(node_finding_level_t level);

#endif
