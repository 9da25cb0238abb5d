#include "rollout/compare.h"

#include <glib.h>
#include <math.h>

#define COMPARE_BAD 4.5
#define COMPARE_SUSPICION 3.0
/* Fewer bad responses are no evidence, whatever the old version did. */
#define BAD_MIN 6
/* A version may have this many more bad responses than the old one: roll-outs are not to
 * fail over a difference that few requests notice. */
#define MARGIN 0.02
/* The rate of a zone counts as much as that of the route at this many responses. */
#define ZONE_WEIGHT 20.0
/* With fewer responses of the old version, times are not compared. */
#define OLD_TIMES_MIN 20
/* With fewer responses elsewhere, one instance or zone cannot be told from the version.
 */
#define ELSEWHERE_MIN 20
#define ELSEWHERE_DEVIATIONS 2.0
/* The requests in flight at a crash are lost together. */
#define LOST_MAX 3
/* Two buckets are a factor of two in time: a machine may be 1.7 times slower. */
#define SLOW_BUCKETS 2
#define ASSUMED_RESPONSES 25
#define MEASURE_FAILURES 0

/* The responses of a cell in one comparison. */
typedef struct sample {
	const rollout_cell_t *cell;
	double responses;
	double bad;
	double expected;
	double variance;
} sample_t;

typedef enum sample_group {
	GROUP_NONE,
	GROUP_ZONE,
	GROUP_INSTANCE,
} sample_group_t;

typedef struct sums {
	double responses;
	double bad;
	double expected;
	double variance;
} sums_t;

bool compare_is_worse(const compare_result_t *a, const compare_result_t *b)
{
	return a->verdict != b->verdict ? a->verdict > b->verdict
					: a->deviations > b->deviations;
}

static double timed(const rollout_cell_t *cell, int from)
{
	double sum = 0;

	for (int i = from; i < COMPARE_TIME_BUCKETS; i++)
		sum += cell->times[i];
	return sum;
}

/* `measure` is MEASURE_FAILURES, or the first bucket that counts as slow. */
static void count_cell(const rollout_cell_t *cell, int measure, double *responses,
		       double *bad)
{
	if (measure == MEASURE_FAILURES) {
		double lost = MIN(cell->lost, LOST_MAX);

		*responses = cell->responses + lost;
		*bad = cell->failures + lost;
		return;
	}
	*responses = timed(cell, 0);
	*bad = timed(cell, cell->is_new ? measure : measure - SLOW_BUCKETS);
}

/* Returns the share of bad responses that the old version has on the route in the zone,
 * or a negative number if it has too few responses for a comparison, and the variance of
 * that share. */
static double old_rate(const rollout_cell_t *cells, size_t count, int measure,
		       const rollout_cell_t *like, double *variance)
{
	double route_responses = 0, route_bad = 0, zone_responses = 0, zone_bad = 0;

	for (size_t i = 0; i < count; i++) {
		double responses, bad;

		if (cells[i].is_new || cells[i].route != like->route)
			continue;
		count_cell(&cells[i], measure, &responses, &bad);
		route_responses += responses;
		route_bad += bad;
		if (cells[i].zone == like->zone) {
			zone_responses += responses;
			zone_bad += bad;
		}
	}
	if (measure != MEASURE_FAILURES && route_responses < OLD_TIMES_MIN)
		return -1;
	/* Without responses of the old version, failures are assumed to be rare. */
	double assumed = measure == MEASURE_FAILURES ? ASSUMED_RESPONSES : 1;
	double route_rate = (route_bad + 0.5) / (route_responses + assumed);
	*variance = route_rate * (1 - route_rate) / (route_responses + assumed);
	return (zone_bad + ZONE_WEIGHT * route_rate) / (zone_responses + ZONE_WEIGHT);
}

static size_t take_samples(const rollout_cell_t *cells, size_t count, int measure,
			   sample_t *out)
{
	size_t taken = 0;

	for (size_t i = 0; i < count; i++) {
		sample_t *sample = &out[taken];

		if (!cells[i].is_new)
			continue;
		double old_variance = 0;
		double rate = old_rate(cells, count, measure, &cells[i], &old_variance);
		if (rate < 0)
			continue;
		sample->cell = &cells[i];
		count_cell(&cells[i], measure, &sample->responses, &sample->bad);
		rate = MIN(rate + MARGIN, 1.0);
		sample->expected = sample->responses * rate;
		sample->variance = sample->expected * (1 - rate) +
				   sample->responses * sample->responses * old_variance;
		taken++;
	}
	return taken;
}

