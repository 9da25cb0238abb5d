#include "egretscaled/request/http_request.h"

#include "common/counters.h"
#include "common/log.h"
#include "retry/retry_after.h"

#include <string.h>

#define STATUS_ERROR 500

http_request_t *http_request_find(worker_t *worker, uint64_t number)
{
	return g_hash_table_lookup(worker->requests, &number);
}

/* --- The outcome ------------------------------------------------------- */

static void count_outcome(const http_request_t *request)
{
	if (request->listener != HTTP_LISTENER_CALLERS)
		return;
	if (request->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED)
		counter_add(COUNTER_ANSWERED, 1);
	else if (request->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		counter_add(COUNTER_NOT_RUN, 1);
	else
		counter_add(COUNTER_UNKNOWN, 1);
}

static void log_breaker(const http_request_t *request, bool open)
{
	log_rec_t rec;

	if (open)
		counter_add(COUNTER_BREAKERS_OPENED, 1);
	log_begin(&rec, LOG_LEVEL_INFO, "breaker");
	log_str(&rec, "change", open ? "opened" : "closed");
	log_str(&rec, "route", request->route);
	log_str(&rec, "request", request->context.request_id);
	log_int(&rec, "status", request->status);
	log_end(&rec);
}

static void record_response(const http_request_t *request)
{
	node_t *node = request->worker->node;

	/* A stored response says nothing: its request was not sent. */
	if (!node->settings->dialect->outbound_on_caller_listener ||
	    request->from_target || request->attempt_count == 0 || !request->route ||
	    request->listener != HTTP_LISTENER_CALLERS ||
	    request->outcome != EGRET__OUTCOME__OUTCOME_ANSWERED)
		return;
	pthread_mutex_lock(&node->router_lock);
	bool changed = route_breaker_record(node->route_breaker, request->route,
					    request->status >= STATUS_ERROR,
					    request->calls_unavailable);
	bool open = route_breaker_is_open(node->route_breaker, request->route);
	pthread_mutex_unlock(&node->router_lock);
	if (changed)
		log_breaker(request, open);
}

static void log_outcome(const http_request_t *request)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "outcome");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "account", request->context.account);
	log_str(&rec, "service", request->service);
	log_str(&rec, "outcome", outcome_name(request->outcome));
	log_str(&rec, "reason", reason_name(request->reason));
	log_int(&rec, "status", request->status);
	log_int(&rec, "config", (int64_t)request->config_revision);
	log_int(&rec, "depth", request->context.depth);
	log_int(&rec, "attempts", request->attempt_count);
	log_int(&rec, "usec", clock_boot_usec() - request->arrived_at);
	log_end(&rec);
}

void http_request_report_to_parent(http_request_t *request)
{
	node_t *node = request->worker->node;
	usec_t now = clock_boot_usec();

	if (!*request->parent_token)
		return;
	priority_t downstream_level = request->downstream_level;
	if (request->route) {
		pthread_mutex_lock(&node->router_lock);
		downstream_level =
			MIN(downstream_level,
			    router_service_level(node->router, request->service, now));
		downstream_level =
			MIN(downstream_level,
			    backpressure_level(node->backpressure, request->route, now));
		pthread_mutex_unlock(&node->router_lock);
	}
	pthread_mutex_lock(&node->inflight_lock);
	inflight_child_end(node->inflight, request->parent_token, request->number, now,
			   request->retries_lent_by_parent, request->retries.left,
			   downstream_level);
	pthread_mutex_unlock(&node->inflight_lock);
	request->parent_token[0] = '\0';
}

void http_request_finish(http_request_t *request)
{
	if (request->response_ready)
		return;
	request->response_ready = true;
	request->discard_body = !request->body_ended;
	TALLOC_FREE(request->retry_timer);
	TALLOC_FREE(request->deadline_timer);
	http_request_report_to_parent(request);
	count_outcome(request);
	record_response(request);
	log_outcome(request);
	if (request->claim)
		request->claim_ops->on_outcome(request);
	http_exchange_wake(request->exchange);
}

const dialect_t *http_request_dialect(const http_request_t *request)
{
	return request->worker->node->settings->dialect;
}

static usec_t retry_after(const http_request_t *request)
{
	const settings_t *settings = request->worker->node->settings;

	if (request->reason != EGRET__REASON__REASON_SHED || !settings->on_platform)
		return RETRY_AFTER_MIN;
	return retry_after_shed(request->objective, node_random_id());
}

refusal_t http_request_refusal(const http_request_t *request)
{
	return (refusal_t){
		.outcome = request->outcome,
		.reason = request->reason,
		.request_id = request->context.request_id,
		.retry_after = retry_after(request),
	};
}

void http_request_refuse(http_request_t *request, Egret__Outcome outcome,
			 Egret__Reason reason)
{
	if (request->response_ready)
		return;
	if (request->call) {
		call_destroy(request->call);
		request->call = NULL;
	}
	request->outcome =
		request->may_have_run ? EGRET__OUTCOME__OUTCOME_UNKNOWN : outcome;
	request->reason = reason;
	refusal_t refusal = http_request_refusal(request);
	request->status = http_request_dialect(request)->refusal_status(&refusal);
	http_request_finish(request);
}

void http_request_respond(http_request_t *request, uint32_t status, GPtrArray *headers,
			  GBytes *body)
{
	request->outcome = EGRET__OUTCOME__OUTCOME_ANSWERED;
	request->status = status;
	request->response_body = g_bytes_ref(body);
	request->response_headers = headers;
	http_request_finish(request);
}

bool http_request_may_have_run(const http_request_t *request)
{
	const call_t *call = request->call;

	return call &&
	       (!call->replied || call->reply.outcome != EGRET__OUTCOME__OUTCOME_NOT_RUN);
}

static void cancel_on_worker(worker_t *worker, void *ctx)
{
	http_request_t *request = http_request_find(worker, (uint64_t)(uintptr_t)ctx);

	if (!request || request->response_ready)
		return;
	http_request_refuse(request,
			    http_request_may_have_run(request)
				    ? EGRET__OUTCOME__OUTCOME_UNKNOWN
				    : EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_CANCELLED);
}

void http_request_cancel(node_t *node, uint64_t number)
{
	uint32_t index = (uint32_t)(number >> HTTP_WORKER_SHIFT);

	worker_post(node->workers[index], cancel_on_worker, (void *)(uintptr_t)number);
}
