#ifndef EGRET_EGRETSCALED_NODE_CRASH_H
#define EGRET_EGRETSCALED_NODE_CRASH_H

#include "egretscaled/node/node.h"

/*
 * NAME
 *	crash - crashes of this node's target
 *
 * DESCRIPTION
 *	Collects the calls that lost their connection to the target, and, once the
 *	target is known to have crashed, counts the crash against those that may have
 *	caused it (claims/crash_watch.h) and reports them to the other nodes.
 *
 * THREADS
 *	Any. Acquires gossip_lock and suspect_lock, one after the other.
 */

/* A call that started at `started_at` (boot clock) lost its connection. */
void node_crash_note(node_t *node, uint64_t fingerprint, usec_t started_at);

/* The response to a call that started at `started_at` ended with its connection: the call
 * completes with the next report of the same process. */
void node_crash_note_ended(node_t *node, uint64_t fingerprint, usec_t started_at);

/* The target refuses connections; node_crash_judge() is to be called after
 * CRASH_SETTLE_TIME. */
void node_crash_prove(node_t *node);

/* The target has crashed. */
void node_crash_judge(node_t *node);

/* The target, whose reports have an id, has reported its state, as the process that was
 * known or as another one. */
void node_crash_handle_report(node_t *node, bool same_process);

#endif
