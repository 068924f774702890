/* expect: violation */
/* pan: -w24 */
/* See run.pml. */
#define BROKEN_SILENCE
#include "run.pml"
