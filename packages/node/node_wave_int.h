/*
 * node_wave_int - what the files about rounds of upkeep share.
 */
#ifndef NODE_WAVE_INT_H
#define NODE_WAVE_INT_H

#include "node_int.h"

typedef enum place_state {
	PLACE_WAITING,
	PLACE_EMPTYING,
	PLACE_ASKED, /* the platform's answer is awaited, or was lost */
	PLACE_DOWN,  /* its upkeep has begun */
	PLACE_BACK,
	PLACE_GONE, /* no longer there, or not of this wave */
	PLACE_MAX
} place_state_t;

typedef struct wave wave_t;

typedef struct place {
	wave_t *wave;
	char *name;
	char *worker; /* its present life, as listed; NULL: none */
	place_state_t state;
	node_instance_state_t listed;
	bool in_list;
	bool calling;
	bool maybe_down;  /* a predecessor may have ordered its upkeep */
	uint64_t version; /* of the row that says that it is asked */
	int64_t asked_at;
	int64_t since;
} place_t;

struct wave {
	node_waves_t *waves;
	int64_t number;
	int at_most;
	int64_t ends_by; /* counted from when this entry read of it */
	place_t *places;
	size_t n;
	bool completed;
	uint64_t version;
	uint64_t taken;
	uint64_t kept;
};

struct node_waves {
	node_owner_t *owner;
	GPtrArray *waves;
	GHashTable *records; /* number as text to what a predecessor stored */
	net_timer_t *tick_timer;
	wave_t *storing;
};

/* node_wave.c */
wave_t *node_wave_find(const node_waves_t *waves, int64_t number);
place_t *node_wave_place(const wave_t *wave, const char *name);

/* node_wave_record.c */
/* What a predecessor has begun need not begin again. */
void node_wave_take_record(wave_t *wave);

/* node_wave_explain.c */
const char *node_wave_place_word(place_state_t state);

#endif