static uint64_t group_key(const rollout_cell_t *cell, sample_group_t group)
{
	return group == GROUP_ZONE ? cell->zone : cell->instance;
}

/* Sums the samples of the route, or of all routes if it is NULL, without those of the
 * group's key. */
static sums_t sum_samples(const sample_t *samples, size_t count, const uint64_t *route,
			  sample_group_t without, uint64_t key)
{
	sums_t sums = {0};

	for (size_t i = 0; i < count; i++) {
		const sample_t *sample = &samples[i];

		if (route && sample->cell->route != *route)
			continue;
		if (without != GROUP_NONE && group_key(sample->cell, without) == key)
			continue;
		sums.responses += sample->responses;
		sums.bad += sample->bad;
		sums.expected += sample->expected;
		sums.variance += sample->variance;
	}
	return sums;
}

static double deviations(const sums_t *sums)
{
	return (sums->bad - sums->expected) / sqrt(sums->variance + 1);
}

typedef enum locality {
	LOCALITY_NONE,
	LOCALITY_OPEN, /* hardly tested elsewhere */
	LOCALITY_FOUND,
} locality_t;

/* Whether the bad responses are the work of one zone or instance alone. */
static locality_t find_locality(const sample_t *samples, size_t count,
				const uint64_t *route, sample_group_t group)
{
	locality_t found = LOCALITY_NONE;

	for (size_t i = 0; i < count; i++) {
		if (route && samples[i].cell->route != *route)
			continue;
		uint64_t key = group_key(samples[i].cell, group);
		sums_t rest = sum_samples(samples, count, route, group, key);

		if (rest.responses < ELSEWHERE_MIN)
			found = MAX(found, LOCALITY_OPEN);
		else if (deviations(&rest) < ELSEWHERE_DEVIATIONS)
			found = LOCALITY_FOUND;
	}
	return found;
}

static void compare_route(const sample_t *samples, size_t count, const uint64_t *route,
			  int measure, compare_result_t *out)
{
	sums_t all = sum_samples(samples, count, route, GROUP_NONE, 0);
	double found = deviations(&all);

	if (all.bad < BAD_MIN || found < COMPARE_SUSPICION)
		return;
	locality_t zone = find_locality(samples, count, route, GROUP_ZONE);
	locality_t instance = find_locality(samples, count, route, GROUP_INSTANCE);
	locality_t locality = MAX(zone, instance);
	compare_result_t result = {
		.verdict = COMPARE_WORSE,
		.slow = measure != MEASURE_FAILURES,
		.bad = (uint64_t)all.bad,
		.expected = all.expected,
		.deviations = found,
		.responses_new = out->responses_new,
		.responses_old = out->responses_old,
	};
	if (locality == LOCALITY_FOUND)
		result.verdict = COMPARE_LOCAL;
	else if (locality == LOCALITY_OPEN)
		result.verdict = COMPARE_OPEN;
	else if (found < COMPARE_BAD)
		result.verdict = COMPARE_SUSPECT;
	if (compare_is_worse(&result, out))
		*out = result;
}

static void compare_measure(const rollout_cell_t *cells, size_t count, int measure,
			    sample_t *samples, compare_result_t *out)
{
	size_t taken = take_samples(cells, count, measure, samples);

	for (size_t i = 0; i < taken; i++) {
		bool first = true;

		for (size_t j = 0; j < i && first; j++)
			first = samples[j].cell->route != samples[i].cell->route;
		if (first)
			compare_route(samples, taken, &samples[i].cell->route, measure,
				      out);
	}
	compare_route(samples, taken, NULL, measure, out);
}

void compare_versions(const rollout_cell_t *cells, size_t count, compare_result_t *out)
{
	sample_t *samples = g_new0(sample_t, count + 1);

	*out = (compare_result_t){.verdict = COMPARE_GOOD};
	for (size_t i = 0; i < count; i++) {
		if (cells[i].is_new)
			out->responses_new += cells[i].responses;
		else
			out->responses_old += cells[i].responses;
	}
	compare_measure(cells, count, MEASURE_FAILURES, samples, out);
	for (int from = SLOW_BUCKETS + 1; from < COMPARE_TIME_BUCKETS; from++)
		compare_measure(cells, count, from, samples, out);
	g_free(samples);
}
