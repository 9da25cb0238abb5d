#ifndef EGRET_ROUTING_SPEED_H
#define EGRET_ROUTING_SPEED_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	speed - how fast the instances of one service are, and how often they fail
 *
 * DESCRIPTION
 *	State machines without I/O, for instances that need different times for the
 *	same work, slow down for some hundred milliseconds, or reject a part of their
 *	arrivals.
 *
 *	A speed_meter_t smooths the response times of the target beside a node. The
 *	node reports the value with its load.
 *
 *	An instance_speed_t is what a caller's node knows of one instance: its reported
 *	response time, and the share of this node's calls that it rejected or failed.
 *	A longer response time counts at once. A shorter one counts gradually, over
 *	SPEED_RISE_USEC, so that the nodes do not all turn to an instance that has
 *	suddenly become fast. The share of failed calls decays over SPEED_FAILED_USEC.
 *
 *	A service_speed_t holds the means of the instances of a service. Only ratios to
 *	these means are used, since a response time may include the time of outbound
 *	calls, which is the same for all instances of a service. An instance whose
 *	speed is unknown counts as the mean; the ratio of an old report approaches 1.
 *	It is kept for longer than the load, as the speed changes more slowly and many
 *	nodes send an instance less than one call per second.
 *
 * UNITS
 *	Times are in microseconds; a time of 0 is unknown. Shares are from 0 to 1.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* Bursts of slowness last some hundred milliseconds and are to be seen within them. */
#define SPEED_METER_USEC (100 * USEC_PER_MSEC)
/* With 5 s and 1 s, the mean time in test_balance's cases with bursts was 1 to 5 %
 * longer: instances were avoided for too long after a burst. */
#define SPEED_LIFETIME_USEC (2 * USEC_PER_SEC)
#define SPEED_RISE_USEC (300 * USEC_PER_MSEC)
#define SPEED_FAILED_USEC (2 * USEC_PER_SEC)

typedef struct speed_meter {
	double time;
	usec_t recorded_at;
} speed_meter_t;

/* Records the response time of a call that the target completed. */
void speed_meter_record(speed_meter_t *meter, usec_t time, usec_t now);

/* Records a call that was cancelled while it ran: its time is at least `elapsed`. */
void speed_meter_record_cancelled(speed_meter_t *meter, usec_t elapsed, usec_t now);

/* Returns the smoothed response time. */
uint32_t speed_meter_value(const speed_meter_t *meter);

typedef struct instance_speed {
	double time;
	usec_t reported_at;
	double failed; /* share of calls, at failed_at */
	usec_t failed_at;
} instance_speed_t;

/* Takes a reported response time. */
void instance_speed_report(instance_speed_t *speed, uint32_t time, usec_t now);

/* Records a call that ended. `failed` means that the target rejected it or did not
 * complete it. */
void instance_speed_record_call(instance_speed_t *speed, bool failed, usec_t now);

/* Returns the share of calls that failed lately. */
double instance_speed_failed(const instance_speed_t *speed, usec_t now);

typedef struct service_speed {
	double time_sum;
	double time_weight;
	double failed_sum;
	uint32_t instances;
} service_speed_t;

/* Adds an instance to the means. */
void service_speed_add(service_speed_t *service, const instance_speed_t *speed,
		       usec_t now);

/* Returns the time that the instance needs for a call, as a multiple of the service's
 * mean, between 1/3 and 3. It is 1 if the speed of the instance is unknown. */
double speed_time_ratio(const service_speed_t *service, const instance_speed_t *speed,
			usec_t now);

/* Returns a factor from 1 to 8 on the expected time of an instance, above 1 if a larger
 * share of calls fails there than at the other instances. */
double speed_failure_factor(const service_speed_t *service, const instance_speed_t *speed,
			    usec_t now);

#endif
