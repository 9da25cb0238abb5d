#include "egretscaled/control/config_poll.h"

#include "common/error.h"
#include "common/log.h"
#include "egretscaled/rates/shares_io.h"
#include "membership/sync.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_PREFIX "record/"
#define NODE_PREFIX "node/"
/* In a zone of up to this many nodes, each node watches without a break. */
#define ZONE_WATCHERS 32
#define WATCH_PAUSE (10 * USEC_PER_MSEC)
#define START_POLL_INTERVAL (200 * USEC_PER_MSEC)
#define SEED_INTERVAL (300 * USEC_PER_SEC)
#define SEED_RETRY_INTERVAL (2 * USEC_PER_SEC)

struct config_poll {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	uint32_t failures;
	uint32_t seed_failures; /* to read the addresses, in a row */
	usec_t next_seeds;
	uint64_t cursor; /* revision that the watch starts from; 0 to read all records */
	uint32_t generation; /* of the newest watch; replies to earlier ones don't
				reschedule */
	bool row_written;
};

static void schedule(config_poll_t *poll, usec_t wait);

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

/* In a small zone every node watches without a break, so that each receives changes even
 * while its connections to peers are lost. In a larger zone the watches start as a
 * Poisson process, and changes reach the other nodes through their peers. */
static usec_t next_wait(config_poll_t *poll)
{
	bool ready = atomic_load(&poll->node->ready);
	uint32_t failures =
		ready ? poll->failures : MAX(poll->failures, poll->seed_failures);

	if (failures > 0)
		return sync_store_wait(failures, ready, random_unit());
	if (!ready)
		return START_POLL_INTERVAL;
	uint32_t nodes = count_zone_nodes(poll->node);
	if (nodes <= ZONE_WATCHERS)
		return WATCH_PAUSE;
	double mean = (double)(nodes - ZONE_WATCHERS) / ZONE_POLLS_PER_SECOND;
	double wait = MIN(-log(1.0 - random_unit()), 3.0) * mean;
	return (usec_t)(wait * USEC_PER_SEC) + WATCH_PAUSE;
}

typedef struct watch {
	config_poll_t *poll;
	uint32_t generation;
	usec_t started;
	uint64_t after; /* the revision that it waits to be exceeded; 0 for a full read */
} watch_t;

static void apply_rows(config_poll_t *poll, uint64_t revision, const store_row_t *rows,
		       size_t count)
{
	node_config_row_t *config_rows = g_new0(node_config_row_t, count + 1);

	for (size_t i = 0; i < count; i++)
		config_rows[i] =
			(node_config_row_t){rows[i].key, rows[i].revision, rows[i].value};
	if (count > 0)
		node_apply_config(poll->node, config_rows, count, revision, "platform");
	g_free(config_rows);
}

static void log_store(const watch_t *watch, const char *change, const GError *error)
{
	log_rec_t rec;

	log_begin(&rec, error ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "store");
	log_str(&rec, "change", change);
	log_int(&rec, "failures", watch->poll->failures);
	log_int(&rec, "after", (int64_t)watch->after);
	log_int(&rec, "waited_ms", (clock_boot_usec() - watch->started) / USEC_PER_MSEC);
	if (error)
		log_str(&rec, "error", error->message);
	log_end(&rec);
}

/* Counts the reads that failed in a row, for the backoff. Logs each failure and the first
 * success after failures. */
static void record_watch_result(const watch_t *watch, const GError *error)
{
	config_poll_t *poll = watch->poll;

	if (error) {
		poll->failures++;
		log_store(watch, "failed", error);
		return;
	}
	if (poll->failures > 0)
		log_store(watch, "regained", NULL);
	poll->failures = 0;
}

static void handle_changes(void *ctx, uint64_t revision, const store_row_t *rows,
			   size_t count, const GError *error)
{
	watch_t *watch = ctx;
	config_poll_t *poll = watch->poll;
	bool newest = watch->generation == poll->generation;

	if (!error)
		apply_rows(poll, revision, rows, count);
	if (newest)
		record_watch_result(watch, error);
	talloc_free(watch);
	if (!newest)
		return;
	if (!error) {
		poll->cursor = MAX(poll->cursor, revision);
		atomic_store(&poll->node->has_config, true);
		node_check_ready(poll->node);
	}
	schedule(poll, next_wait(poll));
}

/* A node that is not ready reads the addresses again with its next read of the records.
 */
static void record_seeds_failure(config_poll_t *poll)
{
	poll->seed_failures++;
	if (!atomic_load(&poll->node->ready))
		poll->next_seeds = 0;
}

static void handle_seeds(void *ctx, uint64_t revision, const store_row_t *rows,
			 size_t count, const GError *error)
{
	(void)revision;
	config_poll_t *poll = ctx;
	node_t *node = poll->node;

	if (error) {
		record_seeds_failure(poll);
		return;
	}
	poll->seed_failures = 0;
	poll->next_seeds = clock_boot_usec() + SEED_INTERVAL;
	for (size_t i = 0; i < count; i++) {
		if (rows[i].value)
			shares_io_handle_address(node, rows[i].key + strlen(NODE_PREFIX));
	}
	atomic_store(&node->has_node_list, true);
	pthread_mutex_lock(&node->gossip_lock);
	for (size_t i = 0; i < count; i++) {
		const char *address = rows[i].key + strlen(NODE_PREFIX);
		if (rows[i].value && strcmp(address, node->address) != 0)
			gossip_add_seed(node->gossip, address);
	}
	pthread_mutex_unlock(&node->gossip_lock);
	node_check_ready(node);
}

static void handle_row_written(void *ctx, uint64_t revision, const GError *error)
{
	config_poll_t *poll = ctx;

	(void)revision;
	poll->row_written = !error;
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
	store_commit(poll->store, &write, 1, handle_row_written, poll);
	json_decref(json);
	free(value);
	g_free(key);
}

/* Writes this node's row (node/ADDRESS) and reads those of the other nodes, whose
 * addresses become seeds. */
static void exchange_seeds(config_poll_t *poll)
{
	usec_t now = clock_boot_usec();

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

static void handle_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	config_poll_t *poll = private_data;
	watch_t *watch = talloc_zero(poll, watch_t);

	poll->timer = NULL;
	watch->poll = poll;
	watch->generation = ++poll->generation;
	exchange_seeds(poll);
	/* Without the addresses the records are read without waiting for a change, which
	 * would delay the next read of the addresses. */
	watch->after = atomic_load(&poll->node->has_node_list) ? poll->cursor : 0;
	watch->started = clock_boot_usec();
	store_watch(poll->store, RECORD_PREFIX, watch->after, handle_changes, watch);
}

static void schedule(config_poll_t *poll, usec_t wait)
{
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
	schedule(poll, 0);
	return poll;
}

void config_poll_now(config_poll_t *poll)
{
	poll->cursor = 0;
	schedule(poll, 0);
}

void config_poll_destroy(config_poll_t *poll)
{
	talloc_free(poll);
}
