#ifndef EGRET_TESTS_UNIT_BALANCE_SIM_H
#define EGRET_TESTS_UNIT_BALANCE_SIM_H

#include "routing/router.h"

#include <glib.h>

/*
 * NAME
 *	balance_sim - calls of several nodes to the instances of one service in three
 *	zones, in virtual time
 *
 * DESCRIPTION
 *	Each caller's node has its own router and learns of instances only by their
 *	replies. An instance runs calls up to its slots and queues twice as many; a
 *	call beyond that is refused and sent to another instance, up to three times. A
 *	call that an instance's target rejects is sent once more. The demand of a zone
 *	varies around its mean with a period of 17 s.
 */

#define SIM_ZONES 3

typedef enum sim_event {
	SIM_NONE,
	SIM_REJECTS,  /* instance 0 rejects 45 % of its arrivals */
	SIM_JOINS,    /* instance 0 is unknown until SIM_EVENT_USEC */
	SIM_RETURNS,  /* instance 0 is silent for 3 s until SIM_EVENT_USEC */
	SIM_RECOVERS, /* instance 0 is 2.5 times slower until SIM_EVENT_USEC */
	SIM_FAILS,    /* instance 0 answers 45 % of its calls at once with an error */
} sim_event_t;

#define SIM_EVENT_USEC (8 * USEC_PER_SEC)

typedef struct sim_setup {
	uint32_t instances[SIM_ZONES];
	uint32_t callers[SIM_ZONES]; /* nodes that send calls */
	double speeds[3];	     /* time for the usual work, by instance modulo 3 */
	double load;		     /* mean demand, as a share of the capacity */
	double variation;	     /* of a zone's demand */
	usec_t work;		     /* usual time of a call */
	bool bursts;		     /* of slowness, 2.5 times the usual time */
	sim_event_t event;
} sim_setup_t;

typedef struct sim_result {
	double mean_ms, p99_ms; /* completion time of successful calls */
	double busiest;		/* busy slots of the busiest instance / mean of all */
	double worst;		/* completions in the worst two seconds / their mean */
	double other_zone;	/* share of sends to another zone */
	double rejected;	/* share of sends that the target rejected or failed */
	double failed;		/* share of calls without a successful answer */
	double busiest_event;	/* most calls in flight or queued at instance 0 within 2 s
				 * after the event, as a multiple of its slots */
} sim_result_t;

void sim_run(const sim_setup_t *setup, router_balance_t balance, guint32 seed,
	     sim_result_t *out);

#endif
