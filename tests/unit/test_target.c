/* Reports and expiry of this node's target, the rate limiter of a cold target, and the
 * clock of the event loop's timers. */
#include "case.h"

#include "admission/rate_limiter.h"
#include "membership/target.h"

#include <glib.h>
#include <string.h>
#include <tevent.h>
#include <time.h>

#define LEAVE_TIMEOUT (2 * USEC_PER_SEC)
#define STEPS_MAX 6

/* In place of the id of a report: what happens to the target. */
#define EXPIRES "(no reports)"
#define REFUSES "(refuses a connection)"

typedef struct step {
	usec_t at;
	const char *id;
	uint64_t started_ms;
	uint64_t sequence;
	bool leaving;
	target_change_t change;
	bool accepts; /* right after the report */
} step_t;

typedef struct target_case {
	const char *name;
	step_t steps[STEPS_MAX];
} target_case_t;

static target_report_t report_of(const step_t *step)
{
	target_report_t report = {.started_ms = step->started_ms,
				  .sequence = step->sequence,
				  .leaving = step->leaving,
				  .service = "s",
				  .address = "10.0.0.1:80",
				  .slots = 10};

	g_strlcpy(report.id, step->id, sizeof(report.id));
	return report;
}

/* Returns whether the step is not a report. */
static bool let_happen(target_t *target, const step_t *step)
{
	if (strcmp(step->id, EXPIRES) == 0)
		assert_true(target_expire(target, step->at, USEC_PER_SEC));
	else if (strcmp(step->id, REFUSES) == 0)
		assert_true(target_handle_refusal(target));
	else
		return false;
	assert_false(target_accepts_requests(target, step->at));
	return true;
}

static void test_target(void **state)
{
	const target_case_t *c = *state;
	target_t target = {0};

	for (const step_t *step = c->steps; step < c->steps + STEPS_MAX && step->id;
	     step++) {
		if (let_happen(&target, step))
			continue;
		target_report_t report = report_of(step);
		assert_int_equal(
			target_apply_report(&target, &report, step->at, LEAVE_TIMEOUT),
			step->change);
		assert_int_equal(target_accepts_requests(&target, step->at),
				 step->accepts);
	}
}

static const target_case_t target_cases[] = {
	{"a start, then an unchanged report",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, false, TARGET_UNCHANGED, true}}},
	{"a report with an older sequence changes nothing",
	 {{1, "a", 5, 2, false, TARGET_STARTED, true},
	  {2, "a", 5, 3, true, TARGET_LEAVING, true},
	  {3, "a", 5, 1, false, TARGET_REPORT_STALE, true},
	  {3 * USEC_PER_SEC, "a", 5, 3, false, TARGET_REPORT_STALE, false}}},
	{"a report of an earlier process changes nothing",
	 {{1, "b", 9, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 70, true, TARGET_REPORT_STALE, true},
	  {3, "a", 5, 71, false, TARGET_REPORT_STALE, true}}},
	{"a restart under the same id starts a new sequence",
	 {{1, "a", 5, 40, false, TARGET_STARTED, true},
	  {2, "a", 9, 1, false, TARGET_STARTED, true},
	  {3, "a", 9, 2, false, TARGET_UNCHANGED, true}}},
	{"a leave is final",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {3, "a", 5, 3, false, TARGET_UNCHANGED, true},
	  {LEAVE_TIMEOUT, "a", 5, 4, false, TARGET_UNCHANGED, false}}},
	{"the next process after a leave accepts requests",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {9, "b", 9, 1, false, TARGET_STARTED, true}}},
	/* A report that was sent before a leave and arrives after it must not bring the
	 * target back, whatever ended its presence meanwhile. */
	{"a late report after a leave and an expiry",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {6 * USEC_PER_SEC, EXPIRES, 0, 0, false, TARGET_UNCHANGED, false},
	  {6 * USEC_PER_SEC, "a", 5, 4, false, TARGET_REPORT_STALE, false}}},
	{"a late report after a leave and a refused connection",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {3 * USEC_PER_SEC, REFUSES, 0, 0, false, TARGET_UNCHANGED, false},
	  {3 * USEC_PER_SEC, "a", 5, 4, false, TARGET_REPORT_STALE, false}}},
	{"a late report after a leave, another process and its expiry",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {3, "b", 9, 1, false, TARGET_STARTED, true},
	  {9 * USEC_PER_SEC, EXPIRES, 0, 0, false, TARGET_UNCHANGED, false},
	  {9 * USEC_PER_SEC, "a", 5, 4, false, TARGET_REPORT_STALE, false},
	  {9 * USEC_PER_SEC, "b", 9, 2, false, TARGET_STARTED, true}}},
	{"a late report of a leave counts for its own process only",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 9, 1, false, TARGET_STARTED, true},
	  {3, "a", 5, 7, true, TARGET_REPORT_STALE, true},
	  {4, "a", 9, 2, false, TARGET_UNCHANGED, true}}},
	{"the next process under the same id after a leave and an expiry",
	 {{1, "a", 5, 1, false, TARGET_STARTED, true},
	  {2, "a", 5, 2, true, TARGET_LEAVING, true},
	  {6 * USEC_PER_SEC, EXPIRES, 0, 0, false, TARGET_UNCHANGED, false},
	  {6 * USEC_PER_SEC, "a", 9, 1, false, TARGET_STARTED, true},
	  {6 * USEC_PER_SEC, "a", 5, 9, false, TARGET_REPORT_STALE, true}}},
	{"a leave report of a target that is not present",
	 {{1, "a", 5, 1, true, TARGET_UNCHANGED, false},
	  {2, "b", 9, 1, false, TARGET_STARTED, true}}},
};

