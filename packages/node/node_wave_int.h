/*
 * node_wave_int - internal interface of the node_wave files: waves, that is,
 * rounds of maintenance, and the instances that they maintain.
 */
#ifndef NODE_WAVE_INT_H
#define NODE_WAVE_INT_H

#include "node_int.h"

typedef enum wave_target_state {
	WAVE_TARGET_WAITING,
	WAVE_TARGET_EMPTYING,
	WAVE_TARGET_ASKED, /* order to be sent, or its answer is due or lost */
	WAVE_TARGET_DOWN,  /* maintenance has begun */
	WAVE_TARGET_BACK,  /* maintained and up again */
	WAVE_TARGET_GONE,  /* no longer listed, or not part of this wave */
	WAVE_TARGET_MAX
} wave_target_state_t;

typedef struct wave wave_t;

/* An instance that a wave maintains. */
typedef struct wave_target {
	wave_t *wave;
	char *name;
	char *worker; /* the worker that runs on it, as listed; NULL: none */
	char *asked_worker; /* the worker that the order ends; NULL: none known
			     */
	wave_target_state_t state;
	node_instance_state_t listed_state;
	bool is_listed;
	bool is_calling;
	/* While it is emptied: an order for its maintenance, of this holder or
	 * a predecessor, may have been or may yet be carried out. */
	bool may_be_down;
	bool is_in_doubt; /* an earlier order may yet be carried out */
	uint64_t version; /* first version of the row that lists it as asked */
	int64_t answered_at;  /* when the last call was answered */
	int64_t former_until; /* until then a former holder's order may act */
	int64_t since;	      /* when it entered its state */
} wave_target_t;

struct wave {
	node_waves_t *waves;
	int64_t number;
	int at_most;
	int64_t deadline; /* counted from when this entry read the wave */
	wave_target_t *targets;
	size_t n_targets;
	GHashTable *by_name;	  /* instance name to wave_target_t */
	bool completed;		  /* no instance is still to go down */
	uint64_t version;	  /* of the row that holds the current state */
	uint64_t written_version; /* version that is being stored */
	uint64_t stored_version;  /* version that is known to be stored */
};

struct node_waves {
	node_holder_t *holder;
	GPtrArray *waves;
	GHashTable *records; /* wave number to a predecessor's row, texts */
	net_timer_t *tick_timer;
	wave_t *storing_wave;
};

/* node_wave.c */
wave_t *node_wave_find(const node_waves_t *waves, int64_t number);
wave_target_t *node_wave_find_target(const wave_t *wave, const char *name);

/* node_wave_record.c */
/* Applies the row that a predecessor stored of the wave, if there is one. */
void node_wave_restore(wave_t *wave);

/* node_wave_explain.c */
const char *node_wave_target_state_name(wave_target_state_t state);

#endif
