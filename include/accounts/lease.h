#ifndef EGRET_ACCOUNTS_LEASE_H
#define EGRET_ACCOUNTS_LEASE_H

#include "accounts/loan.h"

/*
 * NAME
 *	lease - a node's view of one partition's keeper lease
 *
 * DESCRIPTION
 *	A state machine without I/O over a row of the platform's table service.
 *	A lease runs for LEASE_TERM from when its renewal was sent. A candidate
 *	takes a row over only after it saw it unchanged for longer than that, and
 *	lends only after the loans of the one before have ended. A holder that
 *	stops on purpose releases the row and writes how much it has lent, so that
 *	its successor can lend the rest at once.
 *
 *	While the platform cannot be reached the keeper goes on by confirmation:
 *	more than half of its zone's nodes answer that they know no newer epoch.
 *	A successor first tells its epoch to so many nodes that the keeper before
 *	it cannot find such a majority any more, and then waits out what was
 *	confirmed before.
 *
 * SEE ALSO
 *	docs/design/account-rates.md; tests/model checks the rules
 */

#define LEASE_TERM (6 * USEC_PER_SEC)
#define LEASE_RENEW_PERIOD (2 * USEC_PER_SEC)
#define CONFIRM_TERM (2 * USEC_PER_SEC)
#define CONFIRM_PERIOD (500 * USEC_PER_MSEC)

typedef enum lease_state {
	LEASE_NONE,
	LEASE_READING,	 /* the row is being read */
	LEASE_OBSERVING, /* another holder's row: wait for it to lapse */
	LEASE_ACQUIRING, /* a commit to take the row is under way */
	LEASE_HELD,
} lease_state_t;

typedef enum lease_action {
	LEASE_DO_NOTHING,
	LEASE_DO_READ,
	LEASE_DO_ACQUIRE,
	LEASE_DO_RENEW,
	LEASE_DO_DROP, /* not allowed to lend for long, or no candidate any more */
} lease_action_t;

typedef struct lease {
	lease_state_t state;
	uint64_t revision; /* of the row as last seen */
	uint64_t epoch;
	usec_t observed_at;    /* when the row was first seen at this revision */
	usec_t commit_sent_at; /* when the commit under way was sent */
	usec_t renewed_at;     /* when the last successful commit was sent */
	usec_t lend_from;
	usec_t confirmed_until;
	bool has_predecessor;	   /* another process held the epoch before */
	bool predecessor_released; /* that process gave the lease up itself */
	uint32_t
		predecessor_lent_milli; /* the most that it had lent of a capacity then */
	usec_t predecessor_loans_end;	/* until when its loans may be spent */
	bool acknowledged;		/* enough nodes know this epoch */
	bool commit_in_flight;
} lease_t;

/* What to do now; `candidate` says that this node should hold the lease. */
lease_action_t lease_next_action(const lease_t *lease, usec_t now, bool candidate);

void lease_read_started(lease_t *lease);

/* The row was read: revision 0 if absent; released if nobody holds it. */
void lease_row_read(lease_t *lease, usec_t now, uint64_t revision, uint64_t epoch,
		    bool released, uint32_t lent_milli);

/* A commit to take or renew was sent, and its result. */
void lease_commit_sent(lease_t *lease, usec_t now);
void lease_commit_succeeded(lease_t *lease, usec_t now, uint64_t revision);

/* The commit lost to another or its result stays unknown. */
void lease_commit_failed(lease_t *lease, usec_t now, bool conflict);

/* More than half of the zone answered a question sent at `asked`. */
void lease_confirmed(lease_t *lease, usec_t asked);

/* So many nodes know this epoch that no older one can be confirmed. */
void lease_acknowledged(lease_t *lease, usec_t now);

/* A newer epoch exists: stop at once. */
void lease_drop(lease_t *lease);

bool lease_may_lend(const lease_t *lease, usec_t now);

#endif
