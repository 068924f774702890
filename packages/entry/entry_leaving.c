#include "entry_memb.h"
#include "peer_proto_xdr.h"

/*
 * An entry that learns that an endpoint is leaving tells the other entries at
 * once: probes and answers reach only some of them, and the platform's list may
 * be down.  A message that is lost is sent again after the next probe.
 */

static bool on_leaving(void *arg, const peer_sender_t *from, const void *args,
		       void *res);
static size_t list_peers(entry_memb_t *memb, const void *ctx, peer_dest_t **to);

void entry_leaving_register(entry_memb_t *memb)
{
	peer_set_handler(memb->peer, PEER_LEAVING, on_leaving, memb);
}

void entry_leaving_notify(entry_daemon_t *daemon, const char *instance,
			  const char *incarnation, bool again)
{
	peer_leaving leaving = { (char *)instance, (char *)incarnation };
	bool is_new = entry_route_mark_leaving(
		daemon->route, base_str(instance), base_str(incarnation));
	void *ctx;
	peer_dest_t *to;
	size_t n;

	if (!is_new && !again)
		return;
	ctx = talloc_new(NULL);
	n = list_peers(daemon->memb, ctx, &to);
	for (size_t i = 0; i < n; i++)
		peer_send(daemon->memb->peer, &to[i], PEER_LEAVING, &leaving);
	talloc_free(ctx);
}

/*
 * Does not forward the message, because its sender has sent it to all entries.
 */
static bool on_leaving(void *arg, const peer_sender_t *from, const void *args,
		       void *res)
{
	const peer_leaving *leaving = args;
	entry_memb_t *memb = arg;

	(void)from;
	(void)res;
	entry_route_mark_leaving(memb->daemon->route,
				 base_str(leaving->instance),
				 base_str(leaving->incarnation));
	return true;
}

static size_t list_peers(entry_memb_t *memb, const void *ctx, peer_dest_t **to)
{
	size_t n = 0;

	pthread_mutex_lock(&memb->lock);
	*to = talloc_zero_array(ctx, peer_dest_t, memb_count(memb->core));
	/* The first record is this entry. */
	for (size_t i = 1; i < memb_count(memb->core); i++) {
		const memb_record_t *rec = memb_at(memb->core, i);

		if (rec->state != MEMB_ALIVE && rec->state != MEMB_SUSPECT)
			continue;
		(*to)[n].addr = (peer_addr_t){ rec->addr.ip, rec->addr.port };
		(*to)[n++].zone = talloc_strdup(ctx, rec->zone);
	}
	pthread_mutex_unlock(&memb->lock);
	return n;
}
