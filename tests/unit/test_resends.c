/* Tests of call_history, resends and completion_limit, in virtual time. */
#include "case.h"

#include "admission/completion_limit.h"
#include "retry/call_history.h"
#include "retry/resends.h"

#include <glib.h>
#include <math.h>

#define START (1000 * USEC_PER_SEC)
#define WINDOW (10 * USEC_PER_SEC)
#define RATIO 0.17
#define RATIO_ALLOWED 0.2 /* of the deployments */

/* --- requests with several calls to a service that rejects ------------------- */

#define STEP (10 * USEC_PER_MSEC)
#define CALL_TIME (50 * USEC_PER_MSEC)
#define RESENDS_PER_CALL_MAX 8
#define SEEDS 5
#define WARM_UP (12 * USEC_PER_SEC)
#define DISTURBANCE (8 * USEC_PER_SEC)

typedef struct load_case {
	const char *name;
	double rejected;   /* share of arrivals while the service is disturbed */
	int calls;	   /* of a request, one after the other */
	double per_second; /* requests before the disturbance */
	double demand;	   /* factor on them during the disturbance */
	/* Of the requests that arrive during the disturbance: the least share that
	 * completes, and the largest share of all calls that belongs to requests that
	 * do not. */
	double completed_min;
	double lost_max;
} load_case_t;

typedef struct sim_request {
	bool measured;
	int calls_left;
	int calls_done;
	int sends; /* of the present call */
	usec_t due;
} sim_request_t;

typedef struct sim {
	const load_case_t *load;
	bool mechanism;
	GRand *rand;
	resends_t *resends;
	completion_limit_t *limit;
	GList *requests;
	GArray *first_sends; /* times */
	GArray *repeats;
	int arrived;
	int completed;
	int calls;
	int calls_lost;
} sim_t;

static const importance_range_t same_importance = {.lowest = 5, .highest = 5};

static bool is_disturbed(usec_t now)
{
	return now >= START + WARM_UP && now < START + WARM_UP + DISTURBANCE;
}

/* Returns false if the request failed. */
static bool end_send(sim_t *sim, sim_request_t *request, usec_t now)
{
	bool rejected =
		is_disturbed(now) && g_rand_double(sim->rand) < sim->load->rejected;

	resends_record_result(sim->resends, rejected, now);
	if (!rejected) {
		request->calls_done++;
		request->calls_left--;
		request->sends = 0;
		request->due = now + CALL_TIME;
		return true;
	}
	if (!sim->mechanism || request->sends > RESENDS_PER_CALL_MAX ||
	    !resends_take(sim->resends, now))
		return false;
	request->due = now + 2 * USEC_PER_MSEC;
	return true;
}

/* Returns whether the request continues. */
static bool run_request(sim_t *sim, sim_request_t *request, usec_t now)
{
	if (now < request->due)
		return true;
	if (request->calls_left == 0) {
		sim->completed += request->measured;
		return false;
	}
	if (request->sends++ == 0) {
		resends_record_call(sim->resends, now);
		g_array_append_val(sim->first_sends, now);
	} else {
		g_array_append_val(sim->repeats, now);
	}
	if (end_send(sim, request, now))
		return true;
	sim->calls_lost += request->calls_done;
	return false;
}

static void add_request(sim_t *sim, usec_t now)
{
	double completable =
		sim->mechanism ? resends_completable_share(sim->resends, now) : 1.0;

	sim->arrived += is_disturbed(now);
	if (!completion_limit_admit(sim->limit, "r", completable, 5, &same_importance,
				    now))
		return;
	sim_request_t *request = g_new0(sim_request_t, 1);
	request->measured = is_disturbed(now);
	request->calls_left = sim->load->calls;
	request->due = now;
	sim->requests = g_list_prepend(sim->requests, request);
}

