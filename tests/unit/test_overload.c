/* Simulation of entry nodes, two layers of services and a deep service under load, in
 * virtual time: entry -> front -> middle -> calls to the deep service, one after the
 * other. A request completes if all its calls do. */
#include "case.h"

#include "admission/gate.h"
#include "admission/pressure.h"
#include "routing/backpressure.h"
#include "routing/router.h"

#include <glib.h>
#include <math.h>

#define START (1000 * USEC_PER_SEC)
#define WARM_UP (4 * USEC_PER_SEC)
#define END (START + 14 * USEC_PER_SEC)
#define ROUTE "r"
#define DEEP "deep"
#define IMPORTANCE 7
#define CALLS_PER_REQUEST 4
#define SLOTS 27
#define CALL_USEC (15 * USEC_PER_MSEC)
#define HOP_USEC (USEC_PER_MSEC)
#define UPPER_SERVICE_USEC (30 * USEC_PER_MSEC)
#define DEADLINE USEC_PER_SEC
#define NODES_MAX 64
#define SEEDS 3

typedef struct overload_case {
	const char *name;
	double demand; /* divided by the capacity of the deep service */
	int entries, uppers, instances;
	/* Completed requests divided by those that demand and capacity allow. */
	double goodput_min;
	/* Failed requests divided by admitted ones. */
	double failed_max;
} overload_case_t;

typedef struct sim sim_t;

typedef struct sim_request {
	sim_t *sim;
	int entry, front, middle;
	int calls_left;
	usec_t arrived;
	gate_ticket_t ticket;
	router_choice_t choice;
	router_request_t route;
} sim_request_t;

typedef void (*sim_event_fn)(sim_request_t *request);

typedef struct sim_event {
	usec_t at;
	uint64_t number;
	sim_event_fn fn;
	sim_request_t *request;
} sim_event_t;

struct sim {
	const overload_case_t *c;
	GRand *rand;
	usec_t now;
	GSequence *events;
	uint64_t event_count;
	GHashTable *requests; /* set of sim_request_t that have not ended */
	backpressure_t *entries[NODES_MAX];
	pressure_admission_t *admissions[NODES_MAX];
	backpressure_t *fronts[NODES_MAX];
	router_t *middles[NODES_MAX];
	gate_t *gates[NODES_MAX];
	uint32_t admitted, completed, failed;
};

static int compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	const sim_event_t *left = a;
	const sim_event_t *right = b;

	if (left->at != right->at)
		return left->at < right->at ? -1 : 1;
	return left->number < right->number ? -1 : 1;
}

static sim_request_t *create_request(sim_t *sim)
{
	sim_request_t *request = g_new0(sim_request_t, 1);

	request->sim = sim;
	g_hash_table_add(sim->requests, request);
	return request;
}

