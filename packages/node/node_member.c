/*
 * Membership: each entry has a key, bound to a lease, with its address and the
 * cores that it may use.
 */
#include "node_int.h"

#define MEMBER_TTL (10 * BASE_SEC)
#define MEMBER_RENEW_EVERY (3 * BASE_SEC) /* three renewals within a lease */
#define MEMBER_CORES_MAX 65536		  /* of one entry; more is not read */
#define MEMBER_LIST_ROUND 2 /* renewals per read of the list, on average */

static void renew(void *arg);

static void add_member(node_t *node, const char *address)
{
	guint i;

	if (!strcmp(address, node->settings->peers_at))
		return;
	for (i = 0; i < node->members->len; i++)
		if (!strcmp(g_ptr_array_index(node->members, i), address))
			return;
	g_ptr_array_add(node->members, g_strdup(address));
}

/* "address cores"; an entry of an older version writes only the address. */
static void read_member(node_t *node, base_str_t value)
{
	char **words;
	char *text = g_strndup(value.ptr, value.len);
	double cores;

	words = g_strsplit(text, " ", 2);
	g_free(text);
	if (words[0]) {
		add_member(node, words[0]);
		cores = words[1] ? g_ascii_strtod(words[1], NULL) : 0;
		/* A wrong size would keep the others from deciding. */
		if (cores <= MEMBER_CORES_MAX)
			node->largest_cores = MAX(node->largest_cores, cores);
	}
	g_strfreev(words);
}

static void listed(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	size_t i;

	if (answer->store_status != NODE_STORE_OK)
		return;
	g_ptr_array_set_size(node->members, 0);
	/* Entries that left do not count; the default size is the minimum. */
	node->largest_cores =
		MAX(node->settings->usable_cores, NODE_DEFAULT_CORES);
	for (i = 0; i < answer->n_items; i++)
		read_member(node, answer->items[i].value);
	node_election_yield_to_larger(node);
}

static void read_list(node_t *node)
{
	node_range_t range = { .prefix = NODE_KEY_MEMBER,
			       .accepts_stale = true };

	node_store_list(node, node->store, &range, listed, node);
}

static void written(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;

	node_store_track_status(node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK)
		node->member_lease = 0;
	else
		read_list(node);
	net_timer_start(node->member_timer, MEMBER_RENEW_EVERY);
}

static void leased(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;
	char *key;
	char *value;
	node_set_t set;
	node_change_t change = { .sets = &set, .n_sets = 1 };

	node_store_track_status(node, answer->store_status);
	if (answer->store_status != NODE_STORE_OK) {
		net_timer_start(node->member_timer, MEMBER_RENEW_EVERY);
		return;
	}
	node->member_lease = answer->lease;
	key = talloc_asprintf(NULL, NODE_KEY_MEMBER "%s", node->settings->name);
	value = talloc_asprintf(key, "%s %g", node->settings->peers_at,
				node->settings->usable_cores);
	set = (node_set_t){ key, base_str(value), answer->lease };
	node_store_change(node, node->store, &change, written, node);
	talloc_free(key);
}

static void renewed(void *arg, const node_answer_t *answer)
{
	node_t *node = arg;

	if (answer->store_status == NODE_STORE_MISSING) {
		node->member_lease = 0;
		renew(node);
		return;
	}
	if (base_rng_below(&node->rng, MEMBER_LIST_ROUND) == 0)
		read_list(node);
	net_timer_start(node->member_timer, MEMBER_RENEW_EVERY);
}

static void renew(void *arg)
{
	node_t *node = arg;

	node_renewal_t renewal = { node->member_lease, BASE_SEC };

	if (node->stopping)
		return;
	if (node->member_lease)
		node_store_renew(node, node->store, &renewal, renewed, node);
	else
		node_store_lease(node, MEMBER_TTL, leased);
}

void node_member_begin(node_t *node)
{
	size_t i;

	node->members = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < node->settings->n_seeds; i++)
		add_member(node, node->settings->seeds[i]);
	node->member_timer = net_timer_new(node, node->loop, renew, node);
	net_timer_start(node->member_timer, BASE_SEC);
}
