/* Decoders and encoders of the platform's formats. */
#include "case.h"

#include "common/error.h"
#include "config/config.h"
#include "platform/config.h"
#include "platform/dialect.h"
#include "platform/instance.h"
#include "platform/rows.h"
#include "platform/settings.h"
#include "platform/values.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* --- scalars ------------------------------------------------------------------ */

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

	assert_int_equal(value_duration(c->text, &usec), c->ok);
	if (c->ok)
		assert_int_equal(usec, c->usec);
}

static const duration_case_t duration_cases[] = {
	{"milliseconds", "1500ms", true, 1500 * USEC_PER_MSEC},
	{"seconds with a fraction", "2.5s", true, 2500 * USEC_PER_MSEC},
	{"zero", "0ms", true, 0},
	{"no unit", "1500", false, 0},
	{"another unit", "3m", false, 0},
	{"negative", "-1s", false, 0},
	{"no number", "ms", false, 0},
	{"empty", "", false, 0},
	{"absent", NULL, false, 0},
	{"more behind the unit", "1s2", false, 0},
	{"too long", "1e12s", false, 0},
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
	const char *fault; /* part of the message; NULL if valid */
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
			       .bounds = {.contact = 3, .retry_ratio = 0.25}};
	GError *error = NULL;
	bool ok = platform_settings_read(path, &settings, &error);

	g_unlink(path);
	g_free(path);
	if (c->fault) {
		assert_false(ok);
		assert_int_equal(error->code, EGRET_ERROR_SETTING);
		assert_non_null(strstr(error->message, c->fault));
		assert_null(settings.zone); /* nothing was changed */
		assert_false(settings.on_platform);
		g_error_free(error);
		return;
	}
	assert_true(ok);
	assert_true(settings.on_platform);
	assert_string_equal(settings.zone, "z-1");
	assert_string_equal(settings.zones[0], "z-1");
	assert_string_equal(settings.zones[1], "z-2");
	assert_string_equal(settings.platform, "http://10.9.0.1:8545");
	assert_string_equal(settings.seeds[0], "10.1.0.3:7000");
	assert_null(settings.seeds[1]);
	assert_int_equal(ntohs(settings.peer_listen.sin_port), 7000);
	assert_int_equal(ntohs(settings.report_listen.sin_port), 8540);
	assert_int_equal(settings.bounds.leave_within, 2500 * USEC_PER_MSEC);
	assert_int_equal(settings.bounds.retry_min, 98);
	assert_int_equal(settings.bounds.contact, 3); /* what is absent stays */
	assert_int_equal(settings.drain_timeout_sec, 7);
	settings_clear(&settings);
}

