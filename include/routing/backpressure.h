#ifndef EGRET_ROUTING_BACKPRESSURE_H
#define EGRET_ROUTING_BACKPRESSURE_H

#include "admission/priority.h"
#include "common/clock.h"

/*
 * NAME
 *	backpressure - the shed level below a route, as answers tell it
 *
 * DESCRIPTION
 *	A state machine without I/O. Each answer carries the lowest shed level of
 *	the services below the one that answered. The levels are smoothed for
 *	each key (a route or a service with a path) and age when no new answer
 *	confirms them, see priority_level_aged().
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct backpressure backpressure_t;

backpressure_t *backpressure_create(void);
void backpressure_destroy(backpressure_t *backpressure);

void backpressure_record_level(backpressure_t *backpressure, const char *key,
			       priority_t below, usec_t now);
/* Pressure below the key, see admission/pressure.h; smoothed, and gone after a second
 * without an answer. */
void backpressure_record_pressure(backpressure_t *backpressure, const char *key,
				  double pressure, usec_t now);
double backpressure_pressure(const backpressure_t *backpressure, const char *key,
			     usec_t now);

priority_t backpressure_level(const backpressure_t *backpressure, const char *key,
			      usec_t now);

#endif
