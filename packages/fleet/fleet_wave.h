/*
 * fleet_wave - a round of maintenance over the fleet.
 *
 * The wave record is the key FLEET_WAVE_KEY.  The duty's holder and operators
 * write it, each by compare-and-swap.  An instance is due while its last
 * maintenance is older than the start of the wave.
 */
#ifndef FLEET_WAVE_H
#define FLEET_WAVE_H

#include "base.h"

#define FLEET_WAVE_KEY "/cactusfield/wave"

typedef enum fleet_wave_state {
	FLEET_WAVE_NONE, /* none yet, or done */
	FLEET_WAVE_RUNNING,
	FLEET_WAVE_PAUSED,  /* by a failure or an operator */
	FLEET_WAVE_STOPPED, /* by correlated failures; an operator resumes */
	FLEET_WAVE_ABORTED, /* by an operator; what is cordoned goes back */
	FLEET_WAVE_STATE_MAX
} fleet_wave_state_t;

typedef struct fleet_wave {
	fleet_wave_state_t state;
	bool by_operator; /* who wrote the state */
	uint64_t round;
	int64_t start; /* instances maintained before this are due */
	int64_t since; /* when the state began */
	int64_t rev;   /* of the record, 0 when there is none */
} fleet_wave_t;

typedef enum fleet_wave_verb {
	FLEET_WAVE_START,
	FLEET_WAVE_PAUSE,
	FLEET_WAVE_RESUME,
	FLEET_WAVE_ABORT,
	FLEET_WAVE_VERB_MAX
} fleet_wave_verb_t;

/*
 * What an operator's verb makes of "wave"; false when it does not apply in
 * that state.
 */
bool fleet_wave_operator(const fleet_wave_t *wave, fleet_wave_verb_t verb,
			 int64_t now, fleet_wave_t *next);

/* The verb of that name, FLEET_WAVE_VERB_MAX when unknown. */
fleet_wave_verb_t fleet_wave_verb_parse(const char *name);

const char *fleet_wave_state_name(fleet_wave_state_t state);

/* The record's value, below "ctx". */
char *fleet_wave_encode(const void *ctx, const fleet_wave_t *wave);

/* Decode; false when it is no such record.  "rev" is left alone. */
bool fleet_wave_decode(base_str_t value, fleet_wave_t *wave);

#endif
