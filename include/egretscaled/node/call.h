#ifndef EGRET_EGRETSCALED_NODE_CALL_H
#define EGRET_EGRETSCALED_NODE_CALL_H

#include "admission/priority.h"
#include "common/clock.h"
#include "http/body.h"
#include "http/headers.h"
#include "wire/egret.pb-c.h"

#include <glib.h>
#include <stdbool.h>

/*
 * NAME
 *	call - one attempt to serve a request through one sink
 *
 * DESCRIPTION
 *	A source (an HTTP request or a call from a peer) creates a call, fills in
 *	the request and hands it to a sink (a peer or the gate of this node's
 *	target). The sink replies once with call_reply(), then writes the reply
 *	body and ends or aborts it.
 *
 * OWNERSHIP
 *	The source owns the call. call_destroy() calls the sink's detach callback,
 *	which cancels the sink's work. A sink that has finished calls call_detach().
 *
 * THREADS
 *	A call belongs to the thread of one worker.
 */

/* Longest request id accepted from a client. Ids of nested calls grow with the depth. */
#define REQUEST_ID_MAX_BYTES 1024

typedef struct request_context {
	char *request_id;
	char *account;
	uint32_t importance;
	uint32_t rank;
	usec_t deadline;  /* boot clock */
	uint32_t retries; /* still allowed */
	uint32_t depth;	  /* outbound calls between the caller's request and this one */
	bool idempotent;
	uint64_t fingerprint; /* hash of the request, for crash suspects */
} request_context_t;

/* Does not free the previous contents of `out`. */
void request_context_copy(request_context_t *out, const request_context_t *from);
void request_context_clear(request_context_t *context);
priority_t request_context_priority(const request_context_t *context);

/* Value of content_length if the body has no Content-Length. */
#define LENGTH_UNKNOWN (-1)

typedef struct call_reply {
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	GPtrArray *headers; /* of header_t, or NULL */
	int64_t content_length;
	/* The body of the response ends with the connection to the target, so that its
	 * end does not show that it is complete. */
	bool ends_with_connection;
	bool has_load;		     /* the fields up to downstream_pressure are set */
	priority_t level;	     /* shed level of the gate */
	priority_t downstream_level; /* lowest shed level that outbound calls reported */
	uint32_t limit;
	uint32_t inflight;
	uint32_t queued;
	uint32_t response_time_usec; /* smoothed, of the target; 0 if unknown */
	/* Highest pressure of the services to which the target makes outbound calls for
	 * requests of the route, see node_downstream_pressure(). */
	double downstream_pressure;
	/* Lowest share of the calls downstream that can be completed, 0 to 1, see
	 * node_downstream_completable(). */
	double downstream_completable;
	bool calls_unavailable;	   /* see node_calls_unavailable() */
	bool makes_calls;	   /* the target usually makes outbound calls */
	uint32_t retries_returned; /* unused retries of the context */
} call_reply_t;

typedef struct call call_t;

typedef void (*call_reply_fn)(call_t *call, void *ctx);
typedef void (*call_detach_fn)(call_t *call, void *sink);

struct call {
	uint64_t attempt; /* id */
	request_context_t context;
	char *service;
	char *route; /* name; chosen by the entry node */
	char *method;
	char *path;
	GPtrArray *headers;
	int64_t content_length; /* of the request body, or LENGTH_UNKNOWN */
	body_t *request_body;
	body_t *reply_body;
	call_reply_t reply;
	bool replied;
	call_reply_fn on_reply;
	void *on_reply_ctx;
	void *sink;
	call_detach_fn detach;
};

typedef struct request_line {
	const char *service;
	const char *route;
	const char *method;
	const char *path;
} request_line_t;

call_t *call_create(const request_context_t *context, uint64_t attempt,
		    const request_line_t *line);
void call_destroy(call_t *call);

/* `detach` is called by call_destroy(), unless the sink calls call_detach() before. */
void call_attach(call_t *call, void *sink, call_detach_fn detach);
void call_detach(call_t *call);

/* Takes ownership of the reply's header list. A reply after the first is freed and has
 * no other effect. */
void call_reply(call_t *call, const call_reply_t *reply);

/* Replies with an outcome and a reason instead of a response of the target. Ends the
 * reply body, which is empty. */
void call_refuse(call_t *call, Egret__Outcome outcome, Egret__Reason reason);

#endif
