#ifndef EGRET_EGRETSCALED_PEERS_INGRESS_H
#define EGRET_EGRETSCALED_PEERS_INGRESS_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	ingress - peer links accepted from other nodes
 *
 * DESCRIPTION
 *	Handles calls to this node's target, fences, loan requests, pulls and keeper
 *	confirmations. Calls are cancelled when their link is closed.
 */

/* Accepts a link on the connected socket, which the link then owns. */
void ingress_accept(worker_t *worker, int fd);

/* Replies to each call that runs on the target or waits for it with an unknown outcome,
 * and cancels it. */
void ingress_cancel_calls(worker_t *worker);

/* Cancels the calls of an ingress_link_t and frees it (GDestroyNotify of
 * worker->ingress_links). */
void ingress_link_destroy(void *link);

#endif
