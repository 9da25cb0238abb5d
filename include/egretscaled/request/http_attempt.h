#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_ATTEMPT_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_ATTEMPT_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	http_attempt - routing, retries and deadline of an HTTP request
 *
 * DESCRIPTION
 *	Picks an instance, sends the request there as a call, and on its answer
 *	delivers it, tries another instance within the retry bounds, or refuses.
 */

/* Routes the request and sends it, once rate and claim are settled. */
void http_attempt_dispatch(http_request_t *request);

/* Tells the router that the present attempt is over; report may be NULL. */
void http_attempt_end_routing(http_request_t *request, router_outcome_t outcome,
			      const call_reply_t *reply);

#endif
