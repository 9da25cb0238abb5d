/* Tests of the router, backpressure, route calls and retries, in virtual time. */
#include "case.h"

#include "retry/retry.h"
#include "routing/backpressure.h"
#include "routing/route_calls.h"
#include "routing/router.h"

#include <glib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)
#define SERVICE "s"

static member_t make_member(int i, const char *zone, Egret__TargetState target)
{
	member_t member = {.node_id = (uint64_t)i + 1,
			   .slots = 10,
			   .cold_slots = 10,
			   .target = target,
			   .ready = true};

	g_snprintf(member.address, sizeof(member.address), "127.0.0.1:%d", 1000 + i);
	g_strlcpy(member.zone, zone, sizeof(member.zone));
	g_strlcpy(member.service, SERVICE, sizeof(member.service));
	return member;
}

/* --- choice ---------------------------------------------------------------- */

typedef struct instance_row {
	const char *zone; /* NULL ends the list */
	Egret__TargetState target;
	Egret__MemberState state;
	uint32_t inflight; /* as reported, with a limit of 10 */
	priority_t level;
	int failures;
} instance_row_t;

typedef struct pick_case {
	const char *name;
	instance_row_t instances[6];
	const char *zone_out;
	uint32_t importance;
	bool allowed[6]; /* instances that may be chosen */
	router_reason_t reason;
} pick_case_t;

#define UP EGRET__TARGET_STATE__TARGET_UP
#define DRAINING EGRET__TARGET_STATE__TARGET_DRAINING
#define ALIVE EGRET__MEMBER_STATE__MEMBER_ALIVE
#define DEAD EGRET__MEMBER_STATE__MEMBER_DEAD
#define SUSPECT EGRET__MEMBER_STATE__MEMBER_SUSPECT
#define LEFT EGRET__MEMBER_STATE__MEMBER_LEFT
#define ALL PRIORITY_LEVEL_ALL

static router_t *create_router(const pick_case_t *c)
{
	router_t *router = router_create("a", 7);

	if (c->zone_out)
		router_set_zone(router, c->zone_out, false, START);
	for (int i = 0; c->instances[i].zone; i++) {
		member_t member = make_member(i, c->instances[i].zone, UP);
		router_update(router, &member, START);
	}
	for (int i = 0; c->instances[i].zone; i++) {
		const instance_row_t *row = &c->instances[i];
		member_t member = make_member(i, row->zone, UP);
		router_report_t report = {
			.level = row->level, .limit = 10, .inflight = row->inflight};
		for (int f = 0; f < row->failures; f++)
			router_done(router, member.address, ROUTER_FAILED, NULL, START);
		router_done(router, member.address, ROUTER_REFUSED, &report, START);
		member.target = row->target;
		member.state = row->state;
		router_update(router, &member, START);
	}
	return router;
}

static void test_pick(void **state)
{
	const pick_case_t *c = *state;
	router_t *router = create_router(c);
	router_request_t request = {.service = SERVICE,
				    .priority = priority_make(c->importance, 100)};

	for (int i = 0; i < 200; i++) {
		router_choice_t choice;
		router_pick(router, &request, START, &choice);
		assert_int_equal(choice.reason, c->reason);
		if (!choice.address[0])
			continue;
		int chosen =
			(int)strtol(strchr(choice.address, ':') + 1, NULL, 10) - 1000;
		assert_true(c->allowed[chosen]);
		router_done(router, choice.address, ROUTER_REFUSED, NULL, START);
	}
	router_destroy(router);
}

