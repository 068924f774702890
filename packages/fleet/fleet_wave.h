/*
 * fleet_wave - a round of maintenance over the fleet.
 *
 * The wave record is the key FLEET_WAVE_KEY.  The holder of the fleet lease and
 * operators write it by compare-and-swap.  An instance is due while its last
 * maintenance is older than the start of the wave.
 */
#ifndef FLEET_WAVE_H
#define FLEET_WAVE_H

#include "base.h"

#define FLEET_WAVE_KEY "/cactusfield/wave"

typedef enum fleet_wave_state {
	FLEET_WAVE_NONE, /* no wave yet, or the last one is done */
	FLEET_WAVE_RUNNING,
	FLEET_WAVE_PAUSED,  /* by a failure or an operator */
	FLEET_WAVE_STOPPED, /* by correlated failures, until an operator resumes
			       it */
	FLEET_WAVE_ABORTED, /* by an operator; cordoned instances return to
			       service */
	FLEET_WAVE_STATE_MAX
} fleet_wave_state_t;

typedef struct fleet_wave {
	fleet_wave_state_t state;
	bool by_operator; /* "state" was set by an operator, not the holder */
	uint64_t round;	  /* number of the wave */
	int64_t start;	  /* instances last maintained before this are due */
	int64_t since;	  /* time of the last start or operator's verb */
	int64_t rev;	  /* revision of the record; 0 if there is none */
} fleet_wave_t;

typedef enum fleet_wave_verb {
	FLEET_WAVE_START,
	FLEET_WAVE_PAUSE,
	FLEET_WAVE_RESUME,
	FLEET_WAVE_ABORT,
	FLEET_WAVE_VERB_MAX
} fleet_wave_verb_t;

/*
 * Stores in "next" the wave after an operator's verb.  Returns false if the
 * verb does not apply in the state of "wave".
 */
bool fleet_wave_operator(const fleet_wave_t *wave, fleet_wave_verb_t verb,
			 int64_t now, fleet_wave_t *next);

/* Returns the verb of that name, or FLEET_WAVE_VERB_MAX if it is unknown. */
fleet_wave_verb_t fleet_wave_verb_parse(const char *name);

const char *fleet_wave_state_name(fleet_wave_state_t state);

/* Returns the value of the wave record, allocated below "ctx". */
char *fleet_wave_encode(const void *ctx, const fleet_wave_t *wave);

/*
 * Decodes the value of a wave record; "rev" becomes 0.  Returns false if the
 * value does not decode.
 */
bool fleet_wave_decode(base_str_t value, fleet_wave_t *wave);

#endif