static void schedule(sim_request_t *request, usec_t delay, sim_event_fn fn)
{
	sim_t *sim = request->sim;
	sim_event_t *event = g_new0(sim_event_t, 1);

	event->at = sim->now + delay;
	event->number = sim->event_count++;
	event->fn = fn;
	event->request = request;
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

static usec_t random_time(sim_t *sim, usec_t mean)
{
	return (usec_t)(-log(1 - g_rand_double(sim->rand)) * (double)mean);
}

/* Requests per second that the deep service can complete. */
static double capacity(const overload_case_t *c)
{
	return c->instances * floor(SLOTS * 0.94) * USEC_PER_SEC /
	       (CALL_USEC + HOP_USEC) / CALLS_PER_REQUEST;
}

static bool is_measured(const sim_t *sim)
{
	return sim->now >= START + WARM_UP;
}

static int instance_of(const sim_request_t *request)
{
	return (int)strtol(strchr(request->choice.address, ':') + 1, NULL, 10) - 1000;
}

static double middle_pressure(const sim_request_t *request)
{
	return router_service_pressure(request->sim->middles[request->middle], DEEP,
				       request->sim->now);
}

static void end_request(sim_request_t *request, bool completed)
{
	sim_t *sim = request->sim;

	backpressure_record_pressure(sim->fronts[request->front], ROUTE,
				     middle_pressure(request), sim->now);
	backpressure_record_pressure(
		sim->entries[request->entry], ROUTE,
		backpressure_pressure(sim->fronts[request->front], ROUTE, sim->now),
		sim->now);
	if (is_measured(sim)) {
		sim->completed += completed;
		sim->failed += !completed;
	}
	g_hash_table_remove(sim->requests, request);
}

static void start_call(sim_request_t *request);
static void handle_call_done(sim_request_t *request);

static void end_attempt(sim_request_t *request, router_outcome_t outcome)
{
	sim_t *sim = request->sim;
	gate_load_t load;

	gate_load(sim->gates[instance_of(request)], sim->now, &load);
	router_report_t report = {.level = load.level,
				  .limit = load.limit,
				  .inflight = load.inflight,
				  .queued = load.queued};
	router_done(sim->middles[request->middle], request->choice.address, outcome,
		    &report, sim->now);
}

static void handle_verdict(sim_request_t *request, gate_verdict_t verdict)
{
	if (verdict == GATE_WAIT)
		return;
	if (verdict == GATE_RUN) {
		schedule(request, HOP_USEC + random_time(request->sim, CALL_USEC),
			 handle_call_done);
		return;
	}
	end_attempt(request, ROUTER_REFUSED);
	if (verdict == GATE_EXPIRED) {
		end_request(request, false);
		return;
	}
	g_strlcpy(request->route.excluded[request->route.excluded_count++],
		  request->choice.address, ADDRESS_TEXT_BYTES);
	start_call(request);
}

static void run_gate(sim_t *sim, int i)
{
	gate_ticket_t *ticket;
	gate_verdict_t verdict;

	while ((ticket = gate_next(sim->gates[i], sim->now, &verdict)))
		handle_verdict(ticket->ctx, verdict);
}

static void handle_call_arrival(sim_request_t *request)
{
	sim_t *sim = request->sim;
	int i = instance_of(request);

	request->ticket.deadline = request->arrived + DEADLINE;
	request->ticket.ctx = request;
	gate_verdict_t verdict = gate_request(sim->gates[i], &request->ticket, sim->now);
	run_gate(sim, i);
	handle_verdict(request, verdict);
}

static void start_call(sim_request_t *request)
{
	sim_t *sim = request->sim;

	router_pick(sim->middles[request->middle], &request->route, sim->now,
		    &request->choice);
	if (!request->choice.address[0]) {
		end_request(request, false);
		return;
	}
	schedule(request, HOP_USEC, handle_call_arrival);
}

static void handle_call_done(sim_request_t *request)
{
	sim_t *sim = request->sim;
	int i = instance_of(request);

	gate_done(sim->gates[i], &request->ticket, sim->now, CALL_USEC, LIMIT_SUCCESS);
	end_attempt(request, ROUTER_ANSWERED);
	run_gate(sim, i);
	if (--request->calls_left == 0) {
		end_request(request, true);
		return;
	}
	request->route.excluded_count = 0;
	start_call(request);
}

static void handle_arrival(sim_request_t *request)
{
	sim_t *sim = request->sim;
	static const importance_range_t range = {.lowest = 5, .highest = 9};
	sim_request_t *next = create_request(sim);
	double pressure =
		backpressure_pressure(sim->entries[request->entry], ROUTE, sim->now);

	next->entry = g_rand_int_range(sim->rand, 0, sim->c->entries);
	schedule(next,
		 random_time(sim,
			     (usec_t)(USEC_PER_SEC / capacity(sim->c) / sim->c->demand)),
		 handle_arrival);
	double share = pressure_admitted_share(sim->admissions[request->entry], ROUTE,
					       IMPORTANCE, &range, pressure, sim->now);
	if (g_rand_double(sim->rand) >= share) {
		g_hash_table_remove(sim->requests, request);
		return;
	}
	sim->admitted += is_measured(sim);
	request->arrived = sim->now;
	request->front = g_rand_int_range(sim->rand, 0, sim->c->uppers);
	request->middle = g_rand_int_range(sim->rand, 0, sim->c->uppers);
	request->calls_left = CALLS_PER_REQUEST;
	request->route.service = DEEP;
	schedule(request, random_time(sim, UPPER_SERVICE_USEC), start_call);
}

static void create_nodes(sim_t *sim)
{
	for (int i = 0; i < sim->c->entries; i++) {
		sim->entries[i] = backpressure_create();
		sim->admissions[i] = pressure_admission_create();
	}
	for (int i = 0; i < sim->c->instances; i++) {
		sim->gates[i] = gate_create(LIMIT_SLOTS);
		gate_open(sim->gates[i], START, SLOTS, SLOTS, 0, true);
	}
	for (int i = 0; i < sim->c->uppers; i++) {
		sim->fronts[i] = backpressure_create();
		sim->middles[i] = router_create("a", (uint64_t)i + 1);
		for (int n = 0; n < sim->c->instances; n++) {
			member_t member = {.node_id = (uint64_t)n + 1,
					   .slots = SLOTS,
					   .cold_slots = SLOTS,
					   .target = EGRET__TARGET_STATE__TARGET_UP,
					   .ready = true};
			g_snprintf(member.address, sizeof(member.address), "127.0.0.1:%d",
				   1000 + n);
			g_strlcpy(member.zone, "a", sizeof(member.zone));
			g_strlcpy(member.service, DEEP, sizeof(member.service));
			router_update(sim->middles[i], &member, START);
		}
	}
}

static void destroy_nodes(sim_t *sim)
{
	for (int i = 0; i < NODES_MAX; i++) {
		backpressure_destroy(sim->entries[i]);
		pressure_admission_destroy(sim->admissions[i]);
		backpressure_destroy(sim->fronts[i]);
		router_destroy(sim->middles[i]);
		gate_destroy(sim->gates[i]);
	}
}

static void run_events(sim_t *sim)
{
	while (sim->now < END) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		sim_event_t event = *(sim_event_t *)g_sequence_get(first);

		g_sequence_remove(first);
		sim->now = event.at;
		event.fn(event.request);
	}
}

