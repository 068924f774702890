#include "fleet_int.h"

typedef struct facts {
	const fleet_t *fleet;
	const fleet_inst_t *inst;
	base_buf_t *text;
	int64_t now;
} facts_t;

static char *explain_pool(const fleet_t *fleet, const void *ctx,
			  const fleet_acct_t *acct);
static char *explain_inst(const facts_t *facts, const void *ctx);
static void add_state(const facts_t *facts);
static void say_budget(const facts_t *facts);
static void say_drain_max(const facts_t *facts);
static void say_entry(const facts_t *facts);
static void say_text(const facts_t *facts);
static void say_life(const facts_t *facts);

static const struct {
	const char *name;
	const char *text;
	void (*say)(const facts_t *);
} whys[FLEET_WHY_MAX] = {
	[FLEET_WHY_NONE] = { "none", NULL, NULL },
	[FLEET_WHY_NOT_FENCED] = { "not-fenced",
				   "waits until the duty's new holder has "
				   "taken over the pool's account",
				   say_text },
	[FLEET_WHY_NO_ROOM] = { "no-room", NULL, say_budget },
	[FLEET_WHY_DRAIN_MAX] = { "drain-max", NULL, say_drain_max },
	[FLEET_WHY_CANARY] = { "canary",
			       "waits for the wave's first rack to come back",
			       say_text },
	[FLEET_WHY_WAVE_PAUSED] = { "wave-paused",
				    "waits because the wave is paused",
				    say_text },
	[FLEET_WHY_WAVE_STOPPED] = { "wave-stopped",
				     "waits because failures stopped the "
				     "wave; an operator resumes it",
				     say_text },
	[FLEET_WHY_ENTRY] = { "entry", NULL, say_entry },
	[FLEET_WHY_TASKS] = { "tasks",
			      "waits until the holder of the jobs' duty says "
			      "that no task is left on it",
			      say_text },
	[FLEET_WHY_BOOT] = { "boot", "waits for its reboot to end", say_text },
	[FLEET_WHY_VERIFY] = { "verify",
			       "waits for a first sign of its new life",
			       say_text },
	[FLEET_WHY_HELD] = { "held", "is kept out by an operator's order",
			     say_text },
	[FLEET_WHY_NO_LIFE] = { "no-life", NULL, say_life },
	[FLEET_WHY_NO_POOL] = { "no-pool", "no pool wants it", say_text },
};

const char *fleet_why_name(fleet_why_t why)
{
	return whys[why].name;
}

char *fleet_explain(const fleet_t *fleet, const void *ctx, const char *name,
		    int64_t now)
{
	const fleet_inst_t *inst = fleet_inst_find(fleet, name);
	facts_t facts = { .fleet = fleet, .inst = inst, .now = now };

	if (inst)
		return explain_inst(&facts, ctx);
	for (size_t i = 0; i < fleet->n_pools; i++)
		if (!strcmp(fleet->pools[i].name, name))
			return explain_pool(fleet, ctx, &fleet->pools[i]);
	return NULL;
}

static char *explain_pool(const fleet_t *fleet, const void *ctx,
			  const fleet_acct_t *acct)
{
	int32_t room = fleet_budget_room(&acct->conf, &acct->up);
	base_buf_t *text = base_buf_new(NULL);
	char *copy;

	base_buf_addf(text,
		      "%s has %u of %u executors up, %u out by plan, "
		      "%u failed; its budget keeps %u up",
		      acct->name, acct->up.up, acct->conf.executors, acct->out,
		      acct->failed, acct->conf.min_up);
	if (acct->conf.survive_rack)
		base_buf_addf(text, ", a rack may take %u",
			      acct->up.worst_rack);
	if (acct->conf.survive_zone)
		base_buf_addf(text, ", a zone may take %u",
			      acct->up.worst_zone);
	if (room < 0)
		base_buf_addf(text, "; %d short, so nothing may be drained",
			      -room);
	else
		base_buf_addf(text, "; %d may be drained now", room);
	if (acct->conf.unmaintained)
		base_buf_adds(text, "; no wave maintains it");
	else if (acct->conf.drain_max)
		base_buf_addf(text, "; a wave has at most %u out at once",
			      acct->conf.drain_max);
	if (acct->members < acct->target)
		base_buf_addf(text, "; it wants %u more",
			      acct->target - acct->members);
	base_buf_addf(text, "; the wave is %s.",
		      fleet_wave_state_name(fleet->wave.state));
	copy = talloc_strdup(ctx, text->ptr);
	talloc_free(text);
	return copy;
}

