/* Account rates in virtual time: the bound holds under every schedule. */
#include "case.h"
#include "world.h"

#include "accounts/borrower.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS 200

typedef struct bound_case {
	const char *name;
	world_options_t options;
	double demand; /* over all nodes, in multiples of the rate */
	bool bursts;   /* a second of demand, then two without */
	usec_t span;
	uint64_t seeds;
} bound_case_t;

static void spread_demand(world_t *world, const world_options_t *options, double factor)
{
	uint32_t n = options->zones * options->nodes_per_zone;

	for (uint32_t i = 0; i < n; i++)
		world_set_demand(world, i, options->rate * factor / n);
}

static bool holds(const bound_case_t *c, uint64_t seed)
{
	world_options_t options = c->options;

	options.seed = seed;
	world_t *world = world_create(&options);
	bool ok = true;
	for (usec_t done = 0; done < c->span && ok; done += 3 * USEC_PER_SEC) {
		spread_demand(world, &options, c->demand);
		ok = world_run(world, USEC_PER_SEC);
		spread_demand(world, &options, c->bursts ? 0 : c->demand);
		ok = ok && world_run(world, 2 * USEC_PER_SEC);
	}
	world_destroy(world);
	return ok;
}

/* EGRET_TEST_SEEDS lowers the count for slow builds. */
static uint64_t seed_count(const bound_case_t *c)
{
	const char *limit = getenv("EGRET_TEST_SEEDS");

	return limit ? MIN(c->seeds, strtoull(limit, NULL, 10)) : c->seeds;
}

static void test_bound(void **state)
{
	const bound_case_t *c = *state;

	for (uint64_t seed = 1; seed <= seed_count(c); seed++)
		assert_true(holds(c, seed));
}

/* A rule taken out must be noticed by some seed. */
static void test_mutation(void **state)
{
	const bound_case_t *c = *state;
	bool caught = false;

	for (uint64_t seed = 1; seed <= c->seeds && !caught; seed++)
		caught = !holds(c, seed);
	assert_true(caught);
}

#define QUIET                                                                            \
	{                                                                                \
		.zones = 3, .nodes_per_zone = 4, .rate = 100, .burst = 50,               \
		.delay_max = 2000                                                        \
	}
#define FAULTY                                                                           \
	{                                                                                \
		.zones = 3, .nodes_per_zone = 3, .rate = 200, .burst = 60,               \
		.delay_max = 40000, .loss = 0.05, .repeat = 0.05,                        \
		.faults_per_second = 0.7, .fault_max = 15 * USEC_PER_SEC                 \
	}
#define LONE                                                                             \
	{                                                                                \
		.zones = 2, .nodes_per_zone = 2, .rate = 60, .burst = 12,                \
		.delay_max = 200000, .loss = 0.2, .repeat = 0.2, .faults_per_second = 1, \
		.fault_max = 10 * USEC_PER_SEC                                           \
	}

static const bound_case_t bound_cases[] = {
	{"demand under the rate, no faults", QUIET, 0.9, false, 20 * USEC_PER_SEC, 5},
	{"demand at five times the rate, no faults", QUIET, 5, true, 20 * USEC_PER_SEC,
	 5},
	{"losses, repeats, pauses, crashes, cuts, outages", FAULTY, 3, false,
	 60 * USEC_PER_SEC, SEEDS},
	{"bursts after idle times, under the same faults", FAULTY, 6, true,
	 60 * USEC_PER_SEC, SEEDS},
	{"two small zones, late messages, many faults", LONE, 8, true, 60 * USEC_PER_SEC,
	 SEEDS},
};

