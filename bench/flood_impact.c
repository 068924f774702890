#include "flood.h"

flood_impact_t flood_compute_impact(const flood_options_t *options,
				    const flood_result_t *baseline,
				    const flood_result_t *flooded)
{
	flood_impact_t kept = { 2.0, 0.0, 2.0 };

	for (int c = 0; c < options->n_classes; c++) {
		double answered = (double)flooded->answered[c];
		int pool = options->classes[c].pool;

		if (options->flooding & flood_bit(c)) {
			kept.pool = MIN(kept.pool, flooded->goodput[pool]);
			continue;
		}
		kept.goodput = MIN(kept.goodput,
				   answered / (double)baseline->answered[c]);
		kept.p99 =
			MAX(kept.p99, flooded->p99_us[c] / baseline->p99_us[c]);
	}
	return kept;
}
