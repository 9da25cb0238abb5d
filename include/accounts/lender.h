#ifndef EGRET_ACCOUNTS_LENDER_H
#define EGRET_ACCOUNTS_LENDER_H

#include "accounts/loan.h"

/*
 * NAME
 *	lender - a keeper's bucket for one account, and the loans from it
 *
 * DESCRIPTION
 *	A state machine without I/O. The pool of tokens that are not lent refills
 *	at the full rate given to lender_resize(). The pool's capacity plus all
 *	lent tokens, immediate tokens included, never exceeds the capacity given.
 *	A loan is sized to the borrower's demand over LOAN_HORIZON. Borrowers in
 *	other zones get only what the lender's zone does not need.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

typedef struct lender lender_t;

/* A new lender starts with the tokens accrued since `since`, the time from which no other
 * keeper could lend for the account. */
lender_t *lender_create(usec_t since, usec_t now, double rate, double capacity);

/* Reserves capacity for an earlier keeper's loans until they expire at `until`. */
void lender_reserve(lender_t *lender, double capacity, usec_t until, usec_t now);
void lender_destroy(lender_t *lender);

/* Applies a change of the account's record or the zone's portion. */
void lender_resize(lender_t *lender, usec_t now, double rate, double capacity);

/* Applies the tokens that the borrower reports, then grants a loan and immediate tokens.
 * Not granted if the request is not newer than the last one of its loan. */
void lender_handle_request(lender_t *lender, usec_t now, const loan_request_t *request,
			   loan_reply_t *reply);

/* Demand of borrowers in the lender's zone divided by the rate given to lender_resize();
 * 0 when idle. */
double lender_pressure(lender_t *lender, usec_t now);

/* Fraction of the capacity that is lent now, 0 to 1. */
double lender_lent_ratio(lender_t *lender, usec_t now);

/* Whether nothing is lent and no request has come for 10 s. */
bool lender_is_idle(lender_t *lender, usec_t now);

/* The pool's capacity plus all lent tokens. */
double lender_total_capacity(lender_t *lender, usec_t now);

#endif
