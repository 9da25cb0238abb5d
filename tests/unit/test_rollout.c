/* Guards against a bad version that gets more than its share, or goes on getting
 * requests, and against good versions that are rolled back or never completed. */
#include "case.h"
#include "rollout_sim.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 30
#define MS USEC_PER_MSEC
#define SEC USEC_PER_SEC
/* The bounds of the deployments. */
#define CANARY_SHARE 0.1
#define CANARY_SLACK 50
#define ROLLBACK (5 * SEC)
/* A good version is completed this long before the end of the duration. */
#define COMPLETED_WITHIN 0.85

typedef struct rollout_case {
	const char *name;
	sim_options_t options;
	rollout_state_t state; /* of all nodes at the end */
} rollout_case_t;

/* EGRET_TEST_SEEDS lowers the number of seeds for slow builds. */
static uint64_t seed_count(void)
{
	const char *limit = getenv("EGRET_TEST_SEEDS");

	return limit ? MIN(SEEDS, strtoull(limit, NULL, 10)) : SEEDS;
}

static bool share_holds(const sim_result_t *result)
{
	return (double)result->sent_new <=
	       CANARY_SHARE * (double)result->sent + CANARY_SLACK;
}

static bool rollback_holds(const sim_result_t *result)
{
	return !result->bad_50_at || result->last_new_at <= result->bad_50_at + ROLLBACK;
}

static void print_result(const rollout_case_t *c, uint64_t seed,
			 const sim_result_t *result)
{
	print_error("%s, seed %" G_GUINT64_FORMAT ": sent %" G_GUINT64_FORMAT
		    ", to the new version %" G_GUINT64_FORMAT ", bad %" G_GUINT64_FORMAT
		    ", the 50th after %.2f s, "
		    "the last request to it after %.2f s; nodes in progress %d, "
		    "completed %d, rolled back %d; settled after %.2f s\n",
		    c->name, seed, result->sent, result->sent_new, result->bad,
		    (double)result->bad_50_at / SEC, (double)result->last_new_at / SEC,
		    result->in_state[ROLLOUT_IN_PROGRESS],
		    result->in_state[ROLLOUT_COMPLETED],
		    result->in_state[ROLLOUT_ROLLED_BACK],
		    (double)result->settled_at / SEC);
}

static bool case_holds(const rollout_case_t *c, uint64_t seed)
{
	sim_result_t result;

	rollout_sim_run(&c->options, seed, &result);
	bool ok = result.in_state[c->state] == SIM_ZONES * c->options.nodes_per_zone;
	if (c->state == ROLLOUT_COMPLETED)
		ok = ok && (double)result.settled_at <=
				   COMPLETED_WITHIN * (double)c->options.duration;
	else
		ok = ok && share_holds(&result) && rollback_holds(&result);
	if (!ok)
		print_result(c, seed, &result);
	return ok;
}

static void test_rollout(void **state)
{
	const rollout_case_t *c = *state;
	uint64_t failed = 0;

	for (uint64_t seed = 1; seed <= seed_count(); seed++)
		failed += !case_holds(c, seed);
	assert_int_equal(failed, 0);
}

/* Nodes and instances of each zone, and requests per second of each node. */
#define FLEET(nodes, count, requests)                                                    \
	.nodes_per_zone = (nodes), .instances_per_zone = (count), .rate = (requests),    \
	.duration = 12 * SEC, .speed_span = 0.4
#define USUAL_FLEET FLEET(3, 4, 60)

