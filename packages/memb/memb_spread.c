#include "memb_int.h"

bool memb_config(memb_t *memb, int64_t now, uint64_t generation,
		 uint64_t digest, int64_t wall)
{
	memb_record_t *self = &memb->self;

	(void)now;
	if (generation <= self->generation)
		return false;
	self->generation = generation;
	self->in_force = wall;
	self->revision++;
	memb->digest = digest;
	if (memb->pulling <= generation)
		memb->pulling = 0;
	memb->news_again = true;
	memb_news(memb);
	return true;
}

void memb_news(memb_t *memb)
{
	memb_tell(memb, MEMB_WHOM_NEAR, memb->limits.news_near);
	memb_tell(memb, MEMB_WHOM_FAR, memb->limits.news_far);
}

void memb_pull_failed(memb_t *memb, int64_t now)
{
	(void)now;
	memb->pulling = 0;
}

uint64_t memb_generation(const memb_t *memb)
{
	return memb->self.generation;
}

/*
 * One pull at a time.  Whoever tells next starts another when the last one
 * failed or took too long, so that no retry has to be kept.
 */
void memb_heard_config(memb_t *memb, const memb_msg_t *msg, int64_t now)
{
	const memb_record_t *sender = &msg->updates[0];
	memb_record_t *self = &memb->self;

	if (sender->generation == self->generation && self->generation &&
	    msg->digest != memb->digest && memb->conflict != self->generation) {
		memb->conflict = self->generation;
		memb_raise(memb, MEMB_CONFLICT, sender);
	}
	if (sender->generation <= self->generation ||
	    (memb->pulling >= sender->generation && now < memb->pull_until))
		return;
	memb->pulling = sender->generation;
	memb->pull_until = now + memb->limits.pull_us;
	memb->ops.pull(memb->arg, sender, sender->generation, msg->digest);
}
