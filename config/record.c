#include "config/record.h"

#include <stdlib.h>
#include <string.h>

#define ROW_PREFIX "record/"
#define TIMEOUT_MIN_MS 1
#define TIMEOUT_MAX_MS 600000
#define TIMEOUT_DEFAULT_MS 10000
#define RETRIES_MAX 10
#define RETRIES_DEFAULT 2
#define RATE_MAX 1e6
#define WEIGHT_MAX 1000000
#define SLOTS_MAX 100000
#define ROLLOUT_MAX_MS 86400000
#define QUEUE_SLOTS_DEFAULT 0 /* as many as the target has slots */
#define RETRY_RATIO_DEFAULT 0.1

static const char *const kind_names[RECORD_KIND_COUNT] = {
	[RECORD_CLIENT_ACCOUNT] = "client_account",
	[RECORD_KEY] = "key",
	[RECORD_ROUTE] = "route",
	[RECORD_AVAILABILITY_ZONE] = "availability_zone",
	[RECORD_SERVICE] = "service",
	[RECORD_ROLLOUT] = "rollout",
};

typedef struct parse {
	const json_t *json;
	record_error_fn on_error;
	void *ctx;
	bool failed;
} parse_t;

/* `allowed_text` of this and the functions below describes the valid values of the field
 * in the error message. */
static void report_error(parse_t *p, const char *field, const char *allowed_text)
{
	p->failed = true;
	if (p->on_error)
		p->on_error(p->ctx, field, allowed_text);
}

static char *get_string(parse_t *p, const char *field, const char *allowed_text)
{
	const json_t *value = json_object_get(p->json, field);

	if (json_is_string(value) && *json_string_value(value))
		return g_strdup(json_string_value(value));
	report_error(p, field, allowed_text);
	return NULL;
}

static char *get_name(parse_t *p, const char *field)
{
	char *name =
		get_string(p, field, "a name of 1 to 64 characters a-z A-Z 0-9 . _ -");

	if (name && !record_name_valid(name)) {
		report_error(p, field, "a name of 1 to 64 characters a-z A-Z 0-9 . _ -");
		g_free(name);
		return NULL;
	}
	return name;
}

static double get_number(parse_t *p, const char *field, double min, double max,
			 double default_value, const char *allowed_text)
{
	const json_t *value = json_object_get(p->json, field);

	if (!value && default_value >= min)
		return default_value;
	if (json_is_number(value) && json_number_value(value) >= min &&
	    json_number_value(value) <= max)
		return json_number_value(value);
	report_error(p, field, allowed_text);
	return min;
}

static uint32_t get_integer(parse_t *p, const char *field, uint32_t min, uint32_t max,
			    int64_t default_value, const char *allowed_text)
{
	const json_t *value = json_object_get(p->json, field);

	if (!value && default_value >= 0)
		return (uint32_t)default_value;
	if (json_is_integer(value) && json_integer_value(value) >= min &&
	    json_integer_value(value) <= max)
		return (uint32_t)json_integer_value(value);
	report_error(p, field, allowed_text);
	return min;
}

static bool get_bool(parse_t *p, const char *field, bool default_value)
{
	const json_t *value = json_object_get(p->json, field);

	if (!value)
		return default_value;
	if (!json_is_boolean(value))
		report_error(p, field, "true or false");
	return json_is_true(value);
}

static void check_fields(parse_t *p, const char *const *allowed_fields)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)p->json, key, value)
	{
		if (strcmp(key, "kind") == 0 || strcmp(key, "name") == 0 ||
		    strcmp(key, "schema_version") == 0)
			continue;
		if (!g_strv_contains(allowed_fields, key))
			report_error(p, key,
				     "absent (this kind of record has no such field)");
	}
}

static void parse_client_account(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {"rate", "burst", "importance", NULL};

	check_fields(p, allowed_fields);
	r->client_account.importance = IMPORTANCE_NONE;
	if (json_object_get(p->json, "importance"))
		r->client_account.importance = (int)get_integer(
			p, "importance", 0, IMPORTANCE_LEVELS - 1, -1, "0 to 9");
	const json_t *rate = json_object_get(p->json, "rate");
	if (json_is_null(rate))
		return;
	r->client_account.rate =
		get_number(p, "rate", 0.001, RATE_MAX, -1,
			   "0.001 to 1000000 requests per second, or null for no limit");
	r->client_account.burst =
		get_number(p, "burst", 1, RATE_MAX, -1, "1 to 1000000 requests");
}

static void parse_key(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {"digest", "account", NULL};
	const char *allowed_text = "the key's SHA-256 as 64 lower-case hex digits";

	check_fields(p, allowed_fields);
	r->key.digest = get_string(p, "digest", allowed_text);
	r->key.account = get_name(p, "account");
	if (r->key.digest &&
	    (strlen(r->key.digest) != KEY_DIGEST_HEX_BYTES ||
	     strspn(r->key.digest, "0123456789abcdef") != KEY_DIGEST_HEX_BYTES))
		report_error(p, "digest", allowed_text);
}

