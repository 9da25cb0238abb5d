#include "egretscaled/request/target_call.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/request/http_request.h"
#include "egretscaled/request/target_call_state.h"
#include "egretscaled/request/target_loss.h"

#include <string.h>

#define STATUS_ERROR 500

static void free_target_call(target_call_t *tc)
{
	TALLOC_FREE(tc->finish_timer);
	curl_slist_free_all(tc->headers);
	if (tc->reply.headers)
		g_ptr_array_free(tc->reply.headers, TRUE);
	g_free(tc->url);
	g_free(tc);
}

static void log_gate_verdict(const target_call_t *tc, const char *verdict,
			     const gate_load_t *load)
{
	const request_context_t *context = &tc->call->context;
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "gate");
	log_str(&rec, "request", context->request_id);
	log_str(&rec, "account", context->account);
	log_str(&rec, "service", tc->call->service);
	log_str(&rec, "verdict", verdict);
	log_int(&rec, "importance", context->importance);
	log_int(&rec, "rank", context->rank);
	log_int(&rec, "depth", context->depth);
	log_int(&rec, "attempt", (int64_t)tc->call->attempt);
	log_int(&rec, "limit", load->limit);
	log_int(&rec, "inflight", load->inflight);
	log_int(&rec, "queued", load->queued);
	log_int(&rec, "level", load->level);
	log_end(&rec);
}

static void fill_load(target_call_t *tc, call_reply_t *reply, const gate_load_t *load,
		      priority_t downstream_level)
{
	reply->downstream_pressure =
		node_downstream_pressure(tc->worker->node, tc->call->route);
	reply->downstream_completable =
		node_downstream_completable(tc->worker->node, tc->call->route);
	reply->calls_unavailable =
		node_calls_unavailable(tc->worker->node, tc->call->route);
	reply->makes_calls = node_makes_calls(tc->worker->node);
	reply->has_load = true;
	reply->level = load->level;
	reply->downstream_level = downstream_level;
	reply->limit = load->limit;
	reply->inflight = load->inflight;
	reply->queued = load->queued;
	reply->response_time_usec = load->response_time_usec;
}

/* Refuses the call. The reply carries the gate's load, so that upstream callers receive
 * the shed level. */
static void refuse(target_call_t *tc, Egret__Outcome outcome, Egret__Reason reason)
{
	node_t *node = tc->worker->node;
	call_t *call = tc->call;
	gate_load_t load;
	call_reply_t reply = {.outcome = outcome, .reason = reason, .content_length = 0};

	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), &load);
	pthread_mutex_unlock(&node->gate_lock);
	fill_load(tc, &reply, &load, PRIORITY_LEVEL_ALL);
	reply.retries_returned = call->context.retries;
	call_detach(call);
	body_end(call->reply_body);
	call_reply(call, &reply);
}

static void end_inflight_request(target_call_t *tc, usec_t now,
				 inflight_summary_t *summary)
{
	node_t *node = tc->worker->node;

	*summary = (inflight_summary_t){.downstream_level = PRIORITY_LEVEL_ALL};
	pthread_mutex_lock(&node->inflight_lock);
	if (tc->inflight)
		inflight_end(node->inflight, tc->token, now, summary);
	if (tc->attempt_started)
		attempts_finish(node->attempts, tc->call->attempt, now);
	pthread_mutex_unlock(&node->inflight_lock);
	if (tc->inflight) {
		pthread_mutex_lock(&node->router_lock);
		route_calls_end(node->outbound_calls, tc->call->route);
		pthread_mutex_unlock(&node->router_lock);
	}
	tc->inflight = false;
	tc->attempt_started = false;
	for (guint i = 0; summary->children && i < summary->children->len; i++)
		http_request_cancel(node, g_array_index(summary->children, uint64_t, i));
	if (summary->children)
		g_array_free(summary->children, TRUE);
	summary->children = NULL;
}

/* Ends a call that the gate admitted, and starts queued ones. `own_latency` excludes the
 * time spent in outbound calls. */
static void release_gate_slot(target_call_t *tc, usec_t now, usec_t own_latency,
			      limit_outcome_t outcome, bool target_failed)
{
	node_t *node = tc->worker->node;

	pthread_mutex_lock(&node->gate_lock);
	gate_done(node->gate, &tc->ticket, now, own_latency, outcome);
	if (target_failed)
		gate_reset(node->gate, now);
	pthread_mutex_unlock(&node->gate_lock);
	node_run_gate(node);
}

/* Latency of the target itself, without the time spent in outbound calls; at least 1. */
static usec_t own_latency(const target_call_t *tc, usec_t now, usec_t outbound_time)
{
	return MAX(now - tc->started_at - outbound_time, 1);
}

/* The source dropped the call: cancels the gate ticket, the transfer and the outbound
 * calls. */
