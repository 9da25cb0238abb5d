#include "routing/route_calls.h"

#include <stdbool.h>

/* A call is inferred for a route when SCORE_MAX more of its completed requests had the
 * call in their time than MISS_COST for each that had not. */
#define SCORE_MAX 16
#define MISS_COST 4
#define TARGET_CALLS_MAX 64
/* Both counts of route_calls_are_usual() are halved when the requests reach this number.
 */
#define COUNTED_REQUESTS_MAX 512
#define USUAL_CALLS_PER_REQUEST 0.1

typedef struct outbound_call {
	char *service;
	usec_t last_seen;
	bool observed; /* while only requests of the route were in flight */
	bool inferred;
	uint32_t score;
} outbound_call_t;

typedef struct caller_route {
	uint32_t inflight_requests;
	GHashTable *calls; /* call route -> outbound_call_t */
} caller_route_t;

/* A call of the target, whichever route it belongs to. */
typedef struct target_call_route {
	char *service;
	usec_t last_seen;
	const caller_route_t *observed_caller; /* the last one, or NULL */
	usec_t observed_at;
} target_call_route_t;

struct route_calls {
	GHashTable *callers;	  /* route -> caller_route_t */
	GHashTable *target_calls; /* call route -> target_call_route_t */
	uint32_t active_count;	  /* routes with requests in flight */
	uint32_t counted_requests;
	uint32_t counted_calls;
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

static void target_call_route_destroy(void *data)
{
	target_call_route_t *call = data;

	g_free(call->service);
	g_free(call);
}

route_calls_t *route_calls_create(void)
{
	route_calls_t *route_calls = g_new0(route_calls_t, 1);

	route_calls->callers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						     caller_route_destroy);
	route_calls->target_calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							  target_call_route_destroy);
	return route_calls;
}

void route_calls_destroy(route_calls_t *route_calls)
{
	if (!route_calls)
		return;
	g_hash_table_destroy(route_calls->callers);
	g_hash_table_destroy(route_calls->target_calls);
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
	if (++route_calls->counted_requests >= COUNTED_REQUESTS_MAX) {
		route_calls->counted_requests /= 2;
		route_calls->counted_calls /= 2;
	}
}

bool route_calls_are_usual(const route_calls_t *route_calls)
{
	return route_calls->counted_calls >
	       USUAL_CALLS_PER_REQUEST * route_calls->counted_requests;
}

void route_calls_end(route_calls_t *route_calls, const char *route)
{
	caller_route_t *caller = g_hash_table_lookup(route_calls->callers, route);

	if (caller && caller->inflight_requests > 0 && --caller->inflight_requests == 0)
		route_calls->active_count--;
}

static bool is_expired(usec_t last_seen, usec_t now)
{
	return now - last_seen >= ROUTE_CALLS_RETENTION_USEC;
}

static bool is_known(const outbound_call_t *call, usec_t now)
{
	return (call->observed || call->inferred) && !is_expired(call->last_seen, now);
}

static outbound_call_t *find_or_add_call(caller_route_t *caller, const char *call_route,
					 const char *service, usec_t now)
{
	outbound_call_t *call = g_hash_table_lookup(caller->calls, call_route);

	if (!call) {
		call = g_new0(outbound_call_t, 1);
		call->service = g_strdup(service);
		g_hash_table_insert(caller->calls, g_strdup(call_route), call);
	} else if (is_expired(call->last_seen, now)) {
		call->observed = false;
		call->inferred = false;
		call->score = 0;
	}
	call->last_seen = now;
	return call;
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

/* Returns NULL if the call is not known and there are too many others. */
static target_call_route_t *record_target_call(route_calls_t *route_calls,
					       const char *call_route,
					       const char *service, usec_t now)
{
	target_call_route_t *call =
		g_hash_table_lookup(route_calls->target_calls, call_route);

	if (!call) {
		if (g_hash_table_size(route_calls->target_calls) >= TARGET_CALLS_MAX)
			return NULL;
		call = g_new0(target_call_route_t, 1);
		call->service = g_strdup(service);
		g_hash_table_insert(route_calls->target_calls, g_strdup(call_route),
				    call);
	}
	call->last_seen = now;
	return call;
}

/* The call may belong to any active route: keeps it for those that are known to make it.
 */
static void refresh_known_calls(route_calls_t *route_calls, const char *call_route,
				target_call_route_t *target_call, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, route_calls->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const caller_route_t *caller = value;
		outbound_call_t *call = g_hash_table_lookup(caller->calls, call_route);

		if (!call || caller->inflight_requests == 0 || !is_known(call, now))
			continue;
		call->last_seen = now;
		if (call->observed && target_call &&
		    target_call->observed_caller == caller)
			target_call->observed_at = now;
	}
}

void route_calls_record(route_calls_t *route_calls, const char *call_route,
			const char *service, usec_t now)
{
	caller_route_t *caller = only_active_caller(route_calls);
	target_call_route_t *target_call =
		record_target_call(route_calls, call_route, service, now);

	route_calls->counted_calls++;
	if (!caller) {
		refresh_known_calls(route_calls, call_route, target_call, now);
		return;
	}
	find_or_add_call(caller, call_route, service, now)->observed = true;
	if (target_call) {
		target_call->observed_caller = caller;
		target_call->observed_at = now;
	}
}

/* Whether the call is known to belong to another route. */
static bool is_explained(const target_call_route_t *target_call,
			 const caller_route_t *caller, usec_t now)
{
	return target_call->observed_caller && target_call->observed_caller != caller &&
	       !is_expired(target_call->observed_at, now);
}

static void update_score(caller_route_t *caller, const char *call_route,
			 const target_call_route_t *target_call, usec_t started,
			 usec_t now)
{
	outbound_call_t *call = g_hash_table_lookup(caller->calls, call_route);

	if (is_explained(target_call, caller, now)) {
		if (call)
			call->inferred = false;
		return;
	}
	if (target_call->last_seen >= started) {
		call = find_or_add_call(caller, call_route, target_call->service, now);
		call->score = MIN(call->score + 1, SCORE_MAX);
	} else if (call) {
		call->score -= MIN(call->score, MISS_COST);
	} else {
		return;
	}
	if (call->score == SCORE_MAX)
		call->inferred = true;
	else if (call->score == 0)
		call->inferred = false;
}

void route_calls_completed(route_calls_t *route_calls, const char *route, usec_t started,
			   usec_t now)
{
	caller_route_t *caller = g_hash_table_lookup(route_calls->callers, route);
	GHashTableIter iter;
	void *key;
	void *value;

	if (!caller)
		return;
	g_hash_table_iter_init(&iter, route_calls->target_calls);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const target_call_route_t *target_call = value;

		if (is_expired(target_call->last_seen, now))
			g_hash_table_iter_remove(&iter);
		else
			update_score(caller, key, target_call, started, now);
	}
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

		if (is_known(call, now))
			fn(ctx, key, call->service);
	}
}
