#ifndef EGRET_EGRETSCALED_NODE_INFLIGHT_H
#define EGRET_EGRETSCALED_NODE_INFLIGHT_H

#include "egretscaled/node/call.h"
#include "retry/retry.h"

/*
 * NAME
 *	live - the requests that run on the own target now
 *
 * DESCRIPTION
 *	Each call that the gate lets through gets a random token, which the target
 *	sees as Egret-Context and returns on its onward calls. The entry holds the
 *	request's context, its retries, the lowest shed level its onward calls
 *	met and the time spent in them.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define CONTEXT_TOKEN_BYTES 16
#define CONTEXT_TOKEN_TEXT_BYTES (2 * CONTEXT_TOKEN_BYTES + 1)

typedef struct inflight_table inflight_table_t;

/* What is known of a request at its end. */
typedef struct inflight_summary {
	uint32_t retries_returned;
	priority_t downstream_level;
	usec_t outbound_time;
	GArray *children; /* of uint64_t ids still running; free it */
} inflight_summary_t;

inflight_table_t *inflight_table_create(void);
void inflight_table_destroy(inflight_table_t *table);

/* Starts a request and writes its token's text. */
void inflight_begin(inflight_table_t *table, const request_context_t *context,
		    char token[CONTEXT_TOKEN_TEXT_BYTES]);

/* Takes the retries out and reads the level; the request stays live. */
void inflight_report(inflight_table_t *table, const char *token, inflight_summary_t *out);
void inflight_end(inflight_table_t *table, const char *token, usec_t now,
		  inflight_summary_t *out);

/*
 * An onward call starts. Returns false if the token names no live request.
 * Otherwise `out` is the child's context, with retries lent from the parent.
 */
bool inflight_child_begin(inflight_table_t *table, const char *token, uint64_t child,
			  usec_t now, request_context_t *out);
void inflight_child_end(inflight_table_t *table, const char *token, uint64_t child,
			usec_t now, uint32_t lent, uint32_t returned, priority_t level);

uint32_t inflight_count(const inflight_table_t *table);

#endif
