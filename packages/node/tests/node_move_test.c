/* How fast instances are moved. */
#include "node_int.h"

/* Ticks of 150 ms in 3 s. */
#define TICKS 20
#define TICKS_S 3

/*
 * Guards against pools that follow the demand of a large fleet at the speed of
 * a small one (SHORT): the moves of a second are as many as the platform
 * accepts.
 */
static void test_moves_at_the_accepted_rate(void)
{
	static const double rates[] = { 1, 64, 215, 590, 10000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++)
		g_assert_cmpfloat(
			(double)(TICKS * node_moves_per_tick(rates[i])), >=,
			TICKS_S * rates[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-move/at-the-accepted-rate",
			test_moves_at_the_accepted_rate);
	return g_test_run();
}
