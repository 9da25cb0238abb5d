#include "egretscaled/http_request.h"

#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/accounts_io.h"
#include "egretscaled/announce.h"
#include "egretscaled/claims_io.h"
#include "egretscaled/entry.h"
#include "egretscaled/peer_client.h"
#include "egretscaled/target_call.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define WORKER_SHIFT 56
#define REPLY_BLOCK_BYTES (32u << 10)
/* The hops below state the truth at the deadline; the entry waits for it. */
#define DEADLINE_GRACE (20 * USEC_PER_MSEC)
#define RETRY_AFTER_SEC "1"
#define EXCLUDED_MAX ROUTER_EXCLUDED_MAX

typedef struct reason_row {
	const char *word;
	uint32_t status;
} reason_row_t;

static const reason_row_t reasons[] = {
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
	[EGRET__REASON__REASON_TOO_LARGE] = {"too-large", 413},
	[EGRET__REASON__REASON_NOT_READY] = {"not-ready", 503},
	[EGRET__REASON__REASON_CLAIM_MISMATCH] = {"claim-mismatch", 409},
};

const char *reason_word(Egret__Reason reason)
{
	return reason < G_N_ELEMENTS(reasons) ? reasons[reason].word : "none";
}

uint32_t reason_status(Egret__Outcome outcome, Egret__Reason reason)
{
	if (reason >= G_N_ELEMENTS(reasons))
		return 502;
	if (outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN && reasons[reason].status == 503)
		return 502;
	return reasons[reason].status;
}

static const char *outcome_word(Egret__Outcome outcome)
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

http_request_t *http_request_find(worker_t *worker, uint64_t number)
{
	return g_hash_table_lookup(worker->requests, &number);
}

/* --- The client's side of the connection ------------------------------- */

static bool body_wanted(const http_request_t *request)
{
	if (request->body_ended)
		return false;
	if (request->discard_body || !request->prepared)
		return true;
	if (request->streaming)
		return body_room(request->call->request_body) > 0;
	return request->head_body->len < HTTP_HEAD_BODY_BYTES;
}

/* Whether libmicrohttpd has something to do for this connection now. */
static bool connection_has_work(const http_request_t *request)
{
	if (request->gone || body_wanted(request))
		return true;
	return request->answer_ready && request->body_ended;
}

static void wake(http_request_t *request)
{
	if (!request->suspended || !connection_has_work(request))
		return;
	request->suspended = false;
	mhd_loop_unwatch(request->loop, request->connection);
	mhd_loop_resume(request->loop, request->connection);
}

static void handle_client_gone(void *ctx)
{
	http_request_t *request = ctx;

	request->gone = true;
	claims_io_adopt(request);
	if (request->call) {
		call_destroy(request->call);
		request->call = NULL;
	}
	if (request->suspended) {
		request->suspended = false;
		mhd_loop_resume(request->loop, request->connection);
	}
}

static void suspend(http_request_t *request)
{
	if (request->suspended)
		return;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
	mhd_loop_watch(request->loop, request->connection, handle_client_gone, request);
}

/* --- Answer ------------------------------------------------------------ */

static void count_outcome(const http_request_t *request)
{
	if (request->side != HTTP_CALLERS)
		return;
	if (request->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED)
		counter_add(COUNTER_ANSWERED, 1);
	else if (request->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		counter_add(COUNTER_NOT_RUN, 1);
	else
		counter_add(COUNTER_UNKNOWN, 1);
}

static void log_outcome(const http_request_t *request)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "outcome");
	log_hex(&rec, "request", request->context.request_id, REQUEST_ID_BYTES);
	log_str(&rec, "account", request->context.account);
	log_str(&rec, "service", request->service);
	log_str(&rec, "outcome", outcome_word(request->outcome));
	log_str(&rec, "reason", reason_word(request->reason));
	log_int(&rec, "status", request->status);
	log_int(&rec, "depth", request->context.depth);
	log_int(&rec, "attempts", request->attempt_count);
	log_int(&rec, "usec", clock_boot_usec() - request->arrived);
	log_end(&rec);
}

