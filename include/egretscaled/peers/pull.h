#ifndef EGRET_EGRETSCALED_PEERS_PULL_H
#define EGRET_EGRETSCALED_PEERS_PULL_H

#include "egretscaled/node/node.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	pull - fetches configuration and directory from other nodes over TCP
 *
 * DESCRIPTION
 *	A pull requests all record changes after the revision of this node and the
 *	directory entries of the buckets whose digests differ. One pull is in flight
 *	at a time; membership/sync.h decides when. A node that cannot reach the
 *	platform becomes ready after complete pulls from two peers.
 *
 * THREADS
 *	The puller runs on the control thread. pull_request() may be called on any
 *	thread, also with gossip_lock held. pull_send_reply() runs on a worker.
 */

typedef struct puller puller_t;

puller_t *puller_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node);
void puller_destroy(puller_t *puller);

/* Requests a pull from this peer; replaces an earlier request that has not started. Does
 * nothing while the node has no puller. */
void pull_request(node_t *node, const char *address);

/* Replies to a pull with record changes and directory entries. `complete` is false in the
 * reply if record changes remain; the puller then sends another pull. */
void pull_send_reply(node_t *node, frame_link_t *link, const Egret__Pull *pull);

#endif
