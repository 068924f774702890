#include "fleet_int.h"

typedef struct explanation {
	const fleet_t *fleet;
	const fleet_inst_t *inst;
	base_buf_t *text;
	int64_t now;
} explanation_t;

static char *explain_pool(const fleet_t *fleet, const void *ctx,
			  const fleet_acct_t *acct);
static char *explain_inst(const explanation_t *expl, const void *ctx);
static void add_state(const explanation_t *expl);
static void add_budget(const explanation_t *expl);
static void add_drain_max(const explanation_t *expl);
static void add_entry(const explanation_t *expl);
static void add_text(const explanation_t *expl);
static void add_last_alive(const explanation_t *expl);

static const struct {
	const char *name;
	const char *text;
	void (*add_detail)(const explanation_t *);
} reasons[FLEET_WAIT_MAX] = {
	[FLEET_WAIT_NONE] = { "none", NULL, NULL },
	[FLEET_WAIT_NOT_FENCED] = { "not-fenced",
				    "waits until the new holder of the fleet "
				    "lease has taken over the pool's account",
				    add_text },
	[FLEET_WAIT_NO_HEADROOM] = { "no-room", NULL, add_budget },
	[FLEET_WAIT_DRAIN_MAX] = { "drain-max", NULL, add_drain_max },
	[FLEET_WAIT_CANARY] = { "canary",
				"waits for the wave's first rack to come back",
				add_text },
	[FLEET_WAIT_WAVE_PAUSED] = { "wave-paused",
				     "waits because the wave is paused",
				     add_text },
	[FLEET_WAIT_WAVE_STOPPED] = { "wave-stopped",
				      "waits because failures stopped the "
				      "wave; an operator resumes it",
				      add_text },
	[FLEET_WAIT_ENTRY] = { "entry", NULL, add_entry },
	[FLEET_WAIT_TASKS] = { "tasks",
			       "waits until the holder of the jobs lease "
			       "reports that no task is left on it",
			       add_text },
	[FLEET_WAIT_BOOT] = { "boot", "waits for its reboot to end", add_text },
	[FLEET_WAIT_VERIFY] = { "verify", "waits until it is seen alive",
				add_text },
	[FLEET_WAIT_HELD] = { "held", "is kept out by an operator's order",
			      add_text },
	[FLEET_WAIT_NOT_ALIVE] = { "no-life", NULL, add_last_alive },
	[FLEET_WAIT_NO_POOL] = { "no-pool", "is needed by no pool", add_text },
};

const char *fleet_wait_reason_name(fleet_wait_reason_t why)
{
	return reasons[why].name;
}

char *fleet_explain(const fleet_t *fleet, const void *ctx, const char *name,
		    int64_t now)
{
	const fleet_inst_t *inst = fleet_inst_find(fleet, name);
	explanation_t expl = { .fleet = fleet, .inst = inst, .now = now };

	if (inst)
		return explain_inst(&expl, ctx);
	for (size_t i = 0; i < fleet->n_pools; i++)
		if (!strcmp(fleet->pools[i].name, name))
			return explain_pool(fleet, ctx, &fleet->pools[i]);
	return NULL;
}

static char *explain_pool(const fleet_t *fleet, const void *ctx,
			  const fleet_acct_t *acct)
{
	int32_t headroom = fleet_budget_headroom(&acct->conf, &acct->up);
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
	if (headroom < 0)
		base_buf_addf(text, "; %d short, so nothing may be drained",
			      -headroom);
	else
		base_buf_addf(text, "; %d may be drained now", headroom);
	if (acct->conf.unmaintained)
		base_buf_adds(text, "; no wave maintains it");
	else if (acct->conf.drain_max)
		base_buf_addf(text, "; a wave has at most %u out at once",
			      acct->conf.drain_max);
	if (acct->planned_members < acct->target)
		base_buf_addf(text, "; it needs %u more",
			      acct->target - acct->planned_members);
	base_buf_addf(text, "; the wave is %s.",
		      fleet_wave_state_name(fleet->wave.state));
	copy = talloc_strdup(ctx, text->ptr);
	talloc_free(text);
	return copy;
}

