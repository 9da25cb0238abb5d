#ifndef EGRET_RETRY_CALL_HISTORY_H
#define EGRET_RETRY_CALL_HISTORY_H

#include "common/clock.h"

/*
 * NAME
 *	call_history - how often something happened lately, for budgets per window
 *
 * DESCRIPTION
 *	Counts events in the last two windows. The rate is that of the last window,
 *	of the one before it or of the one half a window earlier, whichever is
 *	highest, so that it outlasts a fall for about a window.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct call_history call_history_t;

call_history_t *call_history_create(usec_t window);
void call_history_destroy(call_history_t *history);

void call_history_record(call_history_t *history, usec_t now);

/* Events per second. */
double call_history_rate(call_history_t *history, usec_t now);

/* Returns the events of the last window. */
uint64_t call_history_last(call_history_t *history, usec_t now);

#endif
