#include "config/config.h"

#include "common/counters.h"
#include "common/revision.h"
#include "config/restored.h"

#include <stdatomic.h>
#include <string.h>

struct config_log {
	GHashTable *rows; /* key -> config_row_t */
	uint64_t revision;
	uint64_t snapshot; /* revision of the newest snapshot, which supersedes older
			      records; 0 if none */
	uint64_t refused;  /* as restored_inputs_t, likewise era_start */
	uint64_t era_start;
	usec_t now, hold_until;
	GHashTable *deferred; /* key -> config_row_t */
};

struct config {
	atomic_int refs;
	uint64_t revision;
	uint64_t snapshot;
	GHashTable *records[RECORD_KIND_COUNT]; /* name -> record_t */
	GHashTable *digests;			/* digest -> record_t of kind key */
	GPtrArray *routes;			/* record_t, longest prefix first */
	importance_range_t importance;		/* of the routes */
};

static void row_destroy(void *data)
{
	config_row_t *row = data;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

config_log_t *config_log_create(void)
{
	config_log_t *log = g_new0(config_log_t, 1);

	log->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_destroy);
	log->deferred = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_destroy);
	return log;
}

void config_log_destroy(config_log_t *log)
{
	if (!log)
		return;
	g_hash_table_destroy(log->rows);
	g_hash_table_destroy(log->deferred);
	g_free(log);
}

static bool is_superseded(const config_log_t *log, const char *key, uint64_t revision)
{
	return revision < log->snapshot && strcmp(key, CONFIG_SNAPSHOT_KEY) != 0 &&
	       !g_str_has_prefix(key, CONFIG_ZONE_PREFIX) &&
	       !g_str_has_prefix(key, CONFIG_ROLLOUT_PREFIX);
}

static gboolean row_is_superseded(void *key, void *value, void *ctx)
{
	return is_superseded(ctx, key, ((const config_row_t *)value)->revision);
}

bool config_log_begin(config_log_t *log, uint64_t revision, usec_t now)
{
	log->now = now;
	if (revision_era(revision) < revision_era(log->era_start))
		return false;
	if (revision_era(revision) > revision_era(log->era_start)) {
		log->era_start = revision;
		log->hold_until = now + RESTORED_ZONE_HOLD;
		g_hash_table_remove_all(log->deferred);
	}
	return true;
}

uint64_t config_log_era(const config_log_t *log)
{
	return revision_era(log->era_start);
}

static void store_row(GHashTable *rows, const config_row_t *row)
{
	config_row_t *copy = g_new0(config_row_t, 1);

	copy->key = g_strdup(row->key);
	copy->revision = row->revision;
	copy->value = g_strdup(row->value);
	g_hash_table_replace(rows, copy->key, copy);
}

static restored_verdict_t judge(const config_log_t *log, const config_row_t *row)
{
	restored_inputs_t inputs = {
		.era_start = log->era_start,
		.has_snapshot = log->snapshot > 0,
		.refused = log->refused,
		.now = log->now,
		.hold_until = log->hold_until,
	};

	return restored_judge(&inputs, g_hash_table_lookup(log->rows, row->key), row);
}

/* Returns whether the row is to be merged now. */
static bool accept_restored(config_log_t *log, const config_row_t *row)
{
	restored_verdict_t verdict = judge(log, row);

	if (verdict == RESTORED_APPLY) {
		g_hash_table_remove(log->deferred, row->key);
		return true;
	}
	counter_add(COUNTER_CONFIG_KEPT, 1);
	if (verdict == RESTORED_DEFER)
		store_row(log->deferred, row);
	else if (strcmp(row->key, CONFIG_SNAPSHOT_KEY) == 0)
		log->refused = row->revision;
	return false;
}

bool config_log_merge(config_log_t *log, const char *key, uint64_t revision,
		      const char *value)
{
	const config_row_t *existing = g_hash_table_lookup(log->rows, key);
	const config_row_t row = {(char *)key, revision, (char *)value};

	if ((existing && existing->revision >= revision) ||
	    is_superseded(log, key, revision) || !accept_restored(log, &row))
		return false;
	if (strcmp(key, CONFIG_SNAPSHOT_KEY) == 0) {
		log->snapshot = revision;
		g_hash_table_foreach_remove(log->rows, row_is_superseded, log);
	}
	store_row(log->rows, &row);
	return true;
}