static const pick_case_t pick_cases[] = {
	{"the local zone is preferred",
	 {{"a", UP, ALIVE, 5, ALL, 0}, {"b", UP, ALIVE, 0, ALL, 0}},
	 NULL,
	 5,
	 {true, false},
	 ROUTER_OWN_ZONE},
	{"calls spill from a saturated local zone",
	 {{"a", UP, ALIVE, 15, ALL, 0}, {"b", UP, ALIVE, 2, ALL, 0}},
	 NULL,
	 5,
	 {false, true},
	 ROUTER_SPILL},
	{"calls do not spill to a nearly saturated zone",
	 {{"a", UP, ALIVE, 15, ALL, 0}, {"b", UP, ALIVE, 9, ALL, 0}},
	 NULL,
	 5,
	 {true, false},
	 ROUTER_OWN_ZONE},
	{"a zone out of service gets no calls",
	 {{"a", UP, ALIVE, 0, ALL, 0}, {"b", UP, ALIVE, 9, ALL, 0}},
	 "a",
	 5,
	 {false, true},
	 ROUTER_SPILL},
	{"no instance while every zone is out of service",
	 {{"a", UP, ALIVE, 0, ALL, 0}},
	 "a",
	 5,
	 {false},
	 ROUTER_NO_INSTANCE},
	{"draining, left and dead instances get no calls",
	 {{"a", DRAINING, ALIVE, 0, ALL, 0},
	  {"a", UP, LEFT, 0, ALL, 0},
	  {"a", UP, DEAD, 0, ALL, 0},
	  {"a", UP, ALIVE, 9, ALL, 0}},
	 NULL,
	 5,
	 {false, false, false, true},
	 ROUTER_OWN_ZONE},
	{"a suspected instance is skipped",
	 {{"a", UP, SUSPECT, 0, ALL, 0}, {"b", UP, ALIVE, 5, ALL, 0}},
	 NULL,
	 5,
	 {false, true},
	 ROUTER_SPILL},
	{"a suspected instance is the last resort",
	 {{"a", UP, SUSPECT, 0, ALL, 0}},
	 NULL,
	 5,
	 {true},
	 ROUTER_LAST_RESORT},
	{"an instance whose shed level refuses the priority is skipped",
	 {{"a", UP, ALIVE, 0, 5u << 16, 0}, {"a", UP, ALIVE, 9, ALL, 0}},
	 NULL,
	 3,
	 {false, true},
	 ROUTER_OWN_ZONE},
	{"shed when every shed level refuses the priority",
	 {{"a", UP, ALIVE, 0, 5u << 16, 0}, {"b", UP, ALIVE, 0, 5u << 16, 0}},
	 NULL,
	 3,
	 {false, false},
	 ROUTER_SHED},
	{"the same shed levels admit important calls",
	 {{"a", UP, ALIVE, 0, 5u << 16, 0}, {"b", UP, ALIVE, 0, 5u << 16, 0}},
	 NULL,
	 9,
	 {true, false},
	 ROUTER_OWN_ZONE},
	{"a failing instance is ejected",
	 {{"a", UP, ALIVE, 0, ALL, 5},
	  {"a", UP, ALIVE, 9, ALL, 0},
	  {"a", UP, ALIVE, 9, ALL, 0}},
	 NULL,
	 5,
	 {false, true, true},
	 ROUTER_OWN_ZONE},
	{"at most half of a service is ejected",
	 {{"a", UP, ALIVE, 0, ALL, 5}, {"a", UP, ALIVE, 0, ALL, 5}},
	 NULL,
	 5,
	 {false, true},
	 ROUTER_OWN_ZONE},
};

/* --- ramp and report age ---------------------------------------------------- */

/* A request that allows one version never gets an instance of another, even if there is
 * no other instance. */
typedef struct allow_case {
	const char *name;
	const char *versions[4];
	const char *allowed;
	bool found;
} allow_case_t;

static bool has_version(void *ctx, const member_t *member)
{
	return strcmp(member->version, ctx) == 0;
}

