#include "rollout_sim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STEP (5 * USEC_PER_MSEC)
#define START (100 * USEC_PER_SEC)
#define REPORT_PERIOD (250 * USEC_PER_MSEC)
#define WORK (80 * USEC_PER_MSEC)
#define SHARE 0.1
#define ROLLBACK (5 * USEC_PER_SEC)
#define SERVICE "service"
#define NODES_MAX 64
#define INSTANCES_MAX 128

typedef struct sim_instance {
	char address[ADDRESS_TEXT_BYTES];
	int zone;
	bool is_new;
	double speed;
	int inflight;
	uint64_t crashes;
} sim_instance_t;

typedef struct sim_node {
	rollout_t *rollout;
	uint64_t process;
	int zone;
	usec_t next_at;
} sim_node_t;

typedef struct sim_request {
	int node;
	uint64_t process;
	int instance;
	uint64_t crashes; /* of the instance before the request */
	int route;
	usec_t sent_at;
	bool bad;
	bool failed;
	bool cold;
} sim_request_t;

typedef struct sim {
	const sim_options_t *options;
	GRand *rand;
	sim_node_t nodes[NODES_MAX];
	int node_count;
	sim_instance_t instances[INSTANCES_MAX];
	int instance_count;
	GPtrArray **calendar; /* requests by the step in which they end */
	size_t steps;
	uint64_t order_id;
	bool withdrawn;
	sim_result_t *result;
} sim_t;

static const char *const zone_names[SIM_ZONES] = {"a", "b", "c"};
static const char *const route_names[] = {"read", "write"};

static bool draw(sim_t *sim, double share)
{
	return g_rand_double(sim->rand) < share;
}

static void start_node(sim_t *sim, sim_node_t *node, usec_t now)
{
	rollout_order_t order = {
		.service = SERVICE,
		.to = "v2",
		.duration = sim->options->duration,
		.id = sim->order_id,
	};

	rollout_destroy(node->rollout);
	node->process = (uint64_t)g_rand_int(sim->rand) << 32 | g_rand_int(sim->rand);
	node->rollout = rollout_create(sim->options->ignore_share ? 10 : SHARE, ROLLBACK,
				       node->process);
	if (sim->withdrawn)
		return;
	rollout_set_order(node->rollout, &order, now);
	rollout_set_available(node->rollout, SERVICE, true);
	if (now == START || sim->options->ignore_restart)
		rollout_allow(node->rollout, SERVICE);
}

static void create_instances(sim_t *sim)
{
	const sim_options_t *options = sim->options;

	sim->instance_count = 2 * SIM_ZONES * options->instances_per_zone;
	for (int i = 0; i < sim->instance_count; i++) {
		sim_instance_t *instance = &sim->instances[i];
		g_snprintf(instance->address, sizeof(instance->address), "10.0.0.%d:80",
			   i + 1);
		instance->is_new = i % 2;
		instance->zone = i / 2 % SIM_ZONES;
		instance->speed = g_rand_double_range(sim->rand, 1 - options->speed_span,
						      1 + options->speed_span + 1e-9);
	}
}

/* Whether two nodes can exchange messages. */
static bool has_link(const sim_t *sim, const sim_node_t *a, const sim_node_t *b,
		     usec_t since)
{
	bool cut = since >= sim->options->cut_from && since < sim->options->cut_until;

	return !cut || (a->zone == 0) == (b->zone == 0);
}

static bool is_usable(const sim_t *sim, const sim_node_t *node, int i, usec_t since)
{
	const sim_node_t other = {.zone = sim->instances[i].zone};

	return has_link(sim, node, &other, since);
}

static int pick(sim_t *sim, const sim_node_t *node, rollout_choice_t choice, usec_t now)
{
	rollout_instance_t new_instances[INSTANCES_MAX] = {0};
	bool used[INSTANCES_MAX] = {false};
	int found[INSTANCES_MAX];
	int count = 0;

	for (int i = 0; i < sim->instance_count; i++) {
		const sim_instance_t *instance = &sim->instances[i];

		if (!is_usable(sim, node, i, now - START) ||
		    (choice != ROLLOUT_ANY &&
		     instance->is_new != (choice == ROLLOUT_NEW)))
			continue;
		new_instances[count] = (rollout_instance_t){instance->address,
							    zone_names[instance->zone]};
		found[count++] = i;
	}
	if (choice == ROLLOUT_NEW) {
		int all = count;
		count = 0;
		rollout_select(node->rollout, SERVICE, new_instances, (uint32_t)all, now,
			       used);
		for (int i = 0; i < all; i++) {
			if (used[i])
				found[count++] = found[i];
		}
	}
	if (count == 0)
		return -1;
	int a = found[g_rand_int_range(sim->rand, 0, count)];
	int b = found[g_rand_int_range(sim->rand, 0, count)];
	return sim->instances[a].inflight <= sim->instances[b].inflight ? a : b;
}

/* The usual number of requests in flight at an instance. */
static double usual_load(const sim_t *sim)
{
	return sim->options->rate * sim->node_count * (double)WORK / USEC_PER_SEC /
	       (sim->instance_count / 2.0);
}

