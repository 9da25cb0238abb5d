#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_CALL_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_CALL_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	target_call - a call through the gate to this node's target
 *
 * DESCRIPTION
 *	Requests admission from the gate, waits in its queue, sends the HTTP request
 *	to the target with curl and streams the response back. Attaches itself as
 *	the call's sink. The outcome is not-run (the target did not run the request)
 *	only if no byte of the request can have reached the target, or if the target
 *	itself stated it.
 */

/* Starts the call on the worker's thread; it may be refused at once. */
void target_call_start(worker_t *worker, call_t *call);

/* Posts the gate's verdict on a queued call to the call's worker. Called by
 * node_run_gate() on any thread, under gate_lock. */
void target_call_handle_verdict(void *ticket_ctx, gate_verdict_t verdict);

#endif
