/*
 * site - fills a fleet_t from the platform.
 *
 * Reads the fleet's records, the instance list and the entries' own records,
 * for whoever decides (the duty's holder) or explains (the tool).
 *
 * Each entry keeps one record, SITE_ENTRIES_PREFIX NAME: it is written before
 * the entry routes to any pool, and carries what it confirms.  It is not bound
 * to a lease: an entry counts until it is known to have ended.
 */
#ifndef SITE_H
#define SITE_H

#include "base.h"
#include "conf.h"
#include "fleet.h"
#include "plat.h"

#define SITE_ENTRIES_PREFIX "/cactusfield/entries/"

/* A fleet for that configuration, below "ctx". */
fleet_t *site_fleet(const void *ctx, const conf_t *conf);

/* Follow another configuration; what was learned stays. */
void site_configure(fleet_t *fleet, const conf_t *conf);

/* The configuration's pools, below "ctx"; names stay the configuration's. */
fleet_pool_t *site_pools(const void *ctx, const conf_t *conf);

/*
 * site_reader - follows the records in the store.
 *
 * The first read of a kind takes all, later ones only what changed since.
 * A record that was there and is not any more is an error for as long as it
 * is gone: nothing is decided on a part.  For one thread.
 */
typedef struct site_reader site_reader_t;

/* A reader below "ctx" that fills "fleet". */
site_reader_t *site_reader_new(const void *ctx, fleet_t *fleet,
			       plat_store_t *store);

/* Load every record of the fleet; all or an error. */
bool site_read_records(site_reader_t *reader, GError **err);

/* Load only who owns what. */
bool site_read_pools(site_reader_t *reader, GError **err);

/* Take a list that was read at "now". */
void site_observe(fleet_t *fleet, const plat_instances_t *list, int64_t now);

/* "incarnation" of the platform's list as a number that grows. */
uint64_t site_incarnation(const char *text);

/* An entry's record. */
typedef struct site_entry {
	const char *name;
	uint64_t inc;
	plat_address_t operators;
	bool gone;	  /* took its leave */
	const char **ids; /* what it confirms ... */
	uint64_t *seqs;	  /* ... and for which record */
	size_t n;
	const char **pools; /* demand on them in slots, through it */
	double *demand;
	size_t n_pools;
} site_entry_t;

/* The record's value, below "ctx". */
char *site_entry_print(const void *ctx, const site_entry_t *entry);

/* Decode the record of entry "name"; false when it is none. */
bool site_entry_load(const void *ctx, const char *name, base_str_t value,
		     site_entry_t *entry);

typedef struct site_entries {
	site_entry_t *items;
	size_t n;
} site_entries_t;

/* Those there are now; "out" stands until the next read. */
bool site_read_entries(site_reader_t *reader, site_entries_t *out,
		       GError **err);

/*
 * Load what is said of tasks.  After the entries: a holder of the jobs' duty
 * says it anew before it starts anything, so that it is read then from each
 * that an entry's confirmation does not bind.
 */
bool site_read_idle(site_reader_t *reader, GError **err);

/* Add up the entries' demand and hand it to the fleet. */
void site_take_demand(fleet_t *fleet, const site_entries_t *entries,
		      int64_t now);

/* Hand its confirmations to the fleet, which was told of the entry. */
void site_take_confirmed(fleet_t *fleet, const site_entry_t *entry);

#endif
