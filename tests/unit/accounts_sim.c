#include "accounts_sim.h"

#include "accounts/bucket.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define ACCOUNT "a"
#define TICK (20 * USEC_PER_MSEC)
#define WAIT_MAX (500 * USEC_PER_MSEC)
#define DETECTION_TIME (3 * USEC_PER_SEC)
#define EPSILON 1e-6
/* Part of the look-ups that refresh the viewer's directory entry. */
#define VIEW_REFRESH 0.02

typedef struct node {
	sim_t *sim;
	uint32_t index;
	char zone[16];
	uint32_t zone_index;
	bool down;
	bool platform_unreachable; /* for this node only */
	usec_t paused_from;
	usec_t paused_until;
	uint32_t incarnation; /* events of an earlier one are dropped */
	keeper_t *keeper;
	borrower_t *borrower;
	double demand;
	usec_t next_arrival;
	struct node *known_keepers[SIM_ZONES_MAX]; /* one per zone, possibly stale */
	GQueue waiting;				   /* of usec_t *: end of the wait */
	uint32_t next_foreign_zone;
	/* Confirmation round */
	uint64_t round;
	usec_t round_sent_at;
	uint32_t round_replies;
	bool superseded; /* a reply had a newer epoch */
} node_t;

typedef struct event {
	usec_t when;
	uint64_t order;
	void (*fn)(struct event *event);
	node_t *to;
	uint32_t incarnation;
	node_t *from;
	loan_request_t request;
	loan_reply_t reply;
	uint64_t epoch;
	uint64_t round;
	uint64_t revision;
	bool ok;
	bool released;
	uint32_t lent_milli;
} event_t;

struct sim {
	sim_options_t options;
	GRand *rand;
	GSequence *events;
	uint64_t order;
	usec_t now;
	node_t nodes[SIM_NODES_MAX];
	uint32_t node_count;
	bool platform_up;
	bool link_down[SIM_ZONES_MAX][SIM_ZONES_MAX];
	/* The platform's lease rows, one for each zone. */
	uint64_t row_revision[SIM_ZONES_MAX];
	uint64_t row_epoch[SIM_ZONES_MAX];
	node_t *row_holder[SIM_ZONES_MAX];
	uint32_t row_incarnation[SIM_ZONES_MAX];
	bool row_released[SIM_ZONES_MAX];
	uint32_t row_lent_milli[SIM_ZONES_MAX];
	uint64_t revision;
	bucket_t rate_limit;	/* all admitted requests, to check the bound */
	bucket_t shared_bucket; /* all arrivals, for sim_counts_t.over_rate */
	bool violated;
	sim_counts_t counts;
	usec_t next_fault;
};

