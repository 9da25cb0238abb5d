/* Tests the decoders and encoders of the platform's formats. */
#include "case.h"

#include "common/error.h"
#include "config/config.h"
#include "platform/config.h"
#include "platform/rows.h"
#include "platform/settings.h"
#include "platform/values.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* --- durations ---------------------------------------------------------------- */

typedef struct duration_case {
	const char *name;
	const char *text;
	bool ok;
	usec_t usec;
} duration_case_t;

static void test_duration(void **state)
{
	const duration_case_t *c = *state;
	usec_t usec = -1;

	assert_int_equal(duration_parse(c->text, &usec), c->ok);
	if (c->ok)
		assert_int_equal(usec, c->usec);
}

static const duration_case_t duration_cases[] = {
	{"milliseconds", "1500ms", true, 1500 * USEC_PER_MSEC},
	{"seconds with a fraction", "2.5s", true, 2500 * USEC_PER_MSEC},
	{"zero", "0ms", true, 0},
	{"no unit", "1500", false, 0},
	{"unsupported unit", "3m", false, 0},
	{"negative", "-1s", false, 0},
	{"no digits", "ms", false, 0},
	{"empty", "", false, 0},
	{"absent", NULL, false, 0},
	{"text after the unit", "1s2", false, 0},
	{"above the maximum", "1e12s", false, 0},
};

/* --- settings ----------------------------------------------------------------- */

#define SETTINGS_HEAD                                                                    \
	"\"zone\":\"z-1\",\"service\":\"svc\",\"ip\":\"10.1.0.2\","                      \
	"\"zones\":{\"z-2\":\"r\",\"z-1\":\"r\"},\"future\":{\"x\":1},"                  \
	"\"provider\":{\"address\":\"10.9.0.1:8545\"},"
#define SETTINGS_REST                                                                    \
	"\"port_range\":[7000,7015],\"app_addr\":\"10.1.0.2:8547\",\"seeds\":"           \
	"[\"10.1.0.3:8540\",7],"                                                         \
	"\"listen\":{\"outbound\":\"10.1.0.2:8548\",\"readiness\":\"10.1.0.2:8546\","    \
	"\"control\":\"10.1.0.2:8540\"}"
#define SETTINGS_BOUNDS ",\"bounds\":{\"drain\":\"2500ms\",\"budget_min_retries\":98}"

typedef struct settings_case {
	const char *name;
	const char *text;
	const char *message; /* part of the expected error; NULL if valid */
} settings_case_t;

