#ifndef EGRET_ACCOUNTS_BORROWER_H
#define EGRET_ACCOUNTS_BORROWER_H

#include "accounts/loan.h"
#include "membership/directory.h"

/*
 * NAME
 *	borrower - an entry's holdings of one account's bucket
 *
 * DESCRIPTION
 *	A state machine without I/O. Holds at most one loan from each of
 *	BORROWER_LOANS_MAX zones' keepers. One request is outstanding for each loan;
 *	a reply to an older one is dropped. Every spend checks the loan's end
 *	against `now`, so that a process that was paused spends nothing stale.
 *
 * THREADS
 *	Belongs to one worker.
 */

#define BORROWER_LOANS_MAX 4
/* A later reply is dropped and its tokens are lost, so this is long. */
#define BORROWER_REPLY_TIMEOUT (250 * USEC_PER_MSEC)

typedef struct borrower borrower_t;

borrower_t *borrower_create(const char *own_zone);
void borrower_destroy(borrower_t *borrower);

/* Counts a request as demand and takes a token; false if none is held. */
bool borrower_admit(borrower_t *borrower, usec_t now);

/* Takes a token without counting demand again. */
bool borrower_take_token(borrower_t *borrower, usec_t now);

/* Requests a second, smoothed. */
double borrower_demand(const borrower_t *borrower, usec_t now);

/*
 * Prepares a request to the keeper of `zone`, unless one is outstanding.
 * new_loan_id names a new loan where there is none yet.
 */
bool borrower_prepare_request(borrower_t *borrower, const char *zone, uint32_t waiting,
			      uint64_t new_loan_id, usec_t now, loan_request_t *out);

/* Takes a reply; returns how many waiting requests may go on at once. */
uint32_t borrower_handle_reply(borrower_t *borrower, const loan_reply_t *reply,
			       usec_t now);

/* The zone of a loan that runs low or near its end, or NULL. */
const char *borrower_renewal_zone(const borrower_t *borrower, usec_t now);

/* Nothing held and no demand. */
bool borrower_is_idle(const borrower_t *borrower, usec_t now);

/* Demand over rate as the own zone's keeper last told. */
double borrower_pressure(const borrower_t *borrower);

#endif
