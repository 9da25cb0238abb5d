/* Tests the platform's HTTP protocol: target reports, request and response headers. */
#include "case.h"

#include "common/error.h"
#include "platform/dialect.h"
#include "platform/instance.h"

#include <stdlib.h>
#include <string.h>

/* --- reports --------------------------------------------------------------------- */

#define REPORT(more)                                                                     \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4" more \
	"}"

typedef struct report_case {
	const char *name;
	const char *method;
	const char *path;
	const char *body;
	int error; /* expected code; 0 if the report is valid */
	bool leaving;
} report_case_t;

static void test_report(void **state)
{
	const report_case_t *c = *state;
	target_report_t report;
	GError *error = NULL;
	bool ok = platform_read_report(c->method, c->path, (const uint8_t *)c->body,
				       strlen(c->body), &report, &error);

	assert_int_equal(ok, c->error == 0);
	if (ok) {
		assert_string_equal(report.id, "i-1");
		assert_int_equal(report.leaving, c->leaving);
		if (strcmp(c->method, "PUT") == 0)
			assert_string_equal(report.version, "v");
		return;
	}
	assert_int_equal(error->code, c->error);
	g_error_free(error);
}

/* Fields of a report behind those of REPORT(). */
#define COLD ",\"cold_remaining\":\"1.5s\""
#define SEQUENCE ",\"sequence\":4"
#define BORN ",\"born\":9"
#define VERSION ",\"version\":\"v\""
#define READY ",\"state\":\"ready\""

static const report_case_t report_cases[] = {
	{"report", "PUT", "/instances/i-1", REPORT(READY COLD SEQUENCE BORN VERSION), 0,
	 false},
	{"report: draining", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"draining\"" COLD SEQUENCE BORN VERSION), 0, true},
	/* A report of another writer ended the cold start of a target, or its use. */
	{"report: no cold_remaining", "PUT", "/instances/i-1",
	 REPORT(READY SEQUENCE BORN VERSION), EGRET_ERROR_JSON, false},
	{"report: no sequence", "PUT", "/instances/i-1", REPORT(READY COLD BORN VERSION),
	 EGRET_ERROR_JSON, false},
	{"report: no born", "PUT", "/instances/i-1", REPORT(READY COLD SEQUENCE VERSION),
	 EGRET_ERROR_JSON, false},
	{"report: no zone", "PUT", "/instances/i-1",
	 "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":4" READY COLD SEQUENCE
		 BORN VERSION "}",
	 EGRET_ERROR_JSON, false},
	{"report: no version", "PUT", "/instances/i-1", REPORT(READY COLD SEQUENCE BORN),
	 EGRET_ERROR_JSON, false},
	{"report: draining, and nothing else", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"draining\""), EGRET_ERROR_JSON, false},
	{"report: end of the process", "DELETE", "/instances/i-1", "", 0, true},
	{"report: unknown path", "PUT", "/other/i-1", REPORT(",\"state\":\"ready\""),
	 EGRET_ERROR_NOT_FOUND, false},
	{"report: no id", "PUT", "/instances/", REPORT(",\"state\":\"ready\""),
	 EGRET_ERROR_NOT_FOUND, false},
	{"report: unsupported method", "POST", "/instances/i-1",
	 REPORT(",\"state\":\"ready\""), EGRET_ERROR_NOT_FOUND, false},
	{"report: malformed JSON", "PUT", "/instances/i-1", "\001", EGRET_ERROR_JSON,
	 false},
	{"report: an unknown state", "PUT", "/instances/i-1",
	 REPORT(",\"state\":\"asleep\"" COLD SEQUENCE BORN VERSION), EGRET_ERROR_JSON,
	 false},
	{"report: no state", "PUT", "/instances/i-1", REPORT(COLD SEQUENCE BORN VERSION),
	 EGRET_ERROR_JSON, false},
	{"report: a string as sequence", "PUT", "/instances/i-1",
	 REPORT(READY COLD BORN VERSION ",\"sequence\":\"4\""), EGRET_ERROR_JSON, false},
	{"report: a fraction as born", "PUT", "/instances/i-1",
	 REPORT(READY COLD SEQUENCE VERSION ",\"born\":1.5"), EGRET_ERROR_JSON, false},
	{"report: a number as cold_remaining", "PUT", "/instances/i-1",
	 REPORT(READY SEQUENCE BORN VERSION ",\"cold_remaining\":3"), EGRET_ERROR_JSON,
	 false},
	{"report: no slots", "PUT", "/instances/i-1",
	 "{\"service\":\"s\",\"address\":\"10.0.0.1:80\"" READY COLD SEQUENCE BORN VERSION
	 "}",
	 EGRET_ERROR_JSON, false},
};

