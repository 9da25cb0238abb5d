#ifndef EGRET_CONFIG_FRESHNESS_H
#define EGRET_CONFIG_FRESHNESS_H

#include "common/clock.h"

#include <stdint.h>

/*
 * NAME
 *	freshness - when a node must check that its configuration is current
 *
 * DESCRIPTION
 *	A watch that waits for a change and one whose response was lost look the same to
 *	the node that sent it. Therefore a node does not rely on its watch: it keeps the
 *	time as of which its configuration is known to hold every acknowledged change,
 *	and reads the store without waiting (a check) before that time is too long ago.
 *	The evidence comes from its own reads, and from peers which report their
 *	revision and the age of their evidence: a node at that revision or a newer one
 *	was current when the peer was.
 *
 *	A check starts at most freshness_limit() after the later of the newest evidence
 *	and the start of the last check, which itself ends within freshness_timeout(). So
 *	the first check that can succeed after an outage starts at most
 *	freshness_limit() after its end, without help from peers. Both times are random
 *	below their limit, so that the node which checks first saves the others the call.
 *
 * UNITS
 *	All times are usec_t of one clock; `bound` is the time from the acknowledgement of
 *	a change until it must be in force.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

typedef struct freshness freshness_t;

freshness_t *freshness_create(uint64_t random_seed);
void freshness_destroy(freshness_t *freshness);

/* The longest time without evidence before a check starts. */
usec_t freshness_limit(usec_t bound);

/* How long a check may take. */
usec_t freshness_timeout(usec_t bound);

/* How much newer evidence must be than that which was last sent to peers, to be sent to
 * them without waiting for the next datagram. */
usec_t freshness_step(usec_t bound);

/* A check started. */
void freshness_check_started(freshness_t *freshness, usec_t now);

/* When the next check is due. `as_of`: the configuration is known to hold every change
 * acknowledged until then; 0 if it is not known at all. */
usec_t freshness_check_due(freshness_t *freshness, usec_t as_of, usec_t bound);

#endif
