#ifndef EGRET_RETRY_RETRY_AFTER_H
#define EGRET_RETRY_RETRY_AFTER_H

#include "common/clock.h"

#include <stdint.h>

/*
 * NAME
 *	retry_after - time after which a refused client may send its request again
 *
 * DESCRIPTION
 *	A function without state, for clients that were refused together because a
 *	service is overloaded. Overload lasts for seconds, and clients often retry only
 *	once. The time is a random part of the objective of the request, between 0.2
 *	and 0.6, so that they do not return together, and in time to complete within
 *	the objective. It is at least RETRY_AFTER_MIN.
 */

/* Also for refusals of other causes. */
#define RETRY_AFTER_MIN (150 * USEC_PER_MSEC)

/* Returns the time for a request that was shed. `random` is any 64-bit number. */
usec_t retry_after_shed(usec_t objective, uint64_t random);

#endif
