/*
 * site_joblog_int - what the files of the jobs' log share.
 */
#ifndef SITE_JOBLOG_INT_H
#define SITE_JOBLOG_INT_H

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "site_joblog.h"

typedef enum wrote {
	SITE_WROTE_DONE,
	SITE_WROTE_AGAIN, /* not known: the same text again */
	SITE_WROTE_LOST,  /* another holder's value stands there */
	SITE_WROTE_MAX
} site_wrote_t;

struct site_joblog {
	plat_store_t *store;
	const char *fence_key;
	int64_t fence_revision;
	GHashTable *digests;   /* id to uint64_t, of what is committed */
	GHashTable *revisions; /* key to mod_revision as last seen */
	int64_t seq;	       /* of the last record */
	int64_t head_seq;      /* up to which the snapshot holds all */
	int area;	       /* of the snapshot: 0 or 1 */
	int64_t fence;	       /* of the last record read */
	size_t read_size;      /* bytes of the last value read */
	size_t since;	       /* bytes of the log after head_seq */
	size_t snap_size;      /* bytes of the snapshot */
	GQueue gone;	       /* ids to leave out */
	GQueue parts;	       /* texts of a commit that are not written */
	GHashTable *parts_put; /* what they change: id to text, or NULL */
	char **ids;	       /* of the snapshot being made; NULL: none */
	size_t ids_n, ids_at;
	bool snap_learned; /* that part is made, the last one */
	int64_t snap_seq;
	int snap_parts;
	size_t snap_bytes;
	char *snap_text;  /* of its part that is being written */
	char *idle;	  /* as it stands, or is to stand, in the store */
	bool idle_unsure; /* whether it stands there */
	char *learned;	  /* as read */
	bool lost;
	site_joblog_stats_t stats;
};

/* What the core is told of a write. */
jobs_commit_t site_joblog_told(site_wrote_t wrote);

/* Write "text" to "key", fenced; a lost answer is found out. */
site_wrote_t site_joblog_write(site_joblog_t *log, const char *key,
			       const char *text);

/* Remember a key's revision, and what of a job is committed. */
void site_joblog_note_revision(site_joblog_t *log, const char *key,
			       int64_t revision);
void site_joblog_note(site_joblog_t *log, const char *id, const char *text);

/* The key of record "seq", and of a part of the snapshot. */
void site_joblog_slot_key(char key[64], int64_t seq);
void site_joblog_part_key(char key[64], int area, int part);

/* Give up the snapshot that is being made. */
void site_joblog_snap_drop(site_joblog_t *log);

#endif
