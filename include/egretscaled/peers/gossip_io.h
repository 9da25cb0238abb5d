#ifndef EGRET_EGRETSCALED_PEERS_GOSSIP_IO_H
#define EGRET_EGRETSCALED_PEERS_GOSSIP_IO_H

#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	gossip_io - UDP socket, timer and callbacks of the gossip protocol
 *
 * DESCRIPTION
 *	Runs on the control thread. A datagram is an authentication tag of
 *	DATAGRAM_TAG_BYTES followed by a packed Gossip message. Datagrams that fail
 *	authentication are counted and dropped before they are parsed.
 */

typedef struct gossip_io gossip_io_t;

const gossip_ops_t *gossip_io_ops(void);

/* Binds the socket to the node's peer address. Returns NULL with EGRET_ERROR_IO set if
 * that fails. */
gossip_io_t *gossip_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      GError **error);
void gossip_io_destroy(gossip_io_t *io);

/* Sends one signed datagram. One that is too large is counted and dropped; send errors
 * are ignored. */
void gossip_io_send(node_t *node, const char *address, const Egret__Gossip *message);

/* Adds this node's configuration revision and the age of its evidence, and sends the
 * datagram. Acquires gossip_lock. */
void gossip_io_send_with_config(node_t *node, const char *address,
				Egret__Gossip *message);

#endif
