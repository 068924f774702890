#include "plat_int.h"

bool plat_circuit_allows(plat_circuit_t *circuit, int64_t now)
{
	if (!circuit->open_until)
		return true;
	if (now < circuit->open_until || circuit->probing)
		return false;
	circuit->probing = true;
	return true;
}

void plat_circuit_record(plat_circuit_t *circuit, bool answered, int64_t now)
{
	circuit->probing = false;
	if (answered) {
		circuit->failures = 0;
		circuit->open_until = 0;
		circuit->backoff_us = 0;
		return;
	}
	if (++circuit->failures < PLAT_CIRCUIT_FAILURES)
		return;
	circuit->backoff_us = circuit->backoff_us ? circuit->backoff_us * 2
						  : PLAT_CIRCUIT_MIN_US;
	if (circuit->backoff_us > PLAT_CIRCUIT_MAX_US)
		circuit->backoff_us = PLAT_CIRCUIT_MAX_US;
	/* Half of the backoff is fixed, the other half is random. */
	circuit->open_until = now + circuit->backoff_us / 2 +
			      (int64_t)(base_rng_unit(&circuit->rng) *
					(double)circuit->backoff_us / 2.0);
}
