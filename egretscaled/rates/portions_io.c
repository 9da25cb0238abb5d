#include "egretscaled/rates/portions_io.h"

#include "common/error.h"
#include "egretscaled/rates/loans_io.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PLAN_PERIOD (10 * USEC_PER_SEC)
/* Time until the next plan after a failed commit, or while the portion is below an even
 * split. */
#define PLAN_RETRY_PERIOD USEC_PER_SEC
/* Time until the next plan after a failed read. */
#define READ_BACKOFF (2 * USEC_PER_SEC)
/* A lower portion is written only after the loans granted before it have expired. */
#define PORTION_LOWER_DELAY TERM_WITH_MARGIN(LOAN_TERM)

typedef enum portion_state {
	PORTION_IDLE,
	PORTION_IN_FLIGHT, /* a read or a commit is in flight */
	PORTION_LOWERING,  /* the lower portion is in force here, but not yet written */
} portion_state_t;

/* The portion of this node's zone of the rates of one partition's accounts. */
typedef struct portion {
	portions_io_t *io;
	uint32_t index;
	portion_state_t state;
	uint64_t revision;
	json_t *zone_portions; /* zone -> thousandths, as last read */
	uint32_t planned;      /* thousandths */
	usec_t next_plan_at;
	usec_t write_at; /* in PORTION_LOWERING */
} portion_t;

struct portions_io {
	node_t *node;
	store_t *store;
	portion_t portions[KEEPER_PARTITIONS];
	uint32_t zone_count; /* at the last step */
};

static char *portion_key(uint32_t index)
{
	return g_strdup_printf("portion/%u", index);
}

static uint32_t sum_portions(const json_t *zone_portions)
{
	const char *zone;
	json_t *value;
	uint32_t total = 0;

	json_object_foreach((json_t *)zone_portions, zone, value) total +=
		(uint32_t)json_integer_value(value);
	return total;
}

/* Puts the portion into force at this node's keeper. */
static void apply_portion(portion_t *portion, uint32_t milli)
{
	node_t *node = portion->io->node;

	pthread_mutex_lock(&node->account_lock);
	keeper_set_portion(node->accounts->keeper, portion->index, milli,
			   clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
}

static void handle_portion_written(void *ctx, uint64_t revision, const GError *error)
{
	(void)revision;
	portion_t *portion = ctx;

	portion->state = PORTION_IDLE;
	portion->next_plan_at =
		clock_boot_usec() + (error ? PLAN_RETRY_PERIOD : PLAN_PERIOD);
	if (!error)
		apply_portion(portion, portion->planned);
}

static void write_portion(portion_t *portion)
{
	char *key = portion_key(portion->index);
	json_t *json = json_object();

	portion->state = PORTION_IN_FLIGHT;
	json_object_set_new(portion->zone_portions, portion->io->node->settings->zone,
			    json_integer(portion->planned));
	json_object_set(json, "zones", portion->zone_portions);
	char *value = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	store_write_t write = {
		.key = key, .expected_revision = portion->revision, .value = value};
	store_commit(portion->io->store, &write, 1, handle_portion_written, portion);
	free(value);
	json_decref(json);
	g_free(key);
}

/* The number of zones that have a record or, if greater, that have live nodes; at least
 * 1. */
static uint32_t count_zones(node_t *node)
{
	config_t *config = node_config(node);
	uint32_t count = config_zone_count(config);

	config_unref(config);
	pthread_mutex_lock(&node->account_lock);
	count = MAX(count, node->accounts->zones->len);
	pthread_mutex_unlock(&node->account_lock);
	return MAX(count, 1);
}

/* Whether another zone that has live nodes holds less than half of an even split
 * (`fair`). */
static bool has_starved_zone(node_t *node, const json_t *zone_portions, uint32_t fair)
{
	bool starved = false;

	pthread_mutex_lock(&node->account_lock);
	for (guint i = 0; i < node->accounts->zones->len; i++) {
		const zone_keepers_t *zone =
			&g_array_index(node->accounts->zones, zone_keepers_t, i);
		json_int_t milli =
			json_integer_value(json_object_get(zone_portions, zone->zone));
		starved = starved || (strcmp(zone->zone, node->settings->zone) != 0 &&
				      milli < fair / 2);
	}
	pthread_mutex_unlock(&node->account_lock);
	return starved;
}

/* Plans the next portion from the row that was read, and starts the change. */
static void plan_portion(portion_t *portion)
{
	node_t *node = portion->io->node;
	json_t *zone_portions = portion->zone_portions;
	uint32_t fair = PORTION_FULL_MILLI / count_zones(node);
	json_t *entry = json_object_get(zone_portions, node->settings->zone);
	uint32_t own = (uint32_t)json_integer_value(entry);
	uint32_t total = sum_portions(zone_portions);
	uint32_t unassigned = total < PORTION_FULL_MILLI ? PORTION_FULL_MILLI - total : 0;
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->account_lock);
	double pressure = keeper_pressure(node->accounts->keeper, portion->index, now);
	pthread_mutex_unlock(&node->account_lock);
	bool starved = has_starved_zone(node, zone_portions, fair);
	uint32_t planned = portion_plan(own, unassigned, fair, pressure, starved);
	portion->planned = planned;
	if (planned < own) {
		apply_portion(portion, planned);
		portion->state = PORTION_LOWERING;
		portion->write_at = now + PORTION_LOWER_DELAY;
		return;
	}
	apply_portion(portion, own);
	if (planned > own) {
		write_portion(portion);
		return;
	}
	portion->state = PORTION_IDLE;
	portion->next_plan_at = now + (own < fair ? PLAN_RETRY_PERIOD : PLAN_PERIOD);
}

