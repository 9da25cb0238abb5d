#ifndef EGRET_ADMISSION_RATE_LIMITER_H
#define EGRET_ADMISSION_RATE_LIMITER_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	rate_limiter - bound on the calls that start within any second
 *
 * DESCRIPTION
 *	A state machine without I/O, for a target during its cold start. It keeps
 *	the time of each recent start (a sliding window log), so that no interval of
 *	one second holds more starts than the bound, and no interval of 100 ms more
 *	than a tenth of the bound (at least 1).
 */

typedef struct rate_limiter rate_limiter_t;

rate_limiter_t *rate_limiter_create(void);
void rate_limiter_destroy(rate_limiter_t *limiter);

/* Bounds the starts to `per_second` (1 to 4096; other values are clamped) until
 * `until`. Starts recorded before the call still count. */
void rate_limiter_set(rate_limiter_t *limiter, uint32_t per_second, usec_t until);

/* Returns whether the bound applies at `now`. */
bool rate_limiter_is_active(const rate_limiter_t *limiter, usec_t now);

/* Returns whether a call may start now; rate_limiter_record() records its start. */
bool rate_limiter_allows(const rate_limiter_t *limiter, usec_t now);
void rate_limiter_record(rate_limiter_t *limiter, usec_t now);

uint32_t rate_limiter_per_second(const rate_limiter_t *limiter);

#endif
