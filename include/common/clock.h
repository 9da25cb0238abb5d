#ifndef EGRET_COMMON_CLOCK_H
#define EGRET_COMMON_CLOCK_H

#include <stdint.h>

/*
 * NAME
 *	clock - boot-time and wall-clock time in microseconds
 *
 * DESCRIPTION
 *	Points in time and durations are microseconds in usec_t. Only code that
 *	does I/O reads the clock. Modules that hold decision logic take `now` as a
 *	parameter, so that tests control the time.
 *
 *	clock.c also replaces gettimeofday(2) in this process: it returns the
 *	monotonic clock, because libtevent bases its timers on that function.
 */

typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

/* Time since boot, including time in suspend. Never decreases. Any thread. */
usec_t clock_boot_usec(void);

/* Processor time that the process has used, all threads together. Any thread. */
usec_t clock_process_usec(void);

/* Wall-clock time since the Unix epoch, for log lines and generation numbers only.
 * Any thread. */
usec_t clock_wall_usec(void);

#endif
