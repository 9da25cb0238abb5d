#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_CALL_STATE_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_CALL_STATE_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	target_call_state - one call to this node's target, shared by target_call
 *	and target_send
 *
 * DESCRIPTION
 *	target_call requests admission from the gate and determines the outcome of
 *	the call; target_send sends the HTTP request and receives the response.
 *
 * OWNERSHIP
 *	target_call frees the state when the call ends. If the source drops the call
 *	while a verdict is posted to the worker, the posted task frees it.
 */

typedef struct target_call {
	worker_t *worker;
	call_t *call; /* NULL once the source dropped it while a verdict was posted */
	gate_ticket_t ticket;
	bool verdict_posted; /* guarded by gate_lock */
	gate_verdict_t verdict;
	char token[CONTEXT_TOKEN_TEXT_BYTES]; /* of the request in flight */
	bool inflight;			      /* the inflight table holds the request */
	bool attempt_started;		      /* recorded in node.attempts */
	usec_t started_at;		      /* boot clock */
	CURL *easy;
	struct curl_slist *headers; /* of the request */
	char *url;
	call_reply_t reply;
	char target_id[MEMBER_TEXT_BYTES]; /* of the target's process that the request
					      names */
	bool headers_delivered;
	bool response_paused; /* the reply body is full */
	bool request_paused;  /* the request body has no data yet */
	int64_t request_read; /* bytes of the request body that curl took */
	/* The target answered before it got the whole request body. The rest is not sent,
	 * and the connection is closed behind the response. */
	bool answered_early;
	int64_t response_left; /* if so: bytes of the body to come, or LENGTH_UNKNOWN */
	struct tevent_timer *finish_timer; /* the response is complete; or NULL */
} target_call_t;

/* Sends the request of a call that the gate admitted. */
void target_send_start(target_call_t *tc, const char *address);

/* Passes status and headers of the response to the source, at the first byte of the body
 * or at its end; to be called once. */
void target_call_deliver_headers(target_call_t *tc);

/* The transfer ended; a curl_done_fn. */
void target_call_handle_done(void *ctx, CURL *easy, CURLcode code);

#endif