static void return_to_parent(http_request_t *request)
{
	node_t *node = request->worker->node;
	usec_t now = clock_boot_usec();

	if (!*request->parent)
		return;
	priority_t below = request->below;
	if (request->service) {
		pthread_mutex_lock(&node->router_lock);
		below = MIN(below,
			    router_service_level(node->router, request->service, now));
		pthread_mutex_unlock(&node->router_lock);
	}
	pthread_mutex_lock(&node->live_lock);
	live_child_end(node->live, request->parent, request->number, now,
		       request->lent_by_parent, request->retries.left, below);
	pthread_mutex_unlock(&node->live_lock);
	request->parent[0] = '\0';
}

static void make_ready(http_request_t *request)
{
	if (request->answer_ready)
		return;
	request->answer_ready = true;
	request->discard_body = !request->body_ended;
	TALLOC_FREE(request->retry_timer);
	TALLOC_FREE(request->deadline_timer);
	return_to_parent(request);
	count_outcome(request);
	log_outcome(request);
	claims_io_finish(request);
	wake(request);
}

void http_request_refuse(http_request_t *request, Egret__Outcome outcome,
			 Egret__Reason reason)
{
	if (request->answer_ready)
		return;
	if (request->call) {
		call_destroy(request->call);
		request->call = NULL;
	}
	request->outcome = outcome;
	request->reason = reason;
	request->status = reason_status(outcome, reason);
	make_ready(request);
}

void http_request_replay(http_request_t *request, uint32_t status, GPtrArray *headers,
			 GBytes *body)
{
	request->outcome = EGRET__OUTCOME__OUTCOME_ANSWERED;
	request->status = status;
	request->replay = g_bytes_ref(body);
	request->replay_headers = headers;
	make_ready(request);
}

static ssize_t read_reply(void *ctx, uint64_t position, char *buffer, size_t size)
{
	(void)position;
	http_request_t *request = ctx;

	if (!request->call)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	body_t *body = request->call->reply_body;
	size_t n = body_read(body, buffer, size);
	if (n > 0)
		return (ssize_t)n;
	if (body_aborted(body))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (body_finished(body))
		return MHD_CONTENT_READER_END_OF_STREAM;
	suspend(request);
	return 0;
}

static struct MHD_Response *buffer_response(const uint8_t *data, size_t len)
{
	return MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
}

static struct MHD_Response *call_response(http_request_t *request)
{
	const call_reply_t *reply = &request->call->reply;
	body_t *body = request->call->reply_body;
	bool head = strcmp(request->method, "HEAD") == 0;

	if (!head && body_ended(body) && !body_aborted(body)) {
		size_t len = body_pending(body);
		uint8_t *copy = g_malloc(len + 1);
		body_read(body, copy, len);
		struct MHD_Response *response =
			MHD_create_response_from_buffer_with_free_callback(len, copy,
									   g_free);
		return response;
	}
	uint64_t size = reply->content_length >= 0 ? (uint64_t)reply->content_length
						   : MHD_SIZE_UNKNOWN;
	return MHD_create_response_from_callback(size, REPLY_BLOCK_BYTES, read_reply,
						 request, NULL);
}

static void add_headers(struct MHD_Response *response, const GPtrArray *headers)
{
	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		MHD_add_response_header(response, header->name, header->value);
	}
}

static struct MHD_Response *refusal_response(const http_request_t *request)
{
	char text[64];

	g_snprintf(text, sizeof(text), "%s\n", reason_word(request->reason));
	struct MHD_Response *response = buffer_response((uint8_t *)text, strlen(text));
	MHD_add_response_header(response, "Content-Type", "text/plain");
	MHD_add_response_header(response, "Egret-Reason", reason_word(request->reason));
	if (request->status == 429 || request->status == 503)
		MHD_add_response_header(response, "Retry-After", RETRY_AFTER_SEC);
	if (request->status == 401)
		MHD_add_response_header(response, "WWW-Authenticate", "Bearer");
	return response;
}

