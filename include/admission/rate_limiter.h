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

typedef struct pace pace_t;

pace_t *pace_create(void);
void pace_destroy(pace_t *pace);

/* Bounds the starts to `per_second` (at least 1) until `until`. The starts that
 * were counted before stay counted. */
void pace_set(pace_t *pace, uint32_t per_second, usec_t until);

/* Whether the bound is in force. */
bool pace_is_on(const pace_t *pace, usec_t now);

/* Whether a call may start now; pace_start() counts one. */
bool pace_allows(const pace_t *pace, usec_t now);
void pace_start(pace_t *pace, usec_t now);

uint32_t pace_per_second(const pace_t *pace);

#endif
