#include "accounts/borrower.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define DEMAND_TIME_CONSTANT_USEC ((double)USEC_PER_SEC)
#define RENEW_BEFORE_END (LOAN_TERM / 2)
/* A loan is renewed early when less than this part of its tokens is left. */
#define LOW_TOKENS_RATIO 0.5
/* Tokens beyond the demand of this span are returned. */
#define SURPLUS_SPAN ((double)USEC_PER_SEC)
#define IDLE_DEMAND_PER_SEC 0.05

typedef struct held_loan {
	char zone[MEMBER_TEXT_BYTES];
	uint64_t id;
	uint64_t sequence; /* of the last request */
	double tokens;
	double tokens_at_reply; /* tokens after the last reply */
	usec_t expires;
	bool outstanding;
	bool for_waiting; /* the last request was sent for waiting requests */
	usec_t requested_at;
} held_loan_t;

struct borrower {
	char own_zone[MEMBER_TEXT_BYTES];
	held_loan_t loans[BORROWER_LOANS_MAX];
	double demand;
	usec_t demand_updated_at;
	double pressure;
};

borrower_t *borrower_create(const char *own_zone)
{
	borrower_t *borrower = g_new0(borrower_t, 1);

	g_strlcpy(borrower->own_zone, own_zone, sizeof(borrower->own_zone));
	return borrower;
}

void borrower_destroy(borrower_t *borrower)
{
	g_free(borrower);
}

double borrower_demand(const borrower_t *borrower, usec_t now)
{
	double age = (double)(now - borrower->demand_updated_at);

	return borrower->demand * exp(-age / DEMAND_TIME_CONSTANT_USEC);
}

static void count_demand(borrower_t *borrower, usec_t now)
{
	borrower->demand =
		borrower_demand(borrower, now) + USEC_PER_SEC / DEMAND_TIME_CONSTANT_USEC;
	borrower->demand_updated_at = now;
}

static void expire_loan(held_loan_t *loan, usec_t now)
{
	if (now >= loan->expires)
		loan->tokens = 0;
}

bool borrower_take_token(borrower_t *borrower, usec_t now)
{
	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		held_loan_t *loan = &borrower->loans[i];

		expire_loan(loan, now);
		if (loan->tokens >= 1.0) {
			loan->tokens -= 1.0;
			return true;
		}
	}
	return false;
}

bool borrower_admit(borrower_t *borrower, usec_t now)
{
	count_demand(borrower, now);
	return borrower_take_token(borrower, now);
}

static bool is_pending(const held_loan_t *loan, usec_t now)
{
	return loan->outstanding && now - loan->requested_at < BORROWER_REPLY_TIMEOUT;
}

/* Only one keeper at a time is sent the number of waiting requests, since two would both
 * grant tokens for them. */
static bool is_waiting_request_pending(const borrower_t *borrower, usec_t now)
{
	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		if (borrower->loans[i].for_waiting &&
		    is_pending(&borrower->loans[i], now))
			return true;
	}
	return false;
}

/* The loan from a zone, or else a free or expired slot; NULL if there is none. */
static held_loan_t *find_loan_slot(borrower_t *borrower, const char *zone, usec_t now)
{
	held_loan_t *slot = NULL;

	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		held_loan_t *loan = &borrower->loans[i];

		if (loan->id && strcmp(loan->zone, zone) == 0)
			return loan;
		bool pending = loan->outstanding &&
			       now - loan->requested_at < BORROWER_REPLY_TIMEOUT;
		if (!slot && (!loan->id || (now >= loan->expires && !pending)))
			slot = loan;
	}
	return slot;
}

/* Removes the tokens that the demand does not need; returns how many. */
static double remove_surplus(const borrower_t *borrower, held_loan_t *loan, usec_t now)
{
	double keep = borrower_demand(borrower, now) * SURPLUS_SPAN / USEC_PER_SEC;
	double surplus = MAX(loan->tokens - keep, 0);

	loan->tokens -= surplus;
	return surplus;
}

bool borrower_prepare_request(borrower_t *borrower, const char *zone, uint32_t waiting,
			      uint64_t new_loan_id, usec_t now, loan_request_t *out)
{
	held_loan_t *loan = find_loan_slot(borrower, zone, now);

	if (!loan)
		return false;
	if (is_pending(loan, now) ||
	    (waiting > 0 && is_waiting_request_pending(borrower, now)))
		return false;
	if (!loan->id || strcmp(loan->zone, zone) != 0) {
		*loan = (held_loan_t){.id = new_loan_id};
		g_strlcpy(loan->zone, zone, sizeof(loan->zone));
	}
	expire_loan(loan, now);
	double returned = remove_surplus(borrower, loan, now);
	loan->outstanding = true;
	loan->for_waiting = waiting > 0;
	loan->requested_at = now;
	*out = (loan_request_t){
		.loan_id = loan->id,
		.sequence = ++loan->sequence,
		.tokens_held = loan->tokens,
		.tokens_returned = returned,
		.demand = borrower_demand(borrower, now),
		.waiting = waiting,
		.foreign = strcmp(zone, borrower->own_zone) != 0,
	};
	return true;
}

static held_loan_t *find_by_id(borrower_t *borrower, uint64_t id)
{
	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		if (borrower->loans[i].id == id)
			return &borrower->loans[i];
	}
	return NULL;
}

uint32_t borrower_handle_reply(borrower_t *borrower, const loan_reply_t *reply,
			       usec_t now)
{
	held_loan_t *loan = find_by_id(borrower, reply->loan_id);

	if (!loan || !loan->outstanding || loan->sequence != reply->sequence)
		return 0;
	loan->outstanding = false;
	if (!reply->granted)
		return 0;
	expire_loan(loan, now);
	loan->tokens += MAX(reply->tokens, 0);
	loan->tokens_at_reply = loan->tokens;
	loan->expires = loan->requested_at + LOAN_TERM;
	expire_loan(loan, now);
	if (strcmp(loan->zone, borrower->own_zone) == 0)
		borrower->pressure = reply->pressure;
	return now < loan->requested_at + IMMEDIATE_TERM ? reply->immediate_tokens : 0;
}

const char *borrower_renewal_zone(const borrower_t *borrower, usec_t now)
{
	if (borrower_demand(borrower, now) < IDLE_DEMAND_PER_SEC)
		return NULL;
	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		const held_loan_t *loan = &borrower->loans[i];

		if (!loan->id || loan->tokens_at_reply <= 0 || now >= loan->expires)
			continue;
		if (is_pending(loan, now))
			continue;
		if (loan->expires - now < RENEW_BEFORE_END ||
		    loan->tokens < loan->tokens_at_reply * LOW_TOKENS_RATIO)
			return loan->zone;
	}
	return NULL;
}

bool borrower_is_idle(const borrower_t *borrower, usec_t now)
{
	for (int i = 0; i < BORROWER_LOANS_MAX; i++) {
		if (now < borrower->loans[i].expires)
			return false;
	}
	return borrower_demand(borrower, now) < IDLE_DEMAND_PER_SEC;
}

double borrower_pressure(const borrower_t *borrower)
{
	return borrower->pressure;
}
