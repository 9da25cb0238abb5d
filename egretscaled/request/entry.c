#include "egretscaled/request/entry.h"

#include "admission/pressure.h"
#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/rates/rates.h"
#include "egretscaled/request/claims_io.h"
#include "egretscaled/request/http_attempt.h"
#include "egretscaled/request/target_reports.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define OUTBOUND_PREFIX "/call/"
/* Timeout of an outbound call that names no request in flight. */
#define OUTBOUND_DEFAULT_TIMEOUT_MS 10000
#define OUTBOUND_MAX_TIMEOUT_MS 600000
#define CALL_DEPTH_MAX 64
#define FINGERPRINT_SEED 0x66707274u

static const char *request_header(const http_request_t *request, const char *name)
{
	return headers_find(http_exchange_head(request->exchange)->headers, name);
}

static bool header_is_repeated(const http_request_t *request, const char *name)
{
	const GPtrArray *headers = http_exchange_head(request->exchange)->headers;
	int count = 0;

	for (guint i = 0; i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		count += g_ascii_strcasecmp(header->name, name) == 0;
	}
	return count > 1;
}

/* Returns false for a path that could bypass the prefix of a route: without a leading
 * slash, or with dot segments, empty segments, backslashes, spaces or control characters.
 * An escaped dot, slash, backslash or NUL is rejected too. The query is not checked. */
static bool path_is_safe(const char *path)
{
	char *lower = g_ascii_strdown(path, -1);
	char *query = strchr(lower, '?');

	if (query)
		*query = '\0';
	bool safe = lower[0] == '/' && !strstr(lower, "/./") && !strstr(lower, "/../") &&
		    !strstr(lower, "//") && !strstr(lower, "%2e") &&
		    !strstr(lower, "%2f") && !strstr(lower, "%00") &&
		    !strstr(lower, "%5c") && !strchr(lower, '\\') &&
		    !g_str_has_suffix(lower, "/.") && !g_str_has_suffix(lower, "/..");
	for (const char *c = lower; *c; c++)
		safe = safe && *c > ' ' && *c != 0x7f;
	g_free(lower);
	return safe;
}

static bool is_well_formed(const http_request_t *request)
{
	if (!path_is_safe(request->path) ||
	    header_is_repeated(request, "Authorization") ||
	    header_is_repeated(request, "Content-Length") ||
	    header_is_repeated(request, "Idempotency-Key") ||
	    header_is_repeated(request, "Egret-Context"))
		return false;
	return !(request_header(request, "Content-Length") &&
		 request_header(request, "Transfer-Encoding"));
}

/* The client's timeout, at most `limit_ms`; `limit_ms` if the client gave none. */
static uint32_t effective_timeout_ms(const http_request_t *request, uint32_t limit_ms)
{
	uint32_t requested = request->parsed_headers.timeout_ms;

	return requested ? MIN(requested, limit_ms) : limit_ms;
}

static char *account_for_key(const config_t *config, const char *key)
{
	uint8_t digest[crypto_hash_sha256_BYTES];
	char hex[KEY_DIGEST_HEX_BYTES + 1];

	if (!key)
		return NULL;
	crypto_hash_sha256(digest, (const unsigned char *)key, strlen(key));
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	const char *account = config_account_for_digest(config, hex);
	if (!account || !config_client_account(config, account))
		return NULL;
	return g_strdup(account);
}

/* Whether a request on a caller listener is an outbound call of this node's target, where
 * the dialect has no separate listener for them: it carries no API key and comes from the
 * target's IP address. */
static bool is_from_target(const http_request_t *request)
{
	const settings_t *settings = request->worker->node->settings;

	if (!settings->dialect->outbound_on_caller_listener ||
	    request->parsed_headers.api_key)
		return false;
	const struct sockaddr_in *from = http_exchange_client(request->exchange);
	return from->sin_family == AF_INET &&
	       from->sin_addr.s_addr == settings->target_address.sin_addr.s_addr;
}

static bool refuse(http_request_t *request, Egret__Reason reason)
{
	http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN, reason);
	return false;
}

static char *find_account(const http_request_t *request, const config_t *config,
			  const route_t *route)
{
	char *account = account_for_key(config, request->parsed_headers.api_key);

	if (account)
		return account;
	return route->allow_anonymous || request->from_target ? g_strdup("") : NULL;
}

