#include <xxhash.h>

#include "entry_claim.h"
#include "peer_memb.h"

#define TICK_US (100 * BASE_MS)
#define PULLS_PERIOD_US BASE_SEC
#define MEMBERS_PERIOD_US (10 * BASE_SEC)
/* Pulls queued; further ones are dropped and requested again later. */
#define PULL_QUEUE_SIZE 8
/*
 * For this long after the start membership is incomplete, and the seeds of the
 * settings are the better estimate of which entries share the pools.
 */
#define SETTLE_US (5 * BASE_SEC)

static bool memb_start(void *service, kern_t *kern, GError **err);
static void memb_stop(void *service);
static int free_memb(entry_memb_t *memb);
static bool make_peer(entry_memb_t *memb, GError **err);
static void make_core(entry_memb_t *memb);
static bool start_pulls(entry_memb_t *memb, GError **err);
static bool start_duties(entry_memb_t *memb, GError **err);
static void tick(void *arg, int64_t now);
static void update_route_entries(entry_memb_t *memb);
static void no_tick(void *arg, int64_t now);
static bool on_gossip(void *arg, const peer_sender_t *from, const void *args,
		      void *res);
static void send_msg(void *arg, memb_addr_t to, const char *zone,
		     const memb_msg_t *msg);
static void request_pull(void *arg, const memb_record_t *from,
			 uint64_t generation, uint64_t digest);
static void log_event(void *arg, memb_event_t event, const memb_record_t *rec);

const kern_service_ops_t entry_memb_ops = { memb_start, memb_stop };

/* The log message of each event. */
static const base_msg_t event_msgs[MEMB_EVENT_MAX] = {
	[MEMB_JOINED] = BASE_MSG_MEMBER,
	[MEMB_SUSPECTED] = BASE_MSG_MEMBER,
	[MEMB_REFUTED] = BASE_MSG_MEMBER,
	[MEMB_DIED] = BASE_MSG_MEMBER,
	[MEMB_LEFT_AS_PLANNED] = BASE_MSG_MEMBER,
	[MEMB_SELF_DECLARED_DEAD] = BASE_MSG_MEMBER_DOUBT,
	[MEMB_UNCONFIRMED] = BASE_MSG_MEMBER_DOUBT,
	[MEMB_CONFIRMED] = BASE_MSG_MEMBER_DOUBT,
	[MEMB_CONFIG_CONFLICT] = BASE_MSG_CONFIG_CONFLICT,
	[MEMB_ID_CONFLICT] = BASE_MSG_MEMBER_CLASH,
	[MEMB_WATCH_BEGIN] = BASE_MSG_MEMBER,
	[MEMB_WATCH_END] = BASE_MSG_MEMBER,
};

bool entry_memb_new(entry_daemon_t *daemon, GError **err)
{
	entry_memb_t *memb = talloc_zero(daemon, entry_memb_t);

	daemon->memb = memb;
	memb->daemon = daemon;
	pthread_mutex_init(&memb->lock, NULL);
	talloc_set_destructor(memb, free_memb);
	make_core(memb);
	return make_peer(memb, err);
}

void entry_memb_set_config(entry_daemon_t *daemon, entry_view_t *view,
			   const char *source)
{
	entry_memb_t *memb = daemon->memb;
	uint64_t generation = (uint64_t)view->record->generation;
	uint64_t digest = XXH64(view->text.ptr, view->text.len, 0);
	entry_shared_config_t *held = &memb->shared_config;
	int64_t wall = base_clock_wall();
	memb_parts_t *parts = memb_parts_cut(NULL, view->text);
	memb_parts_t *old_parts = parts;
	entry_view_t *old = view;

	pthread_mutex_lock(&memb->lock);
	if (memb_set_config(memb->core, base_clock_mono(), generation, digest,
			    wall)) {
		old = held->view;
		held->view = view;
		old_parts = held->parts;
		held->parts = parts;
		held->digest = digest;
		held->in_force_at = wall;
		held->first_heard_at = wall;
		if (memb->heard_generation == generation)
			held->first_heard_at = memb->heard_generation_at;
		g_strlcpy(held->source, source, sizeof(held->source));
	}
	pthread_mutex_unlock(&memb->lock);
	talloc_free(old_parts);
	if (old)
		entry_view_release(old);
}

bool entry_memb_is_watcher(entry_daemon_t *daemon)
{
	entry_memb_t *memb = daemon->memb;
	bool watches;

	pthread_mutex_lock(&memb->lock);
	watches = memb_is_watcher(memb->core);
	pthread_mutex_unlock(&memb->lock);
	return watches;
}

