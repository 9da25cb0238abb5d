#include "accounts/lender.h"

#include "accounts/bucket.h"

#include <glib.h>
#include <math.h>
#include <sys/queue.h>

/* A loan covers the borrower's demand of this span. */
#define LOAN_HORIZON (USEC_PER_SEC / 2)
/* Loans are sized so that together they take up at most this part of the capacity. */
#define LENT_RATIO_MAX 0.7
/* A smaller loan is not granted, since it ties up capacity for LOAN_TERM; the borrower
 * gets immediate tokens instead. */
#define LOAN_TOKENS_MIN 4.0
/* Tokens for the demand of the lender's zone over this span are withheld from borrowers
 * in other zones. */
#define OWN_ZONE_RESERVE_SPAN (USEC_PER_SEC / 20)
#define IDLE_TIME (10 * USEC_PER_SEC)

typedef struct loan {
	LIST_ENTRY(loan) link;
	uint64_t id;
	uint64_t sequence;
	double tokens; /* lent, less those reported as used or returned */
	double demand;
	bool foreign;
	usec_t expires;
} loan_t;

/* Capacity reserved for immediate tokens that may still be used. */
typedef struct immediate_grant {
	TAILQ_ENTRY(immediate_grant) link;
	double tokens;
	usec_t expires;
} immediate_grant_t;

struct lender {
	bucket_t pool;
	double capacity;
	double lent;
	LIST_HEAD(loan_list, loan) loans;
	TAILQ_HEAD(immediate_grant_list, immediate_grant) immediate_grants;
	usec_t last_request_at;
};

lender_t *lender_create(usec_t since, usec_t now, double rate, double capacity)
{
	lender_t *lender = g_new0(lender_t, 1);

	LIST_INIT(&lender->loans);
	TAILQ_INIT(&lender->immediate_grants);
	lender->pool.refilled_at = since;
	lender->last_request_at = now;
	lender_resize(lender, since, rate, capacity);
	return lender;
}

static void drop_loan(lender_t *lender, loan_t *loan)
{
	lender->lent -= loan->tokens;
	LIST_REMOVE(loan, link);
	g_free(loan);
}

static void drop_immediate_grant(lender_t *lender, immediate_grant_t *grant)
{
	lender->lent -= grant->tokens;
	TAILQ_REMOVE(&lender->immediate_grants, grant, link);
	g_free(grant);
}

void lender_destroy(lender_t *lender)
{
	if (!lender)
		return;
	while (!LIST_EMPTY(&lender->loans))
		drop_loan(lender, LIST_FIRST(&lender->loans));
	while (!TAILQ_EMPTY(&lender->immediate_grants))
		drop_immediate_grant(lender, TAILQ_FIRST(&lender->immediate_grants));
	g_free(lender);
}

/* Sets the pool's capacity to what is not lent, at least 0. */
static void update_pool_capacity(lender_t *lender, usec_t now)
{
	bucket_resize(&lender->pool, now, lender->pool.rate,
		      lender->capacity - lender->lent);
}

void lender_resize(lender_t *lender, usec_t now, double rate, double capacity)
{
	bucket_refill(&lender->pool, now);
	lender->pool.rate = rate;
	lender->capacity = capacity;
	update_pool_capacity(lender, now);
}

static void expire_loans(lender_t *lender, usec_t now)
{
	loan_t *loan = LIST_FIRST(&lender->loans);

	bucket_refill(&lender->pool, now);
	while (loan) {
		loan_t *next = LIST_NEXT(loan, link);
		if (loan->expires <= now)
			drop_loan(lender, loan);
		loan = next;
	}
	immediate_grant_t *grant = TAILQ_FIRST(&lender->immediate_grants);
	while (grant) {
		immediate_grant_t *next = TAILQ_NEXT(grant, link);
		if (grant->expires <= now)
			drop_immediate_grant(lender, grant);
		grant = next;
	}
	update_pool_capacity(lender, now);
}

static loan_t *find_or_add_loan(lender_t *lender, const loan_request_t *request)
{
	loan_t *loan;

	LIST_FOREACH(loan, &lender->loans, link)
	{
		if (loan->id == request->loan_id)
			return loan;
	}
	loan = g_new0(loan_t, 1);
	loan->id = request->loan_id;
	loan->foreign = request->foreign;
	LIST_INSERT_HEAD(&lender->loans, loan, link);
	return loan;
}

/* Frees the capacity of tokens that the borrower used, and refunds those it returns. */
static void apply_reported_tokens(lender_t *lender, loan_t *loan,
				  const loan_request_t *request, usec_t now)
{
	double held = CLAMP(request->tokens_held, 0, loan->tokens);
	double returned = CLAMP(request->tokens_returned, 0, loan->tokens - held);

	lender->lent -= loan->tokens - held;
	loan->tokens = held;
	loan->demand = MAX(request->demand, 0);
	update_pool_capacity(lender, now);
	lender->pool.tokens = MIN(lender->pool.tokens + returned, lender->pool.capacity);
}

