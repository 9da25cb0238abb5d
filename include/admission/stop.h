#ifndef EGRET_ADMISSION_STOP_H
#define EGRET_ADMISSION_STOP_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	stop - phases of a planned stop, and which requests are accepted in them
 *
 * DESCRIPTION
 *	A state machine without I/O. Until the notice time is over, callers and peers
 *	learn of the stop and every request is accepted. Peers learn of it later than
 *	callers, so that the target's capacity is used until then.
 *
 *	After that, a request is accepted only if its deadline is not later than the
 *	end of the drain time, so that it is not cut. Once no request is in flight,
 *	the node leaves the directory and the process ends. Requests that are still in
 *	flight at the end of the drain time are cancelled.
 *
 *	An outbound call belongs to a request that the target already runs and that
 *	fails if the call is refused. It is also accepted with a later deadline as
 *	long as there is time for a call of normal length.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct stop stop_t;

typedef enum stop_phase {
	STOP_NONE,
	STOP_NOTICE,   /* all requests are accepted; callers learn of the stop */
	STOP_WITHDRAW, /* as STOP_NOTICE; peers learn that the target gets no more calls
			*/
	STOP_DRAIN,    /* requests are accepted that end in time */
	STOP_LEAVE,    /* as STOP_DRAIN; nothing is in flight, or was at the start */
	STOP_CANCEL, /* nothing is accepted; what is in flight gets its final response */
	STOP_DONE,   /* the process may end */
} stop_phase_t;

/* Since the start of the stop. */
typedef struct stop_times {
	usec_t withdraw;
	usec_t notice;
	usec_t drain; /* the notice time is part of it */
} stop_times_t;

stop_t *stop_create(void);
void stop_destroy(stop_t *stop);

/* Begins the stop. A second call forces it: the process ends without waiting for
 * requests in flight or for notices to arrive. Returns whether the stop began. */
bool stop_begin(stop_t *stop, usec_t now, const stop_times_t *times);

/* Enters the next phase if its time has come; to be called until it returns false.
 * `in_flight` is the number of requests and calls in flight. */
bool stop_advance(stop_t *stop, usec_t now, uint32_t in_flight);

stop_phase_t stop_phase(const stop_t *stop);

/* Returns the time since the start of the stop; 0 before. */
usec_t stop_elapsed(const stop_t *stop, usec_t now);

/* Whether to accept a request, or a call of a peer, that has this deadline. */
bool stop_accepts(const stop_t *stop, usec_t now, usec_t deadline, bool is_outbound);

const char *stop_phase_name(stop_phase_t phase);

#endif