static char *write_file(const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("egret-settings-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	return path;
}

static void test_settings(void **state)
{
	const settings_case_t *c = *state;
	char *path = write_file(c->text);
	settings_t settings = {.drain_timeout_sec = 7,
			       .bounds = {.contact_time = 3, .retry_ratio = 0.25}};
	GError *error = NULL;
	bool ok = platform_settings_read(path, &settings, &error);

	g_unlink(path);
	g_free(path);
	if (c->message) {
		assert_false(ok);
		assert_int_equal(error->code, EGRET_ERROR_SETTING);
		assert_non_null(strstr(error->message, c->message));
		assert_null(settings.zone); /* settings are unchanged */
		assert_false(settings.on_platform);
		g_error_free(error);
		return;
	}
	assert_true(ok);
	assert_true(settings.on_platform);
	assert_string_equal(settings.zone, "z-1");
	assert_string_equal(settings.zones[0], "z-1");
	assert_string_equal(settings.zones[1], "z-2");
	assert_string_equal(settings.platform_url, "http://10.9.0.1:8545");
	assert_string_equal(settings.seeds[0], "10.1.0.3:7000");
	assert_null(settings.seeds[1]);
	assert_int_equal(ntohs(settings.peer_listen.sin_port), 7000);
	assert_int_equal(ntohs(settings.report_listen.sin_port), 8540);
	assert_int_equal(settings.bounds.leave_time, 2500 * USEC_PER_MSEC);
	assert_int_equal(settings.bounds.retry_min, 98);
	assert_int_equal(settings.bounds.contact_time, 3); /* absent, so unchanged */
	assert_int_equal(settings.drain_timeout_sec, 7);
	settings_clear(&settings);
}

static const settings_case_t settings_cases[] = {
	{"settings", "{" SETTINGS_HEAD SETTINGS_REST SETTINGS_BOUNDS "}", NULL},
	{"settings: malformed JSON", "{", "line"},
	{"settings: an array", "[]", "JSON object"},
	{"settings: no zone", "{" SETTINGS_REST "}", "zone"},
	{"settings: a bad address",
	 "{" SETTINGS_HEAD "\"port_range\":[7000],\"listen\":{\"outbound\":\"x\"}}",
	 "outbound: \"x\" is not allowed"},
	{"settings: no port", "{" SETTINGS_HEAD "\"port_range\":[]}", "port_range"},
	{"settings: a bad bound",
	 "{" SETTINGS_HEAD SETTINGS_REST ",\"bounds\":{\"drain\":\"soon\"}}",
	 "drain: \"soon\" is not allowed: must be a time"},
	{"settings: a share above 1",
	 "{" SETTINGS_HEAD SETTINGS_REST ",\"bounds\":{\"canary_share\":1.5}}",
	 "canary_share: 1.5 is not allowed: must be a number from 0 to 1"},
	{"settings: a bad time of a rollback",
	 "{" SETTINGS_HEAD SETTINGS_REST ",\"bounds\":{\"rollback\":\"soon\"}}",
	 "rollback: \"soon\" is not allowed"},
	{"settings: a bound of another type",
	 "{" SETTINGS_HEAD SETTINGS_REST ",\"bounds\":{\"cold_slack\":\"5\"}}",
	 "cold_slack"},
};

/* --- the operator's configuration ---------------------------------------------- */

#define ROUTE_COLUMNS                                                                    \
	"\"columns\":[\"name\",\"authority\",\"prefix\",\"kind\",\"timeout\","           \
	"\"target_latency\",\"priority\",\"backends\",\"attempts\",\"public\","          \
	"\"service\"]"
#define SERVICES                                                                         \
	"\"services\":{\"columns\":[\"name\",\"cold_start\",\"cold_per_s\"],\"rows\":"   \
	"[[\"a\",\"3s\",45.0],[\"b\",null,null]]}"
#define ACCOUNTS                                                                         \
	"\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","   \
	"\"burst\"],\"rows\":[[\"t1\",[\"k1\",\"k2\"],1,254,254],"                       \
	"[\"t2\",[\"k3\"],null,0,null]]}"
#define CONFIG                                                                           \
	"{\"version\":\"r7\",\"routes\":{" ROUTE_COLUMNS                                 \
	",\"rows\":[[\"r1\",\"h.example\",\"/x/\",\"idempotent\",\"5000ms\",\"1200ms\"," \
	"2,[{\"service\":\"a\",\"weight\":90},{\"service\":\"b\",\"weight\":10}],2,"     \
	"false,"                                                                         \
	"null],"                                                                         \
	"[\"r2\",\"h.example\",\"/x/y/"                                                  \
	"\",\"non_idempotent\",\"600ms\",\"150ms\",0,null,1,"                            \
	"true,\"b\"]]}," SERVICES "," ACCOUNTS "}"

static config_t *decode_and_build(const row_list_t *rows, bool complete,
				  config_log_t *log, uint64_t revision)
{
	static const char *const zones[] = {"z-1", "z-2", NULL};
	row_list_t *records = row_list_create();
	GError *error = NULL;

	assert_true(
		platform_config_decode(rows, complete, zones, revision, records, &error));
	assert_null(error);
	for (size_t i = 0; i < row_list_count(records); i++) {
		const store_row_t *row = &row_list_rows(records)[i];
		config_log_merge(log, row->key, row->revision, row->value);
	}
	config_log_advance(log, revision);
	row_list_destroy(records);
	return config_build(log);
}

static void test_config_rows(void **state)
{
	(void)state;
	row_list_t *rows = row_list_create();
	config_log_t *log = config_log_create();

	row_list_add(rows, "config", 12, CONFIG, NULL);
	row_list_add(rows, "evacuate/z-2", 9, "{}", NULL);
	config_t *config = decode_and_build(rows, true, log, 15);
	assert_int_equal(config_snapshot_revision(config), 12);
	const record_t *route = config_match_route(config, "h.example", "GET", "/x/1");
	assert_non_null(route);
	assert_true(route->route.idempotent);
	assert_false(route->route.allow_anonymous);
	assert_int_equal(route->route.importance, 7);
	assert_int_equal(route->route.timeout_ms, 5000);
	assert_int_equal(route->route.objective_ms, 1200);
	assert_int_equal(route->route.retries, 1);
	assert_string_equal(route_select_service(&route->route, 0), "a");
	assert_string_equal(route_select_service(&route->route, UINT32_MAX), "b");
	route = config_match_route(config, "h.example", "GET", "/x/y/1");
	assert_string_equal(route->name, "r2");
	assert_true(route->route.allow_anonymous);
	assert_int_equal(route->route.importance, 9);
	assert_int_equal(route->route.retries, 0);
	assert_null(config_match_route(config, "other.example", "GET", "/x/1"));
	assert_null(config_match_route(config, NULL, "GET", "/x/1"));
	assert_int_equal(config_client_account(config, "t1")->importance, 8);
	assert_true(config_client_account(config, "t1")->rate == 254);
	assert_true(config_client_account(config, "t2")->rate == 0);
	assert_int_equal(config_client_account(config, "t2")->importance,
			 IMPORTANCE_NONE);
	assert_true(config_service(config, "a")->cold_rate == 45);
	assert_int_equal(config_service(config, "a")->cold_ms, 3000);
	assert_true(config_service(config, "b")->cold_rate == 0);
	assert_true(config_zone_in_service(config, "z-1"));
	assert_false(config_zone_in_service(config, "z-2"));
	config_unref(config);
	config_log_destroy(log);
	row_list_destroy(rows);
}

/* A later configuration replaces all records of the earlier one, except zone status. */
static void test_config_replaces(void **state)
{
	(void)state;
	static const char later[] =
		"{\"routes\":{" ROUTE_COLUMNS
		",\"rows\":[[\"r2\",\"h.example\",\"/x/y/\","
		"\"idempotent\",\"1s\",\"1s\",0,null,1,true,\"b\"]]}," SERVICES "}";
	row_list_t *first = row_list_create();
	row_list_t *second = row_list_create();
	config_log_t *log = config_log_create();

	row_list_add(first, "config", 12, CONFIG, NULL);
	row_list_add(first, "evacuate/z-2", 9, "{}", NULL);
	config_unref(decode_and_build(first, true, log, 15));
	row_list_add(second, "config", 20, later, NULL);
	config_t *config = decode_and_build(second, false, log, 20);
	assert_null(config_match_route(config, "h.example", "GET", "/x/1"));
	assert_non_null(config_match_route(config, "h.example", "GET", "/x/y/1"));
	assert_null(config_client_account(config, "t1"));
	assert_false(config_zone_in_service(config, "z-2")); /* zone status is kept */
	config_unref(config);
	/* Rows of the earlier configuration that arrive late are ignored. */
	config_unref(decode_and_build(first, false, log, 15));
	config = config_build(log);
	assert_null(config_client_account(config, "t1"));
	assert_int_equal(config_snapshot_revision(config), 20);
	config_unref(config);
	row_list_destroy(second);
	/* Removing the row returns the zone to service. */
	second = row_list_create();
	row_list_add(second, "evacuate/z-2", 25, NULL, NULL);
	config = decode_and_build(second, false, log, 25);
	assert_true(config_zone_in_service(config, "z-2"));
	config_unref(config);
	config_log_destroy(log);
	row_list_destroy(first);
	row_list_destroy(second);
}

static void find_rollout(void *ctx, const record_t *record)
{
	const record_t **found = ctx;

	*found = record;
}

/* An order survives a change of the configuration, is replaced with another identity, and
 * ends with its row, also if the history of the table is lost. */
static void test_rollout_rows(void **state)
{
	(void)state;
	row_list_t *rows = row_list_create();
	row_list_t *later = row_list_create();
	config_log_t *log = config_log_create();
	const record_t *found = NULL;

	row_list_add(rows, "config", 12, CONFIG, NULL);
	row_list_add(rows, "rollout/a", 13,
		     "{\"service\":\"a\",\"to\":\"v2\",\"duration\":\"12s\"}", NULL);
	config_t *config = decode_and_build(rows, true, log, 15);
	config_foreach(config, RECORD_ROLLOUT, find_rollout, &found);
	assert_non_null(found);
	assert_string_equal(found->name, "a");
	assert_string_equal(found->rollout.to_version, "v2");
	assert_int_equal(found->rollout.duration_ms, 12000);
	assert_int_equal(found->revision, 13);
	config_unref(config);
	row_list_add(later, "config", 20, CONFIG, NULL);
	config = decode_and_build(later, false, log, 20);
	found = NULL;
	config_foreach(config, RECORD_ROLLOUT, find_rollout, &found);
	assert_non_null(found);
	config_unref(config);
	config = decode_and_build(later, true, log, 25);
	found = NULL;
	config_foreach(config, RECORD_ROLLOUT, find_rollout, &found);
	assert_null(found);
	config_unref(config);
	row_list_destroy(later);
	later = row_list_create();
	row_list_add(later, "rollout/a", 30,
		     "{\"service\":\"a\",\"to\":\"v2\",\"duration\":\"12s\"}", NULL);
	config = decode_and_build(later, false, log, 30);
	config_foreach(config, RECORD_ROLLOUT, find_rollout, &found);
	assert_non_null(found);
	assert_int_equal(found->revision, 30);
	config_unref(config);
	config_log_destroy(log);
	row_list_destroy(rows);
	row_list_destroy(later);
}

/* Others read the fields of a status row: they are not wrapped. */
static void test_status_row(void **state)
{
	(void)state;
	store_write_t write = {.key = "status/rollout/a",
			       .value = "{\"state\":\"completed\",\"to\":\"v2\"}"};
	char *text = rows_encode_commit("a1", &write, 1);
	json_t *commit = json_loads(text, 0, NULL);
	const char *base64 = json_string_value(json_object_get(
		json_array_get(json_object_get(commit, "writes"), 0), "value"));
	gsize len;
	guchar *bytes = g_base64_decode(base64, &len);
	json_t *value = json_loadb((const char *)bytes, len, 0, NULL);
	row_list_t *list = row_list_create();
	json_t *response =
		json_pack("{s:[{s:s, s:s, s:i, s:s}]}", "rows", "table", "status", "key",
			  "rollout/a", "ver", 5, "value", base64);

	assert_string_equal(json_string_value(json_object_get(value, "state")),
			    "completed");
	assert_string_equal(json_string_value(json_object_get(value, "to")), "v2");
	assert_true(row_list_decode(list, response, "status", 0, true, NULL));
	assert_string_equal(row_list_rows(list)[0].attempt, "a1");
	assert_non_null(strstr(row_list_rows(list)[0].value, "\"completed\""));
	row_list_destroy(list);
	json_decref(response);
	json_decref(value);
	g_free(bytes);
	json_decref(commit);
	free(text);
}

typedef struct bad_config_case {
	const char *name;
	const char *json;
} bad_config_case_t;

/* A malformed configuration yields no records. */
static void test_bad_config(void **state)
{
	const bad_config_case_t *c = *state;
	static const char *const zones[] = {NULL};
	row_list_t *rows = row_list_create();
	row_list_t *records = row_list_create();
	GError *error = NULL;

	row_list_add(rows, "config", 12, c->json, NULL);
	assert_false(platform_config_decode(rows, true, zones, 12, records, &error));
	assert_int_equal(error->code, EGRET_ERROR_JSON);
	assert_int_equal(row_list_count(records), 0);
	g_error_free(error);
	row_list_destroy(rows);
	row_list_destroy(records);
}

static const bad_config_case_t bad_config_cases[] = {
	{"config: malformed JSON", "{\"routes\""},
	{"config: an array", "[]"},
	{"config: no tables", "{\"routes\":[]}"},
	{"config: a route without a kind",
	 "{\"routes\":{\"columns\":[\"name\"],\"rows\":[[\"r\"]]}," SERVICES "}"},
	{"config: a route without a timeout",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",null,null,0,null,1,true,\"a\"]]}"
	 "," SERVICES "}"},
	{"config: a route without a service",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",\"1s\",null,0,null,1,true,null]]}"
	 "," SERVICES "}"},
	{"config: all weights are 0",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",\"1s\",null,0,"
	 "[{\"service\":\"a\",\"weight\":0}],1,true,null]]}," SERVICES "}"},
};

/* --- rows ----------------------------------------------------------------------- */

static void test_rows(void **state)
{
	(void)state;
	/*
	 * Base64 of {"attempt":"a1","value":{"n":1}} in row a and of "no", which is not
	 * JSON, in row b. Row c has no value, d is of another table, e is too old.
	 */
	static const char response[] =
		"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\",\"ver\":5,"
		"\"value\":"
		"\"eyJhdHRlbXB0IjoiYTEiLCJ2YWx1ZSI6eyJuIjoxfX0=\"},"
		"{\"table\":\"t\",\"key\":\"b\",\"ver\":6,\"value\":\"bm8=\"},"
		"{\"table\":\"t\",\"key\":\"c\",\"ver\":7},"
		"{\"table\":\"u\",\"key\":\"d\",\"ver\":8,\"value\":\"e30=\"},"
		"{\"table\":\"t\",\"key\":\"e\",\"ver\":3,\"value\":\"e30=\"}],\"ver\":"
		"9}";
	json_t *json = json_loads(response, 0, NULL);
	row_list_t *list = row_list_create();

	assert_true(row_list_decode(list, json, "t", 4, true, NULL));
	assert_int_equal(row_list_count(list), 1);
	assert_string_equal(row_list_rows(list)[0].key, "t/a");
	assert_string_equal(row_list_rows(list)[0].value, "{\"n\":1}");
	assert_string_equal(row_list_rows(list)[0].attempt, "a1");
	assert_string_equal(row_list_last_key(list), "e");
	assert_false(row_list_keep_only(list, "b"));
	json_decref(json);
	json = json_loads("{\"ver\":9}", 0, NULL);
	assert_false(row_list_decode(list, json, "t", 0, true, NULL));
	json_decref(json);
	row_list_destroy(list);
}

/* The rows of an encoded commit decode to the same keys and values. */
static void test_commit_round_trip(void **state)
{
	(void)state;
	store_write_t writes[] = {
		{.key = "lease/z/1", .expected_revision = 4, .value = "{\"x\":[1,2]}"},
		{.key = "node/10.0.0.1:7000", .expected_revision = 0, .value = NULL},
	};
	char *text = rows_encode_commit("id", writes, 2);
	json_t *json = json_loads(text, 0, NULL);
	const json_t *expected = json_object_get(json, "expected_rev");
	json_t *rows = json_object_get(json, "writes");
	row_list_t *list = row_list_create();

	free(text);
	assert_int_equal(json_array_size(expected), 2);
	assert_int_equal(
		json_integer_value(json_object_get(json_array_get(expected, 0), "ver")),
		4);
	json_object_set_new(json_array_get(rows, 0), "ver", json_integer(8));
	json_t *response = json_pack("{s:[O]}", "rows", json_array_get(rows, 0));
	assert_true(row_list_decode(list, response, "lease", 0, true, NULL));
	assert_string_equal(row_list_rows(list)[0].key, "lease/z/1");
	assert_string_equal(row_list_rows(list)[0].value, "{\"x\":[1,2]}");
	json_decref(response);
	json_decref(json);
	row_list_destroy(list);
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_config_rows),
		cmocka_unit_test(test_config_replaces),
		cmocka_unit_test(test_rollout_rows),
		cmocka_unit_test(test_status_row),
		cmocka_unit_test(test_rows),
		cmocka_unit_test(test_commit_round_trip),
	};

	return RUN_CASES("duration", duration_cases, test_duration) +
	       RUN_CASES("settings", settings_cases, test_settings) +
	       RUN_CASES("bad config", bad_config_cases, test_bad_config) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
