#ifndef EGRET_EGRETSCALED_REQUEST_CLAIMS_IO_H
#define EGRET_EGRETSCALED_REQUEST_CLAIMS_IO_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	claims_io - idempotency keys: claims a row, stores or replays the response
 *
 * DESCRIPTION
 *	Claims of one worker that arrive while a commit is in flight are batched
 *	into the next one. A request whose key was claimed runs to its end even if
 *	its caller hangs up, so that the stored response can be replayed when the
 *	caller repeats the request.
 *
 * THREADS
 *	All functions run on the worker's thread, except for claim_batch_create()
 *	and claim_batch_destroy(), see worker_ops_t.
 */

typedef struct claim_batch claim_batch_t;

claim_batch_t *claim_batch_create(worker_t *worker);
void claim_batch_destroy(claim_batch_t *batch);

/* Claims the key, then dispatches the request (http_attempt_dispatch()), replays a stored
 * response or refuses the request. */
void claims_io_claim(http_request_t *request, const char *key);

#endif
