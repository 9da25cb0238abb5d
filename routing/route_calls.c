#include "routing/route_calls.h"

#include <stdbool.h>

typedef struct outbound_call {
	char *service;
	usec_t last_seen;
} outbound_call_t;

typedef struct caller_route {
	uint32_t inflight_requests;
	GHashTable *calls; /* call route -> outbound_call_t */
} caller_route_t;

struct route_calls {
	GHashTable *callers;   /* route -> caller_route_t */
	uint32_t active_count; /* routes with requests in flight */
};

static void outbound_call_destroy(void *data)
{
	outbound_call_t *call = data;

	g_free(call->service);
	g_free(call);
}

static void caller_route_destroy(void *data)
{
	caller_route_t *caller = data;

	g_hash_table_destroy(caller->calls);
	g_free(caller);
}

route_calls_t *route_calls_create(void)
{
	route_calls_t *route_calls = g_new0(route_calls_t, 1);

	route_calls->callers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						     caller_route_destroy);
	return route_calls;
}

void route_calls_destroy(route_calls_t *route_calls)
{
	if (!route_calls)
		return;
	g_hash_table_destroy(route_calls->callers);
	g_free(route_calls);
}

void route_calls_begin(route_calls_t *route_calls, const char *route)
{
	caller_route_t *caller = g_hash_table_lookup(route_calls->callers, route);

	if (!caller) {
		caller = g_new0(caller_route_t, 1);
		caller->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						      outbound_call_destroy);
		g_hash_table_insert(route_calls->callers, g_strdup(route), caller);
	}
	if (caller->inflight_requests++ == 0)
		route_calls->active_count++;
}

void route_calls_end(route_calls_t *route_calls, const char *route)
{
	caller_route_t *caller = g_hash_table_lookup(route_calls->callers, route);

	if (caller && caller->inflight_requests > 0 && --caller->inflight_requests == 0)
		route_calls->active_count--;
}

static bool is_expired(const outbound_call_t *call, usec_t now)
{
	return now - call->last_seen >= ROUTE_CALLS_RETENTION_USEC;
}

static caller_route_t *only_active_caller(route_calls_t *route_calls)
{
	GHashTableIter iter;
	void *value;

	if (route_calls->active_count != 1)
		return NULL;
	g_hash_table_iter_init(&iter, route_calls->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((caller_route_t *)value)->inflight_requests > 0)
			return value;
	}
	return NULL;
}

/* The call may belong to any active route: keeps it for those that are known to make it.
 */
static void refresh_known_calls(route_calls_t *route_calls, const char *call_route,
				usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, route_calls->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const caller_route_t *caller = value;
		outbound_call_t *call = g_hash_table_lookup(caller->calls, call_route);

		if (call && caller->inflight_requests > 0 && !is_expired(call, now))
			call->last_seen = now;
	}
}

void route_calls_record(route_calls_t *route_calls, const char *call_route,
			const char *service, usec_t now)
{
	caller_route_t *caller = only_active_caller(route_calls);

	if (!caller) {
		refresh_known_calls(route_calls, call_route, now);
		return;
	}
	outbound_call_t *call = g_hash_table_lookup(caller->calls, call_route);
	if (!call) {
		call = g_new0(outbound_call_t, 1);
		call->service = g_strdup(service);
		g_hash_table_insert(caller->calls, g_strdup(call_route), call);
	}
	call->last_seen = now;
}

void route_calls_foreach(route_calls_t *route_calls, const char *route, usec_t now,
			 route_calls_fn fn, void *ctx)
{
	caller_route_t *caller = g_hash_table_lookup(route_calls->callers, route);
	GHashTableIter iter;
	void *key;
	void *value;

	if (!caller)
		return;
	g_hash_table_iter_init(&iter, caller->calls);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const outbound_call_t *call = value;

		if (!is_expired(call, now))
			fn(ctx, key, call->service);
	}
}
