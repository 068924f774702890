#include <xxhash.h>

#include "entry_memb.h"
#include "peer_proto_xdr.h"

/*
 * Fetches only those parts of a newer configuration that differ from the one in
 * force.  If anything does not match, the whole configuration is pulled.
 */

static bool answer_parts(void *arg, const peer_sender_t *from, const void *args,
			 void *res);
static bool answer_pick(void *arg, const peer_sender_t *from, const void *args,
			void *res);
static bool is_held(const entry_shared_config_t *held, uint64_t generation,
		    uint64_t digest);
static void fill_list(const entry_shared_config_t *held, peer_parts_list *list);
static void fill_pieces(const entry_shared_config_t *held,
			const peer_pick_get *get, peer_pieces *pieces);
static memb_parts_t *fetch_list(entry_memb_t *memb, const entry_pull_t *pull,
				const void *ctx, base_str_t own_text);
static bool fetch_pieces(entry_memb_t *memb, const entry_pull_t *pull,
			 memb_parts_t *parts);
static bool store_pieces(memb_parts_t *parts, const peer_pick_get *get,
			 const peer_pieces *pieces);

void entry_parts_register(entry_memb_t *memb)
{
	peer_set_handler(memb->peer, PEER_PARTS, answer_parts, memb);
	peer_set_handler(memb->peer, PEER_PICK, answer_pick, memb);
}

bool entry_parts_fetch(entry_memb_t *memb, const entry_pull_t *pull,
		       base_buf_t *text)
{
	entry_view_t *view = entry_view_hold(memb->daemon->views);
	void *ctx = talloc_new(NULL);
	memb_parts_t *parts = NULL;
	bool ok;

	if (view->record)
		parts = fetch_list(memb, pull, ctx, view->text);
	/*
	 * If every part is missing, pulling the whole configuration is
	 * cheaper.
	 */
	ok = parts && parts->missing < parts->n;
	while (ok && parts->missing)
		ok = fetch_pieces(memb, pull, parts);
	ok = ok && memb_parts_join(parts, text, ENTRY_CONFIG_TEXT_MAX) &&
	     XXH64(text->ptr, text->len, 0) == pull->digest;
	entry_view_release(view);
	talloc_free(ctx);
	return ok;
}

static bool answer_parts(void *arg, const peer_sender_t *from, const void *args,
			 void *res)
{
	entry_memb_t *memb = arg;
	const peer_parts_get *get = args;

	(void)from;
	pthread_mutex_lock(&memb->lock);
	if (is_held(&memb->shared_config, get->generation, get->digest))
		fill_list(&memb->shared_config, res);
	pthread_mutex_unlock(&memb->lock);
	return true;
}

static bool answer_pick(void *arg, const peer_sender_t *from, const void *args,
			void *res)
{
	entry_memb_t *memb = arg;
	const peer_pick_get *get = args;

	(void)from;
	pthread_mutex_lock(&memb->lock);
	if (is_held(&memb->shared_config, get->generation, get->digest))
		fill_pieces(&memb->shared_config, get, res);
	pthread_mutex_unlock(&memb->lock);
	return true;
}

static bool is_held(const entry_shared_config_t *held, uint64_t generation,
		    uint64_t digest)
{
	return held->view &&
	       (uint64_t)held->view->record->generation == generation &&
	       held->digest == digest && held->parts->n <= PEER_PARTS_MAX;
}

static void fill_list(const entry_shared_config_t *held, peer_parts_list *list)
{
	size_t n = held->parts->n;

	list->generation = (uint64_t)held->view->record->generation;
	list->digest = held->digest;
	list->parts.parts_val = calloc(n, sizeof(*list->parts.parts_val));
	list->parts.parts_len = (u_int)n;
	for (size_t i = 0; i < n; i++)
		list->parts.parts_val[i] = held->parts->items[i].digest;
}

