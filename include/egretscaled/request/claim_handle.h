#ifndef EGRET_EGRETSCALED_REQUEST_CLAIM_HANDLE_H
#define EGRET_EGRETSCALED_REQUEST_CLAIM_HANDLE_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	claim_handle - one request with an idempotency key, shared by claims_io and
 *	claims_response
 *
 * DESCRIPTION
 *	If the client hangs up before the response is complete, the handle adopts the
 *	request's call: it takes over the call, so that its response can still be
 *	stored for a later request with the same key.
 *
 * OWNERSHIP
 *	Reference-counted: the HTTP request, each store operation in flight and an
 *	adopted call hold one reference each.
 *
 * THREADS
 *	Belongs to the request's worker.
 */

typedef struct claim_handle {
	worker_t *worker;
	/* Number of the HTTP request; 0 once its call was adopted or it was freed. */
	uint64_t request_number;
	char *row_key;
	uint64_t fingerprint;
	uint64_t owner;	   /* random id of this claim, in the row */
	uint64_t revision; /* of the claimed row; 0 until claimed */
	/* Revision of the tombstone that the claim replaces; 0 if there is no row. */
	uint64_t expected_revision;
	bool claimed;
	/* The last change of the row has begun: the response is stored or the row is
	 * deleted. Or the row stays as it is, since the response is unknown. */
	bool settled;
	call_t *adopted_call; /* see DESCRIPTION; NULL if none */
	GByteArray *response_body;
	call_reply_t response; /* status, and a reference on the headers */
	int release_attempts;
	int references;
} claim_handle_t;

void claim_handle_unref(claim_handle_t *handle);

/* The HTTP request, or NULL once its call was adopted or it was freed. */
http_request_t *claim_handle_request(const claim_handle_t *handle);

/* Deletes the row of a request that did not run, with retries. No effect if settled. */
void claim_handle_release_row(claim_handle_t *handle);

/* Callbacks of claim_ops_t, see http_request.h; in claims_response.c. */
bool claim_handle_store_response(http_request_t *request);
void claim_handle_adopt_call(http_request_t *request);

#endif