static void test_allows(void **state)
{
	const allow_case_t *c = *state;
	router_t *router = router_create("a", 7);
	router_request_t request = {.service = SERVICE,
				    .priority = priority_make(5, 100),
				    .allows = has_version,
				    .allows_ctx = (void *)c->allowed};

	for (int i = 0; i < 4 && c->versions[i]; i++) {
		member_t member = make_member(i, "a", UP);
		g_strlcpy(member.version, c->versions[i], sizeof(member.version));
		router_update(router, &member, START);
	}
	for (int i = 0; i < 100; i++) {
		router_choice_t choice;
		router_pick(router, &request, START, &choice);
		assert_int_equal(*choice.address != '\0', c->found);
		if (!c->found)
			continue;
		assert_string_equal(choice.version, c->allowed);
		router_done(router, choice.address, ROUTER_ANSWERED, NULL, START);
	}
	router_destroy(router);
}

static const allow_case_t allow_cases[] = {
	{"allows: one of two versions", {"v1", "v2", "v1", "v2"}, "v2", true},
	{"allows: instances without a version", {"", "v2"}, "", true},
	{"allows: no instance", {"v1", "v1"}, "v2", false},
};

/* --- the same instance again ------------------------------------------------ */

typedef struct again_case {
	const char *name;
	uint64_t node_id; /* of the member at the address afterwards; 0: that of before */
	const char *service;
	const char *version;
	Egret__TargetState target;
	router_reason_t reason;
} again_case_t;

/* Guards against a call that is sent again to what has replaced the instance that
 * rejected it: the process at an address may change while the call waits. */
static void test_pick_again(void **state)
{
	const again_case_t *c = *state;
	router_t *router = router_create("a", 7);
	member_t member = make_member(0, "a", UP);
	router_request_t request = {.service = SERVICE};
	router_choice_t first;
	router_choice_t again;

	router_update(router, &member, START);
	router_pick(router, &request, START, &first);
	assert_int_equal(first.reason, ROUTER_OWN_ZONE);
	router_done(router, first.address, ROUTER_REFUSED, NULL, START);
	member.node_id = c->node_id ? c->node_id : member.node_id;
	member.target = c->target;
	g_strlcpy(member.service, c->service, sizeof(member.service));
	g_strlcpy(member.version, c->version, sizeof(member.version));
	router_update(router, &member, START + 1);
	router_pick_again(router, SERVICE, first.address, first.since, &again);
	assert_int_equal(again.reason, c->reason);
	assert_string_equal(again.address,
			    c->reason == ROUTER_AGAIN ? first.address : "");
	router_destroy(router);
}

static const again_case_t again_cases[] = {
	{"again: unchanged", 0, SERVICE, "", UP, ROUTER_AGAIN},
	{"again: another process", 77, SERVICE, "", UP, ROUTER_NO_INSTANCE},
	{"again: another version", 0, SERVICE, "v2", UP, ROUTER_NO_INSTANCE},
	{"again: another service", 77, "other", "", UP, ROUTER_NO_INSTANCE},
	{"again: the same process for another service", 0, "other", "", UP,
	 ROUTER_NO_INSTANCE},
	{"again: draining", 0, SERVICE, "", DRAINING, ROUTER_NO_INSTANCE},
};

/* Free slots of a version that gets no requests would hide the pressure of the other. */
typedef struct idle_case {
	const char *name;
	const char *idle; /* version; NULL if none */
	bool same;
	double pressure;
	priority_t level;
} idle_case_t;

static void test_idle(void **state)
{
	const idle_case_t *c = *state;
	router_t *router = router_create("a", 7);

	for (int i = 0; i < 2; i++) {
		member_t member = make_member(i, "a", UP);
		router_report_t report = {
			.level = ALL, .limit = 10, .inflight = i == 0 ? 20 : 0};
		g_strlcpy(member.version, i == 0 ? "v1" : "v2", sizeof(member.version));
		router_update(router, &member, START);
		router_done(router, member.address, ROUTER_ANSWERED, &report, START);
	}
	router_set_idle(router, SERVICE, "v1", true);
	router_set_idle(router, SERVICE, c->idle, c->same);
	assert_int_equal(router_service_level(router, SERVICE, START), c->level);
	double pressure = router_service_pressure(router, SERVICE, START);
	assert_true(pressure > c->pressure - 0.01 && pressure < c->pressure + 0.01);
	router_destroy(router);
}