static bool method_valid(const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len = text ? strlen(text) : 0;

	return len > 0 && len <= 16 && strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == len;
}

static void parse_methods(parse_t *p, route_t *route)
{
	const json_t *list = json_object_get(p->json, "methods");
	size_t i;
	json_t *value;

	if (!list)
		return;
	if (!json_is_array(list)) {
		report_error(p, "methods", "a list of HTTP methods in upper case");
		return;
	}
	json_array_foreach(list, i, value)
	{
		if (method_valid(value))
			g_ptr_array_add(route->methods,
					g_strdup(json_string_value(value)));
		else
			report_error(p, "methods",
				     "a list of HTTP methods in upper case");
	}
}

static void parse_backends(parse_t *p, route_t *route)
{
	static const char allowed_text[] =
		"a list of 1 to 8 objects with service and weight, "
		"0 to 1000000, not all 0";
	const json_t *list = json_object_get(p->json, "backends");
	uint64_t total = 0;
	size_t i;
	json_t *value;

	if (!list)
		return;
	bool ok = json_array_size(list) >= 1 && json_array_size(list) <= BACKENDS_MAX &&
		  !json_object_get(p->json, "service");
	json_array_foreach(list, i, value)
	{
		const char *service =
			json_string_value(json_object_get(value, "service"));
		const json_t *weight = json_object_get(value, "weight");
		json_int_t number = json_integer_value(weight);

		ok = ok && service && record_name_valid(service) &&
		     json_is_integer(weight) && number >= 0 && number <= WEIGHT_MAX;
		if (!ok)
			break;
		backend_t backend = {g_strdup(service), (uint32_t)number};
		g_array_append_val(route->backends, backend);
		total += backend.weight;
	}
	if (!ok || total == 0)
		report_error(p, "backends", allowed_text);
}

static char *get_host(parse_t *p)
{
	if (!json_object_get(p->json, "host"))
		return NULL;
	return get_string(p, "host", "the host of the requests, as in their Host header");
}

static void parse_route(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {
		"host",	    "prefix",	  "methods",	  "service",
		"backends", "open",	  "importance",	  "idempotent",
		"retries",  "timeout_ms", "objective_ms", NULL};

	check_fields(p, allowed_fields);
	r->route.prefix = get_string(p, "prefix", "a path that starts with /");
	if (r->route.prefix && r->route.prefix[0] != '/')
		report_error(p, "prefix", "a path that starts with /");
	r->route.host = get_host(p);
	parse_backends(p, &r->route);
	if (r->route.backends->len == 0)
		r->route.service = get_name(p, "service");
	r->route.objective_ms = get_integer(p, "objective_ms", 0, TIMEOUT_MAX_MS, 0,
					    "0 to 600000 milliseconds");
	r->route.importance =
		get_integer(p, "importance", 0, IMPORTANCE_LEVELS - 1, -1, "0 to 9");
	r->route.idempotent = get_bool(p, "idempotent", false);
	r->route.allow_anonymous = get_bool(p, "open", false);
	r->route.timeout_ms = get_integer(p, "timeout_ms", TIMEOUT_MIN_MS, TIMEOUT_MAX_MS,
					  TIMEOUT_DEFAULT_MS, "1 to 600000 milliseconds");
	r->route.retries =
		get_integer(p, "retries", 0, RETRIES_MAX, RETRIES_DEFAULT, "0 to 10");
	parse_methods(p, &r->route);
}

static void parse_zone(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {"status", NULL};
	char *status = get_string(p, "status", "in or out");

	check_fields(p, allowed_fields);
	if (status && strcmp(status, "in") != 0 && strcmp(status, "out") != 0)
		report_error(p, "status", "in or out");
	r->zone.in_service = g_strcmp0(status, "in") == 0;
	g_free(status);
}

static void parse_service(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {
		"cold_slots", "queue_slots", "retry_ratio", "cold_rate",
		"cold_ms",    "connections", NULL};

	check_fields(p, allowed_fields);
	r->service.cold_slots =
		get_integer(p, "cold_slots", 1, SLOTS_MAX, 1, "1 to 100000 slots");
	r->service.queue_slots = get_integer(p, "queue_slots", 0, SLOTS_MAX,
					     QUEUE_SLOTS_DEFAULT, "0 to 100000 slots");
	r->service.retry_ratio =
		get_number(p, "retry_ratio", 0, 1, RETRY_RATIO_DEFAULT, "0 to 1");
	r->service.cold_rate = get_number(p, "cold_rate", 0, RATE_MAX, 0,
					  "0 to 1000000 requests per second");
	r->service.cold_ms = get_integer(p, "cold_ms", 0, TIMEOUT_MAX_MS, 0,
					 "0 to 600000 milliseconds");
	r->service.connections =
		get_integer(p, "connections", 0, SLOTS_MAX, 0, "0 to 100000 connections");
}

