#include "base_int.h"

/* Larger reals have no fraction, and need not fit an int64_t. */
#define REAL_MAX 9007199254740992.0 /* 2^53 */

bool base_json_int(const json_t *value, int64_t least, int64_t most,
		   int64_t *number)
{
	double real;
	int64_t read;

	if (json_is_integer(value)) {
		read = json_integer_value(value);
	} else if (json_is_real(value)) {
		real = json_real_value(value);
		/* Also false for what is not a number. */
		if (!(real >= -REAL_MAX && real <= REAL_MAX))
			return false;
		read = (int64_t)real;
	} else {
		return false;
	}
	if (read < least || read > most)
		return false;
	*number = read;
	return true;
}
