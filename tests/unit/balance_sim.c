#include "balance_sim.h"

#include "routing/speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)
#define WARM_UP (2 * USEC_PER_SEC)
#define DURATION (19 * USEC_PER_SEC) /* the warm-up and one period of the demand */
#define DEMAND_PERIOD (17 * USEC_PER_SEC)
#define EVENT_SPAN (2 * USEC_PER_SEC)
#define SILENT_SPAN (3 * USEC_PER_SEC)
#define WINDOWS ((int)(DURATION / (2 * USEC_PER_SEC)))

/* Calls that the gate lets run: 94 % of 24 slots. At no more than 0.95 of its slots no
 * instance slows down. */
#define SLOTS 22
#define QUEUE_FACTOR 2
#define REJECT_TIME (2 * USEC_PER_MSEC)
#define DELAY_LOCAL ((usec_t)200)
#define DELAY_ZONE ((usec_t)1400)
#define REROUTES 3
#define RETRIES 1
#define REJECTED_SHARE 0.45
#define BURST_FACTOR 2.5
#define BURST_EVERY (3 * USEC_PER_SEC) /* mean, for each instance */
#define BURST_SPAN (400 * USEC_PER_MSEC)

typedef struct sim_call {
	int caller, instance;
	usec_t arrived, started, duration;
	int reroutes, retries;
	bool refused, failed, lost;
	router_request_t request;
	router_report_t report;
	struct sim_call *next; /* in the instance's queue */
} sim_call_t;

typedef enum step {
	STEP_ARRIVAL,
	STEP_INSTANCE,
	STEP_END,
	STEP_REPLY
} step_t;

typedef struct sim_step {
	usec_t at;
	uint64_t number; /* order of steps at the same time */
	step_t step;
	int zone;
	sim_call_t *call;
} sim_step_t;

typedef struct sim_instance {
	member_t member;
	int zone;
	double speed;
	uint32_t running, queued;
	sim_call_t *first, *last; /* queue */
	usec_t burst_end, next_burst;
	double busy;
	speed_meter_t meter;
} sim_instance_t;

typedef struct sim {
	const sim_setup_t *setup;
	GRand *rand;
	GArray *heap; /* of sim_step_t */
	uint64_t steps;
	sim_instance_t *instances;
	int instance_count;
	router_t **routers;
	int *caller_zone;
	int caller_count;
	double zone_rate[SIM_ZONES]; /* calls per microsecond */
	usec_t now;
	GArray *times; /* of double, milliseconds */
	uint32_t windows[WINDOWS];
	uint64_t calls, failed, sends, other_zone, rejected;
	double busiest_event;
	struct sim_share before, lost, back, after;
} sim_t;

static bool step_before(const sim_step_t *a, const sim_step_t *b)
{
	return a->at != b->at ? a->at < b->at : a->number < b->number;
}

static sim_step_t *step_at(sim_t *sim, guint i)
{
	return &g_array_index(sim->heap, sim_step_t, i);
}

static void swap_steps(sim_t *sim, guint a, guint b)
{
	sim_step_t step = *step_at(sim, a);

	*step_at(sim, a) = *step_at(sim, b);
	*step_at(sim, b) = step;
}

static void push(sim_t *sim, usec_t at, step_t step, int zone, sim_call_t *call)
{
	sim_step_t new = {at, sim->steps++, step, zone, call};
	guint i = sim->heap->len;

	g_array_append_val(sim->heap, new);
	for (; i > 0 && step_before(step_at(sim, i), step_at(sim, (i - 1) / 2));
	     i = (i - 1) / 2)
		swap_steps(sim, i, (i - 1) / 2);
}

static sim_step_t pop(sim_t *sim)
{
	sim_step_t top = *step_at(sim, 0);
	guint i = 0;

	swap_steps(sim, 0, sim->heap->len - 1);
	g_array_set_size(sim->heap, sim->heap->len - 1);
	for (;;) {
		guint least = i;
		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < sim->heap->len &&
			    step_before(step_at(sim, child), step_at(sim, least)))
				least = child;
		}
		if (least == i)
			return top;
		swap_steps(sim, i, least);
		i = least;
	}
}

