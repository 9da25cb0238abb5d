#ifndef EGRET_ADMISSION_PRESSURE_H
#define EGRET_ADMISSION_PRESSURE_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	pressure - admission on the entry node by the load of the most loaded service
 *
 * DESCRIPTION
 *	A state machine without I/O. The pressure of a service is the number of calls
 *	in flight or queued there, divided by the number that it can run at once: at 1
 *	it is at capacity, above 1 calls are queued.
 *
 *	The entry node admits a share of the requests of each route and importance.
 *	The share falls while the pressure is above a target and rises while it is below,
 *	by the factor of target to pressure in PRESSURE_TIME_CONSTANT_USEC, so that it
 *	settles where the pressure is at the target. The target rises with the
 *	importance, from 1 for the least important routes to 1.3 for the most
 *	important ones, so less important requests are shed first. If all routes have
 *	the same importance, the highest target applies. Above a pressure of 1.5 less than
 *	the share is admitted, down to PRESSURE_SHARE_MIN at 2, where the queue is as long
 *	as the limit. PRESSURE_SHARE_MIN is always admitted, since only admitted requests
 *	show when the pressure falls.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define PRESSURE_TIME_CONSTANT_USEC USEC_PER_SEC
#define PRESSURE_SHARE_MIN 0.05

typedef struct importance_range {
	uint32_t lowest; /* of all configured routes */
	uint32_t highest;
} importance_range_t;

typedef struct pressure_admission pressure_admission_t;

pressure_admission_t *pressure_admission_create(void);
void pressure_admission_destroy(pressure_admission_t *admission);

/* Returns the share of requests to admit, with the pressure seen now. Beyond 4096 routes
 * all requests are admitted. */
double pressure_admitted_share(pressure_admission_t *admission, const char *route,
			       uint32_t importance, const importance_range_t *range,
			       double pressure, usec_t now);

#endif