static uint32_t effective_importance(const config_t *config, const char *account,
				     const route_t *route)
{
	const client_account_t *record = config_client_account(config, account);

	if (!record || record->importance == IMPORTANCE_NONE)
		return route->importance;
	return (uint32_t)record->importance;
}

static void add_header(void *ctx, const char *name, const char *value)
{
	headers_add(ctx, name, value);
}

static void add_origin(http_request_t *request)
{
	const settings_t *settings = request->worker->node->settings;
	origin_t origin = {
		.account = request->context.account,
		.caller_service = settings->service,
		.host = request->host,
	};

	settings->dialect->add_origin_headers(&origin, add_header, request->headers);
}

static void record_outbound_call(const http_request_t *request)
{
	node_t *node = request->worker->node;

	pthread_mutex_lock(&node->router_lock);
	route_calls_record(node->outbound_calls, request->route, request->service,
			   request->arrived_at);
	pthread_mutex_unlock(&node->router_lock);
}

static bool fill_from_route(http_request_t *request, const config_t *config)
{
	const record_t *record =
		config_match_route(config, request->host, request->method, request->path);

	request->config_revision = config_revision(config);
	if (!record)
		return refuse(request, EGRET__REASON__REASON_NO_ROUTE);
	const route_t *route = &record->route;
	request_context_t *context = &request->context;
	request->from_target = is_from_target(request);
	context->account = find_account(request, config, route);
	if (!context->account) {
		counter_add(COUNTER_REFUSED_KEY, 1);
		return refuse(request, EGRET__REASON__REASON_KEY);
	}
	uint32_t timeout_ms = effective_timeout_ms(request, route->timeout_ms);
	/* An outbound call belongs to a request that already used capacity, so it gets
	 * the highest importance. */
	context->importance =
		request->from_target
			? IMPORTANCE_LEVELS - 1
			: effective_importance(config, context->account, route);
	context->idempotent = route->idempotent;
	request->objective = (usec_t)route->objective_ms * USEC_PER_MSEC;
	context->deadline = request->arrived_at + (usec_t)timeout_ms * USEC_PER_MSEC;
	request->retries.left = route->retries;
	request->service =
		g_strdup(route_select_service(route, (uint32_t)node_random_id()));
	request->target_path = g_strdup(request->path);
	request->route = g_strdup(record->name);
	add_origin(request);
	if (request->from_target)
		record_outbound_call(request);
	return true;
}

bool entry_check(http_request_t *request)
{
	node_t *node = request->worker->node;

	counter_add(COUNTER_REQUESTS, 1);
	if (!request->headers_valid || !is_well_formed(request))
		return refuse(request, EGRET__REASON__REASON_BAD_REQUEST);
	if (!atomic_load(&node->ready) ||
	    worker_was_paused(request->worker, request->arrived_at))
		return refuse(request, EGRET__REASON__REASON_NOT_READY);
	config_t *config = node_config(node);
	bool ok = fill_from_route(request, config);
	config_unref(config);
	return ok;
}

static void set_fingerprint(http_request_t *request)
{
	XXH64_state_t *state = XXH64_createState();

	XXH64_reset(state, FINGERPRINT_SEED);
	XXH64_update(state, request->context.account,
		     strlen(request->context.account) + 1);
	XXH64_update(state, request->service, strlen(request->service) + 1);
	XXH64_update(state, request->method, strlen(request->method) + 1);
	XXH64_update(state, request->target_path, strlen(request->target_path) + 1);
	XXH64_update(state, &request->content_length, sizeof(request->content_length));
	XXH64_update(state, request->buffered_body->data, request->buffered_body->len);
	request->context.fingerprint = XXH64_digest(state);
	XXH64_freeState(state);
}

