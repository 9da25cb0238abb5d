#include "admission/limit.h"

#include <glib.h>
#include <math.h>

#define WINDOW_USEC (100 * USEC_PER_MSEC)
#define WINDOW_SAMPLES_MIN 8
#define LATENCY_TOLERANCE 2.0
#define GRADIENT_MIN 0.5
#define SMOOTHING 0.3
#define AIMD_BACKOFF 0.9
#define COLD_GROWTH_PER_SUCCESS 0.25
#define LATENCY_EWMA_WEIGHT 0.1
/* Targets slow down when nearly all slots are taken, and probes of the target need a
 * free slot. */
#define SLOTS_SHARE 0.94
/* The base latency rises slowly, to adapt when the workload changes. */
#define BASE_RISE_PER_WINDOW 1.0005
#define CLIFF_FACTOR 8.0
#define CLIFF_LATENCY_MIN_USEC (20 * USEC_PER_MSEC)
#define CLIFF_WINDOWS 2
/* Latencies below this come from scheduling noise, not from load on the target. */
#define LATENCY_FLOOR_USEC (2 * USEC_PER_MSEC)

struct limit {
	limit_algorithm_t algorithm;
	uint32_t slots;
	uint32_t cold_slots;
	double value; /* the limit, with fractions between steps */
	bool cold;
	usec_t base_latency;
	double latency_ewma; /* usec */
	usec_t window_start;
	uint32_t samples;  /* successful calls of the window */
	uint32_t refusals; /* by the target, in the window */
	uint32_t peak_inflight;
	uint32_t slow_windows; /* in a row, see count_slow_window() */
	double latency_sum;
	usec_t latency_min;
};

limit_t *limit_create(limit_algorithm_t algorithm)
{
	limit_t *limit = g_new0(limit_t, 1);

	limit->algorithm = algorithm;
	limit->slots = 1;
	limit->cold_slots = 1;
	limit->value = 1;
	return limit;
}

void limit_destroy(limit_t *limit)
{
	g_free(limit);
}

static void start_window(limit_t *limit, usec_t now)
{
	limit->window_start = now;
	limit->samples = 0;
	limit->refusals = 0;
	limit->peak_inflight = 0;
	limit->latency_sum = 0;
	limit->latency_min = 0;
}

void limit_set_bounds(limit_t *limit, uint32_t slots, uint32_t cold_slots)
{
	limit->slots = MAX(slots, 1);
	limit->cold_slots = CLAMP(cold_slots, 1, limit->slots);
	limit->value = MIN(limit->value, limit->slots);
	if (limit->algorithm == LIMIT_SLOTS)
		limit->value = MAX(floor(limit->slots * SLOTS_SHARE), 1);
}

void limit_reset(limit_t *limit, usec_t now)
{
	limit->value = limit->cold_slots;
	limit->cold = limit->algorithm != LIMIT_SLOTS;
	if (limit->algorithm == LIMIT_SLOTS)
		limit->value = MAX(floor(limit->slots * SLOTS_SHARE), 1);
	limit->slow_windows = 0;
	start_window(limit, now);
}

void limit_start(limit_t *limit, usec_t now, uint32_t slots, uint32_t cold_slots)
{
	limit_set_bounds(limit, slots, cold_slots);
	limit->base_latency = 0;
	limit->latency_ewma = 0;
	limit_reset(limit, now);
}

static void grow_during_cold_start(limit_t *limit)
{
	limit->value = MIN(limit->value + COLD_GROWTH_PER_SUCCESS, limit->slots);
	if (limit->value >= limit->slots)
		limit->cold = false;
}