static enum MHD_Result queue_answer(http_request_t *request)
{
	struct MHD_Response *response;

	if (request->replay) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(request->replay, &len);
		response = buffer_response(data, len);
		add_headers(response, request->replay_headers);
	} else if (request->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		response = call_response(request);
		add_headers(response, request->call->reply.headers);
	} else {
		response = refusal_response(request);
	}
	MHD_add_response_header(response, "Egret-Outcome",
				outcome_word(request->outcome));
	request->answer_queued = true;
	enum MHD_Result result =
		MHD_queue_response(request->connection, request->status, response);
	MHD_destroy_response(response);
	return result;
}

/* --- Attempts ---------------------------------------------------------- */

static void log_route(const http_request_t *request, const router_choice_t *choice)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "route");
	log_hex(&rec, "request", request->context.request_id, REQUEST_ID_BYTES);
	log_str(&rec, "account", request->context.account);
	log_str(&rec, "service", request->service);
	log_str(&rec, "instance", choice->address);
	log_str(&rec, "zone", choice->zone);
	log_str(&rec, "why", router_why_name(choice->why));
	log_int(&rec, "importance", request->context.importance);
	log_int(&rec, "depth", request->context.depth);
	log_int(&rec, "attempt", request->attempt_count);
	log_int(&rec, "candidates", choice->candidates);
	log_int(&rec, "passed_zone_out", choice->passed_zone_out);
	log_int(&rec, "passed_ejected", choice->passed_ejected);
	log_int(&rec, "passed_level", choice->passed_level);
	log_int(&rec, "passed_excluded", choice->passed_excluded);
	log_end(&rec);
}

static void pick(http_request_t *request, router_choice_t *choice)
{
	node_t *node = request->worker->node;
	router_request_t wanted = {
		.service = request->service,
		.priority = request_context_priority(&request->context),
	};

	wanted.excluded_count = MIN(request->excluded_count, EXCLUDED_MAX);
	for (uint32_t i = 0; i < wanted.excluded_count; i++)
		g_strlcpy(wanted.excluded[i], request->excluded[i], ADDRESS_TEXT_BYTES);
	pthread_mutex_lock(&node->router_lock);
	router_pick(node->router, &wanted, clock_boot_usec(), choice);
	/* With every instance tried, any one may be tried again. */
	if (choice->why == ROUTER_NO_INSTANCE && choice->passed_excluded > 0) {
		wanted.excluded_count = 0;
		router_pick(node->router, &wanted, clock_boot_usec(), choice);
	}
	pthread_mutex_unlock(&node->router_lock);
}

/* The body so far goes into the call; a short one is complete with it. */
static void fill_body(http_request_t *request)
{
	body_t *body = request->call->request_body;

	body_write(body, request->head_body->data, request->head_body->len);
	if (request->body_ended)
		body_end(body);
}

static void handle_room(void *ctx)
{
	wake(ctx);
}

static void handle_reply_bytes(void *ctx)
{
	http_request_t *request = ctx;

	if (request->answer_queued && request->suspended) {
		request->suspended = false;
		mhd_loop_unwatch(request->loop, request->connection);
		mhd_loop_resume(request->loop, request->connection);
	}
}

static void take_answer(http_request_t *request);

static void handle_answer_later(worker_t *worker, void *ctx)
{
	http_request_t *request = http_request_find(worker, (uint64_t)(uintptr_t)ctx);

	if (request && request->call && request->call->answered && !request->answer_ready)
		take_answer(request);
}

static void handle_answered(call_t *call, void *ctx)
{
	(void)call;
	http_request_t *request = ctx;

	worker_defer(request->worker, handle_answer_later,
		     (void *)(uintptr_t)request->number);
}