static bool is_suspect(http_request_t *request)
{
	node_t *node = request->worker->node;

	pthread_mutex_lock(&node->suspect_lock);
	bool suspect = suspects_is_refused(node->suspects, request->context.fingerprint,
					   clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
	if (suspect)
		counter_add(COUNTER_SUSPECT_REFUSED, 1);
	return suspect;
}

/* What the decision to shed a request depends on. */
typedef struct shed_inputs {
	double pressure;    /* of the route's service or of those downstream of it */
	double completable; /* share of the route's calls that can complete */
	bool breaker_open;  /* see admission/route_breaker.h */
} shed_inputs_t;

/* Outbound calls are exempt, since the requests that they belong to were admitted
 * already. */
static bool is_shed_by_load(const http_request_t *request, shed_inputs_t *inputs)
{
	node_t *node = request->worker->node;
	uint32_t importance = request->context.importance;
	usec_t now = clock_boot_usec();
	config_t *config = node_config(node);
	importance_range_t range = *config_importance_range(config);

	config_unref(config);
	double draw = (double)(uint32_t)node_random_id() / (double)UINT32_MAX;
	pthread_mutex_lock(&node->router_lock);
	double own = router_service_pressure(node->router, request->service, now);
	double downstream =
		backpressure_pressure(node->backpressure, request->route, now);
	inputs->pressure = MAX(own, downstream);
	inputs->completable =
		1.0 - backpressure_missing(node->backpressure, request->route, now);
	inputs->breaker_open = route_breaker_is_open(node->route_breaker, request->route);
	bool shed =
		!route_breaker_admits(node->route_breaker, request->route, now) ||
		!pressure_admits(inputs->pressure, importance, &range, draw) ||
		(node->settings->completion_limit &&
		 !completion_limit_admit(node->completion_limit, request->route,
					 inputs->completable, importance, &range, now));
	pthread_mutex_unlock(&node->router_lock);
	return shed;
}

static bool is_shed(http_request_t *request)
{
	node_t *node = request->worker->node;
	priority_t priority = request_context_priority(&request->context);
	shed_inputs_t inputs = {.completable = 1.0};

	pthread_mutex_lock(&node->router_lock);
	priority_t level =
		backpressure_level(node->backpressure, request->route, clock_boot_usec());
	pthread_mutex_unlock(&node->router_lock);
	bool shed_by_load = node->settings->dialect->outbound_on_caller_listener &&
			    !request->from_target && is_shed_by_load(request, &inputs);
	if (priority < level && !shed_by_load)
		return false;
	counter_add(COUNTER_REFUSED_SHED, 1);
	log_rec_t rec;
	log_begin(&rec, LOG_LEVEL_INFO, "shed");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "account", request->context.account);
	log_str(&rec, "route", request->route);
	log_int(&rec, "importance", request->context.importance);
	log_int(&rec, "rank", request->context.rank);
	log_int(&rec, "level", level);
	log_int(&rec, "pressure_milli", (int64_t)(inputs.pressure * 1000));
	log_int(&rec, "completable_milli", (int64_t)(inputs.completable * 1000));
	log_int(&rec, "breaker_open", inputs.breaker_open);
	log_end(&rec);
	return true;
}

static void claim_or_dispatch(http_request_t *request)
{
	const char *key = request->parsed_headers.idempotency_key;
	node_t *node = request->worker->node;

	pthread_mutex_lock(&node->router_lock);
	route_breaker_handle_send(node->route_breaker, request->route, clock_boot_usec());
	pthread_mutex_unlock(&node->router_lock);
	if (!key || !*request->context.account) {
		http_attempt_dispatch(request);
		return;
	}
	claims_io_claim(request, key);
}

static void handle_rate_decision(void *ctx, bool admitted)
{
	http_request_t *request = ctx;

	request->waits_for_rate = false;
	if (admitted) {
		claim_or_dispatch(request);
		return;
	}
	counter_add(COUNTER_REFUSED_RATE, 1);
	refuse(request, EGRET__REASON__REASON_RATE);
}

static bool has_rate_limit(const http_request_t *request)
{
	config_t *config = node_config(request->worker->node);
	const client_account_t *account =
		config_client_account(config, request->context.account);
	bool has_limit = !account || account->rate > 0;

	config_unref(config);
	return has_limit;
}

static bool is_accepted(const http_request_t *request, bool is_outbound)
{
	return node_accepts(request->worker->node, request->context.deadline,
			    is_outbound);
}

