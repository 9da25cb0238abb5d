/* Account rates by loans, in virtual time: no window of length t may hold more admitted
 * requests than rate * t + burst, under faults of messages, nodes, links and the
 * platform. */
#include "accounts_sim.h"
#include "case.h"

#include "accounts/borrower.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS 200

typedef struct bound_case {
	const char *name;
	sim_options_t options;
	double demand; /* over all nodes, in multiples of the rate */
	bool bursts;   /* 1 s with demand, then 2 s without */
	usec_t span;
	uint64_t seeds;
} bound_case_t;

static void spread_demand(sim_t *sim, const sim_options_t *options, double factor)
{
	uint32_t n = options->zones * options->nodes_per_zone;

	for (uint32_t i = 0; i < n; i++)
		sim_set_demand(sim, i, options->rate * factor / n);
}

static bool bound_holds(const bound_case_t *c, uint64_t seed)
{
	sim_options_t options = c->options;

	options.seed = seed;
	sim_t *sim = sim_create(&options);
	bool ok = true;
	for (usec_t elapsed = 0; elapsed < c->span && ok; elapsed += 3 * USEC_PER_SEC) {
		spread_demand(sim, &options, c->demand);
		ok = sim_run(sim, USEC_PER_SEC);
		spread_demand(sim, &options, c->bursts ? 0 : c->demand);
		ok = ok && sim_run(sim, 2 * USEC_PER_SEC);
	}
	sim_destroy(sim);
	return ok;
}

/* EGRET_TEST_SEEDS lowers the number of seeds for slow builds. */
static uint64_t seed_count(const bound_case_t *c)
{
	const char *limit = getenv("EGRET_TEST_SEEDS");

	return limit ? MIN(c->seeds, strtoull(limit, NULL, 10)) : c->seeds;
}

static void test_bound(void **state)
{
	const bound_case_t *c = *state;

	for (uint64_t seed = 1; seed <= seed_count(c); seed++)
		assert_true(bound_holds(c, seed));
}

/* With a rule disabled, at least one seed must violate the bound. */
static void test_mutation(void **state)
{
	const bound_case_t *c = *state;
	bool violated = false;

	for (uint64_t seed = 1; seed <= c->seeds && !violated; seed++)
		violated = !bound_holds(c, seed);
	assert_true(violated);
}

#define NO_FAULTS                                                                        \
	{                                                                                \
		.zones = 3, .nodes_per_zone = 4, .rate = 100, .burst = 50,               \
		.delay_max = 2000                                                        \
	}
#define FAULTS                                                                           \
	{                                                                                \
		.zones = 3, .nodes_per_zone = 3, .rate = 200, .burst = 60,               \
		.delay_max = 40000, .loss = 0.05, .duplicate = 0.05,                     \
		.faults_per_second = 0.7, .fault_max = 15 * USEC_PER_SEC                 \
	}
#define MANY_FAULTS                                                                      \
	{                                                                                \
		.zones = 2, .nodes_per_zone = 2, .rate = 60, .burst = 12,                \
		.delay_max = 200000, .loss = 0.2, .duplicate = 0.2,                      \
		.faults_per_second = 1, .fault_max = 10 * USEC_PER_SEC                   \
	}

static const bound_case_t bound_cases[] = {
	{"demand under the rate, no faults", NO_FAULTS, 0.9, false, 20 * USEC_PER_SEC, 5},
	{"demand at five times the rate, no faults", NO_FAULTS, 5, true,
	 20 * USEC_PER_SEC, 5},
	{"losses, duplicates, pauses, crashes, links down, outages", FAULTS, 3, false,
	 60 * USEC_PER_SEC, SEEDS},
	{"bursts after idle times, under the same faults", FAULTS, 6, true,
	 60 * USEC_PER_SEC, SEEDS},
	{"two small zones, late messages, many faults", MANY_FAULTS, 8, true,
	 60 * USEC_PER_SEC, SEEDS},
};

static const bound_case_t mutation_cases[] = {
	{"a keeper that ignores its lease and its successor violates the bound",
	 {.zones = 1,
	  .nodes_per_zone = 5,
	  .rate = 200,
	  .burst = 60,
	  .delay_max = 40000,
	  .loss = 0.05,
	  .faults_per_second = 1,
	  .fault_max = 20 * USEC_PER_SEC,
	  .ignore_lease = true},
	 5,
	 false,
	 60 * USEC_PER_SEC,
	 SEEDS},
	{"a lender that applies outdated requests violates the bound",
	 {.zones = 1,
	  .nodes_per_zone = 2,
	  .rate = 200,
	  .burst = 60,
	  .delay_max = 80000,
	  .loss = 0.05,
	  .duplicate = 0.5,
	  .ignore_sequence = true},
	 8,
	 true,
	 60 * USEC_PER_SEC,
	 SEEDS},
};

