#include "egretscaled/control/config_poll.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "common/revision.h"
#include "config/read_plan.h"
#include "egretscaled/rates/shares_io.h"
#include "membership/sync.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_PREFIX "record/"
#define NODE_PREFIX "node/"
#define SEED_INTERVAL (300 * USEC_PER_SEC)
#define SEED_RETRY_INTERVAL (2 * USEC_PER_SEC)
/* After a change of the store's era all nodes check their address rows, spread over this
 * time: two calls of each node of a few hundred stay within the store's rates. */
#define ERA_SPREAD (3 * USEC_PER_SEC)
/* The timer fires at least this often, as what the plan depends on changes. */
#define PLAN_SPAN_MAX USEC_PER_SEC

struct config_poll {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	read_plan_t *plan;
	uint32_t seed_failures; /* to read the addresses, in a row */
	usec_t next_seeds;
	bool row_written;
	uint64_t era; /* of the store, as far as its rows show */
	bool era_known;
	bool row_to_check; /* the store's copy may hold this node's row */
};

/* A read of the records in flight. */
typedef struct read {
	config_poll_t *poll;
	read_order_t order;
} read_t;

static void schedule(config_poll_t *poll);

static double random_unit(void)
{
	return (double)(node_random_id() >> 11) / (double)(1ull << 53);
}

static uint32_t count_zone_nodes(node_t *node)
{
	const member_t *member;
	uint32_t count = 0;

	pthread_mutex_lock(&node->gossip_lock);
	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	count += member->state <= EGRET__MEMBER_STATE__MEMBER_SUSPECT &&
		 strcmp(member->zone, node->settings->zone) == 0;
	pthread_mutex_unlock(&node->gossip_lock);
	return MAX(count, 1);
}

static read_inputs_t read_inputs(node_t *node)
{
	return (read_inputs_t){
		.now = clock_boot_usec(),
		.as_of = node_config_as_of(node),
		.bound = node_bounds(node)->config_apply_time,
		.ready = atomic_load(&node->ready),
	};
}

/* The store was restored from a copy, which may lack the row of this node. */
static void note_era(config_poll_t *poll, uint64_t revision)
{
	uint64_t era = revision_era(revision);

	if (poll->era_known && era > poll->era) {
		poll->row_written = false;
		poll->row_to_check = true;
		poll->next_seeds =
			clock_boot_usec() + (usec_t)(random_unit() * (double)ERA_SPREAD);
	}
	poll->era_known = true;
	poll->era = MAX(poll->era, era);
}

static uint64_t config_era(node_t *node)
{
	pthread_mutex_lock(&node->config_lock);
	uint64_t era = config_log_era(node->config_log);
	pthread_mutex_unlock(&node->config_lock);
	return era;
}

/* Returns false if the rows are of a former era: peers know that there is a newer one. */
static bool apply_rows(config_poll_t *poll, uint64_t revision, const store_row_t *rows,
		       size_t count)
{
	if (count == 0 && revision_era(revision) == config_era(poll->node))
		return true;
	node_config_row_t *config_rows = g_new0(node_config_row_t, count + 1);

	for (size_t i = 0; i < count; i++)
		config_rows[i] =
			(node_config_row_t){rows[i].key, rows[i].revision, rows[i].value};
	bool applied =
		node_apply_config(poll->node, config_rows, count, revision, "platform");
	g_free(config_rows);
	return applied;
}

static void log_read(const read_order_t *order, const char *change, uint32_t failures,
		     usec_t now, const GError *error)
{
	log_rec_t rec;

	log_begin(&rec, error ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "store");
	log_str(&rec, "change", change);
	log_str(&rec, "read", order->kind == READ_WATCH ? "watch" : "check");
	log_int(&rec, "failures", failures);
	log_int(&rec, "after", (int64_t)order->after);
	log_int(&rec, "waited_ms", (now - order->started) / USEC_PER_MSEC);
	if (error)
		log_str(&rec, "error", error->message);
	log_end(&rec);
}

static void confirm_config(node_t *node, usec_t as_of, usec_t now)
{
	if (!node_confirm_config(node, as_of))
		return;
	pthread_mutex_lock(&node->gossip_lock);
	gossip_push(node->gossip, now);
	pthread_mutex_unlock(&node->gossip_lock);
}

static void handle_failure(const read_t *read, const read_inputs_t *inputs,
			   const GError *error)
{
	read_plan_t *plan = read->poll->plan;

	if (read_plan_failed(plan, &read->order, inputs))
		log_read(&read->order, "failed", read_plan_failures(plan), inputs->now,
			 error);
}

static void handle_success(const read_t *read, const read_inputs_t *inputs,
			   uint64_t revision)
{
	read_plan_t *plan = read->poll->plan;
	node_t *node = read->poll->node;
	uint32_t failures = read_plan_failures(plan);

	if (!read_plan_succeeded(plan, &read->order, inputs, revision,
				 count_zone_nodes(node)))
		return;
	if (failures > 0)
		log_read(&read->order, "regained", failures, inputs->now, NULL);
	confirm_config(node, read_plan_as_of(&read->order, inputs->now), inputs->now);
	atomic_store(&node->has_config, true);
	node_check_ready(node);
}

static void handle_rows(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	read_t *read = ctx;
	config_poll_t *poll = read->poll;
	read_inputs_t inputs = read_inputs(poll->node);

	if (error) {
		handle_failure(read, &inputs, error);
	} else if (apply_rows(poll, revision, rows, count)) {
		note_era(poll, revision);
		handle_success(read, &inputs, revision);
	} else {
		GError *former = g_error_new(EGRET_ERROR, EGRET_ERROR_UNAVAILABLE,
					     "rows of a former era of the store");
		counter_add(COUNTER_STORE_OLD_RESPONSES, 1);
		handle_failure(read, &inputs, former);
		g_error_free(former);
	}
	talloc_free(read);
	schedule(poll);
}

