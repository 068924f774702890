/*
 * base_int - declarations private to this package.
 */
#ifndef BASE_INT_H
#define BASE_INT_H

#include <string.h>

#include "base.h"

#define BASE_BUF_MIN 256 /* bytes of a new buffer */

#endif
