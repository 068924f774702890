#include <errno.h>
#include <time.h>

#include "base_int.h"

static int64_t read_clock(clockid_t id);

int64_t base_clock_mono(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

int64_t base_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

int64_t base_clock_processor(void)
{
	return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

void base_clock_sleep(int64_t us)
{
	struct timespec left = { us / BASE_SEC, us % BASE_SEC * 1000 };

	while (nanosleep(&left, &left) && errno == EINTR)
		continue;
}

static int64_t read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * BASE_SEC + now.tv_nsec / 1000;
}
