#include "world.h"

#include "accounts/bucket.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define ACCOUNT "a"
#define TICK (20 * USEC_PER_MSEC)
#define WAIT (500 * USEC_PER_MSEC)
#define DETECTION (3 * USEC_PER_SEC)
#define EPSILON 1e-6
/* Share of look-ups that see the present keepers. */
#define VIEW_REFRESH 0.02

typedef struct node {
	world_t *world;
	uint32_t index;
	char zone[16];
	uint32_t zone_index;
	bool down;
	bool off_platform; /* this node alone cannot reach the platform */
	usec_t paused_from;
	usec_t paused_until;
	uint32_t life; /* messages of an earlier life are dropped */
	keeper_t *keeper;
	borrower_t *borrower;
	double demand;
	usec_t next_arrival;
	struct node *known[WORLD_ZONES_MAX]; /* keepers, as last heard */
	GQueue waiting;			     /* of usec_t *: until when */
	uint32_t foreign_turn;
	/* Confirmation round. */
	uint64_t round;
	usec_t asked;
	uint32_t answers;
	bool contested;
} node_t;

typedef struct event {
	usec_t when;
	uint64_t order;
	void (*fn)(struct event *event);
	node_t *to;
	uint32_t life;
	node_t *from;
	loan_request_t request;
	loan_reply_t reply;
	uint64_t epoch;
	uint64_t round;
	uint64_t revision;
	bool ok;
	bool released;
	uint32_t lent;
} event_t;