static void handle_portion_row(void *ctx, uint64_t revision, const store_row_t *rows,
			       size_t count, const GError *error)
{
	(void)revision;
	portion_t *portion = ctx;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		portion->state = PORTION_IDLE;
		portion->next_plan_at = clock_boot_usec() + READ_BACKOFF;
		return;
	}
	json_t *json =
		count == 1 && rows[0].value ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_decref(portion->zone_portions);
	portion->zone_portions = json_copy(json_object_get(json, "zones"));
	if (!portion->zone_portions)
		portion->zone_portions = json_object();
	portion->revision = count == 1 ? rows[0].revision : 0;
	json_decref(json);
	plan_portion(portion);
}

void portions_io_step(portions_io_t *io, uint32_t index, usec_t now)
{
	portion_t *portion = &io->portions[index];

	if (portion->state == PORTION_LOWERING) {
		if (now >= portion->write_at)
			write_portion(portion);
		return;
	}
	if (portion->state != PORTION_IDLE || now < portion->next_plan_at)
		return;
	portion->state = PORTION_IN_FLIGHT;
	char *key = portion_key(portion->index);
	store_get(portion->io->store, key, handle_portion_row, portion);
	g_free(key);
}

void portions_io_replan(portions_io_t *io, uint32_t index, usec_t now)
{
	io->portions[index].next_plan_at = now;
}

/* The even split, and so the plan of each partition, depends on the number of zones. */
void portions_io_check_zones(portions_io_t *io, usec_t now)
{
	uint32_t count = count_zones(io->node);

	if (count == io->zone_count)
		return;
	io->zone_count = count;
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		portions_io_replan(io, i, now);
}

portions_io_t *portions_io_create(TALLOC_CTX *parent, node_t *node, store_t *store)
{
	portions_io_t *io = talloc_zero(parent, portions_io_t);

	io->node = node;
	io->store = store;
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		io->portions[i].io = io;
		io->portions[i].index = i;
	}
	return io;
}

void portions_io_destroy(portions_io_t *io)
{
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		json_decref(io->portions[i].zone_portions);
	talloc_free(io);
}
