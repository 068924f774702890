#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "node_int.h"

/* Fraction of the grace period after which requests that are still open get
 * an answer from this entry.  The rest is for sending these answers. */
#define RUN_GRACE_FRACTION 0.8
/* Fraction of the grace period after which the process exits in any case: the
 * platform kills it soon after. */
#define RUN_EXIT_FRACTION 0.95
#define RUN_STOP_TICK (50 * BASE_MS)
/* After that fraction: several fit into the time that a process with a small
 * share of a processor runs at a stretch. */
#define RUN_STOP_TICK_SHORT (5 * BASE_MS)
/* The process exits after this many ticks in a row without a connection,
 * request or reply: what had arrived by the first one was read and answered by
 * the second. */
#define RUN_STOP_IDLE_TICKS 2
/* Ticks from the end until the process exits.  After a pause the first may come
 * before a look at the connections; then what has arrived is accepted, read,
 * answered and written, a tick for each. */
#define RUN_STOP_LAST_TICKS 5
/* After a stop has begun the load balancer sends connections until two of its
 * checks have failed, one a second; the rest is a margin. */
#define RUN_STOP_LINGER (2500 * BASE_MS)
/* An entry that has had no answer from the store for this long cannot take new
 * work and reports that it is not ready.  Shorter outages do not take it out
 * of rotation. */
#define RUN_READY_AGE (6 * BASE_SEC)

static bool is_ready(const node_t *node)
{
	int64_t now = base_clock_mono();

	return node->config.version && !node->stopping &&
	       !node_access_is_stale(node) &&
	       now - node->store_answered_at < RUN_READY_AGE;
}

static void serve_ready(void *arg, net_exchange_t *exchange)
{
	net_reply(exchange, is_ready(arg) ? 200 : 503, NULL, 0, BASE_STR(""));
}

/* Counts the ticks in a row at which nobody waits for an answer and nothing
 * happened since the tick before.  A late tick is never the last of them. */
static void count_idle_tick(node_t *node, int64_t now, bool is_late)
{
	uint64_t activity = net_server_activity(node->front);

	/* Other entries repeat a request elsewhere if its answer is missing. */
	if (now < node->stop_deadline)
		activity += net_server_activity(node->peer_server);
	if (activity != node->stop_activity ||
	    net_server_pending(node->front) ||
	    g_hash_table_size(node->open_requests))
		node->stop_idle_ticks = 0;
	else if (is_late)
		node->stop_idle_ticks =
			MIN(node->stop_idle_ticks, RUN_STOP_IDLE_TICKS - 1);
	else
		node->stop_idle_ticks++;
	node->stop_activity = activity;
}

/* Whether the process may exit: no answer is lost, or its time is over. */
static bool has_drained(const node_t *node, int64_t now)
{
	return (now >= node->linger_until &&
		node->stop_idle_ticks >= RUN_STOP_IDLE_TICKS) ||
	       node->stop_last_ticks >= RUN_STOP_LAST_TICKS;
}

static void stop_tick(void *arg)
{
	node_t *node = arg;
	int64_t now = base_clock_mono();
	/* After a pause of the process the loop may not have looked at its
	 * connections and at its port yet. */
	bool is_late = now - node->stop_ticked_at >= 2 * RUN_STOP_TICK;

	node->stop_ticked_at = now;
	count_idle_tick(node, now, is_late);
	if (now >= node->stop_deadline) {
		/* Callers that come all the time must not keep it from being
		 * idle. */
		if (!is_late)
			net_server_close(node->front);
		node_dispatch_answer_all(node);
	}
	node->stop_last_ticks += now >= node->stop_end;
	if (has_drained(node, now)) {
		net_loop_stop(node->loop);
		return;
	}
	net_timer_start(node->stop_timer, now >= node->stop_deadline
						  ? RUN_STOP_TICK_SHORT
						  : RUN_STOP_TICK);
}

static void begin_stop(void *arg, int signo)
{
	node_t *node = arg;
	int64_t now = base_clock_mono();

	if (node->stopping)
		return;
	node->stopping = true;
	node->stop_deadline = now + (int64_t)(RUN_GRACE_FRACTION *
					      (double)node->settings->grace);
	node->stop_end = now + (int64_t)(RUN_EXIT_FRACTION *
					 (double)node->settings->grace);
	node->linger_until = now + RUN_STOP_LINGER;
	node_log(node, BASE_MSG_DRAINING, BASE_F_INT("signal", signo),
		 BASE_F_BOOL("holder", node->holder != NULL),
		 BASE_F_INT("open",
			    (int64_t)g_hash_table_size(node->open_requests)));
	if (node->holder)
		node_holder_resign(node->holder, "planned stop");
	net_timer_start(node->stop_timer, RUN_STOP_TICK);
}

static node_settings_t *read_settings(const void *ctx, const char *path,
				      const node_settings_t *in_force,
				      GError **err)
{
	node_settings_t *settings;
	char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, err))
		return NULL;
	settings = node_settings_load(ctx, (base_str_t){ text, len }, in_force,
				      err);
	g_free(text);
	return settings;
}

static void log_notes(node_t *node, const node_settings_t *settings)
{
	size_t i;

	for (i = 0; i < settings->n_notes; i++)
		node_log(node, BASE_MSG_SETTING_REPLACED,
			 BASE_F_STR("name", settings->notes[i].name),
			 BASE_F_STR("why", settings->notes[i].why),
			 BASE_F_STR("taken", settings->notes[i].taken));
}

