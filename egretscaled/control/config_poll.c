#include "egretscaled/control/config_poll.h"

#include "common/error.h"
#include "common/log.h"
#include "egretscaled/rates/shares_io.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_PREFIX "record/"
#define NODE_PREFIX "node/"
/* Nodes of a zone that watch at any time. */
#define ZONE_WATCHERS 32
#define WATCH_PAUSE (10 * USEC_PER_MSEC)
#define START_POLL (200 * USEC_PER_MSEC)
#define BACKOFF_BASE (500 * USEC_PER_MSEC)
#define BACKOFF_MAX (8 * USEC_PER_SEC)
#define SEED_PERIOD (300 * USEC_PER_SEC)
#define SEED_RETRY (2 * USEC_PER_SEC)

struct config_poll {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	uint32_t failures;
	usec_t next_seeds;
	uint64_t cursor;     /* of the watch; 0 to read all */
	uint32_t generation; /* of the newest watch; earlier ones end by themselves */
	bool row_written;
};

static void schedule(config_poll_t *poll, usec_t wait);

static double uniform(void)
{
	return (double)(node_random_id() >> 11) / (double)(1ull << 53);
}

static uint32_t zone_nodes(node_t *node)
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

/* In a small zone every node watches all the time, so that each learns of changes
 * also while it is cut off from its peers. In larger ones the watches begin as a
 * Poisson process, and peers tell the others. */
static usec_t next_wait(config_poll_t *poll)
{
	if (poll->failures > 0) {
		usec_t span = BACKOFF_BASE << MIN(poll->failures - 1, 4);
		return (usec_t)((0.5 + uniform()) * (double)MIN(span, BACKOFF_MAX));
	}
	if (!atomic_load(&poll->node->ready))
		return START_POLL;
	uint32_t nodes = zone_nodes(poll->node);
	if (nodes <= ZONE_WATCHERS)
		return WATCH_PAUSE;
	double mean = (double)(nodes - ZONE_WATCHERS) / ZONE_POLLS_PER_SECOND;
	double wait = MIN(-log(1.0 - uniform()), 3.0) * mean;
	return (usec_t)(wait * USEC_PER_SEC) + WATCH_PAUSE;
}

typedef struct watch {
	config_poll_t *poll;
	uint32_t generation;
} watch_t;

static void take_rows(config_poll_t *poll, uint64_t revision, const store_row_t *rows,
		      size_t count)
{
	node_config_row_t *taken = g_new0(node_config_row_t, count + 1);

	for (size_t i = 0; i < count; i++)
		taken[i] =
			(node_config_row_t){rows[i].key, rows[i].revision, rows[i].value};
	if (count > 0)
		node_apply_config(poll->node, taken, count, revision, "platform");
	g_free(taken);
}

static void note_store(config_poll_t *poll, const GError *error)
{
	log_rec_t rec;

	if (error && poll->failures++ == 0)
		log_failure("watch the platform for records", error);
	if (error || poll->failures == 0)
		return;
	log_begin(&rec, LOG_LEVEL_INFO, "store");
	log_str(&rec, "change", "regained");
	log_int(&rec, "failures", poll->failures);
	log_end(&rec);
	poll->failures = 0;
}

static void handle_changes(void *ctx, uint64_t revision, const store_row_t *rows,
			   size_t count, const GError *error)
{
	watch_t *watch = ctx;
	config_poll_t *poll = watch->poll;
	bool newest = watch->generation == poll->generation;

	talloc_free(watch);
	if (!error)
		take_rows(poll, revision, rows, count);
	if (!newest)
		return;
	note_store(poll, error);
	if (!error) {
		poll->cursor = MAX(poll->cursor, revision);
		atomic_store(&poll->node->has_config, true);
		node_check_ready(poll->node);
	}
	schedule(poll, next_wait(poll));
}

static void handle_seeds(void *ctx, uint64_t revision, const store_row_t *rows,
			 size_t count, const GError *error)
{
	(void)revision;
	config_poll_t *poll = ctx;
	node_t *node = poll->node;

	if (error)
		return;
	poll->next_seeds = clock_boot_usec() + SEED_PERIOD;
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
	/* Read after the own row is there: of two nodes that start together, the one
	 * that wrote last finds the other. */
	store_changes(poll->store, NODE_PREFIX, 0, handle_seeds, poll);
}

static void handle_row_read(void *ctx, uint64_t revision, const store_row_t *rows,
			    size_t count, const GError *error)
{
	(void)revision;
	config_poll_t *poll = ctx;

	if (error && error->code != EGRET_ERROR_NOT_FOUND)
		return;
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

/* Announces this node at the platform and learns the others' addresses. */
static void exchange_seeds(config_poll_t *poll)
{
	usec_t now = clock_boot_usec();

	if (now < poll->next_seeds)
		return;
	poll->next_seeds = now + SEED_RETRY;
	if (poll->row_written) {
		store_changes(poll->store, NODE_PREFIX, 0, handle_seeds, poll);
		return;
	}
	char *key = g_strconcat(NODE_PREFIX, poll->node->address, NULL);
	store_get(poll->store, key, handle_row_read, poll);
	g_free(key);
}

static void handle_time(struct tevent_context *ev, struct tevent_timer *te,
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
	store_watch(poll->store, RECORD_PREFIX, poll->cursor, handle_changes, watch);
}

static void schedule(config_poll_t *poll, usec_t wait)
{
	TALLOC_FREE(poll->timer);
	poll->timer = tevent_add_timer(
		poll->ev, poll,
		tevent_timeval_current_ofs((uint32_t)(wait / USEC_PER_SEC),
					   (uint32_t)(wait % USEC_PER_SEC)),
		handle_time, poll);
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
