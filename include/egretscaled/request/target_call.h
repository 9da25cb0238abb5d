#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_CALL_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_CALL_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	target_call - a call through the gate to the own target
 *
 * DESCRIPTION
 *	Asks the gate, waits for its turn, sends the HTTP request to the target
 *	with curl and streams the answer back. Attaches itself as the call's
 *	sink. not-run is only stated if no byte of the request can have reached
 *	the target, or if the target itself said so.
 */

void target_call_start(worker_t *worker, call_t *call);

/* The gate decided a waiting call; called on any thread by node_run_gate(). */
void target_call_handle_verdict(void *ticket_ctx, gate_verdict_t verdict);

#endif