static uint32_t partition(void)
{
	return account_partition(ACCOUNT);
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const event_t *left = a;
	const event_t *right = b;

	if (left->when != right->when)
		return left->when < right->when ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static event_t *schedule_event(sim_t *sim, usec_t when, node_t *to, void (*fn)(event_t *))
{
	event_t *event = g_new0(event_t, 1);

	event->when = when;
	event->order = sim->order++;
	event->to = to;
	event->incarnation = to->incarnation;
	event->fn = fn;
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
	return event;
}

static double draw(sim_t *sim)
{
	return g_rand_double(sim->rand);
}

static usec_t draw_delay(sim_t *sim)
{
	return 200 + (usec_t)(draw(sim) * draw(sim) * (double)sim->options.delay_max);
}

/* Sends a message with the given content; loses or duplicates it at random. */
static void send_message(node_t *from, node_t *to, const event_t *content,
			 void (*fn)(event_t *))
{
	sim_t *sim = from->sim;
	int copies = draw(sim) < sim->options.duplicate ? 2 : 1;

	sim->counts.messages++;
	if (sim->link_down[from->zone_index][to->zone_index] ||
	    draw(sim) < sim->options.loss)
		return;
	for (int i = 0; i < copies; i++) {
		event_t *event = schedule_event(sim, sim->now + draw_delay(sim), to, fn);
		event->from = from;
		event->request = content->request;
		event->reply = content->reply;
		event->epoch = content->epoch;
		event->round = content->round;
		event->ok = content->ok;
	}
}

/* --- Admission and the bound ---------------------------------------------- */

static void admit(node_t *node)
{
	sim_t *sim = node->sim;

	sim->counts.admitted++;
	/* A bucket of (rate, burst) that starts full checks the bound on every window. */
	if (!bucket_take(&sim->rate_limit, sim->now, 1.0 - EPSILON)) {
		fprintf(stderr,
			"seed %" G_GUINT64_FORMAT
			": admitted more than rate * t + burst at %" G_GINT64_FORMAT
			" us, node %u\n",
			sim->options.seed, sim->now, node->index);
		sim->violated = true;
	}
}

/* A process that was paused for longer than DETECTION_TIME counts as dead. */
static bool is_detected_dead(const node_t *node)
{
	usec_t now = node->sim->now;

	return node->down ||
	       (now < node->paused_until && now - node->paused_from > DETECTION_TIME);
}

static bool reachable(const node_t *a, const node_t *b)
{
	return !is_detected_dead(b) && !a->sim->link_down[a->zone_index][b->zone_index];
}

/* The reachable holder of a zone's newest epoch, or NULL. */
static node_t *newest_keeper(node_t *viewer, uint32_t zone)
{
	sim_t *sim = viewer->sim;
	node_t *best = NULL;
	uint64_t epoch = 0;

	for (uint32_t i = 0; i < sim->node_count; i++) {
		node_t *node = &sim->nodes[i];
		const lease_t *lease = keeper_lease(node->keeper, partition());
		if (node->zone_index != zone || !reachable(viewer, node) ||
		    lease->state != LEASE_HELD || lease->epoch <= epoch)
			continue;
		best = node;
		epoch = lease->epoch;
	}
	return best;
}

/* The viewer's directory entry of a zone's keeper, which is often stale. */
static node_t *keeper_of(node_t *viewer, uint32_t zone)
{
	node_t *known = viewer->known_keepers[zone];

	if (!known || known->down || draw(viewer->sim) < VIEW_REFRESH)
		known = newest_keeper(viewer, zone);
	viewer->known_keepers[zone] = known;
	return known;
}

static void deliver_reply(event_t *event);

static void lend(node_t *keeper, const loan_request_t *request, loan_reply_t *reply)
{
	const sim_options_t *options = &keeper->sim->options;
	lease_t *lease = keeper_lease(keeper->keeper, partition());
	lease_t saved = *lease;
	loan_request_t copy = *request;

	if (options->ignore_lease && lease->state == LEASE_HELD) {
		lease->renewed_at = keeper->sim->now;
		lease->lend_from = 0;
		lease->acknowledged = true;
	}
	if (options->ignore_sequence)
		copy.sequence = G_MAXUINT32 + keeper->sim->order++;
	keeper_lend(keeper->keeper, ACCOUNT, options->rate, options->burst, &copy,
		    keeper->sim->now, reply);
	reply->sequence = request->sequence;
	if (options->ignore_lease)
		*lease = saved;
}

static void deliver_request(event_t *event)
{
	event_t reply = {0};

	lend(event->to, &event->request, &reply.reply);
	send_message(event->to, event->from, &reply, deliver_reply);
}

static bool request_loan(node_t *node, uint32_t zone, uint32_t waiting)
{
	node_t *keeper = keeper_of(node, zone);
	event_t content = {0};
	char name[16];

	if (!keeper)
		return false;
	g_snprintf(name, sizeof(name), "z%u", zone);
	uint64_t new_loan_id = ++node->sim->order + ((uint64_t)node->index << 40);
	if (!borrower_prepare_request(node->borrower, name, waiting, new_loan_id,
				      node->sim->now, &content.request))
		return false;
	send_message(node, keeper, &content, deliver_request);
	return true;
}

static void request_from_other_zone(node_t *node, uint32_t waiting)
{
	uint32_t zones = node->sim->options.zones;

	for (uint32_t i = 0; i < zones; i++) {
		uint32_t zone = node->next_foreign_zone++ % zones;
		if (zone != node->zone_index && request_loan(node, zone, waiting))
			return;
	}
}

static void admit_waiting(node_t *node, uint32_t immediate_tokens)
{
	sim_t *sim = node->sim;

	while (!g_queue_is_empty(&node->waiting)) {
		if (immediate_tokens > 0)
			immediate_tokens--;
		else if (!borrower_take_token(node->borrower, sim->now))
			return;
		g_free(g_queue_pop_head(&node->waiting));
		admit(node);
	}
}

static void deliver_reply(event_t *event)
{
	node_t *node = event->to;
	uint32_t immediate_tokens =
		borrower_handle_reply(node->borrower, &event->reply, node->sim->now);

	admit_waiting(node, immediate_tokens);
	if (!g_queue_is_empty(&node->waiting))
		request_from_other_zone(node, node->waiting.length);
}

static void request_from_any_zone(node_t *node)
{
	if (!request_loan(node, node->zone_index, node->waiting.length))
		request_from_other_zone(node, node->waiting.length);
}

static void handle_request(node_t *node)
{
	sim_t *sim = node->sim;

	sim->counts.arrived++;
	sim->counts.over_rate += !bucket_take(&sim->shared_bucket, sim->now, 1.0);
	if (borrower_admit(node->borrower, sim->now)) {
		const char *low = borrower_renewal_zone(node->borrower, sim->now);
		admit(node);
		if (low)
			request_loan(node, (uint32_t)(low[1] - '0'), 0);
		return;
	}
	usec_t until = sim->now + WAIT_MAX;
	g_queue_push_tail(&node->waiting, g_memdup2(&until, sizeof(until)));
	if (node->waiting.length == 1)
		request_from_any_zone(node);
}

static void expire_waiting(node_t *node)
{
	while (!g_queue_is_empty(&node->waiting) &&
	       *(usec_t *)g_queue_peek_head(&node->waiting) <= node->sim->now) {
		g_free(g_queue_pop_head(&node->waiting));
		node->sim->counts.refused++;
	}
}

/* --- Leases ---------------------------------------------------------------- */

static bool platform_reachable(const node_t *node)
{
	return node->sim->platform_up && !node->platform_unreachable &&
	       draw(node->sim) >= node->sim->options.loss;
}

static void deliver_row(event_t *event)
{
	lease_t *lease = keeper_lease(event->to->keeper, partition());

	if (lease->state != LEASE_READING)
		return;
	if (!event->ok)
		lease_drop(lease);
	else
		lease_row_read(lease, event->to->sim->now, event->revision, event->epoch,
			       event->revision == 0 || event->released,
			       event->lent_milli);
}

static void deliver_commit(event_t *event)
{
	node_t *node = event->to;
	lease_t *lease = keeper_lease(node->keeper, partition());
	bool acquiring = lease->state == LEASE_ACQUIRING;

	if (!lease->commit_in_flight)
		return;
	if (event->ok)
		lease_commit_succeeded(lease, node->sim->now, event->revision);
	else
		lease_commit_failed(lease, node->sim->now, event->epoch != 0);
	if (acquiring)
		keeper_drop_lenders(node->keeper, partition());
	keeper_set_portion(node->keeper, partition(),
			   PORTION_FULL_MILLI / node->sim->options.zones, node->sim->now);
}

static void read_row(node_t *node)
{
	sim_t *sim = node->sim;

	lease_read_started(keeper_lease(node->keeper, partition()));
	event_t *event =
		schedule_event(sim, sim->now + draw_delay(sim), node, deliver_row);
	event->ok = platform_reachable(node);
	event->revision = sim->row_revision[node->zone_index];
	event->epoch = sim->row_epoch[node->zone_index];
	event->released = sim->row_released[node->zone_index];
	event->lent_milli = sim->row_lent_milli[node->zone_index];
}

/* The commit takes effect at the platform at once; its reply may be lost. */
static void commit_row(node_t *node, uint64_t epoch)
{
	sim_t *sim = node->sim;
	uint32_t zone = node->zone_index;
	lease_t *lease = keeper_lease(node->keeper, partition());
	uint64_t expected = lease->revision;
	bool held_by_node = sim->row_holder[zone] == node &&
			    sim->row_incarnation[zone] == node->incarnation &&
			    sim->row_epoch[zone] == epoch;

	lease_commit_sent(lease, sim->now);
	event_t *event =
		schedule_event(sim, sim->now + draw_delay(sim) * 3, node, deliver_commit);
	if (!platform_reachable(node))
		return;
	event->revision = sim->row_revision[zone];
	if (expected == sim->row_revision[zone] ||
	    (held_by_node && lease->state == LEASE_HELD)) {
		sim->row_revision[zone] = ++sim->revision;
		sim->row_epoch[zone] = epoch;
		sim->row_holder[zone] = node;
		sim->row_incarnation[zone] = node->incarnation;
		sim->row_released[zone] = false;
		event->revision = sim->row_revision[zone];
		event->ok = draw(sim) >= sim->options.loss;
	} else {
		event->epoch = 1; /* conflict */
	}
}

static void evaluate_round(node_t *node)
{
	lease_t *lease = keeper_lease(node->keeper, partition());
	uint32_t n = node->sim->options.nodes_per_zone;

	if (node->superseded)
		return;
	if (!lease->acknowledged && node->round_replies >= (n + 1) / 2)
		lease_acknowledged(lease, node->sim->now);
	if (node->round_replies * 2 > n)
		lease_confirmed(lease, node->round_sent_at);
}

static void deliver_confirm_reply(event_t *event)
{
	node_t *node = event->to;

	if (event->round != node->round)
		return;
	if (event->epoch > 0) {
		node->superseded = true;
		if (event->epoch > keeper_lease(node->keeper, partition())->epoch)
			lease_drop(keeper_lease(node->keeper, partition()));
		return;
	}
	node->round_replies++;
	evaluate_round(node);
}

static void deliver_confirm(event_t *event)
{
	event_t reply = {.round = event->round};

	if (event->to->sim->options.ignore_lease)
		return;
	reply.epoch = keeper_observe_epoch(event->to->keeper, partition(), event->epoch);
	send_message(event->to, event->from, &reply, deliver_confirm_reply);
}

static void start_round(node_t *node)
{
	sim_t *sim = node->sim;
	lease_t *lease = keeper_lease(node->keeper, partition());
	event_t content = {.epoch = lease->epoch, .round = ++sim->order};

	node->round = content.round;
	node->round_sent_at = sim->now;
	node->round_replies = 1;
	node->superseded = false;
	evaluate_round(node);
	for (uint32_t i = 0; i < sim->node_count; i++) {
		node_t *other = &sim->nodes[i];
		if (other != node && other->zone_index == node->zone_index)
			send_message(node, other, &content, deliver_confirm);
	}
}

static bool is_candidate(node_t *node)
{
	sim_t *sim = node->sim;

	if (newest_keeper(node, node->zone_index))
		return false;
	for (uint32_t i = 0; i < node->index; i++) {
		if (sim->nodes[i].zone_index == node->zone_index &&
		    !is_detected_dead(&sim->nodes[i]))
			return false;
	}
	return true;
}

static void step_lease(node_t *node)
{
	usec_t now = node->sim->now;
	lease_t *lease = keeper_lease(node->keeper, partition());

	if (node->sim->options.ignore_lease && lease->state == LEASE_HELD)
		return;
	switch (lease_next_action(lease, now, is_candidate(node))) {
	case LEASE_DO_READ:
		read_row(node);
		break;
	case LEASE_DO_ACQUIRE:
		commit_row(node, lease->epoch + 1);
		break;
	case LEASE_DO_RENEW:
		commit_row(node, lease->epoch);
		break;
	case LEASE_DO_DROP:
		lease_drop(lease);
		keeper_drop_lenders(node->keeper, partition());
		break;
	default:
		break;
	}
	bool needed = !lease->acknowledged ||
		      now >= lease->renewed_at + LEASE_TERM - LEASE_RENEW_PERIOD;
	if (lease->state == LEASE_HELD && needed &&
	    now - node->round_sent_at >= CONFIRM_PERIOD)
		start_round(node);
}

/* --- Event loop ------------------------------------------------------------ */

static void handle_tick(event_t *event)
{
	node_t *node = event->to;
	const char *zone = borrower_renewal_zone(node->borrower, node->sim->now);

	schedule_event(node->sim, node->sim->now + TICK, node, handle_tick);
	admit_waiting(node, 0);
	expire_waiting(node);
	if (!g_queue_is_empty(&node->waiting))
		request_from_any_zone(node);
	step_lease(node);
	if (zone)
		request_loan(node, (uint32_t)(zone[1] - '0'), 0);
}

static void handle_arrival(event_t *event)
{
	node_t *node = event->to;
	sim_t *sim = node->sim;
	double mean = node->demand > 0 ? USEC_PER_SEC / node->demand : 0;
	usec_t wait = mean > 0 ? (usec_t)(-log(1 - draw(sim)) * mean) : TICK;

	if (node->demand > 0)
		handle_request(node);
	schedule_event(sim, sim->now + MAX(wait, 1), node, handle_arrival);
}

static void start_node(node_t *node)
{
	node->keeper = keeper_create();
	node->borrower = borrower_create(node->zone);
	g_queue_init(&node->waiting);
	schedule_event(node->sim, node->sim->now + (usec_t)(draw(node->sim) * TICK), node,
		       handle_tick);
	schedule_event(node->sim, node->sim->now + TICK, node, handle_arrival);
}

static void stop_node(node_t *node)
{
	node->incarnation++;
	keeper_destroy(node->keeper);
	borrower_destroy(node->borrower);
	node->sim->counts.refused += node->waiting.length;
	g_queue_clear_full(&node->waiting, g_free);
}

static void handle_restart(event_t *event)
{
	event->to->down = false;
	keeper_destroy(event->to->keeper);
	borrower_destroy(event->to->borrower);
	start_node(event->to);
}

void sim_crash(sim_t *sim, uint32_t index)
{
	node_t *node = &sim->nodes[index];

	if (node->down)
		return;
	stop_node(node);
	node->keeper = keeper_create();
	node->borrower = borrower_create(node->zone);
	node->down = true;
	usec_t span = (usec_t)(draw(sim) * (double)MAX(sim->options.fault_max, 1));
	event_t *event = schedule_event(sim, sim->now + span, node, handle_restart);
	event->incarnation = node->incarnation;
}

/* A planned stop: the row is released and records how much is lent. */
static void stop_gracefully(sim_t *sim, uint32_t index)
{
	node_t *node = &sim->nodes[index];
	uint32_t zone = node->zone_index;
	lease_t *lease = keeper_lease(node->keeper, partition());

	if (!node->down && lease->state == LEASE_HELD && platform_reachable(node) &&
	    lease->revision == sim->row_revision[zone]) {
		sim->row_lent_milli[zone] =
			keeper_lent_milli(node->keeper, partition(), sim->now);
		sim->row_released[zone] = true;
		sim->row_revision[zone] = ++sim->revision;
		sim->row_holder[zone] = NULL;
	}
	sim_crash(sim, index);
}

void sim_pause(sim_t *sim, uint32_t index, usec_t span)
{
	sim->nodes[index].paused_from = sim->now;
	sim->nodes[index].paused_until = sim->now + span;
}

void sim_set_demand(sim_t *sim, uint32_t node, double rate)
{
	sim->nodes[node].demand = rate;
}

void sim_set_platform(sim_t *sim, bool up)
{
	sim->platform_up = up;
}

void sim_set_link_down(sim_t *sim, uint32_t a, uint32_t b, bool down)
{
	sim->link_down[a][b] = down;
	sim->link_down[b][a] = down;
}

static void inject_fault(sim_t *sim)
{
	uint32_t node = (uint32_t)g_rand_int_range(sim->rand, 0, (gint32)sim->node_count);
	uint32_t zone = sim->nodes[node].zone_index;
	uint32_t other =
		(uint32_t)g_rand_int_range(sim->rand, 0, (gint32)sim->options.zones);
	usec_t span = (usec_t)(draw(sim) * (double)sim->options.fault_max);

	sim->next_fault = sim->now + (usec_t)(-log(1 - draw(sim)) * USEC_PER_SEC /
					      sim->options.faults_per_second);
	switch (g_rand_int_range(sim->rand, 0, 6)) {
	case 0:
		sim_pause(sim, node, span);
		break;
	case 1:
		sim_crash(sim, node);
		break;
	case 4:
		stop_gracefully(sim, node);
		break;
	case 2:
		sim->nodes[node].platform_unreachable =
			!sim->nodes[node].platform_unreachable;
		break;
	case 3:
		sim->platform_up = !sim->platform_up;
		break;
	default:
		if (zone != other)
			sim_set_link_down(sim, zone, other, !sim->link_down[zone][other]);
		break;
	}
}

bool sim_run(sim_t *sim, usec_t span)
{
	usec_t end = sim->now + span;

	while (!sim->violated && !g_sequence_is_empty(sim->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		event_t *event = g_sequence_get(first);
		if (event->when > end)
			break;
		sim->now = MAX(sim->now, event->when);
		if (sim->options.faults_per_second > 0 && sim->now >= sim->next_fault)
			inject_fault(sim);
		g_sequence_remove(first);
		if (event->to->paused_until > sim->now) {
			/* A paused process handles its events when it resumes. */
			event->when = event->to->paused_until;
			event->order = sim->order++;
			g_sequence_insert_sorted(sim->events, event, compare_events,
						 NULL);
			continue;
		}
		if (event->incarnation == event->to->incarnation &&
		    (!event->to->down || event->fn == handle_restart))
			event->fn(event);
		g_free(event);
	}
	sim->now = MAX(sim->now, end);
	return !sim->violated;
}

sim_t *sim_create(const sim_options_t *options)
{
	sim_t *sim = g_new0(sim_t, 1);
	guint32 words[2] = {(guint32)options->seed, (guint32)(options->seed >> 32)};

	sim->options = *options;
	sim->rand = g_rand_new_with_seed_array(words, 2);
	sim->events = g_sequence_new(NULL);
	sim->now = 1000 * USEC_PER_SEC;
	sim->order = 1;
	sim->platform_up = true;
	sim->next_fault = sim->now + USEC_PER_SEC;
	sim->rate_limit =
		(bucket_t){options->rate, options->burst, options->burst, sim->now};
	sim->shared_bucket = sim->rate_limit;
	sim->node_count = options->zones * options->nodes_per_zone;
	for (uint32_t i = 0; i < sim->node_count; i++) {
		node_t *node = &sim->nodes[i];
		node->sim = sim;
		node->index = i;
		node->zone_index = i % options->zones;
		g_snprintf(node->zone, sizeof(node->zone), "z%u", node->zone_index);
		start_node(node);
	}
	return sim;
}

void sim_destroy(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->node_count; i++)
		stop_node(&sim->nodes[i]);
	GSequenceIter *iter = g_sequence_get_begin_iter(sim->events);
	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		g_free(g_sequence_get(iter));
	g_sequence_free(sim->events);
	g_rand_free(sim->rand);
	g_free(sim);
}

sim_counts_t sim_counts(const sim_t *sim)
{
	return sim->counts;
}

usec_t sim_now(const sim_t *sim)
{
	return sim->now;
}