static usec_t exponential(sim_t *sim, double mean)
{
	return (usec_t)(-mean * log(1.0 - g_rand_double(sim->rand)));
}

static double slowness(sim_t *sim, sim_instance_t *instance)
{
	double factor = instance->speed;

	if (sim->setup->bursts && sim->now >= instance->next_burst) {
		instance->burst_end = sim->now + BURST_SPAN;
		instance->next_burst =
			instance->burst_end + exponential(sim, (double)BURST_EVERY);
	}
	if (sim->now < instance->burst_end)
		factor *= BURST_FACTOR;
	if (sim->setup->event == SIM_RECOVERS && instance == sim->instances &&
	    sim->now < START + SIM_EVENT_USEC)
		factor *= BURST_FACTOR;
	return factor;
}

static usec_t delay(const sim_t *sim, const sim_call_t *call)
{
	return sim->caller_zone[call->caller] == sim->instances[call->instance].zone
		       ? DELAY_LOCAL
		       : DELAY_ZONE;
}

/* Whether no frame passes between the caller's node and the instance. */
static bool is_cut(const sim_t *sim, const sim_call_t *call)
{
	usec_t since = sim->now - START - SIM_EVENT_USEC;

	if (call->instance != 0 || since < 0)
		return false;
	return sim->setup->event == SIM_DIES ||
	       (sim->setup->event == SIM_CUT && call->caller == 0 &&
		since < SIM_EVENT_SPAN_USEC);
}

/* The caller's node learns of it when the instance is silent. */
static void lose(sim_t *sim, sim_call_t *call)
{
	usec_t silent = START + SIM_EVENT_USEC + SIM_SILENT_AFTER_USEC;

	call->lost = true;
	push(sim, MAX(sim->now, silent), STEP_REPLY, 0, call);
}

static void run(sim_t *sim, sim_instance_t *instance, sim_call_t *call)
{
	double work = (double)sim->setup->work * (0.7 + 0.6 * g_rand_double(sim->rand));

	call->started = sim->now;
	call->duration = (usec_t)(work * slowness(sim, instance));
	if (instance == sim->instances &&
	    (sim->setup->event == SIM_REJECTS || sim->setup->event == SIM_FAILS)) {
		call->failed = g_rand_double(sim->rand) < REJECTED_SHARE;
		if (call->failed)
			call->duration = REJECT_TIME;
		sim->rejected += call->failed;
	}
	instance->running++;
	instance->busy += (double)call->duration;
	push(sim, sim->now + call->duration, STEP_END, 0, call);
}

static void reply(sim_t *sim, sim_call_t *call)
{
	const sim_instance_t *instance = &sim->instances[call->instance];

	if (is_cut(sim, call)) {
		lose(sim, call);
		return;
	}
	call->report = (router_report_t){
		.level = PRIORITY_LEVEL_ALL,
		.limit = SLOTS,
		.inflight = instance->running,
		.queued = instance->queued,
		.response_time_usec = speed_meter_value(&instance->meter),
		.failed = call->failed,
	};
	push(sim, sim->now + delay(sim, call), STEP_REPLY, 0, call);
}

static void handle_instance(sim_t *sim, sim_call_t *call)
{
	sim_instance_t *instance = &sim->instances[call->instance];
	usec_t event = START + SIM_EVENT_USEC;

	call->refused = false;
	call->failed = false;
	call->lost = false;
	call->next = NULL;
	if (is_cut(sim, call)) {
		lose(sim, call);
		return;
	}
	if (instance->running < SLOTS) {
		run(sim, instance, call);
	} else if (instance->queued < QUEUE_FACTOR * SLOTS) {
		if (instance->queued++ > 0)
			instance->last->next = call;
		else
			instance->first = call;
		instance->last = call;
	} else {
		call->refused = true;
		reply(sim, call);
	}
	double load = (instance->running + (double)instance->queued) / SLOTS;
	if (call->instance == 0 && sim->now >= event && sim->now < event + EVENT_SPAN)
		sim->busiest_event = MAX(sim->busiest_event, load);
}