bool entry_memb_is_confirmed(entry_daemon_t *daemon)
{
	entry_memb_t *memb = daemon->memb;
	bool sure;

	pthread_mutex_lock(&memb->lock);
	sure = memb_is_confirmed(memb->core, base_clock_mono());
	pthread_mutex_unlock(&memb->lock);
	return sure;
}

void entry_memb_leave(entry_daemon_t *daemon)
{
	entry_memb_t *memb = daemon->memb;

	pthread_mutex_lock(&memb->lock);
	memb_leave(memb->core, base_clock_mono());
	pthread_mutex_unlock(&memb->lock);
}

static int free_memb(entry_memb_t *memb)
{
	talloc_free(memb->peer);
	talloc_free(memb->shared_config.parts);
	if (memb->shared_config.view)
		entry_view_release(memb->shared_config.view);
	pthread_mutex_destroy(&memb->lock);
	return 0;
}

static bool memb_start(void *service, kern_t *kern, GError **err)
{
	entry_daemon_t *daemon = service;
	entry_memb_t *memb = daemon->memb;

	(void)kern;
	memb->started = base_clock_mono();
	/* A message that arrives while the server starts may request a pull. */
	if (start_pulls(memb, err) && peer_serve(memb->peer, err) &&
	    start_duties(memb, err))
		return true;
	memb_stop(daemon);
	return false;
}

static void memb_stop(void *service)
{
	entry_daemon_t *daemon = service;
	entry_memb_t *memb = daemon->memb;
	kern_thread_t *duties[] = { memb->gossip, memb->members, memb->pulls };

	for (size_t i = 0; i < ARRAY_SIZE(duties); i++)
		if (duties[i])
			kern_thread_stop(duties[i]);
	if (memb->lease)
		entry_members_leave(memb);
	/* Until then messages of other entries may be posted to the threads. */
	peer_stop(memb->peer);
	for (size_t i = 0; i < ARRAY_SIZE(duties); i++)
		talloc_free(duties[i]);
}

static bool make_peer(entry_memb_t *memb, GError **err)
{
	const entry_settings_t *settings = memb->daemon->settings;
	peer_opts_t opts = { .id = settings->name,
			     .zone = settings->zone,
			     .life = (uint64_t)base_clock_wall(),
			     .key = base_str(settings->peer_key),
			     .log = memb->daemon->log };
	char text[64];

	snprintf(text, sizeof(text), "%s:%d", settings->peer.address,
		 settings->peer.port);
	if (!peer_addr_parse(text, &opts.addr))
		memset(&opts.addr, 0, sizeof(opts.addr));
	memb->peer = peer_new(NULL, &opts, err);
	if (!memb->peer)
		return false;
	peer_set_handler(memb->peer, PEER_GOSSIP, on_gossip, memb);
	entry_leaving_register(memb);
	peer_set_handler(memb->peer, PEER_CONFIG, entry_pull_answer, memb);
	entry_parts_register(memb);
	entry_claim_handle(memb->daemon->claims, memb->peer);
	return true;
}

static void make_core(entry_memb_t *memb)
{
	const entry_settings_t *settings = memb->daemon->settings;
	memb_opts_t opts = { .id = settings->name,
			     .zone = settings->zone,
			     .incarnation = (uint64_t)base_clock_wall(),
			     .seed = (uint64_t)base_clock_wall() ^
				     (uint64_t)settings->peer.port << 48,
			     .ops = { send_msg, request_pull, log_event },
			     .arg = memb };
	peer_addr_t addr;
	char text[64];

	snprintf(text, sizeof(text), "%s:%d", settings->peer.address,
		 settings->peer.port);
	if (peer_addr_parse(text, &addr))
		opts.addr = (memb_addr_t){ addr.ip, addr.port };
	memb->core = memb_new(memb, &opts);
	for (size_t i = 0; i < settings->seed_count; i++)
		if (peer_addr_parse(settings->seeds[i], &addr))
			memb_add_seed(memb->core,
				      (memb_addr_t){ addr.ip, addr.port });
}

static bool start_pulls(entry_memb_t *memb, GError **err)
{
	kern_thread_options_t pulls = { .name = "pull",
					.period_us = PULLS_PERIOD_US,
					.ring_size = PULL_QUEUE_SIZE,
					.arg = memb,
					.tick = no_tick,
					.message = entry_pull_run };

	memb->pulls = kern_thread_start(NULL, &pulls, err);
	return memb->pulls != NULL;
}

