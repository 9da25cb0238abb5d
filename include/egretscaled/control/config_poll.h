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
 *	Reads the records when config/read_plan decides, puts them in force, and sends
 *	evidence that the configuration is current to peers. Also writes this node's
 *	address as the row node/ADDRESS and reads these rows of the other nodes as
 *	seeds.
 *
 * THREADS
 *	Control thread.
 */

typedef struct config_poll config_poll_t;

config_poll_t *config_poll_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  node_t *node, store_t *store);

/* Starts to read all records immediately, after the process was paused. */
void config_poll_now(config_poll_t *poll);
void config_poll_destroy(config_poll_t *poll);

#endif
