#include "admission/pressure.h"

#include <glib.h>
#include <math.h>

#define TARGET_LOWEST 1.0
#define TARGET_HIGHEST 1.3
/* A lower pressure counts as this one. */
#define PRESSURE_MIN 0.1
/* Above the first one the share is reduced at once; at the second one the queue is as
 * long as the limit. */
#define PRESSURE_HIGH 1.5
#define PRESSURE_FULL 2.0
#define IMPORTANCE_COUNT 10
#define ROUTES_MAX 4096

typedef struct share {
	double value;
	usec_t updated; /* 0 before the first request */
} share_t;

typedef struct route_shares {
	share_t by_importance[IMPORTANCE_COUNT];
} route_shares_t;

struct pressure_admission {
	GHashTable *routes; /* route -> route_shares_t */
};

pressure_admission_t *pressure_admission_create(void)
{
	pressure_admission_t *admission = g_new0(pressure_admission_t, 1);

	admission->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return admission;
}

void pressure_admission_destroy(pressure_admission_t *admission)
{
	if (!admission)
		return;
	g_hash_table_destroy(admission->routes);
	g_free(admission);
}

static double target_pressure(uint32_t importance, const importance_range_t *range)
{
	double span = (double)range->highest - range->lowest;
	double position = 1.0;

	if (span > 0)
		position = CLAMP(((double)importance - range->lowest) / span, 0.0, 1.0);
	return TARGET_LOWEST + position * (TARGET_HIGHEST - TARGET_LOWEST);
}

static share_t *find_share(pressure_admission_t *admission, const char *route,
			   uint32_t importance)
{
	route_shares_t *shares = g_hash_table_lookup(admission->routes, route);

	if (!shares) {
		if (g_hash_table_size(admission->routes) >= ROUTES_MAX)
			return NULL;
		shares = g_new0(route_shares_t, 1);
		g_hash_table_insert(admission->routes, g_strdup(route), shares);
	}
	return &shares->by_importance[MIN(importance, IMPORTANCE_COUNT - 1)];
}

double pressure_admitted_share(pressure_admission_t *admission, const char *route,
			       uint32_t importance, const importance_range_t *range,
			       double pressure, usec_t now)
{
	share_t *share = find_share(admission, route, importance);

	if (!share)
		return 1;
	if (share->updated == 0)
		*share = (share_t){.value = 1, .updated = now};
	/* A pressure says nothing about a longer time before it was seen. */
	double elapsed = (double)MIN(now - share->updated, PRESSURE_TIME_CONSTANT_USEC) /
			 (double)PRESSURE_TIME_CONSTANT_USEC;
	double ratio = target_pressure(importance, range) / MAX(pressure, PRESSURE_MIN);
	share->value = CLAMP(share->value * pow(ratio, elapsed), PRESSURE_SHARE_MIN, 1.0);
	share->updated = now;
	double room = (PRESSURE_FULL - pressure) / (PRESSURE_FULL - PRESSURE_HIGH);
	return MAX(share->value * CLAMP(room, 0.0, 1.0), PRESSURE_SHARE_MIN);
}