static bool start_duties(entry_memb_t *memb, GError **err)
{
	kern_thread_options_t gossip = { .name = "gossip",
					 .period_us = TICK_US,
					 .ring_size = 2,
					 .arg = memb,
					 .tick = tick };
	kern_thread_options_t members = { .name = "members",
					  .period_us = MEMBERS_PERIOD_US,
					  .ring_size = 2,
					  .arg = memb,
					  .tick = entry_members_tick };

	memb->gossip = kern_thread_start(NULL, &gossip, err);
	if (memb->gossip)
		memb->members = kern_thread_start(NULL, &members, err);
	return memb->members != NULL;
}

static void tick(void *arg, int64_t now)
{
	entry_memb_t *memb = arg;
	bool changed;

	pthread_mutex_lock(&memb->lock);
	memb_tick(memb->core, now);
	changed = memb->list_changed && now - memb->started > SETTLE_US;
	if (changed)
		memb->list_changed = false;
	pthread_mutex_unlock(&memb->lock);
	if (changed)
		update_route_entries(memb);
}

/*
 * Passes the entries that may send requests to the pools, this one included, to
 * the routing core.
 */
static void update_route_entries(entry_memb_t *memb)
{
	void *ctx = talloc_new(NULL);
	route_entry_t *entries;
	size_t n = 0;

	pthread_mutex_lock(&memb->lock);
	entries = talloc_zero_array(ctx, route_entry_t, memb_count(memb->core));
	for (size_t i = 0; i < memb_count(memb->core); i++) {
		const memb_record_t *rec = memb_at(memb->core, i);

		if (i && rec->state != MEMB_ALIVE && rec->state != MEMB_SUSPECT)
			continue;
		entries[n].id = talloc_strdup(ctx, rec->id);
		entries[n++].zone = talloc_strdup(ctx, rec->zone);
	}
	pthread_mutex_unlock(&memb->lock);
	entry_route_set_entries(memb->daemon->route, entries, n);
	talloc_free(ctx);
}

static void no_tick(void *arg, int64_t now)
{
	(void)arg;
	(void)now;
}

static bool on_gossip(void *arg, const peer_sender_t *from, const void *args,
		      void *res)
{
	entry_memb_t *memb = arg;
	memb_msg_t msg;
	bool taken;

	(void)res;
	/* A message must begin with the record of the entry that sent it. */
	if (!peer_gossip_to_msg(args, &msg) || !msg.n ||
	    strcmp(msg.updates[0].id, from->id) != 0)
		return false;
	pthread_mutex_lock(&memb->lock);
	taken = memb_receive(memb->core, base_clock_mono(), &msg);
	pthread_mutex_unlock(&memb->lock);
	return taken;
}

/* Called with the lock held; does not block. */
static void send_msg(void *arg, memb_addr_t to, const char *zone,
		     const memb_msg_t *msg)
{
	entry_memb_t *memb = arg;
	peer_dest_t peer_to = { .addr = { to.ip, to.port }, .zone = zone };
	peer_gossip_buf_t room;

	peer_gossip_from_msg(&room, msg);
	peer_send(memb->peer, &peer_to, PEER_GOSSIP, &room.wire);
}

/*
 * Called with the lock held.  If the ring is full the pull is dropped; the next
 * message that names the newer generation requests it again.
 */
static void request_pull(void *arg, const memb_record_t *from,
			 uint64_t generation, uint64_t digest)
{
	entry_memb_t *memb = arg;
	entry_pull_t *pull;

	if (memb->refused_generation == generation)
		return;
	if (generation > memb->heard_generation) {
		memb->heard_generation = generation;
		memb->heard_generation_at = base_clock_wall();
	}
	pull = talloc_zero(NULL, entry_pull_t);
	pull->addr = (peer_addr_t){ from->addr.ip, from->addr.port };
	g_strlcpy(pull->id, from->id, sizeof(pull->id));
	g_strlcpy(pull->zone, from->zone, sizeof(pull->zone));
	pull->generation = generation;
	pull->digest = digest;
	if (!kern_thread_post(memb->pulls, pull))
		talloc_free(pull);
}

static void log_event(void *arg, memb_event_t event, const memb_record_t *rec)
{
	entry_memb_t *memb = arg;

	memb->list_changed = true;
	memb->events[event]++;
	base_log(memb->daemon->log, event_msgs[event],
		 BASE_F_STR("event", memb_event_name(event)),
		 BASE_F_STR("entry", rec->id), BASE_F_STR("zone", rec->zone),
		 BASE_F_INT("incarnation", (int64_t)rec->incarnation),
		 BASE_F_INT("generation", (int64_t)rec->generation));
}