struct world {
	world_options_t options;
	GRand *rand;
	GSequence *events;
	uint64_t order;
	usec_t now;
	node_t nodes[WORLD_NODES_MAX];
	uint32_t node_count;
	bool platform_up;
	bool cut[WORLD_ZONES_MAX][WORLD_ZONES_MAX];
	/* The platform's lease rows, one for each zone. */
	uint64_t row_revision[WORLD_ZONES_MAX];
	uint64_t row_epoch[WORLD_ZONES_MAX];
	node_t *row_holder[WORLD_ZONES_MAX];
	uint32_t row_life[WORLD_ZONES_MAX];
	bool row_released[WORLD_ZONES_MAX];
	uint32_t row_lent[WORLD_ZONES_MAX];
	uint64_t revision;
	bucket_t bound;
	bucket_t ideal;
	bool broken;
	world_counts_t counts;
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

static event_t *push(world_t *world, usec_t when, node_t *to, void (*fn)(event_t *))
{
	event_t *event = g_new0(event_t, 1);

	event->when = when;
	event->order = world->order++;
	event->to = to;
	event->life = to->life;
	event->fn = fn;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
	return event;
}

static double draw(world_t *world)
{
	return g_rand_double(world->rand);
}

static usec_t draw_delay(world_t *world)
{
	return 200 +
	       (usec_t)(draw(world) * draw(world) * (double)world->options.delay_max);
}

/* Sends a message unless it is lost; maybe twice. Fill it in with `fill`. */
static void send_message(node_t *from, node_t *to, const event_t *content,
			 void (*fn)(event_t *))
{
	world_t *world = from->world;
	int copies = draw(world) < world->options.repeat ? 2 : 1;

	world->counts.messages++;
	if (world->cut[from->zone_index][to->zone_index] ||
	    draw(world) < world->options.loss)
		return;
	for (int i = 0; i < copies; i++) {
		event_t *event = push(world, world->now + draw_delay(world), to, fn);
		event->from = from;
		event->request = content->request;
		event->reply = content->reply;
		event->epoch = content->epoch;
		event->round = content->round;
		event->ok = content->ok;
	}
}

/* --- Spending and the invariant ------------------------------------------- */

static void admit(node_t *node)
{
	world_t *world = node->world;

	world->counts.admitted++;
	/* A full bucket of (rate, burst) bounds every window at once. */
	if (!bucket_take(&world->bound, world->now, 1.0 - EPSILON)) {
		fprintf(stderr,
			"seed %" G_GUINT64_FORMAT
			": more than rate * t + burst at %" G_GINT64_FORMAT
			" us, node %u\n",
			world->options.seed, world->now, node->index);
		world->broken = true;
	}
}

/* A process that is stopped for long counts as dead. */
static bool seems_dead(const node_t *node)
{
	usec_t now = node->world->now;

	return node->down ||
	       (now < node->paused_until && now - node->paused_from > DETECTION);
}

static bool reachable(const node_t *a, const node_t *b)
{
	return !seems_dead(b) && !a->world->cut[a->zone_index][b->zone_index];
}

/* The live holder of a zone's newest epoch. */
static node_t *newest_keeper(node_t *viewer, uint32_t zone)
{
	world_t *world = viewer->world;
	node_t *best = NULL;
	uint64_t epoch = 0;

	for (uint32_t i = 0; i < world->node_count; i++) {
		node_t *node = &world->nodes[i];
		const lease_t *lease = keeper_lease(node->keeper, partition());
		if (node->zone_index != zone || !reachable(viewer, node) ||
		    lease->state != LEASE_HELD || lease->epoch <= epoch)
			continue;
		best = node;
		epoch = lease->epoch;
	}
	return best;
}

/* The directory's view, which is often behind. */
static node_t *keeper_of(node_t *viewer, uint32_t zone)
{
	node_t *known = viewer->known[zone];

	if (!known || known->down || draw(viewer->world) < VIEW_REFRESH)
		known = newest_keeper(viewer, zone);
	viewer->known[zone] = known;
	return known;
}

static void deliver_reply(event_t *event);

static void lend(node_t *keeper, const loan_request_t *request, loan_reply_t *reply)
{
	const world_options_t *options = &keeper->world->options;
	lease_t *lease = keeper_lease(keeper->keeper, partition());
	lease_t saved = *lease;
	loan_request_t copy = *request;

	if (options->ignore_lease && lease->state == LEASE_HELD) {
		lease->renewed_at = keeper->world->now;
		lease->lend_from = 0;
		lease->acknowledged = true;
	}
	if (options->ignore_sequence)
		copy.sequence = G_MAXUINT32 + keeper->world->order++;
	keeper_lend(keeper->keeper, ACCOUNT, options->rate, options->burst, &copy,
		    keeper->world->now, reply);
	reply->sequence = request->sequence;
	if (options->ignore_lease)
		*lease = saved;
}

static void deliver_request(event_t *event)
{
	event_t answer = {0};

	lend(event->to, &event->request, &answer.reply);
	send_message(event->to, event->from, &answer, deliver_reply);
}

static bool ask(node_t *node, uint32_t zone, uint32_t want)
{
	node_t *keeper = keeper_of(node, zone);
	event_t content = {0};
	char name[16];

	if (!keeper)
		return false;
	g_snprintf(name, sizeof(name), "z%u", zone);
	uint64_t fresh = ++node->world->order + ((uint64_t)node->index << 40);
	if (!borrower_prepare_request(node->borrower, name, want, fresh, node->world->now,
				      &content.request))
		return false;
	send_message(node, keeper, &content, deliver_request);
	return true;
}

static void ask_foreign(node_t *node, uint32_t want)
{
	uint32_t zones = node->world->options.zones;

	for (uint32_t i = 0; i < zones; i++) {
		uint32_t zone = node->foreign_turn++ % zones;
		if (zone != node->zone_index && ask(node, zone, want))
			return;
	}
}

static void serve_waiting(node_t *node, uint32_t spends)
{
	world_t *world = node->world;

	while (!g_queue_is_empty(&node->waiting)) {
		if (spends > 0)
			spends--;
		else if (!borrower_take_token(node->borrower, world->now))
			return;
		g_free(g_queue_pop_head(&node->waiting));
		admit(node);
	}
}

static void deliver_reply(event_t *event)
{
	node_t *node = event->to;
	uint32_t spends =
		borrower_handle_reply(node->borrower, &event->reply, node->world->now);

	serve_waiting(node, spends);
	if (!g_queue_is_empty(&node->waiting))
		ask_foreign(node, node->waiting.length);
}

static void ask_any(node_t *node)
{
	if (!ask(node, node->zone_index, node->waiting.length))
		ask_foreign(node, node->waiting.length);
}

static void arrive(node_t *node)
{
	world_t *world = node->world;

	world->counts.arrived++;
	world->counts.over_rate += !bucket_take(&world->ideal, world->now, 1.0);
	if (borrower_admit(node->borrower, world->now)) {
		const char *low = borrower_renewal_zone(node->borrower, world->now);
		admit(node);
		if (low)
			ask(node, (uint32_t)(low[1] - '0'), 0);
		return;
	}
	usec_t until = world->now + WAIT;
	g_queue_push_tail(&node->waiting, g_memdup2(&until, sizeof(until)));
	if (node->waiting.length == 1)
		ask_any(node);
}

static void expire_waiting(node_t *node)
{
	while (!g_queue_is_empty(&node->waiting) &&
	       *(usec_t *)g_queue_peek_head(&node->waiting) <= node->world->now) {
		g_free(g_queue_pop_head(&node->waiting));
		node->world->counts.refused++;
	}
}

/* --- Leases ---------------------------------------------------------------- */

static bool platform_reached(const node_t *node)
{
	return node->world->platform_up && !node->off_platform &&
	       draw(node->world) >= node->world->options.loss;
}

static void deliver_row(event_t *event)
{
	lease_t *lease = keeper_lease(event->to->keeper, partition());

	if (lease->state != LEASE_READING)
		return;
	if (!event->ok)
		lease_drop(lease);
	else
		lease_row_read(lease, event->to->world->now, event->revision,
			       event->epoch, event->revision == 0 || event->released,
			       event->lent);
}

static void deliver_commit(event_t *event)
{
	node_t *node = event->to;
	lease_t *lease = keeper_lease(node->keeper, partition());
	bool taking = lease->state == LEASE_ACQUIRING;

	if (!lease->commit_in_flight)
		return;
	if (event->ok)
		lease_commit_succeeded(lease, node->world->now, event->revision);
	else
		lease_commit_failed(lease, node->world->now, event->epoch != 0);
	if (taking)
		keeper_drop_lenders(node->keeper, partition());
	keeper_set_portion(node->keeper, partition(),
			   PORTION_FULL_MILLI / node->world->options.zones,
			   node->world->now);
}

static void read_row(node_t *node)
{
	world_t *world = node->world;

	lease_read_started(keeper_lease(node->keeper, partition()));
	event_t *event = push(world, world->now + draw_delay(world), node, deliver_row);
	event->ok = platform_reached(node);
	event->revision = world->row_revision[node->zone_index];
	event->epoch = world->row_epoch[node->zone_index];
	event->released = world->row_released[node->zone_index];
	event->lent = world->row_lent[node->zone_index];
}

/* The commit takes effect at the platform now; its answer may be lost. */
static void commit_row(node_t *node, uint64_t epoch)
{
	world_t *world = node->world;
	uint32_t zone = node->zone_index;
	lease_t *lease = keeper_lease(node->keeper, partition());
	uint64_t expected = lease->revision;
	bool ours = world->row_holder[zone] == node &&
		    world->row_life[zone] == node->life &&
		    world->row_epoch[zone] == epoch;

	lease_commit_sent(lease, world->now);
	event_t *event =
		push(world, world->now + draw_delay(world) * 3, node, deliver_commit);
	if (!platform_reached(node))
		return;
	event->revision = world->row_revision[zone];
	if (expected == world->row_revision[zone] ||
	    (ours && lease->state == LEASE_HELD)) {
		world->row_revision[zone] = ++world->revision;
		world->row_epoch[zone] = epoch;
		world->row_holder[zone] = node;
		world->row_life[zone] = node->life;
		world->row_released[zone] = false;
		event->revision = world->row_revision[zone];
		event->ok = draw(world) >= world->options.loss;
	} else {
		event->epoch = 1; /* conflict */
	}
}

static void judge_round(node_t *node)
{
	lease_t *lease = keeper_lease(node->keeper, partition());
	uint32_t n = node->world->options.nodes_per_zone;

	if (node->contested)
		return;
	if (!lease->acknowledged && node->answers >= (n + 1) / 2)
		lease_acknowledged(lease, node->world->now);
	if (node->answers * 2 > n)
		lease_confirmed(lease, node->asked);
}

static void deliver_confirm_reply(event_t *event)
{
	node_t *node = event->to;

	if (event->round != node->round)
		return;
	if (event->epoch > 0) {
		node->contested = true;
		if (event->epoch > keeper_lease(node->keeper, partition())->epoch)
			lease_drop(keeper_lease(node->keeper, partition()));
		return;
	}
	node->answers++;
	judge_round(node);
}

static void deliver_confirm(event_t *event)
{
	event_t answer = {.round = event->round};

	if (event->to->world->options.ignore_lease)
		return;
	answer.epoch = keeper_observe_epoch(event->to->keeper, partition(), event->epoch);
	send_message(event->to, event->from, &answer, deliver_confirm_reply);
}

static void start_round(node_t *node)
{
	world_t *world = node->world;
	lease_t *lease = keeper_lease(node->keeper, partition());
	event_t content = {.epoch = lease->epoch, .round = ++world->order};

	node->round = content.round;
	node->asked = world->now;
	node->answers = 1;
	node->contested = false;
	judge_round(node);
	for (uint32_t i = 0; i < world->node_count; i++) {
		node_t *other = &world->nodes[i];
		if (other != node && other->zone_index == node->zone_index)
			send_message(node, other, &content, deliver_confirm);
	}
}

static bool is_candidate(node_t *node)
{
	world_t *world = node->world;

	if (newest_keeper(node, node->zone_index))
		return false;
	for (uint32_t i = 0; i < node->index; i++) {
		if (world->nodes[i].zone_index == node->zone_index &&
		    !seems_dead(&world->nodes[i]))
			return false;
	}
	return true;
}

static void step_lease(node_t *node)
{
	usec_t now = node->world->now;
	lease_t *lease = keeper_lease(node->keeper, partition());

	if (node->world->options.ignore_lease && lease->state == LEASE_HELD)
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
	if (lease->state == LEASE_HELD && needed && now - node->asked >= CONFIRM_PERIOD)
		start_round(node);
}

/* --- The loop -------------------------------------------------------------- */

static void handle_tick(event_t *event)
{
	node_t *node = event->to;
	const char *zone = borrower_renewal_zone(node->borrower, node->world->now);

	push(node->world, node->world->now + TICK, node, handle_tick);
	serve_waiting(node, 0);
	expire_waiting(node);
	if (!g_queue_is_empty(&node->waiting))
		ask_any(node);
	step_lease(node);
	if (zone)
		ask(node, (uint32_t)(zone[1] - '0'), 0);
}

static void handle_arrival(event_t *event)
{
	node_t *node = event->to;
	world_t *world = node->world;
	double mean = node->demand > 0 ? USEC_PER_SEC / node->demand : 0;
	usec_t wait = mean > 0 ? (usec_t)(-log(1 - draw(world)) * mean) : TICK;

	if (node->demand > 0)
		arrive(node);
	push(world, world->now + MAX(wait, 1), node, handle_arrival);
}

static void start_node(node_t *node)
{
	node->keeper = keeper_create();
	node->borrower = borrower_create(node->zone);
	g_queue_init(&node->waiting);
	push(node->world, node->world->now + (usec_t)(draw(node->world) * TICK), node,
	     handle_tick);
	push(node->world, node->world->now + TICK, node, handle_arrival);
}

static void stop_node(node_t *node)
{
	node->life++;
	keeper_destroy(node->keeper);
	borrower_destroy(node->borrower);
	node->world->counts.refused += node->waiting.length;
	g_queue_clear_full(&node->waiting, g_free);
}

static void handle_restart(event_t *event)
{
	event->to->down = false;
	keeper_destroy(event->to->keeper);
	borrower_destroy(event->to->borrower);
	start_node(event->to);
}

void world_crash(world_t *world, uint32_t index)
{
	node_t *node = &world->nodes[index];

	if (node->down)
		return;
	stop_node(node);
	node->keeper = keeper_create();
	node->borrower = borrower_create(node->zone);
	node->down = true;
	usec_t span = (usec_t)(draw(world) * (double)MAX(world->options.fault_max, 1));
	event_t *event = push(world, world->now + span, node, handle_restart);
	event->life = node->life;
}

/* A planned stop: the lease is released with what is lent. */
static void stop_on_purpose(world_t *world, uint32_t index)
{
	node_t *node = &world->nodes[index];
	uint32_t zone = node->zone_index;
	lease_t *lease = keeper_lease(node->keeper, partition());

	if (!node->down && lease->state == LEASE_HELD && platform_reached(node) &&
	    lease->revision == world->row_revision[zone]) {
		world->row_lent[zone] =
			keeper_lent_milli(node->keeper, partition(), world->now);
		world->row_released[zone] = true;
		world->row_revision[zone] = ++world->revision;
		world->row_holder[zone] = NULL;
	}
	world_crash(world, index);
}

void world_pause(world_t *world, uint32_t index, usec_t span)
{
	world->nodes[index].paused_from = world->now;
	world->nodes[index].paused_until = world->now + span;
}

void world_set_demand(world_t *world, uint32_t node, double rate)
{
	world->nodes[node].demand = rate;
}

void world_set_platform(world_t *world, bool up)
{
	world->platform_up = up;
}

void world_set_cut(world_t *world, uint32_t a, uint32_t b, bool cut)
{
	world->cut[a][b] = cut;
	world->cut[b][a] = cut;
}

static void inject_fault(world_t *world)
{
	uint32_t node =
		(uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->node_count);
	uint32_t zone = world->nodes[node].zone_index;
	uint32_t other =
		(uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->options.zones);
	usec_t span = (usec_t)(draw(world) * (double)world->options.fault_max);

	world->next_fault = world->now + (usec_t)(-log(1 - draw(world)) * USEC_PER_SEC /
						  world->options.faults_per_second);
	switch (g_rand_int_range(world->rand, 0, 6)) {
	case 0:
		world_pause(world, node, span);
		break;
	case 1:
		world_crash(world, node);
		break;
	case 4:
		stop_on_purpose(world, node);
		break;
	case 2:
		world->nodes[node].off_platform = !world->nodes[node].off_platform;
		break;
	case 3:
		world->platform_up = !world->platform_up;
		break;
	default:
		if (zone != other)
			world_set_cut(world, zone, other, !world->cut[zone][other]);
		break;
	}
}

bool world_run(world_t *world, usec_t span)
{
	usec_t end = world->now + span;

	while (!world->broken && !g_sequence_is_empty(world->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		event_t *event = g_sequence_get(first);
		if (event->when > end)
			break;
		world->now = MAX(world->now, event->when);
		if (world->options.faults_per_second > 0 &&
		    world->now >= world->next_fault)
			inject_fault(world);
		g_sequence_remove(first);
		if (event->to->paused_until > world->now) {
			/* A stopped process handles what came once it goes on. */
			event->when = event->to->paused_until;
			event->order = world->order++;
			g_sequence_insert_sorted(world->events, event, compare_events,
						 NULL);
			continue;
		}
		if (event->life == event->to->life &&
		    (!event->to->down || event->fn == handle_restart))
			event->fn(event);
		g_free(event);
	}
	world->now = MAX(world->now, end);
	return !world->broken;
}

world_t *world_create(const world_options_t *options)
{
	world_t *world = g_new0(world_t, 1);
	guint32 words[2] = {(guint32)options->seed, (guint32)(options->seed >> 32)};

	world->options = *options;
	world->rand = g_rand_new_with_seed_array(words, 2);
	world->events = g_sequence_new(NULL);
	world->now = 1000 * USEC_PER_SEC;
	world->order = 1;
	world->platform_up = true;
	world->next_fault = world->now + USEC_PER_SEC;
	world->bound =
		(bucket_t){options->rate, options->burst, options->burst, world->now};
	world->ideal = world->bound;
	world->node_count = options->zones * options->nodes_per_zone;
	for (uint32_t i = 0; i < world->node_count; i++) {
		node_t *node = &world->nodes[i];
		node->world = world;
		node->index = i;
		node->zone_index = i % options->zones;
		g_snprintf(node->zone, sizeof(node->zone), "z%u", node->zone_index);
		start_node(node);
	}
	return world;
}

void world_destroy(world_t *world)
{
	for (uint32_t i = 0; i < world->node_count; i++)
		stop_node(&world->nodes[i]);
	GSequenceIter *iter = g_sequence_get_begin_iter(world->events);
	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		g_free(g_sequence_get(iter));
	g_sequence_free(world->events);
	g_rand_free(world->rand);
	g_free(world);
}

world_counts_t world_counts(const world_t *world)
{
	return world->counts;
}

usec_t world_now(const world_t *world)
{
	return world->now;
}
