/*
 * claim_epoch - the agreed list of entries that store claims.
 *
 * The list and its epoch number are one record in the platform's store, which
 * is changed only by compare-and-swap.
 */
#ifndef CLAIM_EPOCH_H
#define CLAIM_EPOCH_H

#include "base.h"

#define CLAIM_EPOCH_KEY "/cactusfield/epoch"
#define CLAIM_NO_MEMBER (-1)

typedef enum claim_err {
	CLAIM_ERR_JSON, /* the text is not an epoch record */
	CLAIM_ERR_MAX
} claim_err_t;

#define CLAIM_ERROR claim_error_quark()
GQuark claim_error_quark(void);

typedef struct claim_member {
	const char *id;
	const char *zone;
	uint64_t incarnation;
} claim_member_t;

typedef struct claim_list {
	claim_member_t *members;
	size_t n;
} claim_list_t;

typedef struct claim_epoch {
	uint64_t number;  /* from 1; 0 means no epoch */
	uint64_t settled; /* no entry grants takes in this epoch or before */
	claim_list_t current_list;
	claim_list_t former_list; /* the list of epoch number - 1 */
} claim_epoch_t;

/* Home and backup of a slice: indices into a list, or CLAIM_NO_MEMBER. */
typedef struct claim_pair {
	int home;
	int backup; /* in a zone other than the home's if possible */
} claim_pair_t;

/*
 * Parse an epoch record; the result is allocated below "ctx".  Returns NULL
 * and sets an error of CLAIM_ERROR if "json" is not an epoch record.
 */
claim_epoch_t *claim_epoch_parse(const void *ctx, base_str_t json,
				 GError **err);

/* Append the epoch to "buf" as a JSON record. */
void claim_epoch_print(const claim_epoch_t *epoch, base_buf_t *buf);

/* Return a deep copy allocated below "ctx". */
claim_epoch_t *claim_epoch_dup(const void *ctx, const claim_epoch_t *epoch);

/* Copy "from" to "to"; the members are allocated below "ctx". */
void claim_list_copy(const void *ctx, claim_list_t *to,
		     const claim_list_t *from);

/* Home and backup of "slice", by rendezvous hashing of the entries' ids. */
claim_pair_t claim_list_pair(const claim_list_t *list, unsigned slice);

/* The index of entry "id" with that incarnation, or CLAIM_NO_MEMBER. */
int claim_list_find(const claim_list_t *list, const char *id,
		    uint64_t incarnation);

#endif
