#ifndef EGRET_CONFIG_READ_PLAN_H
#define EGRET_CONFIG_READ_PLAN_H

#include "config/freshness.h"

#include <stdbool.h>

/*
 * NAME
 *	read_plan - decides when and how a node reads the records from the store
 *
 * DESCRIPTION
 *	There are two kinds of reads: a watch waits for a change, a check does not. At
 *most one of each is in flight. The nodes of a zone of up to 32 watch without a break; in
 *a larger zone each waits a random time between two watches, so that the zone starts
 *about ZONE_WATCHES_PER_SECOND in all. Checks are due by config/freshness.
 *
 *	A watch that nobody will answer looks like one that waits. A node that has no
 *	configuration, or whose last read failed, therefore makes only checks until one
 *	succeeds. As long as peers supply evidence, they follow with backoff.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 *
 * SEE ALSO
 *	egretscaled/control/config_poll.h
 */

#define ZONE_WATCHES_PER_SECOND 2

typedef struct read_plan read_plan_t;

typedef enum read_kind {
	READ_WATCH,
	READ_CHECK,
	READ_KIND_COUNT,
} read_kind_t;

/* A read to be sent. */
typedef struct read_order {
	uint64_t id;
	read_kind_t kind;
	uint64_t after;	      /* revision that a change must exceed; 0: all records */
	usec_t change_wait;   /* for a change */
	usec_t response_wait; /* for the response, beyond change_wait */
	usec_t started;
} read_order_t;

/* What the plan depends on. */
typedef struct read_inputs {
	usec_t now;
	usec_t as_of; /* as of which the configuration is known to be current; 0 if never
		       */
	usec_t bound; /* from a change's acknowledgement until it must be in force */
	bool ready;   /* the node serves requests */
} read_inputs_t;

read_plan_t *read_plan_create(uint64_t random_seed);
void read_plan_destroy(read_plan_t *plan);

/* When read_plan_next() has the next read, as far as is known at inputs->now. */
usec_t read_plan_due(read_plan_t *plan, const read_inputs_t *inputs);

/* Returns whether a read is due, and fills in `order`. */
bool read_plan_next(read_plan_t *plan, const read_inputs_t *inputs, read_order_t *order);

/* Number of reads that failed in a row. */
uint32_t read_plan_failures(const read_plan_t *plan);

/* The read succeeded. `revision`: its rows are complete up to it; `zone_nodes`: live
 * nodes of the zone, at least 1. Returns false if the read was abandoned: its rows hold,
 * but they are no evidence. */
bool read_plan_succeeded(read_plan_t *plan, const read_order_t *order,
			 const read_inputs_t *inputs, uint64_t revision,
			 uint32_t zone_nodes);

/* The read failed. Returns false if it was abandoned. */
bool read_plan_failed(read_plan_t *plan, const read_order_t *order,
		      const read_inputs_t *inputs);

/* The time as of which the response to a read shows the state of the store. */
usec_t read_plan_as_of(const read_order_t *order, usec_t now);

/* Abandons the reads in flight and reads all records next. */
void read_plan_restart(read_plan_t *plan);

#endif
