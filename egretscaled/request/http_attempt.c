#include "egretscaled/request/http_attempt.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/node/rollout.h"
#include "egretscaled/peers/peer_client.h"
#include "egretscaled/request/target_call.h"

#include <string.h>

/* A request times out this long before its deadline, so that the refusal reaches the
 * client before the client gives up. */
#define DEADLINE_MARGIN (20 * USEC_PER_MSEC)
/* The margin is at most this fraction (1/N) of the time left. */
#define DEADLINE_MARGIN_DIVISOR 10
#define EXCLUDED_MAX ROUTER_EXCLUDED_MAX
/* At most this many attempts that reached no target are repeated on another instance
 * without using up a retry. */
#define REROUTES_MAX 3
#define STATUS_ERROR 500
/* At most this many times a call that its target rejects is sent to the same instance
 * again. */
#define RESENDS_MAX 8
/* Doublings of the backoff before a resend: the rejection says nothing of the next send,
 * so there is no reason to wait long. */
#define RESEND_BACKOFF_STEP_MAX 2

static void log_route(const http_request_t *request, const router_choice_t *choice)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "route");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "account", request->context.account);
	log_str(&rec, "service", request->service);
	log_str(&rec, "instance", choice->address);
	log_str(&rec, "zone", choice->zone);
	log_str(&rec, "why", router_reason_name(choice->reason));
	log_int(&rec, "importance", request->context.importance);
	log_int(&rec, "depth", request->context.depth);
	log_int(&rec, "attempt", request->attempt_count);
	log_int(&rec, "candidates", choice->candidates);
	log_int(&rec, "passed_zone_out", choice->skipped_zone_out);
	log_int(&rec, "passed_silent", choice->skipped_silent);
	log_int(&rec, "passed_ejected", choice->skipped_ejected);
	log_int(&rec, "passed_level", choice->skipped_level);
	log_int(&rec, "passed_excluded", choice->skipped_excluded);
	if (choice->score_milli > 0)
		log_int(&rec, "score_milli", choice->score_milli);
	if (choice->skipped_version > 0) {
		log_str(&rec, "version", choice->version);
		log_int(&rec, "passed_version", choice->skipped_version);
	}
	log_end(&rec);
}

static void pick_instance(http_request_t *request, router_choice_t *choice)
{
	node_t *node = request->worker->node;
	router_request_t router_request = {
		.service = request->service,
		.priority = request_context_priority(&request->context),
	};

	router_request.excluded_count = MIN(request->excluded_count, EXCLUDED_MAX);
	for (uint32_t i = 0; i < router_request.excluded_count; i++)
		g_strlcpy(router_request.excluded[i], request->excluded[i],
			  ADDRESS_TEXT_BYTES);
	pthread_mutex_lock(&node->router_lock);
	if (request->sends_again) {
		request->sends_again = false;
		router_pick_again(node->router, request->service, request->instance,
				  request->instance_since, choice);
		pthread_mutex_unlock(&node->router_lock);
		return;
	}
	node_rollout_pick(node, &router_request, clock_boot_usec(), choice);
	/* If every instance was tried, any may be tried again, unless an attempt reached
	 * no target: the excluded instances then include some that just refused. */
	if (choice->reason == ROUTER_NO_INSTANCE && choice->skipped_excluded > 0 &&
	    request->reroutes == 0) {
		router_request.excluded_count = 0;
		node_rollout_pick(node, &router_request, clock_boot_usec(), choice);
	}
	pthread_mutex_unlock(&node->router_lock);
}

/* Writes the buffered part of the body into the call, and ends the body if it is
 * complete. */
static void write_buffered_body(http_request_t *request)
{
	body_t *body = request->call->request_body;

	body_write(body, request->buffered_body->data, request->buffered_body->len);
	if (request->body_ended)
		body_end(body);
}

static void handle_request_writable(void *ctx)
{
	http_request_t *request = ctx;

	http_exchange_wake(request->exchange);
}

static void handle_reply_readable(void *ctx)
{
	http_request_t *request = ctx;

	if (request->response_queued)
		http_exchange_wake(request->exchange);
}

static void process_reply(http_request_t *request);

static void handle_deferred_reply(worker_t *worker, void *ctx)
{
	http_request_t *request = http_request_find(worker, (uint64_t)(uintptr_t)ctx);

	if (request && request->call && request->call->replied &&
	    !request->response_ready)
		process_reply(request);
}

static void handle_reply(call_t *call, void *ctx)
{
	(void)call;
	http_request_t *request = ctx;

	worker_defer(request->worker, handle_deferred_reply,
		     (void *)(uintptr_t)request->number);
}

