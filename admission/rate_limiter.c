#include "admission/rate_limiter.h"

#include <glib.h>

#define STARTS_MAX 4096
/* The bound also holds, in proportion, for tenths of a second: connections that are
 * opened late move starts from one second into the next. */
#define SHORT_SPANS 10

struct pace {
	uint32_t per_second;
	usec_t until;
	usec_t starts[STARTS_MAX]; /* ring */
	uint32_t next;
};

pace_t *pace_create(void)
{
	pace_t *pace = g_new0(pace_t, 1);

	pace->per_second = 1;
	for (uint32_t i = 0; i < STARTS_MAX; i++)
		pace->starts[i] = -USEC_PER_SEC;
	return pace;
}

void pace_destroy(pace_t *pace)
{
	g_free(pace);
}

void pace_set(pace_t *pace, uint32_t per_second, usec_t until)
{
	pace->per_second = CLAMP(per_second, 1, STARTS_MAX);
	pace->until = until;
}

bool pace_is_on(const pace_t *pace, usec_t now)
{
	return now < pace->until;
}

/* Whether a start now is at most the count-th of a span. */
static bool within(const pace_t *pace, uint32_t count, usec_t span, usec_t now)
{
	uint32_t oldest = (pace->next + STARTS_MAX - count) % STARTS_MAX;

	return now - pace->starts[oldest] >= span;
}

bool pace_allows(const pace_t *pace, usec_t now)
{
	if (!pace_is_on(pace, now))
		return true;
	uint32_t short_count = MAX(pace->per_second / SHORT_SPANS, 1);

	return within(pace, pace->per_second, USEC_PER_SEC, now) &&
	       within(pace, short_count, USEC_PER_SEC / SHORT_SPANS, now);
}

void pace_start(pace_t *pace, usec_t now)
{
	pace->starts[pace->next] = now;
	pace->next = (pace->next + 1) % STARTS_MAX;
}

uint32_t pace_per_second(const pace_t *pace)
{
	return pace->per_second;
}
