/* Tests of the time after which a client that was shed may retry. */
#include "case.h"

#include "retry/retry_after.h"

#include <glib.h>

#define SAMPLES 20000
#define BINS 10

typedef struct retry_after_case {
	const char *name;
	usec_t objective;
	usec_t low, high;
	double at_low; /* share of the times that are the least one */
} retry_after_case_t;

static uint64_t random_number(GRand *rand)
{
	return ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
}

/* Guards against clients that are refused together and return together, before the
 * overload has ended, or too late for their objective. Each tenth of the range gets an
 * equal part of the times, within 0.15 (more than five standard deviations). */
static void test_retry_after(void **state)
{
	const retry_after_case_t *c = *state;
	GRand *rand = g_rand_new_with_seed(1);
	int bins[BINS] = {0};
	int at_low = 0;

	assert_int_equal(retry_after_shed(c->objective, 0), c->low);
	assert_in_range(retry_after_shed(c->objective, UINT64_MAX), c->high - 1, c->high);
	for (int i = 0; i < SAMPLES; i++) {
		usec_t after = retry_after_shed(c->objective, random_number(rand));
		assert_in_range(after, c->low, c->high);
		if (after == c->low)
			at_low++;
		else
			bins[MIN((after - c->low) * BINS / (c->high - c->low),
				 BINS - 1)]++;
	}
	g_rand_free(rand);
	double mean = (1.0 - c->at_low) * SAMPLES / BINS;
	print_message("  %d at the least, %d in the first tenth, %d in the last\n",
		      at_low, bins[0], bins[BINS - 1]);
	assert_in_range(at_low, (c->at_low - 0.02) * SAMPLES,
			(c->at_low + 0.02) * SAMPLES);
	for (int i = 0; i < BINS && c->high > c->low; i++)
		assert_in_range(bins[i], 0.85 * mean, 1.15 * mean);
}

#define MSEC USEC_PER_MSEC

static const retry_after_case_t retry_after_cases[] = {
	{"0.2 to 0.6 of the objective", 4000 * MSEC, 800 * MSEC, 2400 * MSEC, 0},
	{"the least time of 150 ms is 0.2 of it", 750 * MSEC, 150 * MSEC, 450 * MSEC, 0},
	{"below it, a part gets the least time", 500 * MSEC, 150 * MSEC, 300 * MSEC,
	 0.25},
	{"the least time is 0.6 of it", 250 * MSEC, 150 * MSEC, 150 * MSEC, 1},
	{"no objective is known", 0, 150 * MSEC, 150 * MSEC, 1},
};

int main(void)
{
	return RUN_CASES("retry after", retry_after_cases, test_retry_after);
}