static void start_attempt(http_request_t *request)
{
	worker_t *worker = request->worker;
	router_choice_t choice;

	pick(request, &choice);
	log_route(request, &choice);
	if (choice.why == ROUTER_NO_INSTANCE || choice.why == ROUTER_SHED) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    choice.why == ROUTER_SHED
					    ? EGRET__REASON__REASON_SHED
					    : EGRET__REASON__REASON_NO_INSTANCE);
		return;
	}
	request->attempt_count++;
	request->routed = true;
	g_strlcpy(request->instance, choice.address, sizeof(request->instance));
	request->lent = retry_lend(&request->retries);
	request->context.retries = request->lent;
	call_t *call = call_create(&request->context, node_random_id(), request->service,
				   request->method, request->target_path);
	request->call = call;
	g_ptr_array_unref(call->headers);
	call->headers = g_ptr_array_ref(request->headers);
	call->content_length = request->content_length;
	call->on_answered = handle_answered;
	call->on_answered_ctx = request;
	fill_body(request);
	request->streaming = !request->body_ended;
	if (strcmp(choice.address, worker->node->address) == 0)
		target_call_start(worker, call);
	else
		peer_client_call(peer_client_get(worker, choice.address), call,
				 choice.node_id);
	if (request->streaming)
		body_on_writable(call->request_body, handle_room, request);
	wake(request);
}

static void handle_retry_time(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	http_request_t *request = private_data;

	request->retry_timer = NULL;
	start_attempt(request);
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

static void end_routing(http_request_t *request, router_outcome_t outcome,
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
		request->below = MIN(request->below, reply->below);
	}
	pthread_mutex_lock(&node->router_lock);
	router_done(node->router, request->instance, outcome, reported ? &report : NULL,
		    now);
	if (reported && outcome == ROUTER_ANSWERED)
		backpressure_note(node->backpressure, request->route, reply->below, now);
	pthread_mutex_unlock(&node->router_lock);
}

static void handle_deadline(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	http_request_t *request = private_data;
	bool ran = request->call != NULL && !request->call->answered;

	request->deadline_timer = NULL;
	if (ran)
		end_routing(request, ROUTER_FAILED, NULL);
	/* A call that is under way may have run. */
	http_request_refuse(request,
			    ran ? EGRET__OUTCOME__OUTCOME_UNKNOWN
				: EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_DEADLINE);
}

void http_request_dispatch(http_request_t *request)
{
	usec_t now = clock_boot_usec();
	usec_t left = request->context.deadline - now;

	if (request->gone || request->answer_ready)
		return;
	if (left <= 0) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    EGRET__REASON__REASON_DEADLINE);
		return;
	}
	request->deadline_timer = worker_timer(request->worker, left + DEADLINE_GRACE,
					       handle_deadline, request);
	node_ratio_call(request->worker->node, request->service);
	start_attempt(request);
}

/* The body can be sent again only if all that was sent is still kept. */
static bool body_repeatable(const http_request_t *request)
{
	return request->body_ended && !request->streaming;
}

