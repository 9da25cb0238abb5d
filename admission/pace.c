#include "admission/pace.h"

#include <glib.h>

#define STARTS_MAX 4096

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

bool pace_allows(const pace_t *pace, usec_t now)
{
	if (!pace_is_on(pace, now))
		return true;
	uint32_t oldest = (pace->next + STARTS_MAX - pace->per_second) % STARTS_MAX;
	return now - pace->starts[oldest] >= USEC_PER_SEC;
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
