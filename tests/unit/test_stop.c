/* Phases of a planned stop, and the requests that are accepted in them. */
#include "case.h"

#include "admission/stop.h"

#include <glib.h>

#define MS USEC_PER_MSEC
#define START (7 * USEC_PER_SEC)
#define WITHDRAW (1500 * MS)
#define NOTICE (2000 * MS)
#define DRAIN (5000 * MS)
#define STEPS_MAX 8

/* Times are milliseconds since the start of the stop. */
typedef struct step {
	int at;
	int in_flight;
	bool signal; /* SIGTERM arrives before the phase is advanced */
	stop_phase_t phase;
} step_t;

typedef struct phase_case {
	const char *name;
	step_t steps[STEPS_MAX];
} phase_case_t;

static const stop_times_t times = {
	.withdraw = WITHDRAW, .notice = NOTICE, .drain = DRAIN};

static void advance(stop_t *stop, usec_t now, uint32_t in_flight)
{
	while (stop_advance(stop, now, in_flight)) {
	}
}

static void test_phases(void **state)
{
	const phase_case_t *c = *state;
	stop_t *stop = stop_create();

	for (const step_t *step = c->steps; step < c->steps + STEPS_MAX && step->phase;
	     step++) {
		usec_t now = START + step->at * MS;
		if (step->signal)
			assert_int_equal(stop_begin(stop, now, &times), step == c->steps);
		advance(stop, now, (uint32_t)step->in_flight);
		assert_int_equal(stop_phase(stop), step->phase);
	}
	stop_destroy(stop);
}

static const phase_case_t phase_cases[] = {
	{"idle: the process ends after the notices",
	 {{0, 0, true, STOP_NOTICE},
	  {1499, 0, false, STOP_NOTICE},
	  {1500, 0, false, STOP_WITHDRAW},
	  {1999, 0, false, STOP_WITHDRAW},
	  {2000, 0, false, STOP_LEAVE},
	  {2299, 0, false, STOP_LEAVE},
	  {2300, 0, false, STOP_DONE}}},
	{"requests in flight are waited for",
	 {{0, 3, true, STOP_NOTICE},
	  {2000, 3, false, STOP_DRAIN},
	  {4900, 1, false, STOP_DRAIN},
	  {4950, 0, false, STOP_LEAVE},
	  {5250, 0, false, STOP_DONE}}},
	{"requests in flight at the end of the drain time are cancelled",
	 {{0, 3, true, STOP_NOTICE},
	  {4999, 3, false, STOP_DRAIN},
	  {5000, 3, false, STOP_CANCEL},
	  {5100, 0, false, STOP_CANCEL},
	  {5300, 0, false, STOP_DONE}}},
	{"a cancelled request that does not end does not delay the end of the process",
	 {{0, 1, true, STOP_NOTICE},
	  {5000, 1, false, STOP_CANCEL},
	  {5299, 1, false, STOP_CANCEL},
	  {5300, 1, false, STOP_DONE}}},
	{"a request that arrives while the node leaves is waited for",
	 {{0, 0, true, STOP_NOTICE},
	  {2000, 0, false, STOP_LEAVE},
	  {2300, 1, false, STOP_LEAVE},
	  {2700, 0, false, STOP_DONE}}},
	{"a request that arrives while the node leaves is cancelled at the end",
	 {{0, 0, true, STOP_NOTICE},
	  {4900, 0, false, STOP_LEAVE},
	  {5000, 1, false, STOP_CANCEL},
	  {5300, 0, false, STOP_DONE}}},
	{"a second signal ends an idle process at once",
	 {{0, 0, true, STOP_NOTICE}, {100, 0, true, STOP_DONE}}},
	{"a second signal cancels requests in flight",
	 {{0, 2, true, STOP_NOTICE},
	  {100, 2, true, STOP_CANCEL},
	  {200, 0, false, STOP_DONE}}},
	{"a second signal while the node drains",
	 {{0, 2, true, STOP_NOTICE},
	  {2000, 2, false, STOP_DRAIN},
	  {2100, 2, true, STOP_CANCEL},
	  {2399, 2, false, STOP_CANCEL},
	  {2400, 2, false, STOP_DONE}}},
	{"a third signal changes nothing",
	 {{0, 2, true, STOP_NOTICE},
	  {100, 2, true, STOP_CANCEL},
	  {200, 2, true, STOP_CANCEL},
	  {400, 2, false, STOP_DONE}}},
};

typedef struct accept_case {
	const char *name;
	int at;		   /* since the start of the stop, in ms; -1: no stop */
	int in_flight;	   /* at all times */
	int second_signal; /* when, in ms; 0 for none */
	int deadline;	   /* since the start of the stop, in ms */
	bool is_outbound;
	bool accepted;
} accept_case_t;

static void test_accepts(void **state)
{
	const accept_case_t *c = *state;
	stop_t *stop = stop_create();

	if (c->at >= 0)
		stop_begin(stop, START, &times);
	for (int at = 0; at <= c->at; at += 10) {
		if (c->second_signal && at == c->second_signal)
			stop_begin(stop, START + at * MS, &times);
		advance(stop, START + at * MS, (uint32_t)c->in_flight);
	}
	assert_int_equal(stop_accepts(stop, START + c->at * MS, START + c->deadline * MS,
				      c->is_outbound),
			 c->accepted);
	stop_destroy(stop);
}

static const accept_case_t accept_cases[] = {
	{"no stop", -1, 1, 0, 20000, false, true},
	{"notice: any deadline", 1490, 1, 0, 20000, false, true},
	{"withdraw: any deadline", 1990, 1, 0, 20000, false, true},
	{"drain: the deadline is the end", 2000, 1, 0, 5000, false, true},
	{"drain: the deadline is after the end", 2000, 1, 0, 5001, false, false},
	{"drain: late, with a short deadline", 4900, 1, 0, 5000, false, true},
	{"drain: outbound with a late deadline", 4000, 1, 0, 20000, true, true},
	{"drain: outbound without time for it", 4010, 1, 0, 20000, true, false},
	{"drain: outbound with a short deadline", 4900, 1, 0, 5000, true, true},
	{"leave: the deadline is the end", 2200, 0, 0, 5000, false, true},
	{"leave: the deadline is after the end", 2200, 0, 0, 5001, false, false},
	{"cancel", 5000, 1, 0, 5000, false, false},
	{"cancel: outbound", 5000, 1, 0, 5000, true, false},
	{"done", 2300, 0, 0, 2400, false, false},
	{"second signal", 100, 1, 100, 200, false, false},
	{"second signal: outbound", 100, 1, 100, 200, true, false},
};

/* Whatever is accepted after the notice time can use all of its time before the stop
 * cancels requests. */
static void test_accepted_requests_have_their_time(void **state)
{
	(void)state;
	for (usec_t deadline = 0; deadline <= DRAIN + NOTICE; deadline += 50 * MS) {
		stop_t *stop = stop_create();
		bool accepted = false;

		stop_begin(stop, START, &times);
		for (usec_t at = 0; at < DRAIN + NOTICE; at += 50 * MS) {
			advance(stop, START + at, 1);
			if (stop_phase(stop) >= STOP_CANCEL && accepted)
				assert_true(at >= deadline);
			accepted = accepted || (at > NOTICE && at <= deadline &&
						stop_accepts(stop, START + at,
							     START + deadline, false));
		}
		stop_destroy(stop);
	}
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_accepted_requests_have_their_time),
	};

	return RUN_CASES("phases", phase_cases, test_phases) +
	       RUN_CASES("accepts", accept_cases, test_accepts) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
