#include "admission/rate_limiter.h"

#include <glib.h>

#define STARTS_MAX 4096
/* The bound also holds, in proportion, for each tenth of a second, because a connection
 * that opens late moves a start from one second into the next. */
#define SHORT_SPANS 10

struct rate_limiter {
	uint32_t per_second;
	usec_t until;
	usec_t starts[STARTS_MAX]; /* ring buffer, `next` is the oldest */
	uint32_t next;
};

rate_limiter_t *rate_limiter_create(void)
{
	rate_limiter_t *limiter = g_new0(rate_limiter_t, 1);

	limiter->per_second = 1;
	for (uint32_t i = 0; i < STARTS_MAX; i++)
		limiter->starts[i] = -USEC_PER_SEC;
	return limiter;
}

void rate_limiter_destroy(rate_limiter_t *limiter)
{
	g_free(limiter);
}

void rate_limiter_set(rate_limiter_t *limiter, uint32_t per_second, usec_t until)
{
	limiter->per_second = CLAMP(per_second, 1, STARTS_MAX);
	limiter->until = until;
}

bool rate_limiter_is_active(const rate_limiter_t *limiter, usec_t now)
{
	return now < limiter->until;
}

/* Returns whether a start at `now` is at most the count-th one within `span`. */
static bool is_within_bound(const rate_limiter_t *limiter, uint32_t count, usec_t span,
			    usec_t now)
{
	uint32_t oldest = (limiter->next + STARTS_MAX - count) % STARTS_MAX;

	return now - limiter->starts[oldest] >= span;
}

bool rate_limiter_allows(const rate_limiter_t *limiter, usec_t now)
{
	if (!rate_limiter_is_active(limiter, now))
		return true;
	uint32_t short_count = MAX(limiter->per_second / SHORT_SPANS, 1);

	return is_within_bound(limiter, limiter->per_second, USEC_PER_SEC, now) &&
	       is_within_bound(limiter, short_count, USEC_PER_SEC / SHORT_SPANS, now);
}

void rate_limiter_record(rate_limiter_t *limiter, usec_t now)
{
	limiter->starts[limiter->next] = now;
	limiter->next = (limiter->next + 1) % STARTS_MAX;
}

uint32_t rate_limiter_per_second(const rate_limiter_t *limiter)
{
	return limiter->per_second;
}
