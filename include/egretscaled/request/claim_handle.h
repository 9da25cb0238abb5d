#ifndef EGRET_EGRETSCALED_REQUEST_CLAIM_HANDLE_H
#define EGRET_EGRETSCALED_REQUEST_CLAIM_HANDLE_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	claim_handle - one claimed request, shared by claims_io and claims_keep
 *
 * OWNERSHIP
 *	Reference-counted: the HTTP request holds one reference and each
 *	operation of the store under way another.
 */

typedef struct claim_handle {
	worker_t *worker;
	uint64_t request; /* number of the HTTP request, 0 once it is gone */
	char *row_key;
	uint64_t fingerprint;
	uint64_t owner;
	uint64_t revision; /* of our row; 0 until claimed */
	uint64_t expected; /* what the claim is conditional on */
	bool claimed;
	bool settled; /* the row needs nothing more from us */
	call_t *call; /* adopted from a request whose caller is gone */
	GByteArray *answer;
	call_reply_t reply; /* head of the answer, with a reference on its headers */
	int release_tries;
	int references;
} claim_handle_t;

void claim_handle_unref(claim_handle_t *handle);

/* The HTTP request, or NULL once it is gone. */
http_request_t *claim_handle_request(const claim_handle_t *handle);

/* Removes the row of a request that did not run; once. */
void claim_handle_release_row(claim_handle_t *handle);

/* As claim_ops_t; in claims_response.c. */
bool claim_handle_store_response(http_request_t *request);
void claim_handle_adopt_call(http_request_t *request);

#endif
