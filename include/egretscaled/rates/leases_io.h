#ifndef EGRET_EGRETSCALED_RATES_LEASES_IO_H
#define EGRET_EGRETSCALED_RATES_LEASES_IO_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	leases_io - keeper leases in the platform's table service
 *
 * DESCRIPTION
 *	Acquires leases that no node of the zone holds, renews all leases of this
 *	node in one commit, and releases them at a planned stop. For held leases
 *	it also runs the steps of portions_io and confirm. Updates the list of all
 *	zones' keepers in node.accounts.
 *
 * THREADS
 *	Runs on the control thread.
 */

typedef struct leases_io leases_io_t;

leases_io_t *leases_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      store_t *store);
void leases_io_destroy(leases_io_t *io);

/* Drops all leases, which stops lending at once, and releases their rows by commits that
 * complete later. */
void leases_io_release(leases_io_t *io);

#endif
