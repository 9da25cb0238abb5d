#ifndef EGRET_EGRETSCALED_CLAIMS_IO_H
#define EGRET_EGRETSCALED_CLAIMS_IO_H

#include "egretscaled/http_request.h"

/*
 * NAME
 *	claims_io - idempotency keys: claim, run, keep the answer, replay
 *
 * DESCRIPTION
 *	Claims of one worker that arrive while a commit is under way go together
 *	in the next one. A claimed request runs to its end even if its caller
 *	goes away, so that the answer can be kept for the caller's repetition.
 */

typedef struct claim_handle claim_handle_t;
typedef struct claim_batch claim_batch_t;

claim_batch_t *claim_batch_create(worker_t *worker);
void claim_batch_destroy(claim_batch_t *batch);

/* Claims the key; goes on with http_request_dispatch(), a replay or a refusal. */
void claims_io_claim(http_request_t *request, const char *key);

/* Collects the answer to keep it; returns false if there is nothing to keep. */
bool claims_io_keep_answer(http_request_t *request);

/* The request is decided: release the claim if the request did not run. */
void claims_io_finish(http_request_t *request);

/* The caller is gone: the claim takes over the running call, if any. */
void claims_io_adopt(http_request_t *request);

/* The request is freed. */
void claims_io_abandon(http_request_t *request);

#endif
