#ifndef EGRET_ACCOUNTS_LOAN_H
#define EGRET_ACCOUNTS_LOAN_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	loan - messages between lenders and borrowers of account tokens
 *
 * DESCRIPTION
 *	Each zone has one keeper for an account. It holds the zone's bucket and
 *	lends tokens to entry nodes. Lent tokens take up capacity of the keeper's
 *	bucket. A loan lasts LOAN_TERM. The borrower counts the term from sending
 *	the request; the lender counts it from granting and adds a margin, so it
 *	never reclaims what the borrower may still use. An expired loan frees its
 *	capacity, but its tokens are not refunded. A borrower with a surplus
 *	lowers its own holding first and then returns the tokens in its next
 *	request.
 *
 *	A reply may also grant immediate tokens, for requests that wait now. They
 *	are usable for IMMEDIATE_TERM from sending the request; the lender's
 *	capacity stays reduced by them for that long. Entry nodes with little
 *	demand get immediate tokens only.
 */

#define LOAN_TERM (2 * USEC_PER_SEC)
#define IMMEDIATE_TERM (100 * USEC_PER_MSEC)
/* The term as the granting side counts it: 5% longer, since clocks run at different
 * speeds. */
#define TERM_WITH_MARGIN(term) ((term) + (term) / 20)

typedef struct loan_request {
	uint64_t loan_id;
	uint64_t sequence;
	double tokens_held;	/* unused tokens of the loan */
	double tokens_returned; /* tokens given back with this request */
	double demand;		/* requests per second at the borrower */
	uint32_t waiting;	/* requests that wait for a token now */
	bool foreign;		/* the borrower is in another zone */
} loan_request_t;

typedef struct loan_reply {
	uint64_t loan_id;
	uint64_t sequence;
	bool granted;		   /* false if the lender may not lend now */
	double tokens;		   /* added to the loan */
	uint32_t immediate_tokens; /* for waiting requests */
	/* Demand of the keeper's zone divided by the zone's portion of the rate. */
	double pressure;
} loan_reply_t;

#endif
