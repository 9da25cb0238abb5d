#ifndef EGRET_ROUTING_ROUTE_CALLS_H
#define EGRET_ROUTING_ROUTE_CALLS_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	route_calls - outbound calls that the target makes for the requests of a route
 *
 * DESCRIPTION
 *	A state machine without I/O, for targets whose outbound calls do not name
 *	the request that they belong to. A call is observed for a route if all
 *	requests in flight on the target at that time are of this route. Under load
 *	there may be no such time. A call is therefore also inferred for a route if
 *	nearly all completed requests of the route had one in their time and it was
 *	not observed for another route. Other calls only keep what is known: the call
 *	of each route in flight. A call expires ROUTE_CALLS_RETENTION_USEC after it
 *	was last seen.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ROUTE_CALLS_RETENTION_USEC (30 * USEC_PER_SEC)

typedef struct route_calls route_calls_t;

route_calls_t *route_calls_create(void);
void route_calls_destroy(route_calls_t *route_calls);

/* Count a request of the route that begins or ends on the target. */
void route_calls_begin(route_calls_t *route_calls, const char *route);
void route_calls_end(route_calls_t *route_calls, const char *route);

/* The target has answered a request of the route that was sent to it at `started`. */
void route_calls_completed(route_calls_t *route_calls, const char *route, usec_t started,
			   usec_t now);

/* Records an outbound call of the target: `call_route` is the route of the call,
 * `service` the service that it goes to. */
void route_calls_record(route_calls_t *route_calls, const char *call_route,
			const char *service, usec_t now);

/* Whether the target's requests make calls, by the number of both lately. Other processes
 * of the vm may make a few calls that look like the target's. */
bool route_calls_are_usual(const route_calls_t *route_calls);

/* Calls `fn` once for each route that the requests of `route` are known to call. */
typedef void (*route_calls_fn)(void *ctx, const char *call_route, const char *service);
void route_calls_foreach(route_calls_t *route_calls, const char *route, usec_t now,
			 route_calls_fn fn, void *ctx);

#endif