static const settings_case_t settings_cases[] = {
	{"settings", "{" SETTINGS_HEAD SETTINGS_REST SETTINGS_BOUNDS "}", NULL},
	{"settings: no JSON", "{", "line"},
	{"settings: a list", "[]", "JSON object"},
	{"settings: no zone", "{" SETTINGS_REST "}", "zone"},
	{"settings: a bad address",
	 "{" SETTINGS_HEAD "\"port_range\":[7000],\"listen\":{\"outbound\":\"x\"}}",
	 "outbound: \"x\" is not allowed"},
	{"settings: no port", "{" SETTINGS_HEAD "\"port_range\":[]}", "port_range"},
	{"settings: a bad bound",
	 "{" SETTINGS_HEAD SETTINGS_REST ",\"bounds\":{\"drain\":\"soon\"}}",
	 "drain: \"soon\" is not allowed: must be a time"},
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

static config_t *config_of(const row_list_t *rows, bool whole, config_log_t *log,
			   uint64_t revision)
{
	static const char *const zones[] = {"z-1", "z-2", NULL};
	row_list_t *records = row_list_create();
	GError *error = NULL;

	assert_true(
		platform_config_decode(rows, whole, zones, revision, records, &error));
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
	config_t *config = config_of(rows, true, log, 15);
	assert_int_equal(config_snapshot(config), 12);
	const record_t *route = config_route(config, "h.example", "GET", "/x/1");
	assert_non_null(route);
	assert_true(route->route.idempotent);
	assert_false(route->route.open);
	assert_int_equal(route->route.importance, 7);
	assert_int_equal(route->route.timeout_ms, 5000);
	assert_int_equal(route->route.objective_ms, 1200);
	assert_int_equal(route->route.retries, 1);
	assert_string_equal(route_service(&route->route, 0), "a");
	assert_string_equal(route_service(&route->route, UINT32_MAX), "b");
	route = config_route(config, "h.example", "GET", "/x/y/1");
	assert_string_equal(route->name, "r2");
	assert_true(route->route.open);
	assert_int_equal(route->route.importance, 9);
	assert_int_equal(route->route.retries, 0);
	assert_null(config_route(config, "other.example", "GET", "/x/1"));
	assert_null(config_route(config, NULL, "GET", "/x/1"));
	assert_int_equal(config_client_account(config, "t1")->importance, 8);
	assert_true(config_client_account(config, "t1")->rate == 254);
	assert_true(config_client_account(config, "t2")->rate == 0);
	assert_int_equal(config_client_account(config, "t2")->importance,
			 IMPORTANCE_NONE);
	assert_true(config_service(config, "a")->cold_rate == 45);
	assert_int_equal(config_service(config, "a")->cold_ms, 3000);
	assert_true(config_service(config, "b")->cold_rate == 0);
	assert_true(config_zone_in(config, "z-1"));
	assert_false(config_zone_in(config, "z-2"));
	config_unref(config);
	config_log_destroy(log);
	row_list_destroy(rows);
}

/* A later configuration takes the place of the whole one before. */
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
	config_unref(config_of(first, true, log, 15));
	row_list_add(second, "config", 20, later, NULL);
	config_t *config = config_of(second, false, log, 20);
	assert_null(config_route(config, "h.example", "GET", "/x/1"));
	assert_non_null(config_route(config, "h.example", "GET", "/x/y/1"));
	assert_null(config_client_account(config, "t1"));
	assert_false(config_zone_in(config, "z-2")); /* zone status lives on */
	config_unref(config);
	/* Rows of the earlier one come too late. */
	config_unref(config_of(first, false, log, 15));
	config = config_build(log);
	assert_null(config_client_account(config, "t1"));
	assert_int_equal(config_snapshot(config), 20);
	config_unref(config);
	row_list_destroy(second);
	/* The zone is taken back: its row is removed. */
	second = row_list_create();
	row_list_add(second, "evacuate/z-2", 25, NULL, NULL);
	config = config_of(second, false, log, 25);
	assert_true(config_zone_in(config, "z-2"));
	config_unref(config);
	config_log_destroy(log);
	row_list_destroy(first);
	row_list_destroy(second);
}

typedef struct bad_config_case {
	const char *name;
	const char *json;
} bad_config_case_t;

/* A configuration that cannot be read gives nothing at all. */
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
	{"config: no JSON", "{\"routes\""},
	{"config: a list", "[]"},
	{"config: no tables", "{\"routes\":[]}"},
	{"config: a route without a kind",
	 "{\"routes\":{\"columns\":[\"name\"],\"rows\":[[\"r\"]]}," SERVICES "}"},
	{"config: a route without a timeout",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",null,null,0,null,1,true,\"a\"]]}"
	 "," SERVICES "}"},
	{"config: a route to nowhere",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",\"1s\",null,0,null,1,true,null]]}"
	 "," SERVICES "}"},
	{"config: weights that are all 0",
	 "{\"routes\":{" ROUTE_COLUMNS
	 ",\"rows\":[[\"r\",\"h\",\"/\",\"idempotent\",\"1s\",null,0,"
	 "[{\"service\":\"a\",\"weight\":0}],1,true,null]]}," SERVICES "}"},
};

/* --- rows ----------------------------------------------------------------------- */

