#ifndef EGRET_MEMBERSHIP_LIVENESS_H
#define EGRET_MEMBERSHIP_LIVENESS_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	liveness - detects a peer that stops responding while calls to it are in flight
 *
 * DESCRIPTION
 *	A peer that has calls in flight and sent nothing for LIVENESS_PING_AFTER is
 *	pinged. If nothing arrives within LIVENESS_SILENT_TIMEOUT of the first ping,
 *	the peer counts as silent: it gets no new calls, and the idempotent calls in
 *	flight to it fail so that they can be retried on another node. An open link is
 *	closed LIVENESS_CLOSE_TIMEOUT after the first ping, and a link that does not
 *	open, LIVENESS_SILENT_TIMEOUT after its start. Pings to a silent peer continue,
 *	to detect when the peer responds again.
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
	usec_t last_received; /* last frame from the peer, or first call in flight */
	usec_t first_ping;    /* since last_received or the link's close; 0 if none */
	usec_t last_ping;
	usec_t connect_started; /* of the current link */
	bool silent;
} liveness_t;

typedef enum liveness_link {
	LIVENESS_NO_LINK,
	LIVENESS_CONNECTING,
	LIVENESS_OPEN,
} liveness_link_t;

/* What the caller has to do. */
typedef struct liveness_actions {
	bool ping;	      /* send a ping, over a new link if there is none */
	bool silent;	      /* the peer counts as silent */
	bool fail_idempotent; /* fail the idempotent calls in flight */
	bool close_link;
} liveness_actions_t;

/* The caller began to open a link. */
void liveness_connect_started(liveness_t *liveness, usec_t now);

/* A call was sent. `first`: no other call to the peer is in flight. */
void liveness_call_sent(liveness_t *liveness, usec_t now, bool first);

/* A frame arrived from the peer. Returns whether the peer counted as silent. */
bool liveness_received(liveness_t *liveness, usec_t now);

/* To be called periodically. `calls_in_flight`: whether the peer has any. */
liveness_actions_t liveness_check(liveness_t *liveness, usec_t now, bool calls_in_flight,
				  liveness_link_t link);

#endif