static void fill_pieces(const entry_shared_config_t *held,
			const peer_pick_get *get, peer_pieces *pieces)
{
	u_int n = get->index.index_len;
	size_t bytes = 0;

	pieces->generation = (uint64_t)held->view->record->generation;
	pieces->digest = held->digest;
	pieces->pieces.pieces_val = calloc(n, sizeof(peer_piece));
	for (u_int i = 0; i < n && get->index.index_val[i] < held->parts->n;
	     i++) {
		const memb_part_t *part =
			&held->parts->items[get->index.index_val[i]];
		peer_piece *piece = &pieces->pieces.pieces_val[i];

		bytes += part->text.len;
		if (i && bytes > PEER_CHUNK_MAX)
			break;
		piece->data.data_len = (u_int)part->text.len;
		piece->data.data_val = malloc(part->text.len);
		memcpy(piece->data.data_val, part->text.ptr, part->text.len);
		pieces->pieces.pieces_len = i + 1;
	}
}

/*
 * Fetches the digests of the parts of the configuration that "pull" names, and
 * fills in the parts that "own_text" has.  NULL if the peer does not answer or
 * no longer has that configuration.
 */
static memb_parts_t *fetch_list(entry_memb_t *memb, const entry_pull_t *pull,
				const void *ctx, base_str_t own_text)
{
	peer_dest_t to = { .addr = pull->addr, .zone = pull->zone };
	peer_parts_get get = { pull->generation, pull->digest };
	memb_parts_t *parts = NULL;
	uint64_t *digests;
	peer_parts_list list;
	u_int n;

	if (kern_thread_is_stopping(memb->pulls) ||
	    peer_call(memb->peer, &to, PEER_PARTS, &get, &list,
		      ENTRY_PART_TIMEOUT_US) != PEER_ANSWERED)
		return NULL;
	n = list.parts.parts_len;
	digests = talloc_array(ctx, uint64_t, n);
	for (u_int i = 0; i < n; i++)
		digests[i] = list.parts.parts_val[i];
	if (n && list.generation == pull->generation &&
	    list.digest == pull->digest)
		parts = memb_parts_match(ctx, digests, n,
					 memb_parts_cut(ctx, own_text));
	peer_free_res(PEER_PARTS, &list);
	return parts;
}

static bool fetch_pieces(entry_memb_t *memb, const entry_pull_t *pull,
			 memb_parts_t *parts)
{
	peer_dest_t to = { .addr = pull->addr, .zone = pull->zone };
	peer_pick_get get = { pull->generation, pull->digest, { 0 } };
	uint32_t indices[PEER_PICK_MAX];
	peer_pieces pieces;
	bool ok;

	get.index.index_val = indices;
	get.index.index_len =
		(u_int)memb_parts_missing(parts, indices, PEER_PICK_MAX);
	if (kern_thread_is_stopping(memb->pulls) ||
	    peer_call(memb->peer, &to, PEER_PICK, &get, &pieces,
		      ENTRY_PART_TIMEOUT_US) != PEER_ANSWERED)
		return false;
	ok = pieces.generation == pull->generation &&
	     pieces.digest == pull->digest &&
	     store_pieces(parts, &get, &pieces);
	peer_free_res(PEER_PICK, &pieces);
	return ok;
}

/*
 * Stores the parts from a peer's answer, which must hold at least one part and
 * only requested ones.
 */
static bool store_pieces(memb_parts_t *parts, const peer_pick_get *get,
			 const peer_pieces *pieces)
{
	u_int n = pieces->pieces.pieces_len;
	bool ok = n && n <= get->index.index_len;

	for (u_int i = 0; ok && i < n; i++) {
		const peer_piece *piece = &pieces->pieces.pieces_val[i];
		base_str_t text = { piece->data.data_val,
				    piece->data.data_len };

		ok = memb_parts_take(parts, get->index.index_val[i], text);
	}
	return ok;
}
