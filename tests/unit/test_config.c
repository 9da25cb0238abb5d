/* Validation of records, merging of rows by revision, and lookups. */
#include "case.h"

#include "common/revision.h"
#include "config/config.h"
#include "config/restored.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define DIGEST "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

/* --- records ------------------------------------------------------------------- */

typedef struct record_case {
	const char *name;
	const char *json;
	const char *error_field; /* the invalid field, NULL if valid */
} record_case_t;

static void record_error(void *ctx, const char *field, const char *allowed_text)
{
	GPtrArray *errors = ctx;

	assert_true(strlen(allowed_text) > 0);
	g_ptr_array_add(errors, g_strdup(field));
}

static void test_record(void **state)
{
	const record_case_t *c = *state;
	json_t *json = json_loads(c->json, 0, NULL);
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

	assert_non_null(json);
	record_t *record = record_parse(json, record_error, errors);
	if (c->error_field) {
		assert_null(record);
		assert_int_equal(errors->len, 1);
		assert_string_equal(errors->pdata[0], c->error_field);
	} else {
		assert_non_null(record);
		assert_int_equal(errors->len, 0);
	}
	record_destroy(record);
	g_ptr_array_free(errors, TRUE);
	json_decref(json);
}

#define HEAD(kind) "{\"kind\":\"" kind "\",\"name\":\"n\",\"schema_version\":1,"

static const record_case_t record_cases[] = {
	{"account", HEAD("client_account") "\"rate\":10,\"burst\":5}", NULL},
	{"account without rate", HEAD("client_account") "\"burst\":5}", "rate"},
	{"account with a negative rate",
	 HEAD("client_account") "\"rate\":-1,\"burst\":5}", "rate"},
	{"account with burst 0", HEAD("client_account") "\"rate\":1,\"burst\":0}",
	 "burst"},
	{"account with a text rate", HEAD("client_account") "\"rate\":\"9\",\"burst\":1}",
	 "rate"},
	{"unknown field", HEAD("client_account") "\"rate\":1,\"burst\":1,\"x\":2}", "x"},
	{"key", HEAD("key") "\"digest\":\"" DIGEST "\",\"account\":\"a\"}", NULL},
	{"key with a short digest", HEAD("key") "\"digest\":\"ab\",\"account\":\"a\"}",
	 "digest"},
	{"key with a bad account",
	 HEAD("key") "\"digest\":\"" DIGEST "\",\"account\":\"a b\"}", "account"},
	{"route", HEAD("route") "\"prefix\":\"/p\",\"service\":\"s\",\"importance\":9}",
	 NULL},
	{"route without a slash",
	 HEAD("route") "\"prefix\":\"p\",\"service\":\"s\",\"importance\":9}", "prefix"},
	{"importance 10",
	 HEAD("route") "\"prefix\":\"/\",\"service\":\"s\",\"importance\":10}",
	 "importance"},
	{"importance 1.5",
	 HEAD("route") "\"prefix\":\"/\",\"service\":\"s\",\"importance\":1.5}",
	 "importance"},
	{"lower-case method",
	 HEAD("route") "\"prefix\":\"/\",\"service\":\"s\",\"importance\":1,"
		       "\"methods\":[\"get\"]}",
	 "methods"},
	{"roll-out",
	 HEAD("rollout") "\"service\":\"n\",\"to_version\":\"v2\","
			 "\"duration_ms\":12000}",
	 NULL},
	{"roll-out of another service",
	 HEAD("rollout") "\"service\":\"m\",\"to_version\":\"v2\","
			 "\"duration_ms\":12000}",
	 "service"},
	{"roll-out without a version",
	 HEAD("rollout") "\"service\":\"n\",\"duration_ms\":12000}", "to_version"},
	{"roll-out without a duration",
	 HEAD("rollout") "\"service\":\"n\",\"to_version\":\"v2\"}", "duration_ms"},
	{"timeout 0",
	 HEAD("route") "\"prefix\":\"/"
		       "\",\"service\":\"s\",\"importance\":1,\"timeout_ms\":0}",
	 "timeout_ms"},
	{"zone out", HEAD("availability_zone") "\"status\":\"out\"}", NULL},
	{"zone with an unknown status", HEAD("availability_zone") "\"status\":\"side\"}",
	 "status"},
	{"service", HEAD("service") "\"cold_slots\":3,\"retry_ratio\":0.5}", NULL},
	{"retry ratio 2", HEAD("service") "\"retry_ratio\":2}", "retry_ratio"},
	{"unknown kind", HEAD("vm") "\"a\":1}", "kind"},
	{"not an object", "[1]", ""},
	{"bad name", "{\"kind\":\"service\",\"name\":\"a/b\",\"schema_version\":1}",
	 "name"},
	{"no version", "{\"kind\":\"service\",\"name\":\"a\"}", "schema_version"},
	{"fields of a newer schema version are not checked",
	 "{\"kind\":\"service\",\"name\":\"a\",\"schema_version\":9,\"z\":1}", NULL},
};

