#include "egretscaled/control/config_poll.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "config/freshness.h"
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
/* A watch waits a random time between these for a change, so that the watches of
 * different nodes, which a change ends all at once, end at different times later. */
#define WATCH_WAIT_MIN (3 * USEC_PER_SEC)
#define WATCH_WAIT_MAX (4 * USEC_PER_SEC)
#define WATCH_RESPONSE_WAIT USEC_PER_SEC
/* The response to a watch shows the store's state at most this long before it arrived. */
#define RESPONSE_DELAY_MAX (250 * USEC_PER_MSEC)
/* Pause between reads of a store that holds no configuration yet. */
#define EMPTY_STORE_PAUSE (200 * USEC_PER_MSEC)
#define SEED_INTERVAL (300 * USEC_PER_SEC)
#define SEED_RETRY_INTERVAL (2 * USEC_PER_SEC)
#define PLAN_SPAN_MAX USEC_PER_SEC

/* A read of the records in flight. */
typedef struct read {
	config_poll_t *poll;
	bool is_watch;
	bool abandoned; /* its rows are applied, but it decides nothing else */
	usec_t started;
	uint64_t
		after; /* the revision that a change must exceed; 0 to read all records */
} read_t;

struct config_poll {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	freshness_t *freshness;
	read_t *watch;		/* in flight, or NULL */
	read_t *check;		/* likewise */
	usec_t next_read;	/* of a watch, or of a check while watches fail */
	uint32_t failures;	/* of reads of the records, in a row */
	uint32_t seed_failures; /* to read the addresses, in a row */
	usec_t next_seeds;
	uint64_t cursor; /* revision that reads start from; 0 to read all records */
	bool row_written;
};

static void plan(config_poll_t *poll);

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
static usec_t watch_pause(config_poll_t *poll)
{
	uint32_t nodes = count_zone_nodes(poll->node);

	if (!atomic_load(&poll->node->ready) || nodes <= ZONE_WATCHERS)
		return WATCH_PAUSE;
	double mean = (double)(nodes - ZONE_WATCHERS) / ZONE_POLLS_PER_SECOND;
	double wait = MIN(-log(1.0 - random_unit()), 3.0) * mean;
	return (usec_t)(wait * USEC_PER_SEC) + WATCH_PAUSE;
}

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

static void log_read(const read_t *read, const char *change, const GError *error)
{
	log_rec_t rec;

	log_begin(&rec, error ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "store");
	log_str(&rec, "change", change);
	log_str(&rec, "read", read->is_watch ? "watch" : "check");
	log_int(&rec, "failures", read->poll->failures);
	log_int(&rec, "after", (int64_t)read->after);
	log_int(&rec, "waited_ms", (clock_boot_usec() - read->started) / USEC_PER_MSEC);
	if (error)
		log_str(&rec, "error", error->message);
	log_end(&rec);
}

/* The configuration holds every change that the response shows. */
static void confirm_config(const read_t *read, usec_t now)
{
	node_t *node = read->poll->node;
	usec_t as_of = read->is_watch ? MAX(read->started, now - RESPONSE_DELAY_MAX)
				      : read->started;

	if (!node_confirm_config(node, as_of))
		return;
	pthread_mutex_lock(&node->gossip_lock);
	gossip_push(node->gossip, now);
	pthread_mutex_unlock(&node->gossip_lock);
}

/* The result of the watch, if it has one at all, no longer matters. */
static void abandon_watch(config_poll_t *poll)
{
	if (poll->watch)
		poll->watch->abandoned = true;
	poll->watch = NULL;
}

static void handle_failure(const read_t *read, usec_t now, const GError *error)
{
	config_poll_t *poll = read->poll;
	bool ready = atomic_load(&poll->node->ready);

	poll->failures++;
	log_read(read, "failed", error);
	poll->next_read = now + sync_store_wait(poll->failures, ready, random_unit());
}

static void handle_success(const read_t *read, usec_t now, uint64_t revision)
{
	config_poll_t *poll = read->poll;

	confirm_config(read, now);
	poll->cursor = MAX(poll->cursor, revision);
	if (poll->failures > 0) {
		log_read(read, "regained", NULL);
		/* A watch from before the failures may be on a connection that is lost.
		 */
		abandon_watch(poll);
		poll->next_read = now;
	}
	poll->failures = 0;
	if (read->is_watch || read->after == 0)
		poll->next_read =
			now + (poll->cursor > 0 ? watch_pause(poll) : EMPTY_STORE_PAUSE);
	atomic_store(&poll->node->has_config, true);
	node_check_ready(poll->node);
}

