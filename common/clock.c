#include "common/clock.h"

#include <sys/time.h>
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

usec_t clock_process_usec(void)
{
	return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

/* Replaces gettimeofday(2) with the monotonic clock. libtevent computes timer expiry with
 * it, and a step of the wall clock would delay all timers or fire them at once. Code of
 * this project must not call it. */
int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
	(void)zone;
	usec_t usec = read_clock(CLOCK_MONOTONIC);

	now->tv_sec = (time_t)(usec / USEC_PER_SEC);
	now->tv_usec = (suseconds_t)(usec % USEC_PER_SEC);
	return 0;
}
