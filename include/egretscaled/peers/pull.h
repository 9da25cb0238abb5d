#ifndef EGRET_EGRETSCALED_PEERS_PULL_H
#define EGRET_EGRETSCALED_PEERS_PULL_H

#include "egretscaled/node/node.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	pull - configuration and directory from another node over TCP
 *
 * DESCRIPTION
 *	A pull asks for all record changes after the own revision, and for the
 *	directory entries of the buckets whose digests differ. One pull runs at a
 *	time; membership/sync.h tells when. A node without the platform is ready
 *	after complete pulls from two peers.
 *
 * THREADS
 *	The puller runs on the control thread; pull_request() may be called on
 *	any thread, also under gossip_lock. pull_answer() runs on a worker.
 */

typedef struct puller puller_t;

puller_t *puller_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node);
void puller_destroy(puller_t *puller);

/* Asks for a pull from this peer soon. */
void pull_request(node_t *node, const char *address);

void pull_answer(node_t *node, frame_link_t *link, const Egret__Pull *pull);

#endif
