/*
 * Election of the holder, the one entry that decides about jobs.  A key in the
 * store, bound to a lease, names the holder; a fence key holds the term, which
 * rises with each election.
 *
 * An entry that finds no holder key tries to write it.  The holder measures its
 * lease from before the call that renewed it, on a clock that counts
 * suspension.
 *
 * An entry that is named by the key but is not the holder was the holder before
 * its process restarted.  No other process can listen on its address, so the
 * former process has ended, and the entry replaces the key without waiting for
 * that lease to end.
 *
 * The holder does the most work.  So entries with more cores campaign first,
 * also if an entry finds the key missing when it starts, and a holder resigns
 * when an entry is listed that is twice as large.
 */
#include "node_int.h"

#define ELECTION_WATCH_WAIT (2000 * BASE_MS) /* longest wait of a watch */
#define ELECTION_RETRY (200 * BASE_MS)
/* Lease of the holder key: nobody decides for about this long after a holder
 * fails.  A slow store answers several times within it. */
#define ELECTION_TTL (2000 * BASE_MS)
/*
 * Random delay, so that entries that see the key expire do not all write at the
 * same moment.  An older process waits longer, since in a rolling restart it is
 * still to be restarted.  That takes some seconds per entry, so the difference
 * in age outweighs the random part.
 */
#define ELECTION_JITTER (20 * BASE_MS)
#define ELECTION_AGE_MAX (30 * BASE_SEC)
#define ELECTION_AGE_DIVISOR 250 /* 4 ms per second of age, at most 120 ms */
/* Longest delay of a smaller entry, so that the largest can write the key
 * first: a few answers of the store, and more than the delay by age. */
#define ELECTION_SMALL_DELAY (400 * BASE_MS)
/* A holder does not resign in favour of a larger entry sooner than this, so
 * that workers do not see the holder change too often. */
#define ELECTION_HELD_MIN (6 * BASE_SEC)
#define ELECTION_LARGER_FACTOR 2 /* times as large: the holder resigns */
/* When all entries start within some tenths of a second, none knows the others'
 * sizes yet: a small entry waits until the others are up. */
#define ELECTION_START_DELAY (1000 * BASE_MS)

static void read_holder_key(void *arg);

/* From 0 for the largest entry up to "most" for one without any cores. */
static int64_t size_delay(const node_t *node, int64_t most)
{
	double part = node->settings->usable_cores / node->largest_cores;

	return (int64_t)((double)most * (1 - MIN(part, 1)));
}

static int64_t campaign_delay(node_t *node)
{
	int64_t age = MIN(base_clock_mono() - node->process_started_at,
			  ELECTION_AGE_MAX);

	return age / ELECTION_AGE_DIVISOR +
	       size_delay(node, ELECTION_SMALL_DELAY) +
	       base_rng_below(&node->rng, ELECTION_JITTER);
}

static void clear_holder(node_t *node)
{
	talloc_free(node->known_holder.name);
	talloc_free(node->known_holder.address);
	memset(&node->known_holder, 0, sizeof(node->known_holder));
}

static void learn_holder(node_t *node, const node_item_t *item)
{
	json_t *root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	const char *address =
		json_string_value(json_object_get(root, "address"));
	int64_t term;

	if (name && address &&
	    base_json_int(json_object_get(root, "term"), 0, NODE_TERM_MAX,
			  &term) &&
	    term >= node->known_holder.term) {
		if (term > node->known_holder.term)
			node_log(node, BASE_MSG_LEAD,
				 BASE_F_STR("holder", name),
				 BASE_F_INT("term", term),
				 BASE_F_INT("revision", item->revision));
		clear_holder(node);
		node->known_holder.name = talloc_strdup(node, name);
		node->known_holder.address = talloc_strdup(node, address);
		node->known_holder.term = term;
		node_election_heard_term(node, term);
		node->known_holder.refreshed_at = base_clock_mono();
	}
	json_decref(root);
}

static const node_item_t *find_item(const node_answer_t *answer,
				    const char *key)
{
	size_t i;

	for (i = 0; i < answer->n_items; i++)
		if (!strcmp(answer->items[i].key, key))
			return &answer->items[i];
	return NULL;
}

static bool has_own_nonce(const node_t *node, const node_item_t *item)
{
	json_t *root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	const char *nonce = json_string_value(json_object_get(root, "nonce"));
	bool is_match = nonce && node->campaign_nonce &&
			!strcmp(nonce, node->campaign_nonce);

	json_decref(root);
	return is_match;
}

static bool names_this_entry(const node_t *node, const node_item_t *item)
{
	json_t *root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	const char *name = json_string_value(json_object_get(root, "name"));
	const char *address =
		json_string_value(json_object_get(root, "address"));
	bool is_match = name && address &&
			!strcmp(name, node->settings->name) &&
			!strcmp(address, node->settings->peers_at);

	json_decref(root);
	return is_match;
}

