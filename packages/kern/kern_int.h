/*
 * kern_int - internal declarations of package kern.
 */
#ifndef KERN_INT_H
#define KERN_INT_H

#include <pthread.h>
#include <string.h>

#include "kern.h"

#define KERN_SERVICES_MAX 32

#endif
