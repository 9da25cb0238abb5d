#ifndef EGRET_ADMISSION_LIMIT_H
#define EGRET_ADMISSION_LIMIT_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	limit - the adaptive concurrency limit of one target
 *
 * DESCRIPTION
 *	A state machine without I/O. The limit stays between 1 and the announced
 *	slots. It starts at the cold floor and grows by completed work until the
 *	first sign of overload or the announced slots; afterwards it follows the
 *	chosen algorithm:
 *
 *	LIMIT_GRADIENT	multiplies by (tolerance * base latency / latency),
 *			bounded to [0.5, 1], and adds a headroom of sqrt(limit)
 *	LIMIT_AIMD	adds 1 in a window without overload, multiplies by 0.9
 *			in a window whose latency exceeds the tolerance
 *
 *	LIMIT_SLOTS	stays at the announced slots less a headroom, for targets
 *			whose onward time is not known
 *
 *	Latencies are the target's own: time spent in onward calls is left out by
 *	the caller. A crash, a refused connection or a latency cliff puts the
 *	limit back to the cold floor.
 */

typedef enum limit_algorithm {
	LIMIT_GRADIENT,
	LIMIT_AIMD,
	LIMIT_SLOTS,
} limit_algorithm_t;

typedef enum limit_outcome {
	LIMIT_SUCCESS,
	LIMIT_OVERLOADED, /* the target refused the call itself */
	LIMIT_IGNORED,	  /* cancelled or failed for another reason */
} limit_outcome_t;

typedef struct limit limit_t;

limit_t *limit_create(limit_algorithm_t algorithm);
void limit_destroy(limit_t *limit);

/* A target announced itself: slots and the cold floor, both at least 1. */
void limit_start(limit_t *limit, usec_t now, uint32_t slots, uint32_t cold_slots);

/* Changes the bounds of a running target without making it cold. */
void limit_set_bounds(limit_t *limit, uint32_t slots, uint32_t cold_slots);

/* Puts the limit to the cold floor. */
void limit_reset(limit_t *limit, usec_t now);

/* A call ended after `latency`; `inflight` were running when it ended.
 * Returns true if this sample revealed a latency cliff and reset the limit. */
bool limit_sample(limit_t *limit, usec_t now, usec_t latency, uint32_t inflight,
		  limit_outcome_t outcome);

uint32_t limit_value(const limit_t *limit);

/* Smoothed latency of completed calls; 0 before the first. */
usec_t limit_latency(const limit_t *limit);
bool limit_is_cold(const limit_t *limit);

#endif