static const idle_case_t idle_cases[] = {
	{"idle: none", NULL, false, 1, ALL},
	{"idle: the new version", "v2", true, 2, ALL},
	{"idle: all but the new version", "v2", false, 0, ALL},
	/* Level 0 would have all requests refused upstream. */
	{"idle: all instances", "v3", false, 0, ALL},
};

typedef struct ramp_case {
	const char *name;
	usec_t since;	    /* the return of the zone to service */
	uint32_t low, high; /* bounds of the calls to the local zone, of 1000 */
} ramp_case_t;

static void test_ramp(void **state)
{
	const ramp_case_t *c = *state;
	router_t *router = router_create("a", 3);
	router_request_t request = {.service = SERVICE};
	usec_t now = START;
	uint32_t own = 0;

	for (int i = 0; i < 4; i++) {
		member_t member = make_member(i, i % 2 ? "b" : "a", UP);
		router_update(router, &member, now);
	}
	router_set_zone(router, "a", false, now);
	now += 60 * USEC_PER_SEC;
	router_set_zone(router, "a", true, now);
	now += c->since;
	for (int i = 0; i < 1000; i++) {
		router_choice_t choice;
		router_report_t report = {.level = ALL, .limit = 10, .inflight = 4};
		router_pick(router, &request, now, &choice);
		own += choice.zone[0] == 'a';
		router_done(router, choice.address, ROUTER_ANSWERED, &report, now);
	}
	assert_in_range(own, c->low, c->high);
	router_destroy(router);
}

static const ramp_case_t ramp_cases[] = {
	{"a zone that has just returned takes few calls", 0, 0, 100},
	{"a zone takes all of its calls after the ramp", ROUTER_ZONE_RAMP_USEC, 1000,
	 1000},
};

typedef struct age_case {
	const char *name;
	usec_t age;
	bool admitted;
} age_case_t;

static void test_report_age(void **state)
{
	const age_case_t *c = *state;
	router_t *router = router_create("a", 3);
	backpressure_t *backpressure = backpressure_create();
	member_t member = make_member(0, "a", UP);
	router_report_t report = {.level = 2u << 16, .limit = 10};
	router_request_t request = {.service = SERVICE, .priority = priority_make(3, 0)};
	router_choice_t choice;

	router_update(router, &member, START);
	router_done(router, member.address, ROUTER_REFUSED, &report, START);
	for (int i = 0; i < 50; i++)
		backpressure_record_level(backpressure, "r", 2u << 16, START);
	router_pick(router, &request, START + c->age, &choice);
	assert_int_equal(choice.reason != ROUTER_SHED, c->admitted);
	priority_t level = backpressure_level(backpressure, "r", START + c->age);
	assert_int_equal(request.priority < level, c->admitted);
	assert_int_equal(backpressure_level(backpressure, "other", START), ALL);
	backpressure_destroy(backpressure);
	router_destroy(router);
}

static const age_case_t age_cases[] = {
	{"a new shed level is applied", 0, false},
	{"a shed level expires within a second", SHED_LEVEL_LIFETIME_USEC, true},
};

/* --- retries ----------------------------------------------------------------- */

typedef struct chain_case {
	const char *name;
	uint32_t retries; /* of the root call */
	uint32_t depth;
	uint32_t fan_out;
	double failures; /* share of calls that fail */
	double lost;	 /* share of responses that are lost */
} chain_case_t;

typedef struct chain {
	const chain_case_t *c;
	GRand *rand;
	uint32_t retries;
	uint32_t calls;
} chain_t;

#define CHAIN_CALLS_MAX 200000