static void handle_detach(call_t *call, void *sink)
{
	target_call_t *tc = sink;
	node_t *node = tc->worker->node;
	usec_t now = clock_boot_usec();
	inflight_summary_t summary;

	body_on_readable(call->request_body, NULL, NULL);
	body_on_writable(call->reply_body, NULL, NULL);
	end_inflight_request(tc, now, &summary);
	pthread_mutex_lock(&node->gate_lock);
	bool verdict_pending = tc->verdict_posted;
	if (!verdict_pending || tc->ticket.running)
		gate_cancel(node->gate, &tc->ticket, now);
	pthread_mutex_unlock(&node->gate_lock);
	if (tc->headers_delivered &&
	    tc->reply.outcome == EGRET__OUTCOME__OUTCOME_ANSWERED)
		target_loss_handle_drop(node, &call->context, tc->started_at);
	if (tc->easy) {
		curl_loop_stop(tc->worker->curl, tc->easy);
		tc->easy = NULL;
	}
	tc->call = NULL;
	node_run_gate(node);
	if (!verdict_pending)
		free_target_call(tc);
}

void target_call_deliver_headers(target_call_t *tc)
{
	node_t *node = tc->worker->node;
	inflight_summary_t summary = {.downstream_level = PRIORITY_LEVEL_ALL};
	gate_load_t load;

	tc->headers_delivered = true;
	if (tc->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		tc->reply.reason = EGRET__REASON__REASON_TARGET_REFUSED;
	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), &load);
	pthread_mutex_unlock(&node->gate_lock);
	pthread_mutex_lock(&node->inflight_lock);
	inflight_report(node->inflight, tc->token, &summary);
	pthread_mutex_unlock(&node->inflight_lock);
	fill_load(tc, &tc->reply, &load, summary.downstream_level);
	tc->reply.retries_returned = summary.retries_returned;
	call_reply_t reply = tc->reply;
	tc->reply.headers = NULL;
	call_reply(tc->call, &reply);
}

static Egret__Reason failure_reason(CURLcode code)
{
	if (code == CURLE_OPERATION_TIMEDOUT)
		return EGRET__REASON__REASON_DEADLINE;
	return EGRET__REASON__REASON_TARGET_LOST;
}

/* Whether the target is to be used carefully from now on, as after a start. */
static bool is_target_failure(CURLcode code)
{
	return code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR ||
	       code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE;
}

/* The target has run the request and answered it. The end of a body that ends with the
 * connection may be that of the process. */
static void record_completion(target_call_t *tc, usec_t now)
{
	node_t *node = tc->worker->node;
	const request_context_t *context = &tc->call->context;

	pthread_mutex_lock(&node->router_lock);
	route_calls_completed(node->outbound_calls, tc->call->route, tc->started_at, now);
	pthread_mutex_unlock(&node->router_lock);
	if (tc->reply.ends_with_connection &&
	    target_loss_handle_end(node, context, tc->started_at))
		return;
	pthread_mutex_lock(&node->suspect_lock);
	suspects_handle_success(node->suspects, context->fingerprint, now);
	pthread_mutex_unlock(&node->suspect_lock);
}

static void record_response(const target_call_t *tc, usec_t time, usec_t now)
{
	node_t *node = tc->worker->node;

	pthread_mutex_lock(&node->gate_lock);
	gate_record_response(node->gate, time, now);
	pthread_mutex_unlock(&node->gate_lock);
}

static void finish_failed(target_call_t *tc, CURLcode code)
{
	node_t *node = tc->worker->node;
	usec_t now = clock_boot_usec();
	bool sent = curl_loop_request_sent(tc->easy);
	inflight_summary_t summary;

	end_inflight_request(tc, now, &summary);
	target_loss_handle(tc->worker->target_loss, &tc->call->context, tc->started_at,
			   tc->easy, code);
	if (curl_loop_refused(tc->easy, code) && node->settings->on_platform)
		node_handle_target_refusal(node);
	release_gate_slot(tc, now, 1, LIMIT_IGNORED, !sent || is_target_failure(code));
	if (!sent)
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_TARGET_UNREACHABLE);
	else
		refuse(tc, EGRET__OUTCOME__OUTCOME_UNKNOWN, failure_reason(code));
}

static void finish_replied(target_call_t *tc, CURLcode code)
{
	call_t *call = tc->call;
	usec_t now = clock_boot_usec();
	bool refused = tc->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN;
	bool crashed = code != CURLE_OK && is_target_failure(code);
	limit_outcome_t outcome = refused ? LIMIT_OVERLOADED : LIMIT_SUCCESS;
	bool completed = code == CURLE_OK && !refused && tc->reply.status < STATUS_ERROR;
	inflight_summary_t summary;

	end_inflight_request(tc, now, &summary);
	if (code != CURLE_OK)
		target_loss_handle(tc->worker->target_loss, &call->context,
				   tc->started_at, tc->easy, code);
	else if (!refused)
		record_completion(tc, now);
	if (completed)
		record_response(tc, own_latency(tc, now, summary.outbound_time), now);
	release_gate_slot(tc, now, own_latency(tc, now, summary.outbound_time),
			  code == CURLE_OK ? outcome : LIMIT_IGNORED, crashed);
	call_detach(call);
	if (code == CURLE_OK)
		body_end(call->reply_body);
	else
		body_abort(call->reply_body);
}

