#include <sys/random.h>

#include "entry_int.h"

/*
 * Request ids: 64 random bits drawn once per process, and a counter.  GLib's
 * UUIDs take a process-wide lock for every four bytes.
 */

#define HEX_DIGITS 16 /* hexadecimal digits of 64 bits */

static void draw_prefix(void);
static char *add_hex(char *out, uint64_t value);

static pthread_once_t prefix_once = PTHREAD_ONCE_INIT;
static uint64_t process_prefix;
static atomic_ullong id_count;

void entry_id_make(char out[ENTRY_ID_MAX])
{
	pthread_once(&prefix_once, draw_prefix);
	out = add_hex(out, process_prefix);
	*out++ = '-';
	out = add_hex(out, atomic_fetch_add(&id_count, 1));
	*out = '\0';
}

static void draw_prefix(void)
{
	if (getrandom(&process_prefix, sizeof(process_prefix), 0) !=
	    sizeof(process_prefix))
		process_prefix = (uint64_t)base_clock_wall();
}

static char *add_hex(char *out, uint64_t value)
{
	static const char hex[] = "0123456789abcdef";

	for (int i = HEX_DIGITS - 1; i >= 0; i--) {
		out[i] = hex[value & 15];
		value >>= 4;
	}
	return out + HEX_DIGITS;
}