static void become_holder(node_t *node, int64_t holder_revision,
			  int64_t fence_revision)
{
	node_holder_options_t options = {
		.term = node->campaign_term,
		.lease = node->campaign_lease,
		.lease_until = node->campaign_sent + ELECTION_TTL,
		.holder_revision = holder_revision,
		.fence_revision = fence_revision,
	};

	node->campaigning = false;
	node->vacancy_known = false;
	clear_holder(node);
	node->known_holder.name = talloc_strdup(node, node->settings->name);
	node->known_holder.address =
		talloc_strdup(node, node->settings->peers_at);
	node->known_holder.term = node->campaign_term;
	node_election_heard_term(node, node->campaign_term);
	node->known_holder.refreshed_at = base_clock_mono();
	node_log(node, BASE_MSG_DUTY_TAKEN, BASE_F_INT("term", options.term),
		 BASE_F_INT("owner_revision", holder_revision),
		 BASE_F_BOOL("former_life", node->campaign_holder != 0));
	node->holder = node_holder_new(node, &options);
	net_timer_start(node->election_timer, ELECTION_RETRY);
}

static void released(void *arg, const node_answer_t *answer)
{
	(void)arg;
	(void)answer; /* if the release failed, the lease expires */
}

static void give_up_campaign(node_t *node)
{
	node->campaigning = false;
	if (node->campaign_lease)
		node->platform->release(node->store, node->campaign_lease,
					released, node);
	node->campaign_lease = 0;
	net_timer_start(node->election_timer, ELECTION_RETRY);
}

/* The answer to the write was lost: the key shows whether it took effect. */
static void holder_key_checked(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	const node_item_t *item = find_item(answer, NODE_KEY_HOLDER);

	node_store_track_status(node, answer->store_status);
	if (answer->store_status == NODE_STORE_OK && item &&
	    has_own_nonce(node, item))
		/* One change wrote the holder key and the fence key, so both
		 * have this revision. */
		become_holder(node, item->revision, item->revision);
	else
		give_up_campaign(node);
}

static void holder_key_written(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	const node_item_t *item;

	node_store_track_status(node, answer->store_status);
	switch (answer->store_status) {
	case NODE_STORE_OK:
		become_holder(node, answer->revision, answer->revision);
		break;
	case NODE_STORE_UNKNOWN:
		node_store_get(node, node->store, NODE_KEY_HOLDER,
			       holder_key_checked, node);
		break;
	default:
		item = find_item(answer, NODE_KEY_HOLDER);
		if (item && item->value.len)
			learn_holder(node, item);
		give_up_campaign(node);
		break;
	}
}

static void write_holder_key(node_t *node)
{
	char *holder_value = talloc_asprintf(
		NULL,
		"{\"name\":\"%s\",\"address\":\"%s\",\"term\":%lld,"
		"\"nonce\":\"%s\"}",
		node->settings->name, node->settings->peers_at,
		(long long)node->campaign_term, node->campaign_nonce);
	char *fence_text =
		talloc_asprintf(holder_value, "{\"term\":%lld,\"commit\":0}",
				(long long)node->campaign_term);
	node_expect_t expects[] = {
		{ NODE_KEY_HOLDER, node->campaign_holder },
		{ NODE_KEY_FENCE, node->campaign_fence },
	};
	node_set_t sets[] = {
		{ NODE_KEY_HOLDER, base_str(holder_value),
		  node->campaign_lease },
		{ NODE_KEY_FENCE, base_str(fence_text), 0 },
	};
	node_change_t change = { .expects = expects,
				 .n_expects = ARRAY_SIZE(expects),
				 .sets = sets,
				 .n_sets = ARRAY_SIZE(sets) };

	node_store_change(node, node->store, &change, holder_key_written, node);
	talloc_free(holder_value);
}

static void leased(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;

	node_store_track_status(node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK || !answer->lease) {
		give_up_campaign(node);
		return;
	}
	node->campaign_lease = answer->lease;
	write_holder_key(node);
}

static void fence_read(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	const node_item_t *item = find_item(answer, NODE_KEY_FENCE);
	json_t *root;

	node_store_track_status(node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK &&
	    answer->store_status != NODE_STORE_MISSING) {
		give_up_campaign(node);
		return;
	}
	node->campaign_term = 1;
	node->campaign_fence = 0;
	if (item) {
		root = json_loadb(item->value.ptr, item->value.len, 0, NULL);
		if (base_json_int(json_object_get(root, "term"), 0,
				  NODE_TERM_MAX, &node->campaign_term))
			node->campaign_term++;
		node->campaign_fence = item->revision;
		json_decref(root);
	}
	talloc_free(node->campaign_nonce);
	node->campaign_nonce =
		talloc_asprintf(node, "%s.%llx", node->settings->name,
				(unsigned long long)base_rng_next(&node->rng));
	node->campaign_sent = base_clock_mono();
	node_store_lease(node, MAX(ELECTION_TTL, node->settings->store_ttl_min),
			 leased);
}

