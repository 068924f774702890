#include <stdlib.h>

#include "peer_int.h"

static bool compute_mac(const peer_t *peer, const peer_sealed *sealed,
			guint8 mac[PEER_MAC_LEN]);

bool peer_seal(const peer_t *peer, peer_sealed *out, xdrproc_t xdr_head,
	       void *head, xdrproc_t xdr_args, void *args)
{
	char *buf = malloc(PEER_BODY_MAX);
	XDR xdrs;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (!buf)
		return false;
	out->body.body_val = buf;
	xdrmem_create(&xdrs, buf, PEER_BODY_MAX, XDR_ENCODE);
	ok = xdr_head(&xdrs, head) && (!xdr_args || xdr_args(&xdrs, args));
	out->body.body_len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (ok)
		ok = peer_reseal(peer, out);
	if (!ok)
		peer_sealed_free(out);
	return ok;
}

bool peer_reseal(const peer_t *peer, peer_sealed *sealed)
{
	return compute_mac(peer, sealed, (guint8 *)sealed->mac);
}

void peer_sealed_free(peer_sealed *sealed)
{
	free(sealed->body.body_val);
	sealed->body.body_val = NULL;
	sealed->body.body_len = 0;
}

bool peer_seal_check(const peer_t *peer, const peer_sealed *sealed)
{
	guint8 mac[PEER_MAC_LEN];
	guint8 differ = 0;

	if (!compute_mac(peer, sealed, mac))
		return false;
	/* Constant time, so as not to reveal the length of a match. */
	for (size_t i = 0; i < PEER_MAC_LEN; i++)
		differ |= mac[i] ^ (guint8)sealed->mac[i];
	return !differ;
}

void peer_decode_begin(XDR *xdrs, const peer_sealed *sealed)
{
	xdrmem_create(xdrs, sealed->body.body_val, sealed->body.body_len,
		      XDR_DECODE);
}

bool peer_decode_done(XDR *xdrs, const peer_sealed *sealed)
{
	return xdr_getpos(xdrs) == sealed->body.body_len;
}

static bool compute_mac(const peer_t *peer, const peer_sealed *sealed,
			guint8 mac[PEER_MAC_LEN])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256,
				 (const guchar *)peer->key.ptr, peer->key.len);
	gsize len = PEER_MAC_LEN;

	if (!hmac)
		return false;
	g_hmac_update(hmac, (const guchar *)sealed->body.body_val,
		      sealed->body.body_len);
	g_hmac_get_digest(hmac, mac, &len);
	g_hmac_unref(hmac);
	return len == PEER_MAC_LEN;
}
