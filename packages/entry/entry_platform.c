#include "entry_memb.h"

/*
 * The duties that read the configuration and the instance list from the
 * platform.
 */

#define CONFIG_PERIOD_US (500 * BASE_MS)
#define CONFIG_BACKSTOP_US (30 * BASE_SEC)
/* Pause between polls and after failed attempts. */
#define LIST_PERIOD_US (500 * BASE_MS)

static bool platform_start(void *service, kern_t *kern, GError **err);
static void platform_stop(void *service);
static void read_config(void *arg, int64_t now);
static void read_list(void *arg, int64_t now);
static bool config_due(entry_daemon_t *daemon, int64_t now);
static bool read_update(entry_daemon_t *daemon, const void *ctx, GError **err);
static bool apply_update(entry_daemon_t *daemon, const void *ctx,
			 site_config_update_t *update, GError **err);
static void log_reachability(const entry_daemon_t *daemon, atomic_int *is_down,
			     bool is_reachable, base_msg_t down_msg,
			     GError *cause);

const kern_service_ops_t entry_platform_ops = { platform_start, platform_stop };

static bool platform_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	kern_thread_options_t config = { .name = "config",
					 .period_us = CONFIG_PERIOD_US,
					 .ring_size = 8,
					 .arg = daemon,
					 .tick = read_config };
	kern_thread_options_t list = { .name = "list",
				       .period_us = LIST_PERIOD_US,
				       .ring_size = 8,
				       .arg = daemon,
				       .tick = read_list };

	(void)kern;
	daemon->config_duty = kern_thread_start(NULL, &config, err);
	if (!daemon->config_duty)
		return false;
	daemon->list_duty = kern_thread_start(NULL, &list, err);
	if (daemon->list_duty)
		return true;
	kern_thread_stop(daemon->config_duty);
	return false;
}

static void platform_stop(void *service)
{
	entry_daemon_t *daemon = service;

	kern_thread_stop(daemon->list_duty);
	kern_thread_stop(daemon->config_duty);
	talloc_free(daemon->list_duty);
	talloc_free(daemon->config_duty);
}

static void read_config(void *arg, int64_t now)
{
	entry_daemon_t *daemon = arg;
	void *ctx = talloc_new(NULL);
	GError *cause = NULL;
	bool is_read;

	entry_forward_expire(daemon->forward, now);
	if (config_due(daemon, now)) {
		is_read = read_update(daemon, ctx, &cause);
		log_reachability(daemon, &daemon->store_down, is_read,
				 BASE_MSG_STORE_DOWN, cause);
	}
	talloc_free(ctx);
}

static bool read_update(entry_daemon_t *daemon, const void *ctx, GError **err)
{
	plat_store_t *store = plat_guard_store(daemon->guard, PLAT_FOR_CONFIG);
	entry_view_t *view = entry_view_hold(daemon->views);
	site_config_t held = { 0 };
	site_config_update_t update;
	bool is_read;

	if (view->record)
		held = (site_config_t){ view->text, view->record->generation };
	is_read = site_config_read_update(store, ctx, daemon->config_revision,
					  &held, &update, err);
	entry_view_release(view);
	return is_read && apply_update(daemon, ctx, &update, err);
}

/*
 * Puts the configuration that was read in force.  If a text that was built from
 * deltas is refused, the whole record is read instead.
 */
static bool apply_update(entry_daemon_t *daemon, const void *ctx,
			 site_config_update_t *update, GError **err)
{
	plat_store_t *store = plat_guard_store(daemon->guard, PLAT_FOR_CONFIG);

	atomic_fetch_add(&daemon->config_read_counts[update->kind], 1);
	if (update->kind == SITE_UPDATE_DELTAS &&
	    !entry_apply_config(daemon, update->text, "store")) {
		if (!site_config_read_full(store, ctx, update, err))
			return false;
		atomic_fetch_add(&daemon->config_read_counts[update->kind], 1);
	}
	daemon->config_revision = update->revision;
	if (update->kind == SITE_UPDATE_FULL)
		entry_apply_config(daemon, update->text, "store");
	return true;
}

/*
 * Whether to read the configuration from the store now.  A zone's watchers read
 * it at each tick.  The other entries get it from their peers, and read the
 * store every CONFIG_BACKSTOP_US, or at each tick while they have none.
 */
static bool config_due(entry_daemon_t *daemon, int64_t now)
{
	entry_view_t *view;
	bool due;

	if (!entry_memb_is_watcher(daemon) &&
	    now - daemon->config_read_at < CONFIG_BACKSTOP_US) {
		view = entry_view_hold(daemon->views);
		due = !view->record;
		entry_view_release(view);
		if (!due)
			return false;
	}
	daemon->config_read_at = now;
	return true;
}

bool entry_apply_config(entry_daemon_t *daemon, base_str_t text,
			const char *source)
{
	GError *cause = NULL;
	entry_view_t *view;
	bool newer = false;

	if (!entry_views_set_config(daemon->views, text, &newer, &cause)) {
		base_log(daemon->log, BASE_MSG_CONFIG_REFUSED,
			 BASE_F_STR("from", source),
			 BASE_F_STR("why", cause->message));
		g_clear_error(&cause);
		return false;
	}
	if (!newer)
		return true;
	entry_route_apply(daemon->route);
	view = entry_view_hold(daemon->views);
	base_log(daemon->log, BASE_MSG_CONFIG_IN_FORCE,
		 BASE_F_INT("generation", view->record->generation),
		 BASE_F_STR("change", view->record->change.ptr),
		 BASE_F_STR("from", source));
	entry_memb_set_config(daemon, view, source);
	return true;
}

/* Blocks for up to PLAT_LIST_WAIT_S while the list does not change. */
static void read_list(void *arg, int64_t now)
{
	entry_daemon_t *daemon = arg;
	plat_list_t *list = daemon->list;
	void *ctx = talloc_new(NULL);
	plat_instances_t instances;
	GError *cause = NULL;
	bool changed = false;
	bool answered = list->ops->follow(list, &changed, &cause);

	(void)now;
	if (answered && changed &&
	    list->ops->read(list, ctx, NULL, &instances, &cause)) {
		entry_views_set_list(daemon->views, &instances);
		entry_route_apply(daemon->route);
	}
	log_reachability(daemon, &daemon->list_down, answered,
			 BASE_MSG_LIST_DOWN, cause);
	talloc_free(ctx);
}

/*
 * Logs when the store or the list stops answering, not each failed attempt, and
 * when the store answers again.
 */
static void log_reachability(const entry_daemon_t *daemon, atomic_int *is_down,
			     bool is_reachable, base_msg_t down_msg,
			     GError *cause)
{
	if (!is_reachable && !atomic_load(is_down))
		base_log(daemon->log, down_msg,
			 BASE_F_STR("why", cause->message));
	if (is_reachable && atomic_load(is_down) &&
	    down_msg == BASE_MSG_STORE_DOWN)
		base_log(daemon->log, BASE_MSG_STORE_UP,
			 BASE_F_STR("entry", daemon->settings->name));
	atomic_store(is_down, is_reachable ? 0 : 1);
	g_clear_error(&cause);
}
