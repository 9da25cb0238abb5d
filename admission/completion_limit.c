#include "admission/completion_limit.h"

#include "retry/call_history.h"

#include <glib.h>
#include <math.h>

/* Unused admissions of a route accumulate over at most this time. */
#define BURST_TIME (250 * USEC_PER_MSEC)
#define BURST_MIN 1.0
/* Beyond this number of routes, further ones are not limited. */
#define ROUTES_MAX 4096

/* Completed requests are counted over this time, in buckets. */
#define COMPLETED_BUCKETS 10
#define COMPLETED_BUCKET_TIME (100 * USEC_PER_MSEC)
#define COMPLETED_TIME (COMPLETED_BUCKETS * COMPLETED_BUCKET_TIME)
/* A route without requests for this time is not compared. */
#define SHARE_LIFETIME USEC_PER_SEC
/* A node sees few requests: fewer complete only if the difference is larger than this
 * many standard deviations of their number. */
#define COMPARE_DEVIATIONS 2.0

typedef struct route_limit {
	call_history_t *admitted;
	double share; /* of the last request */
	usec_t share_at;
	uint32_t completed[COMPLETED_BUCKETS]; /* a ring */
	int64_t completed_newest;	       /* number of the newest bucket */
	double rate_before; /* of admissions before the present limit; 0 without one */
	double tokens;
	usec_t refilled_at;
} route_limit_t;

struct completion_limit {
	usec_t window;
	completion_limit_mode_t mode;
	bool applies;
	usec_t compared_at;
	GHashTable *routes; /* name -> route_limit_t */
};

static void route_limit_destroy(void *data)
{
	route_limit_t *route = data;

	call_history_destroy(route->admitted);
	g_free(route);
}

completion_limit_t *completion_limit_create(usec_t window, completion_limit_mode_t mode)
{
	completion_limit_t *limit = g_new0(completion_limit_t, 1);

	limit->window = window;
	limit->mode = mode;
	limit->applies = mode == COMPLETION_LIMIT_ALWAYS;
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
	route->share = 1.0;
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

static void advance_completed(route_limit_t *route, usec_t now)
{
	int64_t number = now / COMPLETED_BUCKET_TIME;

	if (number - route->completed_newest > COMPLETED_BUCKETS)
		route->completed_newest = number - COMPLETED_BUCKETS;
	while (route->completed_newest < number)
		route->completed[++route->completed_newest % COMPLETED_BUCKETS] = 0;
}

static uint32_t count_completed(route_limit_t *route, usec_t now)
{
	uint32_t sum = 0;

	advance_completed(route, now);
	for (int i = 0; i < COMPLETED_BUCKETS; i++)
		sum += route->completed[i];
	return sum;
}

void completion_limit_record_completed(completion_limit_t *limit, const char *route_name,
				       usec_t now)
{
	route_limit_t *route = find_route(limit, route_name, now);

	if (!route)
		return;
	advance_completed(route, now);
	route->completed[route->completed_newest % COMPLETED_BUCKETS]++;
}

bool completion_limit_applies(const completion_limit_t *limit)
{
	return limit->applies;
}

/* Compares the requests that complete with those that the limit would admit. */
static void compare(completion_limit_t *limit, usec_t now)
{
	double completed = 0, admissible = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limit->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		route_limit_t *route = value;

		if (route->share >= 1.0 || now - route->share_at >= SHARE_LIFETIME)
			continue;
		completed += count_completed(route, now);
		admissible +=
			route->share * route->rate_before * COMPLETED_TIME / USEC_PER_SEC;
	}
	/* Without a share below 1, both are 0. */
	if (admissible <= 0)
		limit->applies = false;
	else if (admissible > completed + COMPARE_DEVIATIONS * sqrt(completed + 1))
		limit->applies = true;
}

/* The admissions of a route per second before its share fell below 1. */
static double find_rate_before(const completion_limit_t *limit, route_limit_t *route,
			       usec_t now)
{
	/* Requests that are rarer than the history count as one in each window. */
	double least = (double)USEC_PER_SEC / (double)MAX(limit->window, 1);

	/* The history falls with what is admitted; the limit must not follow. */
	if (route->rate_before <= 0)
		route->rate_before = MAX(call_history_rate(route->admitted, now), least);
	return route->rate_before;
}

bool completion_limit_admit(completion_limit_t *limit, const char *route_name,
			    double completable, uint32_t importance,
			    const importance_range_t *range, usec_t now)
{
	route_limit_t *route = find_route(limit, route_name, now);
	double share = completion_admitted_share(completable, importance, range);

	if (!route)
		return true;
	route->share = share;
	route->share_at = now;
	double rate = 0;
	if (share < 1.0)
		rate = find_rate_before(limit, route, now);
	else
		route->rate_before = 0;
	if (limit->mode == COMPLETION_LIMIT_COMPARE &&
	    now - limit->compared_at >= COMPLETED_BUCKET_TIME) {
		compare(limit, now);
		limit->compared_at = now;
	}
	if (share < 1.0 && limit->applies && !take_token(route, share * rate, now))
		return false;
	call_history_record(route->admitted, now);
	return true;
}
