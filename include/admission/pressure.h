#ifndef EGRET_ADMISSION_PRESSURE_H
#define EGRET_ADMISSION_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	pressure - admission at the entry by the load of the narrowest service
 *
 * DESCRIPTION
 *	Pressure is the calls that run or wait at a service over those that it can
 *	run: 1 is full, more is a queue. The share of requests that a route may
 *	admit falls linearly over a band of pressure; the band of an important
 *	route begins where that of a less important one has ended, so that the less
 *	important are shed first and nothing is refused while there is room.
 */

typedef struct importance_range {
	uint32_t lowest; /* of all routes in force */
	uint32_t highest;
} importance_range_t;

/* The share to admit, 0 to 1. */
double pressure_admitted_share(double pressure, uint32_t importance,
			       const importance_range_t *range);

/* Whether one request is admitted; `draw` is uniform in [0, 1). */
bool pressure_admits(double pressure, uint32_t importance,
		     const importance_range_t *range, double draw);

#endif
