#include "admission/shed_level.h"

#include <glib.h>
#include <string.h>

#define WINDOW_USEC (100 * USEC_PER_MSEC)
#define BUCKET_BITS 6
#define BUCKETS_PER_IMPORTANCE (1u << BUCKET_BITS)
#define BUCKET_SHIFT (PRIORITY_RANK_BITS - BUCKET_BITS)
#define BUCKETS (10u * BUCKETS_PER_IMPORTANCE)
#define STEP_MIN 1u

struct shed_level {
	usec_t window_start;
	uint32_t arrivals[BUCKETS];
	uint32_t arrived;
	uint32_t shed;
	uint32_t level; /* in buckets; BUCKETS admits all */
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

/* First bucket boundary below which `wanted` arrivals lie. */
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
	} else if (level->level < BUCKETS) {
		level->level = MIN(level->level + level->step, BUCKETS);
		level->step *= 2;
	}
	memset(level->arrivals, 0, sizeof(level->arrivals));
	level->arrived = 0;
	level->shed = 0;
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

void shed_level_arrival(shed_level_t *level, usec_t now, priority_t priority)
{
	advance(level, now);
	level->arrivals[MIN(priority >> BUCKET_SHIFT, BUCKETS - 1)]++;
	level->arrived++;
}

void shed_level_shed(shed_level_t *level)
{
	level->shed++;
}

priority_t shed_level_value(shed_level_t *level, usec_t now)
{
	advance(level, now);
	return level->level << BUCKET_SHIFT;
}
