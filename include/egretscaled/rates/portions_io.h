#ifndef EGRET_EGRETSCALED_RATES_PORTIONS_IO_H
#define EGRET_EGRETSCALED_RATES_PORTIONS_IO_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>

/*
 * NAME
 *	portions_io - zone portions of account rates in the platform's table service
 *
 * DESCRIPTION
 *	For each partition whose lease this node holds: reads the row portion/P
 *	and plans the portion of this node's zone with portion_plan(). A higher
 *	portion is committed before it is put into force. A lower one is put into
 *	force at once and committed after the loans granted before it have expired.
 *
 * THREADS
 *	Runs on the control thread.
 */

typedef struct portions_io portions_io_t;

portions_io_t *portions_io_create(TALLOC_CTX *parent, node_t *node, store_t *store);
void portions_io_destroy(portions_io_t *io);

/* Starts the read or commit of the partition's row portion/P that is due. This node has
 * to hold the lease of the partition. */
void portions_io_step(portions_io_t *io, uint32_t partition, usec_t now);

/* Plans the partition's portion at its next step, instead of after the usual period. */
void portions_io_replan(portions_io_t *io, uint32_t partition, usec_t now);

/* Plans all partitions at their next step if the number of zones changed. */
void portions_io_check_zones(portions_io_t *io, usec_t now);

#endif
