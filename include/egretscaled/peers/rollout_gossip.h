#ifndef EGRET_EGRETSCALED_PEERS_ROLLOUT_GOSSIP_H
#define EGRET_EGRETSCALED_PEERS_ROLLOUT_GOSSIP_H

#include "egretscaled/node/node.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	rollout_gossip - counts and verdicts of roll-outs between nodes
 *
 * DESCRIPTION
 *	Each node sends its counts to the collectors of the order, four times a
 *	second. The collectors are the ROLLOUT_COLLECTORS live nodes with the highest
 *	hash of address and order; each part of a network partition has its own. A
 *	node that decides tells all live nodes. A node that has a verdict, or the
 *	permission to send to the new version, replies with it to reports of nodes
 *	that have not.
 *
 *	A datagram holds as many cells as fit into GOSSIP_DATAGRAM_BYTES; the rest
 *	follows in further ones.
 *
 * THREADS
 *	Control thread.
 */

#define ROLLOUT_COLLECTORS 3

typedef struct rollout_gossip rollout_gossip_t;

rollout_gossip_t *rollout_gossip_create(TALLOC_CTX *parent, struct tevent_context *ev,
					node_t *node);
void rollout_gossip_destroy(rollout_gossip_t *gossip);

void rollout_gossip_handle_message(node_t *node, const Egret__Gossip *message);

#endif