/* Runs one call at a depth and its child calls; returns the retries left unused. */
static uint32_t run_call(chain_t *chain, uint32_t depth, uint32_t lent, bool *ok)
{
	const chain_case_t *c = chain->c;
	retry_count_t count = {lent};

	*ok = g_rand_double(chain->rand) >= c->failures;
	if (++chain->calls > CHAIN_CALLS_MAX)
		return 0;
	for (uint32_t i = 0; depth < c->depth && i < c->fan_out && *ok; i++) {
		bool child_ok;
		do {
			uint32_t child_lent = retry_count_lend(&count);
			uint32_t returned =
				run_call(chain, depth + 1, child_lent, &child_ok);
			if (g_rand_double(chain->rand) >= c->lost)
				retry_count_return(&count, child_lent, returned);
			if (child_ok)
				break;
			if (!retry_count_take(&count)) {
				*ok = false;
				break;
			}
			chain->retries++;
		} while (true);
	}
	return count.left;
}

/* A call chain makes at most the retries of its root, also if responses are lost. */
static void test_chain(void **state)
{
	const chain_case_t *c = *state;

	for (guint32 seed = 1; seed <= 200; seed++) {
		chain_t chain = {.c = c, .rand = g_rand_new_with_seed(seed)};
		bool ok;
		uint32_t returned = run_call(&chain, 0, c->retries, &ok);
		assert_true(chain.retries + returned <= c->retries);
		g_rand_free(chain.rand);
	}
}

static const chain_case_t chain_cases[] = {
	{"depth 29, one child", 3, 29, 1, 0.2, 0},
	{"depth 29, one child, responses lost", 10, 29, 1, 0.3, 0.2},
	{"depth 8, fan-out 3", 5, 8, 3, 0.05, 0.05},
	{"depth 29, fan-out 2, most calls fail", 10, 29, 2, 0.7, 0},
};

typedef struct ratio_case {
	const char *name;
	double ratio;
	int calls, low, high;
} ratio_case_t;

/* The retries of a service stay within a share of its calls. */
static void test_ratio(void **state)
{
	const ratio_case_t *c = *state;
	retry_budget_t budget = {0};
	int retries = 0;

	for (int i = 0; i < c->calls; i++) {
		retry_budget_deposit(&budget, c->ratio, RETRY_BUDGET_TOKENS_MAX);
		retries += retry_budget_withdraw(&budget);
	}
	assert_in_range(retries, c->low, c->high);
}

static const ratio_case_t ratio_cases[] = {
	{"a ratio of 0.1 allows retries of a tenth of the calls", 0.1, 1000, 90, 100},
	{"a ratio of 0 allows no retries", 0, 1000, 0, 0},
};

/* An instance whose node is silent gets no calls, not even as the last resort. */
static void test_silent(void **state)
{
	(void)state;
	router_t *router = router_create("a", 7);
	member_t member = make_member(0, "a", UP);
	router_request_t request = {.service = SERVICE,
				    .priority = priority_make(5, 100)};
	router_choice_t choice;

	assert_false(router_set_silent(router, member.address, true));
	router_update(router, &member, START);
	assert_true(router_set_silent(router, member.address, true));
	router_pick(router, &request, START, &choice);
	assert_int_equal(choice.reason, ROUTER_NO_INSTANCE);
	assert_int_equal(choice.skipped_silent, 1);
	assert_true(router_set_silent(router, member.address, false));
	router_pick(router, &request, START, &choice);
	assert_int_equal(choice.reason, ROUTER_OWN_ZONE);
	router_destroy(router);
}

static void append_call(void *ctx, const char *call_route, const char *service)
{
	GString *found = ctx;

	g_string_append_printf(found, "%s>%s ", call_route, service);
}

static void assert_route_calls(route_calls_t *route_calls, const char *route, usec_t now,
			       const char *expected)
{
	GString *found = g_string_new(NULL);

	route_calls_foreach(route_calls, route, now, append_call, found);
	assert_string_equal(found->str, expected);
	g_string_free(found, TRUE);
}

