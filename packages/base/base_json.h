/*
 * base_json - numbers in JSON that another program wrote.
 */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Reads an integer from "least" to "most" into "number".  A real counts
 * without its fraction, if it is small enough to have one.  Returns false, and
 * leaves "number" as it is, if "value" is NULL, no number or out of bounds.
 */
bool base_json_int(const json_t *value, int64_t least, int64_t most,
		   int64_t *number);

#endif
