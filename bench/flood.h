/*
 * flood - several decision cores before modelled endpoints, in virtual time.
 *
 * A fake at the core's interface for measuring admission and choice: queues
 * with true slots and service times at the endpoints, network delays, Poisson
 * arrivals, callers' deadlines.  Two baselines stand beside the core: first
 * come first served, and fixed static shares.  The same seed gives the same
 * arrivals and service times whatever the policy and whoever floods.
 */
#ifndef FLOOD_H
#define FLOOD_H

#include "base.h"
#include "route.h"

#define FLOOD_ENTRIES 8
#define FLOOD_ZONES 3
#define FLOOD_POOLS 5
#define FLOOD_CLASSES 5
#define FLOOD_CONNECTIONS 64 /* of one endpoint */

typedef enum flood_policy {
	FLOOD_CORE,
	FLOOD_FCFS,
	FLOOD_STATIC,
	FLOOD_POLICY_MAX
} flood_policy_t;

/* What an endpoint without a free slot does. */
typedef enum flood_full {
	FLOOD_QUEUES,
	FLOOD_REFUSES,
	FLOOD_FULL_MAX
} flood_full_t;

/* How the failing third fails. */
typedef enum flood_fault {
	FLOOD_NO_FAULT,
	FLOOD_NO_CONNECTION,
	FLOOD_RESET, /* after it ran */
	FLOOD_FAULT_MAX
} flood_fault_t;

typedef struct flood_class {
	int pool;
	int urgency; /* 0 is the most urgent */
	double weight;
	double load; /* mean demand, part of its pool's capacity */
} flood_class_t;

typedef struct flood_options {
	flood_policy_t policy;
	flood_full_t full;
	int executors[FLOOD_POOLS]; /* 0: no such pool */
	int true_slots;		    /* 8 are declared */
	flood_class_t classes[FLOOD_CLASSES];
	int n_classes;
	unsigned flooding; /* bit a class */
	double peak;	   /* times the mean, in a burst */
	double trough;	   /* times the mean, around it */
	int64_t burst_from[2], burst_until[2];
	int64_t end;
	flood_fault_t fault; /* of every third endpoint of pool 0 */
	int64_t fault_from, fault_until;
	uint64_t seed;
} flood_options_t;

typedef struct flood_result {
	uint64_t offered[FLOOD_CLASSES];
	uint64_t answered[FLOOD_CLASSES];
	uint64_t not_run[FLOOD_CLASSES];
	uint64_t unknown[FLOOD_CLASSES];
	uint64_t in_burst[FLOOD_CLASSES]; /* answered during bursts */
	double p50_us[FLOOD_CLASSES];
	double p99_us[FLOOD_CLASSES];
	double capacity[FLOOD_POOLS]; /* answers a second */
	double busy[FLOOD_POOLS];     /* part of the slots during bursts */
	double goodput[FLOOD_POOLS];  /* in bursts, part of the capacity */
	uint64_t attempts;	      /* while the fault lasts, pool 0 */
	uint64_t requests;	      /* the same */
	uint64_t answered_fault;      /* the same */
	int connections_max;	      /* at one endpoint */
	double refused_part;	      /* attempts that an endpoint refused */
	double remote_part;	      /* attempts to another zone */
} flood_result_t;

/* Run one world. */
void flood_run(const flood_options_t *options, flood_result_t *result);

/*
 * Five pools with the users' executors, a class each, pool 0 the most urgent;
 * or one pool of 12 executors with three classes of equal weight.
 */
flood_options_t flood_five_pools(void);
flood_options_t flood_shared_pool(void);

/* Five pools, a third of each failing for five seconds. */
flood_options_t flood_failing(flood_fault_t fault);

/* The bit of a class in "flooding". */
unsigned flood_bit(int cls);

/* What a flood leaves, against the same run without it. */
typedef struct flood_kept {
	double goodput; /* least of the others, of what it is without flood */
	double p99;	/* most of the others, the same */
	double pool;	/* least of the flooded pools, of their capacity */
} flood_kept_t;

flood_kept_t flood_kept(const flood_options_t *options,
			const flood_result_t *calm,
			const flood_result_t *flooded);

/* Names for output. */
const char *flood_policy_name(flood_policy_t policy);

#endif
