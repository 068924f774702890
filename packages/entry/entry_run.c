#include <signal.h>

#include "entry_memb.h"

#define DRAIN_POLL_US (10 * BASE_MS)

static void block_signals(sigset_t *set);
static entry_daemon_t *daemon_new(const entry_settings_t *settings,
				  const base_log_t *log);
static plat_guard_t *guard_new(const entry_daemon_t *daemon);
static void drain(entry_daemon_t *daemon);

int entry_run(const entry_settings_t *settings, const base_log_t *log)
{
	entry_daemon_t *daemon;
	GError *err = NULL;
	sigset_t set;
	int sig;

	/* Before any thread starts, so that all threads inherit the mask. */
	block_signals(&set);
	/*
	 * GLib creates the lock of its error domains at first use.  Force that
	 * here, before any thread could race for it.
	 */
	g_set_error(&err, ENTRY_ERROR, ENTRY_ERROR_LISTEN, "first use");
	g_clear_error(&err);
	mg_init_library(0);
	daemon = daemon_new(settings, log);
	base_log(log, BASE_MSG_START, BASE_F_STR("entry", settings->name),
		 BASE_F_STR("zone", settings->zone),
		 BASE_F_STR("incarnation", daemon->incarnation));
	if (!entry_memb_new(daemon, &err) ||
	    !entry_services_register(daemon, &err) ||
	    !kern_start(daemon->kern, &err)) {
		base_log(log, BASE_MSG_START_FAILED,
			 BASE_F_STR("why", err->message));
		g_clear_error(&err);
		talloc_free(daemon);
		return EXIT_FAILURE;
	}
	base_log(log, BASE_MSG_READY, BASE_F_STR("entry", settings->name));
	sigwait(&set, &sig);
	drain(daemon);
	kern_stop(daemon->kern);
	base_log(log, BASE_MSG_STOPPED, BASE_F_STR("entry", settings->name));
	talloc_free(daemon);
	return EXIT_SUCCESS;
}

/*
 * Blocks SIGTERM and SIGINT, which entry_run() waits for.  A second signal
 * during the drain stays pending and has no effect.
 */
static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static entry_daemon_t *daemon_new(const entry_settings_t *settings,
				  const base_log_t *log)
{
	entry_daemon_t *daemon = talloc_zero(NULL, entry_daemon_t);

	daemon->settings = settings;
	daemon->log = log;
	daemon->kern = kern_new(daemon, log);
	daemon->views = entry_views_new(daemon);
	daemon->forward = entry_forward_new(daemon);
	daemon->route = entry_route_new(daemon);
	daemon->guard = guard_new(daemon);
	daemon->list = plat_slices_new(daemon, &settings->list);
	snprintf(daemon->incarnation, sizeof(daemon->incarnation), "%lld",
		 (long long)base_clock_wall());
	daemon->claims = entry_claims_new(daemon);
	daemon->jobs = entry_jobs_new(daemon);
	return daemon;
}

/* The rate limits are in store calls a second, by purpose. */
static plat_guard_t *guard_new(const entry_daemon_t *daemon)
{
	plat_guard_options_t options = {
		.connect = plat_etcd_new,
		.address = daemon->settings->store,
		.calls_s = { [PLAT_FOR_CONFIG] = 4.0,
			     [PLAT_FOR_FLEET] = 40.0,
			     [PLAT_FOR_EPOCH] = 4.0,
			     [PLAT_FOR_DUTY] = 4.0,
			     [PLAT_FOR_MEMBERS] = 4.0,
			     [PLAT_FOR_JOBS] = 400.0 },
		.seed = (uint64_t)base_clock_wall(),
	};

	return plat_guard_new(daemon, &options);
}

/*
 * Planned stop: reports not ready, keeps serving until the balancer has noticed
 * that, then waits for requests in flight and for the hand-over of claims to
 * other entries, up to the drain limit.
 */
static void drain(entry_daemon_t *daemon)
{
	const entry_settings_t *settings = daemon->settings;
	int64_t limit;

	base_log(daemon->log, BASE_MSG_DRAINING,
		 BASE_F_STR("entry", settings->name));
	atomic_store(&daemon->draining, 1);
	entry_memb_leave(daemon);
	entry_claim_leave(daemon);
	base_clock_sleep(settings->balancer_lag_ms * BASE_MS);
	limit = base_clock_mono() + settings->drain_limit_ms * BASE_MS;
	while ((atomic_load(&daemon->in_flight) ||
		!entry_claim_handed_over(daemon)) &&
	       base_clock_mono() < limit)
		base_clock_sleep(DRAIN_POLL_US);
}
