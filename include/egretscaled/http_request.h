#ifndef EGRET_EGRETSCALED_HTTP_REQUEST_H
#define EGRET_EGRETSCALED_HTTP_REQUEST_H

#include "claims/claim.h"
#include "egretscaled/call.h"
#include "egretscaled/dialect.h"
#include "egretscaled/worker.h"

/*
 * NAME
 *	http_request - one HTTP request of a caller or of the own target
 *
 * DESCRIPTION
 *	Reads the request's head and up to HTTP_HEAD_BODY_BYTES of its body,
 *	lets the entry or the egress prepare it (prepare), then makes attempts
 *	until one answers, and streams the answer back. Bodies that fit the
 *	buffer are kept for a retry; longer ones are streamed and not retried
 *	once sent.
 *
 * THREADS
 *	Belongs to one worker. http_request_cancel() may be called on any.
 */

#define HTTP_HEAD_BODY_BYTES BODY_WINDOW_BYTES

typedef struct http_request http_request_t;

typedef enum http_side {
	HTTP_CALLERS,
	HTTP_TARGET,  /* calls of the own target, and its reports */
	HTTP_REPORTS, /* its reports only */
} http_side_t;

struct http_request {
	worker_t *worker;
	mhd_loop_t *loop;
	struct MHD_Connection *connection;
	http_side_t side;
	uint64_t number;
	char *method;
	char *path; /* with query, as the client wrote it */
	char *host;
	request_head_t head; /* its texts belong to the connection */
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
	char parent[LIVE_TOKEN_TEXT_BYTES]; /* egress: the live request */
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
	struct claim_handle *claim;

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

/* Handlers for mhd_loop_create(); ctx is the worker. */
enum MHD_Result http_request_handle_caller(void *ctx, struct MHD_Connection *connection,
					   const char *url, const char *method,
					   const char *version, const char *data,
					   size_t *data_len, void **state);
enum MHD_Result http_request_handle_target(void *ctx, struct MHD_Connection *connection,
					   const char *url, const char *method,
					   const char *version, const char *data,
					   size_t *data_len, void **state);
enum MHD_Result http_request_handle_report(void *ctx, struct MHD_Connection *connection,
					   const char *url, const char *method,
					   const char *version, const char *data,
					   size_t *data_len, void **state);
void http_request_completed(void *ctx, struct MHD_Connection *connection, void **state,
			    enum MHD_RequestTerminationCode code);

/* Cancels the request with this number, whichever worker it is on. */
void http_request_cancel(node_t *node, uint64_t number);

/* Drops every request of the worker and resumes its connection: libmicrohttpd aborts
 * when it is stopped with suspended ones. */
void http_requests_abandon(worker_t *worker);

/* The request's lookup by number on its worker; NULL once it is over. */
http_request_t *http_request_find(worker_t *worker, uint64_t number);

/* Ends the request without a target's answer. */
void http_request_refuse(http_request_t *request, Egret__Outcome outcome,
			 Egret__Reason reason);

/* The outcome is set: answer the client as soon as its body was read. */
void http_request_ready(http_request_t *request);

/* Lets libmicrohttpd go on with the connection if there is something to do. */
void http_request_wake(http_request_t *request);

/* Goes on with routing, once rate and claim are settled. */
void http_request_dispatch(http_request_t *request);

/* Answers with a kept answer of an earlier run. */
void http_request_replay(http_request_t *request, uint32_t status, GPtrArray *headers,
			 GBytes *body);

#endif