static void start_attempt(http_request_t *request)
{
	worker_t *worker = request->worker;
	router_choice_t choice;

	pick_instance(request, &choice);
	log_route(request, &choice);
	if (choice.reason == ROUTER_NO_INSTANCE || choice.reason == ROUTER_SHED) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    choice.reason == ROUTER_SHED
					    ? EGRET__REASON__REASON_SHED
					    : EGRET__REASON__REASON_NO_INSTANCE);
		return;
	}
	request->attempt_count++;
	request->routed = true;
	g_strlcpy(request->instance, choice.address, sizeof(request->instance));
	request->instance_since = choice.since;
	if (worker->node->rollout) {
		g_strlcpy(request->version, choice.version, sizeof(request->version));
		g_strlcpy(request->instance_zone, choice.zone,
			  sizeof(request->instance_zone));
		request->sent_at = clock_boot_usec();
	}
	/* Retries are only lent where the target's calls name their parent; others could
	 * not use them. */
	if (!worker->node->settings->dialect->outbound_on_caller_listener)
		request->retries_lent = retry_count_lend(&request->retries);
	request->context.retries = request->retries_lent;
	request_line_t line = {request->service, request->route ? request->route : "",
			       request->method, request->target_path};
	call_t *call = call_create(&request->context, node_random_id(), &line);
	request->call = call;
	g_ptr_array_unref(call->headers);
	call->headers = g_ptr_array_ref(request->headers);
	call->content_length = request->content_length;
	call->on_reply = handle_reply;
	call->on_reply_ctx = request;
	write_buffered_body(request);
	request->streaming = !request->body_ended;
	if (strcmp(choice.address, worker->node->address) == 0)
		target_call_start(worker, call);
	else
		peer_client_call(peer_client_get(worker, choice.address), call,
				 choice.node_id);
	if (request->streaming)
		body_on_writable(call->request_body, handle_request_writable, request);
	http_exchange_wake(request->exchange);
}

/* Other attempts with the fingerprint may have crashed their targets meanwhile. */
static bool is_refused_as_suspect(const http_request_t *request)
{
	node_t *node = request->worker->node;

	pthread_mutex_lock(&node->suspect_lock);
	bool refused = suspects_is_refused(node->suspects, request->context.fingerprint,
					   clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
	return refused;
}

static void handle_retry_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	http_request_t *request = private_data;

	request->retry_timer = NULL;
	if (is_refused_as_suspect(request))
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    EGRET__REASON__REASON_SUSPECT);
	else
		start_attempt(request);
}

/* Whether the target itself stated that it did not run the request. */
static bool is_rejection(const call_reply_t *reply)
{
	return reply->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN &&
	       reply->reason == EGRET__REASON__REASON_TARGET_REFUSED;
}

static router_outcome_t router_outcome_of(const call_reply_t *reply)
{
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED)
		return ROUTER_ANSWERED;
	switch (reply->reason) {
	case EGRET__REASON__REASON_PEER_LOST:
	case EGRET__REASON__REASON_TARGET_LOST:
	case EGRET__REASON__REASON_TARGET_UNREACHABLE:
		return ROUTER_FAILED;
	default:
		return ROUTER_REFUSED;
	}
}

static rollout_outcome_t rollout_outcome_of(router_outcome_t outcome,
					    const call_reply_t *reply)
{
	/* The deadline passed, or the client has hung up. */
	if (!reply)
		return outcome == ROUTER_FAILED ? ROLLOUT_FAILED : ROLLOUT_UNKNOWN;
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED)
		return reply->status >= 500 ? ROLLOUT_FAILED : ROLLOUT_GOOD;
	if (reply->reason == EGRET__REASON__REASON_TARGET_REFUSED)
		return ROLLOUT_UNKNOWN;
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		return ROLLOUT_NOT_SENT;
	switch (reply->reason) {
	case EGRET__REASON__REASON_PEER_LOST:
	case EGRET__REASON__REASON_TARGET_LOST:
	case EGRET__REASON__REASON_TARGET_UNREACHABLE:
		return ROLLOUT_LOST;
	case EGRET__REASON__REASON_DEADLINE:
		return ROLLOUT_FAILED;
	default:
		return ROLLOUT_UNKNOWN;
	}
}

static void record_rollout_result(const http_request_t *request, router_outcome_t outcome,
				  const call_reply_t *reply, usec_t now)
{
	rollout_result_t result = {
		.service = request->service,
		.version = request->version,
		.route = request->route ? request->route : "",
		.zone = request->instance_zone,
		.instance = request->instance,
		.outcome = rollout_outcome_of(outcome, reply),
		.sent_at = request->sent_at,
		.time = now - request->sent_at,
	};

	node_rollout_result(request->worker->node, &result, request->instance_since);
}

