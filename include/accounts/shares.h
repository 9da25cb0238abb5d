#ifndef EGRET_ACCOUNTS_SHARES_H
#define EGRET_ACCOUNTS_SHARES_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	shares - a participant's share of each client account's rate, by demand
 *
 * DESCRIPTION
 *	A state machine without I/O. Each participant (on the platform: the holder of
 *	a partition in one zone, see zone_rates.h) reports its demand for each account
 *	to all others, its peers. A part of the rate is split evenly; of the rest each
 *	takes a share in proportion to its demand. If all know the same demands, their
 *	shares add up to 1.
 *
 *	A peer that stops reporting is silent and retains the share that it had;
 *	the others divide the rest. During a network partition each side thus uses
 *	only what the shares of the other side leave. Demand that rises counts only
 *	once every peer has reported since, so that no share rises at the expense of
 *	a peer that cannot know it. A participant that starts takes an even share until
 *	every peer has reported or SHARES_SETTLE_TIMEOUT has passed.
 *
 *	An account counts as within its rate while its known demand is at most
 *	1.5 times the rate (WITHIN_RATE_PRESSURE_MAX in shares.c). A participant that
 *	has no token for such an account may be granted one by a peer, which removes
 *	it before it replies, so that no token is used twice.
 *
 *	A participant knows the others' demand only as of their last reports. The
 *	requests above the rate that the deployment allows (allowance) cover this
 *	delay. A deployment that allows none needs loans, see accounts/lender.h.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* A peer that has not reported for this time counts as silent. */
#define SHARES_SILENCE_TIMEOUT (2 * USEC_PER_SEC)

typedef struct shares shares_t;

/* An account's limits, and the excess that the deployment allows. */
typedef struct account_limits {
	double rate;	  /* requests per second */
	double burst;	  /* requests */
	double allowance; /* requests above rate and burst within one window */
} account_limits_t;

/* What a deployment allows in any window: (rate * window + burst) * (1 + overage) +
 * slack. */
typedef struct rate_bound {
	double window_sec;
	double overage;
	double slack;
} rate_bound_t;

/* The allowance is the excess that the bound allows, less a reserve for what the nodes
 * may admit in excess while the demands that they know are out of date. */
account_limits_t account_limits(double rate, double burst, const rate_bound_t *bound);

/* The longest time after start for which a node waits for reports of all peers. */
#define SHARES_SETTLE_TIMEOUT (3 * USEC_PER_SEC)

shares_t *shares_create(usec_t now);
void shares_destroy(shares_t *shares);

/* Adds a peer; idempotent. */
void shares_add_peer(shares_t *shares, const char *peer, usec_t now);

/* Id of an account in reports: a hash of its name. The demands of two accounts with the
 * same id add up at their receivers, whose shares then are too small. */
uint32_t shares_account_id(const char *account);

/* A peer's report of all its demand: shares_begin_report(), then one
 * shares_report_demand() for each account, in requests per second. */
void shares_begin_report(shares_t *shares, const char *peer, usec_t now);
void shares_report_demand(shares_t *shares, const char *peer, uint32_t account_id,
			  double demand);

/* Sets the part of its share that the owner may use, 0 to 1 (1 at first). */
void shares_set_part(shares_t *shares, double part);

/* The owner's process has just started: some of the allowance may be used at once. */
void shares_set_fresh(shares_t *shares);

/* Marks silent peers and stores the shares of the others. Called periodically. */
void shares_tick(shares_t *shares, usec_t now);

typedef enum shares_verdict {
	SHARES_GRANTED,	       /* at least one token */
	SHARES_NO_LOCAL_TOKEN, /* within the rate, but this node has no token */
	SHARES_REFUSED,	       /* no token, and not within the rate */
} shares_verdict_t;

/* Takes up to `wanted` tokens, and counts them, or one request, as demand. */
shares_verdict_t shares_take_tokens(shares_t *shares, const char *account,
				    const account_limits_t *limits, uint32_t wanted,
				    usec_t now, uint32_t *taken);

/* Removes a token on behalf of a peer that has none; false if none is left. */
bool shares_give_token(shares_t *shares, const char *account,
		       const account_limits_t *limits, usec_t now);

/* Takes the next token before it is due: returns the time until then, or -1 (and takes
 * none) if that is longer than `wait_max`. */
usec_t shares_reserve_token(shares_t *shares, const char *account,
			    const account_limits_t *limits, usec_t wait_max, usec_t now);

/* Known demand of this node and the peers that are not silent, divided by the rate; 0
 * before the first request here. */
double shares_pressure(shares_t *shares, const char *account, usec_t now);

typedef void (*shares_demand_fn)(void *ctx, uint32_t account_id, double demand);

/* Calls fn with each account that has demand here, in requests per second, and records
 * the demand as reported. */
void shares_collect_demands(shares_t *shares, usec_t now, shares_demand_fn fn, void *ctx);

/* Whether some demand differs from the last report by enough to report it at once. */
bool shares_demand_changed(shares_t *shares, usec_t now);

#endif
