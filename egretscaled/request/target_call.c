#include "egretscaled/request/target_call.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/request/http_request.h"

#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_MS 1000L
/* Frees of 64 KiB and more make malloc() merge all of its free chunks. */
#define CURL_BUFFER_BYTES (16L << 10)

typedef struct target_call {
	worker_t *worker;
	call_t *call; /* NULL once the source gave up while a verdict is posted */
	gate_ticket_t ticket;
	bool decision_posted;
	gate_verdict_t verdict;
	char token[LIVE_TOKEN_TEXT_BYTES];
	bool live;
	bool attempt_started;
	usec_t started;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	call_reply_t reply;
	answer_head_t answer;
	char instance[MEMBER_TEXT_BYTES]; /* incarnation that the request names */
	bool head_complete;
	bool answer_paused;
	bool request_paused;
} target_call_t;

static void free_target_call(target_call_t *tc)
{
	curl_slist_free_all(tc->headers);
	if (tc->reply.headers)
		g_ptr_array_free(tc->reply.headers, TRUE);
	g_free(tc->url);
	g_free(tc);
}

static void log_decision(const target_call_t *tc, const char *verdict,
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
		      priority_t below)
{
	reply->pressure_below = node_pressure_below(tc->worker->node, tc->call->route);
	reply->has_load = true;
	reply->level = load->level;
	reply->below = below;
	reply->limit = load->limit;
	reply->inflight = load->inflight;
	reply->queued = load->queued;
}

/* Refuses with the gate's load, so that the hops before learn the level. */
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
	reply.retries_back = call->context.retries;
	call_detach_done(call);
	body_end(call->reply_body);
	call_answer(call, &reply);
}

static void end_live(target_call_t *tc, usec_t now, live_summary_t *summary)
{
	node_t *node = tc->worker->node;

	*summary = (live_summary_t){.below = PRIORITY_LEVEL_ALL};
	pthread_mutex_lock(&node->live_lock);
	if (tc->live)
		live_end(node->live, tc->token, now, summary);
	if (tc->attempt_started)
		attempts_finish(node->attempts, tc->call->attempt, now);
	pthread_mutex_unlock(&node->live_lock);
	if (tc->live) {
		pthread_mutex_lock(&node->router_lock);
		onward_end(node->onward, tc->call->route);
		pthread_mutex_unlock(&node->router_lock);
	}
	tc->live = false;
	tc->attempt_started = false;
	for (guint i = 0; summary->children && i < summary->children->len; i++)
		http_request_cancel(node, g_array_index(summary->children, uint64_t, i));
	if (summary->children)
		g_array_free(summary->children, TRUE);
	summary->children = NULL;
}