/* --- merging: the result does not depend on order, loss or repetition -------------- */

typedef struct merge_case {
	const char *name;
	guint32 seeds;
	size_t page_bytes;
} merge_case_t;

#define ROWS 12
#define CHANGES 60

static char *account_value(int rate)
{
	return g_strdup_printf("{\"kind\":\"client_account\",\"name\":\"n\","
			       "\"schema_version\":1,\"rate\":%d,\"burst\":1}",
			       rate);
}

/* A log with every change, merged in order. */
static config_log_t *make_source(GRand *rand)
{
	config_log_t *log = config_log_create();

	for (int revision = 1; revision <= CHANGES; revision++) {
		char *key = g_strdup_printf("record/client_account/n%d@1",
					    g_rand_int_range(rand, 0, ROWS));
		char *value = g_rand_double(rand) < 0.2 ? NULL : account_value(revision);
		config_log_merge(log, key, (uint64_t)revision, value);
		config_log_advance(log, (uint64_t)revision);
		g_free(key);
		g_free(value);
	}
	return log;
}

static void pull(config_log_t *to, const config_log_t *from, size_t page_bytes)
{
	GPtrArray *rows = g_ptr_array_new();
	uint64_t before = config_log_revision(to);
	uint64_t complete = config_log_changes(from, before, page_bytes, rows);

	for (guint i = 0; i < rows->len; i++) {
		const config_row_t *row = rows->pdata[i];
		config_log_merge(to, row->key, row->revision, row->value);
	}
	config_log_advance(to, complete);
	assert_true(config_log_revision(to) >= before);
	g_ptr_array_free(rows, TRUE);
}

static void assert_same(const config_log_t *a, const config_log_t *b)
{
	GPtrArray *left = g_ptr_array_new();
	GPtrArray *right = g_ptr_array_new();

	config_log_changes(a, 0, G_MAXSIZE, left);
	config_log_changes(b, 0, G_MAXSIZE, right);
	assert_int_equal(left->len, right->len);
	for (guint i = 0; i < left->len; i++) {
		const config_row_t *x = left->pdata[i];
		const config_row_t *y = right->pdata[i];
		assert_string_equal(x->key, y->key);
		assert_int_equal(x->revision, y->revision);
		assert_int_equal(g_strcmp0(x->value, y->value), 0);
	}
	g_ptr_array_free(left, TRUE);
	g_ptr_array_free(right, TRUE);
}

static void test_merge(void **state)
{
	const merge_case_t *c = *state;

	for (guint32 seed = 1; seed <= c->seeds; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		config_log_t *logs[4] = {make_source(rand), config_log_create(),
					 config_log_create(), config_log_create()};
		for (int i = 0; i < 400; i++) {
			int to = g_rand_int_range(rand, 1, 4);
			int from = g_rand_int_range(rand, 0, 4);
			if (to != from)
				pull(logs[to], logs[from], c->page_bytes);
		}
		for (int i = 1; i < 4; i++)
			assert_same(logs[0], logs[i]);
		for (int i = 0; i < 4; i++)
			config_log_destroy(logs[i]);
		g_rand_free(rand);
	}
}

