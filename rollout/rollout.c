#include "rollout/rollout.h"

#include "rollout/counts.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define DECIDE_PERIOD (200 * USEC_PER_MSEC)
/* The recent responses are those of this many rotations, so that they come from several
 * instances. */
#define WINDOW_ROTATIONS 4
#define ROTATION_MAX USEC_PER_SEC
/* A version that is bad where it was tested, and was hardly tested elsewhere, gets this
 * part of the time that the bound allows from its 50th bad response to show whether it is
 * bad elsewhere. */
#define OPEN_PART 0.5
#define OPEN_BAD_MIN 25
/* With fewer bad responses, it is rolled back at this share of the duration. */
#define OPEN_AT 0.95
/* Responses of the new version that complete a roll-out at ROLLOUT_COMPLETE_AT. */
#define RESPONSES_MIN 100

typedef struct source {
	rollout_report_t report;
	usec_t received_at;
} source_t;

typedef struct order {
	rollout_order_t order;
	usec_t started_at; /* when the first node learned of it, as far as is known */
	usec_t learned_at; /* by this node */
	bool allowed;
	bool has_new;
	bool sole;	  /* see rollout_set_sole() */
	bool sole_before; /* when this node learned of the order */
	rollout_state_t state;
	usec_t state_at;
	bool recorded;
	uint64_t sent_new;
	uint64_t ended;
	rollout_report_t own; /* only the cells are kept up to date */
	GHashTable *sources;  /* node -> source_t */
	usec_t decided_at;
	/* Sums at the start of the last rotations, the oldest first: a version that
	 * becomes bad later is compared by its recent responses, too. */
	counts_t *window[WINDOW_ROTATIONS];
	int64_t window_rotation;
	usec_t open_since; /* of COMPARE_OPEN; 0 if not */
	compare_result_t found;
	compare_verdict_t overall; /* of all responses */
} order_t;

struct rollout {
	double share;
	usec_t open_time;
	uint64_t node;
	GHashTable *orders; /* service -> order_t */
};

static const char *const state_names[] = {
	[ROLLOUT_NONE] = "none",
	[ROLLOUT_IN_PROGRESS] = "in_progress",
	[ROLLOUT_COMPLETED] = "completed",
	[ROLLOUT_ROLLED_BACK] = "rolled_back",
};

const char *rollout_state_name(rollout_state_t state)
{
	return state_names[state];
}

/* 32 bits keep the messages small. */
static uint64_t hash_name(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

static void free_order(void *data)
{
	order_t *order = data;

	g_hash_table_destroy(order->sources);
	for (int i = 0; i < WINDOW_ROTATIONS; i++)
		counts_destroy(order->window[i]);
	g_free(order);
}

rollout_t *rollout_create(double share, usec_t rollback, uint64_t node)
{
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->share = share * ROLLOUT_SHARE_USED;
	rollout->open_time = (usec_t)((double)rollback * OPEN_PART);
	rollout->node = node;
	rollout->orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_order);
	return rollout;
}

void rollout_destroy(rollout_t *rollout)
{
	if (!rollout)
		return;
	g_hash_table_destroy(rollout->orders);
	g_free(rollout);
}

static order_t *find_order(const rollout_t *rollout, const char *service)
{
	return g_hash_table_lookup(rollout->orders, service);
}

static bool is_order(const order_t *order, const char *to, uint64_t id)
{
	return order && order->order.id == id && strcmp(order->order.to, to) == 0;
}

bool rollout_set_order(rollout_t *rollout, const rollout_order_t *order, usec_t now)
{
	if (is_order(find_order(rollout, order->service), order->to, order->id))
		return false;
	order_t *added = g_new0(order_t, 1);
	added->order = *order;
	added->started_at = now;
	added->learned_at = now;
	added->state_at = now;
	added->state = ROLLOUT_IN_PROGRESS;
	added->sources = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (int i = 0; i < WINDOW_ROTATIONS; i++)
		added->window[i] = counts_create();
	g_hash_table_replace(rollout->orders, added->order.service, added);
	return true;
}

void rollout_withdraw(rollout_t *rollout, const char *service)
{
	g_hash_table_remove(rollout->orders, service);
}

void rollout_allow(rollout_t *rollout, const char *service)
{
	order_t *order = find_order(rollout, service);

	if (order)
		order->allowed = true;
}

void rollout_set_available(rollout_t *rollout, const char *service, bool has_new)
{
	order_t *order = find_order(rollout, service);

	if (order)
		order->has_new = has_new;
}

void rollout_set_sole(rollout_t *rollout, const char *service, bool sole)
{
	order_t *order = find_order(rollout, service);

	if (order)
		order->sole = sole;
}

void rollout_set_sole_before(rollout_t *rollout, const char *service)
{
	order_t *order = find_order(rollout, service);

	if (order)
		order->sole = order->sole_before = true;
}

