#ifndef EGRET_ACCOUNTS_LOAN_H
#define EGRET_ACCOUNTS_LOAN_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	loan - what lenders and borrowers of account rates exchange
 *
 * DESCRIPTION
 *	The rate of an account stays with the zones' keepers; what they lend to
 *	entries are tokens, with the capacity that those tokens take up. A loan
 *	lasts LOAN_TERM. The borrower counts the term from when it asked, the
 *	lender from when it granted plus a margin, so the lender never takes back
 *	what the borrower may still use. A lapsed loan returns its capacity but no
 *	tokens; a borrower that has too much hands tokens back in its next
 *	request, after it lowered its own holding.
 *
 *	A reply may also grant spends: tokens for requests that wait now. They
 *	are usable for IMMEDIATE_TERM from when the borrower asked; the lender keeps
 *	its capacity lowered by them for that long. Entries with little demand get
 *	only spends.
 */

#define LOAN_TERM (2 * USEC_PER_SEC)
#define IMMEDIATE_TERM (100 * USEC_PER_MSEC)
/* Lenders wait this much longer, for clocks that run at different speeds. */
#define TERM_WITH_MARGIN(term) ((term) + (term) / 20)

typedef struct loan_request {
	uint64_t loan_id;
	uint64_t sequence;
	double tokens_held;	/* tokens of the loan that are left */
	double tokens_returned; /* tokens handed back with this request */
	double demand;		/* requests a second that the borrower sees */
	uint32_t waiting;	/* requests that wait for a token now */
	bool foreign;		/* from another zone */
} loan_request_t;

typedef struct loan_reply {
	uint64_t loan_id;
	uint64_t sequence;
	bool granted;  /* false: the lender may not lend now */
	double tokens; /* added to the loan */
	uint32_t immediate_tokens;
	double pressure; /* demand over rate */
} loan_reply_t;

#endif
