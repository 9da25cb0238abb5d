#ifndef EGRET_TESTS_UNIT_ROLLOUT_SIM_H
#define EGRET_TESTS_UNIT_ROLLOUT_SIM_H

#include "rollout/rollout.h"

/*
 * NAME
 *	rollout_sim - nodes that roll out a version of one service, in virtual time
 *
 * DESCRIPTION
 *	Nodes in three zones send requests on two routes to old and new instances and
 *	exchange their counts. The simulation counts what reaches the instances itself.
 */

#define SIM_ZONES 3
/* 0 is all routes. */
#define SIM_ROUTE_READ 1
#define SIM_ROUTE_WRITE 2
/* Part of all responses that fails, whatever the version. */
#define SIM_NOISE 0.01

/* Times are from the order. */
typedef struct sim_options {
	int nodes_per_zone;
	int instances_per_zone; /* of each version */
	double rate;		/* requests per second of each node */
	usec_t duration;
	/* The part of the new version's responses that is bad. */
	double fail_share;
	double slow_share;
	double slow_factor;
	usec_t bad_from;
	int bad_route;	     /* SIM_ROUTE_READ or SIM_ROUTE_WRITE; 0 if both */
	bool bad_under_load; /* only on instances with at least half of the usual load */
	/* Conditions that both versions share, or that are no fault of the version. */
	double noise; /* part of all responses that fails, beyond SIM_NOISE */
	usec_t cold;  /* new instances are four times slower until then */
	int bad_zone; /* half of the new responses of zone bad_zone - 1 fail; 0 if none */
	usec_t crash_at;   /* of one new instance, each second from then on; 0 if none */
	double speed_span; /* instances need 1 - span to 1 + span times the usual time */
	/* Faults of nodes. */
	usec_t restart_every; /* of one node after the other; 0 if none */
	usec_t cut_from;      /* zone 0 is cut off */
	usec_t cut_until;
	/* Changes of the order. */
	usec_t withdraw_at;
	usec_t replace_at; /* by one with the same version and another id */
	/* Mutations, to show that the checks notice a missing mechanism. */
	bool ignore_share;
	bool ignore_restart; /* a restarted node sends before it has contact */
	bool no_counts;	     /* nodes do not exchange their counts */
} sim_options_t;

typedef struct sim_result {
	uint64_t sent;	   /* between the order and the end of its duration */
	uint64_t sent_new; /* of these, to the new version */
	uint64_t bad;	   /* responses of the new version that were made bad */
	/* Time of the last request to the new version, and of the 50th bad response; 0 if
	 * there was none. */
	usec_t last_new_at;
	usec_t bad_50_at;
	/* Nodes by state at the end, and the time when all of them first had a verdict.
	 */
	int in_state[ROLLOUT_ROLLED_BACK + 1];
	usec_t settled_at;
	/* Requests to each version after the order was withdrawn. */
	uint64_t late_old;
	uint64_t late_new;
} sim_result_t;

void rollout_sim_run(const sim_options_t *options, uint64_t seed, sim_result_t *out);

#endif
