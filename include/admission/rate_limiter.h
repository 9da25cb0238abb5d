#ifndef EGRET_ADMISSION_RATE_LIMITER_H
#define EGRET_ADMISSION_RATE_LIMITER_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	pace - bound on the calls that start within any second
 *
 * DESCRIPTION
 *	A state machine without I/O for a target that is cold. The span is
 *	sliding: the starts of the last second are remembered one by one, so that
 *	no second holds more than the bound, wherever it begins, and no tenth of
 *	one more than a tenth of it (at least 1).
 */

typedef struct rate_limiter rate_limiter_t;

rate_limiter_t *rate_limiter_create(void);
void rate_limiter_destroy(rate_limiter_t *limiter);

/* Bounds the starts to `per_second` (at least 1) until `until`. The starts that
 * were counted before stay counted. */
void rate_limiter_set(rate_limiter_t *limiter, uint32_t per_second, usec_t until);

/* Whether the bound is in force. */
bool rate_limiter_is_active(const rate_limiter_t *limiter, usec_t now);

/* Whether a call may start now; rate_limiter_record() counts one. */
bool rate_limiter_allows(const rate_limiter_t *limiter, usec_t now);
void rate_limiter_record(rate_limiter_t *limiter, usec_t now);

uint32_t rate_limiter_per_second(const rate_limiter_t *limiter);

#endif
