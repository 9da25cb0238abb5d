/* Tests of priority, limit, shed level, gate and pressure, in virtual time. */
#include "case.h"

#include "admission/gate.h"
#include "admission/shed_level.h"

#include "admission/pressure.h"

#include <glib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)
#define MSEC USEC_PER_MSEC

/* --- priority -------------------------------------------------------------- */

typedef struct priority_case {
	const char *name;
	uint32_t importance_a, rank_a, importance_b, rank_b;
	bool a_first;
} priority_case_t;

static void test_priority(void **state)
{
	const priority_case_t *c = *state;
	priority_t a = priority_make(c->importance_a, c->rank_a);
	priority_t b = priority_make(c->importance_b, c->rank_b);

	assert_int_equal(a < b, c->a_first);
	assert_true(a < PRIORITY_LEVEL_ALL && b < PRIORITY_LEVEL_ALL);
}

static const priority_case_t priority_cases[] = {
	{"higher importance goes first", 9, PRIORITY_RANK_MAX, 8, 0, true},
	{"lower importance goes last", 0, 0, 1, PRIORITY_RANK_MAX, false},
	{"same importance: lower rank first", 5, 10, 5, 11, true},
	{"out of range values are bounded", 200, 1u << 30, 0, 1u << 30, true},
};

/* --- limit ----------------------------------------------------------------- */

typedef struct limit_case {
	const char *name;
	limit_algorithm_t algorithm;
	uint32_t slots, cold_slots;
	uint32_t capacity;  /* calls that the target runs at base latency */
	uint32_t low, high; /* bounds of the final limit */
} limit_case_t;

/* The limit converges for a target whose latency grows with the square of its overload.
 */
static void test_limit_converges(void **state)
{
	const limit_case_t *c = *state;
	limit_t *limit = limit_create(c->algorithm);
	usec_t now = START;

	limit_start(limit, now, c->slots, c->cold_slots);
	assert_int_equal(limit_value(limit), c->cold_slots);
	for (int i = 0; i < 40000; i++) {
		double load = (double)limit_value(limit) / c->capacity;
		double factor = load > 1 ? load * load : 1;
		usec_t latency = (usec_t)(20 * MSEC * factor);
		now += latency / limit_value(limit);
		limit_sample(limit, now, latency, limit_value(limit), LIMIT_SUCCESS);
		assert_in_range(limit_value(limit), 1, c->slots);
	}
	assert_in_range(limit_value(limit), c->low, c->high);
	limit_destroy(limit);
}

static const limit_case_t limit_cases[] = {
	{"gradient stays near the capacity of the target", LIMIT_GRADIENT, 200, 4, 50, 40,
	 90},
	{"gradient reaches the slots of a healthy target", LIMIT_GRADIENT, 100, 4, 200,
	 100, 100},
	{"aimd stays near the capacity of the target", LIMIT_AIMD, 200, 4, 50, 40, 90},
	{"aimd reaches the slots of a healthy target", LIMIT_AIMD, 100, 4, 200, 100, 100},
};

typedef struct reset_case {
	const char *name;
	usec_t latency_after;
	limit_outcome_t outcome;
	bool explicit_reset;
	uint32_t high; /* the lowest limit seen afterwards is at most this */
} reset_case_t;

static void test_limit_reset(void **state)
{
	const reset_case_t *c = *state;
	limit_t *limit = limit_create(LIMIT_GRADIENT);
	usec_t now = START;
	uint32_t lowest = 1000;

	limit_start(limit, now, 100, 5);
	for (int i = 0; i < 5000; i++) {
		now += MSEC;
		limit_sample(limit, now, 10 * MSEC, 100, LIMIT_SUCCESS);
	}
	assert_int_equal(limit_value(limit), 100);
	if (c->explicit_reset)
		limit_reset(limit, now);
	for (int i = 0; i < 400; i++) {
		now += MSEC;
		limit_sample(limit, now, c->latency_after, 100, c->outcome);
		lowest = MIN(lowest, limit_value(limit));
	}
	assert_true(lowest <= c->high);
	limit_destroy(limit);
}

