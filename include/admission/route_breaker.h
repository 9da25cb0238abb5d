#ifndef EGRET_ADMISSION_ROUTE_BREAKER_H
#define EGRET_ADMISSION_ROUTE_BREAKER_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	route_breaker - circuit breakers of routes whose calls have no instance to go to
 *
 * DESCRIPTION
 *	A state machine without I/O, at the entry node. It answers the load of requests
 *	that run and fail, all of them, because a service that they call has no
 *	instance. Refused instead, they have not run, and their clients can send them
 *	again later.
 *
 *	The breaker of a route opens when the last ROUTE_BREAKER_FAILURES responses of
 *	the route were failures and the last of them reported that a service which is
 *	called has no instance. A route whose requests do without the call keeps it
 *	closed. While it is open, one request in each ROUTE_BREAKER_PROBE_PERIOD is
 *	admitted. A response that is no failure, or that reports instances again,
 *	closes it.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ROUTE_BREAKER_FAILURES 8
#define ROUTE_BREAKER_PROBE_PERIOD (200 * USEC_PER_MSEC)

typedef struct route_breaker route_breaker_t;

route_breaker_t *route_breaker_create(void);
void route_breaker_destroy(route_breaker_t *breaker);

/* Returns whether a request of the route is admitted. */
bool route_breaker_admits(const route_breaker_t *breaker, const char *route, usec_t now);

/* A request of the route that was admitted is sent. */
void route_breaker_handle_send(route_breaker_t *breaker, const char *route, usec_t now);

/* A request of the route has got a response; `unavailable`: with a report that a service
 * which is called has no instance. Returns whether the breaker opened or closed. */
bool route_breaker_record(route_breaker_t *breaker, const char *route, bool failed,
			  bool unavailable);

bool route_breaker_is_open(const route_breaker_t *breaker, const char *route);

#endif