static bool is_bad(sim_t *sim, const sim_request_t *request, double share)
{
	const sim_options_t *options = sim->options;
	const sim_instance_t *instance = &sim->instances[request->instance];

	return instance->is_new && request->sent_at - START >= options->bad_from &&
	       (options->bad_route == 0 || options->bad_route == request->route + 1) &&
	       (!options->bad_under_load ||
		instance->inflight >= 0.5 * usual_load(sim)) &&
	       draw(sim, share);
}

/* Draws the outcome of the request and returns its time. */
static usec_t run_request(sim_t *sim, sim_request_t *request)
{
	const sim_options_t *options = sim->options;
	const sim_instance_t *instance = &sim->instances[request->instance];
	double time =
		(double)WORK * instance->speed *
		exp(0.4 * (g_rand_double(sim->rand) + g_rand_double(sim->rand) - 1));

	request->cold = instance->is_new && request->sent_at - START < options->cold;
	if (request->cold)
		time *= 4;
	request->failed = draw(sim, SIM_NOISE + options->noise) ||
			  (instance->is_new && instance->zone + 1 == options->bad_zone &&
			   draw(sim, 0.5));
	if (is_bad(sim, request, options->fail_share)) {
		request->bad = true;
		request->failed = true;
	}
	if (is_bad(sim, request, options->slow_share)) {
		request->bad = true;
		time *= options->slow_factor;
	}
	return (usec_t)time;
}

static void count_send(sim_t *sim, const sim_request_t *request)
{
	sim_result_t *result = sim->result;
	bool is_new = sim->instances[request->instance].is_new;

	if (request->sent_at - START < sim->options->duration) {
		result->sent++;
		result->sent_new += is_new;
	}
	if (is_new)
		result->last_new_at = request->sent_at - START;
	if (sim->withdrawn) {
		result->late_old += !is_new;
		result->late_new += is_new;
	}
}

static void send_request(sim_t *sim, int node, usec_t now)
{
	sim_node_t *sender = &sim->nodes[node];
	rollout_choice_t choice = rollout_choose(sender->rollout, SERVICE);
	int instance = pick(sim, sender, choice, now);

	if (instance < 0)
		return;
	sim_request_t *request = g_new0(sim_request_t, 1);
	request->node = node;
	request->process = sender->process;
	request->instance = instance;
	request->crashes = sim->instances[instance].crashes;
	request->route = draw(sim, 0.3);
	request->sent_at = now;
	usec_t time = run_request(sim, request);
	sim->instances[instance].inflight++;
	rollout_handle_send(sender->rollout, SERVICE,
			    sim->instances[instance].is_new ? "v2" : "v1");
	count_send(sim, request);
	size_t step = (size_t)((now + time - START) / STEP) + 1;
	g_ptr_array_add(sim->calendar[MIN(step, sim->steps)], request);
}

static rollout_outcome_t outcome(const sim_t *sim, const sim_request_t *request)
{
	if (sim->instances[request->instance].crashes != request->crashes)
		return ROLLOUT_LOST;
	return request->failed ? ROLLOUT_FAILED : ROLLOUT_GOOD;
}

static void end_request(sim_t *sim, const sim_request_t *request, usec_t now)
{
	sim_instance_t *instance = &sim->instances[request->instance];
	sim_node_t *node = &sim->nodes[request->node];
	rollout_result_t result = {
		.service = SERVICE,
		.version = instance->is_new ? "v2" : "v1",
		.route = route_names[request->route],
		.zone = zone_names[instance->zone],
		.instance = instance->address,
		.cold = request->cold,
		.outcome = outcome(sim, request),
		.sent_at = request->sent_at,
		.time = now - request->sent_at,
	};

	instance->inflight--;
	if (request->bad && ++sim->result->bad == 50)
		sim->result->bad_50_at = now - START;
	/* A node that has restarted does not get the responses of its former process. */
	if (node->process == request->process)
		rollout_handle_result(node->rollout, &result);
}

static void end_requests(sim_t *sim, size_t step, usec_t now)
{
	GPtrArray *ended = sim->calendar[step];

	for (guint i = 0; i < ended->len; i++)
		end_request(sim, ended->pdata[i], now);
	g_ptr_array_set_size(ended, 0);
}

/* Two messages with a part of the cells each, the second part first. */
static void deliver(sim_node_t *to, const rollout_report_t *report, usec_t now)
{
	rollout_report_t *part = g_memdup2(report, sizeof(*report));
	uint32_t half = report->cell_count / 2;

	part->cell_count = report->cell_count - half;
	memcpy(part->cells, report->cells + half,
	       part->cell_count * sizeof(part->cells[0]));
	rollout_merge(to->rollout, part, now);
	memcpy(part->cells, report->cells, half * sizeof(part->cells[0]));
	part->cell_count = half;
	rollout_merge(to->rollout, part, now);
	g_free(part);
}

