#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_REQUEST_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_REQUEST_H

#include "claims/claim.h"
#include "egretscaled/node/call.h"
#include "egretscaled/node/dialect.h"
#include "egretscaled/node/worker.h"

/*
 * NAME
 *	http_request - one HTTP request of a caller or of this node's target
 *
 * DESCRIPTION
 *	The state of a request that the files of the request path share, and the
 *	functions that end it. http_front reads the request and sends the response,
 *	entry checks and prepares it, http_attempt routes and sends it. A body of at
 *	most HTTP_BUFFERED_BODY_BYTES is buffered for retries; a longer one is
 *	streamed, and the request is not retried once it was sent.
 *
 * OWNERSHIP
 *	http_front creates a request when its head was read and frees it when its
 *	exchange ends.
 *
 * THREADS
 *	A request belongs to one worker. http_request_cancel() may be called on any
 *	thread.
 */

#define HTTP_BUFFERED_BODY_BYTES BODY_WINDOW_BYTES
/* The top byte of a request's number is its worker's index. */
#define HTTP_WORKER_SHIFT 56

typedef struct http_request http_request_t;

typedef enum http_listener {
	HTTP_LISTENER_CALLERS,
	HTTP_LISTENER_TARGET,  /* outbound calls of this node's target, and its reports */
	HTTP_LISTENER_REPORTS, /* reports of this node's target only */
} http_listener_t;

/* Callbacks of a request with an idempotency key. */
typedef struct claim_ops {
	/* Collects and stores the response; returns false if it is not to be stored. */
	bool (*store_response)(http_request_t *request);
	/* The outcome of the request is set. */
	void (*on_outcome)(http_request_t *request);
	/* The client hung up, the worker stops, or the request is about to be freed. May
	 * take over the request's call (sets `call` to NULL), see claim_handle.h. */
	void (*on_abort)(http_request_t *request);
	void (*on_free)(http_request_t *request);
} claim_ops_t;

struct http_request {
	worker_t *worker;
	http_server_t *server;
	http_exchange_t *exchange;
	http_listener_t listener;
	uint64_t number;
	char *method;
	char *path; /* with the query */
	char *host;
	bool http_1_1;			  /* else HTTP/1.0 */
	request_headers_t parsed_headers; /* the strings belong to the exchange */
	bool headers_valid;		  /* false if the dialect found them malformed */
	GPtrArray *headers;		  /* of header_t; those that are forwarded */
	int64_t content_length;		  /* or LENGTH_UNKNOWN */
	usec_t arrived_at;		  /* boot clock */

	/* Body: the first part is buffered, the rest is streamed to the call. */
	GByteArray *buffered_body;
	bool body_begun; /* some of it was read */
	bool body_ended;
	bool discard_body;
	bool streaming; /* the body had not ended when the call was sent */

	/* Filled in by entry_check() or outbound_check(). */
	bool begun; /* entry_begin(), outbound_begin() or the report handler ran */
	uint64_t config_revision; /* of the configuration that gave the route */
	bool from_target;	  /* an outbound call that arrived on a caller listener */
	request_context_t context;
	usec_t objective; /* latency objective of the route; 0 if none */
	retry_count_t retries;
	char *service;
	char *target_path; /* path and query that the target receives */
	char *route;	   /* name of the route; "SERVICE METHOD" for an outbound call */
	/* Outbound call: token of the request in flight that made it; else empty. */
	char parent_token[CONTEXT_TOKEN_TEXT_BYTES];
	uint32_t retries_lent_by_parent;
	bool waits_for_rate; /* for a token of the account's rate */
	bool is_target_report;

	/* Attempts. */
	call_t *call;	       /* NULL between attempts */
	uint32_t retries_lent; /* to the current attempt */
	uint32_t attempt_count;
	bool may_have_run;		   /* an earlier attempt's outcome is unknown */
	uint32_t reroutes;		   /* attempts that reached no target */
	uint32_t resends;		   /* to an instance that had rejected the call */
	bool sends_again;		   /* the next attempt is a resend */
	char instance[ADDRESS_TEXT_BYTES]; /* of the current attempt */
	usec_t instance_since;		   /* see router_choice_t.since */
	/* Of that instance; set only where roll-outs are on. */
	char version[MEMBER_TEXT_BYTES];
	char instance_zone[MEMBER_TEXT_BYTES];
	usec_t sent_at;
	struct tevent_timer *retry_timer;
	struct tevent_timer *deadline_timer;
	char (*excluded)[ADDRESS_TEXT_BYTES]; /* instances that were tried */
	uint32_t excluded_count;
	bool routed; /* the router counts the current attempt as in flight */
	priority_t downstream_level; /* lowest shed level that replies reported */
	bool calls_unavailable;	     /* as the last reply reported */

	/* Idempotency key. */
	struct claim_handle *claim; /* NULL without one */
	const claim_ops_t *claim_ops;

	/* Response. */
	bool response_ready;  /* the outcome is set */
	bool response_queued; /* handed to the exchange */
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;       /* HTTP status */
	GBytes *response_body; /* of a response that no call streams, or NULL */
	GPtrArray *response_headers;
};

/* Cancels the request with this number on its worker; any thread. No effect if it is over
 * or has an outcome. */
void http_request_cancel(node_t *node, uint64_t number);

/* Looks up a request of the worker by its number; NULL if it is over. */
http_request_t *http_request_find(worker_t *worker, uint64_t number);

/* Whether the current attempt may have run: it is in flight, or its reply does not state
 * not-run and was not processed or delivered yet. */
bool http_request_may_have_run(const http_request_t *request);

/* Ends the request without a response of a target: drops its call, if any. A request of
 * which an earlier attempt may have run ends as unknown, also if `outcome` is not-run. No
 * effect if it has an outcome. */
void http_request_refuse(http_request_t *request, Egret__Outcome outcome,
			 Egret__Reason reason);

/* Ends the request after its outcome was set: the response is sent once the request body
 * was read. */
void http_request_finish(http_request_t *request);

const dialect_t *http_request_dialect(const http_request_t *request);

/* Describes the refusal of the request for the dialect. */
refusal_t http_request_refusal(const http_request_t *request);

/* Reports the end of an outbound call to the request in flight that made it, with the
 * unused retries and the shed level downstream. Only the first call has an effect. */
void http_request_report_to_parent(http_request_t *request);

/* Ends the request with a complete response, such as a stored one. Takes ownership of
 * `headers` and a reference on `body`. */
void http_request_respond(http_request_t *request, uint32_t status, GPtrArray *headers,
			  GBytes *body);

#endif