static void test_rows(void **state)
{
	(void)state;
	/* {"attempt":"a1","value":{"n":1}}; "no"; a value that is no base64 */
	static const char answer[] =
		"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\",\"ver\":5,"
		"\"value\":"
		"\"eyJhdHRlbXB0IjoiYTEiLCJ2YWx1ZSI6eyJuIjoxfX0=\"},"
		"{\"table\":\"t\",\"key\":\"b\",\"ver\":6,\"value\":\"bm8=\"},"
		"{\"table\":\"t\",\"key\":\"c\",\"ver\":7},"
		"{\"table\":\"u\",\"key\":\"d\",\"ver\":8,\"value\":\"e30=\"},"
		"{\"table\":\"t\",\"key\":\"e\",\"ver\":3,\"value\":\"e30=\"}],\"ver\":"
		"9}";
	json_t *json = json_loads(answer, 0, NULL);
	row_list_t *list = row_list_create();

	assert_true(row_list_decode(list, json, "t", 4, true, NULL));
	assert_int_equal(row_list_count(list), 1);
	assert_string_equal(row_list_rows(list)[0].key, "t/a");
	assert_string_equal(row_list_rows(list)[0].value, "{\"n\":1}");
	assert_string_equal(row_list_rows(list)[0].attempt, "a1");
	assert_string_equal(row_list_last(list), "e");
	assert_false(row_list_keep(list, "b"));
	json_decref(json);
	json = json_loads("{\"ver\":9}", 0, NULL);
	assert_false(row_list_decode(list, json, "t", 0, true, NULL));
	json_decref(json);
	row_list_destroy(list);
}

/* What is written reads back. */
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
	json_t *answer = json_pack("{s:[O]}", "rows", json_array_get(rows, 0));
	assert_true(row_list_decode(list, answer, "lease", 0, true, NULL));
	assert_string_equal(row_list_rows(list)[0].key, "lease/z/1");
	assert_string_equal(row_list_rows(list)[0].value, "{\"x\":[1,2]}");
	json_decref(answer);
	json_decref(json);
	row_list_destroy(list);
}

/* --- reports --------------------------------------------------------------------- */

#define REPORT(more)                                                                     \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4" more \
	"}"

typedef struct report_case {
	const char *name;
	const char *method;
	const char *path;
	const char *body;
	int fault; /* 0 if it can be read */
	bool leaves;
} report_case_t;

static void test_report(void **state)
{
	const report_case_t *c = *state;
	target_report_t report;
	GError *error = NULL;
	bool ok = platform_read_report(c->method, c->path, (const uint8_t *)c->body,
				       strlen(c->body), &report, &error);

	assert_int_equal(ok, c->fault == 0);
	if (ok) {
		assert_string_equal(report.id, "i-1");
		assert_int_equal(report.leaves, c->leaves);
		return;
	}
	assert_int_equal(error->code, c->fault);
	g_error_free(error);
}

static const report_case_t report_cases[] = {
	{"report", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"ready\",\"cold_remaining\":\"1.5s\",\"sequence\":4,"
		"\"born\":9"),
	 0, false},
	{"report: draining", "PUT", "/instances/i-1", REPORT(",\"state\":\"draining\""),
	 0, true},
	{"report: the end", "DELETE", "/instances/i-1", "", 0, true},
	{"report: another path", "PUT", "/other/i-1", REPORT(",\"state\":\"ready\""),
	 EGRET_ERROR_NOT_FOUND, false},
	{"report: no id", "PUT", "/instances/", REPORT(",\"state\":\"ready\""),
	 EGRET_ERROR_NOT_FOUND, false},
	{"report: another method", "POST", "/instances/i-1",
	 REPORT(",\"state\":\"ready\""), EGRET_ERROR_NOT_FOUND, false},
	{"report: no JSON", "PUT", "/instances/i-1", "\001", EGRET_ERROR_JSON, false},
	{"report: an unknown state", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"asleep\""), EGRET_ERROR_JSON, false},
	{"report: no state", "PUT", "/instances/i-1", REPORT(""), EGRET_ERROR_JSON,
	 false},
	{"report: a text as sequence", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"ready\",\"sequence\":\"4\""), EGRET_ERROR_JSON, false},
	{"report: a fraction as birth", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"ready\",\"born\":1.5"), EGRET_ERROR_JSON, false},
	{"report: a number as time", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"ready\",\"cold_remaining\":3"), EGRET_ERROR_JSON, false},
	{"report: no slots", "PUT", "/instances/i-1",
	 "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}",
	 EGRET_ERROR_JSON, false},
};

