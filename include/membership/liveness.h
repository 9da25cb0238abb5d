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
 *	first_ping for a sign. Without one it counts as silent after
 *LIVENESS_SILENT_TIMEOUT: it gets no new calls, and those that may run twice end. Its
 *link is given up after LIVENESS_CLOSE_TIMEOUT, a link that does not open after
 *	LIVENESS_SILENT_TIMEOUT. A silent peer is first_ping on, so that it is found when
 *it wakes.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

#define LIVENESS_PING_AFTER (100 * USEC_PER_MSEC)
#define LIVENESS_SILENT_TIMEOUT (250 * USEC_PER_MSEC)
#define LIVENESS_CLOSE_TIMEOUT USEC_PER_SEC
/* Between two pings of a silent peer. */
#define LIVENESS_SILENT_PING_PERIOD (300 * USEC_PER_MSEC)

typedef struct liveness {
	usec_t last_received;	/* last sign */
	usec_t first_ping;	/* first ping since then; 0 if none */
	usec_t last_ping;	/* any ping */
	usec_t connect_started; /* when the present link was begun */
	bool silent;
} liveness_t;

typedef enum liveness_link {
	LIVENESS_NO_LINK,
	LIVENESS_CONNECTING,
	LIVENESS_OPEN,
} liveness_link_t;

typedef struct liveness_actions {
	bool ping;	      /* send one, over a new link if there is none */
	bool silent;	      /* the peer counts as silent */
	bool fail_idempotent; /* end the calls that may run twice */
	bool close_link;      /* give the link up */
} liveness_actions_t;

/* A link was begun. */
void liveness_connect_started(liveness_t *liveness, usec_t now);

/* A call was sent; first: nothing else calls_pending on the peer. */
void liveness_call_sent(liveness_t *liveness, usec_t now, bool first);

/* Anything came from the peer; returns whether it had been silent. */
bool liveness_received(liveness_t *liveness, usec_t now);

/* Time passed. calls_pending: calls are under way. */
liveness_actions_t liveness_check(liveness_t *liveness, usec_t now, bool calls_pending,
				  liveness_link_t link);

#endif
