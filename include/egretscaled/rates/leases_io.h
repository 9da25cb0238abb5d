#ifndef EGRET_EGRETSCALED_RATES_LEASES_IO_H
#define EGRET_EGRETSCALED_RATES_LEASES_IO_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	leases_io - keeper leases and zone portions at the platform
 *
 * DESCRIPTION
 *	Runs on the control thread. Renews all of this node's leases in one
 *	commit, takes over leases that nobody keeps, moves the zone's portions,
 *	asks for confirmation while the platform cannot be reached, and releases
 *	the leases at a planned stop.
 */

typedef struct leases_io leases_io_t;

leases_io_t *leases_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      store_t *store);
void leases_io_destroy(leases_io_t *io);

/* Stops lending and gives the rows up. */
void leases_io_release(leases_io_t *io);

#endif
