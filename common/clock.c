#include "common/clock.h"

#include <time.h>

static usec_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (usec_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

usec_t clock_boot_usec(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

usec_t clock_wall_usec(void)
{
	return read_clock(CLOCK_REALTIME);
}
