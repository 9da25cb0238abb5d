#ifndef EGRET_EGRETSCALED_RATES_PORTIONS_IO_H
#define EGRET_EGRETSCALED_RATES_PORTIONS_IO_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>

/*
 * NAME
 *	portions_io - zone portions of account rates at the platform
 *
 * DESCRIPTION
 *	For each partition that this node keeps: reads the row portion/P, plans
 *	with portion_plan(), raises by a commit before the raise is in force, and
 *	lowers in force before the commit. Runs on the control thread.
 */

typedef struct portions_io portions_io_t;

portions_io_t *portions_io_create(TALLOC_CTX *parent, node_t *node, store_t *store);
void portions_io_destroy(portions_io_t *io);

/* Does what is due for a partition that this node keeps. */
void portions_io_step(portions_io_t *io, uint32_t partition, usec_t now);

/* Looks at the partition at the next step. */
void portions_io_replan(portions_io_t *io, uint32_t partition, usec_t now);

/* Looks at all partitions if the number of zones changed. */
void portions_io_check_zones(portions_io_t *io, usec_t now);

#endif
