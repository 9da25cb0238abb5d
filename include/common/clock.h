#ifndef EGRET_COMMON_CLOCK_H
#define EGRET_COMMON_CLOCK_H

#include <stdint.h>

/*
 * NAME
 *	clock - time as the I/O shell reads it
 *
 * DESCRIPTION
 *	All instants and durations inside the project are microseconds in
 *	usec_t. Decision modules never call these functions: they take `now`
 *	as a parameter.
 *
 *	The package also gives gettimeofday(2) of the process the monotonic clock,
 *	by which libtevent counts its timers.
 */

typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

/* Time since boot, suspension included; never goes back. Any thread. */
usec_t clock_boot_usec(void);

/* Wall-clock time, for log lines and generation numbers only. Any thread. */
usec_t clock_wall_usec(void);

#endif
