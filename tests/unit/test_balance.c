/* Tests of the balance by expected completion time, in virtual time. */
#include "case.h"

#include "admission/gate.h"
#include "balance_sim.h"
#include "routing/speed.h"

#include <stdlib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)
#define SERVICE "s"

/* --- load in virtual time, compared with the balance by slots ------------------ */

#define SEEDS 3
/* With few instances, the bursts differ more from seed to seed. */
#define SEEDS_FEW_INSTANCES 16
/* Bounds of every case. */
#define WORST_LOSS_MAX 0.03 /* of the completions in the worst two seconds */
#define FAILED_MORE_MAX 0.001
#define OTHER_ZONE_MORE_MAX 0.1
/* Load of an instance that is new, back or suddenly fast: with twice its slots in flight
 * or queued, a call waits as long as it runs. */
#define EVENT_LOAD_MAX 2.0

typedef struct balance_case {
	const char *name;
	sim_setup_t setup;
	/* Largest allowed results, as multiples of those with ROUTER_BALANCE_SLOTS. A
	 * bound below 1 fails if the score is taken out. */
	double mean, p99, rejected;
	guint32 seeds;
} balance_case_t;

static void add_result(sim_result_t *sum, const sim_result_t *one, guint32 seeds)
{
	sum->mean_ms += one->mean_ms / seeds;
	sum->p99_ms += one->p99_ms / seeds;
	sum->busiest += one->busiest / seeds;
	sum->worst += one->worst / seeds;
	sum->other_zone += one->other_zone / seeds;
	sum->rejected += one->rejected / seeds;
	sum->failed += one->failed / seeds;
	sum->busiest_event = MAX(sum->busiest_event, one->busiest_event);
}

static void print_result(const char *balance, const sim_result_t *r)
{
	print_message("  %-5s mean %6.1f ms, p99 %6.1f ms, busiest %.2f, worst %.2f, "
		      "other zone %.3f, rejected %.3f, failed %.4f, load after event "
		      "%.2f\n",
		      balance, r->mean_ms, r->p99_ms, r->busiest, r->worst, r->other_zone,
		      r->rejected, r->failed, r->busiest_event);
}

/* EGRET_TEST_SEEDS lowers the number of seeds for slow builds. */
static guint32 seed_count(const balance_case_t *c)
{
	const char *limit = getenv("EGRET_TEST_SEEDS");

	return limit ? (guint32)MIN(c->seeds, strtoull(limit, NULL, 10)) : c->seeds;
}

/* Guards against a score that ignores speeds or rejections, that moves calls to one
 * instance or zone at once, or that loses calls of a full local zone while other zones
 * have capacity. */
static void test_balance(void **state)
{
	const balance_case_t *c = *state;
	sim_result_t slots = {0};
	sim_result_t time = {0};
	guint32 seeds = seed_count(c);

	for (guint32 seed = 1; seed <= seeds; seed++) {
		sim_result_t one;
		sim_run(&c->setup, ROUTER_BALANCE_SLOTS, seed, &one);
		add_result(&slots, &one, seeds);
		sim_run(&c->setup, ROUTER_BALANCE_TIME, seed, &one);
		add_result(&time, &one, seeds);
	}
	print_result("slots", &slots);
	print_result("time", &time);
	assert_true(time.mean_ms <= c->mean * slots.mean_ms);
	assert_true(time.p99_ms <= c->p99 * slots.p99_ms);
	assert_true(time.rejected <= c->rejected * slots.rejected);
	assert_true(time.worst >= slots.worst - WORST_LOSS_MAX);
	assert_true(time.failed <= slots.failed + FAILED_MORE_MAX);
	assert_true(time.other_zone <= slots.other_zone + OTHER_ZONE_MORE_MAX);
	if (c->setup.event >= SIM_JOINS)
		assert_true(time.busiest_event <= EVENT_LOAD_MAX);
}

#define UNEVEN                                                                           \
	{5, 4, 3},                                                                       \
	{                                                                                \
		8, 6, 6                                                                  \
	}
#define SPREAD                                                                           \
	{                                                                                \
		0.6, 1.0, 1.4                                                            \
	}
#define ONE_SLOW                                                                         \
	{                                                                                \
		0.7, 0.7, 1.7                                                            \
	}
#define EQUAL                                                                            \
	{                                                                                \
		1.0, 1.0, 1.0                                                            \
	}
#define SHORT (54 * USEC_PER_MSEC)
#define LONG (300 * USEC_PER_MSEC)
/* Better than a tie; the difference between sets of seeds is below 2 %. */
#define BETTER 0.98, 0.98
#define NO_WORSE 1.02, 1.02

