#include "egretscaled/node/node.h"

typedef struct pressure_search {
	node_t *node;
	usec_t now;
	double highest;
} pressure_search_t;

static void update_highest_pressure(void *ctx, const char *call_route,
				    const char *service)
{
	pressure_search_t *search = ctx;
	node_t *node = search->node;
	double own = router_service_pressure(node->router, service, search->now);
	double downstream =
		backpressure_pressure(node->backpressure, call_route, search->now);

	search->highest = MAX(search->highest, MAX(own, downstream));
}

double node_downstream_pressure(node_t *node, const char *route)
{
	pressure_search_t search = {.node = node, .now = clock_boot_usec()};

	pthread_mutex_lock(&node->router_lock);
	route_calls_foreach(node->outbound_calls, route, search.now,
			    update_highest_pressure, &search);
	pthread_mutex_unlock(&node->router_lock);
	return search.highest;
}

typedef struct completable_search {
	node_t *node;
	usec_t now;
	double lowest;
} completable_search_t;

static void update_lowest_completable(void *ctx, const char *call_route,
				      const char *service)
{
	completable_search_t *search = ctx;
	node_t *node = search->node;
	double own = node_completable_share(node, service, search->now);
	double downstream =
		1.0 - backpressure_missing(node->backpressure, call_route, search->now);

	search->lowest = MIN(search->lowest, MIN(own, downstream));
}

double node_downstream_completable(node_t *node, const char *route)
{
	completable_search_t search = {
		.node = node, .now = clock_boot_usec(), .lowest = 1.0};

	pthread_mutex_lock(&node->router_lock);
	route_calls_foreach(node->outbound_calls, route, search.now,
			    update_lowest_completable, &search);
	pthread_mutex_unlock(&node->router_lock);
	return search.lowest;
}

typedef struct unavailable_search {
	node_t *node;
	usec_t now;
	bool found;
} unavailable_search_t;

static void find_unavailable(void *ctx, const char *call_route, const char *service)
{
	unavailable_search_t *search = ctx;
	node_t *node = search->node;

	search->found |=
		!router_has_instance(node->router, service) ||
		backpressure_unavailable(node->backpressure, call_route, search->now);
}

bool node_calls_unavailable(node_t *node, const char *route)
{
	unavailable_search_t search = {.node = node, .now = clock_boot_usec()};

	pthread_mutex_lock(&node->router_lock);
	route_calls_foreach(node->outbound_calls, route, search.now, find_unavailable,
			    &search);
	pthread_mutex_unlock(&node->router_lock);
	return search.found;
}

bool node_makes_calls(node_t *node)
{
	pthread_mutex_lock(&node->router_lock);
	bool makes_calls = route_calls_are_usual(node->outbound_calls);
	pthread_mutex_unlock(&node->router_lock);
	return makes_calls;
}