void entry_begin(http_request_t *request)
{
	const char *account = request->context.account;
	double pressure = *account ? rates_pressure(request->worker, account) : 0;

	if (!is_accepted(request, request->from_target)) {
		refuse(request, EGRET__REASON__REASON_DRAINING);
		return;
	}
	set_fingerprint(request);
	request->context.rank = priority_rank(request->context.request_id,
					      pressure > 0 ? MIN(pressure, 1.0) : 1.0);
	if (is_suspect(request)) {
		refuse(request, EGRET__REASON__REASON_SUSPECT);
		return;
	}
	if (is_shed(request)) {
		refuse(request, EGRET__REASON__REASON_SHED);
		return;
	}
	if (!*account || !has_rate_limit(request)) {
		claim_or_dispatch(request);
		return;
	}
	request->waits_for_rate = true;
	admit_result_t result =
		rates_admit(request->worker, account, handle_rate_decision, request);
	if (result == ADMIT_WAITING)
		return;
	handle_rate_decision(request, result == ADMIT_GRANTED);
}

static bool method_is_safe(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	       strcmp(method, "OPTIONS") == 0;
}

/* Splits /call/SERVICE/PATH. */
static bool split_call_path(http_request_t *request)
{
	if (!g_str_has_prefix(request->path, OUTBOUND_PREFIX))
		return false;
	const char *service = request->path + strlen(OUTBOUND_PREFIX);
	const char *slash = strchr(service, '/');
	if (!slash)
		return false;
	request->service = g_strndup(service, (gsize)(slash - service));
	request->target_path = g_strdup(slash);
	request->route = g_strdup_printf("%s %s", request->service, request->method);
	return record_name_valid(request->service);
}

static bool outbound_is_idempotent(const http_request_t *request)
{
	config_t *config = node_config(request->worker->node);
	const record_t *record = config_match_route(
		config, request->host, request->method, request->target_path);
	bool idempotent = method_is_safe(request->method);

	if (record && strcmp(record->route.service, request->service) == 0)
		idempotent = record->route.idempotent;
	config_unref(config);
	return idempotent;
}

/* An outbound call that names no request in flight gets no account and the lowest
 * importance. */
static void fill_without_parent(http_request_t *request)
{
	request_context_t *context = &request->context;

	context->account = g_strdup("");
	context->rank = PRIORITY_RANK_MAX;
	context->deadline =
		request->arrived_at + OUTBOUND_DEFAULT_TIMEOUT_MS * USEC_PER_MSEC;
}

static bool fill_from_parent(http_request_t *request)
{
	node_t *node = request->worker->node;
	const char *token = request->parsed_headers.parent_token;

	if (!token || strlen(token) + 1 != CONTEXT_TOKEN_TEXT_BYTES)
		return false;
	pthread_mutex_lock(&node->inflight_lock);
	bool found = inflight_child_begin(node->inflight, token, request->number,
					  request->arrived_at, &request->context);
	pthread_mutex_unlock(&node->inflight_lock);
	if (!found)
		return false;
	g_strlcpy(request->parent_token, token, sizeof(request->parent_token));
	request->retries_lent_by_parent = request->context.retries;
	request->retries.left = request->context.retries;
	return true;
}

bool outbound_check(http_request_t *request)
{
	if (g_str_has_prefix(request->path, TARGET_REPORTS_PREFIX)) {
		request->is_target_report = true;
		return true;
	}
	counter_add(COUNTER_ONWARD, 1);
	if (!request->headers_valid || !is_well_formed(request) ||
	    !split_call_path(request))
		return refuse(request, EGRET__REASON__REASON_BAD_REQUEST);
	if (!atomic_load(&request->worker->node->ready))
		return refuse(request, EGRET__REASON__REASON_NOT_READY);
	if (!fill_from_parent(request))
		fill_without_parent(request);
	if (request->context.depth > CALL_DEPTH_MAX)
		return refuse(request, EGRET__REASON__REASON_BAD_REQUEST);
	uint32_t timeout_ms = effective_timeout_ms(request, OUTBOUND_MAX_TIMEOUT_MS);
	usec_t requested = request->arrived_at + (usec_t)timeout_ms * USEC_PER_MSEC;
	request->context.deadline = MIN(request->context.deadline, requested);
	request->context.idempotent = outbound_is_idempotent(request);
	return true;
}

void outbound_begin(http_request_t *request)
{
	set_fingerprint(request);
	if (!is_accepted(request, true))
		refuse(request, EGRET__REASON__REASON_DRAINING);
	else if (is_suspect(request))
		refuse(request, EGRET__REASON__REASON_SUSPECT);
	else if (is_shed(request))
		refuse(request, EGRET__REASON__REASON_SHED);
	else
		http_attempt_dispatch(request);
}
