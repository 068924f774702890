#include <xxhash.h>

#include "entry_memb.h"
#include "peer_proto_xdr.h"

/*
 * Pulls a newer configuration from another entry, by parts or whole, and
 * answers pulls of the others.
 */

static bool fetch_whole(entry_memb_t *memb, const entry_pull_t *pull,
			base_buf_t *text);
static bool fetch_part(entry_memb_t *memb, const entry_pull_t *pull,
		       base_buf_t *text, uint32_t *total);
static bool is_next_part(const entry_pull_t *pull, const base_buf_t *text,
			 const peer_config_part *part, uint32_t total);

bool entry_pull_answer(void *arg, const peer_sender_t *from, const void *args,
		       void *res)
{
	entry_memb_t *memb = arg;
	const peer_config_get *get = args;
	peer_config_part *part = res;
	const entry_shared_config_t *held = &memb->shared_config;
	size_t len;

	(void)from;
	pthread_mutex_lock(&memb->lock);
	if (held->view &&
	    (uint64_t)held->view->record->generation == get->generation &&
	    held->digest == get->digest && get->offset < held->view->text.len) {
		base_str_t text = held->view->text;

		len = MIN(text.len - get->offset, (size_t)PEER_CHUNK_MAX);
		part->generation = get->generation;
		part->digest = held->digest;
		part->total = (u_int)text.len;
		part->offset = get->offset;
		part->data.data_len = (u_int)len;
		part->data.data_val = malloc(len);
		memcpy(part->data.data_val, text.ptr + get->offset, len);
	}
	pthread_mutex_unlock(&memb->lock);
	return true;
}

void entry_pull_run(void *arg, void *msg, int64_t now)
{
	entry_memb_t *memb = arg;
	entry_pull_t *pull = msg;
	base_buf_t *text = base_buf_new(pull);
	bool by_parts = entry_parts_fetch(memb, pull, text);
	bool taken = false;

	if (by_parts || fetch_whole(memb, pull, text))
		taken = entry_apply_config(memb->daemon, base_buf_str(text),
					   pull->id);
	else
		base_log(memb->daemon->log, BASE_MSG_CONFIG_PULL_FAILED,
			 BASE_F_STR("from", pull->id),
			 BASE_F_INT("generation", (int64_t)pull->generation));
	if (taken)
		atomic_fetch_add(&memb->pull_counts[by_parts], 1);
	pthread_mutex_lock(&memb->lock);
	/* A complete text that was refused once would be refused again. */
	if (!taken && text->len &&
	    XXH64(text->ptr, text->len, 0) == pull->digest)
		memb->refused_generation = pull->generation;
	if (!taken)
		memb_pull_failed(memb->core, now);
	pthread_mutex_unlock(&memb->lock);
	talloc_free(pull);
}

static bool fetch_whole(entry_memb_t *memb, const entry_pull_t *pull,
			base_buf_t *text)
{
	uint32_t total = 0;

	base_buf_reset(text);
	do {
		if (!fetch_part(memb, pull, text, &total))
			return false;
	} while (text->len < total);
	return XXH64(text->ptr, text->len, 0) == pull->digest;
}

static bool fetch_part(entry_memb_t *memb, const entry_pull_t *pull,
		       base_buf_t *text, uint32_t *total)
{
	peer_dest_t to = { .addr = pull->addr, .zone = pull->zone };
	peer_config_get get = { .generation = pull->generation,
				.digest = pull->digest,
				.offset = (u_int)text->len };
	peer_config_part part;
	bool ok;

	if (kern_thread_is_stopping(memb->pulls) ||
	    peer_call(memb->peer, &to, PEER_CONFIG, &get, &part,
		      ENTRY_PART_TIMEOUT_US) != PEER_ANSWERED)
		return false;
	ok = is_next_part(pull, text, &part, *total);
	if (ok) {
		*total = part.total;
		base_buf_add(text, part.data.data_val, part.data.data_len);
	}
	peer_free_res(PEER_CONFIG, &part);
	return ok;
}

static bool is_next_part(const entry_pull_t *pull, const base_buf_t *text,
			 const peer_config_part *part, uint32_t total)
{
	return part->generation == pull->generation &&
	       part->digest == pull->digest && part->offset == text->len &&
	       part->data.data_len && part->total <= ENTRY_CONFIG_TEXT_MAX &&
	       (!total || part->total == total) &&
	       text->len + part->data.data_len <= part->total;
}