static const reset_case_t reset_cases[] = {
	{"a crash resets the limit to the cold slots", 10 * MSEC, LIMIT_SUCCESS, true, 5},
	{"a latency cliff resets the limit to the cold slots", 400 * MSEC, LIMIT_SUCCESS,
	 false, 5},
	{"refusals by the target lower the limit", 10 * MSEC, LIMIT_OVERLOADED, false,
	 75},
};

/* --- shed level ------------------------------------------------------------- */

typedef struct level_case {
	const char *name;
	uint32_t capacity;  /* served in 100 ms, out of 100 arrivals */
	uint32_t low, high; /* share of arrivals below the level, in percent */
} level_case_t;

static void test_level(void **state)
{
	const level_case_t *c = *state;
	shed_level_t *level = shed_level_create();
	usec_t now = START;

	for (int window = 0; window < 20; window++) {
		for (uint32_t i = 0; i < 100; i++) {
			uint32_t rank = (i * 7919u) % 100u * PRIORITY_RANK_MAX / 100u;
			shed_level_count_arrival(level, now + i * MSEC,
						 priority_make(5, rank));
			if (i >= c->capacity)
				shed_level_count_shed(level);
		}
		now += 100 * MSEC;
	}
	priority_t value = shed_level_value(level, now);
	uint32_t below = 0;
	for (uint32_t i = 0; i < 100; i++)
		below += priority_make(5, i * PRIORITY_RANK_MAX / 100u) < value;
	assert_in_range(below, c->low, c->high);
	/* Recovery is reported within a second. */
	assert_int_equal(shed_level_value(level, now + USEC_PER_SEC + 100 * MSEC),
			 PRIORITY_LEVEL_ALL);
	shed_level_destroy(level);
}

static const level_case_t level_cases[] = {
	{"half is shed", 50, 45, 55},
	{"a tenth is shed", 90, 85, 95},
	{"nine tenths are shed", 10, 5, 15},
	{"nothing is shed", 100, 100, 100},
};

typedef struct rise_case {
	const char *name;
	bool waits; /* whether calls wait in every window after the shedding */
	uint32_t windows;
	bool all; /* whether the level then admits every request */
} rise_case_t;

static void test_level_rise(void **state)
{
	const rise_case_t *c = *state;
	shed_level_t *level = shed_level_create();
	usec_t now = START;

	for (uint32_t i = 0; i < 100; i++) {
		shed_level_count_arrival(level, now, priority_make(5, i));
		if (i >= 50)
			shed_level_count_shed(level);
	}
	for (uint32_t window = 0; window < c->windows; window++) {
		now += 100 * MSEC;
		shed_level_count_arrival(level, now, priority_make(5, 0));
		if (c->waits)
			shed_level_count_wait(level);
	}
	assert_int_equal(shed_level_value(level, now) == PRIORITY_LEVEL_ALL, c->all);
	shed_level_destroy(level);
}

static const rise_case_t rise_cases[] = {
	{"an idle gate admits all within a second", false, 10, true},
	{"the level of a busy gate rises slowly", true, 10, false},
};

/* --- gate ------------------------------------------------------------------- */

#define TICKETS 12

typedef struct gate_step {
	enum {
		REQUEST,
		DONE,
		CANCEL,
		CLOSE,
		NEXT,
		WAIT,
		END
	} action;
	int ticket;
	uint32_t importance;
	usec_t duration; /* REQUEST: time to the deadline; WAIT: time that passes */
	gate_verdict_t verdict;
} gate_step_t;

typedef struct gate_case {
	const char *name;
	uint32_t slots, queue;
	gate_step_t steps[TICKETS * 2];
} gate_case_t;