/* Tells the gate that a running call ended and lets others run. */
static void leave_gate(target_call_t *tc, usec_t now, usec_t own_latency,
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

static usec_t own_latency(const target_call_t *tc, usec_t now, usec_t onward)
{
	return MAX(now - tc->started - onward, 1);
}

/* The source gave up: cancel the work below. */
static void handle_detach(call_t *call, void *sink)
{
	target_call_t *tc = sink;
	node_t *node = tc->worker->node;
	usec_t now = clock_boot_usec();
	live_summary_t summary;

	body_on_readable(call->request_body, NULL, NULL);
	body_on_writable(call->reply_body, NULL, NULL);
	end_live(tc, now, &summary);
	pthread_mutex_lock(&node->gate_lock);
	bool posted = tc->decision_posted;
	if (!posted || tc->ticket.running)
		gate_cancel(node->gate, &tc->ticket, now);
	pthread_mutex_unlock(&node->gate_lock);
	if (tc->easy) {
		curl_loop_stop(tc->worker->curl, tc->easy);
		tc->easy = NULL;
	}
	tc->call = NULL;
	node_run_gate(node);
	if (!posted)
		free_target_call(tc);
}

static size_t write_request(char *buffer, size_t size, size_t count, void *ctx)
{
	target_call_t *tc = ctx;
	body_t *body = tc->call->request_body;

	if (body_aborted(body))
		return CURL_READFUNC_ABORT;
	size_t n = body_read(body, buffer, size * count);
	if (n == 0 && !body_finished(body)) {
		tc->request_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	return n;
}

static const dialect_t *dialect_of(const target_call_t *tc)
{
	return tc->worker->node->settings->dialect;
}

static bool parse_status_line(target_call_t *tc, const char *line, size_t len)
{
	if (len < 12 || strncasecmp(line, "HTTP/", 5) != 0)
		return false;
	if (tc->reply.headers)
		g_ptr_array_free(tc->reply.headers, TRUE);
	tc->reply = (call_reply_t){.headers = headers_create(),
				   .content_length = LENGTH_UNKNOWN};
	tc->answer = (answer_head_t){0};
	char *copy = g_strndup(line, len);
	const char *space = strchr(copy, ' ');
	tc->reply.status = space ? (uint32_t)strtoul(space + 1, NULL, 10) : 0;
	g_free(copy);
	return true;
}

static size_t take_header(char *line, size_t size, size_t count, void *ctx)
{
	target_call_t *tc = ctx;
	size_t len = size * count;

	if (parse_status_line(tc, line, len) || !tc->reply.headers)
		return len;
	char *copy = g_strchomp(g_strndup(line, len));
	char *colon = strchr(copy, ':');
	if (colon) {
		*colon = '\0';
		char *value = g_strstrip(colon + 1);
		if (strcasecmp(copy, "content-length") == 0)
			tc->reply.content_length = g_ascii_strtoll(value, NULL, 10);
		if (dialect_of(tc)->read_answer(copy, value, tc->reply.status,
						tc->call->context.request_id,
						&tc->answer) &&
		    !header_is_private(copy))
			headers_add(tc->reply.headers, copy, value);
	}
	g_free(copy);
	if (tc->answer.not_run || tc->answer.other_incarnation)
		tc->reply.outcome = EGRET__OUTCOME__OUTCOME_NOT_RUN;
	/* An answer to another request ends the connection. */
	return tc->answer.foreign ? 0 : len;
}

/* Gives the reply's head to the source once its body starts or the call ends. */
static void complete_head(target_call_t *tc)
{
	node_t *node = tc->worker->node;
	live_summary_t summary = {.below = PRIORITY_LEVEL_ALL};
	gate_load_t load;

	tc->head_complete = true;
	if (tc->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		tc->reply.reason = EGRET__REASON__REASON_TARGET_REFUSED;
	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), &load);
	pthread_mutex_unlock(&node->gate_lock);
	pthread_mutex_lock(&node->live_lock);
	live_report(node->live, tc->token, &summary);
	pthread_mutex_unlock(&node->live_lock);
	fill_load(tc, &tc->reply, &load, summary.below);
	tc->reply.retries_back = summary.retries_back;
	call_reply_t reply = tc->reply;
	tc->reply.headers = NULL;
	call_answer(tc->call, &reply);
}

static size_t take_body(char *data, size_t size, size_t count, void *ctx)
{
	target_call_t *tc = ctx;
	size_t len = size * count;

	if (!tc->head_complete)
		complete_head(tc);
	if (body_room(tc->call->reply_body) < len) {
		tc->answer_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	return body_write(tc->call->reply_body, data, len);
}

static void handle_body_event(void *ctx)
{
	target_call_t *tc = ctx;

	if (!tc->easy || (!tc->answer_paused && !tc->request_paused))
		return;
	curl_loop_wake(tc->worker->curl, tc->easy);
	tc->answer_paused = false;
	tc->request_paused = false;
}

static Egret__Reason lost_reason(CURLcode code)
{
	if (code == CURLE_OPERATION_TIMEDOUT)
		return EGRET__REASON__REASON_DEADLINE;
	return EGRET__REASON__REASON_TARGET_LOST;
}

static bool is_crash(CURLcode code)
{
	return code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR ||
	       code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE;
}

static void note_crash(target_call_t *tc, usec_t now)
{
	node_t *node = tc->worker->node;
	uint64_t fingerprint = tc->call->context.fingerprint;

	pthread_mutex_lock(&node->suspect_lock);
	uint64_t crash = suspects_crash_id(node->suspects, node_random_id(), now);
	bool spread = suspects_crash(node->suspects, fingerprint, crash, now);
	pthread_mutex_unlock(&node->suspect_lock);
	if (!spread)
		return;
	counter_add(COUNTER_SUSPECT_CRASHES, 1);
	pthread_mutex_lock(&node->gossip_lock);
	gossip_spread_suspicion(node->gossip, now, fingerprint, crash);
	pthread_mutex_unlock(&node->gossip_lock);
}

static void note_success(target_call_t *tc, usec_t now)
{
	node_t *node = tc->worker->node;

	pthread_mutex_lock(&node->suspect_lock);
	suspects_success(node->suspects, tc->call->context.fingerprint, now);
	pthread_mutex_unlock(&node->suspect_lock);
}

static void fail_transfer(target_call_t *tc, CURLcode code)
{
	node_t *node = tc->worker->node;
	usec_t now = clock_boot_usec();
	bool sent = curl_loop_request_sent(tc->easy);
	live_summary_t summary;

	end_live(tc, now, &summary);
	if (sent && is_crash(code))
		note_crash(tc, now);
	if (code == CURLE_COULDNT_CONNECT && node->settings->on_platform)
		node_target_refuses(node);
	leave_gate(tc, now, 1, LIMIT_IGNORED, !sent || is_crash(code));
	if (!sent)
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_TARGET_UNREACHABLE);
	else
		refuse(tc, EGRET__OUTCOME__OUTCOME_UNKNOWN, lost_reason(code));
}

static void finish_answered(target_call_t *tc, CURLcode code)
{
	call_t *call = tc->call;
	usec_t now = clock_boot_usec();
	bool refused = tc->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN;
	bool crashed = code != CURLE_OK && is_crash(code);
	limit_outcome_t outcome = refused ? LIMIT_OVERLOADED : LIMIT_SUCCESS;
	live_summary_t summary;

	end_live(tc, now, &summary);
	if (crashed)
		note_crash(tc, now);
	else if (code == CURLE_OK && !refused)
		note_success(tc, now);
	leave_gate(tc, now, own_latency(tc, now, summary.onward_time),
		   code == CURLE_OK ? outcome : LIMIT_IGNORED, crashed);
	call_detach_done(call);
	if (code == CURLE_OK)
		body_end(call->reply_body);
	else
		body_abort(call->reply_body);
}

static void handle_transfer_done(void *ctx, CURL *easy, CURLcode code)
{
	(void)easy;
	target_call_t *tc = ctx;
	call_t *call = tc->call;

	body_on_readable(call->request_body, NULL, NULL);
	body_on_writable(call->reply_body, NULL, NULL);
	if (code == CURLE_OK && !tc->head_complete)
		complete_head(tc);
	if (tc->head_complete)
		finish_answered(tc, code);
	else
		fail_transfer(tc, code);
	tc->easy = NULL;
	free_target_call(tc);
}

static void add_header(void *ctx, const char *name, const char *value)
{
	target_call_t *tc = ctx;
	/* curl takes "Name;" for a header without a value. */
	char *line = *value ? g_strdup_printf("%s: %s", name, value)
			    : g_strdup_printf("%s;", name);

	tc->headers = curl_slist_append(tc->headers, line);
	g_free(line);
}

static void build_headers(target_call_t *tc, usec_t left)
{
	const call_t *call = tc->call;
	attempt_head_t attempt = {
		.token = tc->token, .instance = tc->instance, .left = left};

	for (guint i = 0; i < call->headers->len; i++) {
		const header_t *header = call->headers->pdata[i];
		add_header(tc, header->name, header->value);
	}
	dialect_of(tc)->add_attempt(&attempt, add_header, tc);
	tc->headers = curl_slist_append(tc->headers, "Expect:");
	if (!headers_find(call->headers, "Accept"))
		tc->headers = curl_slist_append(tc->headers, "Accept:");
	if (!headers_find(call->headers, "Content-Type"))
		tc->headers = curl_slist_append(tc->headers, "Content-Type:");
}

static void set_body(target_call_t *tc)
{
	const call_t *call = tc->call;

	if (call->content_length == 0) {
		if (strcmp(call->method, "HEAD") == 0) {
			curl_easy_setopt(tc->easy, CURLOPT_NOBODY, 1L);
		} else if (strcmp(call->method, "GET") != 0) {
			curl_easy_setopt(tc->easy, CURLOPT_POSTFIELDS, "");
			curl_easy_setopt(tc->easy, CURLOPT_POSTFIELDSIZE, 0L);
		}
	} else {
		curl_easy_setopt(tc->easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(tc->easy, CURLOPT_READFUNCTION, write_request);
		curl_easy_setopt(tc->easy, CURLOPT_READDATA, tc);
		curl_easy_setopt(tc->easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)call->content_length);
	}
	curl_easy_setopt(tc->easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void send_to_target(target_call_t *tc, const char *address)
{
	call_t *call = tc->call;
	usec_t left = call->context.deadline - tc->started;

	tc->url = g_strconcat("http://", address, call->path, NULL);
	tc->easy = curl_loop_take(tc->worker->curl);
	build_headers(tc, left);
	curl_easy_setopt(tc->easy, CURLOPT_URL, tc->url);
	curl_easy_setopt(tc->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(tc->easy, CURLOPT_HTTPHEADER, tc->headers);
	curl_easy_setopt(tc->easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(tc->easy, CURLOPT_HEADERDATA, tc);
	curl_easy_setopt(tc->easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(tc->easy, CURLOPT_WRITEDATA, tc);
	curl_easy_setopt(tc->easy, CURLOPT_BUFFERSIZE, CURL_BUFFER_BYTES);
	curl_easy_setopt(tc->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(tc->easy, CURLOPT_TIMEOUT_MS,
			 (long)MAX(left / USEC_PER_MSEC, 1));
	set_body(tc);
	body_on_readable(call->request_body, handle_body_event, tc);
	body_on_writable(call->reply_body, handle_body_event, tc);
	curl_loop_start(tc->worker->curl, tc->easy, handle_transfer_done, tc);
}

/* The gate let the call run: start it unless it was fenced meanwhile. */
static void run(target_call_t *tc)
{
	node_t *node = tc->worker->node;
	char address[ADDRESS_TEXT_BYTES];
	gate_load_t load;

	tc->started = clock_boot_usec();
	pthread_mutex_lock(&node->gate_lock);
	g_strlcpy(address, node->target.last.address, sizeof(address));
	g_strlcpy(tc->instance, node->target.last.id, sizeof(tc->instance));
	gate_load(node->gate, tc->started, &load);
	pthread_mutex_unlock(&node->gate_lock);
	pthread_mutex_lock(&node->live_lock);
	tc->attempt_started =
		attempts_start(node->attempts, tc->call->attempt, tc->started);
	if (tc->attempt_started) {
		live_begin(node->live, &tc->call->context, tc->token);
		tc->live = true;
	}
	pthread_mutex_unlock(&node->live_lock);
	if (!tc->attempt_started) {
		leave_gate(tc, tc->started, 1, LIMIT_IGNORED, false);
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_CANCELLED);
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&node->router_lock);
	onward_begin(node->onward, tc->call->route);
	pthread_mutex_unlock(&node->router_lock);
	log_decision(tc, "run", &load);
	send_to_target(tc, address);
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
	log_decision(tc, verdict_name(verdict), &load);
	refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN, verdict_reason(verdict));
	free_target_call(tc);
}

static void apply_decision(worker_t *worker, void *ctx)
{
	(void)worker;
	target_call_t *tc = ctx;

	if (!tc->call) {
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&tc->worker->node->gate_lock);
	tc->decision_posted = false;
	pthread_mutex_unlock(&tc->worker->node->gate_lock);
	if (tc->verdict == GATE_RUN)
		run(tc);
	else
		finish_refused(tc, tc->verdict);
}

void target_call_decided(void *ticket_ctx, gate_verdict_t verdict)
{
	target_call_t *tc = ticket_ctx;

	tc->verdict = verdict;
	tc->decision_posted = true;
	worker_post(tc->worker, apply_decision, tc);
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
	bool suspect = suspects_refuse(node->suspects, call->context.fingerprint, now);
	pthread_mutex_unlock(&node->suspect_lock);
	if (suspect) {
		counter_add(COUNTER_SUSPECT_REFUSED, 1);
		refuse(tc, EGRET__OUTCOME__OUTCOME_NOT_RUN,
		       EGRET__REASON__REASON_SUSPECT);
		free_target_call(tc);
		return;
	}
	pthread_mutex_lock(&node->gate_lock);
	bool served = target_takes(&node->target, now) &&
		      strcmp(node->target.last.service, call->service) == 0;
	gate_verdict_t verdict =
		served ? gate_request(node->gate, &tc->ticket, now) : GATE_CLOSED;
	pthread_mutex_unlock(&node->gate_lock);
	node_run_gate(node);
	if (verdict == GATE_RUN)
		run(tc);
	else if (verdict != GATE_WAIT)
		finish_refused(tc, verdict);
}
