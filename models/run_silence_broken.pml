/* expect: violation */
/* pan: -w24 */
/*
 * run.pml in which a holder takes a run for ended without a poll, a stop or the
 * expiry of the worker's lease.
 */
#define BROKEN_SILENCE
#include "run.pml"
