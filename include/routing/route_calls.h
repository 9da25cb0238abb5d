#ifndef EGRET_ROUTING_ROUTE_CALLS_H
#define EGRET_ROUTING_ROUTE_CALLS_H

#include "common/clock.h"

#include <glib.h>
#include <stdint.h>

/*
 * NAME
 *	onward - which calls the requests of a route make on the own target
 *
 * DESCRIPTION
 *	A state machine without I/O, for targets whose calls do not name the
 *	request that they belong to. A call that comes while all running requests
 *	are of one route belongs to that route; others tell nothing. What was seen
 *	is forgotten after ROUTE_CALLS_RETENTION_USEC.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ROUTE_CALLS_RETENTION_USEC (30 * USEC_PER_SEC)

typedef struct route_calls route_calls_t;

route_calls_t *route_calls_create(void);
void route_calls_destroy(route_calls_t *route_calls);

/* A request of the route begins or ends on the target. */
void route_calls_begin(route_calls_t *route_calls, const char *route);
void route_calls_end(route_calls_t *route_calls, const char *route);

/* The target makes a call on a route. */
void route_calls_record(route_calls_t *route_calls, const char *call_route,
			const char *service, usec_t now);

/* One call for each route that requests of `route` were seen to call. */
typedef void (*route_calls_fn)(void *ctx, const char *call_route, const char *service);
void route_calls_foreach(route_calls_t *route_calls, const char *route, usec_t now,
			 route_calls_fn fn, void *ctx);

#endif
