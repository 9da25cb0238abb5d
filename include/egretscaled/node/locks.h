#ifndef EGRET_EGRETSCALED_NODE_LOCKS_H
#define EGRET_EGRETSCALED_NODE_LOCKS_H

/*
 * NAME
 *	locks - lock order of a node
 *
 * DESCRIPTION
 *	A thread that holds one of these locks may only acquire locks with a higher
 *	number. A thread that holds a lock does not block on I/O. Datagrams are sent
 *	without blocking: those of the gossip protocol and tokens under
 *	gossip_lock, demand reports under gossip_lock and account_lock (shares_io.c).
 *
 *	Callbacks that run under a lock: gossip_ops_t and node_ops_t.on_member
 *	(gossip_lock), zone_rates_report() (gossip_lock and account_lock),
 *	node_ops_t.on_gate_verdict (gate_lock), router_foreach() and
 *	route_calls_foreach() (router_lock).
 *
 *	1. node.gossip_lock	directory and gossip
 *	2. node.config_lock	configuration log, the pointer to config_t, certificate
 *	3. node.account_lock	leases, lenders, keeper locations and zone_rates
 *	4. node.gate_lock	gate and state of this node's target
 *	5. node.inflight_lock	requests in flight, started and fenced attempts
 *	6. node.router_lock	router, roll-outs, route calls, backpressure, retry
 *				budgets
 *	7. node.suspect_lock	crash suspects, calls lost at a crash
 *	8. node.stop_lock	phases of a planned stop
 *	9. worker.inbox_lock	tasks posted to a worker
 */

#endif
