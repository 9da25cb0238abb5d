#ifndef EGRET_TESTS_UNIT_WORLD_H
#define EGRET_TESTS_UNIT_WORLD_H

#include "accounts/borrower.h"
#include "accounts/keeper.h"

#include <glib.h>

/*
 * A few nodes around the pure modules of account rates, in virtual time: one
 * account, its partition's leases and portions, and a platform row that can be
 * out of reach. Messages are lost, delayed, doubled and cut by schedules drawn
 * from a seed.
 */

#define WORLD_NODES_MAX 32
#define WORLD_ZONES_MAX 8

typedef struct world_options {
	uint64_t seed;
	uint32_t zones;
	uint32_t nodes_per_zone;
	double rate;
	double burst;
	double loss;   /* share of messages lost */
	double repeat; /* share of messages delivered twice */
	usec_t delay_max;
	double faults_per_second; /* pauses, crashes, cuts, platform outages */
	usec_t fault_max;
	/* Mutations: each must be caught by the invariant. */
	bool ignore_lease;
	bool ignore_sequence;
} world_options_t;

typedef struct world world_t;

world_t *world_create(const world_options_t *options);
void world_destroy(world_t *world);

/* A demand in requests a second at one node, for the time from now on. */
void world_set_demand(world_t *world, uint32_t node, double rate);
void world_set_platform(world_t *world, bool up);
void world_set_cut(world_t *world, uint32_t zone_a, uint32_t zone_b, bool cut);
void world_pause(world_t *world, uint32_t node, usec_t span);
void world_crash(world_t *world, uint32_t node);

/* Runs the world for a span; returns false at the first broken invariant. */
bool world_run(world_t *world, usec_t span);

typedef struct world_counts {
	uint64_t arrived;
	uint64_t admitted;
	uint64_t refused;
	uint64_t over_rate; /* what one bucket for all would refuse */
	uint64_t messages;
} world_counts_t;

world_counts_t world_counts(const world_t *world);
usec_t world_now(const world_t *world);

#endif
