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

/* A new lender starts without tokens. */
lender_t *lender_create(usec_t now, double rate, double capacity);
void lender_destroy(lender_t *lender);

/* The account's record or the zone's portion changed. */
void lender_resize(lender_t *lender, usec_t now, double rate, double capacity);

void lender_request(lender_t *lender, usec_t now, const loan_request_t *request,
		    loan_reply_t *reply);

/* Demand of the zone's own borrowers over the rate; 0 when idle. */
double lender_pressure(lender_t *lender, usec_t now);

/* Nothing is lent and nobody has asked for a while. */
bool lender_is_idle(lender_t *lender, usec_t now);

/* For invariant checks: capacity of the pool and of all that is lent. */
double lender_total_capacity(lender_t *lender, usec_t now);

#endif