static void step(sim_t *sim, usec_t now)
{
	double demand = is_disturbed(now) ? sim->load->demand : 1.0;
	double expected =
		sim->load->per_second * demand * (double)STEP / (double)USEC_PER_SEC;

	while (expected > 0) {
		if (g_rand_double(sim->rand) < expected)
			add_request(sim, now);
		expected -= 1.0;
	}
	for (GList *at = sim->requests; at;) {
		GList *next = at->next;
		int done = ((sim_request_t *)at->data)->calls_done;
		bool continues = run_request(sim, at->data, now);
		sim->calls += ((sim_request_t *)at->data)->calls_done - done;
		if (!continues) {
			g_free(at->data);
			sim->requests = g_list_delete_link(sim->requests, at);
		}
		at = next;
	}
}

static guint count_between(const GArray *times, usec_t from, usec_t to)
{
	guint count = 0;

	for (guint i = 0; i < times->len; i++) {
		usec_t at = g_array_index(times, usec_t, i);
		count += at >= from && at < to;
	}
	return count;
}

/* The bound of the deployments: in any window, repeats are at most a ratio of the calls
 * of that window, of the one before it or of the one half a window before it. */
static void check_bound(const sim_t *sim, usec_t end)
{
	for (usec_t at = START + WARM_UP; at < end; at += USEC_PER_SEC / 2) {
		guint calls = count_between(sim->first_sends, at - WINDOW, at);
		calls = MAX(calls, count_between(sim->first_sends, at - 2 * WINDOW,
						 at - WINDOW));
		calls = MAX(calls, count_between(sim->first_sends, at - 3 * WINDOW / 2,
						 at - WINDOW / 2));
		guint repeats = count_between(sim->repeats, at - WINDOW, at);
		if (repeats > RATIO_ALLOWED * calls)
			fail_msg("%s: %u repeats of %u calls", sim->load->name, repeats,
				 calls);
	}
}

static void play(sim_t *sim, const load_case_t *load, bool mechanism, uint32_t seed)
{
	usec_t end = START + WARM_UP + DISTURBANCE + 2 * USEC_PER_SEC;

	*sim = (sim_t){.load = load, .mechanism = mechanism};
	sim->rand = g_rand_new_with_seed(seed);
	sim->resends = resends_create(RATIO, WINDOW);
	sim->limit = completion_limit_create(WINDOW);
	sim->first_sends = g_array_new(FALSE, FALSE, sizeof(usec_t));
	sim->repeats = g_array_new(FALSE, FALSE, sizeof(usec_t));
	for (usec_t now = START; now < end; now += STEP)
		step(sim, now);
	check_bound(sim, end);
	g_list_free_full(sim->requests, g_free);
	g_array_free(sim->first_sends, TRUE);
	g_array_free(sim->repeats, TRUE);
	resends_destroy(sim->resends);
	completion_limit_destroy(sim->limit);
	g_rand_free(sim->rand);
}

static const load_case_t load_cases[] = {
	/* Alone, a request completes with (1 - rejected)^calls. */
	{"four calls, 0.45 rejected", 0.45, 4, 60, 1, 0.15, 0.10},
	{"eight calls, 0.45 rejected", 0.45, 8, 30, 1, 0.12, 0.25},
	{"eight calls, 0.45 rejected, more demand", 0.45, 8, 30, 2, 0.06, 0.25},
	{"four calls, 0.15 rejected", 0.15, 4, 60, 1, 0.85, 0.05},
	{"nothing rejected", 0, 8, 30, 1, 0.99, 0},
};

/* Guards against requests whose work is lost since one of their many calls is rejected,
 * and against resends beyond the deployment's bound. */
static void test_completed_requests(void **state)
{
	const load_case_t *c = *state;
	double alone = pow(1 - c->rejected, c->calls);

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t with;
		sim_t without;

		play(&with, c, true, seed);
		play(&without, c, false, seed);
		double completed = (double)with.completed / with.arrived;
		double before = (double)without.completed / without.arrived;
		double lost = (double)with.calls_lost / with.calls;
		print_message("seed %u: completed %.3f, without %.3f; lost %.3f, without "
			      "%.3f\n",
			      seed, completed, before, lost,
			      (double)without.calls_lost / without.calls);
		assert_true(completed >= c->completed_min);
		assert_true(lost <= c->lost_max);
		assert_true(c->rejected == 0 || before < alone + 0.15);
		assert_true(c->rejected == 0 || completed > before);
	}
}

