#ifndef EGRET_EGRETSCALED_WIRING_H
#define EGRET_EGRETSCALED_WIRING_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	parts - which room does what for a node and its workers
 *
 * DESCRIPTION
 *	The rooms of the daemon, each with what it may include:
 *
 *	node	 what all share: settings, configuration in force, locks, workers,
 *		 calls; none of the others
 *	peers	 links and datagrams between nodes; node
 *	rates	 the accounts' rates; node, peers
 *	request	 HTTP requests, attempts, the own target; node, peers, rates
 *	control	 watch of the platform, admin interface; node, rates
 *
 *	Only main.c and parts.c know all of them. A lower room calls a higher one
 *	through these tables.
 */

const node_ops_t *wiring_node_ops(void);
const worker_ops_t *wiring_worker_ops(void);

#endif
