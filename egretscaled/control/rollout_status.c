#include "egretscaled/control/rollout_status.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "egretscaled/node/rollout.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define TICK_PERIOD (100 * USEC_PER_MSEC)
#define RETRY_WAIT USEC_PER_SEC
/* Longest random wait before a write. */
#define WRITE_WAIT_MAX (USEC_PER_SEC / 2)
/* The old instances stop as soon as `completed` is written. Before that, the verdict
 * reaches all nodes and their calls to old instances end: this part (1/N) of the
 * duration, within limits. */
#define SETTLE_DIVISOR 8
#define SETTLE_MIN (USEC_PER_SEC / 2)
#define SETTLE_MAX (5 * USEC_PER_SEC)
#define KEY_PREFIX "status/rollout/"
#define ERA_SPREAD (3 * USEC_PER_SEC)

/* What is known of the row of one order. */
typedef struct status_row {
	rollout_status_io_t *io;
	rollout_order_t order;
	uint64_t revision;	/* of the row; 0 without one */
	bool read;		/* the row was read since the order is known */
	bool restored;		/* the era changed since: what was written may be lost */
	rollout_state_t state;	/* in the row, of this order */
	rollout_state_t wanted; /* the write of this state is planned or in flight */
	usec_t next_at;
	bool busy; /* an operation is in flight */
} status_row_t;

struct rollout_status_io {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	GHashTable *rows; /* service -> status_row_t */
	uint64_t era;	  /* of the store */
};

/* Rows live as long as the module, since callbacks of the store refer to them. */
static status_row_t *find_row(rollout_status_io_t *io, const rollout_order_t *order)
{
	status_row_t *row = g_hash_table_lookup(io->rows, order->service);

	if (!row) {
		row = g_new0(status_row_t, 1);
		row->io = io;
		row->order = *order;
		g_hash_table_insert(io->rows, row->order.service, row);
	} else if (!row->busy && (row->order.id != order->id ||
				  strcmp(row->order.to, order->to) != 0)) {
		row->order = *order;
		row->read = false;
		row->restored = false;
		row->state = ROLLOUT_NONE;
		row->wanted = ROLLOUT_NONE;
		row->next_at = 0;
	}
	return row;
}

static rollout_state_t parse_state(const char *text)
{
	for (int state = ROLLOUT_IN_PROGRESS; state <= ROLLOUT_ROLLED_BACK; state++) {
		if (g_strcmp0(text, rollout_state_name((rollout_state_t)state)) == 0)
			return (rollout_state_t)state;
	}
	return ROLLOUT_NONE;
}

/* Returns the state in the row's value, or ROLLOUT_NONE if it is of another order. */
static rollout_state_t decode_state(const char *value, const rollout_order_t *order)
{
	json_t *json = value ? json_loads(value, 0, NULL) : NULL;
	rollout_state_t state = ROLLOUT_NONE;

	if ((uint64_t)json_integer_value(json_object_get(json, "order")) == order->id &&
	    g_strcmp0(json_string_value(json_object_get(json, "to")), order->to) == 0)
		state = parse_state(json_string_value(json_object_get(json, "state")));
	json_decref(json);
	return state;
}

typedef struct lookup {
	const rollout_order_t *order;
	bool found;
	rollout_status_t status;
} lookup_t;

static void find_status(void *ctx, const rollout_status_t *status)
{
	lookup_t *lookup = ctx;

	if (strcmp(status->order.service, lookup->order->service) != 0)
		return;
	lookup->found = true;
	lookup->status = *status;
}

/* The row of the order was read or written. */
static void apply_row(status_row_t *row)
{
	node_t *node = row->io->node;
	lookup_t lookup = {.order = &row->order};
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->router_lock);
	const char *to = rollout_version(node->rollout, row->order.service);
	bool changed =
		rollout_handle_recorded(node->rollout, row->order.service, row->order.to,
					row->order.id, row->state, now);
	rollout_foreach(node->rollout, now, find_status, &lookup);
	/* The order may have changed while the row was read. */
	if (to && lookup.found && lookup.status.order.id == row->order.id)
		rollout_allow(node->rollout, row->order.service);
	pthread_mutex_unlock(&node->router_lock);
	if (changed && lookup.found)
		node_rollout_log(&lookup.status, "store");
}

static void log_failure_of(const status_row_t *row, const char *change,
			   const GError *error)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_WARN, "rollout");
	log_str(&rec, "change", change);
	log_str(&rec, "service", row->order.service);
	log_str(&rec, "error", error->message);
	log_end(&rec);
}

static void handle_read(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	(void)revision;
	status_row_t *row = ctx;

	row->busy = false;
	row->next_at = clock_boot_usec() + RETRY_WAIT;
	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		log_failure_of(row, "status not read", error);
		return;
	}
	row->next_at = 0;
	row->read = true;
	row->revision = count == 1 ? rows[0].revision : STORE_REVISION_NONE;
	row->state = count == 1 ? decode_state(rows[0].value, &row->order) : ROLLOUT_NONE;
	row->wanted = ROLLOUT_NONE;
	apply_row(row);
}

