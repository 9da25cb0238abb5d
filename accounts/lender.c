#include "accounts/lender.h"

#include "accounts/bucket.h"

#include <glib.h>
#include <math.h>
#include <sys/queue.h>

#define LENT_SHARE 0.8
/* A bucket below this capacity seldom holds a whole token: its rate is lost. */
#define LOAN_CAPACITY_MIN 3.0
#define IDLE_TIME (10 * USEC_PER_SEC)
/* A raise below this part of the loan is not worth a change. */
#define LOWER_MARGIN 0.8

typedef struct loan {
	LIST_ENTRY(loan) link;
	uint64_t id;
	uint64_t sequence;
	double rate;
	double capacity;
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
	double rate;
	double capacity;
	double lent_rate;
	double lent_capacity;
	LIST_HEAD(, loan) loans;
	TAILQ_HEAD(, spend) spends;
	usec_t last_request;
};

lender_t *lender_create(usec_t now, double rate, double capacity)
{
	lender_t *lender = g_new0(lender_t, 1);

	LIST_INIT(&lender->loans);
	TAILQ_INIT(&lender->spends);
	lender->pool.updated = now;
	lender->last_request = now;
	lender_resize(lender, now, rate, capacity);
	return lender;
}

static void drop_loan(lender_t *lender, loan_t *loan)
{
	lender->lent_rate -= loan->rate;
	lender->lent_capacity -= loan->capacity;
	LIST_REMOVE(loan, link);
	g_free(loan);
}

