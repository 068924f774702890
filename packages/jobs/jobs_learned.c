/* Conversion of learned sizes and run times to and from JSON. */
#include <jansson.h>

#include "jobs_int.h"

/* Accelerators, the last kind, are not learned. */
#define LEARNED_KINDS JOBS_ACCELERATORS
#define SAMPLE_MAX ((json_int_t)1 << 50) /* sums cannot overflow */

static int by_samples(const void *a, const void *b);
static json_t *family_print(const jobs_family_t *family);
static json_t *samples_print(const int64_t *samples, uint32_t n);
static bool family_load(jobs_t *jobs, json_t *json);
static bool samples_load(json_t *json, int64_t *samples, uint32_t n);
static bool set_error(GError **err);

char *jobs_learned_print(const jobs_t *jobs, const void *ctx, size_t max)
{
	GList *all = g_list_sort(g_hash_table_get_values(jobs->families),
				 by_samples);
	base_buf_t *out = base_buf_new(NULL);
	char *text;

	base_buf_adds(out, "[");
	for (GList *l = all; l && ((jobs_family_t *)l->data)->n; l = l->next) {
		json_t *json = family_print(l->data);
		char *dump = json_dumps(json, JSON_COMPACT);
		bool fits = out->len + strlen(dump) + 2 <= max;

		if (fits && out->len > 1)
			base_buf_adds(out, ",");
		if (fits)
			base_buf_adds(out, dump);
		free(dump);
		json_decref(json);
		if (!fits)
			break;
	}
	base_buf_adds(out, "]");
	text = talloc_strdup(ctx, out->ptr);
	talloc_free(out);
	g_list_free(all);
	return text;
}

bool jobs_learned_load(jobs_t *jobs, base_str_t json, GError **err)
{
	json_t *root =
		json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, NULL);
	bool valid = json_is_array(root);
	json_t *item;
	size_t i;

	json_array_foreach(root, i, item) valid =
		valid && family_load(jobs, item);
	json_decref(root);
	return valid || set_error(err);
}

/* Most samples first, then by name, so that the order is deterministic. */
static int by_samples(const void *a, const void *b)
{
	const jobs_family_t *x = a, *y = b;

	if (x->n != y->n)
		return x->n < y->n ? 1 : -1;
	return strcmp(x->name, y->name);
}

static json_t *family_print(const jobs_family_t *family)
{
	uint32_t n = MIN(family->n, JOBS_SAMPLES);
	json_t *peaks = json_array();

	for (int k = 0; k < LEARNED_KINDS; k++)
		json_array_append_new(peaks, samples_print(family->peak[k], n));
	return json_pack("{s:s,s:I,s:o,s:o,s:o,s:f,s:f}", "family",
			 family->name, "n", (json_int_t)family->n, "peak",
			 peaks, "run_us", samples_print(family->run_us, n),
			 "running",
			 samples_print(family->running.v, JOBS_KIND_MAX),
			 "runs", family->runs, "fails", family->fails);
}

static json_t *samples_print(const int64_t *samples, uint32_t n)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(out, json_integer(samples[i]));
	return out;
}

static bool family_load(jobs_t *jobs, json_t *json)
{
	jobs_family_t read = { 0 }, *family;
	json_t *peak, *run_us, *running;
	const char *name;
	json_int_t n;
	uint32_t kept;

	if (json_unpack_ex(json, NULL, JSON_STRICT,
			   "{s:s,s:I,s:o,s:o,s:o,s:F,s:F}", "family", &name,
			   "n", &n, "peak", &peak, "run_us", &run_us, "running",
			   &running, "runs", &read.runs, "fails",
			   &read.fails) ||
	    !*name || strlen(name) > JOBS_ID_MAX || n < 1 || n > UINT32_MAX ||
	    read.runs < 0 || read.fails < 0 ||
	    json_array_size(peak) != LEARNED_KINDS)
		return false;
	kept = (uint32_t)MIN(n, JOBS_SAMPLES);
	for (size_t k = 0; k < LEARNED_KINDS; k++)
		if (!samples_load(json_array_get(peak, k), read.peak[k], kept))
			return false;
	if (!samples_load(run_us, read.run_us, kept) ||
	    !samples_load(running, read.running.v, JOBS_KIND_MAX))
		return false;
	family = jobs_family_get(jobs, base_str(name));
	if (family->n)
		return true;
	read.name = family->name;
	read.n = (uint32_t)n;
	jobs_raise(&read.running, &family->running);
	*family = read;
	jobs_family_relearn(family);
	return true;
}

static bool samples_load(json_t *json, int64_t *samples, uint32_t n)
{
	if (json_array_size(json) != n)
		return false;
	for (size_t i = 0; i < n; i++) {
		json_t *item = json_array_get(json, i);

		if (!json_is_integer(item) || json_integer_value(item) < 0 ||
		    json_integer_value(item) > SAMPLE_MAX)
			return false;
		samples[i] = json_integer_value(item);
	}
	return true;
}

static bool set_error(GError **err)
{
	g_set_error(err, JOBS_ERROR, JOBS_ERR_RECORD,
		    "invalid data of learned job sizes");
	return false;
}
