#ifndef EGRET_EGRETSCALED_WIRING_H
#define EGRET_EGRETSCALED_WIRING_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	wiring - callbacks that connect the modules of the daemon
 *
 * DESCRIPTION
 *	The modules of the daemon, one per directory, and the modules that each may
 *	include (checked by tools/check-modules):
 *
 *	node	 settings, configuration in force, locks, workers, calls; none
 *	peers	 links and datagrams between nodes; node
 *	rates	 rates of client accounts; node, peers
 *	request	 HTTP requests, attempts, calls to the target; node, peers, rates
 *	control	 watch of the platform, admin interface; node, rates
 *
 *	Only main.c and wiring.c may include all of them. The node module calls the
 *	others through these tables.
 */

const node_ops_t *wiring_node_ops(void);
const worker_ops_t *wiring_worker_ops(void);

#endif
