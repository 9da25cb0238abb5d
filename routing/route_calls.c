#include "routing/route_calls.h"

typedef struct called {
	char *service;
	usec_t seen;
} called_t;

typedef struct caller {
	uint32_t running;
	GHashTable *calls; /* call route -> called_t */
} caller_t;

struct onward {
	GHashTable *callers; /* route -> caller_t */
	uint32_t distinct;   /* routes with running requests */
};

static void called_destroy(void *data)
{
	called_t *called = data;

	g_free(called->service);
	g_free(called);
}

static void caller_destroy(void *data)
{
	caller_t *caller = data;

	g_hash_table_destroy(caller->calls);
	g_free(caller);
}

onward_t *onward_create(void)
{
	onward_t *onward = g_new0(onward_t, 1);

	onward->callers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, caller_destroy);
	return onward;
}

void onward_destroy(onward_t *onward)
{
	if (!onward)
		return;
	g_hash_table_destroy(onward->callers);
	g_free(onward);
}

void onward_begin(onward_t *onward, const char *route)
{
	caller_t *caller = g_hash_table_lookup(onward->callers, route);

	if (!caller) {
		caller = g_new0(caller_t, 1);
		caller->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						      called_destroy);
		g_hash_table_insert(onward->callers, g_strdup(route), caller);
	}
	if (caller->running++ == 0)
		onward->distinct++;
}

void onward_end(onward_t *onward, const char *route)
{
	caller_t *caller = g_hash_table_lookup(onward->callers, route);

	if (caller && caller->running > 0 && --caller->running == 0)
		onward->distinct--;
}

static caller_t *only_caller(onward_t *onward)
{
	GHashTableIter iter;
	void *value;

	if (onward->distinct != 1)
		return NULL;
	g_hash_table_iter_init(&iter, onward->callers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((caller_t *)value)->running > 0)
			return value;
	}
	return NULL;
}

void onward_call(onward_t *onward, const char *call_route, const char *service,
		 usec_t now)
{
	caller_t *caller = only_caller(onward);

	if (!caller)
		return;
	called_t *called = g_hash_table_lookup(caller->calls, call_route);
	if (!called) {
		called = g_new0(called_t, 1);
		called->service = g_strdup(service);
		g_hash_table_insert(caller->calls, g_strdup(call_route), called);
	}
	called->seen = now;
}

void onward_foreach(onward_t *onward, const char *route, usec_t now, onward_fn fn,
		    void *ctx)
{
	caller_t *caller = g_hash_table_lookup(onward->callers, route);
	GHashTableIter iter;
	void *key;
	void *value;

	if (!caller)
		return;
	g_hash_table_iter_init(&iter, caller->calls);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const called_t *called = value;

		if (now - called->seen < ONWARD_MEMORY)
			fn(ctx, key, called->service);
	}
}
