#ifndef EGRET_EGRETSCALED_REQUEST_CLAIMS_IO_H
#define EGRET_EGRETSCALED_REQUEST_CLAIMS_IO_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	claims_io - idempotency keys: claim, run, keep the answer, replay
 *
 * DESCRIPTION
 *	Claims of one worker that arrive while a commit is under way go together
 *	in the next one. A claimed request runs to its end even if its caller
 *	goes away, so that the answer can be kept for the caller's repetition.
 */

typedef struct claim_batch claim_batch_t;

claim_batch_t *claim_batch_create(worker_t *worker);
void claim_batch_destroy(claim_batch_t *batch);

/* Claims the key; goes on with http_attempt_dispatch(), a replay or a refusal. */
void claims_io_claim(http_request_t *request, const char *key);

#endif