static void apply_gradient(limit_t *limit, double average)
{
	double base = (double)MAX(limit->base_latency, LATENCY_FLOOR_USEC);
	double gradient =
		CLAMP(LATENCY_TOLERANCE * base / MAX(average, 1.0), GRADIENT_MIN, 1.0);
	double next = limit->value * gradient + sqrt(limit->value);

	/* If less than half of the limit was in use, it did not hold calls back, so it is
	 * not raised. */
	if (next > limit->value && limit->peak_inflight < limit->value / 2)
		return;
	limit->value += SMOOTHING * (next - limit->value);
}

static void apply_aimd(limit_t *limit, double average)
{
	if (average >
	    LATENCY_TOLERANCE * (double)MAX(limit->base_latency, LATENCY_FLOOR_USEC))
		limit->value *= AIMD_BACKOFF;
	else if (limit->peak_inflight >= limit->value / 2)
		limit->value += 1;
}

static void update_base_latency(limit_t *limit)
{
	if (limit->base_latency == 0 || limit->latency_min < limit->base_latency)
		limit->base_latency = MAX(limit->latency_min, 1);
	else
		limit->base_latency =
			(usec_t)ceil((double)limit->base_latency * BASE_RISE_PER_WINDOW);
}

/* Counts the slow windows in a row; returns whether they are a latency cliff. */
static bool count_slow_window(limit_t *limit, double average)
{
	double base = (double)MAX(limit->base_latency, LATENCY_FLOOR_USEC);
	bool slow = average > CLIFF_FACTOR * base && average > CLIFF_LATENCY_MIN_USEC;

	limit->slow_windows = slow ? limit->slow_windows + 1 : 0;
	return limit->slow_windows >= CLIFF_WINDOWS;
}

static bool end_window(limit_t *limit, usec_t now)
{
	double average = limit->samples ? limit->latency_sum / limit->samples : 0;
	bool cliff = false;

	if (limit->algorithm == LIMIT_SLOTS) {
		start_window(limit, now);
		return false;
	}
	if (limit->refusals > 0) {
		limit->cold = false;
		limit->value *= AIMD_BACKOFF;
	} else if (limit->samples >= WINDOW_SAMPLES_MIN) {
		cliff = !limit->cold && count_slow_window(limit, average);
		update_base_latency(limit);
		/* The first window with overload ends the growth of the cold start. */
		if (average > LATENCY_TOLERANCE * (double)MAX(limit->base_latency,
							      LATENCY_FLOOR_USEC))
			limit->cold = false;
		if (cliff)
			limit_reset(limit, now);
		else if (!limit->cold && limit->algorithm == LIMIT_GRADIENT)
			apply_gradient(limit, average);
		else if (!limit->cold)
			apply_aimd(limit, average);
	}
	limit->value = CLAMP(limit->value, 1.0, (double)limit->slots);
	start_window(limit, now);
	return cliff;
}

bool limit_sample(limit_t *limit, usec_t now, usec_t latency, uint32_t inflight,
		  limit_outcome_t outcome)
{
	if (limit->window_start == 0)
		start_window(limit, now);
	limit->peak_inflight = MAX(limit->peak_inflight, inflight);
	if (outcome == LIMIT_OVERLOADED)
		limit->refusals++;
	if (outcome == LIMIT_SUCCESS) {
		limit->samples++;
		limit->latency_sum += (double)latency;
		if (limit->latency_min == 0 || latency < limit->latency_min)
			limit->latency_min = latency;
		if (limit->latency_ewma <= 0)
			limit->latency_ewma = (double)latency;
		limit->latency_ewma +=
			LATENCY_EWMA_WEIGHT * ((double)latency - limit->latency_ewma);
		if (limit->cold)
			grow_during_cold_start(limit);
	}
	if (now - limit->window_start < WINDOW_USEC)
		return false;
	return end_window(limit, now);
}

uint32_t limit_value(const limit_t *limit)
{
	return MAX((uint32_t)limit->value, 1);
}

usec_t limit_latency(const limit_t *limit)
{
	return (usec_t)limit->latency_ewma;
}

bool limit_is_cold(const limit_t *limit)
{
	return limit->cold;
}