/* --- several nodes, each with its own counts ---------------------------------- */

#define NODES 2
#define SPLIT (START + 20 * USEC_PER_SEC) /* in the middle of the rejections */
#define SPLIT_END (SPLIT + 20 * USEC_PER_SEC)
#define REJECTED 0.45

typedef struct nodes_case {
	const char *name;
	double before[NODES], after[NODES]; /* calls per second, by the time of SPLIT */
	bool restarts;			    /* node 0, at SPLIT */
} nodes_case_t;

static const nodes_case_t nodes_cases[] = {
	{"a node restarts", {160, 160}, {160, 160}, true},
	{"a node restarts, the other has many more calls", {40, 360}, {40, 360}, true},
	{"a node with few calls restarts", {1, 400}, {1, 400}, true},
	{"two halves of a partition", {200, 200}, {200, 200}, false},
	{"two unequal halves of a partition", {40, 360}, {40, 360}, false},
	{"the calls move from one half to the other", {200, 200}, {80, 320}, false},
	{"each half gets half of the calls", {200, 200}, {100, 100}, false},
};

typedef struct node_counts {
	resends_t *resends;
	int calls, repeats; /* since the start of the process */
} node_counts_t;

static void make_call(sim_t *sim, node_counts_t *node, usec_t now)
{
	bool rejects = now >= START + WARM_UP;

	resends_record_call(node->resends, now);
	g_array_append_val(sim->first_sends, now);
	node->calls++;
	for (int i = 0; i < RESENDS_PER_CALL_MAX; i++) {
		bool rejected = rejects && g_rand_double(sim->rand) < REJECTED;
		resends_record_result(node->resends, rejected, now);
		if (!rejected || !resends_take(node->resends, now))
			return;
		g_array_append_val(sim->repeats, now);
		node->repeats++;
	}
}

static void restart(node_counts_t *node)
{
	resends_destroy(node->resends);
	*node = (node_counts_t){.resends = resends_create(RATIO, WINDOW)};
}

/* Guards against a node that resends on calls of another process or node, or on none:
 * since its start each stays within the bound by its own calls (one resend is allowed
 * before the first five), and in sum they stay within that of the deployment. */
static void test_nodes(void **state)
{
	const nodes_case_t *c = *state;
	const load_case_t load = {.name = c->name};

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		sim_t sim = {.load = &load, .rand = g_rand_new_with_seed(seed)};
		node_counts_t nodes[NODES] = {{0}};

		sim.first_sends = g_array_new(FALSE, FALSE, sizeof(usec_t));
		sim.repeats = g_array_new(FALSE, FALSE, sizeof(usec_t));
		for (int i = 0; i < NODES; i++)
			restart(&nodes[i]);
		for (usec_t now = START; now < SPLIT_END; now += STEP) {
			if (now == SPLIT && c->restarts)
				restart(&nodes[0]);
			for (int i = 0; i < NODES; i++) {
				double rate = now < SPLIT ? c->before[i] : c->after[i];
				double expected = rate * STEP / USEC_PER_SEC;
				while (expected > 0) {
					if (g_rand_double(sim.rand) < expected)
						make_call(&sim, &nodes[i], now);
					expected -= 1.0;
				}
				assert_true(nodes[i].repeats <=
					    RATIO_ALLOWED * nodes[i].calls + 1);
			}
		}
		print_message("seed %u: %u calls, %u repeats\n", seed,
			      sim.first_sends->len, sim.repeats->len);
		assert_true(sim.repeats->len > 0);
		check_bound(&sim, SPLIT_END);
		for (int i = 0; i < NODES; i++)
			resends_destroy(nodes[i].resends);
		g_array_free(sim.first_sends, TRUE);
		g_array_free(sim.repeats, TRUE);
		g_rand_free(sim.rand);
	}
}

/* --- shares by importance ------------------------------------------------------ */

typedef struct share_case {
	double completable;
	uint32_t importance;
	importance_range_t range;
	double share;
} share_case_t;