/* A call is attributed to a route only while no requests of other routes are in flight.
 */
static void test_route_calls(void **state)
{
	(void)state;
	route_calls_t *route_calls = route_calls_create();

	route_calls_record(route_calls, "c", "deep", START);
	route_calls_begin(route_calls, "upload");
	route_calls_begin(route_calls, "read");
	route_calls_record(route_calls, "c", "deep", START);
	assert_route_calls(route_calls, "upload", START, "");
	assert_route_calls(route_calls, "read", START, "");
	route_calls_end(route_calls, "upload");
	route_calls_begin(route_calls, "read");
	route_calls_record(route_calls, "c", "deep", START);
	assert_route_calls(route_calls, "read", START + 1, "c>deep ");
	assert_route_calls(route_calls, "upload", START + 1, "");
	assert_route_calls(route_calls, "read", START + ROUTE_CALLS_RETENTION_USEC, "");
	route_calls_destroy(route_calls);
}

typedef struct known_call_case {
	const char *name;
	bool known;	/* recorded while only requests of the route were in flight */
	bool in_flight; /* a request of the route stays in flight */
	const char *expected;
} known_call_case_t;

static void test_known_call_under_load(void **state)
{
	const known_call_case_t *c = *state;
	route_calls_t *route_calls = route_calls_create();

	route_calls_begin(route_calls, "read");
	if (c->known)
		route_calls_record(route_calls, "c", "deep", START);
	route_calls_begin(route_calls, "upload");
	route_calls_begin(route_calls, "other");
	if (!c->in_flight)
		route_calls_end(route_calls, "read");
	for (usec_t t = 0; t <= 2 * ROUTE_CALLS_RETENTION_USEC; t += USEC_PER_SEC)
		route_calls_record(route_calls, "c", "deep", START + t);
	assert_route_calls(route_calls, "read", START + 2 * ROUTE_CALLS_RETENTION_USEC,
			   c->expected);
	assert_route_calls(route_calls, "upload", START + 2 * ROUTE_CALLS_RETENTION_USEC,
			   "");
	route_calls_destroy(route_calls);
}

static const known_call_case_t known_call_cases[] = {
	{"a known call is kept while other routes are in flight", true, true, "c>deep "},
	{"a known call expires without requests of its route", true, false, ""},
	{"an unknown call is not attributed", false, true, ""},
};

typedef struct load_case {
	const char *name;
	const char *index_caller; /* the call "index" was observed for it; or NULL */
	const char *expected_read, *expected_book, *expected_upload;
} load_case_t;

typedef struct load_route {
	const char *route, *call, *service;
	int period_ms, offset_ms, duration_ms, call_ms;
} load_route_t;

/* The state after a restart under load: at all times requests of all routes are in
 * flight. */
static void test_calls_learned_under_load(void **state)
{
	static const load_route_t load[] = {
		{"read", "check", "ledger", 30, 0, 100, 20},
		{"read", "check", "ledger", 30, 15, 130, 60},
		{"book", "index", "plans", 170, 5, 180, 30},
		{"upload", NULL, NULL, 55, 10, 60, 0},
	};
	const load_case_t *c = *state;
	route_calls_t *calls = route_calls_create();

	if (c->index_caller) {
		route_calls_begin(calls, c->index_caller);
		route_calls_record(calls, "index", "plans", START);
		route_calls_end(calls, c->index_caller);
	}
	for (int ms = 0; ms < 6000; ms++) {
		usec_t now = START + ms * USEC_PER_MSEC;

		for (size_t i = 0; i < G_N_ELEMENTS(load); i++) {
			const load_route_t *r = &load[i];
			int at = ms - r->offset_ms;

			if (at >= 0 && at % r->period_ms == 0)
				route_calls_begin(calls, r->route);
			if (r->call && at >= r->call_ms &&
			    (at - r->call_ms) % r->period_ms == 0)
				route_calls_record(calls, r->call, r->service, now);
			if (at < r->duration_ms ||
			    (at - r->duration_ms) % r->period_ms != 0)
				continue;
			route_calls_completed(calls, r->route,
					      now - r->duration_ms * USEC_PER_MSEC, now);
			route_calls_end(calls, r->route);
		}
	}
	usec_t end = START + 6 * USEC_PER_SEC;
	assert_route_calls(calls, "read", end, c->expected_read);
	assert_route_calls(calls, "book", end, c->expected_book);
	assert_route_calls(calls, "upload", end, c->expected_upload);
	route_calls_destroy(calls);
}

