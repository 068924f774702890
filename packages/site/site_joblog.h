/*
 * site_joblog - the records of jobs in the store.
 *
 * The log of jobs is a ring of keys.  Each step of the jobs core commits its
 * changes as one log record, written by a compare-and-swap that is fenced by
 * the lease's key.  A step whose changes do not fit one value writes several
 * records; all but the last are marked that more follow.  A snapshot is a copy
 * of the records of all jobs and of the learned data (job sizes and run times),
 * written in parts under other keys.  It allows the log records that it covers
 * to be overwritten.
 *
 * Not thread-safe.
 */
#ifndef SITE_JOBLOG_H
#define SITE_JOBLOG_H

#include "fleet.h"
#include "jobs.h"
#include "plat.h"

#define SITE_JOBS_PREFIX "/cactusfield/jobs/"
#define SITE_JOBS_HEAD SITE_JOBS_PREFIX "head"
#define SITE_JOBS_IDLE SITE_JOBS_PREFIX "idle"
#define SITE_JOBLOG_SLOTS 1024		   /* keys in the ring */
#define SITE_JOBLOG_VALUE_MAX (512 * 1024) /* bytes of one stored value */
/*
 * A snapshot starts when the log after the last snapshot has
 * SITE_JOBLOG_RECORDS records, or more bytes than both SITE_JOBLOG_BYTES and
 * the last snapshot.
 */
#define SITE_JOBLOG_BYTES (1024 * 1024)
#define SITE_JOBLOG_RECORDS 512

typedef struct site_joblog site_joblog_t;

typedef struct site_joblog_stats {
	uint64_t commits; /* commits that wrote something */
	uint64_t writes;  /* log records written */
	uint64_t bytes;	  /* bytes of the log records written */
	uint64_t snapshots;
	uint64_t snapshot_bytes;
	size_t jobs; /* jobs whose records are committed */
} site_joblog_stats_t;

/*
 * Allocate a log below "ctx".  "duty" must be held; its present fencing token
 * guards all writes.
 */
site_joblog_t *site_joblog_new(const void *ctx, plat_store_t *store,
			       const plat_duty_t *duty);

/*
 * Read the committed records of all jobs.  Call it once, while holding the
 * lease.  Calls "learn" with the learned data of the last snapshot if the
 * snapshot has any, then "visit" with the text of each job's record, in no
 * order.
 */
typedef void (*site_text_fn_t)(void *arg, base_str_t text);

bool site_joblog_read(site_joblog_t *log, site_text_fn_t visit,
		      site_text_fn_t learn, void *arg, GError **err);

/* Call "visit" with the id of each committed job, in no order. */
void site_joblog_each(const site_joblog_t *log,
		      void (*visit)(void *arg, base_str_t id), void *arg);

/*
 * Commit the records that differ from the stored ones, all or none.  After
 * JOBS_COMMIT_UNKNOWN the next call first completes the unfinished commit.
 */
jobs_commit_t site_joblog_commit(site_joblog_t *log,
				 const jobs_record_t *records, size_t n);

/*
 * Remove a job with the next commit, or with the next call of
 * site_joblog_snapshot() if that comes first.
 */
void site_joblog_remove(site_joblog_t *log, base_str_t id);

/*
 * Commit pending removals, then write one part of a snapshot if one is due: at
 * most three values.  "record" returns a job's current record, or false if the
 * job is unknown.  Returns false once another holder was detected.
 */
typedef bool (*site_record_fn_t)(void *arg, base_str_t id,
				 jobs_record_t *record);

/* Return the learned data as JSON of at most "max" bytes, below "ctx". */
typedef char *(*site_learned_fn_t)(void *arg, const void *ctx, size_t max);

bool site_joblog_snapshot(site_joblog_t *log, site_record_fn_t record,
			  site_learned_fn_t learned, void *arg);

/*
 * Write the idle record: whether jobs may run tasks at all and, if so, which
 * instances have no task and get none while their fleet records are unchanged.
 * Writes only a changed record, and one per holder.  A holder starts no task
 * before its first write, which invalidates its predecessor's record.
 */
jobs_commit_t site_joblog_write_idle(site_joblog_t *log, bool may_run,
				     const fleet_idle_t *idle, size_t n);

/* Read from the idle record whether jobs may run; false if there is none. */
bool site_jobs_may_run(plat_store_t *store, bool *may_run, GError **err);

/* Decode an idle record into "fleet"; false if it is malformed. */
bool site_apply_idle(fleet_t *fleet, base_str_t value);

site_joblog_stats_t site_joblog_stats(const site_joblog_t *log);

#endif
