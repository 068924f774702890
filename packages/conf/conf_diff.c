/* Differences between two configurations and their capacity totals. */
#include "conf_int.h"

typedef struct diff_ctx {
	conf_diff_t *diff;
	const conf_t *old;
	const conf_t *new;
} diff_ctx_t;

/* A top-level list whose items are matched by name. */
typedef struct list_desc {
	const char *key;
	const char *noun;
} list_desc_t;

/* Describes the effect of a member's change beyond the two values. */
typedef struct note {
	const char *noun;
	const char *key;
	char *(*fn)(const void *ctx, const diff_ctx_t *w, const char *name);
} note_t;

static char *note_slots(const void *ctx, const diff_ctx_t *w, const char *name);
static char *note_buffer(const void *ctx, const diff_ctx_t *w,
			 const char *name);
static char *note_repeatable(const void *ctx, const diff_ctx_t *w,
			     const char *name);
static void diff_object(diff_ctx_t *w, const char *noun, const char *name,
			const char *prefix, const json_t *old,
			const json_t *new);
static void diff_value(diff_ctx_t *w, const char *noun, const char *name,
		       const char *key, const json_t *old, const json_t *new);
static void diff_list(diff_ctx_t *w, const list_desc_t *list_desc,
		      const json_t *old, const json_t *new);
static void diff_items(diff_ctx_t *w, const list_desc_t *list_desc,
		       const json_t *in_old, const json_t *new);
static char *item_name(const void *ctx, const json_t *item);
static json_t *index_by_name(const json_t *list);
static char *shared_names(const void *ctx, const json_t *list,
			  const json_t *others);
static char *note_for(const void *ctx, const diff_ctx_t *w, const char *noun,
		      const char *key, const char *name);
static char *subject_of(const void *ctx, const char *noun, const char *name);
static void add_change(diff_ctx_t *w, conf_change_kind_t kind, char *subject,
		       const char *key, char *text);
static conf_totals_t totals_of(const conf_t *conf);
static int64_t count_moves(const conf_t *old, const conf_t *new);
static int64_t placed_executors(const conf_t *conf, base_str_t pool,
				base_str_t zone);

static const list_desc_t list_descs[] = {
	{ "zones", "zone" },	 { "pools", "pool" }, { "classes", "class" },
	{ "callers", "caller" }, { "teams", "team" },
};

static const note_t notes[] = {
	{ "pool", "", note_slots },
	{ "pool", "executors", note_slots },
	{ "pool", "slots", note_slots },
	{ "pool", "budget.min_up", note_buffer },
	{ "class", "repeatable", note_repeatable },
};

conf_diff_t *conf_diff(const void *ctx, const conf_t *old, const conf_t *new)
{
	conf_diff_t *diff = talloc_zero(ctx, conf_diff_t);
	diff_ctx_t w = { diff, old, new };
	json_t *a = conf_encode(old, CONF_IN_ANSWERS);
	json_t *b = conf_encode(new, CONF_IN_ANSWERS);

	diff_object(&w, "", "", "", a, b);
	for (size_t i = 0; i < ARRAY_SIZE(list_descs); i++)
		diff_list(&w, &list_descs[i],
			  json_object_get(a, list_descs[i].key),
			  json_object_get(b, list_descs[i].key));
	diff->before = totals_of(old);
	diff->after = totals_of(new);
	diff->moves = count_moves(old, new);
	json_decref(a);
	json_decref(b);
	return diff;
}

char *conf_diff_print(const void *ctx, const conf_diff_t *diff)
{
	base_buf_t *buf = base_buf_new(NULL);
	const conf_totals_t *was = &diff->before, *is = &diff->after;
	char *text;

	for (size_t i = 0; i < diff->n; i++)
		base_buf_addf(buf, "%s\n", diff->v[i].text);
	if (!diff->n) {
		talloc_free(buf);
		return talloc_strdup(ctx, "no change\n");
	}
	base_buf_addf(buf,
		      "capacity: %" PRId64 " requests at once, was %" PRId64
		      " (%+" PRId64 ")\n",
		      is->slots, was->slots, is->slots - was->slots);
	base_buf_addf(buf,
		      "buffer: %" PRId64
		      " executors above what must be up, was %" PRId64
		      " (%+" PRId64 ")\n",
		      is->buffer, was->buffer, is->buffer - was->buffer);
	base_buf_addf(buf, "moves: %" PRId64 " (instances that change pool)\n",
		      diff->moves);
	text = base_str_dup(ctx, base_buf_str(buf));
	talloc_free(buf);
	return text;
}