static void handle_end(sim_t *sim, sim_call_t *call)
{
	sim_instance_t *instance = &sim->instances[call->instance];

	instance->running--;
	if (!call->failed)
		speed_meter_record(&instance->meter, sim->now - call->started, sim->now);
	if (instance->queued > 0) {
		sim_call_t *next = instance->first;
		instance->first = next->next;
		instance->queued--;
		run(sim, instance, next);
	}
	reply(sim, call);
}

static void end_call(sim_t *sim, sim_call_t *call, bool ok)
{
	usec_t since = sim->now - START - WARM_UP;
	double time = (double)(sim->now - call->arrived) / USEC_PER_MSEC;

	if (since >= 0) {
		sim->calls++;
		sim->failed += !ok;
		if (ok)
			g_array_append_val(sim->times, time);
		if (ok && since / (2 * USEC_PER_SEC) < WINDOWS)
			sim->windows[since / (2 * USEC_PER_SEC)]++;
	}
	g_free(call);
}

static void count_share(struct sim_share *share, const sim_call_t *call)
{
	share->sends++;
	share->first += call->instance == 0;
}

static void count_shares(sim_t *sim, const sim_call_t *call)
{
	usec_t since = sim->now - START - SIM_EVENT_USEC;
	usec_t back = since - SIM_EVENT_SPAN_USEC;

	if (sim->caller_zone[call->caller] != 0 ||
	    sim->instances[call->instance].zone != 0)
		return;
	if (since >= -EVENT_SPAN && since < 0)
		count_share(&sim->before, call);
	if (since >= 0 && since < SIM_SILENT_AFTER_USEC)
		count_share(&sim->lost, call);
	if (back >= 0 && back < SIM_BACK_USEC)
		count_share(&sim->back, call);
	if (back >= USEC_PER_SEC && back < 4 * USEC_PER_SEC)
		count_share(&sim->after, call);
}

static void send_call(sim_t *sim, sim_call_t *call)
{
	router_choice_t choice;

	router_pick(sim->routers[call->caller], &call->request, sim->now, &choice);
	if (!choice.address[0]) {
		end_call(sim, call, false);
		return;
	}
	call->instance = atoi(strchr(choice.address, ':') + 1) - 1000;
	sim->sends++;
	count_shares(sim, call);
	sim->other_zone +=
		sim->instances[call->instance].zone != sim->caller_zone[call->caller];
	push(sim, sim->now + delay(sim, call), STEP_INSTANCE, 0, call);
}

static void handle_reply(sim_t *sim, sim_call_t *call)
{
	const char *address = sim->instances[call->instance].member.address;
	bool is_error = call->failed && sim->setup->event == SIM_FAILS;
	int *repeats = call->refused ? &call->reroutes : &call->retries;

	router_done(sim->routers[call->caller], address,
		    call->lost					   ? ROUTER_FAILED
		    : call->refused || (call->failed && !is_error) ? ROUTER_REFUSED
								   : ROUTER_ANSWERED,
		    call->lost ? NULL : &call->report, sim->now);
	if (!call->lost && !call->refused && (!call->failed || is_error)) {
		end_call(sim, call, !is_error);
		return;
	}
	if ((*repeats)++ >= (call->refused ? REROUTES : RETRIES)) {
		end_call(sim, call, false);
		return;
	}
	g_strlcpy(call->request.excluded[call->request.excluded_count++], address,
		  ADDRESS_TEXT_BYTES);
	send_call(sim, call);
}

static void handle_arrival(sim_t *sim, int zone)
{
	sim_call_t *call = g_new0(sim_call_t, 1);
	int first = 0;

	for (int z = 0; z < zone; z++)
		first += (int)sim->setup->callers[z];
	call->caller =
		first + g_rand_int_range(sim->rand, 0, (gint32)sim->setup->callers[zone]);
	call->arrived = sim->now;
	call->request.service = "s";
	send_call(sim, call);
}

