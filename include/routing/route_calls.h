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
 *	is forgotten after ONWARD_MEMORY.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ONWARD_MEMORY (30 * USEC_PER_SEC)

typedef struct onward onward_t;

onward_t *onward_create(void);
void onward_destroy(onward_t *onward);

/* A request of the route begins or ends on the target. */
void onward_begin(onward_t *onward, const char *route);
void onward_end(onward_t *onward, const char *route);

/* The target makes a call on a route. */
void onward_call(onward_t *onward, const char *call_route, const char *service,
		 usec_t now);

/* One call for each route that requests of `route` were seen to call. */
typedef void (*onward_fn)(void *ctx, const char *call_route, const char *service);
void onward_foreach(onward_t *onward, const char *route, usec_t now, onward_fn fn,
		    void *ctx);

#endif