typedef struct leave_case {
	const char *name;
	const char *ids[3];  /* of the processes that reported, by time; NULL ends */
	usec_t since_last;   /* from the last report to the leave */
	const char *leaving; /* id that the leave report states */
	target_leave_t leave;
	/* A late report of the first process, 1 s after the leave, is stale. */
	bool late_is_stale;
} leave_case_t;

static void test_leave_without_start(void **state)
{
	const leave_case_t *c = *state;
	target_t target = {0};
	target_report_t report;
	usec_t now = 1;

	for (int i = 0; i < 3 && c->ids[i]; i++, now += USEC_PER_SEC) {
		step_t step = {
			.id = c->ids[i], .started_ms = 5 + (uint64_t)i, .sequence = 1};
		report = report_of(&step);
		target_apply_report(&target, &report, now, LEAVE_TIMEOUT);
	}
	now += c->since_last - USEC_PER_SEC;
	report = (target_report_t){.leaving = true};
	g_strlcpy(report.id, c->leaving, sizeof(report.id));
	assert_int_equal(target_resolve_leave(&target, &report, now), c->leave);
	if (c->leave == TARGET_LEAVE_OWN)
		assert_int_equal(
			target_apply_report(&target, &report, now, LEAVE_TIMEOUT),
			TARGET_LEAVING);
	target_expire(&target, now + USEC_PER_SEC, 0);
	step_t late = {.id = c->leaving, .started_ms = 5, .sequence = 9};
	report = report_of(&late);
	target_change_t change =
		target_apply_report(&target, &report, now + USEC_PER_SEC, LEAVE_TIMEOUT);
	assert_int_equal(change == TARGET_REPORT_STALE, c->late_is_stale);
}

static const leave_case_t leave_cases[] = {
	{"a leave of the only process", {"a"}, USEC_PER_SEC, "a", TARGET_LEAVE_OWN, true},
	{"a leave of a process that is not known, as after a restart of the node",
	 {NULL},
	 USEC_PER_SEC,
	 "a",
	 TARGET_LEAVE_OTHER,
	 true},
	{"a late leave of an earlier process",
	 {"a", "b"},
	 USEC_PER_SEC,
	 "a",
	 TARGET_LEAVE_OTHER,
	 true},
	{"a leave soon after the id was taken over",
	 {"a", "a"},
	 USEC_PER_SEC,
	 "a",
	 TARGET_LEAVE_UNCERTAIN,
	 false},
	{"a leave long after the id was taken over",
	 {"a", "a"},
	 LATE_REPORT_TIME,
	 "a",
	 TARGET_LEAVE_OWN,
	 true},
};

typedef struct limiter_case {
	const char *name;
	uint32_t per_second;
	usec_t step; /* time between tries */
} limiter_case_t;

/* No interval of one second holds more starts than the bound, and no interval of 100 ms
 * more than a tenth of it. */