static char *explain_inst(const facts_t *facts, const void *ctx)
{
	facts_t with = *facts;
	fleet_why_t why = facts->inst->why;
	char *copy;

	with.text = base_buf_new(NULL);
	add_state(&with);
	if (whys[why].say) {
		base_buf_adds(with.text, "; it ");
		whys[why].say(&with);
	}
	base_buf_adds(with.text, ".");
	copy = talloc_strdup(ctx, with.text->ptr);
	talloc_free(with.text);
	return copy;
}

static void add_state(const facts_t *facts)
{
	const fleet_t *fleet = facts->fleet;
	const fleet_rec_t *rec = &facts->inst->rec;

	base_buf_addf(facts->text, "%s (%s, %s) ", facts->inst->id,
		      fleet->zones[facts->inst->zone],
		      fleet->racks[facts->inst->rack]);
	if (rec->state == FLEET_FREE) {
		base_buf_adds(facts->text, "is in no pool");
		return;
	}
	base_buf_addf(facts->text, "belongs to %s and is %s",
		      fleet->pools[rec->pool].name,
		      fleet_state_name(rec->state));
	if (rec->purpose == FLEET_FOR_MOVE)
		base_buf_addf(facts->text, " to move to %s",
			      fleet->pools[rec->to].name);
	else if (rec->purpose != FLEET_FOR_NONE)
		base_buf_addf(facts->text, " (%s)",
			      fleet_purpose_name(rec->purpose));
	base_buf_addf(facts->text, " for %" G_GINT64_FORMAT " s",
		      (gint64)((facts->now - rec->since) / BASE_SEC));
}

static void say_budget(const facts_t *facts)
{
	const fleet_acct_t *acct = &facts->fleet->pools[facts->inst->rec.pool];
	const fleet_t *fleet = facts->fleet;
	const char *sep = "";

	base_buf_addf(facts->text,
		      "waits because %s keeps %u of %u up and has %u up, of "
		      "which one loss may take %u",
		      acct->name, acct->conf.min_up, acct->conf.executors,
		      acct->up.up,
		      acct->conf.survive_zone ? acct->up.worst_zone
					      : acct->up.worst_rack);
	for (guint i = 0; i < fleet->insts->len; i++) {
		const fleet_inst_t *other = g_ptr_array_index(fleet->insts, i);

		if (other->rec.pool != facts->inst->rec.pool || other->up ||
		    other->rec.state == FLEET_FREE)
			continue;
		base_buf_addf(facts->text, "%s%s",
			      *sep ? sep : "; out: ", other->id);
		sep = ", ";
	}
}

static void say_drain_max(const facts_t *facts)
{
	const fleet_acct_t *acct = &facts->fleet->pools[facts->inst->rec.pool];

	base_buf_addf(facts->text,
		      "waits because %u of %s are out for reboots, and its "
		      "answers let a wave have %u out at once",
		      acct->rebooted, acct->name, acct->conf.drain_max);
}

static void say_entry(const facts_t *facts)
{
	const fleet_t *fleet = facts->fleet;

	if (fleet->entries_full)
		base_buf_adds(facts->text, "waits because more entries route "
					   "than can be asked");
	else
		base_buf_addf(facts->text,
			      "waits for entry %s to confirm that nothing is "
			      "in flight",
			      fleet->entries[facts->inst->why_entry].id);
}

static void say_text(const facts_t *facts)
{
	base_buf_adds(facts->text, whys[facts->inst->why].text);
}

static void say_life(const facts_t *facts)
{
	int64_t at = facts->inst->alive_at;

	if (!at)
		base_buf_adds(facts->text, "has shown no sign of life");
	else
		base_buf_addf(facts->text,
			      "showed its last sign of life %" G_GINT64_FORMAT
			      " s ago",
			      (gint64)((facts->now - at) / BASE_SEC));
	if (!facts->inst->listed)
		base_buf_adds(facts->text, " and is not on the list");
}