static bool outcome_repeatable(const http_request_t *request, const call_reply_t *reply)
{
	node_t *node = request->worker->node;

	if (reply->outcome == EGRET__OUTCOME__OUTCOME_UNKNOWN)
		return request->context.idempotent &&
		       reply->reason != EGRET__REASON__REASON_DEADLINE;
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

static bool retry_later(http_request_t *request, const call_reply_t *reply)
{
	node_t *node = request->worker->node;
	double uniform = (double)(node_random_id() >> 11) / (double)(1ull << 53);
	usec_t wait = retry_backoff(request->attempt_count - 1, uniform);
	usec_t left = request->context.deadline - clock_boot_usec();

	if (!body_repeatable(request) || !outcome_repeatable(request, reply) ||
	    wait >= left)
		return false;
	if (request->retries.left == 0 || !node_ratio_take(node, request->service)) {
		counter_add(COUNTER_RETRIES_CAPPED, 1);
		return false;
	}
	retry_take(&request->retries);
	counter_add(COUNTER_RETRIES, 1);
	if (request->excluded_count < EXCLUDED_MAX) {
		if (!request->excluded)
			request->excluded = g_malloc0(EXCLUDED_MAX * ADDRESS_TEXT_BYTES);
		g_strlcpy(request->excluded[request->excluded_count++], request->instance,
			  ADDRESS_TEXT_BYTES);
	}
	call_destroy(request->call);
	request->call = NULL;
	request->retry_timer =
		worker_timer(request->worker, wait, handle_retry_time, request);
	return true;
}

/* The call was answered: deliver, try again or refuse. */
static void take_answer(http_request_t *request)
{
	call_reply_t *reply = &request->call->reply;

	end_routing(request, router_outcome_of(reply), reply);
	retry_return(&request->retries, request->lent, reply->retries_back);
	request->lent = 0;
	if (reply->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		request->outcome = reply->outcome;
		request->status = reply->status;
		body_on_readable(request->call->reply_body, handle_reply_bytes, request);
		if (!claims_io_keep_answer(request))
			make_ready(request);
		return;
	}
	if (!retry_later(request, reply))
		http_request_refuse(request, reply->outcome, reply->reason);
}

/* --- libmicrohttpd's handlers ------------------------------------------ */

static enum MHD_Result collect_header(void *ctx, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	(void)kind;
	if (!header_is_private(name))
		headers_add(ctx, name, value ? value : "");
	return MHD_YES;
}

static enum MHD_Result collect_argument(void *ctx, enum MHD_ValueKind kind,
					const char *name, const char *value)
{
	(void)kind;
	GString *path = ctx;

	g_string_append_c(path, strchr(path->str, '?') ? '&' : '?');
	g_string_append(path, name);
	if (value)
		g_string_append_printf(path, "=%s", value);
	return MHD_YES;
}

/* libmicrohttpd turned each + of the query into a space. */
static char *rebuild_path(struct MHD_Connection *connection, const char *url)
{
	GString *path = g_string_new(url);

	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_argument,
				  path);
	char *query = strchr(path->str, '?');
	if (query)
		g_strdelimit(query, " ", '+');
	return g_string_free(path, FALSE);
}

static int64_t announced_length(struct MHD_Connection *connection)
{
	const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
							 MHD_HTTP_HEADER_CONTENT_LENGTH);

	if (length)
		return g_ascii_strtoll(length, NULL, 10);
	if (MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
					MHD_HTTP_HEADER_TRANSFER_ENCODING))
		return LENGTH_UNKNOWN;
	return 0;
}

static http_request_t *create_request(worker_t *worker, http_side_t side,
				      struct MHD_Connection *connection, const char *url,
				      const char *method)
{
	http_request_t *request = g_new0(http_request_t, 1);

	request->worker = worker;
	request->side = side;
	request->loop = side == HTTP_CALLERS ? worker->callers : worker->target;
	request->connection = connection;
	request->number =
		((uint64_t)worker->index << WORKER_SHIFT) | ++worker->next_request;
	request->method = g_strdup(method);
	request->path = rebuild_path(connection, url);
	request->headers = headers_create();
	MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_header,
				  request->headers);
	request->content_length = announced_length(connection);
	request->head_body = g_byte_array_new();
	request->arrived = clock_boot_usec();
	request->below = PRIORITY_LEVEL_ALL;
	g_hash_table_insert(worker->requests, &request->number, request);
	atomic_fetch_add(&worker->node->requests, 1);
	return request;
}

static void destroy_request(http_request_t *request)
{
	worker_t *worker = request->worker;

	if (request->suspended)
		mhd_loop_unwatch(request->loop, request->connection);
	if (request->waits_for_rate)
		accounts_io_forget(worker, request->context.account, request);
	TALLOC_FREE(request->retry_timer);
	TALLOC_FREE(request->deadline_timer);
	claims_io_adopt(request);
	if (request->call)
		call_destroy(request->call);
	request->call = NULL;
	end_routing(request, ROUTER_REFUSED, NULL);
	return_to_parent(request);
	claims_io_abandon(request);
	g_hash_table_remove(worker->requests, &request->number);
	g_ptr_array_unref(request->headers);
	if (request->replay_headers)
		g_ptr_array_unref(request->replay_headers);
	g_clear_pointer(&request->replay, g_bytes_unref);
	g_byte_array_free(request->head_body, TRUE);
	request_context_clear(&request->context);
	g_free(request->excluded);
	g_free(request->method);
	g_free(request->path);
	g_free(request->service);
	g_free(request->target_path);
	g_free(request->route);
	g_free(request);
	atomic_fetch_sub(&worker->node->requests, 1);
}

