#include "plat_int.h"

bool plat_circuit_allows(plat_circuit_t *circuit, int64_t now)
{
	if (!circuit->closed_at)
		return true;
	if (now < circuit->closed_at || circuit->probing)
		return false;
	circuit->probing = true;
	return true;
}

void plat_circuit_note(plat_circuit_t *circuit, bool answered, int64_t now)
{
	circuit->probing = false;
	if (answered) {
		circuit->failures = 0;
		circuit->closed_at = 0;
		circuit->pause_us = 0;
		return;
	}
	if (++circuit->failures < PLAT_CIRCUIT_FAILURES)
		return;
	circuit->pause_us =
		circuit->pause_us ? circuit->pause_us * 2 : PLAT_CIRCUIT_MIN_US;
	if (circuit->pause_us > PLAT_CIRCUIT_MAX_US)
		circuit->pause_us = PLAT_CIRCUIT_MAX_US;
	/* Half of the pause is fixed, half is drawn. */
	circuit->closed_at = now + circuit->pause_us / 2 +
			     (int64_t)(base_rng_unit(&circuit->rng) *
				       (double)circuit->pause_us / 2.0);
}
