#include "admission/shed_level.h"

#include <glib.h>
#include <string.h>

#define WINDOW_USEC (100 * USEC_PER_MSEC)
/* Ranks are counted in log-linear buckets, because the small ranks of an account far
 * below its rate need as fine a relative resolution as large ones. */
#define MANTISSA_BITS 3
#define BUCKETS_PER_IMPORTANCE ((PRIORITY_RANK_BITS + 1) << MANTISSA_BITS)
#define BUCKETS (10u * BUCKETS_PER_IMPORTANCE)
/* Buckets by which the level rises per window: STEP_BUSY while calls wait at the gate;
 * otherwise STEP_MIN, doubled in each further window. */
#define STEP_BUSY 1u
#define STEP_MIN 4u

struct shed_level {
	usec_t window_start;
	uint32_t arrivals[BUCKETS];
	uint32_t arrived;
	uint32_t shed;
	uint32_t waited;
	uint32_t level; /* bucket index; BUCKETS admits all */
	uint32_t step;
};

shed_level_t *shed_level_create(void)
{
	shed_level_t *level = g_new0(shed_level_t, 1);

	level->level = BUCKETS;
	level->step = STEP_MIN;
	return level;
}

void shed_level_destroy(shed_level_t *level)
{
	g_free(level);
}

static uint32_t bucket_of(priority_t priority)
{
	uint32_t inverse_importance = priority >> PRIORITY_RANK_BITS;
	uint32_t rank = priority & PRIORITY_RANK_MAX;
	uint32_t bucket = rank;

	if (rank >= 1u << MANTISSA_BITS) {
		uint32_t shift = (uint32_t)g_bit_storage(rank) - 1 - MANTISSA_BITS;
		bucket = ((shift + 1) << MANTISSA_BITS) +
			 ((rank >> shift) - (1u << MANTISSA_BITS));
	}
	return MIN(inverse_importance * BUCKETS_PER_IMPORTANCE + bucket, BUCKETS - 1);
}

/* Returns the lowest priority of a bucket. */
static priority_t bucket_start(uint32_t bucket)
{
	uint32_t within = bucket % BUCKETS_PER_IMPORTANCE;
	uint32_t rank = within;

	if (within >= 1u << MANTISSA_BITS) {
		uint32_t shift = (within >> MANTISSA_BITS) - 1;
		uint32_t mantissa = within & ((1u << MANTISSA_BITS) - 1);
		rank = (mantissa + (1u << MANTISSA_BITS)) << shift;
	}
	rank = MIN(rank, PRIORITY_RANK_MAX);
	return (bucket / BUCKETS_PER_IMPORTANCE << PRIORITY_RANK_BITS) + rank;
}

/* Returns the highest bucket boundary with at most `wanted` arrivals below it. */
static uint32_t boundary_for(const shed_level_t *level, uint32_t wanted)
{
	uint32_t below = 0;

	for (uint32_t i = 0; i < BUCKETS; i++) {
		below += level->arrivals[i];
		if (below > wanted)
			return i;
	}
	return BUCKETS;
}

static void end_window(shed_level_t *level, usec_t now)
{
	if (level->shed > 0) {
		uint32_t served = level->arrived - MIN(level->shed, level->arrived);
		uint32_t next = boundary_for(level, served);

		level->level = MAX(next, 1);
		level->step = STEP_MIN;
	} else if (level->waited > 0) {
		level->level = MIN(level->level + STEP_BUSY, BUCKETS);
		level->step = STEP_MIN;
	} else if (level->level < BUCKETS) {
		level->level = MIN(level->level + level->step, BUCKETS);
		level->step *= 2;
	}
	memset(level->arrivals, 0, sizeof(level->arrivals));
	level->arrived = 0;
	level->shed = 0;
	level->waited = 0;
	level->window_start = now;
}

static void advance(shed_level_t *level, usec_t now)
{
	usec_t elapsed = now - level->window_start;

	if (elapsed < WINDOW_USEC)
		return;
	end_window(level, now);
	/* Windows without any event count as windows without shedding. */
	for (usec_t missed = elapsed / WINDOW_USEC - 1;
	     missed > 0 && level->level < BUCKETS; missed--)
		end_window(level, now);
}

void shed_level_count_arrival(shed_level_t *level, usec_t now, priority_t priority)
{
	advance(level, now);
	level->arrivals[bucket_of(priority)]++;
	level->arrived++;
}

void shed_level_count_shed(shed_level_t *level)
{
	level->shed++;
}

void shed_level_count_wait(shed_level_t *level)
{
	level->waited++;
}

priority_t shed_level_value(shed_level_t *level, usec_t now)
{
	advance(level, now);
	return bucket_start(level->level);
}
