#include "config/freshness.h"

#include <glib.h>

struct freshness {
	GRand *rand;
	usec_t as_of;	   /* for which wait was drawn */
	double wait;	   /* from the evidence to the check, as a part of the limit */
	usec_t started;	   /* of the last check; 0 before the first */
	double retry_wait; /* from the start of a check to the next, likewise */
};

/* Bounds below this are not met: the checks would load the store. */
#define BOUND_MIN USEC_PER_SEC
/* The rest of the bound is for the response, and for a peer that pulls it. */
#define LIMIT_PART 0.75
#define TIMEOUT_PART 0.5
#define STEP_PART 0.375
/* The random waits, as parts of the limit. */
#define WAIT_MIN (2.0 / 3)
#define RETRY_WAIT_MIN (1.0 / 3)

freshness_t *freshness_create(uint64_t random_seed)
{
	freshness_t *freshness = g_new0(freshness_t, 1);
	guint32 words[2] = {(guint32)random_seed, (guint32)(random_seed >> 32)};

	freshness->rand = g_rand_new_with_seed_array(words, 2);
	freshness->wait = 1;
	return freshness;
}

void freshness_destroy(freshness_t *freshness)
{
	if (!freshness)
		return;
	g_rand_free(freshness->rand);
	g_free(freshness);
}

static usec_t part_of(usec_t bound, double part)
{
	return (usec_t)(part * (double)MAX(bound, BOUND_MIN));
}

usec_t freshness_limit(usec_t bound)
{
	return part_of(bound, LIMIT_PART);
}

usec_t freshness_timeout(usec_t bound)
{
	return part_of(bound, TIMEOUT_PART);
}

usec_t freshness_step(usec_t bound)
{
	return part_of(bound, STEP_PART);
}

void freshness_check_started(freshness_t *freshness, usec_t now)
{
	freshness->started = now;
	freshness->retry_wait = g_rand_double_range(freshness->rand, RETRY_WAIT_MIN, 1);
}

usec_t freshness_check_due(freshness_t *freshness, usec_t as_of, usec_t bound)
{
	double limit = (double)freshness_limit(bound);

	if (as_of != freshness->as_of) {
		freshness->as_of = as_of;
		freshness->wait = g_rand_double_range(freshness->rand, WAIT_MIN, 1);
	}
	return MAX(as_of + (usec_t)(freshness->wait * limit),
		   freshness->started + (usec_t)(freshness->retry_wait * limit));
}
