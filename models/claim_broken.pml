/* expect: violation */
#define BROKEN
#include "claim.pml"
