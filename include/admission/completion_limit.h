#ifndef EGRET_ADMISSION_COMPLETION_LIMIT_H
#define EGRET_ADMISSION_COMPLETION_LIMIT_H

#include "admission/pressure.h"
#include "common/clock.h"

/*
 * NAME
 *	completion_limit - admission of requests by the share of their calls that can
 *	complete
 *
 * DESCRIPTION
 *	A state machine without I/O, at the entry node. It answers the load of
 *	requests that need several calls to a service whose instances reject a large
 *	part of what arrives: if p of the calls complete, a request with n calls
 *	completes with a probability of p to the power of n, and the work of the
 *	others is lost.
 *
 *	The replies report the completable share of the calls (retry/resends.h).
 *	While it is below 1, a route gets the share of the rate at which it was
 *	admitted before that the share and its importance give; what exceeds it is
 *	refused before it has run. The rate is a history over `window`, as that of the
 *	budget, so that more demand than before does not raise it.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct completion_limit completion_limit_t;

completion_limit_t *completion_limit_create(usec_t window);
void completion_limit_destroy(completion_limit_t *limit);

/* Returns whether a request of the route is admitted, and counts it if it is.
 * `completable` is 0 to 1. */
bool completion_limit_admit(completion_limit_t *limit, const char *route,
			    double completable, uint32_t importance,
			    const importance_range_t *range, usec_t now);

/* Returns the share of requests to admit if `completable` of the calls that they make can
 * be completed: the more important half of the range first. If all routes have the same
 * importance, it is `completable`. */
double completion_admitted_share(double completable, uint32_t importance,
				 const importance_range_t *range);

#endif