/* Arrivals are a Poisson process, thinned by the demand of the moment. */
static void schedule_arrival(sim_t *sim, int zone)
{
	double peak = sim->zone_rate[zone] * (1.0 + sim->setup->variation);
	usec_t at = sim->now;
	usec_t pause = START + SIM_EVENT_USEC;

	if (peak <= 0)
		return;
	for (;;) {
		at += exponential(sim, 1.0 / peak);
		if (sim->setup->event == SIM_PAUSES && at >= pause &&
		    at < pause + SIM_EVENT_SPAN_USEC)
			at += SIM_EVENT_SPAN_USEC;
		double phase = 2 * G_PI *
			       ((double)(at - START) / (double)DEMAND_PERIOD +
				(double)zone / SIM_ZONES);
		double rate =
			sim->zone_rate[zone] * (1.0 + sim->setup->variation * sin(phase));
		if (g_rand_double(sim->rand) * peak < rate)
			break;
	}
	if (at < START + DURATION)
		push(sim, at, STEP_ARRIVAL, zone, NULL);
}

static void set_known(sim_t *sim, usec_t from, usec_t until)
{
	sim_event_t event = sim->setup->event;
	usec_t at = START + SIM_EVENT_USEC;

	for (int i = 0; i < sim->caller_count; i++) {
		router_t *router = sim->routers[i];
		member_t *member = &sim->instances[0].member;
		if (event == SIM_JOINS && from < at && until >= at)
			router_update(router, member, until);
		if ((event == SIM_DIES || (event == SIM_CUT && i == 0)) &&
		    from < at + SIM_SILENT_AFTER_USEC &&
		    until >= at + SIM_SILENT_AFTER_USEC)
			router_set_silent(router, member->address, true);
		if (event == SIM_CUT && from < at + SIM_EVENT_SPAN_USEC &&
		    until >= at + SIM_EVENT_SPAN_USEC)
			router_set_silent(router, member->address, false);
		if (event != SIM_RETURNS)
			continue;
		if (from < at - SILENT_SPAN && until >= at - SILENT_SPAN)
			router_set_silent(router, member->address, true);
		if (from < at && until >= at)
			router_set_silent(router, member->address, false);
	}
}

static void create_instances(sim_t *sim)
{
	const sim_setup_t *setup = sim->setup;

	for (int z = 0; z < SIM_ZONES; z++)
		sim->instance_count += (int)setup->instances[z];
	sim->instances = g_new0(sim_instance_t, sim->instance_count);
	for (int i = 0, z = 0, of_zone = 0; i < sim->instance_count; i++, of_zone++) {
		sim_instance_t *instance = &sim->instances[i];
		if (of_zone == (int)setup->instances[z]) {
			z++;
			of_zone = 0;
		}
		instance->zone = z;
		instance->speed = setup->speeds[i % 3];
		instance->next_burst = START + exponential(sim, (double)BURST_EVERY);
		instance->member = (member_t){.node_id = (uint64_t)i + 1,
					      .slots = SLOTS,
					      .cold_slots = SLOTS,
					      .target = EGRET__TARGET_STATE__TARGET_UP,
					      .ready = true};
		g_snprintf(instance->member.address, ADDRESS_TEXT_BYTES, "127.0.0.1:%d",
			   1000 + i);
		g_snprintf(instance->member.zone, MEMBER_TEXT_BYTES, "%c", 'a' + z);
		g_strlcpy(instance->member.service, "s", MEMBER_TEXT_BYTES);
	}
}

