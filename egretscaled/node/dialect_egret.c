#include "egretscaled/node/dialect.h"

#include "common/error.h"
#include "config/record.h"

#include <jansson.h>
#include <microhttpd.h>
#include <string.h>

#define BEARER "Bearer "
#define HEADER_TOKEN "Egret-Context"
#define TIMEOUT_MAX_MS 600000
#define STATUS_DEFAULT 502
#define SLOTS_MAX 100000

typedef struct reason_entry {
	const char *name;
	uint32_t status;
} reason_entry_t;

static const reason_entry_t reasons[] = {
	[EGRET__REASON__REASON_NONE] = {"none", 502},
	[EGRET__REASON__REASON_BAD_REQUEST] = {"bad-request", 400},
	[EGRET__REASON__REASON_KEY] = {"key", 401},
	[EGRET__REASON__REASON_NO_ROUTE] = {"no-route", 404},
	[EGRET__REASON__REASON_RATE] = {"rate", 429},
	[EGRET__REASON__REASON_SHED] = {"shed", 503},
	[EGRET__REASON__REASON_NO_INSTANCE] = {"no-instance", 503},
	[EGRET__REASON__REASON_DEADLINE] = {"deadline", 504},
	[EGRET__REASON__REASON_TARGET_REFUSED] = {"target-refused", 503},
	[EGRET__REASON__REASON_TARGET_UNREACHABLE] = {"target-unreachable", 503},
	[EGRET__REASON__REASON_TARGET_LOST] = {"target-lost", 502},
	[EGRET__REASON__REASON_PEER_LOST] = {"peer-lost", 503},
	[EGRET__REASON__REASON_CANCELLED] = {"cancelled", 503},
	[EGRET__REASON__REASON_DRAINING] = {"draining", 503},
	[EGRET__REASON__REASON_SUSPECT] = {"suspect", 503},
	[EGRET__REASON__REASON_CLAIM_RUNNING] = {"claim-running", 409},
	[EGRET__REASON__REASON_CLAIM_UNKNOWN] = {"claim-unknown", 409},
	[EGRET__REASON__REASON_CLAIM_STORE] = {"claim-store", 503},
	[EGRET__REASON__REASON_TOO_LARGE] = {"too-large", 431},
	[EGRET__REASON__REASON_NOT_READY] = {"not-ready", 503},
	[EGRET__REASON__REASON_CLAIM_MISMATCH] = {"claim-mismatch", 409},
};

const char *reason_name(Egret__Reason reason)
{
	return reason < G_N_ELEMENTS(reasons) ? reasons[reason].name : "none";
}

uint32_t reason_status(Egret__Outcome outcome, Egret__Reason reason)
{
	if (reason >= G_N_ELEMENTS(reasons))
		return STATUS_DEFAULT;
	if (outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN && reasons[reason].status == 503)
		return STATUS_DEFAULT;
	return reasons[reason].status;
}

const char *outcome_name(Egret__Outcome outcome)
{
	switch (outcome) {
	case EGRET__OUTCOME__OUTCOME_ANSWERED:
		return "answered";
	case EGRET__OUTCOME__OUTCOME_NOT_RUN:
		return "not-run";
	default:
		return "unknown";
	}
}

static bool read_timeout(const char *text, uint32_t *out)
{
	char *end = NULL;

	*out = 0;
	if (!text)
		return true;
	guint64 value = g_ascii_strtoull(text, &end, 10);
	if (!g_ascii_isdigit(text[0]) || *end || value == 0 || value > TIMEOUT_MAX_MS)
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool egret_read_request(header_lookup_fn lookup, void *ctx, request_headers_t *out)
{
	const char *authorization = lookup(ctx, "Authorization");

	*out = (request_headers_t){
		.idempotency_key = lookup(ctx, "Idempotency-Key"),
		.parent_token = lookup(ctx, HEADER_TOKEN),
	};
	if (authorization && g_str_has_prefix(authorization, BEARER))
		out->api_key = authorization + strlen(BEARER);
	return read_timeout(lookup(ctx, "Egret-Timeout-Ms"), &out->timeout_ms);
}

static bool egret_strips_request_header(const char *name)
{
	return g_ascii_strcasecmp(name, "Host") == 0;
}

static void egret_add_origin_headers(const origin_t *origin, add_header_fn add, void *ctx)
{
	(void)origin;
	(void)add;
	(void)ctx;
}

static void egret_add_attempt_headers(const attempt_headers_t *attempt, add_header_fn add,
				      void *ctx)
{
	char text[32];

	add(ctx, HEADER_TOKEN, attempt->token);
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   attempt->time_left / USEC_PER_MSEC);
	add(ctx, "Egret-Timeout-Ms", text);
}