static void expect_next(gate_t *gate, usec_t now, gate_ticket_t *tickets,
			const gate_step_t *step)
{
	gate_verdict_t verdict;
	gate_ticket_t *ticket = gate_next(gate, now, &verdict);

	if (step->ticket < 0) {
		assert_null(ticket);
		return;
	}
	assert_ptr_equal(ticket, &tickets[step->ticket]);
	assert_int_equal(verdict, step->verdict);
}

static void test_gate(void **state)
{
	const gate_case_t *c = *state;
	gate_t *gate = gate_create(LIMIT_GRADIENT);
	gate_ticket_t tickets[TICKETS];
	usec_t now = START;

	memset(tickets, 0, sizeof(tickets));
	gate_open(gate, now, c->slots, c->slots, c->queue, true);
	for (const gate_step_t *step = c->steps; step->action != END; step++) {
		gate_ticket_t *ticket = &tickets[MAX(step->ticket, 0)];
		now += MSEC;
		switch (step->action) {
		case REQUEST:
			ticket->priority = priority_make(step->importance, 0);
			ticket->deadline = now + step->duration;
			assert_int_equal(gate_request(gate, ticket, now), step->verdict);
			break;
		case DONE:
			gate_done(gate, ticket, now, 10 * MSEC, LIMIT_SUCCESS);
			break;
		case CANCEL:
			gate_cancel(gate, ticket, now);
			break;
		case WAIT:
			now += step->duration;
			break;
		case CLOSE:
			gate_close(gate);
			break;
		default:
			expect_next(gate, now, tickets, step);
			break;
		}
	}
	gate_destroy(gate);
}

#define S USEC_PER_SEC

static const gate_case_t gate_cases[] = {
	{"the best queued call runs next",
	 1,
	 4,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {REQUEST, 1, 1, S, GATE_WAIT},
	  {REQUEST, 2, 9, S, GATE_WAIT},
	  {NEXT, -1, 0, 0, 0},
	  {DONE, 0, 0, 0, 0},
	  {NEXT, 2, 0, 0, GATE_RUN},
	  {NEXT, -1, 0, 0, 0},
	  {DONE, 2, 0, 0, 0},
	  {NEXT, 1, 0, 0, GATE_RUN},
	  {END, 0, 0, 0, 0}}},
	{"a full queue sheds its worst call for a better one",
	 1,
	 2,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {REQUEST, 1, 3, S, GATE_WAIT},
	  {REQUEST, 2, 4, S, GATE_WAIT},
	  {REQUEST, 3, 8, S, GATE_WAIT},
	  {NEXT, 1, 0, 0, GATE_SHED},
	  {NEXT, -1, 0, 0, 0},
	  {END, 0, 0, 0, 0}}},
	{"a full queue refuses a worse or equal call",
	 1,
	 1,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {REQUEST, 1, 5, S, GATE_WAIT},
	  {REQUEST, 2, 5, S, GATE_SHED},
	  {REQUEST, 3, 4, S, GATE_SHED},
	  {END, 0, 0, 0, 0}}},
	{"a call whose wait would exceed its deadline is refused at once",
	 1,
	 9,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {DONE, 0, 0, 0, 0},
	  {REQUEST, 1, 5, S, GATE_RUN},
	  {REQUEST, 2, 5, 5 * MSEC, GATE_EXPIRED},
	  {END, 0, 0, 0, 0}}},
	{"a queued call is dropped when its time runs out",
	 1,
	 9,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {DONE, 0, 0, 0, 0},
	  {REQUEST, 1, 5, S, GATE_RUN},
	  {REQUEST, 2, 5, 31 * MSEC, GATE_WAIT},
	  {NEXT, -1, 0, 0, 0},
	  {WAIT, 0, 0, 25 * MSEC, 0},
	  {NEXT, 2, 0, 0, GATE_EXPIRED},
	  {END, 0, 0, 0, 0}}},
	{"a call behind one with more time is dropped when its time runs out",
	 1,
	 9,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {DONE, 0, 0, 0, 0},
	  {REQUEST, 1, 5, S, GATE_RUN},
	  {REQUEST, 2, 9, S, GATE_WAIT},
	  {REQUEST, 3, 5, 45 * MSEC, GATE_WAIT},
	  {NEXT, -1, 0, 0, 0},
	  {WAIT, 0, 0, 35 * MSEC, 0},
	  {NEXT, 3, 0, 0, GATE_EXPIRED},
	  {DONE, 1, 0, 0, 0},
	  {NEXT, 2, 0, 0, GATE_RUN},
	  {END, 0, 0, 0, 0}}},
	{"an expired call can be cancelled before its verdict",
	 1,
	 9,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {DONE, 0, 0, 0, 0},
	  {REQUEST, 1, 5, S, GATE_RUN},
	  {REQUEST, 2, 5, 31 * MSEC, GATE_WAIT},
	  {REQUEST, 3, 5, 45 * MSEC, GATE_WAIT},
	  {WAIT, 0, 0, 45 * MSEC, 0},
	  {NEXT, 2, 0, 0, GATE_EXPIRED},
	  {CANCEL, 3, 0, 0, 0},
	  {NEXT, -1, 0, 0, 0},
	  {END, 0, 0, 0, 0}}},
	{"a cancelled call frees its slot",
	 1,
	 2,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {REQUEST, 1, 5, S, GATE_WAIT},
	  {CANCEL, 1, 0, 0, 0},
	  {CANCEL, 0, 0, 0, 0},
	  {REQUEST, 2, 1, S, GATE_RUN},
	  {END, 0, 0, 0, 0}}},
	{"a closed gate refuses queued and new calls",
	 1,
	 2,
	 {{REQUEST, 0, 5, S, GATE_RUN},
	  {REQUEST, 1, 5, S, GATE_WAIT},
	  {CLOSE, 0, 0, 0, 0},
	  {NEXT, 1, 0, 0, GATE_CLOSED},
	  {REQUEST, 2, 9, S, GATE_CLOSED},
	  {END, 0, 0, 0, 0}}},
};

