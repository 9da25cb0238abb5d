#ifndef EGRET_TESTS_UNIT_ACCOUNTS_SIM_H
#define EGRET_TESTS_UNIT_ACCOUNTS_SIM_H

#include "accounts/borrower.h"
#include "accounts/keeper.h"

#include <glib.h>

/*
 * Simulates nodes that lend and borrow the rate of one account, in virtual time: the
 * borrowers, the leases of its partition in each zone, fixed portions, and the platform's
 * lease rows. Messages are lost, delayed and duplicated, links and the platform go down,
 * and nodes pause, crash and restart, by schedules drawn from a seed.
 */

#define SIM_NODES_MAX 32
#define SIM_ZONES_MAX 8

typedef struct sim_options {
	uint64_t seed;
	uint32_t zones;
	uint32_t nodes_per_zone;
	double rate;
	double burst;
	double loss;	  /* part of messages lost */
	double duplicate; /* part of messages delivered twice */
	usec_t delay_max;
	double faults_per_second; /* pauses, crashes, links down, platform outages */
	usec_t fault_max;
	/* Each flag disables one rule; the check of the bound must then fail. */
	bool ignore_lease;
	bool ignore_sequence;
} sim_options_t;

typedef struct sim sim_t;

sim_t *sim_create(const sim_options_t *options);
void sim_destroy(sim_t *sim);

/* Sets the demand at one node, in requests per second, from now on. */
void sim_set_demand(sim_t *sim, uint32_t node, double rate);
void sim_set_platform(sim_t *sim, bool up);
void sim_set_link_down(sim_t *sim, uint32_t zone_a, uint32_t zone_b, bool down);
void sim_pause(sim_t *sim, uint32_t node, usec_t span);
void sim_crash(sim_t *sim, uint32_t node);

/* Runs the simulation for a span; returns false at the first violation of the bound. */
bool sim_run(sim_t *sim, usec_t span);

typedef struct sim_counts {
	uint64_t arrived;
	uint64_t admitted;
	uint64_t refused;
	uint64_t over_rate; /* what a single shared bucket would refuse */
	uint64_t messages;
} sim_counts_t;

sim_counts_t sim_counts(const sim_t *sim);
usec_t sim_now(const sim_t *sim);

#endif
