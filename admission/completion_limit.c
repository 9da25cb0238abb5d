#include "admission/completion_limit.h"

#include "retry/call_history.h"

#include <glib.h>

/* Unused admissions of a route accumulate over at most this time. */
#define BURST_TIME (250 * USEC_PER_MSEC)
#define BURST_MIN 1.0
/* Beyond this number of routes, further ones are not limited. */
#define ROUTES_MAX 4096

typedef struct route_limit {
	call_history_t *admitted;
	double rate_before; /* of admissions before the present limit; 0 without one */
	double tokens;
	usec_t refilled_at;
} route_limit_t;

struct completion_limit {
	usec_t window;
	GHashTable *routes; /* name -> route_limit_t */
};

static void route_limit_destroy(void *data)
{
	route_limit_t *route = data;

	call_history_destroy(route->admitted);
	g_free(route);
}

completion_limit_t *completion_limit_create(usec_t window)
{
	completion_limit_t *limit = g_new0(completion_limit_t, 1);

	limit->window = window;
	limit->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      route_limit_destroy);
	return limit;
}

void completion_limit_destroy(completion_limit_t *limit)
{
	if (!limit)
		return;
	g_hash_table_destroy(limit->routes);
	g_free(limit);
}

static route_limit_t *find_route(completion_limit_t *limit, const char *name, usec_t now)
{
	route_limit_t *route = g_hash_table_lookup(limit->routes, name);

	if (route || g_hash_table_size(limit->routes) >= ROUTES_MAX)
		return route;
	route = g_new0(route_limit_t, 1);
	route->admitted = call_history_create(limit->window);
	route->tokens = BURST_MIN;
	route->refilled_at = now;
	g_hash_table_insert(limit->routes, g_strdup(name), route);
	return route;
}

double completion_admitted_share(double completable, uint32_t importance,
				 const importance_range_t *range)
{
	double span = (double)range->highest - range->lowest;

	if (span <= 0)
		return CLAMP(completable, 0.0, 1.0);
	double position = CLAMP(((double)importance - range->lowest) / span, 0.0, 1.0);
	double taken = (1.0 - position) / 2;
	return CLAMP((completable - taken) * 2, 0.0, 1.0);
}

static bool take_token(route_limit_t *route, double rate, usec_t now)
{
	double most = MAX(rate * BURST_TIME / USEC_PER_SEC, BURST_MIN);
	double added = rate * (double)(now - route->refilled_at) / USEC_PER_SEC;

	route->tokens = MIN(route->tokens + added, most);
	route->refilled_at = now;
	if (route->tokens < 1.0)
		return false;
	route->tokens -= 1.0;
	return true;
}

bool completion_limit_admit(completion_limit_t *limit, const char *route_name,
			    double completable, uint32_t importance,
			    const importance_range_t *range, usec_t now)
{
	route_limit_t *route = find_route(limit, route_name, now);
	double share = completion_admitted_share(completable, importance, range);

	if (!route)
		return true;
	if (share < 1.0) {
		/* Requests that are rarer than the history count as one in each window.
		 */
		double least = (double)USEC_PER_SEC / (double)MAX(limit->window, 1);
		double rate = MAX(call_history_rate(route->admitted, now), least);
		/* The history falls with what is admitted; the limit must not follow. */
		if (route->rate_before <= 0)
			route->rate_before = rate;
		if (!take_token(route, share * route->rate_before, now))
			return false;
	} else {
		route->rate_before = 0;
	}
	call_history_record(route->admitted, now);
	return true;
}
