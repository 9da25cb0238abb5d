#ifndef EGRET_TESTS_UNIT_BALANCE_SIM_H
#define EGRET_TESTS_UNIT_BALANCE_SIM_H

#include "membership/liveness.h"
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
 *	varies around its mean with a period of 17 s. A caller's node that hears nothing
 *	from an instance marks it as silent after SIM_SILENT_AFTER_USEC; the calls in
 *	flight there have then failed, and are sent once more.
 */

#define SIM_ZONES 3

typedef enum sim_event {
	SIM_NONE,
	SIM_REJECTS,  /* instance 0 rejects 45 % of its arrivals */
	SIM_JOINS,    /* instance 0 is unknown until SIM_EVENT_USEC */
	SIM_RETURNS,  /* instance 0 is silent for 3 s until SIM_EVENT_USEC */
	SIM_RECOVERS, /* instance 0 is 2.5 times slower until SIM_EVENT_USEC */
	SIM_FAILS,    /* instance 0 answers 45 % of its calls at once with an error */
	SIM_DIES,     /* the node of instance 0 dies at SIM_EVENT_USEC */
	SIM_CUT,      /* no frame between node 0 and instance 0 for SIM_EVENT_SPAN_USEC */
	SIM_PAUSES,   /* no arrivals for SIM_EVENT_SPAN_USEC */
} sim_event_t;

#define SIM_EVENT_USEC (8 * USEC_PER_SEC)
/* After it, no speed and no share of failed calls from before has a weight. */
#define SIM_EVENT_SPAN_USEC (6 * USEC_PER_SEC)
#define SIM_SILENT_AFTER_USEC (LIVENESS_PING_AFTER + LIVENESS_SILENT_TIMEOUT)
/* Less than the shortest call of 54 ms at a speed of 0.6 takes. */
#define SIM_BACK_USEC (22 * USEC_PER_MSEC)

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
	/* Sends of zone 0 to its own instances, and those to instance 0, by time: */
	struct sim_share {
		double sends, first;
	} before,     /* 2 s before the event */
		lost, /* from the event until instance 0 is silent */
		back, /* SIM_BACK_USEC from SIM_EVENT_SPAN_USEC after the event */
		after /* 1 s to 4 s after that */;
} sim_result_t;

void sim_run(const sim_setup_t *setup, router_balance_t balance, guint32 seed,
	     sim_result_t *out);

#endif
