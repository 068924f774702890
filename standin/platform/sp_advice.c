#include "sp_int.h"

#define ADVICE_VALID_MS 1500

/* The ticket of a worker's life for the step of a task. */
static char *ticket(const sp_worker_t *worker, const char *step, size_t len)
{
	return g_strdup_printf("t-%s-%.*s", worker->id, (int)len, step);
}

static bool is_good(const sp_worker_t *worker)
{
	return worker->index % 2 == 0;
}

static const sp_worker_t *find_worker(const sp_t *sp, const char *id)
{
	int i;

	for (i = 0; id && i < sp->n_workers; i++)
		if (sp->workers[i].up && !strcmp(sp->workers[i].id, id))
			return &sp->workers[i];
	return NULL;
}

void sp_advice_serve(sp_t *sp, net_exchange_t *exchange)
{
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *step = json_string_value(json_object_get(root, "step"));
	const json_t *ids = json_object_get(root, "workers");
	json_t *good = json_array();
	size_t i;

	sp->questions++;
	for (i = 0; step && i < json_array_size(ids); i++) {
		const sp_worker_t *worker = find_worker(
			sp, json_string_value(json_array_get(ids, i)));
		char *mark;

		if (!worker || !is_good(worker))
			continue;
		mark = ticket(worker, step, strlen(step));
		json_array_append_new(good,
				      json_pack("[s,s]", worker->id, mark));
		g_free(mark);
	}
	sp_reply_json(exchange, 200,
		      json_pack("{s:o,s:i}", "good", good, "validityMs",
				ADVICE_VALID_MS));
	json_decref(root);
}

bool sp_advice_allows(const sp_worker_t *worker, const sp_run_t *run,
		      const json_t *root)
{
	const char *carried =
		json_string_value(json_object_get(root, "ticket"));
	const char *end = strrchr(run->task, '.');
	char *needed;
	bool ok;

	if (!worker->sp->advice)
		return true;
	/* A task is named by its step and its number in it. */
	needed = ticket(worker, run->task,
			end ? (size_t)(end - run->task) : strlen(run->task));
	ok = is_good(worker) && carried && !strcmp(carried, needed);
	g_free(needed);
	worker->sp->tickets_refused += !ok;
	return ok;
}
