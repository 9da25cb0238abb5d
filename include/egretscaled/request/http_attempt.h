#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_ATTEMPT_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_ATTEMPT_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	http_attempt - routing, retries and deadline of an HTTP request
 *
 * DESCRIPTION
 *	Picks an instance and sends the request there as a call. On the reply it
 *	delivers the response, tries another instance within the retry limits, or
 *	refuses the request.
 *
 * THREADS
 *	All functions run on the thread of the request's worker.
 */

/* Starts the deadline timer and the first attempt, once rate and claim were granted.
 * Refuses the request if its deadline has passed. */
void http_attempt_dispatch(http_request_t *request);

/* Reports the end of the current attempt to the router, and the load in the reply if
 * there is one; reply may be NULL. No effect if no attempt is routed. */
void http_attempt_end_routing(http_request_t *request, router_outcome_t outcome,
			      const call_reply_t *reply);

#endif
