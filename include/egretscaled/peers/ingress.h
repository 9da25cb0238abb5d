#ifndef EGRET_EGRETSCALED_PEERS_INGRESS_H
#define EGRET_EGRETSCALED_PEERS_INGRESS_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	ingress - links that other nodes opened to this one
 *
 * DESCRIPTION
 *	Takes calls for the own target, fences, loan requests, pulls and keeper
 *	confirmations. A link that is lost cancels its calls.
 */

void ingress_accept(worker_t *worker, int fd);
void ingress_link_destroy(void *link);

#endif
