/*
 * site - fills a fleet_t from the platform.
 *
 * Reads the fleet's records, the instance list and the entries' own records.
 * The lease holder uses them to decide, the command-line tool to explain.
 *
 * Each entry keeps one record at SITE_ENTRIES_PREFIX NAME.  The entry writes it
 * before it routes to any pool; the record carries the entry's confirmations.
 * It is not bound to a lease: an entry counts until it is known to have ended.
 */
#ifndef SITE_H
#define SITE_H

#include "base.h"
#include "conf.h"
#include "fleet.h"
#include "plat.h"

#define SITE_ENTRIES_PREFIX "/cactusfield/entries/"

/* Allocate a fleet for "conf" as a talloc child of "ctx". */
fleet_t *site_fleet(const void *ctx, const conf_t *conf);

/* Apply another configuration; the observed state is kept. */
void site_configure(fleet_t *fleet, const conf_t *conf);

/* Convert the pools, allocated below "ctx"; names still belong to "conf". */
fleet_pool_t *site_pools(const void *ctx, const conf_t *conf);

/*
 * site_reader - reads the records in the store and their changes.
 *
 * The first read of a kind loads all its records, later reads only the changed
 * ones.  A deleted record is an error until it exists again, so that no
 * decision is based on incomplete records; only entry records may be deleted.
 * Not thread-safe.
 */
typedef struct site_reader site_reader_t;

/* Allocate a reader below "ctx" that loads records into "fleet". */
site_reader_t *site_reader_new(const void *ctx, fleet_t *fleet,
			       plat_store_t *store);

/* Load all fleet records.  Returns false if any of them fails. */
bool site_read_records(site_reader_t *reader, GError **err);

/* Load only the pool records, which assign instances to pools. */
bool site_read_pools(site_reader_t *reader, GError **err);

/* Apply an instance list that was read at "now". */
void site_observe(fleet_t *fleet, const plat_instances_t *list, int64_t now);

/* Convert an instance's "incarnation" to a number that only increases. */
uint64_t site_incarnation(const char *text);

/* The record of an entry. */
typedef struct site_entry {
	const char *name;
	uint64_t inc;
	plat_address_t operator_address;
	bool has_shut_down;
	/* Cordoned instances with no request of this entry in flight. */
	const char **confirmed_ids;
	/* Sequence number of the instance's fleet record, per confirmation. */
	uint64_t *confirmed_seqs;
	size_t n;
	const char **pools; /* pools that it routes to */
	double *demand;	    /* demand on each of these pools, in slots */
	size_t n_pools;
} site_entry_t;

/* Encode a record, allocated below "ctx". */
char *site_entry_print(const void *ctx, const site_entry_t *entry);

/* Decode the record of entry "name"; false if it is malformed. */
bool site_entry_load(const void *ctx, const char *name, base_str_t value,
		     site_entry_t *entry);

typedef struct site_entries {
	site_entry_t *items;
	size_t n;
} site_entries_t;

/* Read the current entries; "out" is valid until the next read. */
bool site_read_entries(site_reader_t *reader, site_entries_t *out,
		       GError **err);

/*
 * Load the idle record, which lists the instances without tasks.  Call it after
 * site_read_entries(): a holder of the jobs lease rewrites the record before it
 * starts any task, so this order sees the record of every holder that is not
 * bound by a confirmation in its entry record.
 */
bool site_read_idle(site_reader_t *reader, GError **err);

/* Sum the demand of all entries and pass it to the fleet. */
void site_apply_demand(fleet_t *fleet, const site_entries_t *entries,
		       int64_t now);

/* Pass an entry's confirmations to the fleet, which must know the entry. */
void site_apply_confirmations(fleet_t *fleet, const site_entry_t *entry);

#endif