static const load_case_t load_cases[] = {
	{"calls are inferred from completed requests", NULL, "check>ledger ",
	 "check>ledger index>plans ", "check>ledger "},
	{"a call observed for one route stays with it", "book", "check>ledger ",
	 "check>ledger index>plans ", "check>ledger "},
	{"a call observed for one route is not inferred for others", "other",
	 "check>ledger ", "check>ledger ", "check>ledger "},
};

/* The pressure of a service follows the reports, which lose their weight with age. */
static void test_service_pressure(void **state)
{
	(void)state;
	router_t *router = router_create("a", 7);
	router_report_t report = {.level = ALL, .limit = 10, .inflight = 10, .queued = 5};

	assert_true(router_service_pressure(router, SERVICE, START) == 0);
	for (int i = 0; i < 2; i++) {
		member_t member = make_member(i, "a", UP);
		router_update(router, &member, START);
	}
	router_done(router, "127.0.0.1:1000", ROUTER_ANSWERED, &report, START);
	report.inflight = 5;
	report.queued = 0;
	router_done(router, "127.0.0.1:1001", ROUTER_ANSWERED, &report, START);
	assert_true(router_service_pressure(router, SERVICE, START) == 1.0);
	assert_true(router_service_pressure(router, SERVICE,
					    START + ROUTER_REPORT_LIFETIME_USEC) == 0);
	router_destroy(router);
}

/* The pressure downstream of a route follows the responses and expires without them. */
static void test_downstream_pressure(void **state)
{
	(void)state;
	backpressure_t *backpressure = backpressure_create();

	for (int i = 0; i < 100; i++)
		backpressure_record_pressure(backpressure, "r", 1.5, START);
	double pressure = backpressure_pressure(backpressure, "r", START);
	assert_true(pressure > 1.4 && pressure <= 1.5);
	assert_true(backpressure_pressure(backpressure, "other", START) == 0);
	assert_true(backpressure_pressure(backpressure, "r", START + USEC_PER_SEC) == 0);
	backpressure_destroy(backpressure);
}

typedef struct response_rate_case {
	const char *name;
	usec_t interval; /* between responses */
} response_rate_case_t;

static void test_pressure_of_few_responses(void **state)
{
	const response_rate_case_t *c = *state;
	backpressure_t *backpressure = backpressure_create();
	usec_t now = START;

	for (; now < START + 10 * USEC_PER_SEC; now += c->interval) {
		backpressure_record_pressure(backpressure, "r", 2.0, now);
		double pressure =
			backpressure_pressure(backpressure, "r", now + c->interval - 1);
		if (now > START + 5 * USEC_PER_SEC)
			assert_true(pressure > 1.9 && pressure <= 2.0);
	}
	backpressure_destroy(backpressure);
}

static const response_rate_case_t response_rate_cases[] = {
	{"1000 responses per second", USEC_PER_SEC / 1000},
	{"100 responses per second", USEC_PER_SEC / 100},
	{"20 responses per second", USEC_PER_SEC / 20},
	{"4 responses per second", USEC_PER_SEC / 4},
};

/* From the start, the nodes together stay within the retry bound, for any number of them.
 */