/* --- request and response headers ------------------------------------------------- */

typedef struct request_case {
	const char *name;
	const char *id;
	const char *time_left;
	const char *authorization;
	bool ok;
	uint32_t timeout_ms;
	const char *key;
} request_case_t;

static const char *lookup_header(void *ctx, const char *name)
{
	const request_case_t *c = ctx;

	if (strcmp(name, "Request-Attempt-Id") == 0)
		return c->id;
	if (strcmp(name, "Deadline-Ms") == 0)
		return c->time_left;
	return strcmp(name, "Authorization") == 0 ? c->authorization : NULL;
}

static void test_request(void **state)
{
	const request_case_t *c = *state;
	request_headers_t headers;

	assert_int_equal(
		platform_dialect()->read_request(lookup_header, *state, &headers), c->ok);
	if (!c->ok)
		return;
	assert_int_equal(headers.timeout_ms, c->timeout_ms);
	if (c->key)
		assert_string_equal(headers.api_key, c->key);
	else
		assert_null(headers.api_key);
	assert_null(headers.idempotency_key);
}

/* Each nested call makes the request id longer; here, 29 levels of 17 characters. */
#define ID_17 "0123456789abcdef."
#define ID_DEEP                                                                          \
	ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17    \
		ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17 ID_17  \
			ID_17 ID_17 ID_17 ID_17

static const request_case_t request_cases[] = {
	{"request", "9c41", "5000", "Bearer key", true, 5000, "key"},
	{"request: scheme in lower case", "9c41", "5000", "bearer key", true, 5000,
	 "key"},
	{"request: no key", "9c41", "5000", NULL, true, 5000, NULL},
	{"request: another scheme", "9c41", "5000", "Basic x", true, 5000, NULL},
	{"request: no deadline", "9c41", NULL, NULL, true, 0, NULL},
	{"request: an expired deadline", "9c41", "0", NULL, true, 1, NULL},
	{"request: a deadline with a unit", "9c41", "5s", NULL, false, 0, NULL},
	{"request: a negative deadline", "9c41", "-5", NULL, false, 0, NULL},
	{"request: the id of a call nested 29 levels deep", ID_DEEP, "5000", NULL, true,
	 5000, NULL},
	{"request: an empty id", "", "5000", NULL, false, 0, NULL},
};

typedef struct refusal_case {
	const char *name;
	Egret__Outcome outcome;
	Egret__Reason reason;
	uint32_t status;
	const char *retry_after;
} refusal_case_t;

static void add_header(void *ctx, const char *name, const char *value)
{
	headers_add(ctx, name, value);
}

/* 429 and 503 mean that the request was not run; after 502 and 504 that is unknown. */
static void test_refusal(void **state)
{
	const refusal_case_t *c = *state;
	refusal_t refusal = {c->outcome, c->reason, "9c41", 150 * USEC_PER_MSEC};
	GPtrArray *headers = headers_create();

	assert_int_equal(platform_dialect()->refusal_status(&refusal), c->status);
	platform_dialect()->add_refusal_headers(&refusal, add_header, headers);
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
	{"refusal: deadline expired before the run", NOT_RUN,
	 EGRET__REASON__REASON_DEADLINE, 503, "0.150"},
	{"refusal: deadline expired during the run", UNKNOWN,
	 EGRET__REASON__REASON_DEADLINE, 504, NULL},
	{"refusal: connection to the target lost", UNKNOWN,
	 EGRET__REASON__REASON_TARGET_LOST, 502, NULL},
	{"refusal: connection to the peer lost", UNKNOWN, EGRET__REASON__REASON_PEER_LOST,
	 502, NULL},
	{"refusal: no route", NOT_RUN, EGRET__REASON__REASON_NO_ROUTE, 404, NULL},
	{"refusal: unknown key", NOT_RUN, EGRET__REASON__REASON_KEY, 401, NULL},
};

typedef struct response_case {
	const char *name;
	const dialect_t *(*dialect)(void);
	const char *request_id; /* NULL if the request has none */
	uint32_t status;
	const char *headers; /* lines "NAME:VALUE" */
	response_headers_t expected;
} response_case_t;

static void add_header_lines(GPtrArray *headers, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char *value = strchr(*line, ':');
		if (!value)
			continue;
		*value = '\0';
		headers_add(headers, *line, value + 1);
	}
	g_strfreev(lines);
}

