#ifndef EGRET_ADMISSION_GATE_H
#define EGRET_ADMISSION_GATE_H

#include "admission/limit.h"
#include "admission/priority.h"

#include <glib.h>

/*
 * NAME
 *	gate - admission of calls to the node's own target
 *
 * DESCRIPTION
 *	A state machine without I/O. A call runs while fewer than the limit run;
 *	otherwise it waits in a bounded queue ordered by priority, or is refused.
 *	A full queue sheds its worst member for a better arrival. Calls whose
 *	deadline cannot cover the expected wait and service time are refused at
 *	once; waiting calls are dropped when their deadline comes too near.
 *
 *	After each event the caller drains gate_next(), which yields the tickets
 *	whose fate was decided.
 *
 * OWNERSHIP
 *	Tickets belong to the caller and stay valid until a decision other than
 *	GATE_RUN was taken, or gate_done() or gate_cancel() was called.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct gate gate_t;

typedef enum gate_verdict {
	GATE_RUN,
	GATE_WAIT,
	GATE_SHED,    /* the queue is full of better calls */
	GATE_EXPIRED, /* the deadline cannot be met */
	GATE_CLOSED,  /* no target, or it drains */
} gate_verdict_t;

typedef struct gate_ticket {
	priority_t priority;
	usec_t deadline;
	void *ctx;
	/* Private to the gate. */
	GSequenceIter *waiting;
	usec_t started;
	gboolean running;
} gate_ticket_t;

typedef struct gate_load {
	priority_t level;
	uint32_t limit;
	uint32_t inflight;
	uint32_t queued;
	bool cold;
} gate_load_t;

gate_t *gate_create(limit_algorithm_t algorithm);
void gate_destroy(gate_t *gate);

/*
 * A target announced itself. `fresh` is a new start (the limit goes to the
 * cold floor); otherwise only the bounds change. queue_slots 0 means as many
 * as slots.
 */
void gate_open(gate_t *gate, usec_t now, uint32_t slots, uint32_t cold_slots,
	       uint32_t queue_slots, bool fresh);

/* The target is cold: at most per_second calls start in any second until `until`. */
void gate_set_cold(gate_t *gate, uint32_t per_second, usec_t until);

/* No new calls run; waiting calls are yielded as GATE_CLOSED. */
void gate_close(gate_t *gate);

/* The target crashed, refused a connection or reset one. */
void gate_reset(gate_t *gate, usec_t now);

gate_verdict_t gate_request(gate_t *gate, gate_ticket_t *ticket, usec_t now);

/* A running call ended; own_latency leaves out its onward calls. */
void gate_done(gate_t *gate, gate_ticket_t *ticket, usec_t now, usec_t own_latency,
	       limit_outcome_t outcome);

/* Forgets a waiting or running ticket. */
void gate_cancel(gate_t *gate, gate_ticket_t *ticket, usec_t now);

/* Yields the next decided ticket, or returns NULL. */
gate_ticket_t *gate_next(gate_t *gate, usec_t now, gate_verdict_t *verdict);

void gate_load(gate_t *gate, usec_t now, gate_load_t *out);

#endif
