#ifndef EGRET_ADMISSION_PRESSURE_H
#define EGRET_ADMISSION_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	pressure - admission at the entry by the load of the bottleneck service
 *
 * DESCRIPTION
 *	The pressure of a service is the number of calls in flight or queued there,
 *	divided by the number that it can run at once: at 1 it is full, above 1
 *	calls are queued. The share of requests that a route admits falls linearly
 *	over a band of pressure. The band of a more important route starts at a
 *	higher pressure, that of the most important ones after that of the least
 *	important ones has ended. So less important requests are shed first, and
 *	none at a pressure below 0.9.
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
