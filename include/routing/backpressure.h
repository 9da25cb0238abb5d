#ifndef EGRET_ROUTING_BACKPRESSURE_H
#define EGRET_ROUTING_BACKPRESSURE_H

#include "admission/priority.h"

#include "common/clock.h"
#include <stdbool.h>

/*
 * NAME
 *	backpressure - downstream shed level and pressure, as responses report them
 *
 * DESCRIPTION
 *	A state machine without I/O. Each response carries the lowest shed level and
 *	the highest pressure of the services downstream of the one that answered.
 *	Both are smoothed per key: the name of a route, or the service and method of
 *	an outbound call that has no route. The smoothed pressure does not depend on
 *	how often responses arrive. Without new responses a level ages, see
 *	priority_level_aged(), and a pressure is held for 300 ms, then falls to 0 within
 *	a second. A key without a record has PRIORITY_LEVEL_ALL and a pressure of 0;
 *	beyond 4096 keys no new ones are recorded.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct backpressure backpressure_t;

backpressure_t *backpressure_create(void);
void backpressure_destroy(backpressure_t *backpressure);

/* Records the shed level that a response reports for the downstream services. */
void backpressure_record_level(backpressure_t *backpressure, const char *key,
			       priority_t level, usec_t now);

/* Records the pressure, see admission/pressure.h, that a response reports for the
 * downstream services. */
void backpressure_record_pressure(backpressure_t *backpressure, const char *key,
				  double pressure, usec_t now);

/* Returns the smoothed pressure downstream of the key. */
double backpressure_pressure(const backpressure_t *backpressure, const char *key,
			     usec_t now);

/* Records whether a service downstream has no instance; kept for a few seconds. */
void backpressure_record_unavailable(backpressure_t *backpressure, const char *key,
				     bool unavailable, usec_t now);
bool backpressure_unavailable(const backpressure_t *backpressure, const char *key,
			      usec_t now);

/* Records what is missing in the completable share of the calls downstream (0 to 1), see
 * retry/resends.h. It is smoothed where it is measured; smoothing it again at each hop
 * would delay it by seconds where a node gets few responses. It ages as a pressure does.
 */
void backpressure_record_missing(backpressure_t *backpressure, const char *key,
				 double missing, usec_t now);
double backpressure_missing(const backpressure_t *backpressure, const char *key,
			    usec_t now);

/* Returns the smoothed shed level downstream of the key. */
priority_t backpressure_level(const backpressure_t *backpressure, const char *key,
			      usec_t now);

#endif