/* When a call is shed, every queued call has a priority at least as good. */
typedef struct order_case {
	const char *name;
	uint32_t seed;
	uint32_t slots;
} order_case_t;

#define ORDER_ARRIVALS 4000

static void assert_shed_order(const gate_ticket_t *tickets, int count,
			      const gate_ticket_t *shed)
{
	for (int i = 0; i < count; i++) {
		if (&tickets[i] != shed && tickets[i].queue_iter)
			assert_true(tickets[i].priority <= shed->priority);
	}
}

static void test_order(void **state)
{
	const order_case_t *c = *state;
	GRand *rand = g_rand_new_with_seed(c->seed);
	gate_t *gate = gate_create(LIMIT_GRADIENT);
	gate_ticket_t *tickets = g_new0(gate_ticket_t, ORDER_ARRIVALS);
	GQueue running = G_QUEUE_INIT;
	usec_t now = START;
	gate_verdict_t verdict;
	gate_ticket_t *ticket;
	int shed = 0;

	gate_open(gate, now, c->slots, c->slots, c->slots, true);
	for (int i = 0; i < ORDER_ARRIVALS; i++) {
		now += MSEC;
		tickets[i].priority =
			priority_make((uint32_t)g_rand_int_range(rand, 0, 10),
				      (uint32_t)g_rand_int_range(rand, 0, 60000));
		tickets[i].deadline = now + 600 * USEC_PER_SEC;
		verdict = gate_request(gate, &tickets[i], now);
		if (verdict == GATE_RUN)
			g_queue_push_tail(&running, &tickets[i]);
		if (verdict == GATE_SHED) {
			assert_shed_order(tickets, i, &tickets[i]);
			shed++;
		}
		if (i % 3 == 0 && !g_queue_is_empty(&running))
			gate_done(gate, g_queue_pop_head(&running), now, 10 * MSEC,
				  LIMIT_SUCCESS);
		while ((ticket = gate_next(gate, now, &verdict))) {
			if (verdict == GATE_RUN) {
				g_queue_push_tail(&running, ticket);
			} else {
				assert_shed_order(tickets, i, ticket);
				shed++;
			}
		}
	}
	assert_in_range(shed, ORDER_ARRIVALS / 2, ORDER_ARRIVALS * 3 / 4);
	g_queue_clear(&running);
	g_free(tickets);
	gate_destroy(gate);
	g_rand_free(rand);
}