/* --- heads ------------------------------------------------------------------------ */

typedef struct head_case {
	const char *name;
	const char *id;
	const char *left;
	const char *authorization;
	bool ok;
	uint32_t timeout_ms;
	const char *key;
} head_case_t;

static const char *lookup_case(void *ctx, const char *name)
{
	const head_case_t *c = ctx;

	if (strcmp(name, "Request-Attempt-Id") == 0)
		return c->id;
	if (strcmp(name, "Deadline-Ms") == 0)
		return c->left;
	return strcmp(name, "Authorization") == 0 ? c->authorization : NULL;
}

static void test_head(void **state)
{
	const head_case_t *c = *state;
	request_head_t head;

	assert_int_equal(platform_dialect()->read_head(lookup_case, *state, &head),
			 c->ok);
	if (!c->ok)
		return;
	assert_int_equal(head.timeout_ms, c->timeout_ms);
	if (c->key)
		assert_string_equal(head.key, c->key);
	else
		assert_null(head.key);
	assert_null(head.idempotency_key);
}

/* Ids of nested calls grow with the depth: 29 levels of 17 characters. */
#define ID_17 "0123456789abcdef."
#define ID_DEEP                                                                          \
	ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17    \
		ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17  \
			ID_17 ID_17 ID_17 ID_17

static const head_case_t head_cases[] = {
	{"head", "9c41", "5000", "Bearer key", true, 5000, "key"},
	{"head: another case of the scheme", "9c41", "5000", "bearer key", true, 5000,
	 "key"},
	{"head: no key", "9c41", "5000", NULL, true, 5000, NULL},
	{"head: another scheme", "9c41", "5000", "Basic x", true, 5000, NULL},
	{"head: no deadline", "9c41", NULL, NULL, true, 0, NULL},
	{"head: a deadline that is over", "9c41", "0", NULL, true, 1, NULL},
	{"head: a deadline that is no number", "9c41", "5s", NULL, false, 0, NULL},
	{"head: a negative deadline", "9c41", "-5", NULL, false, 0, NULL},
	{"head: the id of a call 29 deep", ID_DEEP, "5000", NULL, true, 5000, NULL},
	{"head: an empty id", "", "5000", NULL, false, 0, NULL},
};

typedef struct refusal_case {
	const char *name;
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	const char *retry_after;
} refusal_case_t;

static void take_header(void *ctx, const char *name, const char *value)
{
	headers_add(ctx, name, value);
}

/* 429 and 503 state that the request has not run; 502 and 504 state nothing. */
static void test_refusal(void **state)
{
	const refusal_case_t *c = *state;
	refusal_t refusal = {c->outcome, c->reason, "9c41", 150 * USEC_PER_MSEC};
	GPtrArray *headers = headers_create();

	assert_int_equal(platform_dialect()->refusal_status(&refusal), c->status);
	platform_dialect()->add_refusal(&refusal, take_header, headers);
	assert_string_equal(headers_find(headers, "Request-Attempt-Id"), "9c41");
	if (c->retry_after)
		assert_string_equal(headers_find(headers, "Retry-After"), c->retry_after);
	else
		assert_null(headers_find(headers, "Retry-After"));
	g_ptr_array_unref(headers);
}

#define NOT_RUN EGRET__OUTCOME__OUTCOME_NOT_RUN
#define UNKNOWN EGRET__OUTCOME__OUTCOME_UNKNOWN

