#include <stdlib.h>

#include "peer_int.h"

static bool code_of(const peer_t *peer, const peer_sealed *sealed,
		    guint8 code[PEER_MAC_LEN]);

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
		peer_unseal(out);
	return ok;
}

bool peer_reseal(const peer_t *peer, peer_sealed *sealed)
{
	return code_of(peer, sealed, (guint8 *)sealed->mac);
}

void peer_unseal(peer_sealed *sealed)
{
	free(sealed->body.body_val);
	sealed->body.body_val = NULL;
	sealed->body.body_len = 0;
}

bool peer_seal_check(const peer_t *peer, const peer_sealed *sealed)
{
	guint8 code[PEER_MAC_LEN];
	guint8 differ = 0;

	if (!code_of(peer, sealed, code))
		return false;
	/* The time that this takes does not tell how much was right. */
	for (size_t i = 0; i < PEER_MAC_LEN; i++)
		differ |= code[i] ^ (guint8)sealed->mac[i];
	return !differ;
}

void peer_open(XDR *xdrs, const peer_sealed *sealed)
{
	xdrmem_create(xdrs, sealed->body.body_val, sealed->body.body_len,
		      XDR_DECODE);
}

bool peer_open_done(XDR *xdrs, const peer_sealed *sealed)
{
	return xdr_getpos(xdrs) == sealed->body.body_len;
}

static bool code_of(const peer_t *peer, const peer_sealed *sealed,
		    guint8 code[PEER_MAC_LEN])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256,
				 (const guchar *)peer->key.ptr, peer->key.len);
	gsize len = PEER_MAC_LEN;

	if (!hmac)
		return false;
	g_hmac_update(hmac, (const guchar *)sealed->body.body_val,
		      sealed->body.body_len);
	g_hmac_get_digest(hmac, code, &len);
	g_hmac_unref(hmac);
	return len == PEER_MAC_LEN;
}
