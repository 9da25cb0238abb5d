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
 *	call - one attempt of a request through one sink
 *
 * DESCRIPTION
 *	A source (an HTTP request or a call from a peer) creates a call, fills in
 *	the request and hands it to a sink (a peer or the gate of the own
 *	target). The sink answers once with call_reply(), then writes the reply
 *	body and ends or aborts it. All of it happens on one worker's thread.
 *
 * OWNERSHIP
 *	The source owns the call. call_destroy() detaches the sink, which then
 *	stops the work below. A sink that has finished detaches itself.
 */

/* Longest id that a client may give; ids of nested calls grow with the depth. */
#define REQUEST_ID_MAX_BYTES 1024

typedef struct request_context {
	char *request_id;
	char *account;
	uint32_t importance;
	uint32_t rank;
	usec_t deadline; /* boot clock */
	uint32_t retries;
	uint32_t depth;
	bool idempotent;
	uint64_t fingerprint;
} request_context_t;

void request_context_copy(request_context_t *out, const request_context_t *from);
void request_context_clear(request_context_t *context);
priority_t request_context_priority(const request_context_t *context);

#define LENGTH_UNKNOWN (-1)

typedef struct call_reply {
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	GPtrArray *headers; /* of header_t, or NULL */
	int64_t content_length;
	bool has_load;
	priority_t level;
	priority_t downstream_level;
	uint32_t limit;
	uint32_t inflight;
	uint32_t queued;
	double downstream_pressure; /* of the services below the route */
	uint32_t retries_returned;
} call_reply_t;

typedef struct call call_t;

typedef void (*call_reply_fn)(call_t *call, void *ctx);
typedef void (*call_detach_fn)(call_t *call, void *sink);

struct call {
	uint64_t attempt;
	request_context_t context;
	char *service;
	char *route; /* name of the route that the entry chose */
	char *method;
	char *path;
	GPtrArray *headers;
	int64_t content_length;
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

void call_attach(call_t *call, void *sink, call_detach_fn detach);
void call_detach(call_t *call);

/* Takes the reply's header list. The first answer counts; later ones are freed. */
void call_reply(call_t *call, const call_reply_t *reply);

/* Answers without a target's reply; the reply body is empty and ended. */
void call_refuse(call_t *call, Egret__Outcome outcome, Egret__Reason reason);

#endif
