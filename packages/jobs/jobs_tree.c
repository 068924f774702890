/*
 * Index of the workers by available capacity: a complete binary tree with the
 * workers as leaves, whose inner nodes hold the maximum of each kind below
 * them.  A search descends only where every kind may fit, so that it visits a
 * few nodes per level instead of every worker; a change updates one path to
 * the root.
 */
#include "jobs_int.h"

#define LEAVES_MIN 64
#define NO_CAPACITY ((jobs_res_t){ { -1, -1, -1 } })

typedef struct node {
	jobs_res_t max[JOBS_AVAIL_MAX];
} node_t;

struct jobs_tree {
	node_t *nodes;		 /* index from 1; leaf i is at leaves + i */
	jobs_worker_t **workers; /* the worker of each leaf, by leaf number */
	size_t leaves;
	size_t *free; /* indices of the leaves without a worker */
	size_t n_free;
};

typedef struct search {
	const jobs_tree_t *tree;
	jobs_avail_t avail;
	const jobs_res_t *need;
	size_t from;
	int64_t *visits;
} search_t;

static void resize(jobs_tree_t *tree, size_t leaves);
static void update_node(jobs_tree_t *tree, size_t node);
static size_t search_node(const search_t *s, size_t node, size_t low,
			  size_t width);

jobs_tree_t *jobs_tree_new(const void *ctx)
{
	jobs_tree_t *tree = talloc_zero(ctx, jobs_tree_t);

	resize(tree, LEAVES_MIN);
	return tree;
}

size_t jobs_tree_add(jobs_tree_t *tree, jobs_worker_t *worker)
{
	size_t leaf;

	if (!tree->n_free)
		resize(tree, tree->leaves * 2);
	leaf = tree->free[--tree->n_free];
	tree->workers[leaf] = worker;
	return leaf;
}

void jobs_tree_remove(jobs_tree_t *tree, size_t leaf)
{
	const jobs_res_t none[JOBS_AVAIL_MAX] = { NO_CAPACITY, NO_CAPACITY };

	jobs_tree_set(tree, leaf, none);
	tree->workers[leaf] = NULL;
	tree->free[tree->n_free++] = leaf;
}

void jobs_tree_set(jobs_tree_t *tree, size_t leaf,
		   const jobs_res_t avail[JOBS_AVAIL_MAX])
{
	size_t node = tree->leaves + leaf;

	memcpy(tree->nodes[node].max, avail, sizeof(tree->nodes[node].max));
	for (node /= 2; node; node /= 2) {
		node_t old = tree->nodes[node];

		update_node(tree, node);
		if (!memcmp(&old, &tree->nodes[node], sizeof(old)))
			break;
	}
}

jobs_worker_t *jobs_tree_find(const jobs_tree_t *tree, jobs_avail_t avail,
			      const jobs_res_t *need, size_t *from,
			      int64_t *visits)
{
	search_t s = { tree, avail, need, *from, visits };
	size_t leaf = search_node(&s, 1, 0, tree->leaves);

	if (leaf == tree->leaves)
		return NULL;
	*from = leaf + 1;
	return tree->workers[leaf];
}

jobs_res_t jobs_tree_max(const jobs_tree_t *tree, jobs_avail_t avail)
{
	return tree->nodes[1].max[avail];
}

static void resize(jobs_tree_t *tree, size_t leaves)
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
		for (int r = 0; r < JOBS_AVAIL_MAX; r++)
			nodes[i].max[r] = NO_CAPACITY;
	for (size_t i = 0; i < old; i++)
		nodes[leaves + i] = tree->nodes[old + i];
	talloc_free(tree->nodes);
	tree->nodes = nodes;
	tree->leaves = leaves;
	for (size_t i = leaves; i-- > 1;)
		update_node(tree, i);
}

static void update_node(jobs_tree_t *tree, size_t node)
{
	const node_t *a = &tree->nodes[node * 2], *b = a + 1;

	for (int r = 0; r < JOBS_AVAIL_MAX; r++)
		for (int k = 0; k < JOBS_KIND_MAX; k++)
			tree->nodes[node].max[r].v[k] =
				MAX(a->max[r].v[k], b->max[r].v[k]);
}

/* The recursion depth is the logarithm of the number of leaves. */
static size_t search_node(const search_t *s, size_t node, size_t low,
			  size_t width)
{
	size_t found;

	if (low + width <= s->from || *s->visits <= 0)
		return s->tree->leaves;
	--*s->visits;
	if (!jobs_fits(s->need, &s->tree->nodes[node].max[s->avail]))
		return s->tree->leaves;
	if (width == 1)
		return low;
	found = search_node(s, node * 2, low, width / 2);
	if (found == s->tree->leaves)
		found = search_node(s, node * 2 + 1, low + width / 2,
				    width / 2);
	return found;
}
