#include <stdatomic.h>

#include "kern.h"

typedef struct probe {
	const char *name;
	GString *trace;
	bool fails;
} probe_t;

static bool probe_start(void *service, kern_t *kern, GError **err)
{
	probe_t *probe = service;

	g_assert_true(kern_find(kern, probe->name) == probe);
	if (probe->fails) {
		g_set_error(err, KERN_ERROR, KERN_ERROR_START, "on purpose");
		return false;
	}
	g_string_append_printf(probe->trace, "+%s", probe->name);
	return true;
}

static void probe_stop(void *service)
{
	probe_t *probe = service;

	g_string_append_printf(probe->trace, "-%s", probe->name);
}

static const kern_service_ops_t probe_ops = { probe_start, probe_stop };

static const base_log_t quiet_log = { .fd = 2, .level = BASE_ERROR };

static void test_order(void)
{
	GString *trace = g_string_new("");
	probe_t a = { "a", trace, false }, b = { "b", trace, false };
	kern_t *kern = kern_new(NULL, &quiet_log);

	g_assert_true(kern_register(kern, "a", &probe_ops, &a, NULL));
	g_assert_true(kern_register(kern, "b", &probe_ops, &b, NULL));
	g_assert_true(kern_start(kern, NULL));
	kern_stop(kern);
	g_assert_cmpstr(trace->str, ==, "+a+b-b-a");
	g_string_free(trace, TRUE);
	talloc_free(kern);
}

static void test_duplicate(void)
{
	probe_t a = { "a", NULL, false };
	kern_t *kern = kern_new(NULL, &quiet_log);
	GError *err = NULL;

	g_assert_true(kern_register(kern, "a", &probe_ops, &a, NULL));
	g_assert_false(kern_register(kern, "a", &probe_ops, &a, &err));
	g_assert_error(err, KERN_ERROR, KERN_ERROR_DUPLICATE);
	g_clear_error(&err);
	talloc_free(kern);
}

static void test_failed_start(void)
{
	GString *trace = g_string_new("");
	probe_t a = { "a", trace, false }, c = { "c", trace, true };
	kern_t *kern = kern_new(NULL, &quiet_log);
	GError *err = NULL;

	g_assert_true(kern_register(kern, "a", &probe_ops, &a, NULL));
	g_assert_true(kern_register(kern, "c", &probe_ops, &c, NULL));
	g_assert_false(kern_start(kern, &err));
	g_assert_nonnull(strstr(err->message, "'c'"));
	g_assert_cmpstr(trace->str, ==, "+a-a");
	g_clear_error(&err);
	g_string_free(trace, TRUE);
	talloc_free(kern);
}

static void test_ring(void)
{
	kern_ring_t *ring = kern_ring_new(NULL, 4);
	int items[4];

	for (int i = 0; i < 3; i++)
		g_assert_true(kern_ring_put(ring, &items[i]));
	g_assert_false(kern_ring_put(ring, &items[3]));
	for (int i = 0; i < 3; i++)
		g_assert_true(kern_ring_take(ring, 0) == &items[i]);
	g_assert_null(kern_ring_take(ring, 1000));
	talloc_free(ring);
}

typedef struct counters {
	atomic_int ticks;
	atomic_int messages;
} counters_t;

static void count_tick(void *arg, int64_t now)
{
	counters_t *counters = arg;

	g_assert_cmpint(now, >, 0);
	atomic_fetch_add(&counters->ticks, 1);
}

static void count_message(void *arg, void *msg, int64_t now)
{
	counters_t *counters = arg;

	g_assert_cmpint(now, >, 0);
	g_assert_true(msg == arg);
	atomic_fetch_add(&counters->messages, 1);
}

static void test_duty(void)
{
	counters_t counters = { 0, 0 };
	kern_thread_options_t options = { .name = "tally",
					  .period_us = 1000,
					  .ring_size = 64,
					  .arg = &counters,
					  .tick = count_tick,
					  .message = count_message };
	kern_thread_t *thread = kern_thread_start(NULL, &options, NULL);
	int sent = 0;

	while (sent < 500)
		sent += kern_thread_post(thread, &counters) ? 1 : 0;
	while (atomic_load(&counters.messages) < 500 ||
	       atomic_load(&counters.ticks) < 3)
		base_clock_sleep(1000);
	kern_thread_stop(thread);
	g_assert_cmpint(counters.messages, ==, 500);
	talloc_free(thread);
}

static int64_t next_in_one_hour(void *arg)
{
	(void)arg;
	return 3600 * BASE_SEC;
}

static void test_duty_wake(void)
{
	counters_t counters = { 0, 0 };
	kern_thread_options_t options = { .name = "tally",
					  .ring_size = 64,
					  .arg = &counters,
					  .tick = count_tick,
					  .next = next_in_one_hour };
	kern_thread_t *thread = kern_thread_start(NULL, &options, NULL);

	while (!atomic_load(&counters.ticks))
		base_clock_sleep(1000);
	kern_thread_wake(thread);
	while (atomic_load(&counters.ticks) < 2)
		base_clock_sleep(1000);
	kern_thread_stop(thread);
	g_assert_cmpint(counters.ticks, ==, 2);
	talloc_free(thread);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/kern/order", test_order);
	g_test_add_func("/kern/duplicate", test_duplicate);
	g_test_add_func("/kern/failed-start", test_failed_start);
	g_test_add_func("/kern/ring", test_ring);
	g_test_add_func("/kern/duty", test_duty);
	g_test_add_func("/kern/duty/wake", test_duty_wake);
	return g_test_run();
}
