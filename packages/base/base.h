/*
 * base - types and functions that all packages use.
 *
 * Length-counted strings, a string buffer, GError helpers, the message
 * catalogue and its logger, counters, latency histograms, clocks and a
 * pseudo-random generator.
 *
 * Memory: objects are talloc children of the context that the caller passes;
 * freeing the parent frees them.  A talloc tree belongs to one thread.
 */
#ifndef BASE_H
#define BASE_H

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <talloc.h>

#include "base_str.h"
#include "base_err.h"
#include "base_msg.h"
#include "base_log.h"
#include "base_hist.h"
#include "base_json.h"
#include "base_clock.h"
#include "base_rng.h"

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

#endif