static const order_case_t order_cases[] = {
	{"random arrivals, seed 1", 1, 5},
	{"random arrivals, seed 2", 2, 20},
};

/* --- pressure -------------------------------------------------------------------- */

typedef struct pressure_case {
	const char *name;
	double pressure;
	uint32_t importance;
	double share_min;
	double share_max;
} pressure_case_t;

static void test_pressure(void **state)
{
	const pressure_case_t *c = *state;
	static const importance_range_t range = {.lowest = 5, .highest = 9};
	double share = pressure_admitted_share(c->pressure, c->importance, &range);

	assert_true(share >= c->share_min && share <= c->share_max);
	assert_int_equal(pressure_admits(c->pressure, c->importance, &range, 0.0),
			 share > 0);
	assert_false(pressure_admits(c->pressure, c->importance, &range, 1.0));
}

static const pressure_case_t pressure_cases[] = {
	{"pressure: nothing is refused below capacity", 0.89, 5, 1, 1},
	{"pressure: the least important requests are shed first", 1.2, 5, 0.01, 0.3},
	{"pressure: the most important requests are not shed yet", 1.2, 9, 1, 1},
	{"pressure: the share of medium importance lies between", 1.2, 7, 0.5, 1},
	{"pressure: the least important are all shed before any of the most important",
	 1.3, 5, 0, 0},
	{"pressure: everything is shed at a high pressure", 1.8, 9, 0, 0},
	{"pressure: an importance outside the range is clamped", 1.2, 1, 0.01, 0.3},
};

/* While starts are rate limited, only the calls that start soon are queued. The others
 * are shed, so that they may go to another instance. */
static void test_cold_queue(void **state)
{
	(void)state;
	gate_t *gate = gate_create(LIMIT_SLOTS);
	gate_ticket_t tickets[100];
	uint32_t counts[GATE_CLOSED + 1] = {0};

	gate_open(gate, 1, 200, 200, 200, true);
	gate_set_cold(gate, 50, 10 * USEC_PER_SEC);
	for (int i = 0; i < 100; i++) {
		tickets[i] = (gate_ticket_t){.priority = 1, .deadline = 5 * USEC_PER_SEC};
		counts[gate_request(gate, &tickets[i], 1000)]++;
	}
	assert_int_equal(counts[GATE_RUN], 5);
	assert_int_equal(counts[GATE_WAIT], 10);
	assert_int_equal(counts[GATE_SHED], 85);
	gate_destroy(gate);
}

int main(void)
{
	int failed = RUN_CASES("priority", priority_cases, test_priority);

	failed += RUN_CASES("limit", limit_cases, test_limit_converges);
	failed += RUN_CASES("limit_reset", reset_cases, test_limit_reset);
	failed += RUN_CASES("shed_level", level_cases, test_level);
	failed += RUN_CASES("shed_level_rise", rise_cases, test_level_rise);
	failed += RUN_CASES("gate", gate_cases, test_gate);
	failed += RUN_CASES("gate_order", order_cases, test_order);
	const struct CMUnitTest single[] = {cmocka_unit_test(test_cold_queue)};

	failed += RUN_CASES("pressure", pressure_cases, test_pressure);
	failed += cmocka_run_group_tests(single, NULL, NULL);
	return failed;
}
