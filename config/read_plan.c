#include "config/read_plan.h"

#include "membership/sync.h"

#include <glib.h>
#include <math.h>

/* In a zone of up to this many nodes, each node watches without a break. */
#define ZONE_WATCHERS 32
#define WATCH_PAUSE (10 * USEC_PER_MSEC)
/* A watch waits a random time between these for a change, so that the watches of
 * different nodes, which a change ends all at once, end at different times later. */
#define WATCH_WAIT_MIN_SEC 3.0
#define WATCH_WAIT_MAX_SEC 4.0
#define WATCH_RESPONSE_WAIT USEC_PER_SEC
/* The response to a watch shows the store's state at most this long before it arrived. */
#define RESPONSE_DELAY_MAX (250 * USEC_PER_MSEC)
/* Pause between reads of a store that holds no configuration yet. */
#define EMPTY_STORE_PAUSE (200 * USEC_PER_MSEC)
#define NEVER G_MAXINT64

struct read_plan {
	GRand *rand;
	freshness_t *freshness;
	uint64_t in_flight[READ_KIND_COUNT]; /* id, or 0 */
	uint64_t last_id;
	usec_t next_read;  /* of a watch, or of a check while there are no watches */
	uint32_t failures; /* in a row */
	uint64_t cursor;   /* revision that reads start from; 0 to read all records */
};

read_plan_t *read_plan_create(uint64_t random_seed)
{
	read_plan_t *plan = g_new0(read_plan_t, 1);
	guint32 words[2] = {(guint32)random_seed, (guint32)(random_seed >> 32)};

	plan->rand = g_rand_new_with_seed_array(words, 2);
	plan->freshness = freshness_create(random_seed);
	return plan;
}

void read_plan_destroy(read_plan_t *plan)
{
	if (!plan)
		return;
	freshness_destroy(plan->freshness);
	g_rand_free(plan->rand);
	g_free(plan);
}

static bool may_watch(const read_plan_t *plan)
{
	return plan->cursor > 0 && plan->failures == 0;
}

static usec_t watch_due(const read_plan_t *plan)
{
	if (plan->in_flight[READ_WATCH] || !may_watch(plan))
		return NEVER;
	return plan->next_read;
}

static usec_t check_due(read_plan_t *plan, const read_inputs_t *inputs)
{
	if (plan->in_flight[READ_CHECK])
		return NEVER;
	usec_t due = freshness_check_due(plan->freshness, inputs->as_of, inputs->bound);
	return may_watch(plan) ? due : MIN(due, plan->next_read);
}

usec_t read_plan_due(read_plan_t *plan, const read_inputs_t *inputs)
{
	return MIN(watch_due(plan), check_due(plan, inputs));
}

bool read_plan_next(read_plan_t *plan, const read_inputs_t *inputs, read_order_t *order)
{
	*order = (read_order_t){.after = plan->cursor, .started = inputs->now};
	if (inputs->now >= watch_due(plan)) {
		double wait = g_rand_double_range(plan->rand, WATCH_WAIT_MIN_SEC,
						  WATCH_WAIT_MAX_SEC);
		order->kind = READ_WATCH;
		order->change_wait = (usec_t)(wait * USEC_PER_SEC);
		order->response_wait = WATCH_RESPONSE_WAIT;
	} else if (inputs->now >= check_due(plan, inputs)) {
		order->kind = READ_CHECK;
		order->response_wait = freshness_timeout(inputs->bound);
		freshness_check_started(plan->freshness, inputs->now);
	} else {
		return false;
	}
	order->id = ++plan->last_id;
	plan->in_flight[order->kind] = order->id;
	return true;
}

/* Returns false if the read was abandoned. */
static bool end_read(read_plan_t *plan, const read_order_t *order)
{
	if (plan->in_flight[order->kind] != order->id)
		return false;
	plan->in_flight[order->kind] = 0;
	return true;
}

/* In a large zone the watches start as a Poisson process, and changes reach the other
 * nodes through their peers. In a small one every node receives changes even while its
 * connections to peers are lost. */
static usec_t watch_pause(read_plan_t *plan, bool ready, uint32_t zone_nodes)
{
	if (!ready || zone_nodes <= ZONE_WATCHERS)
		return WATCH_PAUSE;
	double mean = (double)(zone_nodes - ZONE_WATCHERS) / ZONE_WATCHES_PER_SECOND;
	double wait = MIN(-log(1.0 - g_rand_double(plan->rand)), 3.0) * mean;
	return (usec_t)(wait * USEC_PER_SEC) + WATCH_PAUSE;
}

uint32_t read_plan_failures(const read_plan_t *plan)
{
	return plan->failures;
}

bool read_plan_succeeded(read_plan_t *plan, const read_order_t *order,
			 const read_inputs_t *inputs, uint64_t revision,
			 uint32_t zone_nodes)
{
	uint32_t failures = plan->failures;

	if (!end_read(plan, order))
		return false;
	plan->cursor = MAX(plan->cursor, revision);
	plan->failures = 0;
	if (plan->cursor == 0)
		plan->next_read = inputs->now + EMPTY_STORE_PAUSE;
	else if (order->kind == READ_WATCH)
		plan->next_read =
			inputs->now + watch_pause(plan, inputs->ready, zone_nodes);
	else if (failures > 0 || order->after == 0)
		plan->next_read = inputs->now;
	/* A watch from before the failures may be on a connection that is lost. */
	if (failures > 0)
		plan->in_flight[READ_WATCH] = 0;
	return true;
}

bool read_plan_failed(read_plan_t *plan, const read_order_t *order,
		      const read_inputs_t *inputs)
{
	if (!end_read(plan, order))
		return false;
	plan->failures++;
	plan->next_read = inputs->now + sync_store_wait(plan->failures, inputs->ready,
							g_rand_double(plan->rand));
	return true;
}

usec_t read_plan_as_of(const read_order_t *order, usec_t now)
{
	if (order->kind == READ_CHECK)
		return order->started;
	return MAX(order->started, now - RESPONSE_DELAY_MAX);
}

void read_plan_restart(read_plan_t *plan)
{
	plan->in_flight[READ_WATCH] = 0;
	plan->in_flight[READ_CHECK] = 0;
	plan->cursor = 0;
	plan->next_read = 0;
}
