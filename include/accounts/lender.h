#ifndef EGRET_ACCOUNTS_LENDER_H
#define EGRET_ACCOUNTS_LENDER_H

#include "accounts/loan.h"

/*
 * NAME
 *	lender - a keeper's part of one account's bucket, and its loans
 *
 * DESCRIPTION
 *	A state machine without I/O. The pool refills at the whole rate given to
 *	lender_resize(). The pool's capacity and all that is lent, spends
 *	included, never exceed the capacity given. Loans are sized by the
 *	borrower's demand over LOAN_HORIZON. Borrowers of other zones get only
 *	what the own zone does not need.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct lender lender_t;

/* A new lender has the tokens that came since `since`, when nobody else could
 * lend for the account any more. */
lender_t *lender_create(usec_t since, usec_t now, double rate, double capacity);

/* An earlier keeper's loans still take up capacity until `until`. */
void lender_reserve(lender_t *lender, double capacity, usec_t until, usec_t now);
void lender_destroy(lender_t *lender);

/* The account's record or the zone's portion changed. */
void lender_resize(lender_t *lender, usec_t now, double rate, double capacity);

void lender_handle_request(lender_t *lender, usec_t now, const loan_request_t *request,
			   loan_reply_t *reply);

/* Demand of the zone's own borrowers over the rate; 0 when idle. */
double lender_pressure(lender_t *lender, usec_t now);

/* Part of the capacity that is lent now, 0 to 1. */
double lender_lent_ratio(lender_t *lender, usec_t now);

/* Nothing is lent and nobody has asked for a while. */
bool lender_is_idle(lender_t *lender, usec_t now);

/* For invariant checks: capacity of the pool and of all that is lent. */
double lender_total_capacity(lender_t *lender, usec_t now);

#endif
