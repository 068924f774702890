#include "memb_int.h"

#define OR_DEFAULT(value, default_value) ((value) ? (value) : (default_value))

static const char *const event_names[MEMB_EVENT_MAX] = {
	[MEMB_JOINED] = "joined",
	[MEMB_SUSPECTED] = "suspected",
	[MEMB_REFUTED] = "refuted",
	[MEMB_DIED] = "died",
	[MEMB_LEFT_AS_PLANNED] = "left",
	[MEMB_SELF_DECLARED_DEAD] = "given-up",
	[MEMB_UNCONFIRMED] = "unsure",
	[MEMB_CONFIRMED] = "sure",
	[MEMB_CONFIG_CONFLICT] = "conflict",
	[MEMB_ID_CONFLICT] = "clash",
	[MEMB_WATCH_BEGIN] = "watch-begin",
	[MEMB_WATCH_END] = "watch-end",
};

static const char *const state_names[MEMB_STATE_MAX] = {
	[MEMB_ALIVE] = "alive",
	[MEMB_SUSPECT] = "suspect",
	[MEMB_DEAD] = "dead",
	[MEMB_LEFT] = "left",
};

static memb_limits_t with_defaults(memb_limits_t given);
static int free_memb(memb_t *memb);

memb_t *memb_new(const void *ctx, const memb_opts_t *opts)
{
	memb_t *memb = talloc_zero(ctx, memb_t);
	memb_record_t *self = &memb->self;

	memb->limits = with_defaults(opts->limits);
	memb->ops = opts->ops;
	memb->arg = opts->arg;
	memb->rng.state = opts->seed;
	g_strlcpy(self->id, opts->id, sizeof(self->id));
	g_strlcpy(self->zone, opts->zone, sizeof(self->zone));
	self->addr = opts->addr;
	self->incarnation = memb->first_incarnation = opts->incarnation;
	memb->members = g_ptr_array_new_with_free_func(g_free);
	memb->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	/*
	 * Entries started together begin their rotations at different members.
	 */
	memb->own_zone_next = (uint32_t)base_rng_next(&memb->rng);
	memb->rotation_next = (uint32_t)base_rng_next(&memb->rng);
	talloc_set_destructor(memb, free_memb);
	return memb;
}

void memb_add_seed(memb_t *memb, memb_addr_t addr)
{
	for (size_t i = 0; i < memb->seeds_n; i++)
		if (memb->seeds[i].ip == addr.ip &&
		    memb->seeds[i].port == addr.port)
			return;
	memb->seeds[memb->seeds_next++ % MEMB_SEEDS_MAX] = addr;
	memb->seeds_n = MIN(memb->seeds_next, (size_t)MEMB_SEEDS_MAX);
}

void memb_claims(memb_t *memb, int64_t now, uint64_t epoch, bool sealed)
{
	memb_record_t *self = &memb->self;

	(void)now;
	if (self->epoch == epoch && self->sealed == sealed)
		return;
	self->epoch = epoch;
	self->sealed = sealed;
	self->revision++;
	memb_send_gossip(memb, MEMB_FILTER_PRESENT,
			 memb->limits.fanout_own_zone);
}

void memb_leave(memb_t *memb, int64_t now)
{
	if (memb->self.state == MEMB_LEFT)
		return;
	memb->self.state = MEMB_LEFT;
	memb->self.revision++;
	memb->leave_periods = MEMB_LEAVE_PERIODS;
	memb->next_period_us = now;
	memb_tick(memb, now);
}

size_t memb_count(const memb_t *memb)
{
	return memb->members->len + 1;
}

const memb_record_t *memb_at(const memb_t *memb, size_t i)
{
	const memb_member_t *member;

	if (!i)
		return &memb->self;
	member = g_ptr_array_index(memb->members, i - 1);
	return &member->rec;
}

const memb_record_t *memb_find(const memb_t *memb, const char *id)
{
	const memb_member_t *member = memb_lookup(memb, id);

	if (!strcmp(id, memb->self.id))
		return &memb->self;
	return member ? &member->rec : NULL;
}

const char *memb_event_name(memb_event_t event)
{
	return event_names[event];
}

const char *memb_state_name(memb_state_t state)
{
	return state_names[state];
}

void memb_raise(memb_t *memb, memb_event_t event, const memb_record_t *rec)
{
	memb->ops.event(memb->arg, event, rec);
}

static memb_limits_t with_defaults(memb_limits_t given)
{
	return (memb_limits_t){
		.period_us = OR_DEFAULT(given.period_us, BASE_SEC),
		.ack_us = OR_DEFAULT(given.ack_us, 300 * BASE_MS),
		.suspect_us = OR_DEFAULT(given.suspect_us, 4 * BASE_SEC),
		.pause_us = OR_DEFAULT(given.pause_us, 2 * BASE_SEC),
		.dead_keep_us = OR_DEFAULT(given.dead_keep_us, 3600 * BASE_SEC),
		.pull_us = OR_DEFAULT(given.pull_us, BASE_SEC),
		.cross_zone_every = OR_DEFAULT(given.cross_zone_every, 4),
		.indirect_probers = OR_DEFAULT(given.indirect_probers, 3),
		.fanout_own_zone = OR_DEFAULT(given.fanout_own_zone, 3),
		.fanout_other_zones = OR_DEFAULT(given.fanout_other_zones, 1),
		.piggyback_max = OR_DEFAULT(given.piggyback_max, 6),
		.watchers = OR_DEFAULT(given.watchers, 2),
	};
}

static int free_memb(memb_t *memb)
{
	g_hash_table_destroy(memb->by_id);
	g_ptr_array_unref(memb->members);
	return 0;
}
