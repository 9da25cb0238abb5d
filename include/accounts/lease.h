#ifndef EGRET_ACCOUNTS_LEASE_H
#define EGRET_ACCOUNTS_LEASE_H

#include "accounts/loan.h"

/*
 * NAME
 *	lease - a node's view of one partition's keeper lease
 *
 * DESCRIPTION
 *	A state machine without I/O over a row of the platform's table service.
 *	A lease is valid for LEASE_TERM from when the last successful renewal was
 *	sent. A candidate acquires an absent or released row at once, and any other
 *	row only after it has seen it unchanged for longer than that; in the latter
 *	case it lends only after its predecessor's loans have expired. A holder
 *	that shuts down as planned releases the row and records how much it has
 *	lent, so that its successor can lend the rest at once.
 *
 *	While the platform is unreachable, the holder keeps lending by
 *	confirmation: more than half of the nodes of its zone reply that they have
 *	seen no newer epoch. A successor first announces its epoch to so many
 *	nodes that its predecessor can no longer reach such a majority, and then
 *	waits until what was confirmed before has expired.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 *
 * SEE ALSO
 *	docs/design/account-rates.md; tests/unit/test_accounts.c checks the rules
 */

#define LEASE_TERM (6 * USEC_PER_SEC)
#define LEASE_RENEW_PERIOD (2 * USEC_PER_SEC)
#define CONFIRM_TERM (2 * USEC_PER_SEC)
#define CONFIRM_PERIOD (500 * USEC_PER_MSEC)

typedef enum lease_state {
	LEASE_NONE,
	LEASE_READING,	 /* a read of the row is in flight */
	LEASE_OBSERVING, /* the row was read; waits until it can be acquired */
	LEASE_ACQUIRING, /* a commit to acquire the row is in flight */
	LEASE_HELD,
} lease_state_t;

typedef enum lease_action {
	LEASE_DO_NOTHING,
	LEASE_DO_READ,
	LEASE_DO_ACQUIRE,
	LEASE_DO_RENEW,
	/* Drop a lease whose last renewal and last confirmation both expired more than
	 * LEASE_TERM ago, or a row for which this node is no longer a candidate. */
	LEASE_DO_DROP,
} lease_action_t;

typedef struct lease {
	lease_state_t state;
	uint64_t revision;	   /* of the row when last read or written */
	uint64_t epoch;		   /* raised by 1 each time a node acquires the lease */
	usec_t observed_at;	   /* when the row was first read at this revision */
	usec_t commit_sent_at;	   /* when the last commit was sent */
	usec_t renewed_at;	   /* when the last successful commit was sent */
	usec_t lend_from;	   /* no loans before this time */
	usec_t confirmed_until;	   /* by a majority of the zone's nodes */
	bool has_predecessor;	   /* another process held an earlier epoch */
	bool predecessor_released; /* it released the lease itself */
	uint32_t predecessor_lent_milli; /* fraction lent at its release */
	usec_t predecessor_loans_end;	 /* its loans may be used until then */
	bool acknowledged;		 /* enough nodes have seen this epoch */
	bool commit_in_flight;
} lease_t;

/* The action to take now. `candidate` says that this node should hold the lease. */
lease_action_t lease_next_action(const lease_t *lease, usec_t now, bool candidate);

/* A read of the row was sent. */
void lease_read_started(lease_t *lease);

/* The row was read. revision is 0 if it is absent; `released` if it has no holder, which
 * includes an absent row; lent_milli is the lent fraction that a released row records. */
void lease_row_read(lease_t *lease, usec_t now, uint64_t revision, uint64_t epoch,
		    bool released, uint32_t lent_milli);

/* A commit to acquire or renew the lease was sent. */
void lease_commit_sent(lease_t *lease, usec_t now);

/* That commit succeeded; `revision` is the new one of the row. */
void lease_commit_succeeded(lease_t *lease, usec_t now, uint64_t revision);

/* The commit failed. `conflict` says that another commit changed the row, else the result
 * is unknown. Drops the lease unless the commit was a renewal with unknown result. */
void lease_commit_failed(lease_t *lease, usec_t now, bool conflict);

/* More than half of the zone's nodes confirmed the epoch in the round sent at
 * `round_sent_at`. */
void lease_confirmed(lease_t *lease, usec_t round_sent_at);

/* So many nodes have seen this epoch that an older one can no longer be confirmed. */
void lease_acknowledged(lease_t *lease, usec_t now);

/* Returns to LEASE_NONE: lending stops at once. The row is not changed. */
void lease_drop(lease_t *lease);

bool lease_may_lend(const lease_t *lease, usec_t now);

#endif