static void handle_written(void *ctx, uint64_t revision, const GError *error)
{
	status_row_t *row = ctx;

	row->busy = false;
	if (error) {
		/* Another node may have written it, or the outcome is not known. */
		row->read = false;
		row->next_at = clock_boot_usec() +
			       (error->code == EGRET_ERROR_CONFLICT ? 0 : RETRY_WAIT);
		if (error->code != EGRET_ERROR_CONFLICT)
			log_failure_of(row, "status not written", error);
		return;
	}
	counter_add(COUNTER_ROLLOUT_STATUS_WRITES, 1);
	row->revision = revision;
	row->state = row->wanted;
	apply_row(row);
}

static void read_row(status_row_t *row)
{
	char *key = g_strconcat(KEY_PREFIX, row->order.service, NULL);

	row->busy = true;
	store_get(row->io->store, key, handle_read, row);
	g_free(key);
}

static void write_row(status_row_t *row)
{
	char *key = g_strconcat(KEY_PREFIX, row->order.service, NULL);
	json_t *json = json_pack("{s:s, s:s, s:s, s:I}", "service", row->order.service,
				 "state", rollout_state_name(row->wanted), "to",
				 row->order.to, "order", (json_int_t)row->order.id);
	char *value = json_dumps(json, JSON_COMPACT);
	store_write_t write = {
		.key = key, .expected_revision = row->revision, .value = value};

	row->busy = true;
	store_commit(row->io->store, &write, 1, handle_written, row);
	json_decref(json);
	free(value);
	g_free(key);
}

static usec_t random_wait(void)
{
	return (usec_t)(node_random_id() % (uint64_t)WRITE_WAIT_MAX);
}

static bool is_settled(const rollout_status_t *status)
{
	usec_t wait =
		CLAMP(status->order.duration / SETTLE_DIVISOR, SETTLE_MIN, SETTLE_MAX);

	return status->state != ROLLOUT_COMPLETED || status->state_age >= wait;
}

/* Starts what the row needs next, if anything. */
static void advance_row(status_row_t *row, const rollout_status_t *status, usec_t now)
{
	if (row->busy || now < row->next_at)
		return;
	if (!row->read) {
		read_row(row);
		return;
	}
	/* A recorded state that is not in the row was lost with the store's copy. */
	bool lost = row->state == ROLLOUT_NONE || row->restored;
	if (status->state == row->state || (status->recorded && !lost) ||
	    row->state > ROLLOUT_IN_PROGRESS || !is_settled(status))
		return;
	if (row->wanted != status->state) {
		row->wanted = status->state;
		row->next_at = now + random_wait();
		return;
	}
	/* Others may have written it during the wait: the write is conditional. */
	write_row(row);
}

static void collect_status(void *ctx, const rollout_status_t *status)
{
	g_array_append_val((GArray *)ctx, *status);
}

/* After a change of the store's era all rows are read again, spread over ERA_SPREAD. */
static void check_era(rollout_status_io_t *io, usec_t now)
{
	node_t *node = io->node;
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&node->config_lock);
	uint64_t era = config_log_era(node->config_log);
	pthread_mutex_unlock(&node->config_lock);
	if (era == io->era)
		return;
	io->era = era;
	g_hash_table_iter_init(&iter, io->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		status_row_t *row = value;
		row->read = false;
		row->restored = true;
		row->next_at = now + (usec_t)(node_random_id() % (uint64_t)ERA_SPREAD);
	}
}

static void schedule_tick(rollout_status_io_t *io);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	rollout_status_io_t *io = private_data;
	node_t *node = io->node;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(rollout_status_t));
	usec_t now = clock_boot_usec();

	check_era(io, now);
	pthread_mutex_lock(&node->router_lock);
	rollout_foreach(node->rollout, now, collect_status, list);
	pthread_mutex_unlock(&node->router_lock);
	for (guint i = 0; i < list->len; i++) {
		const rollout_status_t *status =
			&g_array_index(list, rollout_status_t, i);
		status_row_t *row = find_row(io, &status->order);
		if (row->order.id == status->order.id)
			advance_row(row, status, now);
	}
	g_array_free(list, TRUE);
	schedule_tick(io);
}

static void schedule_tick(rollout_status_io_t *io)
{
	io->timer = tevent_add_timer(
		io->ev, io, tevent_timeval_current_ofs(0, TICK_PERIOD), handle_tick, io);
}

rollout_status_io_t *rollout_status_create(TALLOC_CTX *parent, struct tevent_context *ev,
					   node_t *node, store_t *store)
{
	rollout_status_io_t *io = talloc_zero(parent, rollout_status_io_t);

	io->node = node;
	io->store = store;
	io->ev = ev;
	io->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	schedule_tick(io);
	return io;
}

void rollout_status_destroy(rollout_status_io_t *io)
{
	if (!io)
		return;
	g_hash_table_destroy(io->rows);
	talloc_free(io);
}
