/*
 * Workers by room: a complete binary tree over the workers whose inner nodes
 * hold the most room of each kind below them.  A search goes down only where
 * every kind may fit, so that it looks at a few nodes for each level and not
 * at each worker; a change walks up one path.
 */
#include "jobs_int.h"

#define LEAVES_MIN 64
#define NO_ROOM ((jobs_res_t){ { -1, -1, -1 } })

typedef struct node {
	jobs_res_t most[JOBS_ROOM_MAX];
} node_t;

struct jobs_tree {
	node_t *nodes;		 /* from 1; leaf i is at leaves + i */
	jobs_worker_t **workers; /* by leaf */
	size_t leaves;
	size_t *free; /* leaves without a worker */
	size_t n_free;
};

typedef struct search {
	const jobs_tree_t *tree;
	jobs_room_t room;
	const jobs_res_t *need;
	size_t from;
	int64_t *visits;
} search_t;

static void make(jobs_tree_t *tree, size_t leaves);
static void lift(jobs_tree_t *tree, size_t node);
static size_t down(const search_t *s, size_t node, size_t low, size_t width);

jobs_tree_t *jobs_tree_new(const void *ctx)
{
	jobs_tree_t *tree = talloc_zero(ctx, jobs_tree_t);

	make(tree, LEAVES_MIN);
	return tree;
}

size_t jobs_tree_add(jobs_tree_t *tree, jobs_worker_t *worker)
{
	size_t leaf;

	if (!tree->n_free)
		make(tree, tree->leaves * 2);
	leaf = tree->free[--tree->n_free];
	tree->workers[leaf] = worker;
	return leaf;
}

void jobs_tree_remove(jobs_tree_t *tree, size_t leaf)
{
	const jobs_res_t none[JOBS_ROOM_MAX] = { NO_ROOM, NO_ROOM };

	jobs_tree_set(tree, leaf, none);
	tree->workers[leaf] = NULL;
	tree->free[tree->n_free++] = leaf;
}

void jobs_tree_set(jobs_tree_t *tree, size_t leaf,
		   const jobs_res_t room[JOBS_ROOM_MAX])
{
	size_t node = tree->leaves + leaf;

	memcpy(tree->nodes[node].most, room, sizeof(tree->nodes[node].most));
	for (node /= 2; node; node /= 2) {
		node_t was = tree->nodes[node];

		lift(tree, node);
		if (!memcmp(&was, &tree->nodes[node], sizeof(was)))
			break;
	}
}

jobs_worker_t *jobs_tree_find(const jobs_tree_t *tree, jobs_room_t room,
			      const jobs_res_t *need, size_t *from,
			      int64_t *visits)
{
	search_t s = { tree, room, need, *from, visits };
	size_t leaf = down(&s, 1, 0, tree->leaves);

	if (leaf == tree->leaves)
		return NULL;
	*from = leaf + 1;
	return tree->workers[leaf];
}

jobs_res_t jobs_tree_most(const jobs_tree_t *tree, jobs_room_t room)
{
	return tree->nodes[1].most[room];
}

static void make(jobs_tree_t *tree, size_t leaves)
{
	size_t old = tree->leaves;
	node_t *nodes = talloc_array(tree, node_t, (unsigned)(leaves * 2));

	tree->workers = talloc_realloc(tree, tree->workers, jobs_worker_t *,
				       (unsigned)leaves);
	tree->free = talloc_realloc(tree, tree->free, size_t, (unsigned)leaves);
	for (size_t i = leaves; i-- > old;) {
		tree->workers[i] = NULL;
		tree->free[tree->n_free++] = i;
	}
	for (size_t i = 0; i < leaves * 2; i++)
		for (int r = 0; r < JOBS_ROOM_MAX; r++)
			nodes[i].most[r] = NO_ROOM;
	for (size_t i = 0; i < old; i++)
		nodes[leaves + i] = tree->nodes[old + i];
	talloc_free(tree->nodes);
	tree->nodes = nodes;
	tree->leaves = leaves;
	for (size_t i = leaves; i-- > 1;)
		lift(tree, i);
}

static void lift(jobs_tree_t *tree, size_t node)
{
	const node_t *a = &tree->nodes[node * 2], *b = a + 1;

	for (int r = 0; r < JOBS_ROOM_MAX; r++)
		for (int k = 0; k < JOBS_KIND_MAX; k++)
			tree->nodes[node].most[r].v[k] =
				MAX(a->most[r].v[k], b->most[r].v[k]);
}

/* The depth is the logarithm of the number of workers. */
static size_t down(const search_t *s, size_t node, size_t low, size_t width)
{
	size_t found;

	if (low + width <= s->from || *s->visits <= 0)
		return s->tree->leaves;
	--*s->visits;
	if (!jobs_fits(s->need, &s->tree->nodes[node].most[s->room]))
		return s->tree->leaves;
	if (width == 1)
		return low;
	found = down(s, node * 2, low, width / 2);
	if (found == s->tree->leaves)
		found = down(s, node * 2 + 1, low + width / 2, width / 2);
	return found;
}
