/*
 * site_joblog_int - declarations shared by the files of the jobs log.
 */
#ifndef SITE_JOBLOG_INT_H
#define SITE_JOBLOG_INT_H

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "site_joblog.h"

/* Result of a write. */
typedef enum site_write {
	SITE_WRITE_DONE,
	SITE_WRITE_AGAIN, /* outcome unknown: write the same text again */
	SITE_WRITE_LOST,  /* another holder has the lease */
	SITE_WRITE_MAX
} site_write_t;

struct site_joblog {
	plat_store_t *store;
	const char *fence_key;
	int64_t fence_revision;
	/* Job id to the digest (uint64_t) of its committed text. */
	GHashTable *digests;
	GHashTable *revisions; /* key to its last known mod_revision */
	int64_t seq;	       /* number of the last log record */
	/* number of the last log record that the snapshot covers */
	int64_t head_seq;
	int area;		/* key area of the snapshot: 0 or 1 */
	int64_t fence;		/* fencing token of the last record read */
	size_t value_bytes;	/* bytes of the last value read */
	size_t log_bytes;	/* log bytes since the last snapshot began */
	size_t last_snap_bytes; /* bytes of the last complete snapshot */
	GQueue removed_ids;	/* ids to remove with the next commit */
	/* Log records of the current commit that are still to be written. */
	GQueue unwritten_records;
	/* Changes of the unfinished commit: job id to new text; NULL: removed.
	 */
	GHashTable *unwritten_changes;
	/*
	 * Ids of the jobs of the snapshot in progress; NULL: no snapshot is in
	 * progress.
	 */
	char **ids;
	/* Length of "ids" and index of the next job to add to a part. */
	size_t n_ids, next_id;
	bool snap_complete; /* the last part, with learned data, is built */
	int64_t snap_seq;
	int snap_parts;
	size_t snap_bytes;
	char *snap_text; /* the snapshot part being written */
	char *idle;	 /* idle record, last text written or to write */
	/* whether the write of "idle" has an unknown outcome */
	bool idle_unconfirmed;
	char *learned;	 /* learned data as read; freed with free(3) */
	bool lease_lost; /* another holder has the lease */
	site_joblog_stats_t stats;
};

/* Convert the result of a write for the jobs core. */
jobs_commit_t site_joblog_commit_status(site_write_t result);

/*
 * Write "text" to "key", fenced by the lease.  Determines the outcome if the
 * response was lost.
 */
site_write_t site_joblog_write(site_joblog_t *log, const char *key,
			       const char *text);

/* Record a key's revision and the digest of a job's committed text. */
void site_joblog_set_revision(site_joblog_t *log, const char *key,
			      int64_t revision);
void site_joblog_set_digest(site_joblog_t *log, const char *id,
			    const char *text);

/* Format the key of log record "seq" and of a snapshot part. */
void site_joblog_slot_key(char key[64], int64_t seq);
void site_joblog_part_key(char key[64], int area, int part);

/* Discard the snapshot in progress. */
void site_joblog_snap_drop(site_joblog_t *log);

#endif
