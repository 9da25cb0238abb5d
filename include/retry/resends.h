#ifndef EGRET_RETRY_RESENDS_H
#define EGRET_RETRY_RESENDS_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	resends - budget for sending calls again that their target rejected
 *
 * DESCRIPTION
 *	A state machine without I/O for the calls of one node to one service. It
 *	answers the load of a service whose instances reject a large part of what
 *	arrives while each rejection states that the request did not run. A request
 *	that needs several calls to such a service completes only if each of them is
 *	sent again until it is accepted.
 *
 *	Resends are limited to `ratio` of the calls in any `window`. The calls are
 *	counted in the last window, the one before it and the one half a window
 *	earlier, whichever has most, so that the budget outlasts the fall of the
 *	calls that follows when requests are refused at their entry. Resends are
 *	paced at the average rate of the budget: they help in each second of a long
 *	disturbance and not only in its first one. Those of the last window are counted
 *	too, since their pace was that of earlier calls and the calls may have fallen.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct resends resends_t;

/* The calls of a new budget have not been counted yet, so it allows few resends at first.
 */
resends_t *resends_create(double ratio, usec_t window);
void resends_destroy(resends_t *resends);

/* A call is sent for the first time. */
void resends_record_call(resends_t *resends, usec_t now);

/* A send has ended: the target rejected the call, or did not. */
void resends_record_result(resends_t *resends, bool rejected, usec_t now);

/* Takes a resend from the budget; returns false if none is left now. */
bool resends_take(resends_t *resends, usec_t now);

/* A call was sent again on another budget; it counts in this one too. */
void resends_record_retry(resends_t *resends, usec_t now);

/* The share of the calls made so far of which the budget can complete all. It depends on
 * the share of rejections only, not on how many calls are made now. */
double resends_completable_share(resends_t *resends, usec_t now);

#endif
