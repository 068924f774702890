/*
 * flood - simulation of several routing cores and their endpoints, in virtual
 * time.
 *
 * Measures admission and endpoint selection through the core's interface.  The
 * model has endpoint queues with actual slots and service times, network
 * delays, Poisson arrivals and callers' deadlines.  Two baseline policies are
 * first come first served and fixed static shares.  The same seed gives the
 * same arrivals and service times for every policy and every choice of flooding
 * classes.
 */
#ifndef FLOOD_H
#define FLOOD_H

#include "base.h"
#include "route.h"

#define FLOOD_ENTRIES 8
#define FLOOD_ZONES 3
#define FLOOD_POOLS 5
#define FLOOD_CLASSES 5
#define FLOOD_CONNECTIONS 64 /* limit per endpoint */

typedef enum flood_policy {
	FLOOD_CORE,
	FLOOD_FCFS,
	FLOOD_STATIC,
	FLOOD_POLICY_MAX
} flood_policy_t;

/* What an endpoint does with a request when no slot is free. */
typedef enum flood_full {
	FLOOD_QUEUES,
	FLOOD_REFUSES,
	FLOOD_FULL_MAX
} flood_full_t;

/* How the faulty third of the endpoints of pool 0 fails. */
typedef enum flood_fault {
	FLOOD_NO_FAULT,
	FLOOD_NO_CONNECTION,
	FLOOD_RESET, /* connection reset after the request ran */
	FLOOD_FAULT_MAX
} flood_fault_t;

typedef struct flood_class {
	int pool;
	int urgency; /* 0 is the most urgent */
	double weight;
	double load; /* mean demand as a fraction of pool capacity */
} flood_class_t;

typedef struct flood_options {
	flood_policy_t policy;
	flood_full_t full;
	int executors[FLOOD_POOLS]; /* 0: no such pool */
	int true_slots;		    /* actual slots; 8 are declared */
	flood_class_t classes[FLOOD_CLASSES];
	int n_classes;
	unsigned flooding; /* set of flood_bit() */
	double peak;	   /* rate in a burst, times the mean */
	double trough;	   /* rate outside bursts, times the mean */
	int64_t burst_from[2], burst_until[2];
	int64_t end;
	flood_fault_t fault; /* of a third of the endpoints of pool 0 */
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
	double busy[FLOOD_POOLS]; /* fraction of slots in use during bursts */
	double goodput[FLOOD_POOLS]; /* during bursts, fraction of capacity */
	uint64_t attempts;	     /* pool 0 during the fault */
	uint64_t requests;	     /* class 0 during the fault */
	uint64_t answered_fault;     /* class 0 during the fault */
	int connections_max;	     /* most at any endpoint */
	double refused_part; /* fraction of attempts refused by an endpoint */
	double remote_part;  /* fraction of attempts to another zone */
} flood_result_t;

/* Run one simulation. */
void flood_run(const flood_options_t *options, flood_result_t *result);

/*
 * Options for five pools with the users' numbers of executors and one class
 * each, pool 0 the most urgent; and for one pool of 12 executors with three
 * classes of equal weight.
 */
flood_options_t flood_five_pools(void);
flood_options_t flood_shared_pool(void);

/* Options for five pools; a third of pool 0 fails for five seconds. */
flood_options_t flood_failing(flood_fault_t fault);

/* Return the bit of a class in "flooding". */
unsigned flood_bit(int cls);

/* Results under a flood relative to the same run without it. */
typedef struct flood_impact {
	double goodput; /* lowest ratio of answers, other classes */
	double p99;	/* highest ratio of p99, other classes */
	double pool;	/* lowest fraction of capacity, flooded pools */
} flood_impact_t;

flood_impact_t flood_compute_impact(const flood_options_t *options,
				    const flood_result_t *calm,
				    const flood_result_t *flooded);

/* Return the name of a policy for output. */
const char *flood_policy_name(flood_policy_t policy);

#endif
