#ifndef EGRET_EGRETSCALED_CONTROL_CONFIG_POLL_H
#define EGRET_EGRETSCALED_CONTROL_CONFIG_POLL_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	config_poll - reads record changes from the platform
 *
 * DESCRIPTION
 *	The nodes of a small zone watch the records without a break. In a larger
 *	zone each node waits a random time between two watches, so that the zone
 *	starts about ZONE_POLLS_PER_SECOND watches in all. Beside the watch, a node
 *	reads the records without waiting for a change (a check) whenever it has had no
 *	evidence for some time that its configuration is current (config/freshness).
 *	After a failed read it makes only checks until one succeeds, with backoff as
 *	long as peers supply the evidence. Also writes this node's
 *	address as the row node/ADDRESS and reads these rows of the other nodes as
 *	seeds.
 *
 * THREADS
 *	Control thread.
 */

#define ZONE_POLLS_PER_SECOND 2

typedef struct config_poll config_poll_t;

config_poll_t *config_poll_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  node_t *node, store_t *store);

/* Starts to read all records immediately, after the process was paused. */
void config_poll_now(config_poll_t *poll);
void config_poll_destroy(config_poll_t *poll);

#endif
