#include "egretscaled/request/http_front.h"

#include "common/log.h"
#include "egretscaled/rates/rates.h"
#include "egretscaled/request/entry.h"
#include "egretscaled/request/http_attempt.h"
#include "egretscaled/request/target_reports.h"

#include <sodium.h>
#include <string.h>

#define REQUEST_ID_RANDOM_BYTES 16

/* --- Response ----------------------------------------------------------- */

static ssize_t read_response(void *ctx, char *buffer, size_t size)
{
	http_request_t *request = ctx;

	if (!request->call)
		return HTTP_RESPONSE_FAILS;
	body_t *body = request->call->reply_body;
	size_t n = body_read(body, buffer, size);
	if (n > 0)
		return (ssize_t)n;
	if (body_aborted(body))
		return HTTP_RESPONSE_FAILS;
	return body_finished(body) ? HTTP_RESPONSE_ENDS : HTTP_RESPONSE_WAITS;
}

static void add_headers(http_exchange_t *exchange, const GPtrArray *headers)
{
	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		http_exchange_add_header(exchange, header->name, header->value);
	}
}

static void add_response_header(void *ctx, const char *name, const char *value)
{
	http_exchange_add_header(ctx, name, value);
}

static void send_text(http_exchange_t *exchange, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));

	http_exchange_send_body(exchange, body);
	g_bytes_unref(body);
}

static void send_refusal(http_request_t *request)
{
	http_exchange_t *exchange = request->exchange;
	refusal_t refusal = http_request_refusal(request);
	char text[64];

	http_exchange_add_header(exchange, "Content-Type", "text/plain");
	http_request_dialect(request)->add_refusal_headers(&refusal, add_response_header,
							   exchange);
	g_snprintf(text, sizeof(text), "%s\n", reason_name(request->reason));
	send_text(exchange, text);
}

static void send_call_body(http_request_t *request)
{
	body_t *body = request->call->reply_body;

	if (!body_ended(body) || body_aborted(body) ||
	    strcmp(request->method, "HEAD") == 0) {
		int64_t length = request->call->reply.content_length;
		http_exchange_stream_body(request->exchange,
					  length >= 0 ? length : REQUEST_LENGTH_UNKNOWN);
		return;
	}
	size_t len = body_pending(body);
	uint8_t *copy = g_malloc(len + 1);
	body_read(body, copy, len);
	GBytes *bytes = g_bytes_new_take(copy, len);
	http_exchange_send_body(request->exchange, bytes);
	g_bytes_unref(bytes);
}

/* While the node stops, its callers are to use other nodes. Its target is not: the calls
 * that it makes for the requests that it still runs go through this node. */
static bool closes_connection(void *ctx)
{
	const http_request_t *request = ctx;

	if (http_server_is_crowded(request->server))
		return true;
	return request->listener == HTTP_LISTENER_CALLERS && !request->from_target &&
	       atomic_load(&request->worker->node->draining);
}

static void send_response(http_request_t *request)
{
	http_exchange_t *exchange = request->exchange;

	request->response_queued = true;
	http_exchange_respond(exchange, request->status);
	http_request_dialect(request)->add_outcome_headers(request->outcome,
							   add_response_header, exchange);
	if (request->response_body) {
		add_headers(exchange, request->response_headers);
		http_exchange_send_body(exchange, request->response_body);
	} else if (request->call) {
		add_headers(exchange, request->call->reply.headers);
		send_call_body(request);
	} else {
		send_refusal(request);
	}
}

/* A client that waits for 100 Continue gets a refusal instead. */
static bool may_send_response(const http_request_t *request)
{
	const request_head_t *head = http_exchange_head(request->exchange);

	return request->response_ready && !request->response_queued &&
	       (request->body_ended || (head->expects_continue && !request->body_begun));
}

static void handle_wake(void *ctx)
{
	http_request_t *request = ctx;

	if (may_send_response(request))
		send_response(request);
}

/* --- Request ------------------------------------------------------------ */

static void collect_headers(http_request_t *request, const request_head_t *head)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const header_t *header = head->headers->pdata[i];
		if (!header_is_stripped(header->name) &&
		    !http_request_dialect(request)->strips_request_header(header->name))
			headers_add(request->headers, header->name, header->value);
	}
}

static const char *lookup_header(void *ctx, const char *name)
{
	return headers_find(ctx, name);
}