void http_attempt_end_routing(http_request_t *request, router_outcome_t outcome,
			      const call_reply_t *reply)
{
	node_t *node = request->worker->node;
	usec_t now = clock_boot_usec();
	router_report_t report = {.level = PRIORITY_LEVEL_ALL};
	bool reported = reply && reply->has_load;

	if (!request->routed)
		return;
	request->routed = false;
	if (reported) {
		report.level = reply->level;
		report.limit = reply->limit;
		report.inflight = reply->inflight;
		report.queued = reply->queued;
		report.response_time_usec = reply->response_time_usec;
		report.failed =
			reply->outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN ||
			reply->reason == EGRET__REASON__REASON_TARGET_REFUSED ||
			(outcome == ROUTER_ANSWERED && reply->status >= STATUS_ERROR);
		request->downstream_level =
			MIN(request->downstream_level, reply->downstream_level);
	}
	if (node->rollout)
		record_rollout_result(request, outcome, reply, now);
	pthread_mutex_lock(&node->router_lock);
	router_done(node->router, request->instance, outcome, reported ? &report : NULL,
		    now);
	if (reported && outcome == ROUTER_ANSWERED)
		backpressure_record_level(node->backpressure, request->route,
					  reply->downstream_level, now);
	if (reply && is_rejection(reply))
		node_resend_record(node, request->service, true, now);
	else if (outcome == ROUTER_ANSWERED)
		node_resend_record(node, request->service, false, now);
	if (reported) {
		backpressure_record_pressure(node->backpressure, request->route,
					     reply->downstream_pressure, now);
		backpressure_record_missing(node->backpressure, request->route,
					    1.0 - reply->downstream_completable, now);
		backpressure_record_unavailable(node->backpressure, request->route,
						reply->calls_unavailable, now);
		request->calls_unavailable = reply->calls_unavailable;
	}
	pthread_mutex_unlock(&node->router_lock);
}

static void handle_deadline(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	http_request_t *request = private_data;
	bool may_have_run = http_request_may_have_run(request);

	request->deadline_timer = NULL;
	if (may_have_run)
		http_attempt_end_routing(request, ROUTER_FAILED, NULL);
	http_request_refuse(request,
			    may_have_run ? EGRET__OUTCOME__OUTCOME_UNKNOWN
					 : EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_DEADLINE);
}

void http_attempt_dispatch(http_request_t *request)
{
	usec_t now = clock_boot_usec();
	usec_t time_left = request->context.deadline - now;

	if (request->response_ready)
		return;
	if (time_left <= 0) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    EGRET__REASON__REASON_DEADLINE);
		return;
	}
	usec_t margin = MIN(DEADLINE_MARGIN, time_left / DEADLINE_MARGIN_DIVISOR);
	request->deadline_timer = worker_timer(request->worker, time_left - margin,
					       handle_deadline, request);
	node_retry_budget_deposit(request->worker->node, request->service);
	start_attempt(request);
}

/* The body can be sent again only if it was buffered completely. */
static bool can_resend_body(const http_request_t *request)
{
	return request->body_ended && !request->streaming;
}