static const share_case_t share_cases[] = {
	{1.0, 1, {1, 9}, 1.0},	{1.0, 9, {1, 9}, 1.0}, {0.5, 9, {1, 9}, 1.0},
	{0.5, 1, {1, 9}, 0.0},	{0.2, 9, {1, 9}, 0.4}, {0.2, 1, {1, 9}, 0.0},
	{0.75, 1, {1, 9}, 0.5}, {0.3, 4, {4, 4}, 0.3}, {0.0, 9, {1, 9}, 0.0},
};

/* Guards against less important requests that take calls from more important ones. */
static void test_shares(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		const share_case_t *c = &share_cases[i];
		double share = completion_admitted_share(c->completable, c->importance,
							 &c->range);

		assert_true(fabs(share - c->share) < 0.001);
	}
}

/* Guards against a budget that falls together with the calls that admission refuses. */
static void test_history(void **state)
{
	(void)state;
	call_history_t *history = call_history_create(WINDOW);
	usec_t now = START;

	for (int i = 0; i < 1000; i++, now += 10 * USEC_PER_MSEC)
		call_history_record(history, now);
	assert_true(fabs(call_history_rate(history, now) - 100) < 6);
	assert_true(fabs(call_history_rate(history, now + 9 * USEC_PER_SEC) - 100) < 10);
	assert_true(call_history_rate(history, now + 21 * USEC_PER_SEC) < 1);
	call_history_destroy(history);
}

#define SLOW_PERIOD (30 * USEC_PER_SEC)

/* Guards against a route that is refused as long as a disturbance lasts, since its
 * requests are rarer than the history. */
static void test_rare_route(void **state)
{
	(void)state;
	completion_limit_t *limit = completion_limit_create(WINDOW);
	usec_t now = START;
	int admitted = 0;

	for (int i = 0; i < 10; i++, now += SLOW_PERIOD)
		admitted +=
			completion_limit_admit(limit, "r", 0.9, 5, &same_importance, now);
	assert_int_equal(admitted, 10);
	completion_limit_destroy(limit);
}

#define LONG_SEC 60
#define ARRIVALS 50 /* per second */

/* Guards against a limit that is applied to its own effect: admissions then fall towards
 * nothing while the completable share stays the same. */
static void test_long_disturbance(void **state)
{
	(void)state;
	completion_limit_t *limit = completion_limit_create(WINDOW);
	usec_t now = START;
	int admitted = 0;

	for (int i = 0; i < (20 + LONG_SEC) * ARRIVALS;
	     i++, now += USEC_PER_SEC / ARRIVALS) {
		double completable = i < 20 * ARRIVALS ? 1.0 : 0.5;
		bool is_last = i >= (10 + LONG_SEC) * ARRIVALS;
		bool admits = completion_limit_admit(limit, "r", completable, 5,
						     &same_importance, now);
		admitted += is_last && admits;
	}
	print_message("admitted %d of %d\n", admitted, 10 * ARRIVALS);
	assert_true(admitted >= 10 * ARRIVALS * 0.4);
	assert_true(admitted <= 10 * ARRIVALS * 0.6);
	completion_limit_destroy(limit);
}

/* Guards against repeats on the other budget that are held against resends long after the
 * window that both are counted in. */
static void test_old_retries(void **state)
{
	(void)state;
	resends_t *resends = resends_create(RATIO, WINDOW);
	usec_t now = START;

	/* Each fourth call is repeated: more than RATIO. */
	for (int i = 0; i < 60000; i++, now += 10 * USEC_PER_MSEC) {
		resends_record_call(resends, now);
		if (i % 4 == 0)
			resends_record_retry(resends, now);
	}
	for (int i = 0; i < 1200; i++, now += 10 * USEC_PER_MSEC)
		resends_record_call(resends, now);
	assert_true(resends_take(resends, now));
	resends_destroy(resends);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares),
		cmocka_unit_test(test_history),
		cmocka_unit_test(test_rare_route),
		cmocka_unit_test(test_long_disturbance),
		cmocka_unit_test(test_old_retries),
	};

	return RUN_CASES("completed requests", load_cases, test_completed_requests) +
	       RUN_CASES("nodes", nodes_cases, test_nodes) +
	       cmocka_run_group_tests(tests, NULL, NULL);
}