static const merge_case_t merge_cases[] = {
	{"random pulls in pages of one row", 20, 1},
	{"random pulls in larger pages", 20, 400},
	{"random pulls without pages", 20, G_MAXSIZE},
};

/* --- lookups ----------------------------------------------------------------------- */

typedef struct route_case {
	const char *name;
	const char *method;
	const char *path;
	const char *route; /* NULL for none */
} route_case_t;

static void add(config_log_t *log, uint64_t revision, const char *key, const char *value)
{
	config_log_merge(log, key, revision, value);
	config_log_advance(log, revision);
}

static config_log_t *route_log(void)
{
	config_log_t *log = config_log_create();

	add(log, 1, "record/route/all@1",
	    "{\"kind\":\"route\",\"name\":\"all\",\"schema_version\":1,\"prefix\":\"/a\","
	    "\"service\":\"s\",\"importance\":1}");
	add(log, 2, "record/route/deep@1",
	    "{\"kind\":\"route\",\"name\":\"deep\",\"schema_version\":1,\"prefix\":\"/a/"
	    "b\","
	    "\"methods\":[\"POST\"],\"service\":\"s\",\"importance\":1}");
	add(log, 3, "record/route/slash@1",
	    "{\"kind\":\"route\",\"name\":\"slash\",\"schema_version\":1,\"prefix\":\"/c/"
	    "\","
	    "\"service\":\"s\",\"importance\":1}");
	return log;
}

static void test_route(void **state)
{
	const route_case_t *c = *state;
	config_log_t *log = route_log();
	config_t *config = config_build(log);
	const record_t *record = config_match_route(config, NULL, c->method, c->path);

	if (c->route)
		assert_string_equal(record->name, c->route);
	else
		assert_null(record);
	config_unref(config);
	config_log_destroy(log);
}

static const route_case_t route_cases[] = {
	{"the prefix itself", "GET", "/a", "all"},
	{"below the prefix", "GET", "/a/x", "all"},
	{"with a query", "GET", "/a?q=1", "all"},
	{"not at a path boundary", "GET", "/ab", NULL},
	{"the longest prefix", "POST", "/a/b/c", "deep"},
	{"a method that the longest prefix does not allow", "GET", "/a/b/c", "all"},
	{"a prefix that ends in a slash", "GET", "/c/d", "slash"},
	{"no route", "GET", "/z", NULL},
};

/* --- schema versions side by side -------------------------------------------------- */

typedef struct version_case {
	const char *name;
	const char *rows[4]; /* "VERSION RATE", or "VERSION -" for a tombstone */
	double rate;	     /* of the active record; 0 for none */
} version_case_t;

static void test_versions(void **state)
{
	const version_case_t *c = *state;
	config_log_t *log = config_log_create();

	for (int i = 0; i < 4 && c->rows[i]; i++) {
		int version = c->rows[i][0] - '0';
		char *key = g_strdup_printf("record/client_account/n@%d", version);
		char *value =
			g_strdup_printf("{\"kind\":\"client_account\",\"name\":\"n\","
					"\"schema_version\":%d,\"rate\":%s,\"burst\":1}",
					version, c->rows[i] + 2);
		add(log, (uint64_t)i + 1, key, c->rows[i][2] == '-' ? NULL : value);
		g_free(key);
		g_free(value);
	}
	config_t *config = config_build(log);
	const client_account_t *account = config_client_account(config, "n");
	assert_true(c->rate > 0 ? account && account->rate == c->rate : !account);
	config_unref(config);
	config_log_destroy(log);
}

static const version_case_t version_cases[] = {
	{"one version", {"1 5"}, 5},
	{"a newer version is stored and the supported one active", {"1 5", "9 7"}, 5},
	{"only a version that is not supported", {"9 7"}, 0},
	{"an update", {"1 5", "1 6"}, 6},
	{"retired", {"1 5", "1 -"}, 0},
	{"retired and created again", {"1 5", "1 -", "1 8"}, 8},
};

