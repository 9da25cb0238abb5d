#ifndef EGRET_EGRETSCALED_PEERS_GOSSIP_IO_H
#define EGRET_EGRETSCALED_PEERS_GOSSIP_IO_H

#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	gossip_io - the socket, the clock and the callbacks of gossip
 *
 * DESCRIPTION
 *	Runs on the control thread. Datagrams are a tag of DATAGRAM_TAG_BYTES and
 *	a Gossip message; those that fail authentication are counted and dropped
 *	before they are parsed.
 */

typedef struct gossip_io gossip_io_t;

const gossip_ops_t *gossip_io_ops(void);

gossip_io_t *gossip_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      GError **error);
void gossip_io_destroy(gossip_io_t *io);

/* Sends one signed datagram. */
void gossip_io_send(node_t *node, const char *address, const Egret__Gossip *message);

#endif
