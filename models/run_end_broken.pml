/* expect: violation */
/* pan: -w24 */
/* See run.pml. */
#define BROKEN_END
#include "run.pml"
