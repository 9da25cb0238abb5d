#ifndef EGRET_HTTP_CLOSING_H
#define EGRET_HTTP_CLOSING_H

#include "http/places.h"

/*
 * NAME
 *	closing - counters and log lines of connections closed for their limits
 *
 * DESCRIPTION
 *	Counts each closed connection and each refused head, and logs at most one line a
 *	second for each reason of a listener. The line has the number of those that were
 *	not logged since the one before.
 */

typedef enum closing_reason {
	CLOSING_PLACE,	      /* for a new connection */
	CLOSING_MEMORY,	      /* its memory is needed */
	CLOSING_HEAD_TIMEOUT, /* its head takes too long */
	CLOSING_HEAD_REFUSED, /* its head does not fit the budget; it gets 503 */
	CLOSING_REASON_COUNT,
} closing_reason_t;

typedef struct closing_log {
	const char *listener; /* for the log */
	struct {
		usec_t next_line;
		uint32_t suppressed;
	} reasons[CLOSING_REASON_COUNT];
} closing_log_t;

void closing_note(closing_log_t *log, closing_reason_t reason, const places_t *places,
		  const place_t *place, usec_t now);

#endif