/* Demand of the borrowers in other zones (`foreign`) or in the lender's zone. */
static double total_demand(const lender_t *lender, bool foreign)
{
	const loan_t *loan;
	double demand = 0;

	LIST_FOREACH(loan, &lender->loans, link)
	demand += loan->foreign == foreign ? loan->demand : 0;
	return demand;
}

/* The pool's tokens that this borrower may have now. */
static double available_tokens(const lender_t *lender, const loan_t *loan)
{
	double tokens = MAX(MIN(lender->pool.tokens, lender->pool.capacity), 0);

	if (!loan->foreign)
		return tokens;
	double reserve =
		total_demand(lender, false) * OWN_ZONE_RESERVE_SPAN / USEC_PER_SEC;
	return MAX(tokens - reserve, 0);
}

static void take_from_pool(lender_t *lender, double tokens)
{
	lender->lent += tokens;
	lender->pool.tokens -= tokens;
	lender->pool.capacity -= tokens;
}

/* Tokens that the loan should have: its demand over LOAN_HORIZON, limited to its part, by
 * demand, of the capacity that may be lent; 0 if less than LOAN_TOKENS_MIN. */
static double desired_tokens(const lender_t *lender, const loan_t *loan)
{
	double demand = total_demand(lender, false) + total_demand(lender, true);
	double fair =
		lender->capacity * LENT_RATIO_MAX * loan->demand / MAX(demand, 1e-9);
	double wanted = loan->demand * LOAN_HORIZON / USEC_PER_SEC;
	double tokens = MIN(fair, wanted);

	return tokens < LOAN_TOKENS_MIN ? 0 : tokens;
}

static double raise_loan(lender_t *lender, loan_t *loan)
{
	double tokens = desired_tokens(lender, loan) - loan->tokens;

	tokens = CLAMP(tokens, 0, available_tokens(lender, loan));
	take_from_pool(lender, tokens);
	loan->tokens += tokens;
	return tokens;
}

static void reserve_capacity(lender_t *lender, double tokens, usec_t expires)
{
	immediate_grant_t *grant = g_new0(immediate_grant_t, 1);

	grant->tokens = tokens;
	grant->expires = expires;
	TAILQ_INSERT_TAIL(&lender->immediate_grants, grant, link);
	take_from_pool(lender, tokens);
}

static uint32_t grant_immediate_tokens(lender_t *lender, const loan_t *loan,
				       uint32_t waiting, usec_t now)
{
	uint32_t tokens =
		(uint32_t)MIN((double)waiting, floor(available_tokens(lender, loan)));

	if (tokens == 0)
		return 0;
	reserve_capacity(lender, tokens, now + TERM_WITH_MARGIN(IMMEDIATE_TERM));
	return tokens;
}

static double own_zone_pressure(const lender_t *lender)
{
	return total_demand(lender, false) / MAX(lender->pool.rate, 1e-9);
}

void lender_handle_request(lender_t *lender, usec_t now, const loan_request_t *request,
			   loan_reply_t *reply)
{
	expire_loans(lender, now);
	lender->last_request_at = now;
	loan_t *loan = find_or_add_loan(lender, request);
	*reply = (loan_reply_t){.loan_id = request->loan_id,
				.sequence = request->sequence};
	if (request->sequence <= loan->sequence)
		return;
	loan->sequence = request->sequence;
	apply_reported_tokens(lender, loan, request, now);
	reply->granted = true;
	reply->immediate_tokens =
		grant_immediate_tokens(lender, loan, request->waiting, now);
	reply->tokens = raise_loan(lender, loan);
	loan->expires = now + TERM_WITH_MARGIN(LOAN_TERM);
	reply->pressure = own_zone_pressure(lender);
}

void lender_reserve(lender_t *lender, double capacity, usec_t until, usec_t now)
{
	expire_loans(lender, now);
	reserve_capacity(lender, capacity, until);
	lender->pool.tokens = MAX(lender->pool.tokens, 0);
	update_pool_capacity(lender, now);
}

double lender_lent_ratio(lender_t *lender, usec_t now)
{
	expire_loans(lender, now);
	return lender->capacity > 0 ? CLAMP(lender->lent / lender->capacity, 0, 1) : 0;
}

double lender_pressure(lender_t *lender, usec_t now)
{
	expire_loans(lender, now);
	return own_zone_pressure(lender);
}

bool lender_is_idle(lender_t *lender, usec_t now)
{
	expire_loans(lender, now);
	return LIST_EMPTY(&lender->loans) && TAILQ_EMPTY(&lender->immediate_grants) &&
	       now - lender->last_request_at > IDLE_TIME;
}

double lender_total_capacity(lender_t *lender, usec_t now)
{
	expire_loans(lender, now);
	return lender->pool.capacity + lender->lent;
}
