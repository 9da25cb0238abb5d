#include "accounts/lender.h"

#include "accounts/bucket.h"

#include <glib.h>
#include <math.h>
#include <sys/queue.h>

/* A loan covers the borrower's demand for so long. */
#define LOAN_HORIZON (USEC_PER_SEC / 2)
#define LENT_SHARE 0.7
/* Smaller loans are not worth the capacity that they take up; see loan.h. */
#define LOAN_TOKENS_MIN 4.0
/* Kept for the own zone when another zone asks. */
#define OWN_RESERVE (USEC_PER_SEC / 20)
#define IDLE_TIME (10 * USEC_PER_SEC)

typedef struct loan {
	LIST_ENTRY(loan) link;
	uint64_t id;
	uint64_t sequence;
	double tokens; /* lent and not known to be spent */
	double demand;
	bool foreign;
	usec_t expires;
} loan_t;

/* Capacity held back for spends that may still be used. */
typedef struct spend {
	TAILQ_ENTRY(spend) link;
	double tokens;
	usec_t expires;
} spend_t;

struct lender {
	bucket_t pool;
	double capacity;
	double lent;
	LIST_HEAD(loan_list, loan) loans;
	TAILQ_HEAD(spend_list, spend) spends;
	usec_t last_request;
};

lender_t *lender_create(usec_t since, usec_t now, double rate, double capacity)
{
	lender_t *lender = g_new0(lender_t, 1);

	LIST_INIT(&lender->loans);
	TAILQ_INIT(&lender->spends);
	lender->pool.updated = since;
	lender->last_request = now;
	lender_resize(lender, since, rate, capacity);
	return lender;
}

static void drop_loan(lender_t *lender, loan_t *loan)
{
	lender->lent -= loan->tokens;
	LIST_REMOVE(loan, link);
	g_free(loan);
}

static void drop_spend(lender_t *lender, spend_t *spend)
{
	lender->lent -= spend->tokens;
	TAILQ_REMOVE(&lender->spends, spend, link);
	g_free(spend);
}

void lender_destroy(lender_t *lender)
{
	if (!lender)
		return;
	while (!LIST_EMPTY(&lender->loans))
		drop_loan(lender, LIST_FIRST(&lender->loans));
	while (!TAILQ_EMPTY(&lender->spends))
		drop_spend(lender, TAILQ_FIRST(&lender->spends));
	g_free(lender);
}

/* The pool has the capacity that is not lent; while more is lent, none. */
static void settle_pool(lender_t *lender, usec_t now)
{
	bucket_resize(&lender->pool, now, lender->pool.rate,
		      lender->capacity - lender->lent);
}

void lender_resize(lender_t *lender, usec_t now, double rate, double capacity)
{
	bucket_refill(&lender->pool, now);
	lender->pool.rate = rate;
	lender->capacity = capacity;
	settle_pool(lender, now);
}

static void expire(lender_t *lender, usec_t now)
{
	loan_t *loan = LIST_FIRST(&lender->loans);

	bucket_refill(&lender->pool, now);
	while (loan) {
		loan_t *next = LIST_NEXT(loan, link);
		if (loan->expires <= now)
			drop_loan(lender, loan);
		loan = next;
	}
	spend_t *spend = TAILQ_FIRST(&lender->spends);
	while (spend) {
		spend_t *next = TAILQ_NEXT(spend, link);
		if (spend->expires <= now)
			drop_spend(lender, spend);
		spend = next;
	}
	settle_pool(lender, now);
}

static loan_t *find_loan(lender_t *lender, const loan_request_t *request)
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

/* Takes back what the borrower spent or hands back. */
static void take_statement(lender_t *lender, loan_t *loan, const loan_request_t *request,
			   usec_t now)
{
	double holds = CLAMP(request->tokens_held, 0, loan->tokens);
	double returned = CLAMP(request->tokens_returned, 0, loan->tokens - holds);

	lender->lent -= loan->tokens - holds;
	loan->tokens = holds;
	loan->demand = MAX(request->demand, 0);
	settle_pool(lender, now);
	lender->pool.tokens = MIN(lender->pool.tokens + returned, lender->pool.capacity);
}

