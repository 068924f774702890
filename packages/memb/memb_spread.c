#include "memb_int.h"

bool memb_set_config(memb_t *memb, int64_t now, uint64_t generation,
		     uint64_t digest, int64_t wall)
{
	memb_record_t *self = &memb->self;

	(void)now;
	if (generation <= self->generation)
		return false;
	self->generation = generation;
	self->in_force_wall_us = wall;
	self->revision++;
	memb->digest = digest;
	if (memb->pull_generation <= generation)
		memb->pull_generation = 0;
	memb->announce_again = true;
	memb_announce_config(memb);
	return true;
}

void memb_announce_config(memb_t *memb)
{
	memb_send_gossip(memb, MEMB_FILTER_OWN_ZONE,
			 memb->limits.fanout_own_zone);
	memb_send_gossip(memb, MEMB_FILTER_OTHER_ZONES,
			 memb->limits.fanout_other_zones);
}

void memb_pull_failed(memb_t *memb, int64_t now)
{
	(void)now;
	memb->pull_generation = 0;
}

uint64_t memb_generation(const memb_t *memb)
{
	return memb->self.generation;
}

/*
 * A generation is not pulled again while its pull runs, until pull_us has
 * passed. After a failure or that timeout the next message with a newer
 * generation starts another pull, so no retry state is needed.
 */
void memb_check_config(memb_t *memb, const memb_msg_t *msg, int64_t now)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_record_t *self = &memb->self;

	if (sender->generation == self->generation && self->generation &&
	    msg->digest != memb->digest &&
	    memb->reported_conflict != self->generation) {
		memb->reported_conflict = self->generation;
		memb_raise(memb, MEMB_CONFIG_CONFLICT, sender);
	}
	if (sender->generation <= self->generation ||
	    (memb->pull_generation >= sender->generation &&
	     now < memb->pull_deadline_us))
		return;
	memb->pull_generation = sender->generation;
	memb->pull_deadline_us = now + memb->limits.pull_us;
	memb->ops.pull(memb->arg, sender, sender->generation, msg->digest);
}