size_t config_log_release(config_log_t *log, usec_t now)
{
	size_t count = g_hash_table_size(log->deferred);
	GHashTableIter iter;
	void *value;

	if (now < log->hold_until || count == 0)
		return 0;
	g_hash_table_iter_init(&iter, log->deferred);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		store_row(log->rows, value);
	g_hash_table_remove_all(log->deferred);
	return count;
}

void config_log_advance(config_log_t *log, uint64_t revision)
{
	log->revision = MAX(log->revision, revision);
}

uint64_t config_log_revision(const config_log_t *log)
{
	return log->revision;
}

static int compare_revision(const void *a, const void *b)
{
	const config_row_t *left = *(config_row_t *const *)a;
	const config_row_t *right = *(config_row_t *const *)b;

	if (left->revision == right->revision)
		return (strcmp(right->key, CONFIG_SNAPSHOT_KEY) == 0) -
		       (strcmp(left->key, CONFIG_SNAPSHOT_KEY) == 0);
	return left->revision > right->revision ? 1 : -1;
}

/* Number of leading rows that are within `limit` bytes and end with a complete revision;
 * at least one revision. */
static guint rows_within_limit(const GPtrArray *rows, size_t limit)
{
	size_t bytes = 0;
	guint complete = 0;

	for (guint i = 0; i < rows->len; i++) {
		const config_row_t *row = rows->pdata[i];
		bool last = i + 1 == rows->len;

		bytes += strlen(row->key) + (row->value ? strlen(row->value) : 0);
		if (bytes > limit && complete > 0)
			break;
		if (last ||
		    ((const config_row_t *)rows->pdata[i + 1])->revision != row->revision)
			complete = i + 1;
	}
	return complete;
}

uint64_t config_log_changes(const config_log_t *log, uint64_t after, size_t limit,
			    GPtrArray *out)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, log->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		config_row_t *row = value;
		if (row->revision > after && row->revision <= log->revision)
			g_ptr_array_add(out, row);
	}
	g_ptr_array_sort(out, compare_revision);
	guint count = rows_within_limit(out, limit);
	if (count == out->len)
		return log->revision;
	g_ptr_array_set_size(out, (gint)count);
	return ((const config_row_t *)out->pdata[count - 1])->revision;
}

/* Returns the record of a row, or NULL for a tombstone, a schema version that is not
 * supported, an invalid record, or one that does not match the row's key. */
static record_t *parse_row(const config_row_t *row)
{
	record_kind_t kind;
	char *name = NULL;
	uint32_t version;

	if (!row->value || !record_row_key_parse(row->key, &kind, &name, &version))
		return NULL;
	json_t *json =
		version <= RECORD_SCHEMA_VERSION ? json_loads(row->value, 0, NULL) : NULL;
	record_t *record = json ? record_parse(json, NULL, NULL) : NULL;
	json_decref(json);
	if (record && (record->kind != kind || record->schema_version != version ||
		       strcmp(record->name, name) != 0))
		g_clear_pointer(&record, record_destroy);
	g_free(name);
	return record;
}

static void index_record(config_t *config, const config_row_t *row)
{
	record_t *record = parse_row(row);

	if (!record)
		return;
	record->revision = row->revision;
	GHashTable *table = config->records[record->kind];
	const record_t *existing = g_hash_table_lookup(table, record->name);
	if (existing && existing->schema_version > record->schema_version) {
		record_destroy(record);
		return;
	}
	g_hash_table_replace(table, record->name, record);
}

static int compare_prefix(const void *a, const void *b)
{
	const record_t *left = *(record_t *const *)a;
	const record_t *right = *(record_t *const *)b;
	size_t left_len = strlen(left->route.prefix);
	size_t right_len = strlen(right->route.prefix);

	if (left_len != right_len)
		return left_len > right_len ? -1 : 1;
	return strcmp(left->name, right->name);
}

static void widen_range(importance_range_t *range, uint32_t importance)
{
	range->lowest = MIN(range->lowest, importance);
	range->highest = MAX(range->highest, importance);
}

static void index_lookups(config_t *config)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, config->records[RECORD_KEY]);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_insert(config->digests, ((record_t *)value)->key.digest,
				    value);
	g_hash_table_iter_init(&iter, config->records[RECORD_ROUTE]);
	config->importance = (importance_range_t){.lowest = IMPORTANCE_LEVELS};
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_ptr_array_add(config->routes, value);
		widen_range(&config->importance, ((record_t *)value)->route.importance);
	}
	g_ptr_array_sort(config->routes, compare_prefix);
}