/* Uses the client's request id, or a random one. */
static void set_request_id(http_request_t *request)
{
	uint8_t bytes[REQUEST_ID_RANDOM_BYTES];
	char text[2 * REQUEST_ID_RANDOM_BYTES + 1];

	if (request->headers_valid && request->parsed_headers.id) {
		request->context.request_id = g_strdup(request->parsed_headers.id);
		return;
	}
	randombytes_buf(bytes, sizeof(bytes));
	request->context.request_id =
		g_strdup(sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes)));
}

static http_server_t *server_for(const worker_t *worker, http_listener_t listener)
{
	if (listener == HTTP_LISTENER_CALLERS)
		return worker->caller_server;
	return listener == HTTP_LISTENER_TARGET ? worker->target_server
						: worker->report_server;
}

static http_request_t *create_request(worker_t *worker, http_listener_t listener,
				      http_exchange_t *exchange)
{
	const request_head_t *head = http_exchange_head(exchange);
	http_request_t *request = g_new0(http_request_t, 1);

	request->worker = worker;
	request->listener = listener;
	request->server = server_for(worker, listener);
	request->exchange = exchange;
	request->number =
		((uint64_t)worker->index << HTTP_WORKER_SHIFT) | ++worker->next_request;
	request->method = g_strdup(head->method);
	request->path = g_strdup(head->path);
	request->headers = headers_create();
	collect_headers(request, head);
	request->host = g_strdup(headers_find(head->headers, "Host"));
	request->headers_valid = http_request_dialect(request)->read_request(
		lookup_header, head->headers, &request->parsed_headers);
	set_request_id(request);
	request->content_length = head->content_length;
	request->body_ended = http_exchange_error(exchange) != 0;
	request->buffered_body = g_byte_array_new();
	request->arrived_at = clock_boot_usec();
	request->downstream_level = PRIORITY_LEVEL_ALL;
	g_hash_table_insert(worker->requests, &request->number, request);
	atomic_fetch_add(&worker->node->requests, 1);
	return request;
}

static void destroy_request(void *ctx)
{
	http_request_t *request = ctx;
	worker_t *worker = request->worker;

	if (request->waits_for_rate)
		rates_cancel(worker, request->context.account, request);
	TALLOC_FREE(request->retry_timer);
	TALLOC_FREE(request->deadline_timer);
	if (request->claim)
		request->claim_ops->on_abort(request);
	if (request->call)
		call_destroy(request->call);
	request->call = NULL;
	http_attempt_end_routing(request, ROUTER_REFUSED, NULL);
	http_request_report_to_parent(request);
	if (request->claim)
		request->claim_ops->on_free(request);
	g_hash_table_remove(worker->requests, &request->number);
	g_ptr_array_unref(request->headers);
	if (request->response_headers)
		g_ptr_array_unref(request->response_headers);
	g_clear_pointer(&request->response_body, g_bytes_unref);
	g_byte_array_free(request->buffered_body, TRUE);
	request_context_clear(&request->context);
	g_free(request->excluded);
	g_free(request->method);
	g_free(request->path);
	g_free(request->host);
	g_free(request->service);
	g_free(request->target_path);
	g_free(request->route);
	g_free(request);
	atomic_fetch_sub(&worker->node->requests, 1);
}

static size_t request_body_room(void *ctx)
{
	const http_request_t *request = ctx;

	if (request->discard_body)
		return SIZE_MAX;
	if (request->streaming)
		return request->call ? body_room(request->call->request_body) : SIZE_MAX;
	return HTTP_BUFFERED_BODY_BYTES - request->buffered_body->len;
}

static void receive_body(void *ctx, const char *data, size_t len)
{
	http_request_t *request = ctx;

	request->body_begun = true;
	if (request->discard_body)
		return;
	if (request->streaming) {
		if (request->call)
			body_write(request->call->request_body, data, len);
		return;
	}
	g_byte_array_append(request->buffered_body, (const guint8 *)data, (guint)len);
	if (request->buffered_body->len >= HTTP_BUFFERED_BODY_BYTES)
		http_exchange_set_startable(request->exchange);
}

static void end_body(void *ctx)
{
	http_request_t *request = ctx;

	request->body_ended = true;
	if (request->streaming && request->call && !request->discard_body)
		body_end(request->call->request_body);
	if (may_send_response(request))
		send_response(request);
	else
		http_exchange_set_startable(request->exchange);
}

/* Whether the client gave up while its request waited to be read. A report of the target
 * is valid even so. */