/* --- rows that do not match their key (found by tools/fuzz) ------------------------ */

typedef struct row_case {
	const char *name;
	const char *key;
	bool active;
} row_case_t;

static void test_row(void **state)
{
	const row_case_t *c = *state;
	config_log_t *log = config_log_create();

	add(log, 1, c->key,
	    "{\"kind\":\"route\",\"name\":\"r\",\"schema_version\":1,\"prefix\":\"/\","
	    "\"service\":\"s\",\"importance\":1}");
	config_t *config = config_build(log);
	assert_int_equal(config_match_route(config, NULL, "GET", "/x") != NULL,
			 c->active);
	assert_null(config_service(config, "r"));
	assert_true(config_zone_in_service(config, "r"));
	config_unref(config);
	config_log_destroy(log);
}

static const row_case_t row_cases[] = {
	{"key and value agree", "record/route/r@1", true},
	{"another kind", "record/service/r@1", false},
	{"another name", "record/route/q@1", false},
	{"another version", "record/route/r@2", false},
	{"a key without a schema version", "record/route/r", false},
};

typedef struct range_case {
	const char *name;
	const char *importances; /* a digit for each route */
	uint32_t lowest;
	uint32_t highest;
} range_case_t;

static void test_importance_range(void **state)
{
	const range_case_t *c = *state;
	config_log_t *log = config_log_create();

	for (const char *digit = c->importances; *digit; digit++) {
		char *key =
			g_strdup_printf("record/route/r%td@1", digit - c->importances);
		char *value = g_strdup_printf("{\"kind\":\"route\",\"name\":\"r%td\","
					      "\"schema_version\":1,\"prefix\":\"/\","
					      "\"service\":\"s\",\"importance\":%c}",
					      digit - c->importances, *digit);
		add(log, 1, key, value);
		g_free(key);
		g_free(value);
	}
	config_t *config = config_build(log);
	const importance_range_t *range = config_importance_range(config);
	assert_int_equal(range->lowest, c->lowest);
	assert_int_equal(range->highest, c->highest);
	config_unref(config);
	config_log_destroy(log);
}

static const range_case_t range_cases[] = {
	{"one route", "4", 4, 4},
	{"three routes", "729", 2, 9},
	{"no route", "", IMPORTANCE_LEVELS, 0},
};

/* A row does not replace one of the same or a higher revision. */
static void test_merge_keeps_newest(void **state)
{
	(void)state;
	static const char key[] = "record/service/s@1";
	config_log_t *log = config_log_create();
	GPtrArray *rows = g_ptr_array_new();

	assert_true(config_log_merge(log, key, 7, "{\"n\":7}"));
	assert_false(config_log_merge(log, key, 5, "{\"n\":5}"));
	assert_false(config_log_merge(log, key, 7, NULL));
	config_log_advance(log, 7);
	assert_int_equal(config_log_changes(log, 0, 1000, rows), 7);
	assert_int_equal(rows->len, 1);
	assert_string_equal(((config_row_t *)rows->pdata[0])->value, "{\"n\":7}");
	g_ptr_array_free(rows, TRUE);
	config_log_destroy(log);
}

/* --- a store that was restored from a copy ----------------------------------------- */

#define ZONE_KEY CONFIG_ZONE_PREFIX "za@1"
#define ZONE(status)                                                                     \
	"{\"kind\":\"availability_zone\",\"name\":\"za\",\"schema_version\":1,"          \
	"\"status\":\"" status "\"}"
#define SNAPSHOT(version) CONFIG_SNAPSHOT_KEY, "{\"version\":\"" version "\"}"
#define ACCOUNT "record/client_account/n@1"
#define RATE(rate)                                                                       \
	"{\"kind\":\"client_account\",\"name\":\"n\",\"schema_version\":1,"              \
	"\"rate\":" rate ",\"burst\":1}"