rollout_choice_t rollout_choose(const rollout_t *rollout, const char *service)
{
	const order_t *order = find_order(rollout, service);

	if (!order)
		return ROLLOUT_ANY;
	if (order->state == ROLLOUT_COMPLETED)
		return ROLLOUT_NEW;
	if (order->sole && order->state == ROLLOUT_IN_PROGRESS &&
	    (order->sole_before || order->allowed))
		return ROLLOUT_NEW;
	if (order->state == ROLLOUT_ROLLED_BACK || !order->allowed || !order->has_new)
		return ROLLOUT_OLD;
	double bound = rollout->share * (double)order->ended;
	return (double)(order->sent_new + 1) <= bound ? ROLLOUT_NEW : ROLLOUT_OLD;
}

static int64_t rotation(const order_t *order, usec_t now)
{
	usec_t length = CLAMP(order->order.duration / ROLLOUT_ROTATIONS, 1, ROTATION_MAX);

	return MAX(now - order->started_at, 0) / length;
}

/* An instance's place among those of its zone. */
typedef struct place {
	const rollout_instance_t *instance;
	uint64_t hash;
	uint32_t rank;
	uint32_t turn;
} place_t;

static bool is_before(const place_t *a, const place_t *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return strcmp(a->instance->zone, b->instance->zone) < 0;
}

/* Finds the order in which the instances take turns: those of the zones alternate. */
static void find_turns(place_t *places, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < count; j++)
			places[i].rank += places[j].hash < places[i].hash &&
					  strcmp(places[j].instance->zone,
						 places[i].instance->zone) == 0;
	}
	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < count; j++)
			places[i].turn += is_before(&places[j], &places[i]);
	}
}

void rollout_select(const rollout_t *rollout, const char *service,
		    const rollout_instance_t *instances, uint32_t count, usec_t now,
		    bool *used)
{
	const order_t *order = find_order(rollout, service);
	uint32_t wanted = (uint32_t)MAX(lround(rollout->share * count), 1);

	for (uint32_t i = 0; i < count; i++)
		used[i] = true;
	if (count == 0 || !order || order->state != ROLLOUT_IN_PROGRESS || order->sole ||
	    wanted >= count)
		return;
	place_t *places = g_new0(place_t, count);
	for (uint32_t i = 0; i < count; i++) {
		const char *address = instances[i].address;
		places[i].instance = &instances[i];
		places[i].hash = XXH64(address, strlen(address), order->order.id);
	}
	find_turns(places, count);
	uint32_t first = (uint32_t)(rotation(order, now) * wanted % count);
	for (uint32_t i = 0; i < count; i++)
		used[i] = (places[i].turn + count - first) % count < wanted;
	g_free(places);
}

void rollout_handle_send(rollout_t *rollout, const char *service, const char *version)
{
	order_t *order = find_order(rollout, service);

	if (order && strcmp(order->order.to, version) == 0)
		order->sent_new++;
}

/* Finds the cell of a report or adds it; returns NULL if there is no room. */
static rollout_cell_t *report_cell(rollout_report_t *report, const rollout_cell_t *like)
{
	for (uint32_t i = 0; i < report->cell_count; i++) {
		if (counts_same_cell(&report->cells[i], like))
			return &report->cells[i];
	}
	if (report->cell_count == ROLLOUT_CELLS_MAX)
		return NULL;
	rollout_cell_t *cell = &report->cells[report->cell_count++];
	*cell = (rollout_cell_t){.is_new = like->is_new,
				 .route = like->route,
				 .zone = like->zone,
				 .instance = like->instance};
	return cell;
}

/* Returns NULL if there is no room; the result then counts for the share only. */
static rollout_cell_t *own_cell(order_t *order, const rollout_result_t *result)
{
	bool is_new = strcmp(result->version, order->order.to) == 0;
	rollout_cell_t like = {
		.is_new = is_new,
		.route = hash_name(result->route),
		.zone = hash_name(result->zone),
		.instance = is_new ? hash_name(result->instance) : 0,
	};

	return report_cell(&order->own, &like);
}

static int time_bucket(usec_t time)
{
	double ms = MAX((double)time / (double)USEC_PER_MSEC, 1);

	return MIN((int)(2 * log2(ms)), COMPARE_TIME_BUCKETS - 1);
}

static void count_result(rollout_cell_t *cell, const rollout_result_t *result)
{
	if (result->outcome == ROLLOUT_LOST) {
		cell->lost++;
		return;
	}
	cell->responses++;
	if (result->outcome == ROLLOUT_FAILED)
		cell->failures++;
	else if (!result->cold)
		cell->times[time_bucket(result->time)]++;
}

