#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_LOSS_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_LOSS_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	target_loss - calls whose connection the target closed or reset
 *
 * DESCRIPTION
 *	Notes such a call with node/crash.h and finds out whether the target crashed:
 *	it connects once at once, unless curl has done so by itself for a kept
 *	connection, and once more shortly after, and sends nothing. A target that
 *	refuses has crashed and counts as absent until its next report. One that is
 *	back before that reports the start of another process. A target whose reports
 *	have no id cannot: if it closes a new connection without a byte, it counts as
 *	crashed.
 *
 *	A target that is leaving has ended as planned and is not examined.
 *
 * THREADS
 *	The worker's thread.
 */

typedef struct target_loss target_loss_t;

target_loss_t *target_loss_create(worker_t *worker);
void target_loss_destroy(target_loss_t *loss);

/* The transfer of a call with this context, whose request was sent at `started_at`, ended
 * with `code`. Any code; does nothing unless the target ended the connection. */
void target_loss_handle(target_loss_t *loss, const request_context_t *context,
			usec_t started_at, CURL *easy, CURLcode code);

/* A response ended with the connection, as its head allows. Returns whether the call is
 * noted until the next report of the target shows whether it crashed; false if no report
 * can, so that the response counts as complete. */
bool target_loss_handle_end(node_t *node, const request_context_t *context,
			    usec_t started_at);

/* The source dropped the call within its response. Notes the call: a crash before the
 * next report of the target would otherwise not be counted against it. */
void target_loss_handle_drop(node_t *node, const request_context_t *context,
			     usec_t started_at);

#endif