static void parse_rollout(parse_t *p, record_t *r)
{
	static const char *const allowed_fields[] = {"service", "to_version",
						     "duration_ms", NULL};
	const char *service = json_string_value(json_object_get(p->json, "service"));

	check_fields(p, allowed_fields);
	if (g_strcmp0(service, r->name) != 0)
		report_error(p, "service", "the name of the record");
	r->rollout.to_version = get_name(p, "to_version");
	r->rollout.duration_ms = get_integer(p, "duration_ms", 1000, ROLLOUT_MAX_MS, -1,
					     "1000 to 86400000 milliseconds");
}

static void (*const parsers[RECORD_KIND_COUNT])(parse_t *, record_t *) = {
	[RECORD_CLIENT_ACCOUNT] = parse_client_account,
	[RECORD_KEY] = parse_key,
	[RECORD_ROUTE] = parse_route,
	[RECORD_AVAILABILITY_ZONE] = parse_zone,
	[RECORD_SERVICE] = parse_service,
	[RECORD_ROLLOUT] = parse_rollout,
};

static bool parse_kind(parse_t *p, record_kind_t *kind)
{
	const json_t *value = json_object_get(p->json, "kind");

	if (json_is_string(value) && record_kind_parse(json_string_value(value), kind))
		return true;
	report_error(p, "kind",
		     "client_account, key, route, availability_zone, service or rollout");
	return false;
}

static void clear_backend(void *data)
{
	g_free(((backend_t *)data)->service);
}

record_t *record_parse(const json_t *json, record_error_fn on_error, void *ctx)
{
	parse_t p = {.json = json, .on_error = on_error, .ctx = ctx};
	record_kind_t kind;

	if (!json_is_object(json)) {
		report_error(&p, "", "a JSON object");
		return NULL;
	}
	if (!parse_kind(&p, &kind))
		return NULL;
	record_t *record = g_new0(record_t, 1);
	record->kind = kind;
	if (kind == RECORD_ROUTE) {
		record->route.methods = g_ptr_array_new_with_free_func(g_free);
		record->route.backends = g_array_new(FALSE, TRUE, sizeof(backend_t));
		g_array_set_clear_func(record->route.backends, clear_backend);
	}
	record->name = get_name(&p, "name");
	record->schema_version = get_integer(&p, "schema_version", 1, G_MAXINT32, -1,
					     "a whole number from 1");
	record->schema_supported = record->schema_version <= RECORD_SCHEMA_VERSION;
	if (record->schema_supported)
		parsers[kind](&p, record);
	if (!p.failed)
		return record;
	record_destroy(record);
	return NULL;
}

void record_destroy(record_t *record)
{
	if (!record)
		return;
	g_free(record->name);
	if (record->kind == RECORD_KEY) {
		g_free(record->key.digest);
		g_free(record->key.account);
	} else if (record->kind == RECORD_ROUTE) {
		g_free(record->route.host);
		g_free(record->route.prefix);
		g_array_free(record->route.backends, TRUE);
		g_free(record->route.service);
		g_ptr_array_free(record->route.methods, TRUE);
	} else if (record->kind == RECORD_ROLLOUT) {
		g_free(record->rollout.to_version);
	}
	g_free(record);
}

const char *record_kind_name(record_kind_t kind)
{
	return kind_names[kind];
}

bool record_kind_parse(const char *text, record_kind_t *out)
{
	for (int i = 0; i < RECORD_KIND_COUNT; i++) {
		if (strcmp(text, kind_names[i]) == 0) {
			*out = (record_kind_t)i;
			return true;
		}
	}
	return false;
}

bool record_name_valid(const char *name)
{
	size_t len = strlen(name);

	return len >= 1 && len <= RECORD_NAME_MAX_BYTES &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "0123456789._-") == len;
}

char *record_row_key(record_kind_t kind, const char *name, uint32_t schema_version)
{
	return g_strdup_printf(ROW_PREFIX "%s/%s@%u", kind_names[kind], name,
			       schema_version);
}

bool record_row_key_parse(const char *key, record_kind_t *kind, char **name,
			  uint32_t *schema_version)
{
	if (!g_str_has_prefix(key, ROW_PREFIX))
		return false;
	const char *kind_text = key + strlen(ROW_PREFIX);
	const char *slash = strchr(kind_text, '/');
	const char *at = strrchr(key, '@');
	if (!slash || !at || at < slash || at[1] < '1' || at[1] > '9')
		return false;
	char *end = NULL;
	unsigned long version = strtoul(at + 1, &end, 10);
	if (*end || version > G_MAXINT32)
		return false;
	char *kind_copy = g_strndup(kind_text, (gsize)(slash - kind_text));
	bool ok = record_kind_parse(kind_copy, kind);
	g_free(kind_copy);
	if (!ok)
		return false;
	*schema_version = (uint32_t)version;
	*name = g_strndup(slash + 1, (gsize)(at - slash - 1));
	return true;
}