void target_call_handle_done(void *ctx, CURL *easy, CURLcode code)
{
	(void)easy;
	target_call_t *tc = ctx;
	call_t *call = tc->call;

	body_on_readable(call->request_body, NULL, NULL);
	body_on_writable(call->reply_body, NULL, NULL);
	if (code == CURLE_OK && !tc->headers_delivered)
		target_call_deliver_headers(tc);
	if (tc->headers_delivered)
		finish_replied(tc, code);
	else
		finish_failed(tc, code);
	tc->easy = NULL;
	free_target_call(tc);
}

/* The gate admitted the call: starts it unless its attempt was fenced in the meantime. */
static void run_call(target_call_t *tc)
{
	node_t *node = tc->worker->node;
	char address[ADDRESS_TEXT_BYTES];
	gate_load_t load;

	tc->started_at = clock_boot_usec();
	pthread_mutex_lock(&node->gate_lock);
	g_strlcpy(address, node->target.last_report.address, sizeof(address));
	g_strlcpy(tc->target_id, node->target.last_report.id, sizeof(tc->target_id));
	gate_load(node->gate, tc->started_at, &load);
	pthread_mutex_unlock(&node->gate_lock);
	pthread_mutex_lock(&node->inflight_lock);
	tc->attempt_started =
		attempts_start(node->attempts, tc->call->attempt, tc->started_at);
	if (tc->attempt_started) {
		inflight_begin(node->inflight, &tc->call->context, tc->token);
		tc->inflight = true;
	}
	pthread_mutex_unlock(&node->inflight_lock);
	if (!tc->attempt_started) {
		release_gate_slot(tc, tc->started_at, 1, LIMIT_IGNORED, false);
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_CANCELLED);
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&node->router_lock);
	route_calls_begin(node->outbound_calls, tc->call->route);
	pthread_mutex_unlock(&node->router_lock);
	log_gate_verdict(tc, "run", &load);
	target_send_start(tc, address);
}

static Egret__Reason verdict_reason(gate_verdict_t verdict)
{
	switch (verdict) {
	case GATE_EXPIRED:
		return EGRET__REASON__REASON_DEADLINE;
	case GATE_CLOSED:
		return EGRET__REASON__REASON_DRAINING;
	default:
		return EGRET__REASON__REASON_SHED;
	}
}

static const char *verdict_name(gate_verdict_t verdict)
{
	static const char *const names[] = {
		[GATE_RUN] = "run",	  [GATE_WAIT] = "wait",
		[GATE_SHED] = "shed",	  [GATE_EXPIRED] = "expired",
		[GATE_CLOSED] = "closed",
	};

	return names[verdict];
}

static void finish_refused(target_call_t *tc, gate_verdict_t verdict)
{
	node_t *node = tc->worker->node;
	gate_load_t load;

	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), &load);
	pthread_mutex_unlock(&node->gate_lock);
	log_gate_verdict(tc, verdict_name(verdict), &load);
	refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN, verdict_reason(verdict));
	free_target_call(tc);
}

static void apply_verdict(worker_t *worker, void *ctx)
{
	(void)worker;
	target_call_t *tc = ctx;

	if (!tc->call) {
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&tc->worker->node->gate_lock);
	tc->verdict_posted = false;
	pthread_mutex_unlock(&tc->worker->node->gate_lock);
	if (tc->verdict == GATE_RUN)
		run_call(tc);
	else
		finish_refused(tc, tc->verdict);
}

void target_call_handle_verdict(void *ticket_ctx, gate_verdict_t verdict)
{
	target_call_t *tc = ticket_ctx;

	tc->verdict = verdict;
	tc->verdict_posted = true;
	worker_post(tc->worker, apply_verdict, tc);
}

void target_call_start(worker_t *worker, call_t *call)
{
	node_t *node = worker->node;
	target_call_t *tc = g_new0(target_call_t, 1);
	usec_t now = clock_boot_usec();

	tc->worker = worker;
	tc->call = call;
	tc->ticket.priority = request_context_priority(&call->context);
	tc->ticket.deadline = call->context.deadline;
	tc->ticket.ctx = tc;
	call_attach(call, tc, handle_detach);
	pthread_mutex_lock(&node->suspect_lock);
	bool suspect =
		suspects_is_refused(node->suspects, call->context.fingerprint, now);
	pthread_mutex_unlock(&node->suspect_lock);
	if (suspect) {
		counter_add(COUNTER_SUSPECT_REFUSED, 1);
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_SUSPECT);
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&node->gate_lock);
	bool is_served = target_accepts_requests(&node->target, now) &&
			 strcmp(node->target.last_report.service, call->service) == 0;
	gate_verdict_t verdict =
		is_served ? gate_request(node->gate, &tc->ticket, now) : GATE_CLOSED;
	pthread_mutex_unlock(&node->gate_lock);
	node_run_gate(node);
	if (verdict == GATE_RUN)
		run_call(tc);
	else if (verdict != GATE_WAIT)
		finish_refused(tc, verdict);
}
