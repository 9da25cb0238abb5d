#ifndef EGRET_EGRETSCALED_CONTROL_CONFIG_POLL_H
#define EGRET_EGRETSCALED_CONTROL_CONFIG_POLL_H

#include "egretscaled/node/node.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	config_poll - record changes from the platform
 *
 * DESCRIPTION
 *	Each node polls at random so that its zone's nodes together make about
 *	ZONE_POLLS_PER_SECOND; while a node starts it polls more often. Failures
 *	back off with jitter. Also writes this node's row and reads the other
 *	nodes' rows as seeds.
 */

#define ZONE_POLLS_PER_SECOND 2

typedef struct config_poll config_poll_t;

config_poll_t *config_poll_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  node_t *node, store_t *store);

/* Polls at once, for a node that must catch up. */
void config_poll_now(config_poll_t *poll);
void config_poll_destroy(config_poll_t *poll);

#endif