/*
 * Compares two objects, which have the same members because one field table
 * encoded them.
 */
static void diff_object(diff_ctx_t *w, const char *noun, const char *name,
			const char *prefix, const json_t *old,
			const json_t *new)
{
	const json_t *b;
	const char *key;

	json_object_foreach((json_t *)new, key, b)
	{
		const json_t *a = json_object_get(old, key);
		char *full = talloc_asprintf(NULL, "%s%s", prefix, key);

		if (json_is_object(b))
			diff_object(w, noun, name,
				    talloc_asprintf(full, "%s.", full), a, b);
		else if (!json_is_array(b) && !json_equal(a, b))
			diff_value(w, noun, name, full, a, b);
		talloc_free(full);
	}
}

static void diff_value(diff_ctx_t *w, const char *noun, const char *name,
		       const char *key, const json_t *old, const json_t *new)
{
	char *was = json_dumps(old, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	char *is = json_dumps(new, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	char *subject = subject_of(w->diff, noun, name);
	char *note = note_for(subject, w, noun, key, name);
	char *text =
		talloc_asprintf(subject, "%s%s%s: %s becomes %s%s", subject,
				*subject ? ": " : "", key, was, is, note);

	add_change(w, CONF_CHANGE_VALUE, subject, key, text);
	free(was);
	free(is);
}

static void diff_list(diff_ctx_t *w, const list_desc_t *list_desc,
		      const json_t *old, const json_t *new)
{
	void *tmp = talloc_new(NULL);
	json_t *in_old = index_by_name(old), *in_new = index_by_name(new);
	const json_t *item;
	size_t i;

	json_array_foreach(old, i, item)
	{
		char *name = item_name(tmp, item);
		char *subject = subject_of(w->diff, list_desc->noun, name);

		if (!json_object_get(in_new, name))
			add_change(w, CONF_CHANGE_REMOVED, subject, "",
				   talloc_asprintf(
					   subject, "%s: removed%s", subject,
					   note_for(tmp, w, list_desc->noun, "",
						    name)));
	}
	diff_items(w, list_desc, in_old, new);
	if (strcmp(shared_names(tmp, old, in_new),
		   shared_names(tmp, new, in_old)) != 0) {
		char *subject = talloc_strdup(w->diff, list_desc->key);

		add_change(w, CONF_CHANGE_ORDER, subject, "",
			   talloc_asprintf(subject, "%s: in another order",
					   subject));
	}
	json_decref(in_old);
	json_decref(in_new);
	talloc_free(tmp);
}

static void diff_items(diff_ctx_t *w, const list_desc_t *list_desc,
		       const json_t *in_old, const json_t *new)
{
	const json_t *item;
	size_t i;

	json_array_foreach(new, i, item)
	{
		char *name = item_name(NULL, item);
		const json_t *before = json_object_get(in_old, name);
		char *subject;

		if (before) {
			diff_object(w, list_desc->noun, name, "", before, item);
		} else {
			subject = subject_of(w->diff, list_desc->noun, name);
			add_change(w, CONF_CHANGE_ADDED, subject, "",
				   talloc_asprintf(
					   subject, "%s: added%s", subject,
					   note_for(subject, w, list_desc->noun,
						    "", name)));
		}
		talloc_free(name);
	}
}

/* A class name is unique only within its pool, so the pool is added. */
static char *item_name(const void *ctx, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *pool = json_string_value(json_object_get(item, "pool"));

	if (pool)
		return talloc_asprintf(ctx, "%s/%s", pool, name);
	return talloc_strdup(ctx, name);
}

/* Indexes the items of a list by name. */
static json_t *index_by_name(const json_t *list)
{
	json_t *index = json_object();
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		char *name = item_name(NULL, item);

		json_object_set(index, name, item);
		talloc_free(name);
	}
	return index;
}

/* The names in "list" that "others" has too, in list order. */
static char *shared_names(const void *ctx, const json_t *list,
			  const json_t *others)
{
	char *out = talloc_strdup(ctx, "");
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		char *name = item_name(NULL, item);

		if (json_object_get(others, name))
			out = talloc_asprintf_append_buffer(out, "%s ", name);
		talloc_free(name);
	}
	return out;
}

