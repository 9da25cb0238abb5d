#ifndef EGRET_ADMISSION_PRIORITY_H
#define EGRET_ADMISSION_PRIORITY_H

#include "common/clock.h"

#include <stdint.h>

/*
 * NAME
 *	priority - order in which requests are shed
 *
 * DESCRIPTION
 *	A priority holds (9 - importance) in the upper bits and the shed rank in the
 *	lower 16 bits; requests with smaller values are shed later. A shed level L
 *	admits priorities below L; PRIORITY_LEVEL_ALL admits every request.
 *
 *	The shed rank is u * h in units of 1/RANK_PER_UNIT, where u is the ratio of
 *	the account's demand to its rate, at most 4, and h is a hash of the request
 *	id, scaled to [0,1). An entry node passes at most 1 for u, and 1 if the
 *	ratio is not known.
 */

typedef uint32_t priority_t;

#define PRIORITY_RANK_BITS 16
#define PRIORITY_RANK_MAX ((1u << PRIORITY_RANK_BITS) - 1)
#define PRIORITY_LEVEL_ALL (10u << PRIORITY_RANK_BITS)
#define RANK_PER_UNIT 16384

/* Values out of range are clamped: importance to 9, rank to PRIORITY_RANK_MAX. */
priority_t priority_make(uint32_t importance, uint32_t rank);

/* For this time after its report a shed level stays unchanged. */
#define SHED_LEVEL_HOLD_USEC (300 * USEC_PER_MSEC)
/* After this time a reported shed level has risen to PRIORITY_LEVEL_ALL, so that a path
 * without traffic is tried again within a second. */
#define SHED_LEVEL_LIFETIME_USEC USEC_PER_SEC

/* Returns the effective level `age` after it was reported: unchanged for
 * SHED_LEVEL_HOLD_USEC, then rising linearly to PRIORITY_LEVEL_ALL at
 * SHED_LEVEL_LIFETIME_USEC. */
priority_t priority_level_aged(priority_t level, usec_t age);

/* Derives the shed rank from the request id and the account's demand ratio. */
uint32_t priority_rank(const char *request_id, double demand_ratio);

#endif