#define OUT ZONE_KEY, ZONE("out")
#define IN ZONE_KEY, ZONE("in")
#define ORDER_KEY CONFIG_ROLLOUT_PREFIX "n@1"
#define ORDER(to)                                                                        \
	ORDER_KEY, "{\"kind\":\"rollout\",\"name\":\"n\",\"schema_version\":1,"          \
		   "\"service\":\"n\",\"to_version\":\"" to "\",\"duration_ms\":12000}"
#define E(era, version) (((uint64_t)(era) << 48) + (version))
#define HELD_SEC 9	/* within RESTORED_ZONE_HOLD */
#define RELEASED_SEC 11 /* after it */

typedef struct restored_row {
	uint64_t batch; /* complete up to this revision */
	int64_t sec;	/* when it is merged */
	uint64_t revision;
	const char *key; /* NULL at the end */
	const char *value;
} restored_row_t;

typedef struct restored_case {
	const char *name;
	restored_row_t rows[8];
	double rate;   /* of the account at the end; 0 for none */
	bool zone_out; /* at the end */
	int64_t release_sec;
} restored_case_t;

typedef struct restored_order_case {
	const char *name;
	restored_row_t rows[8];
	int64_t release_sec;
	const char *to;	  /* of the order at the end; NULL for none */
	uint64_t version; /* of that order */
} restored_order_case_t;

static void take_record(void *ctx, const record_t *record)
{
	*(const record_t **)ctx = record;
}

/* Returns what is in force after the rows were merged. */
static config_t *restored_config(const restored_row_t *row, int64_t release_sec)
{
	config_log_t *log = config_log_create();

	for (; row->key; row++) {
		if (!config_log_begin(log, row->batch, row->sec * USEC_PER_SEC))
			continue;
		config_log_merge(log, row->key, row->revision, row->value);
		config_log_advance(log, row->batch);
	}
	config_log_release(log, release_sec * USEC_PER_SEC);
	config_t *config = config_build(log);
	config_log_destroy(log);
	return config;
}

static void test_restored(void **state)
{
	const restored_case_t *c = *state;
	config_t *config = restored_config(c->rows, c->release_sec);
	const client_account_t *account = config_client_account(config, "n");

	assert_true(c->rate > 0 ? account && account->rate == c->rate : !account);
	assert_int_equal(config_zone_in_service(config, "za"), !c->zone_out);
	config_unref(config);
}

static void test_restored_order(void **state)
{
	const restored_order_case_t *c = *state;
	config_t *config = restored_config(c->rows, c->release_sec);
	const record_t *order = NULL;

	config_foreach(config, RECORD_ROLLOUT, take_record, &order);
	assert_int_equal(order != NULL, c->to != NULL);
	if (order && c->to) {
		assert_string_equal(order->rollout.to_version, c->to);
		assert_int_equal(revision_version(order->revision), c->version);
	}
	config_unref(config);
}

/* A configuration with one account, as it is read at once. */
#define CONFIG(batch, sec, revision, version, rate)                                      \
	{batch, sec, revision, SNAPSHOT(version)},                                       \
	{                                                                                \
		batch, sec, revision, ACCOUNT, RATE(rate)                                \
	}

