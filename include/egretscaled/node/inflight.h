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

#define LIVE_TOKEN_BYTES 16
#define LIVE_TOKEN_TEXT_BYTES (2 * LIVE_TOKEN_BYTES + 1)

typedef struct live_table live_table_t;

/* What is known of a request at its end. */
typedef struct live_summary {
	uint32_t retries_back;
	priority_t below;
	usec_t onward_time;
	GArray *children; /* of uint64_t ids still running; free it */
} live_summary_t;

live_table_t *live_table_create(void);
void live_table_destroy(live_table_t *table);

/* Starts a request and writes its token's text. */
void live_begin(live_table_t *table, const request_context_t *context,
		char token[LIVE_TOKEN_TEXT_BYTES]);

/* Takes the retries out and reads the level; the request stays live. */
void live_report(live_table_t *table, const char *token, live_summary_t *out);
void live_end(live_table_t *table, const char *token, usec_t now, live_summary_t *out);

/*
 * An onward call starts. Returns false if the token names no live request.
 * Otherwise `out` is the child's context, with retries lent from the parent.
 */
bool live_child_begin(live_table_t *table, const char *token, uint64_t child, usec_t now,
		      request_context_t *out);
void live_child_end(live_table_t *table, const char *token, uint64_t child, usec_t now,
		    uint32_t lent, uint32_t returned, priority_t below);

uint32_t live_count(const live_table_t *table);

#endif