void rollout_handle_result(rollout_t *rollout, const rollout_result_t *result)
{
	order_t *order = find_order(rollout, result->service);

	/* A request that was sent under an earlier order or before any says nothing. */
	if (!order || result->sent_at < order->learned_at)
		return;
	if (result->outcome == ROLLOUT_NOT_SENT) {
		if (strcmp(result->version, order->order.to) == 0 && order->sent_new > 0)
			order->sent_new--;
		return;
	}
	order->ended++;
	if (result->outcome == ROLLOUT_UNKNOWN)
		return;
	rollout_cell_t *cell = own_cell(order, result);
	if (cell)
		count_result(cell, result);
}

bool rollout_report(const rollout_t *rollout, const char *service, usec_t now,
		    rollout_report_t *out)
{
	const order_t *order = find_order(rollout, service);

	if (!order)
		return false;
	*out = order->own;
	g_strlcpy(out->service, order->order.service, sizeof(out->service));
	g_strlcpy(out->to, order->order.to, sizeof(out->to));
	out->order_id = order->order.id;
	out->node = rollout->node;
	out->age = now - order->started_at;
	out->state = order->state;
	out->recorded = order->recorded;
	out->allowed = order->allowed;
	return true;
}

/* Of two states of an order the recorded one takes precedence, then the later one of the
 * enumeration. The result does not depend on the order of messages. */
static bool take_state(order_t *order, rollout_state_t state, bool recorded, usec_t now)
{
	if (state <= ROLLOUT_IN_PROGRESS || (order->recorded && !recorded) ||
	    (order->recorded == recorded && state <= order->state))
		return false;
	bool changed = order->state != state;
	if (changed)
		order->state_at = now;
	order->state = state;
	order->recorded = recorded;
	return changed;
}

/* Cells only grow, so that messages may arrive in any order, or each with a part. */
static void take_cells(rollout_report_t *known, const rollout_report_t *report)
{
	for (uint32_t i = 0; i < report->cell_count; i++) {
		const rollout_cell_t *from = &report->cells[i];
		rollout_cell_t *cell = report_cell(known, from);

		if (cell && from->responses >= cell->responses &&
		    from->lost >= cell->lost)
			*cell = *from;
	}
}

bool rollout_merge(rollout_t *rollout, const rollout_report_t *report, usec_t now)
{
	order_t *order = find_order(rollout, report->service);

	if (!is_order(order, report->to, report->order_id) ||
	    report->node == rollout->node)
		return false;
	order->allowed |= report->allowed;
	order->started_at = MIN(order->started_at, now - report->age);
	source_t *source = g_hash_table_lookup(order->sources, &report->node);
	if (!source) {
		source = g_new0(source_t, 1);
		source->report.node = report->node;
		g_hash_table_insert(order->sources, &source->report.node, source);
	}
	source->received_at = now;
	take_cells(&source->report, report);
	return take_state(order, report->state, report->recorded, now);
}

bool rollout_handle_recorded(rollout_t *rollout, const char *service, const char *to,
			     uint64_t order_id, rollout_state_t state, usec_t now)
{
	order_t *order = find_order(rollout, service);

	return is_order(order, to, order_id) && take_state(order, state, true, now);
}

static counts_t *sum_counts(const order_t *order)
{
	counts_t *sum = counts_create();
	GHashTableIter iter;
	void *value;

	counts_add(sum, order->own.cells, order->own.cell_count);
	g_hash_table_iter_init(&iter, order->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const rollout_report_t *report = &((const source_t *)value)->report;
		counts_add(sum, report->cells, report->cell_count);
	}
	return sum;
}

static void rotate_windows(order_t *order, const counts_t *sum, usec_t now)
{
	int64_t current = rotation(order, now);

	if (current == order->window_rotation)
		return;
	for (int i = 0; i + 1 < WINDOW_ROTATIONS; i++)
		counts_copy(order->window[i], order->window[i + 1]);
	counts_copy(order->window[WINDOW_ROTATIONS - 1], sum);
	order->window_rotation = current;
}

/* Compares the responses since `earlier`, which may be NULL, and keeps the worse result.
 */
static void compare_since(order_t *order, const counts_t *sum, const counts_t *earlier,
			  bool has_many_instances)
{
	counts_t *counts = counts_create();
	compare_result_t result;

	counts_copy(counts, sum);
	if (earlier)
		counts_subtract(counts, earlier);
	counts_compare(counts, &result);
	if (result.verdict == COMPARE_OPEN && !has_many_instances)
		result.verdict = COMPARE_LOCAL;
	if (!earlier) {
		order->overall = result.verdict;
		order->found = result;
	} else if (compare_is_worse(&result, &order->found)) {
		result.responses_new = order->found.responses_new;
		result.responses_old = order->found.responses_old;
		order->found = result;
	}
	counts_destroy(counts);
}