static void create_callers(sim_t *sim, router_balance_t balance)
{
	const sim_setup_t *setup = sim->setup;

	for (int z = 0; z < SIM_ZONES; z++)
		sim->caller_count += (int)setup->callers[z];
	sim->routers = g_new0(router_t *, sim->caller_count);
	sim->caller_zone = g_new0(int, sim->caller_count);
	for (int i = 0, z = 0, of_zone = 0; i < sim->caller_count; i++, of_zone++) {
		char zone[2] = {0};
		while (of_zone == (int)setup->callers[z]) {
			z++;
			of_zone = 0;
		}
		zone[0] = (char)('a' + z);
		sim->caller_zone[i] = z;
		sim->routers[i] = router_create(zone, g_rand_int(sim->rand));
		router_set_balance(sim->routers[i], balance);
		for (int k = 0; k < sim->instance_count; k++) {
			if (k > 0 || setup->event != SIM_JOINS)
				router_update(sim->routers[i], &sim->instances[k].member,
					      START);
		}
	}
}

static void set_rates(sim_t *sim)
{
	double capacity = 0;

	for (int i = 0; i < sim->instance_count; i++)
		capacity += SLOTS / ((double)sim->setup->work * sim->instances[i].speed);
	for (int z = 0; z < SIM_ZONES; z++)
		sim->zone_rate[z] = capacity * sim->setup->load * sim->setup->callers[z] /
				    sim->caller_count;
}

static int compare_times(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void summarize(sim_t *sim, sim_result_t *out)
{
	double *times = (double *)(void *)sim->times->data;
	double sum = 0;
	double busy_sum = 0;
	double busy_max = 0;
	uint32_t worst = UINT32_MAX;
	uint32_t windows_sum = 0;

	qsort(times, sim->times->len, sizeof(*times), compare_times);
	for (guint i = 0; i < sim->times->len; i++)
		sum += times[i];
	for (int i = 0; i < sim->instance_count; i++) {
		busy_sum += sim->instances[i].busy;
		busy_max = MAX(busy_max, sim->instances[i].busy);
	}
	for (int i = 0; i < WINDOWS - 1; i++) {
		worst = MIN(worst, sim->windows[i]);
		windows_sum += sim->windows[i];
	}
	*out = (sim_result_t){
		.mean_ms = sum / sim->times->len,
		.p99_ms = times[(guint)(0.99 * sim->times->len)],
		.busiest = busy_max * sim->instance_count / busy_sum,
		.worst = worst * (WINDOWS - 1.0) / windows_sum,
		.other_zone = (double)sim->other_zone / (double)sim->sends,
		.rejected = (double)sim->rejected / (double)sim->sends,
		.failed = (double)sim->failed / (double)sim->calls,
		.busiest_event = sim->busiest_event,
		.before = sim->before,
		.lost = sim->lost,
		.back = sim->back,
		.after = sim->after,
	};
}

static void handle_step(sim_t *sim, const sim_step_t *step)
{
	switch (step->step) {
	case STEP_ARRIVAL:
		handle_arrival(sim, step->zone);
		schedule_arrival(sim, step->zone);
		break;
	case STEP_INSTANCE:
		handle_instance(sim, step->call);
		break;
	case STEP_END:
		handle_end(sim, step->call);
		break;
	case STEP_REPLY:
		handle_reply(sim, step->call);
		break;
	}
}

void sim_run(const sim_setup_t *setup, router_balance_t balance, guint32 seed,
	     sim_result_t *out)
{
	sim_t sim = {.setup = setup, .rand = g_rand_new_with_seed(seed), .now = START};

	sim.heap = g_array_new(FALSE, FALSE, sizeof(sim_step_t));
	sim.times = g_array_new(FALSE, FALSE, sizeof(double));
	create_instances(&sim);
	create_callers(&sim, balance);
	set_rates(&sim);
	for (int z = 0; z < SIM_ZONES; z++)
		schedule_arrival(&sim, z);
	while (sim.heap->len > 0) {
		sim_step_t step = pop(&sim);
		set_known(&sim, sim.now, step.at);
		sim.now = step.at;
		handle_step(&sim, &step);
	}
	summarize(&sim, out);
	for (int i = 0; i < sim.caller_count; i++)
		router_destroy(sim.routers[i]);
	g_free(sim.routers);
	g_free(sim.caller_zone);
	g_free(sim.instances);
	g_array_free(sim.heap, TRUE);
	g_array_free(sim.times, TRUE);
	g_rand_free(sim.rand);
}