static char *note_for(const void *ctx, const diff_ctx_t *w, const char *noun,
		      const char *key, const char *name)
{
	for (size_t i = 0; i < ARRAY_SIZE(notes); i++)
		if (!strcmp(notes[i].noun, noun) && !strcmp(notes[i].key, key))
			return notes[i].fn(ctx, w, name);
	return talloc_strdup(ctx, "");
}

static char *note_slots(const void *ctx, const diff_ctx_t *w, const char *name)
{
	const conf_pool_t *a = conf_pool(w->old, base_str(name));
	const conf_pool_t *b = conf_pool(w->new, base_str(name));

	return talloc_asprintf(ctx,
			       "; %" PRId64 " requests at once, was %" PRId64,
			       b ? b->executors * b->slots : 0,
			       a ? a->executors * a->slots : 0);
}

static char *note_buffer(const void *ctx, const diff_ctx_t *w, const char *name)
{
	const conf_pool_t *a = conf_pool(w->old, base_str(name));
	const conf_pool_t *b = conf_pool(w->new, base_str(name));

	return talloc_asprintf(
		ctx, "; %" PRId64 " executors of buffer, was %" PRId64,
		b->executors - b->budget.min_up,
		a->executors - a->budget.min_up);
}

static char *note_repeatable(const void *ctx, const diff_ctx_t *w,
			     const char *name)
{
	const char *slash = strchr(name, '/');
	base_str_t pool = { name, (size_t)(slash - name) };
	const conf_class_t *cl = conf_class(w->new, pool, base_str(slash + 1));

	return talloc_strdup(ctx, cl->repeatable
					  ? "; it may now run twice"
					  : "; it now runs at most once, and "
					    "callers name each request");
}

static char *subject_of(const void *ctx, const char *noun, const char *name)
{
	return talloc_asprintf(ctx, "%s%s%s", noun, *noun ? " " : "", name);
}

static void add_change(diff_ctx_t *w, conf_change_kind_t kind, char *subject,
		       const char *key, char *text)
{
	conf_diff_t *diff = w->diff;

	diff->v = talloc_realloc(diff, diff->v, conf_change_t,
				 (unsigned)(diff->n + 1));
	diff->v[diff->n++] = (conf_change_t){
		.kind = kind,
		.subject = subject,
		.key = talloc_strdup(subject, key),
		.text = text,
	};
}

static conf_totals_t totals_of(const conf_t *conf)
{
	conf_totals_t totals = { 0, 0 };

	for (size_t i = 0; i < conf->n_pools; i++) {
		const conf_pool_t *p = &conf->pools[i];

		totals.slots += p->executors * p->slots;
		totals.buffer += p->executors - p->budget.min_up;
	}
	return totals;
}

/*
 * Returns the fewest instances that must change pool.  In each zone, an
 * instance that joins a pool comes from another pool or was free, and one that
 * leaves a pool joins another or becomes free.  One move can therefore count
 * as a join and a leave, and a zone needs the larger of the two numbers.
 */
static int64_t count_moves(const conf_t *old, const conf_t *new)
{
	int64_t moves = 0;

	for (size_t z = 0; z < new->n_zones; z++) {
		base_str_t zone = new->zones[z].name;
		int64_t joined = 0, left = 0;

		for (size_t i = 0; i < new->n_pools; i++) {
			base_str_t pool = new->pools[i].name;

			joined += MAX(
				0, placed_executors(new, pool, zone) -
					   placed_executors(old, pool, zone));
		}
		for (size_t i = 0; i < old->n_pools; i++) {
			base_str_t pool = old->pools[i].name;

			left += MAX(0,
				    placed_executors(old, pool, zone) -
					    placed_executors(new, pool, zone));
		}
		moves += MAX(joined, left);
	}
	return moves;
}

static int64_t placed_executors(const conf_t *conf, base_str_t pool,
				base_str_t zone)
{
	const conf_pool_t *p = conf_pool(conf, pool);

	for (size_t i = 0; p && i < p->n_placement; i++)
		if (base_str_eq(p->placement[i].zone, zone))
			return p->placement[i].executors;
	return 0;
}
