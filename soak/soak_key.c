/*
 * Access keys in the soak: two workspaces, of which one has a key that the
 * operator removes and adds while callers use it.  Judges that nothing is
 * carried out with a key that was removed longer ago than the bound.
 */
#include "soak_int.h"

/* The settings' revoke_bound_ms: shorter than the platform's, so that faults
 * outlast it. */
#define KEY_BOUND (3 * BASE_SEC)
/* Longer than the bound at times, so that it is judged. */
#define KEY_PERIOD_MIN (3 * BASE_SEC)
#define KEY_PERIOD_MAX (9 * BASE_SEC)
/* Red runs at most so much at once: 16 of the callers' tasks. */
#define KEY_RED_CPU 8000

struct soak_keys {
	base_rng_t rng;
	bool is_red_removed;
	bool is_over;
	int written;		/* last version that was sent */
	int64_t red_removed_at; /* acknowledged; 0: the key may be valid */
	int64_t next_change;
};

soak_keys_t *soak_keys_new(soak_t *soak)
{
	soak_keys_t *keys = talloc_zero(soak, soak_keys_t);

	keys->rng.state = base_rng_next(&soak->rng);
	keys->next_change = base_clock_mono() + KEY_PERIOD_MAX;
	return keys;
}

void soak_keys_tick(soak_t *soak, int64_t now)
{
	soak_keys_t *keys = soak->keys;

	if (!keys || keys->is_over || now < keys->next_change)
		return;
	keys->next_change = now + soak_random_range(&keys->rng, KEY_PERIOD_MIN,
						    KEY_PERIOD_MAX);
	keys->is_red_removed = !keys->is_red_removed;
	soak_configure_next(soak);
}

void soak_keys_restore(soak_t *soak)
{
	if (!soak->keys)
		return;
	soak->keys->is_over = true;
	soak->keys->is_red_removed = false;
	soak_configure_next(soak);
}

const char *soak_keys_tenants(soak_t *soak)
{
	soak_keys_t *keys = soak->keys;

	if (!keys)
		return "";
	/* Entries may know the key from now on. */
	if (!keys->is_red_removed)
		keys->red_removed_at = 0;
	return talloc_asprintf(
		soak,
		",\"tenants\":[{\"name\":\"blue\",\"apiKeys\":[\"%s\"],"
		"\"weight\":2},{\"name\":\"red\",\"apiKeys\":[%s%s%s],"
		"\"weight\":1,\"atMost\":{\"cpu\":%d,\"memMb\":0,"
		"\"gpu\":0}}]",
		soak_key(SOAK_BLUE), keys->is_red_removed ? "" : "\"",
		keys->is_red_removed ? "" : soak_key(SOAK_RED),
		keys->is_red_removed ? "" : "\"", KEY_RED_CPU);
}

void soak_keys_written(soak_t *soak, int version)
{
	soak_keys_t *keys = soak->keys;

	if (!keys || version != keys->written)
		return;
	if (keys->is_red_removed && !keys->red_removed_at)
		keys->red_removed_at = base_clock_mono();
}

void soak_keys_sent(soak_t *soak, int version)
{
	if (soak->keys)
		soak->keys->written = version;
}

const char *soak_key(soak_workspace_t workspace)
{
	return workspace == SOAK_RED ? "soak-red" : "soak-blue";
}

soak_key_use_t soak_key_use(const soak_t *soak, soak_workspace_t workspace)
{
	return (soak_key_use_t){
		.sent_at = base_clock_mono(),
		.removed_at = soak->keys && workspace == SOAK_RED
				      ? soak->keys->red_removed_at
				      : 0,
	};
}

void soak_key_judge(soak_t *soak, soak_workspace_t workspace,
		    const soak_key_use_t *use, int status)
{
	const soak_keys_t *keys = soak->keys;

	if (!keys)
		return;
	if (status == 401 && workspace == SOAK_BLUE)
		soak_report_violation(soak, "a valid key was refused");
	/* A key that was added meanwhile may be valid again. */
	if (status == 200 && use->removed_at &&
	    use->removed_at == keys->red_removed_at &&
	    use->sent_at > use->removed_at + KEY_BOUND)
		soak_report_violation(
			soak, "a key was accepted %d ms after its removal",
			(int)((use->sent_at - use->removed_at) / BASE_MS));
}