static const refusal_case_t refusal_cases[] = {
	{"refusal: shed", NOT_RUN, EGRET__REASON__REASON_SHED, 503, "0.150"},
	{"refusal: over the rate", NOT_RUN, EGRET__REASON__REASON_RATE, 429, "0.150"},
	{"refusal: the deadline before a run", NOT_RUN, EGRET__REASON__REASON_DEADLINE,
	 503, "0.150"},
	{"refusal: the deadline during a run", UNKNOWN, EGRET__REASON__REASON_DEADLINE,
	 504, NULL},
	{"refusal: the target was lost", UNKNOWN, EGRET__REASON__REASON_TARGET_LOST, 502,
	 NULL},
	{"refusal: the peer was lost", UNKNOWN, EGRET__REASON__REASON_PEER_LOST, 502,
	 NULL},
	{"refusal: no route", NOT_RUN, EGRET__REASON__REASON_NO_ROUTE, 404, NULL},
	{"refusal: unknown key", NOT_RUN, EGRET__REASON__REASON_KEY, 401, NULL},
};

typedef struct answer_case {
	const char *name;
	const char *header;
	const char *value;
	uint32_t status;
	answer_head_t expected;
} answer_case_t;

static void test_answer(void **state)
{
	const answer_case_t *c = *state;
	answer_head_t head = {0};

	assert_true(platform_dialect()->read_answer(c->header, c->value, c->status,
						    "9c41", &head));
	assert_int_equal(head.not_run, c->expected.not_run);
	assert_int_equal(head.foreign, c->expected.foreign);
	assert_int_equal(head.other_incarnation, c->expected.other_incarnation);
	assert_int_equal(head.idle_close_sec, c->expected.idle_close_sec);
}

static const answer_case_t answer_cases[] = {
	{"answer: of this request", "Request-Attempt-Id", "9c41", 200, {0}},
	{"answer: of another request",
	 "request-attempt-id",
	 "77",
	 200,
	 {.foreign = true}},
	{"answer: shed by the target", "Not-Executed", "1", 503, {.not_run = true}},
	{"answer: another incarnation",
	 "Instance-Id",
	 "i-2",
	 421,
	 {.other_incarnation = true}},
	{"answer: idle timeout",
	 "Keep-Alive",
	 "timeout=10, max=5",
	 200,
	 {.idle_close_sec = 10}},
	{"answer: an idle timeout without a number", "Keep-Alive", "timeout=", 200, {0}},
};

/* The system sets these, whatever a client sent. */
static void test_owned_headers(void **state)
{
	(void)state;
	const dialect_t *dialect = platform_dialect();
	origin_t origin = {.account = "t1", .caller_service = "svc", .host = "h"};
	attempt_head_t attempt = {.instance = "i-1", .left = 2500 * USEC_PER_MSEC};
	GPtrArray *headers = headers_create();

	dialect->add_origin(&origin, take_header, headers);
	dialect->add_attempt(&attempt, take_header, headers);
	assert_string_equal(headers_find(headers, "Tenant-Name"), "t1");
	assert_string_equal(headers_find(headers, "Caller-Service"), "svc");
	assert_string_equal(headers_find(headers, "Deadline-Ms"), "2500");
	assert_string_equal(headers_find(headers, "Expect-Instance"), "i-1");
	for (guint i = 0; i < headers->len; i++)
		assert_true(dialect->owns_request_header(
			((header_t *)headers->pdata[i])->name));
	assert_false(dialect->owns_request_header("Request-Attempt-Id"));
	g_ptr_array_unref(headers);
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_config_rows),
		cmocka_unit_test(test_config_replaces),
		cmocka_unit_test(test_rows),
		cmocka_unit_test(test_commit_round_trip),
		cmocka_unit_test(test_owned_headers),
	};

	return RUN_CASES("duration", duration_cases, test_duration) +
	       RUN_CASES("settings", settings_cases, test_settings) +
	       RUN_CASES("bad config", bad_config_cases, test_bad_config) +
	       RUN_CASES("report", report_cases, test_report) +
	       RUN_CASES("head", head_cases, test_head) +
	       RUN_CASES("refusal", refusal_cases, test_refusal) +
	       RUN_CASES("answer", answer_cases, test_answer) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