static const balance_case_t balance_cases[] = {
	{"equal instances",
	 {UNEVEN, EQUAL, 0.65, 0.55, SHORT, false, SIM_NONE},
	 NO_WORSE,
	 1,
	 SEEDS},
	{"speeds 0.6, 1.0, 1.4",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"speeds 0.7, 0.7, 1.7",
	 {UNEVEN, ONE_SLOW, 0.65, 0.55, SHORT, false, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"speeds 0.6, 1.0, 1.4, high load",
	 {UNEVEN, SPREAD, 0.9, 0.55, SHORT, false, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"speeds 0.7, 0.7, 1.7, high load",
	 {UNEVEN, ONE_SLOW, 0.9, 0.55, SHORT, false, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"bursts of slowness",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, true, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"bursts of slowness, high load",
	 {UNEVEN, ONE_SLOW, 0.75, 0.55, SHORT, true, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"five instances, one of them alone in its zone",
	 {{2, 2, 1}, {4, 3, 3}, ONE_SLOW, 0.65, 0.55, SHORT, true, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS_FEW_INSTANCES},
	{"many nodes with few calls each, one zone short of capacity",
	 {{14, 14, 13}, {40, 22, 23}, SPREAD, 0.75, 0.55, LONG, false, SIM_NONE},
	 BETTER,
	 1,
	 SEEDS},
	{"an instance rejects calls",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_REJECTS},
	 BETTER,
	 0.7,
	 SEEDS},
	{"an instance answers calls with errors at once",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_FAILS},
	 BETTER,
	 0.7,
	 SEEDS},
	{"an instance joins",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_JOINS},
	 BETTER,
	 1,
	 SEEDS},
	{"an instance returns",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_RETURNS},
	 BETTER,
	 1,
	 SEEDS},
	{"an instance becomes fast",
	 {UNEVEN, SPREAD, 0.65, 0.55, SHORT, false, SIM_RECOVERS},
	 BETTER,
	 1,
	 SEEDS},
};

/* --- one node's choice ------------------------------------------------------------ */

#define LIMIT 100
#define PICKS 1000

typedef struct row {
	const char *zone;     /* NULL ends the list */
	uint32_t inflight;    /* as reported */
	uint32_t time;	      /* as reported, in microseconds */
	uint32_t time_before; /* reported 50 ms earlier; 0 without such a report */
	int rejected;	      /* of 100 calls */
	bool unreported;
} row_t;

typedef struct share_case {
	const char *name;
	row_t rows[6];
	usec_t age;			/* of the reports */
	double zone_a_low, zone_a_high; /* share of the calls to zone a, which is local */
	double first_low, first_high;	/* share of the calls to the first instance */
} share_case_t;

static void make_member(int i, const char *zone, member_t *out)
{
	*out = (member_t){.node_id = (uint64_t)i + 1,
			  .slots = LIMIT,
			  .cold_slots = LIMIT,
			  .target = EGRET__TARGET_STATE__TARGET_UP,
			  .ready = true};
	g_snprintf(out->address, sizeof(out->address), "127.0.0.1:%d", 1000 + i);
	g_strlcpy(out->zone, zone, sizeof(out->zone));
	g_strlcpy(out->service, SERVICE, sizeof(out->service));
}

static void report_row(router_t *router, const member_t *member, const row_t *row)
{
	router_report_t report = {.level = PRIORITY_LEVEL_ALL,
				  .limit = LIMIT,
				  .inflight = row->inflight,
				  .response_time_usec = row->time_before};

	if (row->unreported)
		return;
	if (row->time_before > 0)
		router_done(router, member->address, ROUTER_ANSWERED, &report,
			    START - 50 * USEC_PER_MSEC);
	report.response_time_usec = row->time;
	for (int i = 0; i < 100; i++) {
		report.failed = i * row->rejected / 100 != (i + 1) * row->rejected / 100;
		router_done(router, member->address,
			    report.failed ? ROUTER_REFUSED : ROUTER_ANSWERED, &report,
			    START);
	}
}

/* Guards against a herd to an instance that is new or suddenly fast, and against calls
 * that all move to another zone at once, or move while the local zone has capacity. Each
 * call ends at once without a report, so that the choices depend on the given reports
 * alone. */
static void test_share(void **state)
{
	const share_case_t *c = *state;
	router_t *router = router_create("a", 7);
	router_request_t request = {.service = SERVICE};
	int zone_a = 0;
	int first = 0;

	router_set_balance(router, ROUTER_BALANCE_TIME);
	for (int i = 0; c->rows[i].zone; i++) {
		member_t member;
		make_member(i, c->rows[i].zone, &member);
		router_update(router, &member, START - USEC_PER_SEC);
		report_row(router, &member, &c->rows[i]);
	}
	for (int i = 0; i < PICKS; i++) {
		router_choice_t choice;
		router_pick(router, &request, START + c->age, &choice);
		assert_true(choice.score_milli > 0);
		zone_a += choice.zone[0] == 'a';
		first += strcmp(choice.address, "127.0.0.1:1000") == 0;
		router_done(router, choice.address, ROUTER_REFUSED, NULL, START + c->age);
	}
	router_destroy(router);
	print_message("  zone a %.3f, first %.3f\n", (double)zone_a / PICKS,
		      (double)first / PICKS);
	assert_true(zone_a >= c->zone_a_low * PICKS && zone_a <= c->zone_a_high * PICKS);
	assert_true(first >= c->first_low * PICKS && first <= c->first_high * PICKS);
}

/* Two random choices of five: an instance that is always preferred gets 0.36 of the
 * calls, one that never is gets 0.04. */
#define FAIR 0.15, 0.25
#define PREFERRED 0.30, 0.42
#define AVOIDED 0.0, 0.08
#define ALL_LOCAL 1.0, 1.0
#define OLD SPEED_LIFETIME_USEC

static const share_case_t share_cases[] = {
	{"equal instances get equal shares",
	 {{"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 FAIR},
	{"a fast instance is preferred",
	 {{"a", 50, 32000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 PREFERRED},
	{"a slow instance is avoided",
	 {{"a", 50, 76000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 AVOIDED},
	{"a fast instance with more calls in flight is not preferred",
	 {{"a", 90, 32000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 AVOIDED},
	{"an old report has no weight",
	 {{"a", 50, 76000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 OLD,
	 ALL_LOCAL,
	 FAIR},
	{"an old low load has no weight",
	 {{"a", 10, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false}},
	 OLD,
	 ALL_LOCAL,
	 FAIR},
	{"an unknown speed counts as the mean",
	 {{"a", 50, 0, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 FAIR},
	{"a new instance counts as the mean",
	 {{"a", 0, 54000, 0, 0, true},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 FAIR},
	{"a suddenly fast instance is not preferred at once",
	 {{"a", 60, 13500, 54000, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 AVOIDED},
	{"a suddenly slow instance is avoided at once",
	 {{"a", 40, 135000, 54000, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 AVOIDED},
	{"an instance that rejects calls is avoided",
	 {{"a", 20, 54000, 0, 45, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false},
	  {"a", 50, 54000, 0, 0, false}},
	 0,
	 ALL_LOCAL,
	 AVOIDED},
	{"rejections by all instances make no difference",
	 {{"a", 50, 54000, 0, 45, false},
	  {"a", 50, 54000, 0, 45, false},
	  {"a", 50, 54000, 0, 45, false},
	  {"a", 50, 54000, 0, 45, false},
	  {"a", 50, 54000, 0, 45, false}},
	 0,
	 ALL_LOCAL,
	 FAIR},
	{"the local zone is preferred while it has capacity",
	 {{"a", 80, 54000, 0, 0, false},
	  {"a", 80, 54000, 0, 0, false},
	  {"b", 10, 54000, 0, 0, false},
	  {"b", 10, 54000, 0, 0, false}},
	 0,
	 1.0,
	 1.0,
	 0.0,
	 1.0},
	{"a part of the calls leaves a nearly saturated zone",
	 {{"a", 92, 54000, 0, 0, false},
	  {"a", 92, 54000, 0, 0, false},
	  {"b", 10, 54000, 0, 0, false},
	  {"b", 10, 54000, 0, 0, false}},
	 0,
	 0.3,
	 0.9,
	 0.0,
	 1.0},
	{"fewer leave if the other zone has less capacity",
	 {{"a", 92, 54000, 0, 0, false},
	  {"a", 92, 54000, 0, 0, false},
	  {"b", 70, 54000, 0, 0, false},
	  {"b", 70, 54000, 0, 0, false}},
	 0,
	 0.5,
	 0.95,
	 0.0,
	 1.0},
	{"none leave if the other zone has no capacity",
	 {{"a", 120, 54000, 0, 0, false},
	  {"a", 120, 54000, 0, 0, false},
	  {"b", 120, 54000, 0, 0, false},
	  {"b", 120, 54000, 0, 0, false}},
	 0,
	 1.0,
	 1.0,
	 0.0,
	 1.0},
	{"none leave if they would end later in the other zone",
	 {{"a", 105, 32000, 0, 0, false},
	  {"a", 105, 32000, 0, 0, false},
	  {"b", 80, 76000, 0, 0, false},
	  {"b", 80, 76000, 0, 0, false}},
	 0,
	 1.0,
	 1.0,
	 0.0,
	 1.0},
	{"calls leave a saturated zone",
	 {{"a", 130, 54000, 0, 0, false},
	  {"a", 130, 54000, 0, 0, false},
	  {"b", 40, 54000, 0, 0, false},
	  {"b", 40, 54000, 0, 0, false}},
	 0,
	 0.0,
	 0.1,
	 0.0,
	 1.0},
};

/* --- return of a zone -------------------------------------------------------------- */

typedef struct ramp_case {
	const char *name;
	usec_t since;	    /* the return of the local zone to service */
	uint32_t low, high; /* bounds of the calls to it, of 1000 */
} ramp_case_t;

/* Guards against a zone that gets all of its calls at once when it returns. */
static void test_ramp(void **state)
{
	const ramp_case_t *c = *state;
	router_t *router = router_create("a", 3);
	router_request_t request = {.service = SERVICE};
	usec_t now = START;
	uint32_t own = 0;

	router_set_balance(router, ROUTER_BALANCE_TIME);
	for (int i = 0; i < 4; i++) {
		member_t member;
		make_member(i, i % 2 ? "b" : "a", &member);
		router_update(router, &member, now);
	}
	router_set_zone(router, "a", false, now);
	now += 60 * USEC_PER_SEC;
	router_set_zone(router, "a", true, now);
	now += c->since;
	for (int i = 0; i < 1000; i++) {
		router_choice_t choice;
		router_report_t report = {.level = PRIORITY_LEVEL_ALL,
					  .limit = LIMIT,
					  .inflight = 40,
					  .response_time_usec = 50000};
		router_pick(router, &request, now, &choice);
		own += choice.zone[0] == 'a';
		router_done(router, choice.address, ROUTER_ANSWERED, &report, now);
	}
	router_destroy(router);
	assert_in_range(own, c->low, c->high);
}

static const ramp_case_t ramp_cases[] = {
	{"a zone that has just returned takes few calls", 0, 0, 100},
	{"calls leave when the load is what the zone takes during the ramp",
	 4 * USEC_PER_SEC, 0, 100},
	{"a part of the calls leaves when the load is nearly that", 4400 * USEC_PER_MSEC,
	 100, 900},
	{"a zone takes all of its calls after the ramp", ROUTER_ZONE_RAMP_USEC, 1000,
	 1000},
};

/* --- meter of the node beside an instance ------------------------------------------ */

typedef struct meter_case {
	const char *name;
	int calls, cancelled; /* one each millisecond, after 200 calls of 50 ms */
	usec_t time;
	uint32_t low, high;
} meter_case_t;

/* Guards against a meter that misses a burst of some hundred milliseconds, that one call
 * changes, or that shows a target as fast whose calls are cancelled. */
static void test_meter(void **state)
{
	const meter_case_t *c = *state;
	gate_t *gate = gate_create(LIMIT_SLOTS);
	gate_load_t load;
	usec_t now = START;

	gate_open(gate, now, LIMIT, LIMIT, LIMIT, true);
	gate_load(gate, now, &load);
	assert_int_equal(load.response_time_usec, 0);
	for (int i = 0; i < 200; i++)
		gate_record_response(gate, 50000, now += USEC_PER_MSEC);
	for (int i = 0; i < c->calls; i++)
		gate_record_response(gate, c->time, now += USEC_PER_MSEC);
	for (int i = 0; i < c->cancelled; i++) {
		gate_ticket_t ticket = {.deadline = now + 10 * USEC_PER_SEC};
		now += USEC_PER_MSEC;
		assert_int_equal(gate_request(gate, &ticket, now - c->time), GATE_RUN);
		gate_cancel(gate, &ticket, now);
	}
	gate_load(gate, now, &load);
	assert_in_range(load.response_time_usec, c->low, c->high);
	gate_open(gate, now, LIMIT, LIMIT, LIMIT, true);
	gate_load(gate, now, &load);
	assert_int_equal(load.response_time_usec, 0);
	gate_destroy(gate);
}

static const meter_case_t meter_cases[] = {
	{"a steady time is reported", 0, 0, 0, 50000, 50000},
	{"one slow call changes little", 1, 0, 500000, 50000, 60000},
	{"a burst shows within 200 ms", 200, 0, 125000, 110000, 125000},
	{"cancelled calls that ran for long count", 0, 200, 125000, 110000, 125000},
	{"cancelled calls that ran briefly do not", 0, 200, 5000, 50000, 50000},
};

int main(void)
{
	int failed = RUN_CASES("balance", balance_cases, test_balance);

	failed += RUN_CASES("share", share_cases, test_share);
	failed += RUN_CASES("ramp", ramp_cases, test_ramp);
	return failed + RUN_CASES("meter", meter_cases, test_meter);
}