static void test_rate_limiter(void **state)
{
	const limiter_case_t *c = *state;
	usec_t starts[4096];
	uint32_t count = 0;
	uint32_t tenth = MAX(c->per_second / 10, 1);
	rate_limiter_t *limiter = rate_limiter_create();

	rate_limiter_set(limiter, c->per_second, 10 * USEC_PER_SEC);
	for (usec_t now = 1; now < 5 * USEC_PER_SEC; now += c->step) {
		if (!rate_limiter_allows(limiter, now))
			continue;
		rate_limiter_record(limiter, now);
		starts[count++] = now;
	}
	for (uint32_t i = c->per_second; i < count; i++)
		assert_true(starts[i] - starts[i - c->per_second] >= USEC_PER_SEC);
	for (uint32_t i = tenth; i < count; i++)
		assert_true(starts[i] - starts[i - tenth] >= USEC_PER_SEC / 10);
	assert_true(count >= 4 * (c->per_second / 10 * 10));
	rate_limiter_destroy(limiter);
}

static const limiter_case_t limiter_cases[] = {
	{"rate limiter: one start per second", 1, 7 * USEC_PER_MSEC},
	{"rate limiter: tries far above the bound", 67, USEC_PER_MSEC},
	{"rate limiter: tries just at the bound", 100, 10 * USEC_PER_MSEC},
};

/* Starts recorded before the bound is set count toward it. */
static void test_limiter_counts_earlier_starts(void **state)
{
	(void)state;
	rate_limiter_t *limiter = rate_limiter_create();

	for (int i = 0; i < 50; i++)
		rate_limiter_record(limiter, 1000 + i);
	assert_true(rate_limiter_allows(limiter, 2000));
	rate_limiter_set(limiter, 50, 10 * USEC_PER_SEC);
	assert_false(rate_limiter_allows(limiter, 2000));
	assert_true(rate_limiter_allows(limiter, 1000 + USEC_PER_SEC));
	assert_true(rate_limiter_is_active(limiter, USEC_PER_SEC));
	assert_false(rate_limiter_is_active(limiter, 11 * USEC_PER_SEC));
	rate_limiter_destroy(limiter);
}

static void test_expire(void **state)
{
	(void)state;
	target_t target = {0};
	target_report_t report = {.id = "a", .service = "s", .address = "10.0.0.1:80"};

	target_apply_report(&target, &report, 100, LEAVE_TIMEOUT);
	assert_false(target_expire(&target, 200, 100));
	assert_true(target_expire(&target, 201, 100));
	assert_false(target_expire(&target, 202, 100));
	assert_false(target_accepts_requests(&target, 202));
	assert_int_equal(target_apply_report(&target, &report, 300, LEAVE_TIMEOUT),
			 TARGET_STARTED);
}

/* A target that refused a connection counts as absent until its next report. */
static void test_refusal(void **state)
{
	(void)state;
	target_t target = {0};
	target_report_t report = {
		.id = "a", .service = "s", .address = "10.0.0.1:80", .sequence = 1};

	target_apply_report(&target, &report, 100, LEAVE_TIMEOUT);
	assert_true(target_handle_refusal(&target));
	assert_false(target_handle_refusal(&target));
	assert_false(target_accepts_requests(&target, 101));
	report.sequence++;
	assert_int_equal(target_apply_report(&target, &report, 102, LEAVE_TIMEOUT),
			 TARGET_STARTED);
	assert_true(target_accepts_requests(&target, 102));
}

/* Timers of the event loop use the monotonic clock, not the time of day. */
static void test_timers_are_monotonic(void **state)
{
	(void)state;
	struct timespec before;
	struct timespec after;

	clock_gettime(CLOCK_MONOTONIC, &before);
	struct timeval now = tevent_timeval_current();
	clock_gettime(CLOCK_MONOTONIC, &after);
	assert_true(clock_boot_usec() > 0);
	assert_true(now.tv_sec >= before.tv_sec && now.tv_sec <= after.tv_sec);
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_limiter_counts_earlier_starts),
		cmocka_unit_test(test_expire),
		cmocka_unit_test(test_timers_are_monotonic),
		cmocka_unit_test(test_refusal),
	};

	return RUN_CASES("target", target_cases, test_target) +
	       RUN_CASES("leave_without_start", leave_cases, test_leave_without_start) +
	       RUN_CASES("rate_limiter", limiter_cases, test_rate_limiter) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