static void compare(order_t *order, usec_t now)
{
	counts_t *sum = sum_counts(order);

	/* There is nothing to compare with and no instance to go back to. */
	if (order->sole && counts_responses(sum, false) == 0) {
		order->overall = COMPARE_GOOD;
		order->found = (compare_result_t){
			.verdict = COMPARE_GOOD,
			.responses_new = counts_responses(sum, true),
		};
		counts_destroy(sum);
		return;
	}
	rotate_windows(order, sum, now);
	compare_since(order, sum, NULL, true);
	compare_since(order, sum, order->window[0], true);
	/* These come from one or two instances, which says nothing of the others. */
	compare_since(order, sum, order->window[WINDOW_ROTATIONS - 2], false);
	counts_destroy(sum);
}

static uint32_t nodes_in_contact(const order_t *order, usec_t now)
{
	uint32_t nodes = 1;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, order->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		nodes += now - ((const source_t *)value)->received_at <=
			 ROLLOUT_REPORT_LIFETIME;
	return nodes;
}

static rollout_state_t decide(order_t *order, usec_t open_time, uint32_t nodes,
			      usec_t now)
{
	double elapsed =
		(double)(now - order->started_at) / (double)MAX(order->order.duration, 1);

	compare(order, now);
	if (order->found.verdict != COMPARE_OPEN || order->found.bad < OPEN_BAD_MIN)
		order->open_since = 0;
	else if (!order->open_since)
		order->open_since = now;
	if (order->found.verdict == COMPARE_WORSE ||
	    (order->open_since && now - order->open_since >= open_time))
		return ROLLOUT_ROLLED_BACK;
	/* Few recent responses leave open what all responses show to be local. */
	if (order->found.verdict == COMPARE_OPEN &&
	    !(order->overall == COMPARE_LOCAL && elapsed >= ROLLOUT_FEW_AT))
		return elapsed >= OPEN_AT ? ROLLOUT_ROLLED_BACK : ROLLOUT_IN_PROGRESS;
	if (order->found.verdict == COMPARE_SUSPECT)
		return elapsed >= ROLLOUT_FEW_AT ? ROLLOUT_ROLLED_BACK
						 : ROLLOUT_IN_PROGRESS;
	uint32_t contacts = nodes_in_contact(order, now);
	bool has_few = order->found.responses_new < RESPONSES_MIN;
	if (!order->allowed || !order->has_new || contacts * 2 <= nodes)
		return ROLLOUT_IN_PROGRESS;
	/* The bad ones of few responses may all be in the counts that are missing. */
	if (has_few && contacts < nodes && elapsed < ROLLOUT_PARTIAL_AT)
		return ROLLOUT_IN_PROGRESS;
	/* A version that has just become bad looks bad on the instances of the moment
	 * only. */
	if (elapsed >= ROLLOUT_FEW_AT ||
	    (elapsed >= ROLLOUT_COMPLETE_AT && order->found.verdict == COMPARE_GOOD &&
	     order->found.responses_new >= RESPONSES_MIN))
		return ROLLOUT_COMPLETED;
	return ROLLOUT_IN_PROGRESS;
}

static void fill_status(const order_t *order, usec_t now, rollout_status_t *out)
{
	*out = (rollout_status_t){
		.order = order->order,
		.state = order->state,
		.recorded = order->recorded,
		.allowed = order->allowed,
		.responses_new = order->found.responses_new,
		.responses_old = order->found.responses_old,
		.bad = order->found.bad,
		.expected = order->found.expected,
		.slow = order->found.slow,
		.nodes = nodes_in_contact(order, now),
		.sent_new = order->sent_new,
		.ended = order->ended,
		.elapsed = now - order->started_at,
		.state_age = now - order->state_at,
	};
}

void rollout_tick(rollout_t *rollout, uint32_t nodes, usec_t now, rollout_verdict_fn fn,
		  void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rollout->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		order_t *order = value;
		rollout_status_t status;

		if (order->state != ROLLOUT_IN_PROGRESS ||
		    now - order->decided_at < DECIDE_PERIOD)
			continue;
		order->decided_at = now;
		if (!take_state(order, decide(order, rollout->open_time, nodes, now),
				false, now))
			continue;
		fill_status(order, now, &status);
		fn(ctx, &status);
	}
}

void rollout_foreach(const rollout_t *rollout, usec_t now, rollout_verdict_fn fn,
		     void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rollout->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rollout_status_t status;

		fill_status(value, now, &status);
		fn(ctx, &status);
	}
}

const char *rollout_version(const rollout_t *rollout, const char *service)
{
	const order_t *order = find_order(rollout, service);

	return order ? order->order.to : NULL;
}

rollout_state_t rollout_state(const rollout_t *rollout, const char *service)
{
	const order_t *order = find_order(rollout, service);

	return order ? order->state : ROLLOUT_NONE;
}