/* The holder key must still be as it was read: absent (revision 0), or written
 * by this entry's former process. */
static void campaign(node_t *node, int64_t holder_revision)
{
	if (node->campaigning || node->holder || node->stopping ||
	    !node->config.version)
		return;
	node->campaigning = true;
	node->campaign_holder = holder_revision;
	node->campaign_lease = 0;
	node_store_get(node, node->store, NODE_KEY_FENCE, fence_read, node);
}

static void watched(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	size_t i;

	node_store_track_status(node, answer->store_status);
	for (i = 0;
	     answer->store_status == NODE_STORE_OK && i < answer->n_items;
	     i++) {
		if (!answer->items[i].removed) {
			learn_holder(node, &answer->items[i]);
			continue;
		}
		talloc_free(node->known_holder.name);
		node->known_holder.name = NULL;
		node->vacancy_known = true;
	}
	if (answer->store_status == NODE_STORE_OK && node->known_holder.name) {
		node_store_watch(node, NODE_KEY_HOLDER, answer->revision,
				 ELECTION_WATCH_WAIT, watched);
	} else if (answer->store_status == NODE_STORE_OK) {
		net_timer_start(node->election_timer, campaign_delay(node));
	} else {
		net_timer_start(node->election_timer, ELECTION_RETRY);
	}
}

/* The key is missing: campaigns if the delay for that has passed, else waits
 * for it, so that larger entries that learn of it now are first. */
static void handle_vacancy(node_t *node)
{
	int64_t delay = ELECTION_RETRY;

	talloc_free(node->known_holder.name);
	node->known_holder.name = NULL;
	if (node->vacancy_known)
		campaign(node, 0);
	else
		delay = campaign_delay(node);
	node->vacancy_known = true;
	if (!node->campaigning)
		net_timer_start(node->election_timer, delay);
}

static void holder_key_read(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	const node_item_t *item = find_item(answer, NODE_KEY_HOLDER);

	node_store_track_status(node, answer->store_status);
	if (answer->store_status == NODE_STORE_MISSING) {
		handle_vacancy(node);
		return;
	}
	if (answer->store_status == NODE_STORE_OK && item)
		node->vacancy_known = false;
	if (answer->store_status == NODE_STORE_OK && item &&
	    names_this_entry(node, item) &&
	    node->settings->usable_cores >= node->largest_cores) {
		campaign(node, item->revision);
		if (!node->campaigning)
			net_timer_start(node->election_timer, ELECTION_RETRY);
		return;
	}
	if (answer->store_status == NODE_STORE_OK && item) {
		learn_holder(node, item);
		node_store_watch(node, NODE_KEY_HOLDER, answer->revision,
				 ELECTION_WATCH_WAIT, watched);
		return;
	}
	net_timer_start(node->election_timer, ELECTION_RETRY);
}

static void read_holder_key(void *arg)
{
	node_t *node = arg;

	/* The holder learns from its own calls that its lease is lost. */
	if (node->holder || node->campaigning) {
		net_timer_start(node->election_timer, ELECTION_RETRY);
		return;
	}
	node_store_get(node, node->store, NODE_KEY_HOLDER, holder_key_read,
		       node);
}

void node_election_begin(node_t *node)
{
	node->election_timer =
		net_timer_new(node, node->loop, read_holder_key, node);
	net_timer_start(node->election_timer,
			size_delay(node, ELECTION_START_DELAY) +
				base_rng_below(&node->rng, ELECTION_JITTER));
}

void node_election_heard_term(node_t *node, int64_t term)
{
	node->highest_term = MAX(node->highest_term, term);
}

void node_election_suspect(node_t *node)
{
	/* The watch reports a new holder; until then use other entries. */
	node->known_holder.suspect_until = base_clock_mono() + ELECTION_RETRY;
}

static void free_holder(void *arg)
{
	talloc_free(arg);
}

void node_election_lost(node_t *node, const char *why)
{
	node_holder_t *holder = node->holder;

	if (!holder)
		return;
	node_log(node, BASE_MSG_DUTY_LOST, BASE_F_INT("term", holder->term),
		 BASE_F_STR("why", why));
	node->holder = NULL;
	node_holder_end(holder);
	net_defer(node->loop, free_holder, holder);
	talloc_free(node->known_holder.name);
	node->known_holder.name = NULL;
	node->vacancy_known = true;
	net_timer_start(node->election_timer,
			size_delay(node, ELECTION_SMALL_DELAY));
}

void node_election_yield_to_larger(node_t *node)
{
	const node_holder_t *holder = node->holder;

	if (!holder || !node_holder_may_decide(holder) ||
	    base_clock_mono() - holder->taken_at < ELECTION_HELD_MIN ||
	    node->largest_cores <
		    ELECTION_LARGER_FACTOR * node->settings->usable_cores)
		return;
	node_holder_resign(node->holder, "a larger entry is available");
}
