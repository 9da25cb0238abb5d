#ifndef EGRET_ADMISSION_GATE_H
#define EGRET_ADMISSION_GATE_H

#include "admission/limit.h"
#include "admission/priority.h"
#include "routing/speed.h"

#include <glib.h>

/*
 * NAME
 *	gate - admission control for calls to this node's target
 *
 * DESCRIPTION
 *	A state machine without I/O. A call runs at once if the queue is empty and
 *	fewer calls are in flight than the concurrency limit allows; otherwise it
 *	waits in a bounded queue ordered by priority, or is refused. If the queue is
 *	full and a call of better priority arrives, the queued call of the worst
 *	priority is shed. A call whose deadline does not cover the expected wait and
 *	service time is refused at once; a queued call is dropped, wherever it is in the
 *	queue, when the time left no longer covers its service time.
 *
 *	After each event the caller calls gate_next() until it returns NULL, to get
 *	the verdicts on queued tickets.
 *
 * OWNERSHIP
 *	The caller owns the tickets. A ticket has to stay valid until a verdict
 *	other than GATE_RUN or GATE_WAIT is returned for it, or gate_done() or
 *	gate_cancel() is called.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct gate gate_t;

typedef enum gate_verdict {
	GATE_RUN,     /* admitted */
	GATE_WAIT,    /* queued; gate_next() returns the final verdict */
	GATE_SHED,    /* the queue is full of calls with a better or equal priority */
	GATE_EXPIRED, /* the deadline cannot be met */
	GATE_CLOSED,  /* no target, or the target is draining */
} gate_verdict_t;

typedef struct gate_ticket {
	priority_t priority;
	usec_t deadline;
	void *ctx; /* of the caller */
	/* Private to the gate. */
	GSequenceIter *queue_iter; /* NULL while the ticket is not queued */
	usec_t started;
	gboolean running;
} gate_ticket_t;

typedef struct gate_load {
	priority_t level; /* shed level, see admission/priority.h */
	uint32_t limit;	  /* calls that can run at once */
	uint32_t inflight;
	uint32_t queued;
	bool cold;		     /* during a cold start */
	uint32_t response_time_usec; /* smoothed, of the target; 0 if unknown */
} gate_load_t;

gate_t *gate_create(limit_algorithm_t algorithm);
void gate_destroy(gate_t *gate);

/*
 * Opens the gate after a report of the target, or changes its bounds after a report or
 * a change of the configuration. If `new_start` is true, the limit starts at
 * `cold_slots`; otherwise only the bounds change. A `queue_slots` of 0 stands for the
 * value of `slots`.
 */
void gate_open(gate_t *gate, usec_t now, uint32_t slots, uint32_t cold_slots,
	       uint32_t queue_slots, bool new_start);

/* Marks the target as cold: at most `per_second` calls start in any second until
 * `until`. */
void gate_set_cold(gate_t *gate, uint32_t per_second, usec_t until);

/* Admits no new calls; gate_next() returns the queued ones as GATE_CLOSED. */
void gate_close(gate_t *gate);

/* Resets the limit after the target crashed, or refused or reset a connection. */
void gate_reset(gate_t *gate, usec_t now);

/* Requests admission; sets the private fields of the ticket. */
gate_verdict_t gate_request(gate_t *gate, gate_ticket_t *ticket, usec_t now);

/* Ends a call in flight. `own_latency` excludes the time spent in its outbound calls. */
void gate_done(gate_t *gate, gate_ticket_t *ticket, usec_t now, usec_t own_latency,
	       limit_outcome_t outcome);

/* Records the response time of a call that the target completed. Calls that it rejected
 * or answered with an error are not recorded, since a target that fails would look fast.
 */
void gate_record_response(gate_t *gate, usec_t time, usec_t now);

/* Removes a ticket that is queued or in flight, or one shed or expired that gate_next()
 * has not returned yet. */
void gate_cancel(gate_t *gate, gate_ticket_t *ticket, usec_t now);

/* Removes the next ticket that has a final verdict, and returns it with the verdict; NULL
 * if there is none. Tickets shed from a full queue come first, then expired ones. */
gate_ticket_t *gate_next(gate_t *gate, usec_t now, gate_verdict_t *verdict);

/* Reports the load. The level is PRIORITY_LEVEL_ALL with LIMIT_SLOTS, since the calls of
 * such targets do not carry the priority of their request. */
void gate_load(gate_t *gate, usec_t now, gate_load_t *out);

#endif