typedef struct refusal_case {
	const char *name;
	sim_options_t options;
	double demand;	    /* in multiples of the rate */
	bool skewed;	    /* all demand at one node */
	double refused_max; /* part of the requests; set by the requirements */
} refusal_case_t;

/* Refusals with demand under the rate, once the keepers lend: at most refused_max beyond
 * what a single shared bucket would refuse. */
static void test_refusals(void **state)
{
	const refusal_case_t *c = *state;
	sim_t *sim = sim_create(&c->options);

	assert_true(sim_run(sim, 5 * USEC_PER_SEC));
	if (c->skewed)
		sim_set_demand(sim, 0, c->options.rate * c->demand);
	else
		spread_demand(sim, &c->options, c->demand);
	assert_true(sim_run(sim, 10 * USEC_PER_SEC));
	sim_counts_t before = sim_counts(sim);
	assert_true(sim_run(sim, 60 * USEC_PER_SEC));
	sim_counts_t after = sim_counts(sim);
	double arrived = (double)(after.arrived - before.arrived);
	double refused = (double)(after.refused - before.refused);
	double over_rate = (double)(after.over_rate - before.over_rate);
	printf("%s: %.2f%% refused, %.2f%% over the rate, %.2f messages per request\n",
	       c->name, 100 * refused / arrived, 100 * over_rate / arrived,
	       (double)(after.messages - before.messages) / arrived);
	sim_destroy(sim);
	assert_true((refused - over_rate) / arrived <= c->refused_max);
}

static const refusal_case_t refusal_cases[] = {
	{"even demand at 80% of the rate", NO_FAULTS, 0.8, false, 0.01},
	{"all demand at one node, 80% of the rate", NO_FAULTS, 0.8, true, 0.01},
	{"a small account over 15 nodes in three zones, 70% of the rate",
	 {.zones = 3, .nodes_per_zone = 5, .rate = 40, .burst = 20, .delay_max = 2000},
	 0.7,
	 false,
	 0.01},
	{"a small account over 16 nodes in four zones, 70% of the rate",
	 {.zones = 4, .nodes_per_zone = 4, .rate = 15, .burst = 10, .delay_max = 2000},
	 0.7,
	 false,
	 0.01},
};

/* --- Expiry of loans ---------------------------------------------------------------- */

typedef struct term_case {
	const char *name;
	usec_t replied; /* after the request */
	usec_t taken;	/* after the request */
	bool granted;
} term_case_t;

/* The borrower counts the term from sending the request, so that no token is used after
 * the lender's longer term, when the lender has reclaimed it. */
static void test_term(void **state)
{
	const term_case_t *c = *state;
	const usec_t sent_at = 100 * USEC_PER_SEC;
	borrower_t *borrower = borrower_create("a");
	loan_request_t request;

	assert_true(borrower_prepare_request(borrower, "a", 0, 7, sent_at, &request));
	loan_reply_t reply = {.loan_id = request.loan_id,
			      .sequence = request.sequence,
			      .granted = true,
			      .tokens = 5};
	borrower_handle_reply(borrower, &reply, sent_at + c->replied);
	assert_int_equal(borrower_take_token(borrower, sent_at + c->taken), c->granted);
	borrower_destroy(borrower);
}

static const term_case_t term_cases[] = {
	{"a token is taken within the term", 10, LOAN_TERM - 1, true},
	{"no token is taken after the term", 10, LOAN_TERM, false},
	{"a late reply does not extend the term", LOAN_TERM / 2, LOAN_TERM, false},
	{"a reply after the term adds no tokens", LOAN_TERM, LOAN_TERM, false},
};

int main(void)
{
	int failed = RUN_CASES("accounts_bound", bound_cases, test_bound);

	failed += RUN_CASES("accounts_term", term_cases, test_term);
	failed += RUN_CASES("accounts_mutation", mutation_cases, test_mutation);
	failed += RUN_CASES("accounts_refusals", refusal_cases, test_refusals);
	return failed;
}