static char *explain_inst(const explanation_t *expl, const void *ctx)
{
	explanation_t filled = *expl;
	fleet_wait_reason_t why = expl->inst->wait_reason;
	char *copy;

	filled.text = base_buf_new(NULL);
	add_state(&filled);
	if (reasons[why].add_detail) {
		base_buf_adds(filled.text, "; it ");
		reasons[why].add_detail(&filled);
	}
	base_buf_adds(filled.text, ".");
	copy = talloc_strdup(ctx, filled.text->ptr);
	talloc_free(filled.text);
	return copy;
}

static void add_state(const explanation_t *expl)
{
	const fleet_t *fleet = expl->fleet;
	const fleet_rec_t *rec = &expl->inst->rec;

	base_buf_addf(expl->text, "%s (%s, %s) ", expl->inst->id,
		      fleet->zones[expl->inst->zone],
		      fleet->racks[expl->inst->rack]);
	if (rec->state == FLEET_FREE) {
		base_buf_adds(expl->text, "is in no pool");
		return;
	}
	base_buf_addf(expl->text, "belongs to %s and is %s",
		      fleet->pools[rec->pool].name,
		      fleet_state_name(rec->state));
	if (rec->purpose == FLEET_FOR_MOVE)
		base_buf_addf(expl->text, " to move to %s",
			      fleet->pools[rec->to].name);
	else if (rec->purpose != FLEET_FOR_NONE)
		base_buf_addf(expl->text, " (%s)",
			      fleet_purpose_name(rec->purpose));
	base_buf_addf(expl->text, " for %" G_GINT64_FORMAT " s",
		      (gint64)((expl->now - rec->since) / BASE_SEC));
}

static void add_budget(const explanation_t *expl)
{
	const fleet_acct_t *acct = &expl->fleet->pools[expl->inst->rec.pool];
	const fleet_t *fleet = expl->fleet;
	const char *sep = "";

	base_buf_addf(expl->text,
		      "waits because %s keeps %u of %u up and has %u up, of "
		      "which one loss may take %u",
		      acct->name, acct->conf.min_up, acct->conf.executors,
		      acct->up.up,
		      acct->conf.survive_zone ? acct->up.worst_zone
					      : acct->up.worst_rack);
	for (guint i = 0; i < fleet->insts->len; i++) {
		const fleet_inst_t *other = g_ptr_array_index(fleet->insts, i);

		if (other->rec.pool != expl->inst->rec.pool || other->up ||
		    other->rec.state == FLEET_FREE)
			continue;
		base_buf_addf(expl->text, "%s%s",
			      *sep ? sep : "; out: ", other->id);
		sep = ", ";
	}
}

static void add_drain_max(const explanation_t *expl)
{
	const fleet_acct_t *acct = &expl->fleet->pools[expl->inst->rec.pool];

	base_buf_addf(expl->text,
		      "waits because %u of %s are out for reboots, and its "
		      "answers let a wave have %u out at once",
		      acct->out_for_reboot, acct->name, acct->conf.drain_max);
}

static void add_entry(const explanation_t *expl)
{
	const fleet_t *fleet = expl->fleet;

	if (fleet->entries_full)
		base_buf_adds(expl->text,
			      "waits because there are more entries "
			      "than can be tracked");
	else
		base_buf_addf(expl->text,
			      "waits for entry %s to confirm that nothing is "
			      "in flight",
			      fleet->entries[expl->inst->wait_entry].id);
}

static void add_text(const explanation_t *expl)
{
	base_buf_adds(expl->text, reasons[expl->inst->wait_reason].text);
}

static void add_last_alive(const explanation_t *expl)
{
	int64_t at = expl->inst->alive_at;

	if (!at)
		base_buf_adds(expl->text, "has never been seen alive");
	else
		base_buf_addf(expl->text,
			      "was last seen alive %" G_GINT64_FORMAT " s ago",
			      (gint64)((expl->now - at) / BASE_SEC));
	if (!expl->inst->listed)
		base_buf_adds(expl->text, " and is not on the platform's list");
}
