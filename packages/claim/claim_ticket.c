#include <inttypes.h>

#include "claim_int.h"

#define MAC_CHARS 16 /* 64 bits in hexadecimal */

static int print_without_mac(const claim_ticket_t *ticket, char *text);
static void append_mac(char *text, int len, base_str_t key);

void claim_ticket_print(const claim_ticket_t *ticket, base_str_t key,
			char text[CLAIM_TICKET_SIZE])
{
	append_mac(text, print_without_mac(ticket, text), key);
}

bool claim_ticket_parse(base_str_t text, base_str_t key, claim_ticket_t *ticket)
{
	claim_ticket_t parsed;
	char copy[CLAIM_TICKET_SIZE], reprinted[CLAIM_TICKET_SIZE];

	if (text.len >= sizeof(copy))
		return false;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	if (sscanf(copy, "cf1.%" SCNx64 ".%" SCNx64 ".%" SCNx64, &parsed.epoch,
		   (uint64_t *)&parsed.issued, &parsed.random) != 3)
		return false;
	claim_ticket_print(&parsed, key, reprinted);
	if (strcmp(copy, reprinted) != 0)
		return false;
	*ticket = parsed;
	return true;
}

bool claim_ticket_usable(const claim_ticket_t *ticket, int64_t now_s,
			 int64_t window_us)
{
	int64_t life_s = window_us / 2 / BASE_SEC;

	return now_s - ticket->issued <= life_s &&
	       ticket->issued - now_s <= life_s / 2;
}

static int print_without_mac(const claim_ticket_t *ticket, char *text)
{
	return snprintf(text, CLAIM_TICKET_SIZE,
			"cf1.%" PRIx64 ".%" PRIx64 ".%016" PRIx64,
			ticket->epoch, (uint64_t)ticket->issued,
			ticket->random);
}

static void append_mac(char *text, int len, base_str_t key)
{
	char *mac = g_compute_hmac_for_data(G_CHECKSUM_SHA256,
					    (const guchar *)key.ptr, key.len,
					    (const guchar *)text, (gsize)len);

	snprintf(text + len, (size_t)(CLAIM_TICKET_SIZE - len), ".%.*s",
		 MAC_CHARS, mac);
	g_free(mac);
}