static bool is_abandoned(const http_request_t *request)
{
	return request->listener != HTTP_LISTENER_REPORTS && !request->is_target_report &&
	       http_exchange_client_gone(request->exchange);
}

static void start_request(void *ctx)
{
	http_request_t *request = ctx;

	if (request->response_ready)
		return;
	if (is_abandoned(request)) {
		http_exchange_drop(request->exchange);
		return;
	}
	request->begun = true;
	if (request->listener == HTTP_LISTENER_CALLERS)
		entry_begin(request);
	else if (request->is_target_report)
		target_reports_handle(request);
	else
		outbound_begin(request);
}

static Egret__Reason reason_of_error(unsigned int error)
{
	if (error == HTTP_STATUS_NO_MEMORY)
		return EGRET__REASON__REASON_SHED;
	return error == HTTP_STATUS_HEAD_TOO_LARGE ? EGRET__REASON__REASON_TOO_LARGE
						   : EGRET__REASON__REASON_BAD_REQUEST;
}

static bool check_request(http_request_t *request)
{
	unsigned int error = http_exchange_error(request->exchange);

	if (error) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    reason_of_error(error));
		return false;
	}
	if (request->listener == HTTP_LISTENER_REPORTS) {
		request->is_target_report = true;
		return true;
	}
	return request->listener == HTTP_LISTENER_CALLERS ? entry_check(request)
							  : outbound_check(request);
}

static void *receive_request(worker_t *worker, http_listener_t listener,
			     http_exchange_t *exchange)
{
	http_request_t *request = create_request(worker, listener, exchange);

	if (check_request(request) && request->context.idempotent)
		http_exchange_set_repeatable(exchange);
	return request;
}

static void *receive_from_caller(void *ctx, http_exchange_t *exchange)
{
	return receive_request(ctx, HTTP_LISTENER_CALLERS, exchange);
}

static void *receive_from_target(void *ctx, http_exchange_t *exchange)
{
	return receive_request(ctx, HTTP_LISTENER_TARGET, exchange);
}

static void *receive_report(void *ctx, http_exchange_t *exchange)
{
	return receive_request(ctx, HTTP_LISTENER_REPORTS, exchange);
}

const http_server_ops_t *http_front_ops(http_listener_t listener)
{
	static http_server_ops_t ops[] = {
		[HTTP_LISTENER_CALLERS] = {.on_request = receive_from_caller},
		[HTTP_LISTENER_TARGET] = {.on_request = receive_from_target},
		[HTTP_LISTENER_REPORTS] = {.on_request = receive_report},
	};
	http_server_ops_t *table = &ops[listener];

	table->body_room = request_body_room;
	table->on_body = receive_body;
	table->on_body_end = end_body;
	table->on_start = start_request;
	table->on_wake = handle_wake;
	table->closes = closes_connection;
	table->read_response = read_response;
	table->on_closed = destroy_request;
	return table;
}

void http_front_cancel_requests(worker_t *worker)
{
	GList *requests = g_hash_table_get_values(worker->requests);

	for (GList *item = requests; item; item = item->next) {
		http_request_t *request = item->data;
		bool may_have_run = http_request_may_have_run(request);

		if (!request->is_target_report)
			http_request_refuse(request,
					    may_have_run
						    ? EGRET__OUTCOME__OUTCOME_UNKNOWN
						    : EGRET__OUTCOME__OUTCOME_NOT_RUN,
					    EGRET__REASON__REASON_DRAINING);
	}
	g_list_free(requests);
}

static const char *state_name(const http_request_t *request)
{
	if (request->response_queued)
		return "responding";
	if (!request->begun)
		return "reading";
	return request->call ? "called" : "waiting";
}

/* `since_arrival` and `since_stop` are in microseconds. A request that arrived before the
 * stop has the larger `since_arrival`. */
static void log_cut(const http_request_t *request)
{
	usec_t now = clock_boot_usec();
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_WARN, "cut");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "service", request->service);
	log_str(&rec, "state", state_name(request));
	log_str(&rec, "instance", request->instance);
	log_int(&rec, "attempts", request->attempt_count);
	log_int(&rec, "since_arrival", now - request->arrived_at);
	log_int(&rec, "since_stop", node_stop_elapsed(request->worker->node));
	log_end(&rec);
}

void http_front_log_cut_requests(worker_t *worker)
{
	GList *requests = g_hash_table_get_values(worker->requests);

	for (GList *item = requests; item; item = item->next)
		log_cut(item->data);
	g_list_free(requests);
}