static void exchange_counts(sim_t *sim, usec_t now)
{
	rollout_report_t *report = g_new0(rollout_report_t, 1);

	for (int i = 0; i < sim->node_count; i++) {
		if (!rollout_report(sim->nodes[i].rollout, SERVICE, now, report))
			continue;
		for (int j = 0; j < sim->node_count; j++) {
			if (j != i &&
			    has_link(sim, &sim->nodes[i], &sim->nodes[j], now - START))
				deliver(&sim->nodes[j], report, now);
		}
	}
	g_free(report);
}

static void handle_verdict(void *ctx, const rollout_status_t *status)
{
	(void)ctx;
	(void)status;
}

static void tick_nodes(sim_t *sim, usec_t now)
{
	bool settled = true;

	for (int i = 0; i < sim->node_count; i++) {
		rollout_t *rollout = sim->nodes[i].rollout;
		rollout_tick(rollout, (uint32_t)sim->node_count, now, handle_verdict,
			     NULL);
		settled =
			settled && rollout_state(rollout, SERVICE) != ROLLOUT_IN_PROGRESS;
	}
	if (settled && !sim->result->settled_at)
		sim->result->settled_at = now - START;
}

static void set_order(sim_t *sim, usec_t now)
{
	sim->order_id++;
	for (int i = 0; i < sim->node_count; i++)
		start_node(sim, &sim->nodes[i], now);
}

/* The same processes get another order. */
static void replace_order(sim_t *sim, usec_t now)
{
	rollout_order_t order = {
		.service = SERVICE,
		.to = "v2",
		.duration = sim->options->duration,
		.id = ++sim->order_id,
	};

	for (int i = 0; i < sim->node_count; i++) {
		rollout_set_order(sim->nodes[i].rollout, &order, now);
		rollout_set_available(sim->nodes[i].rollout, SERVICE, true);
		rollout_allow(sim->nodes[i].rollout, SERVICE);
	}
}

static bool is_due(usec_t at, usec_t since)
{
	return at > 0 && since >= at && since - at < STEP;
}

static void apply_faults(sim_t *sim, usec_t now)
{
	const sim_options_t *options = sim->options;
	usec_t since = now - START;

	if (options->restart_every && since > 0 && since % options->restart_every == 0) {
		int64_t i = since / options->restart_every % sim->node_count;
		start_node(sim, &sim->nodes[i], now);
	}
	if (options->crash_at && since >= options->crash_at &&
	    (since - options->crash_at) % USEC_PER_SEC == 0)
		sim->instances[1].crashes++;
	if (is_due(options->replace_at, since))
		replace_order(sim, now);
	if (is_due(options->withdraw_at, since)) {
		sim->withdrawn = true;
		for (int i = 0; i < sim->node_count; i++)
			rollout_withdraw(sim->nodes[i].rollout, SERVICE);
	}
}

static void send_requests(sim_t *sim, usec_t now)
{
	for (int i = 0; i < sim->node_count; i++) {
		sim_node_t *node = &sim->nodes[i];
		while (node->next_at <= now) {
			double gap =
				-log(1 - g_rand_double(sim->rand)) / sim->options->rate;
			send_request(sim, i, now);
			node->next_at += MAX((usec_t)(gap * USEC_PER_SEC), 1);
		}
	}
}

static void run_steps(sim_t *sim)
{
	for (size_t step = 0; step < sim->steps; step++) {
		usec_t now = START + (usec_t)step * STEP;

		apply_faults(sim, now);
		end_requests(sim, step, now);
		send_requests(sim, now);
		if ((now - START) % REPORT_PERIOD == 0 && !sim->options->no_counts)
			exchange_counts(sim, now);
		tick_nodes(sim, now);
	}
}

void rollout_sim_run(const sim_options_t *options, uint64_t seed, sim_result_t *out)
{
	sim_t *sim = g_new0(sim_t, 1);

	memset(out, 0, sizeof(*out));
	sim->options = options;
	sim->result = out;
	sim->rand = g_rand_new_with_seed((guint32)seed);
	sim->node_count = SIM_ZONES * options->nodes_per_zone;
	sim->steps = (size_t)((options->duration * 3 / 2 + options->replace_at) / STEP);
	sim->calendar = g_new0(GPtrArray *, sim->steps + 1);
	for (size_t i = 0; i <= sim->steps; i++)
		sim->calendar[i] = g_ptr_array_new_with_free_func(g_free);
	create_instances(sim);
	for (int i = 0; i < sim->node_count; i++) {
		sim->nodes[i].zone = i % SIM_ZONES;
		sim->nodes[i].next_at = START;
	}
	set_order(sim, START);
	run_steps(sim);
	for (int i = 0; i < sim->node_count; i++) {
		out->in_state[rollout_state(sim->nodes[i].rollout, SERVICE)]++;
		rollout_destroy(sim->nodes[i].rollout);
	}
	for (size_t i = 0; i <= sim->steps; i++)
		g_ptr_array_free(sim->calendar[i], TRUE);
	g_free(sim->calendar);
	g_rand_free(sim->rand);
	g_free(sim);
}
