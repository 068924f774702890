/*
 * site_joblog - the records of jobs in the store.
 *
 * One log record a step holds what changed, written by one compare-and-swap
 * that the duty's key fences; a step that changes more than fits one value
 * takes several, of which all but the last say that more follow.  The log is
 * a ring of keys.  Snapshots, in parts, let its beginning be written over.
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
#define SITE_JOBLOG_SLOTS 1024		   /* keys of the ring */
#define SITE_JOBLOG_VALUE_MAX (512 * 1024) /* bytes of one record or part */
/* A snapshot is made once the log since the last one holds so much ... */
#define SITE_JOBLOG_BYTES (1024 * 1024) /* or as much as the snapshot */
#define SITE_JOBLOG_RECORDS 512		/* ... or so many records */

typedef struct site_joblog site_joblog_t;

typedef struct site_joblog_stats {
	uint64_t commits; /* that wrote something */
	uint64_t writes;  /* values of the log */
	uint64_t bytes;	  /* of them */
	uint64_t snapshots;
	uint64_t snapshot_bytes;
	size_t jobs; /* known */
} site_joblog_stats_t;

/* A log below "ctx" whose writes are fenced by "duty" as it is held now. */
site_joblog_t *site_joblog_new(const void *ctx, plat_store_t *store,
			       const plat_duty_t *duty);

/*
 * Read all that was committed; to be called once, with the duty held.  Each
 * job's record is handed to "visit" as text, in no order, and before them to
 * "learn" what was learned by the time of the last snapshot, if it has that.
 */
typedef void (*site_text_fn_t)(void *arg, base_str_t text);

bool site_joblog_read(site_joblog_t *log, site_text_fn_t visit,
		      site_text_fn_t learn, void *arg, GError **err);

/* Visit the id of each job, in no order. */
void site_joblog_each(const site_joblog_t *log,
		      void (*visit)(void *arg, base_str_t id), void *arg);

/*
 * Write the records that differ from what stands there, all or none.  After
 * JOBS_COMMIT_AGAIN the next call first finishes what was begun.
 */
jobs_commit_t site_joblog_commit(site_joblog_t *log,
				 const jobs_record_t *records, size_t n);

/*
 * Leave a job out from the next commit on, or from the next call of
 * site_joblog_snapshot() if that comes first.
 */
void site_joblog_forget(site_joblog_t *log, base_str_t id);

/*
 * Write the ids to leave out that no commit has taken along, and a part of a
 * snapshot if one is due: at most three values.  "record" gives a job's record
 * as it is now, or false.  False once another holder was seen.
 */
typedef bool (*site_record_fn_t)(void *arg, base_str_t id,
				 jobs_record_t *record);

typedef char *(*site_learned_fn_t)(void *arg, const void *ctx, size_t max);

bool site_joblog_snapshot(site_joblog_t *log, site_record_fn_t record,
			  site_learned_fn_t learned, void *arg);

/*
 * Say whether jobs may run tasks at all and, if so, which instances have none
 * and get none as long as their records stand so.  Written when it differs from
 * what stands there, and once by each holder, which starts nothing before: what
 * its predecessor said is void.
 */
jobs_commit_t site_joblog_idle(site_joblog_t *log, bool may_run,
			       const fleet_idle_t *idle, size_t n);

/* Whether it was said last that jobs may run; false where nothing was. */
bool site_jobs_may_run(plat_store_t *store, bool *may_run, GError **err);

/* Decode what was said and hand it to "fleet"; false when it is none. */
bool site_take_idle(fleet_t *fleet, base_str_t value);

site_joblog_stats_t site_joblog_stats(const site_joblog_t *log);

#endif