static void test_shared_budget(void **state)
{
	(void)state;
	for (uint32_t nodes = 1; nodes <= 48; nodes++) {
		uint32_t retries = 0;
		double tokens_max = retry_budget_tokens_max(48, nodes);

		for (uint32_t i = 0; i < nodes; i++) {
			retry_budget_t budget = {.tokens = tokens_max};
			while (retry_budget_withdraw(&budget))
				retries++;
		}
		assert_true(retries >= 1 && retries <= 48);
	}
}

/* --- usual calls, missing share -------------------------------------------------- */

typedef struct usual_case {
	const char *name;
	int requests;
	int calls;
	bool usual;
} usual_case_t;

static const usual_case_t usual_cases[] = {
	{"nothing yet", 0, 0, false},
	{"no calls", 100, 0, false},
	{"calls of another process of the vm", 100, 5, false},
	{"a call for each request", 100, 100, true},
	{"a call for each second request, counts halved", 600, 300, true},
};

/* Guards against targets that get no resends since a client beside them looks like them.
 */
static void test_usual_calls(void **state)
{
	const usual_case_t *c = *state;
	route_calls_t *calls = route_calls_create();

	for (int i = 0; i < MAX(c->requests, c->calls); i++) {
		if (i < c->requests) {
			route_calls_begin(calls, "r");
			route_calls_end(calls, "r");
		}
		if (i < c->calls)
			route_calls_record(calls, "c", SERVICE, START);
	}
	assert_int_equal(route_calls_are_usual(calls), c->usual);
	route_calls_destroy(calls);
}

typedef struct missing_case {
	const char *name;
	double first, second;
	usec_t age;
	double expected;
} missing_case_t;

static const missing_case_t missing_cases[] = {
	{"the newest report counts", 0.8, 0.2, 0, 0.2},
	{"held", 0.8, 0.8, 300 * USEC_PER_MSEC, 0.8},
	{"fades", 0.8, 0.8, 650 * USEC_PER_MSEC, 0.4},
	{"gone", 0.8, 0.8, USEC_PER_SEC, 0},
	{"never reported", 0, 0, 0, 0},
};

/* Guards against a report that is smoothed at each hop, or that outlives its cause. */
static void test_missing(void **state)
{
	const missing_case_t *c = *state;
	backpressure_t *backpressure = backpressure_create();

	backpressure_record_missing(backpressure, "r", c->first, START);
	backpressure_record_missing(backpressure, "r", c->second, START);
	double found = backpressure_missing(backpressure, "r", START + c->age);
	assert_true(found > c->expected - 0.001 && found < c->expected + 0.001);
	backpressure_destroy(backpressure);
}

int main(void)
{
	const struct CMUnitTest single[] = {cmocka_unit_test(test_silent),
					    cmocka_unit_test(test_route_calls),
					    cmocka_unit_test(test_service_pressure),
					    cmocka_unit_test(test_downstream_pressure),
					    cmocka_unit_test(test_shared_budget)};
	int failed = RUN_CASES("router", pick_cases, test_pick);

	failed += cmocka_run_group_tests(single, NULL, NULL);

	failed += RUN_CASES("downstream_pressure_by_response_rate", response_rate_cases,
			    test_pressure_of_few_responses);
	failed += RUN_CASES("known_calls", known_call_cases, test_known_call_under_load);
	failed += RUN_CASES("learned_calls", load_cases, test_calls_learned_under_load);
	failed += RUN_CASES("idle", idle_cases, test_idle);
	failed += RUN_CASES("pick_again", again_cases, test_pick_again);
	failed += RUN_CASES("allows", allow_cases, test_allows) +
		  RUN_CASES("router_ramp", ramp_cases, test_ramp);
	failed += RUN_CASES("usual_calls", usual_cases, test_usual_calls);
	failed += RUN_CASES("missing", missing_cases, test_missing);
	failed += RUN_CASES("report_age", age_cases, test_report_age);
	failed += RUN_CASES("retry_chain", chain_cases, test_chain);
	failed += RUN_CASES("retry_ratio", ratio_cases, test_ratio);
	return failed;
}
