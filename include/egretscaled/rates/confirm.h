#ifndef EGRET_EGRETSCALED_RATES_CONFIRM_H
#define EGRET_EGRETSCALED_RATES_CONFIRM_H

#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	confirm - confirmation rounds for this node's keeper leases
 *
 * DESCRIPTION
 *	A round announces the partitions that this node holds, with their epochs, to
 *	all nodes of its zone. They reply with the newer epochs that they have seen.
 *	There are two uses:
 *
 *	A keeper whose lease cannot be renewed may go on lending if more than half
 *	of the zone's nodes have seen no newer epoch. A keeper with a new lease
 *	announces its epoch to so many nodes that its predecessor can no longer
 *	reach such a majority.
 *
 *	Dead nodes that the directory still holds count as nodes that do not reply.
 *
 * THREADS
 *	Runs on the control thread.
 *
 * SEE ALSO
 *	accounts/lease.h
 */

typedef struct confirm confirm_t;

confirm_t *confirm_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node);
void confirm_destroy(confirm_t *confirm);

/* Starts a round if a lease needs one and CONFIRM_PERIOD has passed since the last. */
void confirm_step(confirm_t *confirm, usec_t now);

#endif