/* Only durations are reloaded: listening addresses stay until a restart. */
static void reload(void *arg, int signo)
{
	node_t *node = arg;
	GError *err = NULL;
	node_settings_t *settings =
		read_settings(node, node->settings_file, node->settings, &err);

	(void)signo;
	if (!settings) {
		node_log(node, BASE_MSG_SETTINGS_BAD,
			 BASE_F_STR("file", node->settings_file),
			 BASE_F_STR("why", err->message));
		g_clear_error(&err);
		return;
	}
	node->settings->lease_max = settings->lease_max;
	node->settings->stop_timeout = settings->stop_timeout;
	node->settings->grace = settings->grace;
	node->settings->keep = settings->keep;
	node->settings->revoke_bound = settings->revoke_bound;
	log_notes(node, settings);
	talloc_free(settings);
	node_log(node, BASE_MSG_RELOADED,
		 BASE_F_STR("file", node->settings_file));
}

static bool listen_all(node_t *node, GError **err)
{
	const node_settings_t *settings = node->settings;

	node->peer_server = net_server_new(node, node->loop, settings->peers,
					   node_peer_serve, node, err);
	if (!node->peer_server)
		return false;
	node->front = net_server_new(node, node->loop, settings->callers,
				     node_front_serve, node, err);
	if (!node->front)
		return false;
	node->ready = net_server_new(node, node->loop, settings->ready,
				     serve_ready, node, err);
	if (!node->ready)
		return false;
	if (!settings->metrics)
		return true;
	node->metrics_server =
		net_server_new(node, node->loop, settings->metrics,
			       node_operators_serve, node, err);
	return node->metrics_server != NULL;
}

static node_t *node_new(const node_options_t *options,
			node_settings_t *settings)
{
	node_t *node = talloc_zero(NULL, node_t);

	node->settings = talloc_steal(node, settings);
	node->platform = options->platform;
	node->settings_file = options->settings_file;
	node->process_started_at = base_clock_mono();
	node->store_answered_at = node->process_started_at;
	node->largest_cores = MAX(settings->usable_cores, NODE_DEFAULT_CORES);
	node->rng.state = (uint64_t)base_clock_wall() ^
			  ((uint64_t)g_str_hash(settings->name) << 32);
	node->token_prefix =
		talloc_asprintf(node, "%s.%llx", settings->name,
				(unsigned long long)base_rng_next(&node->rng));
	node->loop = net_loop_new(node);
	node->log = node_log_new(node, node->loop, options->log_fd);
	node->metrics = node_metrics_new(node);
	node->open_requests = g_hash_table_new(NULL, NULL);
	node->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->stop_timer = net_timer_new(node, node->loop, stop_tick, node);
	node->store =
		node->platform->store_new(node, node->loop, settings->store);
	return node;
}

static int fail_start(const node_options_t *options, base_msg_t msg,
		      GError *err)
{
	base_log_t log = { .fd = options->log_fd, .level = BASE_INFO };

	base_log(&log, msg, BASE_F_STR("file", options->settings_file),
		 BASE_F_STR("why", err->message));
	g_error_free(err);
	return EXIT_FAILURE;
}

static void print_notes(const node_options_t *options,
			const node_settings_t *settings)
{
	base_log_t log = { .fd = options->log_fd, .level = BASE_INFO };
	size_t i;

	for (i = 0; i < settings->n_notes; i++)
		base_log(&log, BASE_MSG_SETTING_REPLACED,
			 BASE_F_STR("name", settings->notes[i].name),
			 BASE_F_STR("why", settings->notes[i].why),
			 BASE_F_STR("taken", settings->notes[i].taken));
}

/* Until its sockets are closed, the system takes requests for a process that
 * will not read them, and the rest of an exit can take a while. */
static void finish_stop(node_t *node)
{
	TALLOC_FREE(node->front);
	TALLOC_FREE(node->peer_server);
	TALLOC_FREE(node->ready);
	TALLOC_FREE(node->metrics_server);
	node_log(node, BASE_MSG_STOPPED,
		 BASE_F_INT("term", node->known_holder.term));
	node_log_flush(node);
}

/* A signal that comes while the process starts waits for its handler. */
static void hold_signals(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGHUP);
	sigprocmask(how, &set, NULL);
}

int node_run(const node_options_t *options)
{
	GError *err = NULL;
	node_settings_t *settings;
	node_t *node;

	hold_signals(SIG_BLOCK);
	settings = read_settings(NULL, options->settings_file, NULL, &err);
	if (!settings)
		return fail_start(options, BASE_MSG_SETTINGS_BAD, err);
	if (options->check_only) {
		print_notes(options, settings);
		talloc_free(settings);
		return EXIT_SUCCESS;
	}
	node = node_new(options, settings);
	if (!node->store) {
		g_set_error(&err, NODE_ERROR, NODE_ERR_START,
			    "\"%s\" is not the address of a store",
			    settings->store);
		talloc_free(node);
		return fail_start(options, BASE_MSG_START_FAILED, err);
	}
	if (!listen_all(node, &err)) {
		talloc_free(node);
		return fail_start(options, BASE_MSG_START_FAILED, err);
	}
	net_loop_signal(node->loop, SIGTERM, begin_stop, node);
	net_loop_signal(node->loop, SIGHUP, reload, node);
	hold_signals(SIG_UNBLOCK);
	node_log(node, BASE_MSG_START, BASE_F_STR("name", settings->name),
		 BASE_F_STR("zone", settings->zone),
		 BASE_F_INT("pid", getpid()));
	log_notes(node, settings);
	node_member_begin(node);
	node_config_begin(node);
	node_election_begin(node);
	net_loop_run(node->loop);
	finish_stop(node);
	/* The process ends here, so nothing else is freed. */
	return EXIT_SUCCESS;
}