static const restored_case_t restored_cases[] = {
	{"a restored configuration of a lower version does not replace the newer one",
	 {CONFIG(50, 0, 50, "r12", "12"), CONFIG(E(1, 45), 1, E(1, 40), "r11", "11")},
	 12,
	 false,
	 0},
	{"versions are compared as numbers",
	 {CONFIG(50, 0, 50, "r10", "10"), CONFIG(E(1, 45), 1, E(1, 40), "r9", "9")},
	 10,
	 false,
	 0},
	{"a withdrawn account does not come back with it",
	 {CONFIG(40, 0, 40, "r11", "11"),
	  {50, 0, 50, SNAPSHOT("r12")},
	  CONFIG(E(1, 45), 1, E(1, 40), "r11", "11")},
	 0,
	 false,
	 0},
	{"nor from a peer that has started with the copy, later",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  CONFIG(E(1, 45), 1, E(1, 40), "r11", "11"),
	  CONFIG(E(1, 46), 60, E(1, 40), "r11", "11")},
	 0,
	 false,
	 0},
	{"the configuration that the operator writes again replaces it, at a lower "
	 "version "
	 "of the store",
	 {CONFIG(50, 0, 50, "r12", "12"), CONFIG(E(1, 41), 1, E(1, 40), "r11", "11"),
	  CONFIG(E(1, 42), 2, E(1, 42), "r12", "12"),
	  CONFIG(E(1, 43), 3, E(1, 43), "r13", "13")},
	 13,
	 false,
	 0},
	{"a copy that holds a newer configuration than the node",
	 {CONFIG(30, 0, 30, "r11", "11"), CONFIG(E(1, 45), 1, E(1, 40), "r12", "12")},
	 12,
	 false,
	 0},
	{"a copy that holds the same configuration, and a later change of it",
	 {CONFIG(40, 0, 40, "r12", "12"), CONFIG(E(1, 45), 1, E(1, 40), "r12", "12"),
	  CONFIG(E(1, 46), 2, E(1, 46), "r13", "13")},
	 13,
	 false,
	 0},
	{"in one era the store's version decides",
	 {CONFIG(40, 0, 40, "r12", "12"), CONFIG(50, 1, 50, "r11", "11")},
	 11,
	 false,
	 0},
	{"versions that are not numbers: the store decides",
	 {CONFIG(50, 0, 50, "beta", "12"), CONFIG(E(1, 45), 1, E(1, 40), "alpha", "11")},
	 11,
	 false,
	 0},
	{"rows of the former era that arrive late are not merged",
	 {CONFIG(40, 0, 40, "r12", "12"),
	  CONFIG(E(1, 45), 1, E(1, 40), "r12", "12"),
	  CONFIG(60, 2, 60, "r13", "13"),
	  {60, 2, 60, OUT}},
	 12,
	 false,
	 0},
	{"an evacuation that the copy lost is kept for the hold time",
	 {{50, 0, 50, SNAPSHOT("r12")}, {55, 0, 55, OUT}, {E(1, 45), 1, E(1, 45), IN}},
	 0,
	 true,
	 HELD_SEC},
	{"and while the table is read again",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, OUT},
	  {E(1, 45), 1, E(1, 45), IN},
	  {E(1, 47), 3, E(1, 47), IN}},
	 0,
	 true,
	 HELD_SEC},
	{"afterwards the store decides",
	 {{50, 0, 50, SNAPSHOT("r12")}, {55, 0, 55, OUT}, {E(1, 45), 1, E(1, 45), IN}},
	 0,
	 false,
	 RELEASED_SEC},
	{"an evacuation that is written again stays",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, OUT},
	  {E(1, 45), 1, E(1, 45), IN},
	  {E(1, 46), 4, E(1, 46), OUT}},
	 0,
	 true,
	 RELEASED_SEC},
	{"an evacuation that has ended does not begin again with the copy",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {52, 0, 52, OUT},
	  {55, 0, 55, IN},
	  {E(1, 54), 1, E(1, 52), OUT}},
	 0,
	 false,
	 HELD_SEC},
	{"a new evacuation of the new era is in force at once",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, IN},
	  {E(1, 45), 1, E(1, 45), IN},
	  {E(1, 46), 2, E(1, 46), OUT}},
	 0,
	 true,
	 HELD_SEC},
	{"also if it was written before the copy was read",
	 {{50, 0, 50, SNAPSHOT("r12")}, {51, 0, 51, IN}, {E(1, 56), 1, E(1, 56), OUT}},
	 0,
	 true,
	 HELD_SEC},
	{"a record without snapshots: the older one of the copy does not replace it",
	 {{50, 0, 50, ACCOUNT, RATE("5")}, {E(1, 45), 1, E(1, 40), ACCOUNT, RATE("4")}},
	 5,
	 false,
	 0},
	{"a retired record does not come back",
	 {{50, 0, 50, ACCOUNT, NULL}, {E(1, 45), 1, E(1, 40), ACCOUNT, RATE("4")}},
	 0,
	 false,
	 0},
	{"nor when the table is read again",
	 {{50, 0, 50, ACCOUNT, NULL},
	  {E(1, 45), 1, E(1, 40), ACCOUNT, RATE("4")},
	  {E(1, 60), 90, E(1, 40), ACCOUNT, RATE("4")}},
	 0,
	 false,
	 0},
	{"nor in a page of a peer that has reached a higher revision",
	 {{50, 0, 50, ACCOUNT, NULL},
	  {E(1, 45), 1, 0, "gossip", NULL},
	  {E(1, 30), 1, E(1, 40), ACCOUNT, RATE("4")}},
	 0,
	 false,
	 0},
	{"a record written anew replaces it, at a lower version of the store",
	 {{50, 0, 50, ACCOUNT, RATE("5")},
	  {E(1, 45), 1, E(1, 40), ACCOUNT, RATE("4")},
	  {E(1, 46), 2, E(1, 46), ACCOUNT, RATE("6")}},
	 6,
	 false,
	 0},
	{"a record that the copy has in a newer version than the node",
	 {{30, 0, 30, ACCOUNT, RATE("5")}, {E(1, 45), 1, E(1, 40), ACCOUNT, RATE("6")}},
	 6,
	 false,
	 0},
};

