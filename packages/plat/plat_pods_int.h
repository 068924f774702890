/*
 * plat_pods_int - what the files of the pod API's client share.
 */
#ifndef PLAT_PODS_INT_H
#define PLAT_PODS_INT_H

#include "plat_int.h"

#define PODS_PATH "/api/v1/namespaces/jobs/pods"
#define NOTE "cactusfield/"
#define VERSION_MAX 32 /* bytes */

typedef struct plat_pods {
	plat_tasks_t tasks;
	plat_address_t address;
	plat_http_t *http;
	plat_ws_t *watch;	   /* NULL: none */
	int64_t watched_at;	   /* when it was opened */
	char version[VERSION_MAX]; /* "": not followed */
} plat_pods_t;

/* plat_tasks_ops_t's reports. */
bool plat_pods_reports(plat_tasks_t *tasks, plat_report_fn_t report, void *arg,
		       bool *whole, GError **err);

/* Report what "pod" says; one that is not of ours is passed over. */
void plat_pod_report(const json_t *pod, plat_report_fn_t report, void *arg);

/* The text "key" in a section of "pod", or NULL. */
const char *plat_pod_text(const json_t *pod, const char *section,
			  const char *key);

#endif
