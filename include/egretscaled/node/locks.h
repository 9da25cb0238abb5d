#ifndef EGRET_EGRETSCALED_NODE_LOCKS_H
#define EGRET_EGRETSCALED_NODE_LOCKS_H

/*
 * NAME
 *	locks - lock order of a node
 *
 * DESCRIPTION
 *	A thread that holds one of these locks may only acquire locks with a higher
 *	number. No lock is held during I/O. Two kinds of callbacks run under a lock:
 *	gossip's under gossip_lock, node_ops_t.on_gate_verdict under gate_lock.
 *
 *	1. node.gossip_lock	directory and gossip
 *	2. node.config_lock	configuration log, the pointer to config_t, certificate
 *	3. node.account_lock	borrowers, lenders, leases and shares
 *	4. node.gate_lock	gate and the own target's announcement
 *	5. node.inflight_lock	requests in flight, started and fenced attempts
 *	6. node.router_lock	router, backpressure and retry budgets
 *	7. node.suspect_lock	crash suspects
 *	8. worker.inbox_lock	tasks posted to a worker
 */

#endif
