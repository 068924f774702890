#include <sys/random.h>

#include "entry_int.h"

/*
 * Ids of requests: the process's draw of 64 bits and a count.  GLib's UUIDs
 * take a lock of the whole process for each four bytes.
 */

#define HEX_DIGITS 16 /* of 64 bits */

static void draw(void);
static char *add_hex(char *out, uint64_t value);

static pthread_once_t drawn = PTHREAD_ONCE_INIT;
static uint64_t process;
static atomic_ullong count;

void entry_id_make(char out[ENTRY_ID_MAX])
{
	pthread_once(&drawn, draw);
	out = add_hex(out, process);
	*out++ = '-';
	out = add_hex(out, atomic_fetch_add(&count, 1));
	*out = '\0';
}

static void draw(void)
{
	if (getrandom(&process, sizeof(process), 0) != sizeof(process))
		process = (uint64_t)base_clock_wall();
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
