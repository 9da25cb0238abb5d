#ifndef EGRET_EGRETSCALED_CONTROL_ROLLOUT_STATUS_H
#define EGRET_EGRETSCALED_CONTROL_ROLLOUT_STATUS_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	rollout_status - the row status/rollout/SERVICE of each order
 *
 * DESCRIPTION
 *	Reads the row once an order is known, which permits requests to the new
 *	version (rollout_allow()), and writes the state of the order if the row has
 *	another. A write is conditional on the version that was read; after a conflict
 *	the row is read again. The verdict in the row, of the same order, takes
 *	precedence over this node's. The nodes wait a random time before they write,
 *	so that most of them find the row written. While the store fails, the row is
 *	read again each second.
 *
 *	The row has `service`, `to`, `state`, and `order`, the version of the row of
 *	the order.
 *
 * THREADS
 *	Control thread.
 */

typedef struct rollout_status_io rollout_status_io_t;

rollout_status_io_t *rollout_status_create(TALLOC_CTX *parent, struct tevent_context *ev,
					   node_t *node, store_t *store);

/* To be called after the store was destroyed. */
void rollout_status_destroy(rollout_status_io_t *io);

#endif