static void drop_spend(lender_t *lender, spend_t *spend)
{
	lender->lent_capacity -= spend->tokens;
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

/* The pool has what is not lent; while more is lent than owned, nothing. */
static void settle_pool(lender_t *lender, usec_t now)
{
	bucket_resize(&lender->pool, now, lender->rate - lender->lent_rate,
		      lender->capacity - lender->lent_capacity);
}

void lender_resize(lender_t *lender, usec_t now, double rate, double capacity)
{
	lender->rate = rate;
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
	while (!TAILQ_EMPTY(&lender->spends) &&
	       TAILQ_FIRST(&lender->spends)->expires <= now)
		drop_spend(lender, TAILQ_FIRST(&lender->spends));
	settle_pool(lender, now);
}

static loan_t *find_loan(lender_t *lender, const loan_request_t *request)
{
	loan_t *loan;

	LIST_FOREACH (loan, &lender->loans, link) {
		if (loan->id == request->loan)
			return loan;
	}
	loan = g_new0(loan_t, 1);
	loan->id = request->loan;
	loan->foreign = request->foreign;
	LIST_INSERT_HEAD(&lender->loans, loan, link);
	return loan;
}

/* Takes back what the borrower says it no longer holds. */
static void take_statement(lender_t *lender, loan_t *loan, const loan_request_t *request)
{
	double rate = CLAMP(request->holds_rate, 0, loan->rate);
	double capacity = CLAMP(request->holds_capacity, 0, loan->capacity);

	lender->lent_rate -= loan->rate - rate;
	lender->lent_capacity -= loan->capacity - capacity;
	loan->rate = rate;
	loan->capacity = capacity;
	loan->demand = MAX(request->demand, 0);
}

static double own_demand(const lender_t *lender)
{
	const loan_t *loan;
	double demand = 0;

	LIST_FOREACH (loan, &lender->loans, link)
		demand += loan->foreign ? 0 : loan->demand;
	return demand;
}

static double foreign_demand(const lender_t *lender)
{
	const loan_t *loan;
	double demand = 0;

	LIST_FOREACH (loan, &lender->loans, link)
		demand += loan->foreign ? loan->demand : 0;
	return demand;
}

/* The borrower's part by demand, 0 to 1. */
static double demand_share(const lender_t *lender, const loan_t *loan)
{
	double own = own_demand(lender);

	if (loan->demand <= 0)
		return 0;
	if (!loan->foreign)
		return LENT_SHARE * loan->demand / MAX(own, 1e-9);
	double spare = MAX(1.0 - own / MAX(lender->rate, 1e-9), 0.0);
	return LENT_SHARE * spare * loan->demand / MAX(foreign_demand(lender), 1e-9);
}

/* The part of the whole that this borrower should hold; small ones get spends. */
static double target_share(const lender_t *lender, const loan_t *loan)
{
	double share = demand_share(lender, loan);

	return lender->capacity * share < LOAN_CAPACITY_MIN ? 0 : share;
}

/* Raises the loan towards its target out of the pool, tokens with capacity. */
static void raise_loan(lender_t *lender, loan_t *loan, const loan_request_t *request,
		       loan_reply_t *reply)
{
	bucket_t *pool = &lender->pool;
	double share = target_share(lender, loan);
	double rate = CLAMP(lender->rate * share - loan->rate, 0, pool->rate);
	double capacity =
		CLAMP(lender->capacity * share - loan->capacity, 0, pool->capacity);
	double part = pool->capacity > 0 ? capacity / pool->capacity : 0;
	double tokens = pool->tokens * part;
	double room = loan->capacity - MIN(request->holds_tokens, loan->capacity);

	/* Fills up what the loan had before as well, as far as it goes evenly. */
	tokens += MIN(room, (pool->tokens - tokens) * share);
	pool->tokens -= tokens;
	pool->rate -= rate;
	pool->capacity -= capacity;
	loan->rate += rate;
	loan->capacity += capacity;
	lender->lent_rate += rate;
	lender->lent_capacity += capacity;
	reply->tokens = tokens;
}

/* What the borrower is told to hold: lower than recorded if others need it. */
static void set_holding(const lender_t *lender, const loan_t *loan, loan_reply_t *reply)
{
	double share = target_share(lender, loan);
	double rate = lender->rate * share;
	double capacity = lender->capacity * share;

	reply->rate = rate < loan->rate * LOWER_MARGIN ? rate : loan->rate;
	reply->capacity = capacity < loan->capacity * LOWER_MARGIN ? capacity :
								     loan->capacity;
}

static uint32_t grant_spends(lender_t *lender, const loan_request_t *request, usec_t now)
{
	double available = floor(MIN(lender->pool.tokens, lender->pool.capacity));

	if (request->foreign && own_demand(lender) > lender->rate)
		return 0;
	uint32_t spends = (uint32_t)MIN((double)request->want, MAX(available, 0));
	if (spends == 0)
		return 0;
	spend_t *spend = g_new0(spend_t, 1);
	spend->tokens = spends;
	spend->expires = now + LOAN_MARGIN(SPEND_TERM);
	TAILQ_INSERT_TAIL(&lender->spends, spend, link);
	lender->lent_capacity += spends;
	lender->pool.tokens -= spends;
	lender->pool.capacity -= spends;
	return spends;
}

void lender_request(lender_t *lender, usec_t now, const loan_request_t *request,
		    loan_reply_t *reply)
{
	expire(lender, now);
	lender->last_request = now;
	loan_t *loan = find_loan(lender, request);
	*reply = (loan_reply_t){.loan = request->loan, .sequence = request->sequence};
	if (request->sequence <= loan->sequence)
		return;
	loan->sequence = request->sequence;
	take_statement(lender, loan, request);
	settle_pool(lender, now);
	reply->granted = true;
	reply->spends = grant_spends(lender, request, now);
	raise_loan(lender, loan, request, reply);
	loan->expires = now + LOAN_MARGIN(LOAN_TERM);
	set_holding(lender, loan, reply);
	reply->pressure = own_demand(lender) / MAX(lender->rate, 1e-9);
}

double lender_pressure(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return own_demand(lender) / MAX(lender->rate, 1e-9);
}

bool lender_is_idle(lender_t *lender, usec_t now)
{
	expire(lender, now);
	return LIST_EMPTY(&lender->loans) && TAILQ_EMPTY(&lender->spends) &&
	       now - lender->last_request > IDLE_TIME;
}

void lender_totals(lender_t *lender, usec_t now, double *rate, double *capacity)
{
	expire(lender, now);
	*rate = lender->pool.rate + lender->lent_rate;
	*capacity = lender->pool.capacity + lender->lent_capacity;
}