static void run_case(const overload_case_t *c, guint32 seed)
{
	sim_t sim = {.c = c, .now = START, .rand = g_rand_new_with_seed(seed)};

	sim.events = g_sequence_new(g_free);
	sim.requests = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	create_nodes(&sim);
	schedule(create_request(&sim), 0, handle_arrival);
	run_events(&sim);
	double seconds = (double)(END - START - WARM_UP) / USEC_PER_SEC;
	double goodput = sim.completed / seconds / (capacity(c) * MIN(c->demand, 1.0));
	double failed = (double)sim.failed / MAX(sim.admitted, 1);
	destroy_nodes(&sim);
	g_sequence_free(sim.events);
	g_hash_table_destroy(sim.requests);
	g_rand_free(sim.rand);
	assert_true(goodput >= c->goodput_min);
	assert_true(failed <= c->failed_max);
}

/* While demand exceeds the deep service's capacity, the service is used and nearly all
 * admitted requests complete, whatever the number of nodes. */
static void test_overload(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++)
		run_case(*state, seed);
}

static const overload_case_t overload_cases[] = {
	{"demand 0.8, 13 entry nodes", 0.8, 13, 3, 3, 0.95, 0.05},
	{"demand 0.95, 13 entry nodes", 0.95, 13, 3, 3, 0.9, 0.05},
	{"demand 1.3, 13 entry nodes", 1.3, 13, 3, 3, 0.85, 0.1},
	{"demand 2, 13 entry nodes", 2, 13, 3, 3, 0.85, 0.1},
	{"demand 4, 13 entry nodes", 4, 13, 3, 3, 0.85, 0.1},
	{"demand 1.3, 13 entry nodes, 1 instance", 1.3, 13, 3, 1, 0.85, 0.1},
	{"demand 2, 13 entry nodes, 1 instance", 2, 13, 3, 1, 0.85, 0.1},
	{"demand 4, 13 entry nodes, 1 instance", 4, 13, 3, 1, 0.85, 0.1},
	{"demand 2, 64 entry nodes", 2, 64, 16, 5, 0.85, 0.1},
	{"demand 2, 64 entry nodes, 1 instance", 2, 64, 16, 1, 0.85, 0.1},
};

int main(void)
{
	return RUN_CASES("overload", overload_cases, test_overload);
}