static double demand_of(const lender_t *lender, bool foreign)
{
	const loan_t *loan;
	double demand = 0;

	LIST_FOREACH(loan, &lender->loans, link)
	demand += loan->foreign == foreign ? loan->demand : 0;
	return demand;
}

/* Tokens that this borrower may take out of the pool now. */
static double available(const lender_t *lender, const loan_t *loan)
{
	double tokens = MAX(MIN(lender->pool.tokens, lender->pool.capacity), 0);

	if (!loan->foreign)
		return tokens;
	double reserve = demand_of(lender, false) * OWN_RESERVE / USEC_PER_SEC;
	return MAX(tokens - reserve, 0);
}

static void take_from_pool(lender_t *lender, double tokens)
{
	lender->lent += tokens;
	lender->pool.tokens -= tokens;
	lender->pool.capacity -= tokens;
}

/* What the loan should hold: its demand for a while, within its fair part. */
static double target_tokens(const lender_t *lender, const loan_t *loan)
{
	double demand = demand_of(lender, false) + demand_of(lender, true);
	double fair = lender->capacity * LENT_SHARE * loan->demand / MAX(demand, 1e-9);
	double wanted = loan->demand * LOAN_HORIZON / USEC_PER_SEC;
	double target = MIN(fair, wanted);

	return target < LOAN_TOKENS_MIN ? 0 : target;
}

static double raise_loan(lender_t *lender, loan_t *loan)
{
	double tokens = target_tokens(lender, loan) - loan->tokens;

	tokens = CLAMP(tokens, 0, available(lender, loan));
	take_from_pool(lender, tokens);
	loan->tokens += tokens;
	return tokens;
}

static void hold_back(lender_t *lender, double tokens, usec_t expires)
{
	spend_t *spend = g_new0(spend_t, 1);

	spend->tokens = tokens;
	spend->expires = expires;
	TAILQ_INSERT_TAIL(&lender->spends, spend, link);
	take_from_pool(lender, tokens);
}

static uint32_t grant_spends(lender_t *lender, const loan_t *loan, uint32_t want,
			     usec_t now)
{
	uint32_t spends = (uint32_t)MIN((double)want, floor(available(lender, loan)));

	if (spends == 0)
		return 0;
	hold_back(lender, spends, now + TERM_WITH_MARGIN(IMMEDIATE_TERM));
	return spends;
}

static double pressure(const lender_t *lender)
{
	return demand_of(lender, false) / MAX(lender->pool.rate, 1e-9);
}

void lender_handle_request(lender_t *lender, usec_t now, const loan_request_t *request,
			   loan_reply_t *reply)
{
	expire(lender, now);
	lender->last_request = now;
	loan_t *loan = find_loan(lender, request);
	*reply = (loan_reply_t){.loan_id = request->loan_id,
				.sequence = request->sequence};
	if (request->sequence <= loan->sequence)
		return;
	loan->sequence = request->sequence;
	take_statement(lender, loan, request, now);
	reply->granted = true;
	reply->immediate_tokens = grant_spends(lender, loan, request->waiting, now);
	reply->tokens = raise_loan(lender, loan);
	loan->expires = now + TERM_WITH_MARGIN(LOAN_TERM);
	reply->pressure = pressure(lender);
}

void lender_reserve(lender_t *lender, double capacity, usec_t until, usec_t now)
{
	expire(lender, now);
	hold_back(lender, capacity, until);
	lender->pool.tokens = MAX(lender->pool.tokens, 0);
	settle_pool(lender, now);
}

double lender_lent_ratio(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return lender->capacity > 0 ? CLAMP(lender->lent / lender->capacity, 0, 1) : 0;
}

double lender_pressure(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return pressure(lender);
}

bool lender_is_idle(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return LIST_EMPTY(&lender->loans) && TAILQ_EMPTY(&lender->spends) &&
	       now - lender->last_request > IDLE_TIME;
}

double lender_total_capacity(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return lender->pool.capacity + lender->lent;
}