static const bound_case_t mutation_cases[] = {
	{"a keeper that ignores lease and successor is caught",
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
	{"a lender that takes old statements is caught",
	 {.zones = 1,
	  .nodes_per_zone = 2,
	  .rate = 200,
	  .burst = 60,
	  .delay_max = 80000,
	  .loss = 0.05,
	  .repeat = 0.5,
	  .ignore_sequence = true},
	 8,
	 true,
	 60 * USEC_PER_SEC,
	 SEEDS},
};

typedef struct fair_case {
	const char *name;
	world_options_t options;
	double factor;
	bool skewed;	    /* all demand at one node */
	double refused_max; /* share, from the stated target */
} fair_case_t;

/* Wrongful refusals with demand under the rate, once the keepers lend. */
static void test_refusals(void **state)
{
	const fair_case_t *c = *state;
	world_t *world = world_create(&c->options);

	assert_true(world_run(world, 5 * USEC_PER_SEC));
	if (c->skewed)
		world_set_demand(world, 0, c->options.rate * c->factor);
	else
		spread_demand(world, &c->options, c->factor);
	assert_true(world_run(world, 10 * USEC_PER_SEC));
	world_counts_t before = world_counts(world);
	assert_true(world_run(world, 60 * USEC_PER_SEC));
	world_counts_t after = world_counts(world);
	double arrived = (double)(after.arrived - before.arrived);
	double refused = (double)(after.refused - before.refused);
	double over_rate = (double)(after.over_rate - before.over_rate);
	printf("%s: %.2f%% refused, %.2f%% over the rate, %.2f messages a request\n",
	       c->name, 100 * refused / arrived, 100 * over_rate / arrived,
	       (double)(after.messages - before.messages) / arrived);
	world_destroy(world);
	assert_true((refused - over_rate) / arrived <= c->refused_max);
}

static const fair_case_t fair_cases[] = {
	{"even demand at 80% of the rate", QUIET, 0.8, false, 0.01},
	{"all demand at one node, 80% of the rate", QUIET, 0.8, true, 0.01},
	{"many small entries, 70% of the rate",
	 {.zones = 3, .nodes_per_zone = 5, .rate = 40, .burst = 20, .delay_max = 2000},
	 0.7,
	 false,
	 0.01},
	{"a small account over 16 entries in four zones",
	 {.zones = 4, .nodes_per_zone = 4, .rate = 15, .burst = 10, .delay_max = 2000},
	 0.7,
	 false,
	 0.01},
};

/* --- the end of a loan ------------------------------------------------------------ */

typedef struct term_case {
	const char *name;
	usec_t answered; /* after the request */
	usec_t spent;	 /* after the request */
	bool granted;
} term_case_t;

/* The term counts from the asking: what the lender takes back after its own, longer
 * term is never spent here any more. */
static void test_term(void **state)
{
	const term_case_t *c = *state;
	const usec_t asked = 100 * USEC_PER_SEC;
	borrower_t *borrower = borrower_create("a");
	loan_request_t request;

	assert_true(borrower_prepare_request(borrower, "a", 0, 7, asked, &request));
	loan_reply_t reply = {.loan_id = request.loan_id,
			      .sequence = request.sequence,
			      .granted = true,
			      .tokens = 5};
	borrower_handle_reply(borrower, &reply, asked + c->answered);
	assert_int_equal(borrower_take_token(borrower, asked + c->spent), c->granted);
	borrower_destroy(borrower);
}

static const term_case_t term_cases[] = {
	{"a loan is spent inside its term", 10, LOAN_TERM - 1, true},
	{"a loan is not spent past its end", 10, LOAN_TERM, false},
	{"a late answer does not make the term longer", LOAN_TERM / 2, LOAN_TERM, false},
	{"an answer after the term brings nothing", LOAN_TERM, LOAN_TERM, false},
};

int main(void)
{
	int failed = RUN_CASES("accounts_bound", bound_cases, test_bound);

	failed += RUN_CASES("accounts_term", term_cases, test_term);
	failed += RUN_CASES("accounts_mutation", mutation_cases, test_mutation);
	failed += RUN_CASES("accounts_refusals", fair_cases, test_refusals);
	return failed;
}