static void test_response(void **state)
{
	const response_case_t *c = *state;
	sent_request_t request = {.headers = headers_create(), .token = "t1"};
	GPtrArray *headers = headers_create();
	response_headers_t found;

	if (c->request_id)
		headers_add((GPtrArray *)request.headers, "Request-Attempt-Id",
			    c->request_id);
	add_header_lines(headers, c->headers);
	c->dialect()->read_response(&request, c->status, headers, &found);
	assert_int_equal(found.not_run, c->expected.not_run);
	assert_int_equal(found.other_request, c->expected.other_request);
	assert_int_equal(found.other_process, c->expected.other_process);
	assert_int_equal(found.idle_timeout_sec, c->expected.idle_timeout_sec);
	g_ptr_array_unref(headers);
	g_ptr_array_unref((GPtrArray *)request.headers);
}

#define ID "Request-Attempt-Id:9c41\n"
#define OTHER_ID "request-attempt-id:77\n"
#define OTHER                                                                            \
	{                                                                                \
		.other_request = true                                                    \
	}

static const response_case_t response_cases[] = {
	{"response: to this request", platform_dialect, "9c41", 200, ID, {0}},
	{"response: to another request", platform_dialect, "9c41", 200, OTHER_ID, OTHER},
	{"response: without an id", platform_dialect, "9c41", 200, "", OTHER},
	{"response: with two ids", platform_dialect, "9c41", 200, ID OTHER_ID, OTHER},
	{"response: an error without an id", platform_dialect, "9c41", 500, "", OTHER},
	{"response: to a request without an id",
	 platform_dialect,
	 NULL,
	 400,
	 "Not-Executed:1\n",
	 {.not_run = true}},
	{"response: an id to a request without one", platform_dialect, NULL, 200, ID,
	 OTHER},
	{"response: shed by the target",
	 platform_dialect,
	 "9c41",
	 503,
	 ID "Not-Executed:1\n",
	 {.not_run = true}},
	{"response: a refusal without an id", platform_dialect, "9c41", 503,
	 "Not-Executed:1\n", OTHER},
	{"response: a refusal of another request", platform_dialect, "9c41", 503,
	 "Not-Executed:1\n" OTHER_ID, OTHER},
	{"response: another process of the target",
	 platform_dialect,
	 "9c41",
	 421,
	 ID "Instance-Id:i-2\n",
	 {.other_process = true}},
	{"response: another process of the target, without an id", platform_dialect,
	 "9c41", 421, "Instance-Id:i-2\n", OTHER},
	{"response: idle timeout",
	 platform_dialect,
	 "9c41",
	 200,
	 ID "Keep-Alive:timeout=10, max=5\n",
	 {.idle_timeout_sec = 10}},
	{"response: an idle timeout without a number",
	 platform_dialect,
	 "9c41",
	 200,
	 ID "Keep-Alive:timeout=\n",
	 {0}},
	{"response: own dialect", dialect_egret, NULL, 200, "", {0}},
	{"response: own dialect, a refusal",
	 dialect_egret,
	 NULL,
	 503,
	 "egret-outcome:not-run\n",
	 {.not_run = true}},
	{"response: own dialect, a refusal with the token",
	 dialect_egret,
	 NULL,
	 503,
	 "Egret-Outcome:not-run\nEgret-Context:t1\n",
	 {.not_run = true}},
	{"response: own dialect, a refusal with another token", dialect_egret, NULL, 503,
	 "Egret-Outcome:not-run\nEgret-Context:t2\n", OTHER},
	{"response: own dialect, a success with another token", dialect_egret, NULL, 200,
	 "Egret-Context:t2\n", OTHER},
};

/* Headers that a node sets itself are stripped from a client's request. */
static void test_stripped_headers(void **state)
{
	(void)state;
	const dialect_t *dialect = platform_dialect();
	origin_t origin = {.account = "t1", .caller_service = "svc", .host = "h"};
	attempt_headers_t attempt = {.target_id = "i-1",
				     .time_left = 2500 * USEC_PER_MSEC};
	GPtrArray *headers = headers_create();

	dialect->add_origin_headers(&origin, add_header, headers);
	dialect->add_attempt_headers(&attempt, add_header, headers);
	assert_string_equal(headers_find(headers, "Tenant-Name"), "t1");
	assert_string_equal(headers_find(headers, "Caller-Service"), "svc");
	assert_string_equal(headers_find(headers, "Deadline-Ms"), "2500");
	assert_string_equal(headers_find(headers, "Expect-Instance"), "i-1");
	for (guint i = 0; i < headers->len; i++)
		assert_true(dialect->strips_request_header(
			((header_t *)headers->pdata[i])->name));
	assert_false(dialect->strips_request_header("Request-Attempt-Id"));
	g_ptr_array_unref(headers);
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_stripped_headers),
	};

	return RUN_CASES("report", report_cases, test_report) +
	       RUN_CASES("request", request_cases, test_request) +
	       RUN_CASES("refusal", refusal_cases, test_refusal) +
	       RUN_CASES("response", response_cases, test_response) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