static void handle_rows(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	read_t *read = ctx;
	config_poll_t *poll = read->poll;
	usec_t now = clock_boot_usec();

	if (!error)
		apply_rows(poll, revision, rows, count);
	if (!read->abandoned) {
		if (read->is_watch)
			poll->watch = NULL;
		else
			poll->check = NULL;
		if (error)
			handle_failure(read, now, error);
		else
			handle_success(read, now, revision);
	}
	talloc_free(read);
	plan(poll);
}

static read_t *start_read(config_poll_t *poll, usec_t now, bool is_watch)
{
	usec_t bound = node_bounds(poll->node)->config_apply_time;
	store_wait_t wait = {.response = freshness_timeout(bound)};
	read_t *read = talloc_zero(poll, read_t);

	if (is_watch) {
		usec_t span = WATCH_WAIT_MAX - WATCH_WAIT_MIN;
		wait.change = WATCH_WAIT_MIN + (usec_t)(random_unit() * (double)span);
		wait.response = WATCH_RESPONSE_WAIT;
		counter_add(COUNTER_STORE_WATCHES, 1);
	} else {
		counter_add(COUNTER_STORE_CHECKS, 1);
		freshness_check_started(poll->freshness, now);
	}
	read->poll = poll;
	read->is_watch = is_watch;
	read->started = now;
	read->after = poll->cursor;
	store_watch(poll->store, RECORD_PREFIX, read->after, &wait, handle_rows, read);
	return read;
}

/* A watch that nobody will answer looks like one that waits. A node that has no
 * configuration, or whose last read failed, therefore reads without waiting for a change
 * until that succeeds. */
static bool may_watch(const config_poll_t *poll)
{
	return poll->cursor > 0 && poll->failures == 0;
}

static usec_t check_due(config_poll_t *poll)
{
	usec_t due = freshness_check_due(poll->freshness, node_config_as_of(poll->node),
					 node_bounds(poll->node)->config_apply_time);

	return may_watch(poll) ? due : MIN(due, poll->next_read);
}

static void record_seeds_failure(config_poll_t *poll)
{
	bool ready = atomic_load(&poll->node->ready);

	poll->seed_failures++;
	poll->next_seeds = clock_boot_usec() +
			   sync_store_wait(poll->seed_failures, ready, random_unit());
	plan(poll);
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

static void handle_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	config_poll_t *poll = private_data;
	usec_t now = clock_boot_usec();

	poll->timer = NULL;
	exchange_seeds(poll, now);
	if (!poll->watch && may_watch(poll) && now >= poll->next_read)
		poll->watch = start_read(poll, now, true);
	if (!poll->check && now >= check_due(poll))
		poll->check = start_read(poll, now, false);
	plan(poll);
}

/* Sets the timer to the next read that is due. */
static void plan(config_poll_t *poll)
{
	usec_t now = clock_boot_usec();
	usec_t due = MIN(poll->next_seeds, now + PLAN_SPAN_MAX);

	if (!poll->watch && may_watch(poll))
		due = MIN(due, poll->next_read);
	if (!poll->check)
		due = MIN(due, check_due(poll));
	usec_t wait = MAX(due - now, 0);
	TALLOC_FREE(poll->timer);
	poll->timer = tevent_add_timer(
		poll->ev, poll,
		tevent_timeval_current_ofs((uint32_t)(wait / USEC_PER_SEC),
					   (uint32_t)(wait % USEC_PER_SEC)),
		handle_timer, poll);
}

static int free_freshness(config_poll_t *poll)
{
	freshness_destroy(poll->freshness);
	return 0;
}

config_poll_t *config_poll_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  node_t *node, store_t *store)
{
	config_poll_t *poll = talloc_zero(parent, config_poll_t);

	poll->node = node;
	poll->store = store;
	poll->ev = ev;
	poll->freshness = freshness_create(node_random_id());
	talloc_set_destructor(poll, free_freshness);
	plan(poll);
	return poll;
}

void config_poll_now(config_poll_t *poll)
{
	abandon_watch(poll);
	if (poll->check)
		poll->check->abandoned = true;
	poll->check = NULL;
	poll->cursor = 0;
	poll->next_read = 0;
	plan(poll);
}

void config_poll_destroy(config_poll_t *poll)
{
	talloc_free(poll);
}