static const rollout_case_t rollout_cases[] = {
	{"failures at once", {USUAL_FLEET, .fail_share = 0.3}, ROLLOUT_ROLLED_BACK},
	{"few failures", {FLEET(3, 4, 120), .fail_share = 0.12}, ROLLOUT_ROLLED_BACK},
	{"slow at once",
	 {USUAL_FLEET, .slow_share = 0.3, .slow_factor = 5},
	 ROLLOUT_ROLLED_BACK},
	{"all responses slow",
	 {USUAL_FLEET, .slow_share = 1, .slow_factor = 4},
	 ROLLOUT_ROLLED_BACK},
	{"failures later",
	 {USUAL_FLEET, .fail_share = 0.3, .bad_from = 5 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"slow later",
	 {USUAL_FLEET, .slow_share = 0.4, .slow_factor = 5, .bad_from = 5 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"failures from half of the duration",
	 {USUAL_FLEET, .fail_share = 0.3, .bad_from = 6 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"failures on the route with fewer requests",
	 {USUAL_FLEET, .fail_share = 0.4, .bad_route = SIM_ROUTE_WRITE},
	 ROLLOUT_ROLLED_BACK},
	{"slow on the route with fewer requests",
	 {USUAL_FLEET, .slow_share = 0.5, .slow_factor = 5, .bad_route = SIM_ROUTE_WRITE},
	 ROLLOUT_ROLLED_BACK},
	{"failures under load",
	 {USUAL_FLEET, .fail_share = 0.4, .bad_under_load = true},
	 ROLLOUT_ROLLED_BACK},
	{"slow under load",
	 {USUAL_FLEET, .slow_share = 0.5, .slow_factor = 5, .bad_under_load = true},
	 ROLLOUT_ROLLED_BACK},
	{"failures in cold instances",
	 {USUAL_FLEET, .fail_share = 0.3, .cold = 3 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"one instance", {FLEET(3, 1, 60), .fail_share = 0.3}, ROLLOUT_ROLLED_BACK},
	{"a node restarts each second",
	 {USUAL_FLEET, .fail_share = 0.3, .restart_every = SEC},
	 ROLLOUT_ROLLED_BACK},
	{"a node restarts each second, failures later",
	 {USUAL_FLEET, .fail_share = 0.3, .restart_every = SEC, .bad_from = 4 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"a zone is cut off",
	 {USUAL_FLEET, .fail_share = 0.3, .cut_from = 0, .cut_until = 8 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"a zone is cut off until after the duration, failures later",
	 {USUAL_FLEET, .fail_share = 0.3, .bad_from = 3 * SEC, .cut_from = 2 * SEC,
	  .cut_until = 14 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"good", {USUAL_FLEET}, ROLLOUT_COMPLETED},
	{"good, many nodes and little load on each",
	 {FLEET(12, 4, 8)},
	 ROLLOUT_COMPLETED},
	{"good, noise", {USUAL_FLEET, .noise = 0.08}, ROLLOUT_COMPLETED},
	{"good, cold", {USUAL_FLEET, .cold = 4 * SEC}, ROLLOUT_COMPLETED},
	{"good, a bad zone", {USUAL_FLEET, .bad_zone = 2}, ROLLOUT_COMPLETED},
	{"good, an instance crashes",
	 {USUAL_FLEET, .crash_at = 2 * SEC + 300 * MS},
	 ROLLOUT_COMPLETED},
	{"good, few requests", {FLEET(3, 4, 2)}, ROLLOUT_COMPLETED},
	{"good, a node restarts each second",
	 {USUAL_FLEET, .restart_every = SEC},
	 ROLLOUT_COMPLETED},
	{"good, a zone is cut off for a time",
	 {USUAL_FLEET, .cut_from = 2 * SEC, .cut_until = 7 * SEC},
	 ROLLOUT_COMPLETED},
	{"good, one instance", {FLEET(3, 1, 60)}, ROLLOUT_COMPLETED},
};

static void test_withdraw(void **state)
{
	const rollout_case_t *c = *state;

	for (uint64_t seed = 1; seed <= seed_count(); seed++) {
		sim_result_t result;
		rollout_sim_run(&c->options, seed, &result);
		if (result.in_state[c->state] != SIM_ZONES * c->options.nodes_per_zone ||
		    result.late_new * 3 < result.late_old)
			print_result(c, seed, &result);
		assert_int_equal(result.in_state[c->state],
				 SIM_ZONES * c->options.nodes_per_zone);
		/* Both versions get requests, as without an order. */
		assert_true(result.late_new * 3 > result.late_old);
	}
}

static const rollout_case_t withdraw_cases[] = {
	{"in progress", {USUAL_FLEET, .withdraw_at = 3 * SEC}, ROLLOUT_NONE},
	{"after a rollback",
	 {USUAL_FLEET, .fail_share = 0.3, .withdraw_at = 8 * SEC},
	 ROLLOUT_NONE},
};

/* The new order starts over: the version is tried again, and rolled back again. */
static void test_replace(void **state)
{
	const rollout_case_t *c = *state;

	for (uint64_t seed = 1; seed <= seed_count(); seed++) {
		sim_result_t result;
		rollout_sim_run(&c->options, seed, &result);
		assert_int_equal(result.in_state[c->state],
				 SIM_ZONES * c->options.nodes_per_zone);
		assert_true(result.last_new_at > c->options.replace_at);
		if (c->state == ROLLOUT_ROLLED_BACK)
			assert_true(share_holds(&result));
	}
}

static const rollout_case_t replace_cases[] = {
	{"after a rollback",
	 {USUAL_FLEET, .fail_share = 0.3, .replace_at = 9 * SEC},
	 ROLLOUT_ROLLED_BACK},
	{"after a completion", {USUAL_FLEET, .replace_at = 11 * SEC}, ROLLOUT_COMPLETED},
};

/* The checks notice a missing mechanism. */
static void test_mutation(void **state)
{
	const rollout_case_t *c = *state;
	uint64_t noticed = 0;

	for (uint64_t seed = 1; seed <= seed_count(); seed++) {
		sim_result_t result;
		rollout_sim_run(&c->options, seed, &result);
		noticed += result.in_state[c->state] !=
				   SIM_ZONES * c->options.nodes_per_zone ||
			   !share_holds(&result) || !rollback_holds(&result);
	}
	assert_int_equal(noticed, seed_count());
}

static const rollout_case_t mutation_cases[] = {
	{"the share is ignored",
	 {USUAL_FLEET, .fail_share = 0.3, .bad_from = 4 * SEC, .ignore_share = true},
	 ROLLOUT_ROLLED_BACK},
	{"counts are not exchanged",
	 {FLEET(3, 4, 15), .fail_share = 0.3, .no_counts = true},
	 ROLLOUT_ROLLED_BACK},
};

/* A restarted node sends nothing to the new version before it knows what was decided. */
static void test_restart(void **state)
{
	(void)state;
	rollout_order_t order = {"s", "v2", 10 * SEC, 7};
	rollout_report_t *report = g_new0(rollout_report_t, 1);
	rollout_t *first = rollout_create(CANARY_SHARE, ROLLBACK, 1);
	rollout_t *again = rollout_create(CANARY_SHARE, ROLLBACK, 2);
	rollout_result_t result = {"s",	  "v1",		"r",	 "a",	 "x",
				   false, ROLLOUT_GOOD, 5 * SEC, 10 * MS};

	rollout_set_order(first, &order, SEC);
	assert_true(rollout_handle_recorded(first, "s", "v2", 7, ROLLOUT_ROLLED_BACK,
					    2 * SEC));
	rollout_set_order(again, &order, 5 * SEC);
	rollout_set_available(again, "s", true);
	for (int i = 0; i < 1000; i++)
		rollout_handle_result(again, &result);
	assert_int_equal(rollout_choose(again, "s"), ROLLOUT_OLD);
	assert_true(rollout_report(first, "s", 6 * SEC, report));
	assert_true(rollout_merge(again, report, 6 * SEC));
	assert_int_equal(rollout_state(again, "s"), ROLLOUT_ROLLED_BACK);
	/* Counts of another order change nothing. */
	order.id = 8;
	rollout_set_order(again, &order, 7 * SEC);
	assert_false(rollout_merge(again, report, 7 * SEC));
	assert_int_equal(rollout_state(again, "s"), ROLLOUT_IN_PROGRESS);
	rollout_set_available(again, "s", true);
	result.sent_at = 7 * SEC;
	for (int i = 0; i < 1000; i++)
		rollout_handle_result(again, &result);
	assert_int_equal(rollout_choose(again, "s"), ROLLOUT_OLD);
	rollout_allow(again, "s");
	assert_int_equal(rollout_choose(again, "s"), ROLLOUT_NEW);
	g_free(report);
	rollout_destroy(first);
	rollout_destroy(again);
}

typedef struct restart_case {
	const char *name;
} restart_case_t;

static const restart_case_t restart_cases[] = {{"earlier verdict"}};

/* An order for the version that all instances have must not stop the service, whatever
 * its responses are, as there is no instance of another version. */
typedef struct sole_case {
	const char *name;
	rollout_outcome_t outcome; /* of the ordered version's responses */
	uint32_t old_responses;	   /* that another node reports */
	bool appears;		   /* an instance of another version, during the order */
	bool restarted;		   /* the node, so that it may not know of a verdict */
	rollout_choice_t choice;
	rollout_state_t result;
} sole_case_t;

static void count_verdict(void *ctx, const rollout_status_t *status)
{
	(void)ctx;
	assert_string_equal(status->order.service, "s");
}

static void test_sole(void **state)
{
	const sole_case_t *c = *state;
	rollout_order_t order = {"s", "v2", 10 * SEC, 7};
	rollout_t *rollout = rollout_create(CANARY_SHARE, ROLLBACK, 1);
	rollout_report_t *report = g_new0(rollout_report_t, 1);
	const rollout_instance_t instances[] = {{"a", "za"}, {"b", "za"}, {"c", "za"}};
	bool used[G_N_ELEMENTS(instances)];

	rollout_set_order(rollout, &order, SEC);
	if (!c->restarted)
		rollout_set_sole_before(rollout, "s");
	rollout_set_sole(rollout, "s", true);
	rollout_set_available(rollout, "s", true);
	/* Before an earlier verdict is known: the row is not readable in an outage. */
	assert_int_equal(rollout_choose(rollout, "s"),
			 c->restarted ? ROLLOUT_OLD : ROLLOUT_NEW);
	rollout_select(rollout, "s", instances, G_N_ELEMENTS(instances), 2 * SEC, used);
	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++)
		assert_true(used[i]);
	rollout_allow(rollout, "s");
	for (int i = 0; i < 300; i++) {
		rollout_result_t result = {
			"s",   "v2",	   "r",	    "za",   instances[i % 3].address,
			false, c->outcome, 2 * SEC, 10 * MS};
		rollout_handle_send(rollout, "s", "v2");
		rollout_handle_result(rollout, &result);
	}
	if (c->old_responses) {
		*report = (rollout_report_t){
			.order_id = 7,
			.node = 2,
			.state = ROLLOUT_IN_PROGRESS,
			.cell_count = 1,
			.cells = {{.responses = c->old_responses}},
		};
		g_strlcpy(report->service, "s", sizeof(report->service));
		g_strlcpy(report->to, "v2", sizeof(report->to));
		rollout_merge(rollout, report, 3 * SEC);
	}
	if (c->appears)
		rollout_set_sole(rollout, "s", false);
	assert_int_equal(rollout_choose(rollout, "s"), c->choice);
	for (usec_t now = 3 * SEC; now <= 10 * SEC; now += SEC / 2)
		rollout_tick(rollout, 1, now, count_verdict, NULL);
	assert_int_equal(rollout_state(rollout, "s"), c->result);
	g_free(report);
	rollout_destroy(rollout);
}

static const sole_case_t sole_cases[] = {
	{"good", ROLLOUT_GOOD, 0, false, false, ROLLOUT_NEW, ROLLOUT_COMPLETED},
	{"good, after a restart", ROLLOUT_GOOD, 0, false, true, ROLLOUT_NEW,
	 ROLLOUT_COMPLETED},
	{"failing", ROLLOUT_FAILED, 0, false, false, ROLLOUT_NEW, ROLLOUT_COMPLETED},
	{"failing, another node knows the old version", ROLLOUT_FAILED, 500, false, false,
	 ROLLOUT_NEW, ROLLOUT_ROLLED_BACK},
	/* What went to the ordered version before counts against its share. */
	{"another version appears", ROLLOUT_GOOD, 0, true, false, ROLLOUT_OLD,
	 ROLLOUT_COMPLETED},
};

/* Verdicts that parts of a partition reached separately become one, in either order. */
typedef struct conflict_case {
	const char *name;
	rollout_state_t own;
	bool own_recorded;
	rollout_state_t other;
	bool other_recorded;
	rollout_state_t result;
} conflict_case_t;

static void test_conflict(void **state)
{
	const conflict_case_t *c = *state;
	rollout_order_t order = {"s", "v2", 10 * SEC, 7};

	for (int swap = 0; swap < 2; swap++) {
		rollout_t *rollout = rollout_create(CANARY_SHARE, ROLLBACK, 1);
		rollout_report_t *report = g_new0(rollout_report_t, 1);
		g_strlcpy(report->service, "s", sizeof(report->service));
		g_strlcpy(report->to, "v2", sizeof(report->to));
		report->order_id = 7;
		report->node = 2;
		rollout_set_order(rollout, &order, SEC);
		for (int i = 0; i < 2; i++) {
			bool own = (i == 0) != swap;
			report->state = own ? c->own : c->other;
			report->recorded = own ? c->own_recorded : c->other_recorded;
			rollout_merge(rollout, report, 2 * SEC);
		}
		assert_int_equal(rollout_state(rollout, "s"), c->result);
		g_free(report);
		rollout_destroy(rollout);
	}
}

static const conflict_case_t conflict_cases[] = {
	{"completed and rolled back", ROLLOUT_COMPLETED, false, ROLLOUT_ROLLED_BACK,
	 false, ROLLOUT_ROLLED_BACK},
	{"completed is recorded", ROLLOUT_COMPLETED, true, ROLLOUT_ROLLED_BACK, false,
	 ROLLOUT_COMPLETED},
	{"rolled back is recorded", ROLLOUT_COMPLETED, false, ROLLOUT_ROLLED_BACK, true,
	 ROLLOUT_ROLLED_BACK},
	{"in progress and completed", ROLLOUT_IN_PROGRESS, false, ROLLOUT_COMPLETED,
	 false, ROLLOUT_COMPLETED},
};

/* A node in the smaller part of a partition completes nothing: it sees few requests, and
 * the other part may find the version bad. */
typedef struct contact_case {
	const char *name;
	uint32_t nodes;	   /* known */
	uint32_t contacts; /* reported */
	usec_t at;	   /* since the order, of 10 s */
	rollout_state_t result;
} contact_case_t;

static void count_state(void *ctx, const rollout_status_t *status)
{
	int *verdicts = ctx;

	assert_string_equal(status->order.service, "s");
	(*verdicts)++;
}

static void test_contact(void **state)
{
	const contact_case_t *c = *state;
	rollout_order_t order = {"s", "v2", 10 * SEC, 7};
	rollout_t *rollout = rollout_create(CANARY_SHARE, ROLLBACK, 1);
	rollout_report_t *report = g_new0(rollout_report_t, 1);
	int verdicts = 0;

	rollout_set_order(rollout, &order, SEC);
	rollout_allow(rollout, "s");
	rollout_set_available(rollout, "s", true);
	g_strlcpy(report->service, "s", sizeof(report->service));
	g_strlcpy(report->to, "v2", sizeof(report->to));
	report->order_id = 7;
	report->state = ROLLOUT_IN_PROGRESS;
	for (uint32_t i = 0; i < c->contacts; i++) {
		report->node = 2 + i;
		rollout_merge(rollout, report, SEC + c->at);
	}
	rollout_tick(rollout, c->nodes, SEC + c->at, count_state, &verdicts);
	assert_int_equal(rollout_state(rollout, "s"), c->result);
	assert_int_equal(verdicts, c->result != ROLLOUT_IN_PROGRESS);
	g_free(report);
	rollout_destroy(rollout);
}

static const contact_case_t contact_cases[] = {
	{"one node only", 1, 0, 9 * SEC, ROLLOUT_COMPLETED},
	{"cut off from one of two", 2, 0, 9 * SEC, ROLLOUT_IN_PROGRESS},
	{"half of the nodes", 6, 2, 9 * SEC, ROLLOUT_IN_PROGRESS},
	{"more than half of the nodes", 6, 3, 9 * SEC, ROLLOUT_COMPLETED},
	/* A node completed a bad version with 12 of 17 responses, while others had
	 * counted 8 bad ones (soak, seed 5). */
	{"few responses, one node is missing", 6, 4, 8 * SEC, ROLLOUT_IN_PROGRESS},
	{"few responses, of all nodes", 6, 5, 8 * SEC, ROLLOUT_COMPLETED},
};

#define PLACES 3

typedef struct compare_case {
	const char *name;
	/* Of the new version's instances, one in each zone; the old version has 1000
	 * responses in each zone, 10 of them failures. */
	uint32_t responses[PLACES];
	uint32_t failures[PLACES];
	uint32_t lost[PLACES];
	compare_verdict_t verdict;
} compare_case_t;

static void test_compare(void **state)
{
	const compare_case_t *c = *state;
	rollout_cell_t cells[2 * PLACES] = {0};
	compare_result_t result;

	for (uint64_t i = 0; i < PLACES; i++) {
		cells[i] = (rollout_cell_t){
			.route = 1, .zone = i, .responses = 1000, .failures = 10};
		cells[PLACES + i] = (rollout_cell_t){.is_new = true,
						     .route = 1,
						     .zone = i,
						     .instance = i + 1,
						     .responses = c->responses[i],
						     .failures = c->failures[i],
						     .lost = c->lost[i]};
	}
	compare_versions(cells, G_N_ELEMENTS(cells), &result);
	assert_int_equal(result.verdict, c->verdict);
}

static const compare_case_t compare_cases[] = {
	{"as the old one", {50, 50, 50}, {1, 0, 1}, {0}, COMPARE_GOOD},
	{"nothing", {0}, {0}, {0}, COMPARE_GOOD},
	{"bad everywhere", {50, 50, 50}, {10, 12, 9}, {0}, COMPARE_WORSE},
	{"bad in one place", {50, 50, 50}, {1, 25, 0}, {0}, COMPARE_LOCAL},
	{"tested in one place", {0, 50, 0}, {0, 25, 0}, {0}, COMPARE_OPEN},
	{"an instance with many requests crashes, the only one in use",
	 {20, 0, 0},
	 {0},
	 {100, 0, 0},
	 COMPARE_GOOD},
	{"all instances crash", {20, 20, 20}, {0}, {100, 100, 100}, COMPARE_SUSPECT},
};

int main(void)
{
	int failed = RUN_CASES("rollout", rollout_cases, test_rollout);

	failed += RUN_CASES("withdraw", withdraw_cases, test_withdraw);
	failed += RUN_CASES("replace", replace_cases, test_replace);
	failed += RUN_CASES("mutation", mutation_cases, test_mutation);
	failed += RUN_CASES("restart", restart_cases, test_restart);
	failed += RUN_CASES("sole", sole_cases, test_sole);
	failed += RUN_CASES("conflict", conflict_cases, test_conflict);
	failed += RUN_CASES("contact", contact_cases, test_contact);
	failed += RUN_CASES("compare", compare_cases, test_compare);
	return failed;
}
