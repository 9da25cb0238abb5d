/* Tests of the balance by expected completion time while instances cannot be reached or
 * their reports are old, in virtual time. */
#include "case.h"

#include "balance_sim.h"

#include <stdlib.h>

#define SEEDS 16
/* Sends of all seeds in the shortest span; its share has a standard deviation of 0.03. */
#define SENDS_MIN 250
/* Of the three instances of a zone, each gets a third of the calls if nothing is known of
 * them, and one that every choice prefers gets 5/9. The bound is halfway. */
#define HERD_SHARE_MAX ((1.0 / 3 + 5.0 / 9) / 2)
#define RETURNED_MIN 0.8 /* of the share before */
/* A call that was lost is sent once more. */
#define FAILED_MAX 0.001

typedef struct failure_case {
	const char *name;
	sim_setup_t setup;
	bool unreachable; /* until instance 0 is silent, calls to it are lost */
	bool returns;
} failure_case_t;

static void add_share(struct sim_share *sum, const struct sim_share *one)
{
	sum->sends += one->sends;
	sum->first += one->first;
}

static double first_share(const struct sim_share *share)
{
	return share->sends > 0 ? share->first / share->sends : 0;
}

/* EGRET_TEST_SEEDS does not apply: with fewer seeds the shares are less exact. */
static void sum_shares(const sim_setup_t *setup, sim_result_t *sum)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		sim_result_t one;
		sim_run(setup, ROUTER_BALANCE_TIME, seed, &one);
		add_share(&sum->before, &one.before);
		add_share(&sum->lost, &one.lost);
		add_share(&sum->back, &one.back);
		add_share(&sum->after, &one.after);
		sum->failed += one.failed / SEEDS;
	}
}

/* Guards against an instance that attracts calls since it does not answer, against a herd
 * to an instance of which only old reports are known, and against one that does not get
 * its share back. Instance 0 is the fastest. */
static void test_failure(void **state)
{
	const failure_case_t *c = *state;
	sim_result_t sum = {0};

	sum_shares(&c->setup, &sum);
	double before = first_share(&sum.before);
	double lost = first_share(&sum.lost);
	double back = first_share(&sum.back);
	double after = first_share(&sum.after);
	print_message("  share of sends: before %.3f of %.0f, until silent %.3f of %.0f, "
		      "back %.3f of %.0f, after %.3f of %.0f; failed %.5f\n",
		      before, sum.before.sends, lost, sum.lost.sends, back,
		      sum.back.sends, after, sum.after.sends, sum.failed);
	assert_true(sum.failed <= FAILED_MAX);
	if (c->unreachable) {
		assert_true(sum.lost.sends >= SENDS_MIN);
		assert_true(lost <= before);
	}
	if (!c->returns) {
		assert_true(sum.back.first == 0 && sum.after.first == 0);
		return;
	}
	assert_true(sum.back.sends >= SENDS_MIN);
	assert_true(back <= HERD_SHARE_MAX);
	assert_true(after >= RETURNED_MIN * before);
}

#define ZONES                                                                            \
	{                                                                                \
		3, 3, 3                                                                  \
	}
#define MANY_NODES                                                                       \
	{                                                                                \
		6, 6, 6                                                                  \
	}
/* All calls of a zone come from one node, the one whose link is cut. */
#define ONE_NODE                                                                         \
	{                                                                                \
		1, 1, 1                                                                  \
	}
/* Before the failure, instance 0 gets clearly less than 5/9. */
#define SIMILAR                                                                          \
	{                                                                                \
		0.8, 1.0, 1.2                                                            \
	}
#define SPREAD                                                                           \
	{                                                                                \
		0.6, 1.0, 1.4                                                            \
	}
#define WORK (54 * USEC_PER_MSEC)

static const failure_case_t failure_cases[] = {
	{"the node of the best instance dies",
	 {ZONES, MANY_NODES, SIMILAR, 0.65, 0, WORK, false, SIM_DIES},
	 true,
	 false},
	{"the link to the best instance is cut, others answer",
	 {ZONES, ONE_NODE, SIMILAR, 0.65, 0, WORK, false, SIM_CUT},
	 true,
	 true},
	{"all reports are old after a pause",
	 {ZONES, MANY_NODES, SPREAD, 0.65, 0, WORK, false, SIM_PAUSES},
	 false,
	 true},
};

int main(void)
{
	return RUN_CASES("balance in failures", failure_cases, test_failure);
}