static void egret_read_response(const sent_request_t *request, uint32_t status,
				const GPtrArray *headers, response_headers_t *out)
{
	(void)status;
	const char *outcome = headers_find(headers, "Egret-Outcome");
	/* Targets need not send the token back. */
	const char *token = headers_find(headers, HEADER_TOKEN);

	*out = (response_headers_t){0};
	out->other_request = token && strcmp(token, request->token) != 0;
	out->not_run = !out->other_request && outcome && strcmp(outcome, "not-run") == 0;
}

static void egret_add_outcome_headers(Egret__Outcome outcome, add_header_fn add,
				      void *ctx)
{
	add(ctx, "Egret-Outcome", outcome_name(outcome));
}

/* Reads a number from 1 to SLOTS_MAX, or `default_count` if the field is absent. Returns
 * false if the field is invalid, or if it is absent and `default_count` is 0. */
static bool read_count(const json_t *json, const char *field, uint32_t default_count,
		       uint32_t *out)
{
	const json_t *value = json_object_get(json, field);

	*out = default_count;
	if (!value)
		return default_count > 0;
	json_int_t number = json_integer_value(value);
	if (!json_is_integer(value) || number < 1 || number > SLOTS_MAX)
		return false;
	*out = (uint32_t)number;
	return true;
}

static bool decode_report(const json_t *json, target_report_t *out)
{
	const char *service = json_string_value(json_object_get(json, "service"));
	const char *address = json_string_value(json_object_get(json, "address"));
	struct sockaddr_in parsed;

	if (!service || !record_name_valid(service) || !address ||
	    !address_parse(address, &parsed, NULL))
		return false;
	const char *version = json_string_value(json_object_get(json, "version"));
	if (version && !record_name_valid(version))
		return false;
	g_strlcpy(out->version, version ? version : "", sizeof(out->version));
	g_strlcpy(out->service, service, sizeof(out->service));
	address_format(&parsed, out->address);
	return read_count(json, "slots", 0, &out->slots) &&
	       read_count(json, "connections", out->slots, &out->connections) &&
	       read_count(json, "cold_slots", 1, &out->cold_slots);
}

/* PUT /v1/target, POST /v1/target/leave */
static bool egret_read_target_report(const char *method, const char *path,
				     const uint8_t *body, size_t len,
				     target_report_t *out, GError **error)
{
	*out = (target_report_t){0};
	out->leaving =
		strcmp(path, "/v1/target/leave") == 0 && strcmp(method, "POST") == 0;
	if (out->leaving)
		return true;
	if (strcmp(path, "/v1/target") != 0 || strcmp(method, "PUT") != 0) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_NOT_FOUND,
			    "%s %s is not a target report", method, path);
		return false;
	}
	json_t *json = json_loadb((const char *)body, len, 0, NULL);
	bool ok = decode_report(json, out);
	json_decref(json);
	if (!ok)
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_JSON,
			    "target report is malformed");
	return ok;
}

static uint32_t egret_refusal_status(const refusal_t *refusal)
{
	return reason_status(refusal->outcome, refusal->reason);
}

static void egret_add_refusal_headers(const refusal_t *refusal, add_header_fn add,
				      void *ctx)
{
	uint32_t status = egret_refusal_status(refusal);
	char text[32];

	add(ctx, "Egret-Reason", reason_name(refusal->reason));
	if (status == 429 || status == 503) {
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
			   MAX(refusal->retry_after / USEC_PER_SEC, 1));
		add(ctx, "Retry-After", text);
	}
	if (status == 401)
		add(ctx, "WWW-Authenticate", "Bearer");
}

const dialect_t *dialect_egret(void)
{
	static const dialect_t egret = {
		.name = "own",
		.read_request = egret_read_request,
		.strips_request_header = egret_strips_request_header,
		.add_origin_headers = egret_add_origin_headers,
		.add_attempt_headers = egret_add_attempt_headers,
		.read_response = egret_read_response,
		.add_outcome_headers = egret_add_outcome_headers,
		.read_target_report = egret_read_target_report,
		.refusal_status = egret_refusal_status,
		.add_refusal_headers = egret_add_refusal_headers,
	};

	return &egret;
}
