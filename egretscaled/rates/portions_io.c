#include "egretscaled/rates/portions_io.h"

#include "common/error.h"
#include "egretscaled/rates/loans_io.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PORTION_PERIOD (10 * USEC_PER_SEC)
#define PORTION_RETRY USEC_PER_SEC
#define READ_BACKOFF (2 * USEC_PER_SEC)
/* A lower portion is written only after the loans made before have ended. */
#define PORTION_LOWER_DELAY TERM_WITH_MARGIN(LOAN_TERM)

typedef enum portion_step {
	PORTION_IDLE,
	PORTION_BUSY,
	PORTION_LOWERING, /* in force here, not yet written */
} portion_step_t;

/* The own zone's portion of one partition. */
typedef struct portion {
	portions_io_t *io;
	uint32_t index;
	portion_step_t step;
	uint64_t revision;
	json_t *zones; /* zone -> thousandths, as last read */
	uint32_t wanted;
	usec_t next;
	usec_t write_at;
} portion_t;

struct portions_io {
	node_t *node;
	store_t *store;
	portion_t portions[KEEPER_PARTITIONS];
	uint32_t zones; /* with nodes, as last seen */
};

static char *portion_key(uint32_t index)
{
	return g_strdup_printf("portion/%u", index);
}

static uint32_t held_in_total(const json_t *zones)
{
	const char *zone;
	json_t *value;
	uint32_t total = 0;

	json_object_foreach((json_t *)zones, zone, value) total +=
		(uint32_t)json_integer_value(value);
	return total;
}

static void set_portion(portion_t *portion, uint32_t milli)
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

	portion->step = PORTION_IDLE;
	portion->next = clock_boot_usec() + (error ? PORTION_RETRY : PORTION_PERIOD);
	if (!error)
		set_portion(portion, portion->wanted);
}

static void write_portion(portion_t *portion)
{
	char *key = portion_key(portion->index);
	json_t *json = json_object();

	portion->step = PORTION_BUSY;
	json_object_set_new(portion->zones, portion->io->node->settings->zone,
			    json_integer(portion->wanted));
	json_object_set(json, "zones", portion->zones);
	char *value = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	store_write_t write = {
		.key = key, .expected_revision = portion->revision, .value = value};
	store_commit(portion->io->store, &write, 1, handle_portion_written, portion);
	free(value);
	json_decref(json);
	g_free(key);
}

static uint32_t zone_count(node_t *node)
{
	config_t *config = node_config(node);
	uint32_t count = config_zone_count(config);

	config_unref(config);
	pthread_mutex_lock(&node->account_lock);
	count = MAX(count, node->accounts->zones->len);
	pthread_mutex_unlock(&node->account_lock);
	return MAX(count, 1);
}

/* Whether a zone that has nodes holds less than half of an even part. */
static bool other_zone_starves(node_t *node, const json_t *portions, uint32_t fair)
{
	bool starved = false;

	pthread_mutex_lock(&node->account_lock);
	for (guint i = 0; i < node->accounts->zones->len; i++) {
		const zone_keepers_t *zone =
			&g_array_index(node->accounts->zones, zone_keepers_t, i);
		json_int_t milli =
			json_integer_value(json_object_get(portions, zone->zone));
		starved = starved || (strcmp(zone->zone, node->settings->zone) != 0 &&
				      milli < fair / 2);
	}
	pthread_mutex_unlock(&node->account_lock);
	return starved;
}

/* Decides the next portion from the row as it is. */
static void plan_portion(portion_t *portion)
{
	node_t *node = portion->io->node;
	json_t *zones = portion->zones;
	uint32_t fair = PORTION_FULL_MILLI / zone_count(node);
	json_t *entry = json_object_get(zones, node->settings->zone);
	uint32_t own = (uint32_t)json_integer_value(entry);
	uint32_t total = held_in_total(zones);
	uint32_t free_part = total < PORTION_FULL_MILLI ? PORTION_FULL_MILLI - total : 0;
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->account_lock);
	double pressure = keeper_pressure(node->accounts->keeper, portion->index, now);
	pthread_mutex_unlock(&node->account_lock);
	bool starved = other_zone_starves(node, zones, fair);
	uint32_t next = portion_plan(own, free_part, fair, pressure, starved);
	portion->wanted = next;
	if (next < own) {
		set_portion(portion, next);
		portion->step = PORTION_LOWERING;
		portion->write_at = now + PORTION_LOWER_DELAY;
		return;
	}
	set_portion(portion, own);
	if (next > own) {
		write_portion(portion);
		return;
	}
	portion->step = PORTION_IDLE;
	portion->next = now + (own < fair ? PORTION_RETRY : PORTION_PERIOD);
}

static void handle_portion_row(void *ctx, uint64_t revision, const store_row_t *rows,
			       size_t count, const GError *error)
{
	(void)revision;
	portion_t *portion = ctx;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		portion->step = PORTION_IDLE;
		portion->next = clock_boot_usec() + READ_BACKOFF;
		return;
	}
	json_t *json =
		count == 1 && rows[0].value ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_decref(portion->zones);
	portion->zones = json_copy(json_object_get(json, "zones"));
	if (!portion->zones)
		portion->zones = json_object();
	portion->revision = count == 1 ? rows[0].revision : 0;
	json_decref(json);
	plan_portion(portion);
}

void portions_io_step(portions_io_t *io, uint32_t index, usec_t now)
{
	portion_t *portion = &io->portions[index];

	if (portion->step == PORTION_LOWERING) {
		if (now >= portion->write_at)
			write_portion(portion);
		return;
	}
	if (portion->step != PORTION_IDLE || now < portion->next)
		return;
	portion->step = PORTION_BUSY;
	char *key = portion_key(portion->index);
	store_get(portion->io->store, key, handle_portion_row, portion);
	g_free(key);
}

void portions_io_replan(portions_io_t *io, uint32_t index, usec_t now)
{
	io->portions[index].next = now;
}

/* A zone more or less changes what is an even part. */
void portions_io_check_zones(portions_io_t *io, usec_t now)
{
	uint32_t zones = zone_count(io->node);

	if (zones == io->zones)
		return;
	io->zones = zones;
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
		json_decref(io->portions[i].zones);
	talloc_free(io);
}
