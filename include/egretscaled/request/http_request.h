#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_REQUEST_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_REQUEST_H

#include "claims/claim.h"
#include "egretscaled/node/call.h"
#include "egretscaled/node/dialect.h"
#include "egretscaled/node/worker.h"

/*
 * NAME
 *	http_request - one HTTP request of a caller or of the own target
 *
 * DESCRIPTION
 *	What the parts of the request path know of a request, and how they end
 *	it. http_front reads and answers it, entry prepares it, http_attempt sends
 *	it. Bodies that fit HTTP_HEAD_BODY_BYTES are kept for a retry; longer ones
 *	are streamed and not retried once sent.
 *
 * THREADS
 *	Belongs to one worker. http_request_cancel() may be called on any.
 */

#define HTTP_HEAD_BODY_BYTES BODY_WINDOW_BYTES
/* The worker's index in a request's number. */
#define HTTP_WORKER_SHIFT 56

typedef struct http_request http_request_t;

typedef enum http_side {
	HTTP_CALLERS,
	HTTP_TARGET,  /* calls of the own target, and its reports */
	HTTP_REPORTS, /* its reports only */
} http_side_t;

/* What the holder of an idempotency key does at the turns of its request. */
typedef struct claim_ops {
	/* Collects the answer to keep it; returns false if there is nothing to keep. */
	bool (*keep_answer)(http_request_t *request);
	void (*decided)(http_request_t *request); /* the outcome is set */
	void (*gone)(http_request_t *request);	  /* the caller went away */
	void (*freed)(http_request_t *request);	  /* the request is freed */
} claim_ops_t;

struct http_request {
	worker_t *worker;
	mhd_loop_t *loop;
	struct MHD_Connection *connection;
	http_side_t side;
	uint64_t number;
	char *method;
	char *path; /* with query, as the client wrote it */
	char *host;
	request_headers_t head; /* its texts belong to the connection */
	bool head_ok;
	GPtrArray *headers;
	int64_t content_length;
	usec_t arrived;

	/* Body: the first part is kept, the rest goes to the call. */
	GByteArray *head_body;
	bool body_ended;
	bool discard_body;
	bool streaming;

	/* Filled in by entry or egress. */
	bool prepared;
	uint64_t config_revision; /* that the route was looked up in */
	bool of_target; /* a call of the own target that came in as a caller's */
	request_context_t context;
	retry_count_t retries;
	char *service;
	char *target_path;
	char *route;
	char parent[CONTEXT_TOKEN_TEXT_BYTES]; /* egress: the live request */
	uint32_t lent_by_parent;
	bool waits_for_rate;
	bool announcement; /* of the own target, not a call */

	/* Attempts. */
	call_t *call;
	uint32_t lent;
	uint32_t attempt_count;
	uint32_t reroutes; /* attempts that reached no target */
	char instance[ADDRESS_TEXT_BYTES];
	struct tevent_timer *retry_timer;
	struct tevent_timer *deadline_timer;
	char (*excluded)[ADDRESS_TEXT_BYTES];
	uint32_t excluded_count;
	bool routed;
	priority_t below;

	/* Idempotency key. */
	struct claim_handle *claim; /* NULL without one */
	const claim_ops_t *claim_ops;

	/* Answer. */
	bool answer_ready;
	bool answer_queued;
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	GBytes *replay; /* body of a kept answer */
	GPtrArray *replay_headers;
	bool suspended;
	bool gone;
};

/* Cancels the request with this number, whichever worker it is on. */
void http_request_cancel(node_t *node, uint64_t number);

/* The request's lookup by number on its worker; NULL once it is over. */
http_request_t *http_request_find(worker_t *worker, uint64_t number);

/* Ends the request without a target's answer. */
void http_request_refuse(http_request_t *request, Egret__Outcome outcome,
			 Egret__Reason reason);

/* The outcome is set: answer the client as soon as its body was read. */
void http_request_ready(http_request_t *request);

const dialect_t *http_request_dialect(const http_request_t *request);

/* What a refusal tells the client. */
refusal_t http_request_refusal(const http_request_t *request);

/* Tells the live request whose target made this call that it is over; once. */
void http_request_return_to_parent(http_request_t *request);

/* Whether libmicrohttpd has something to do for the connection now. */
bool http_request_has_work(const http_request_t *request);

/* Leaves the connection alone until http_request_wake() or a hangup. */
void http_request_suspend(http_request_t *request);

/* The client went away: drops the call and resumes the connection. */
void http_request_gone(http_request_t *request);

/* Lets libmicrohttpd go on with the connection if there is something to do. */
void http_request_wake(http_request_t *request);

/* Answers with a kept answer of an earlier run. */
void http_request_replay(http_request_t *request, uint32_t status, GPtrArray *headers,
			 GBytes *body);

#endif
