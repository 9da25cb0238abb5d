#ifndef EGRET_EGRETSCALED_NODE_LOCKS_H
#define EGRET_EGRETSCALED_NODE_LOCKS_H

/*
 * NAME
 *	locks - the order in which a node's locks are taken
 *
 * DESCRIPTION
 *	A thread that holds one of these locks takes only locks further down.
 *	None is held over I/O or while a callback of another module runs, but
 *	for the callbacks of gossip, which run under gossip_lock.
 *
 *	1. node.gossip_lock	directory and gossip
 *	2. node.config_lock	configuration log and the pointer to config_t
 *	3. node.account_lock	borrowers, lenders and leases
 *	4. node.gate_lock	gate and the own target's announcement
 *	5. node.inflight_lock	live requests, started and fenced attempts
 *	6. node.router_lock	router, backpressure and retry ratios
 *	7. node.suspect_lock	crash suspects
 *	8. worker.inbox_lock	tasks posted to a worker
 */

#endif