static bool is_on_probation(const http_request_t *request)
{
	node_t *node = request->worker->node;

	pthread_mutex_lock(&node->suspect_lock);
	bool on_probation = suspects_is_on_probation(
		node->suspects, request->context.fingerprint, clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
	return on_probation;
}

static bool is_retryable(const http_request_t *request, const call_reply_t *reply)
{
	node_t *node = request->worker->node;

	if (reply->outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN)
		return request->context.idempotent &&
		       reply->reason != EGRET__REASON__REASON_DEADLINE &&
		       !is_on_probation(request);
	switch (reply->reason) {
	case EGRET__REASON__REASON_SHED:
	case EGRET__REASON__REASON_TARGET_REFUSED:
		pthread_mutex_lock(&node->router_lock);
		priority_t level = router_service_level(node->router, request->service,
							clock_boot_usec());
		pthread_mutex_unlock(&node->router_lock);
		return level >= PRIORITY_LEVEL_ALL;
	case EGRET__REASON__REASON_PEER_LOST:
	case EGRET__REASON__REASON_TARGET_UNREACHABLE:
	case EGRET__REASON__REASON_DRAINING:
		return true;
	default:
		return false;
	}
}

/* The attempt ended before its request reached a target. Another instance may be tried
 * without using up a retry. */
static bool reached_no_target(const call_reply_t *reply)
{
	if (reply->outcome != EGRET__OUTCOME__OUTCOME_NOT_RUN)
		return false;
	switch (reply->reason) {
	case EGRET__REASON__REASON_SHED:
	case EGRET__REASON__REASON_PEER_LOST:
	case EGRET__REASON__REASON_TARGET_UNREACHABLE:
	case EGRET__REASON__REASON_DRAINING:
		return true;
	default:
		return false;
	}
}

static void exclude_instance(http_request_t *request)
{
	if (request->excluded_count >= EXCLUDED_MAX)
		return;
	if (!request->excluded)
		request->excluded = g_malloc0(EXCLUDED_MAX * ADDRESS_TEXT_BYTES);
	g_strlcpy(request->excluded[request->excluded_count++], request->instance,
		  ADDRESS_TEXT_BYTES);
}

static bool reroute(http_request_t *request, const call_reply_t *reply)
{
	if (!reached_no_target(reply) || !can_resend_body(request) ||
	    request->reroutes >= REROUTES_MAX ||
	    request->context.deadline <= clock_boot_usec())
		return false;
	request->reroutes++;
	counter_add(COUNTER_REROUTES, 1);
	exclude_instance(request);
	call_destroy(request->call);
	request->call = NULL;
	start_attempt(request);
	return true;
}

static void start_retry_timer(http_request_t *request, usec_t wait)
{
	call_destroy(request->call);
	request->call = NULL;
	request->retry_timer =
		worker_timer(request->worker, wait, handle_retry_timer, request);
}

static bool schedule_retry(http_request_t *request, const call_reply_t *reply)
{
	node_t *node = request->worker->node;
	double uniform = (double)(node_random_id() >> 11) / (double)(1ull << 53);
	usec_t wait = retry_backoff(request->attempt_count - 1, uniform);
	usec_t time_left = request->context.deadline - clock_boot_usec();

	if (!can_resend_body(request) || !is_retryable(request, reply) ||
	    wait >= time_left)
		return false;
	if (request->retries.left == 0 ||
	    !node_retry_budget_withdraw(node, request->service)) {
		counter_add(COUNTER_RETRIES_CAPPED, 1);
		return false;
	}
	retry_count_take(&request->retries);
	counter_add(COUNTER_RETRIES, 1);
	exclude_instance(request);
	start_retry_timer(request, wait);
	return true;
}

/* Sends a call that its target rejected to the same instance again, which is not another
 * instance in the meaning of the route's attempts. Not where the target makes calls of
 * its own: those of a repeated run count as repeats, too. */
static bool schedule_resend(http_request_t *request, const call_reply_t *reply)
{
	node_t *node = request->worker->node;
	usec_t now = clock_boot_usec();
	double uniform = (double)(node_random_id() >> 11) / (double)(1ull << 53);
	usec_t wait =
		retry_backoff(MIN(request->resends, RESEND_BACKOFF_STEP_MAX), uniform);

	if (node_bounds(node)->resend_ratio <= 0 || !is_rejection(reply) ||
	    reply->makes_calls || !can_resend_body(request) ||
	    request->resends >= RESENDS_MAX || wait >= request->context.deadline - now)
		return false;
	pthread_mutex_lock(&node->router_lock);
	/* During a roll-out each send is to a version that the roll-out chooses. */
	bool ordered = node->rollout &&
		       rollout_state(node->rollout, request->service) != ROLLOUT_NONE;
	bool allowed = !ordered && node_resend_take(node, request->service, now);
	pthread_mutex_unlock(&node->router_lock);
	if (!allowed) {
		counter_add(COUNTER_RESENDS_CAPPED, 1);
		return false;
	}
	request->resends++;
	request->sends_again = true;
	counter_add(COUNTER_RESENDS, 1);
	start_retry_timer(request, wait);
	return true;
}

static void log_failed_attempt(const http_request_t *request, const call_reply_t *reply)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "attempt");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "service", request->service);
	log_str(&rec, "instance", request->instance);
	log_str(&rec, "outcome", outcome_name(reply->outcome));
	log_str(&rec, "reason", reason_name(reply->reason));
	log_int(&rec, "attempt", request->attempt_count);
	log_int(&rec, "retries_left", request->retries.left);
	log_int(&rec, "limit", reply->limit);
	log_int(&rec, "inflight", reply->inflight);
	log_int(&rec, "queued", reply->queued);
	log_end(&rec);
}

/* Handles the reply of the call: delivers the response, tries another instance, or
 * refuses the request. */
static void process_reply(http_request_t *request)
{
	call_reply_t *reply = &request->call->reply;

	http_attempt_end_routing(request, router_outcome_of(reply), reply);
	retry_count_return(&request->retries, request->retries_lent,
			   reply->retries_returned);
	request->retries_lent = 0;
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		request->outcome = reply->outcome;
		request->status = reply->status;
		body_on_readable(request->call->reply_body, handle_reply_readable,
				 request);
		if (!request->claim || !request->claim_ops->store_response(request))
			http_request_finish(request);
		return;
	}
	log_failed_attempt(request, reply);
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN)
		request->may_have_run = true;
	if (node_cancels_requests(request->worker->node) ||
	    (!reroute(request, reply) && !schedule_retry(request, reply) &&
	     !schedule_resend(request, reply)))
		http_request_refuse(request, reply->outcome, reply->reason);
}
