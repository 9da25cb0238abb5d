#ifndef EGRET_EGRETSCALED_NODE_INFLIGHT_H
#define EGRET_EGRETSCALED_NODE_INFLIGHT_H

#include "egretscaled/node/call.h"
#include "retry/retry.h"

/*
 * NAME
 *	inflight - requests in flight on this node's target
 *
 * DESCRIPTION
 *	Each call that the gate admits gets a random token. The table holds the
 *	request's context, its remaining retries, the lowest shed level that its
 *	outbound calls reported, and the time spent in them. In the Egret dialect the
 *	target receives the token as Egret-Context and sends it with its outbound
 *	calls. The platform's dialect does not pass the token to the target, so there
 *	no outbound call is recorded here.
 *
 * THREADS
 *	A table is not locked: the owner holds one lock around every call.
 */

#define CONTEXT_TOKEN_BYTES 16
#define CONTEXT_TOKEN_TEXT_BYTES (2 * CONTEXT_TOKEN_BYTES + 1)

typedef struct inflight_table inflight_table_t;

/* What is known of a request when its reply is sent, see inflight_report(), or when it
 * ends, see inflight_end(). */
typedef struct inflight_summary {
	uint32_t retries_returned;
	priority_t downstream_level;
	usec_t outbound_time;
	GArray *children; /* numbers (uint64_t) of the HTTP requests of the outbound calls
			     in flight; caller frees */
} inflight_summary_t;

inflight_table_t *inflight_table_create(void);
void inflight_table_destroy(inflight_table_t *table);

/* Adds a request and writes its token. */
void inflight_begin(inflight_table_t *table, const request_context_t *context,
		    char token[CONTEXT_TOKEN_TEXT_BYTES]);

/* Moves the remaining retries to `out` and copies the shed level, for the headers of the
 * reply; sets no other field. The request stays in flight. If the token is unknown, `out`
 * is unchanged. */
void inflight_report(inflight_table_t *table, const char *token, inflight_summary_t *out);

/* Removes the request and sets all fields of `out`. If the token is unknown, `out` has no
 * retries, children or time, and PRIORITY_LEVEL_ALL. */
void inflight_end(inflight_table_t *table, const char *token, usec_t now,
		  inflight_summary_t *out);

/*
 * Records that an outbound call starts; `child` is the number of its HTTP request.
 * Returns false if no request in flight has the token. Otherwise replaces `out`, which
 * must be initialized, with the child's context, which has retries lent by the parent.
 */
bool inflight_child_begin(inflight_table_t *table, const char *token, uint64_t child,
			  usec_t now, request_context_t *out);

/* Records that an outbound call ended. `returned` of the `lent` retries go back to the
 * parent; `level` is the shed level that the call reported. */
void inflight_child_end(inflight_table_t *table, const char *token, uint64_t child,
			usec_t now, uint32_t lent, uint32_t returned, priority_t level);

uint32_t inflight_count(const inflight_table_t *table);

#endif