static const restored_order_case_t restored_order_cases[] = {
	{"a roll-out order that the copy lost is kept for the hold time",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, ORDER("v2")},
	  {E(1, 45), 1, E(1, 45), ORDER_KEY, NULL}},
	 HELD_SEC,
	 "v2",
	 55},
	{"also while the table is read again at higher versions",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, ORDER("v2")},
	  {E(1, 45), 1, E(1, 45), ORDER_KEY, NULL},
	  {E(1, 60), 3, E(1, 60), ORDER_KEY, NULL}},
	 HELD_SEC,
	 "v2",
	 55},
	{"afterwards it is withdrawn",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, ORDER("v2")},
	  {E(1, 45), 1, E(1, 45), ORDER_KEY, NULL}},
	 RELEASED_SEC,
	 NULL,
	 0},
	{"an order that is written again is in force at once",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {55, 0, 55, ORDER("v2")},
	  {E(1, 45), 1, E(1, 45), ORDER_KEY, NULL},
	  {E(1, 46), 2, E(1, 46), ORDER("v3")}},
	 HELD_SEC,
	 "v3",
	 46},
	{"an earlier order does not start again with the copy, even of the same text",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {52, 0, 52, ORDER("v2")},
	  {55, 0, 55, ORDER("v2")},
	  {E(1, 53), 1, E(1, 52), ORDER("v2")}},
	 HELD_SEC,
	 "v2",
	 55},
	{"nor does a withdrawn one",
	 {{50, 0, 50, SNAPSHOT("r12")},
	  {52, 0, 52, ORDER("v2")},
	  {55, 0, 55, ORDER_KEY, NULL},
	  {E(1, 53), 1, E(1, 52), ORDER("v2")}},
	 HELD_SEC,
	 NULL,
	 0},
};

int main(void)
{
	const struct CMUnitTest single[] = {cmocka_unit_test(test_merge_keeps_newest)};
	int failed = RUN_CASES("records", record_cases, test_record);

	failed += RUN_CASES("config_merge", merge_cases, test_merge);
	failed += RUN_CASES("routes", route_cases, test_route);
	failed += RUN_CASES("schema_versions", version_cases, test_versions);
	failed += RUN_CASES("rows", row_cases, test_row);
	failed += RUN_CASES("importance_range", range_cases, test_importance_range);
	failed += RUN_CASES("restored", restored_cases, test_restored);
	failed += RUN_CASES("restored-order", restored_order_cases, test_restored_order);
	failed += cmocka_run_group_tests(single, NULL, NULL);
	return failed;
}
