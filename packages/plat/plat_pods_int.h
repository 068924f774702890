/*
 * plat_pods_int - declarations shared by the files of the pod API client.
 */
#ifndef PLAT_PODS_INT_H
#define PLAT_PODS_INT_H

#include "plat_int.h"

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define ANNOTATION_PREFIX "cactusfield/"
#define VERSION_MAX 32 /* bytes of a resourceVersion, with NUL */

typedef struct plat_pods {
	plat_tasks_t tasks;
	plat_address_t address;
	plat_http_t *http;
	plat_ws_t *watch; /* NULL: no watch is open */
	/* Time at which "watch" was opened; monotonic. */
	int64_t watch_opened_at;
	/* Last resourceVersion received; "": read the full list next. */
	char version[VERSION_MAX];
} plat_pods_t;

/* Implements plat_tasks_ops_t.reports. */
bool plat_pods_reports(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
		       bool *whole, GError **err);

/* Report the state of "pod"; a pod that is not a task of ours is ignored. */
void plat_pod_report(const json_t *pod, plat_report_fn_t report, void *arg);

/* The string "key" in the object "section" of "pod", or NULL. */
const char *plat_pod_text(const json_t *pod, const char *section,
			  const char *key);

#endif
