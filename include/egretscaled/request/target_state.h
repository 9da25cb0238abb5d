#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_STATE_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_STATE_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	target_state - one call to the own target, shared by target_call and
 *	target_send
 *
 * DESCRIPTION
 *	target_call asks the gate and decides what an end means; target_send
 *	writes the HTTP request and reads the answer.
 */

typedef struct target_call {
	worker_t *worker;
	call_t *call; /* NULL once the source gave up while a verdict is posted */
	gate_ticket_t ticket;
	bool decision_posted;
	gate_verdict_t verdict;
	char token[CONTEXT_TOKEN_TEXT_BYTES];
	bool live;
	bool attempt_started;
	usec_t started;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	call_reply_t reply;
	response_headers_t answer;
	char instance[MEMBER_TEXT_BYTES]; /* incarnation that the request names */
	bool head_complete;
	bool answer_paused;
	bool request_paused;
} target_call_t;

/* Sends the request of a call that the gate let run. */
void target_send_start(target_call_t *tc, const char *address);

/* Gives the answer's head to the source; once. */
void target_call_complete_head(target_call_t *tc);

/* The transfer ended; a curl_done_fn. */
void target_call_handle_done(void *ctx, CURL *easy, CURLcode code);

#endif
