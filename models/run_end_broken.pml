/* expect: violation */
/* pan: -w24 */
/*
 * run.pml in which a holder lets the worker forget the end of the run before
 * the end is stored.
 */
#define BROKEN_END
#include "run.pml"
