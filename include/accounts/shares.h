#ifndef EGRET_ACCOUNTS_SHARES_H
#define EGRET_ACCOUNTS_SHARES_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	shares - a node's part of each client account's rate, by demand
 *
 * DESCRIPTION
 *	A state machine without I/O. Every node tells the others its demand for
 *	each account; each takes the part of the rate that its demand has in all,
 *	beside a floor that all have. With equal views the parts add up to one.
 *
 *	A peer that falls silent keeps the part that it had: the others share the
 *	rest. The two sides of a partition so stay within the rate together, for
 *	as long as it lasts. A node that starts takes an even part until it has
 *	heard from every peer, or SHARES_SETTLE_TIMEOUT is over.
 *
 *	A node that is short of an account inside its rate may ask peers for a
 *	token: the giver takes it off first, so that none is doubled.
 *
 *	Views lag by the period in which demand is told; the part of the bound
 *	that the deployment tolerates (allowance) covers it. Deployments that
 *	tolerate none use accounts/lender.h.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* A peer that was not heard for so long counts as silent. */
#define SHARES_SILENCE_TIMEOUT (2 * USEC_PER_SEC)

typedef struct shares shares_t;

/* The account's limits, and what its bound tolerates above them. */
typedef struct account_limits {
	double rate;	  /* requests a second */
	double burst;	  /* requests */
	double allowance; /* requests above rate and burst within one window */
} account_limits_t;

/* A node that starts waits so long for word of its peers. */
#define SHARES_SETTLE_TIMEOUT (3 * USEC_PER_SEC)

shares_t *shares_create(usec_t now);
void shares_destroy(shares_t *shares);

/* A peer exists (idempotent), or left for good. */
void shares_add_peer(shares_t *shares, const char *peer, usec_t now);
void shares_remove_peer(shares_t *shares, const char *peer);

/* The peer told its whole demand: shares_begin_report(), then one
 * shares_report_demand() for each account. */
void shares_begin_report(shares_t *shares, const char *peer, usec_t now);
void shares_report_demand(shares_t *shares, const char *peer, const char *account,
			  double demand, usec_t now);

/* Marks peers that fell silent. To be called now and then. */
void shares_tick(shares_t *shares, usec_t now);

typedef enum shares_verdict {
	SHARES_GRANTED,
	SHARES_NO_LOCAL_TOKEN, /* the account is inside its rate, but no token is here */
	SHARES_REFUSED,	       /* the demand of all nodes exceeds the rate */
} shares_verdict_t;

/* Counts a request and takes a token for it. */
shares_verdict_t shares_take_token(shares_t *shares, const char *account,
				   const account_limits_t *limits, usec_t now);

/* Gives one token away to a peer that is short; false if none is left. */
bool shares_give_token(shares_t *shares, const char *account,
		       const account_limits_t *limits, usec_t now);

/* Takes the token that comes next: returns the wait until then, or -1 if it is more
 * than `wait_max`. */
usec_t shares_take_delayed(shares_t *shares, const char *account,
			   const account_limits_t *limits, usec_t wait_max, usec_t now);

/* Demand of all nodes over the rate, as far as known. */
double shares_pressure(shares_t *shares, const char *account, usec_t now);

/* This node's part of the account, 0 to 1. */
double shares_own_share(shares_t *shares, const char *account, usec_t now);

/* Own demands to tell; `changed` says whether the others' view is out of date. */
typedef void (*shares_demand_fn)(void *ctx, const char *account, double demand);
void shares_collect_demands(shares_t *shares, usec_t now, shares_demand_fn fn, void *ctx);
bool shares_demand_changed(shares_t *shares, usec_t now);

#endif
