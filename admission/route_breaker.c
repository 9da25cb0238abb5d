#include "admission/route_breaker.h"

#include <glib.h>

/* Beyond this number of routes, further ones are not watched. */
#define ROUTES_MAX 4096

typedef struct route {
	uint32_t failures; /* in a row, at most ROUTE_BREAKER_FAILURES */
	bool open;
	usec_t probed_at;
} route_t;

struct route_breaker {
	GHashTable *routes; /* name -> route_t; those that have failed */
};

route_breaker_t *route_breaker_create(void)
{
	route_breaker_t *breaker = g_new0(route_breaker_t, 1);

	breaker->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return breaker;
}

void route_breaker_destroy(route_breaker_t *breaker)
{
	if (!breaker)
		return;
	g_hash_table_destroy(breaker->routes);
	g_free(breaker);
}

bool route_breaker_is_open(const route_breaker_t *breaker, const char *name)
{
	const route_t *route = g_hash_table_lookup(breaker->routes, name);

	return route && route->open;
}

bool route_breaker_admits(const route_breaker_t *breaker, const char *name, usec_t now)
{
	const route_t *route = g_hash_table_lookup(breaker->routes, name);

	return !route || !route->open ||
	       now - route->probed_at >= ROUTE_BREAKER_PROBE_PERIOD;
}

void route_breaker_handle_send(route_breaker_t *breaker, const char *name, usec_t now)
{
	route_t *route = g_hash_table_lookup(breaker->routes, name);

	if (route)
		route->probed_at = now;
}

bool route_breaker_record(route_breaker_t *breaker, const char *name, bool failed,
			  bool unavailable)
{
	route_t *route = g_hash_table_lookup(breaker->routes, name);

	if (!failed) {
		bool was_open = route && route->open;
		if (route)
			g_hash_table_remove(breaker->routes, name);
		return was_open;
	}
	if (!route) {
		if (g_hash_table_size(breaker->routes) >= ROUTES_MAX)
			return false;
		route = g_new0(route_t, 1);
		g_hash_table_insert(breaker->routes, g_strdup(name), route);
	}
	route->failures = MIN(route->failures + 1, ROUTE_BREAKER_FAILURES);
	bool open = route->failures == ROUTE_BREAKER_FAILURES && unavailable;
	bool changed = open != route->open;
	route->open = open;
	return changed;
}
