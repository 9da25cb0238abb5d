#ifndef EGRET_MEMBERSHIP_LIVENESS_H
#define EGRET_MEMBERSHIP_LIVENESS_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	liveness - whether a peer that has calls under way is still there
 *
 * DESCRIPTION
 *	A peer that sent nothing for LIVENESS_PING_AFTER while calls wait on it is
 *	asked for a sign. Without one it counts as silent after LIVENESS_SILENT:
 *	it gets no new calls, and those that may run twice end. Its link is given
 *	up after LIVENESS_GIVE_UP, a link that does not open after
 *	LIVENESS_SILENT. A silent peer is asked on, so that it is found when it
 *	wakes.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

#define LIVENESS_PING_AFTER (100 * USEC_PER_MSEC)
#define LIVENESS_SILENT (250 * USEC_PER_MSEC)
#define LIVENESS_GIVE_UP USEC_PER_SEC
/* Between two pings of a silent peer. */
#define LIVENESS_SILENT_PING (300 * USEC_PER_MSEC)

typedef struct liveness {
	usec_t heard;	  /* last sign */
	usec_t asked;	  /* first ping since then; 0 if none */
	usec_t last_ping; /* any ping */
	usec_t connected; /* when the present link was begun */
	bool silent;
} liveness_t;

typedef enum liveness_link {
	LIVENESS_NO_LINK,
	LIVENESS_CONNECTING,
	LIVENESS_OPEN,
} liveness_link_t;

typedef struct liveness_step {
	bool ping;    /* send one, over a new link if there is none */
	bool silent;  /* the peer counts as silent */
	bool release; /* end the calls that may run twice */
	bool drop;    /* give the link up */
} liveness_step_t;

/* A link was begun. */
void liveness_connect(liveness_t *liveness, usec_t now);

/* A call was sent; first: nothing else waits on the peer. */
void liveness_call(liveness_t *liveness, usec_t now, bool first);

/* Anything came from the peer; returns whether it had been silent. */
bool liveness_hear(liveness_t *liveness, usec_t now);

/* Time passed. waits: calls are under way. */
liveness_step_t liveness_check(liveness_t *liveness, usec_t now, bool waits,
			       liveness_link_t link);

#endif
