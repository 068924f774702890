/*
 * kern_int - what the files of this package share.
 */
#ifndef KERN_INT_H
#define KERN_INT_H

#include <pthread.h>
#include <string.h>

#include "kern.h"

#define KERN_SERVICES_MAX 32

#endif