static void begin(http_request_t *request)
{
	request->prepared = true;
	if (request->side == HTTP_CALLERS)
		entry_begin(request);
	else if (request->announcement)
		announce_begin(request);
	else
		egress_begin(request);
}

/* Takes what of the upload can be held now; returns how much. */
static size_t take_upload(http_request_t *request, const char *data, size_t len)
{
	if (request->discard_body)
		return len;
	if (request->streaming)
		return request->call ? body_write(request->call->request_body, data, len)
				     : len;
	size_t room = HTTP_HEAD_BODY_BYTES - request->head_body->len;
	size_t taken = MIN(len, room);
	g_byte_array_append(request->head_body, (const guint8 *)data, (guint)taken);
	return taken;
}

static void end_upload(http_request_t *request)
{
	if (request->body_ended)
		return;
	request->body_ended = true;
	if (request->streaming && request->call)
		body_end(request->call->request_body);
}

static enum MHD_Result continue_request(http_request_t *request, const char *data,
					size_t *data_len)
{
	if (request->gone)
		return MHD_NO;
	if (*data_len > 0)
		*data_len -= take_upload(request, data, *data_len);
	else
		end_upload(request);
	bool enough =
		request->body_ended || request->head_body->len >= HTTP_HEAD_BODY_BYTES;
	if (enough && !request->prepared && !request->answer_ready)
		begin(request);
	if (request->answer_ready && request->body_ended && !request->answer_queued)
		return queue_answer(request);
	if (!connection_has_work(request))
		suspend(request);
	return MHD_YES;
}

static enum MHD_Result handle(worker_t *worker, http_side_t side,
			      struct MHD_Connection *connection, const char *url,
			      const char *method, const char *data, size_t *data_len,
			      void **state)
{
	http_request_t *request = *state;

	if (request)
		return continue_request(request, data, data_len);
	request = create_request(worker, side, connection, url, method);
	*state = request;
	bool ok = side == HTTP_CALLERS ? entry_check(request) : egress_check(request);
	if (!ok)
		return queue_answer(request);
	return MHD_YES;
}

enum MHD_Result http_request_handle_caller(void *ctx, struct MHD_Connection *connection,
					   const char *url, const char *method,
					   const char *version, const char *data,
					   size_t *data_len, void **state)
{
	(void)version;
	return handle(ctx, HTTP_CALLERS, connection, url, method, data, data_len, state);
}

enum MHD_Result http_request_handle_target(void *ctx, struct MHD_Connection *connection,
					   const char *url, const char *method,
					   const char *version, const char *data,
					   size_t *data_len, void **state)
{
	(void)version;
	return handle(ctx, HTTP_TARGET, connection, url, method, data, data_len, state);
}

void http_request_completed(void *ctx, struct MHD_Connection *connection, void **state,
			    enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)connection;
	(void)code;
	if (!*state)
		return;
	destroy_request(*state);
	*state = NULL;
}

static void cancel_here(worker_t *worker, void *ctx)
{
	http_request_t *request = http_request_find(worker, (uint64_t)(uintptr_t)ctx);

	if (!request || request->answer_ready)
		return;
	bool ran = request->call && !request->call->answered;
	http_request_refuse(request,
			    ran ? EGRET__OUTCOME__OUTCOME_UNKNOWN
				: EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_CANCELLED);
}

void http_request_cancel(node_t *node, uint64_t number)
{
	uint32_t index = (uint32_t)(number >> WORKER_SHIFT);

	worker_post(node->workers[index], cancel_here, (void *)(uintptr_t)number);
}
