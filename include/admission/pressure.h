#ifndef EGRET_ADMISSION_PRESSURE_H
#define EGRET_ADMISSION_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	pressure - admission on the entry node by the load of the most loaded service
 *
 * DESCRIPTION
 *	The pressure of a service is the number of calls in flight or queued there,
 *	divided by the number that it can run at once: at 1 it is at capacity, above
 *	1 calls are queued. The share of requests that a route admits falls
 *	linearly from 1 to 0 over a band of pressure. The band moves up with the
 *	importance: from 0.9-1.25 for the least important routes to 1.35-1.7 for the
 *	most important ones, so that these two do not overlap. So less important
 *	requests are shed first, and none at a pressure below 0.9. If all routes
 *	have the same importance, the highest band applies.
 */

typedef struct importance_range {
	uint32_t lowest; /* of all configured routes */
	uint32_t highest;
} importance_range_t;

/* Returns the share of requests to admit, 0 to 1. */
double pressure_admitted_share(double pressure, uint32_t importance,
			       const importance_range_t *range);

/* Returns whether one request is admitted; `draw` is a uniform random number in
 * [0, 1). */
bool pressure_admits(double pressure, uint32_t importance,
		     const importance_range_t *range, double draw);

#endif
