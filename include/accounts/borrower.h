#ifndef EGRET_ACCOUNTS_BORROWER_H
#define EGRET_ACCOUNTS_BORROWER_H

#include "accounts/loan.h"
#include "membership/directory.h"

/*
 * NAME
 *	borrower - the tokens that a worker of an entry node has borrowed for an account
 *
 * DESCRIPTION
 *	A state machine without I/O, one per worker and account. Holds at most one
 *	loan per zone, granted by that zone's keeper, and at most
 *	BORROWER_LOANS_MAX loans. Each loan has at most one request outstanding;
 *	the reply to an earlier request is dropped. Taking a token checks the
 *	loan's expiry against `now`, so that a process that was paused does not use
 *	expired tokens.
 *
 * THREADS
 *	Owned by one worker thread.
 */

#define BORROWER_LOANS_MAX 4
/* After this time a new request may be sent. The reply to the old one is then dropped
 * and its tokens are lost, so the timeout is long. */
#define BORROWER_REPLY_TIMEOUT (250 * USEC_PER_MSEC)

typedef struct borrower borrower_t;

borrower_t *borrower_create(const char *own_zone);
void borrower_destroy(borrower_t *borrower);

/* Counts an arriving request as demand and takes a token; false if none is held. */
bool borrower_admit(borrower_t *borrower, usec_t now);

/* Takes a token for a request that was already counted as demand. */
bool borrower_take_token(borrower_t *borrower, usec_t now);

/* Requests per second, as an exponential moving average. */
double borrower_demand(const borrower_t *borrower, usec_t now);

/*
 * Fills in a request to the keeper of `zone`. `waiting` is the number of requests that
 * wait for a token now, 0 for a renewal. new_loan_id becomes the id of the loan if the
 * borrower has none from this zone. Returns false if a request to this keeper is
 * outstanding, if `waiting` is not 0 and a request of that kind is outstanding to any
 * keeper, or if the borrower has BORROWER_LOANS_MAX loans from other zones.
 */
bool borrower_prepare_request(borrower_t *borrower, const char *zone, uint32_t waiting,
			      uint64_t new_loan_id, usec_t now, loan_request_t *out);

/* Adds a reply's tokens to its loan; returns how many waiting requests may proceed at
 * once. */
uint32_t borrower_handle_reply(borrower_t *borrower, const loan_reply_t *reply,
			       usec_t now);

/* The zone of a loan that is low on tokens or about to expire, or NULL if there is none
 * or no demand. The text belongs to the borrower. */
const char *borrower_renewal_zone(const borrower_t *borrower, usec_t now);

/* Whether no loan is valid and the demand is negligible. */
bool borrower_is_idle(const borrower_t *borrower, usec_t now);

/* Demand of this node's zone divided by the zone's portion of the rate, from the last
 * loan granted by the zone's keeper; 0 before the first. */
double borrower_pressure(const borrower_t *borrower);

#endif