static void record_seeds_failure(config_poll_t *poll)
{
	bool ready = atomic_load(&poll->node->ready);

	poll->seed_failures++;
	poll->next_seeds = clock_boot_usec() +
			   sync_store_wait(poll->seed_failures, ready, random_unit());
	schedule(poll);
}

/* Returns the address of another node, or NULL: another writer may leave any key. */
static const char *peer_address(const node_t *node, const store_row_t *row)
{
	const char *address = row->key + strlen(NODE_PREFIX);
	struct sockaddr_in parsed;

	if (!row->value || strcmp(address, node->address) == 0 ||
	    !address_parse(address, &parsed, NULL))
		return NULL;
	return address;
}

static void handle_seeds(void *ctx, uint64_t revision, const store_row_t *rows,
			 size_t count, const GError *error)
{
	config_poll_t *poll = ctx;
	node_t *node = poll->node;

	if (error) {
		record_seeds_failure(poll);
		return;
	}
	poll->seed_failures = 0;
	poll->next_seeds = clock_boot_usec() +
			   (poll->row_written ? SEED_INTERVAL : SEED_RETRY_INTERVAL);
	note_era(poll, revision);
	shares_io_set_node_count(node, (uint32_t)count);
	atomic_store(&node->has_node_list, true);
	pthread_mutex_lock(&node->gossip_lock);
	for (size_t i = 0; i < count; i++) {
		const char *address = peer_address(node, &rows[i]);
		if (address)
			gossip_add_seed(node->gossip, address);
	}
	pthread_mutex_unlock(&node->gossip_lock);
	node_check_ready(node);
}

static void handle_row_written(void *ctx, uint64_t revision, const GError *error)
{
	config_poll_t *poll = ctx;

	poll->row_written = !error && revision_era(revision) >= poll->era;
	/* The rows are read only after this node's row was written: if two nodes start
	 * together, the one that writes last then finds the other. */
	store_changes(poll->store, NODE_PREFIX, 0, handle_seeds, poll);
}

static void handle_row_read(void *ctx, uint64_t revision, const store_row_t *rows,
			    size_t count, const GError *error)
{
	(void)revision;
	config_poll_t *poll = ctx;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		record_seeds_failure(poll);
		return;
	}
	char *key = g_strconcat(NODE_PREFIX, poll->node->address, NULL);
	json_t *json = json_pack("{s:s}", "zone", poll->node->settings->zone);
	char *value = json_dumps(json, JSON_COMPACT);
	store_write_t write = {.key = key,
			       .expected_revision = count == 1 ? rows[0].revision : 0,
			       .value = value};
	if (poll->row_to_check && count == 1 && g_strcmp0(rows[0].value, value) == 0)
		handle_row_written(poll, rows[0].revision, NULL);
	else
		store_commit(poll->store, &write, 1, handle_row_written, poll);
	json_decref(json);
	free(value);
	g_free(key);
}

/* Writes this node's row (node/ADDRESS) and reads those of the other nodes, whose
 * addresses become seeds. */
static void exchange_seeds(config_poll_t *poll, usec_t now)
{
	if (now < poll->next_seeds)
		return;
	poll->next_seeds = now + SEED_RETRY_INTERVAL;
	if (poll->row_written) {
		store_changes(poll->store, NODE_PREFIX, 0, handle_seeds, poll);
		return;
	}
	char *key = g_strconcat(NODE_PREFIX, poll->node->address, NULL);
	store_get(poll->store, key, handle_row_read, poll);
	g_free(key);
}

static void start_read(config_poll_t *poll, const read_order_t *order)
{
	store_wait_t wait = {order->change_wait, order->response_wait};
	read_t *read = talloc_zero(poll, read_t);

	counter_add(order->kind == READ_WATCH ? COUNTER_STORE_WATCHES
					      : COUNTER_STORE_CHECKS,
		    1);
	read->poll = poll;
	read->order = *order;
	store_watch(poll->store, RECORD_PREFIX, order->after, &wait, handle_rows, read);
}

static void handle_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	config_poll_t *poll = private_data;
	read_inputs_t inputs = read_inputs(poll->node);
	read_order_t order;

	poll->timer = NULL;
	exchange_seeds(poll, inputs.now);
	node_release_config(poll->node);
	while (read_plan_next(poll->plan, &inputs, &order))
		start_read(poll, &order);
	schedule(poll);
}

static void schedule(config_poll_t *poll)
{
	read_inputs_t inputs = read_inputs(poll->node);
	usec_t due = MIN(poll->next_seeds, inputs.now + PLAN_SPAN_MAX);
	usec_t wait = MAX(MIN(due, read_plan_due(poll->plan, &inputs)) - inputs.now, 0);

	TALLOC_FREE(poll->timer);
	poll->timer = tevent_add_timer(
		poll->ev, poll,
		tevent_timeval_current_ofs((uint32_t)(wait / USEC_PER_SEC),
					   (uint32_t)(wait % USEC_PER_SEC)),
		handle_timer, poll);
}

config_poll_t *config_poll_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  node_t *node, store_t *store)
{
	config_poll_t *poll = talloc_zero(parent, config_poll_t);

	poll->node = node;
	poll->store = store;
	poll->ev = ev;
	poll->plan = read_plan_create(node_random_id());
	schedule(poll);
	return poll;
}

void config_poll_now(config_poll_t *poll)
{
	read_plan_restart(poll->plan);
	schedule(poll);
}

void config_poll_destroy(config_poll_t *poll)
{
	read_plan_destroy(poll->plan);
	talloc_free(poll);
}