config_t *config_build(const config_log_t *log)
{
	config_t *config = g_new0(config_t, 1);
	GHashTableIter iter;
	void *value;

	atomic_init(&config->refs, 1);
	config->revision = log->revision;
	config->snapshot = log->snapshot;
	for (int i = 0; i < RECORD_KIND_COUNT; i++)
		config->records[i] = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, (GDestroyNotify)record_destroy);
	config->digests = g_hash_table_new(g_str_hash, g_str_equal);
	config->routes = g_ptr_array_new();
	g_hash_table_iter_init(&iter, log->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		index_record(config, value);
	index_lookups(config);
	return config;
}

config_t *config_ref(config_t *config)
{
	atomic_fetch_add(&config->refs, 1);
	return config;
}

void config_unref(config_t *config)
{
	if (!config || atomic_fetch_sub(&config->refs, 1) != 1)
		return;
	g_ptr_array_free(config->routes, TRUE);
	g_hash_table_destroy(config->digests);
	for (int i = 0; i < RECORD_KIND_COUNT; i++)
		g_hash_table_destroy(config->records[i]);
	g_free(config);
}

uint64_t config_revision(const config_t *config)
{
	return config->revision;
}

uint64_t config_snapshot_revision(const config_t *config)
{
	return config->snapshot;
}

const importance_range_t *config_importance_range(const config_t *config)
{
	return &config->importance;
}

const char *config_account_for_digest(const config_t *config, const char *digest)
{
	const record_t *record = g_hash_table_lookup(config->digests, digest);

	return record ? record->key.account : NULL;
}

const client_account_t *config_client_account(const config_t *config, const char *name)
{
	const record_t *record =
		g_hash_table_lookup(config->records[RECORD_CLIENT_ACCOUNT], name);

	return record ? &record->client_account : NULL;
}

const service_record_t *config_service(const config_t *config, const char *name)
{
	const record_t *record =
		g_hash_table_lookup(config->records[RECORD_SERVICE], name);

	return record ? &record->service : NULL;
}

bool config_zone_in_service(const config_t *config, const char *zone)
{
	const record_t *record =
		g_hash_table_lookup(config->records[RECORD_AVAILABILITY_ZONE], zone);

	return !record || record->zone.in_service;
}

static bool route_matches(const route_t *route, const char *method, const char *path)
{
	size_t len = strlen(route->prefix);

	if (strncmp(path, route->prefix, len) != 0)
		return false;
	if (route->prefix[len - 1] != '/' && path[len] != '\0' && path[len] != '/' &&
	    path[len] != '?')
		return false;
	if (route->methods->len == 0)
		return true;
	for (guint i = 0; i < route->methods->len; i++) {
		if (strcmp(route->methods->pdata[i], method) == 0)
			return true;
	}
	return false;
}

static bool host_matches(const route_t *route, const char *host)
{
	return !route->host || (host && g_ascii_strcasecmp(route->host, host) == 0);
}

const record_t *config_match_route(const config_t *config, const char *host,
				   const char *method, const char *path)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const record_t *record = config->routes->pdata[i];
		if (host_matches(&record->route, host) &&
		    route_matches(&record->route, method, path))
			return record;
	}
	return NULL;
}

const char *route_select_service(const route_t *route, uint32_t random_bits)
{
	uint64_t total = 0;

	if (route->backends->len == 0)
		return route->service;
	for (guint i = 0; i < route->backends->len; i++)
		total += g_array_index(route->backends, backend_t, i).weight;
	uint64_t point = (total * random_bits) >> 32;
	for (guint i = 0; i < route->backends->len; i++) {
		const backend_t *backend = &g_array_index(route->backends, backend_t, i);
		if (point < backend->weight)
			return backend->service;
		point -= backend->weight;
	}
	return g_array_index(route->backends, backend_t, 0).service;
}

uint32_t config_zone_count(const config_t *config)
{
	return g_hash_table_size(config->records[RECORD_AVAILABILITY_ZONE]);
}

void config_foreach(const config_t *config, record_kind_t kind, config_record_fn fn,
		    void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, config->records[kind]);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
