#include "egretscaled/request/http_front.h"

#include "common/log.h"
#include "egretscaled/rates/rates.h"
#include "egretscaled/request/entry.h"
#include "egretscaled/request/http_attempt.h"
#include "egretscaled/request/target_reports.h"

#include <sodium.h>
#include <string.h>

#define REQUEST_ID_RANDOM_BYTES 16
#define RESPONSE_BLOCK_BYTES (32u << 10)

/* --- Response ----------------------------------------------------------- */

/* Ends a body that is incomplete. A caller with HTTP/1.0 takes a regular close as the end
 * of a body without a length, so its connection is reset. */
static ssize_t break_off_response(const http_request_t *request)
{
	if (!request->http_1_1)
		mhd_loop_reset(request->connection);
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t read_response_body(void *ctx, uint64_t position, char *buffer, size_t size)
{
	(void)position;
	http_request_t *request = ctx;

	if (!request->call)
		return break_off_response(request);
	body_t *body = request->call->reply_body;
	size_t n = body_read(body, buffer, size);
	if (n > 0)
		return (ssize_t)n;
	if (body_aborted(body))
		return break_off_response(request);
	if (body_finished(body))
		return MHD_CONTENT_READER_END_OF_STREAM;
	http_request_suspend(request);
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
	bool is_head = strcmp(request->method, "HEAD") == 0;

	if (!is_head && body_ended(body) && !body_aborted(body)) {
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
	return MHD_create_response_from_callback(size, RESPONSE_BLOCK_BYTES,
						 read_response_body, request, NULL);
}

static void add_headers(struct MHD_Response *response, const GPtrArray *headers)
{
	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		MHD_add_response_header(response, header->name, header->value);
	}
}

static void add_response_header(void *ctx, const char *name, const char *value)
{
	MHD_add_response_header(ctx, name, value);
}

static struct MHD_Response *refusal_response(const http_request_t *request)
{
	refusal_t refusal = http_request_refusal(request);
	char text[64];

	g_snprintf(text, sizeof(text), "%s\n", reason_name(request->reason));
	struct MHD_Response *response = buffer_response((uint8_t *)text, strlen(text));
	MHD_add_response_header(response, "Content-Type", "text/plain");
	http_request_dialect(request)->add_refusal_headers(&refusal, add_response_header,
							   response);
	return response;
}

/* While the node stops, its callers are to use other nodes. Its target is not: the calls
 * that it makes for the requests that it still runs go through this node. */
static bool closes_connection(const http_request_t *request)
{
	if (mhd_loop_is_crowded(request->loop))
		return true;
	return request->listener == HTTP_LISTENER_CALLERS && !request->from_target &&
	       atomic_load(&request->worker->node->draining);
}

static bool response_fits(const http_request_t *request)
{
	const GPtrArray *headers = request->response_body ? request->response_headers
							  : request->call->reply.headers;

	return headers_bytes(headers) <= mhd_response_headers_max(request->connection);
}

/* Replaces a response whose headers do not fit next to the request's. */
static void discard_response(http_request_t *request)
{
	log_rec_t rec;

	g_clear_pointer(&request->response_body, g_bytes_unref);
	if (request->call)
		call_destroy(request->call);
	request->call = NULL;
	request->outcome = EGRET__OUTCOME__OUTCOME_UNKNOWN;
	request->reason = EGRET__REASON__REASON_NONE;
	refusal_t refusal = http_request_refusal(request);
	request->status = http_request_dialect(request)->refusal_status(&refusal);
	log_begin(&rec, LOG_LEVEL_WARN, "oversized");
	log_str(&rec, "request", request->context.request_id);
	log_str(&rec, "instance", request->instance);
	log_end(&rec);
}

static enum MHD_Result queue_response(http_request_t *request)
{
	struct MHD_Response *response;

	if (request->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED &&
	    !response_fits(request))
		discard_response(request);
	if (request->response_body) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(request->response_body, &len);
		response = buffer_response(data, len);
		add_headers(response, request->response_headers);
	} else if (request->outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		response = call_response(request);
		add_headers(response, request->call->reply.headers);
	} else {
		response = refusal_response(request);
	}
	http_request_dialect(request)->add_outcome_headers(request->outcome,
							   add_response_header, response);
	if (closes_connection(request))
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	request->response_queued = true;
	enum MHD_Result result =
		MHD_queue_response(request->connection, request->status, response);
	MHD_destroy_response(response);
	return result;
}

/* --- Request ------------------------------------------------------------ */

static enum MHD_Result collect_header(void *ctx, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	(void)kind;
	http_request_t *request = ctx;

	if (!header_is_stripped(name) &&
	    !http_request_dialect(request)->strips_request_header(name))
		headers_add(request->headers, name, value ? value : "");
	return MHD_YES;
}

static const char *lookup_header(void *ctx, const char *name)
{
	return MHD_lookup_connection_value(ctx, MHD_HEADER_KIND, name);
}

static enum MHD_Result append_query_argument(void *ctx, enum MHD_ValueKind kind,
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

/* libmicrohttpd decodes each + of the query to a space, which is undone here. */
static char *rebuild_path(struct MHD_Connection *connection, const char *url)
{
	GString *path = g_string_new(url);

	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
				  append_query_argument, path);
	char *query = strchr(path->str, '?');
	if (query)
		g_strdelimit(query, " ", '+');
	return g_string_free(path, FALSE);
}

static int64_t declared_length(struct MHD_Connection *connection)
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

static mhd_loop_t *loop_for(worker_t *worker, http_listener_t listener,
			    struct MHD_Connection *connection)
{
	if (listener == HTTP_LISTENER_CALLERS)
		return worker_caller_loop(worker, connection);
	return listener == HTTP_LISTENER_TARGET ? worker->target_loop
						: worker->report_loop;
}

static http_request_t *create_request(worker_t *worker, http_listener_t listener,
				      struct MHD_Connection *connection, const char *url,
				      const char *method)
{
	http_request_t *request = g_new0(http_request_t, 1);

	request->worker = worker;
	request->listener = listener;
	request->loop = loop_for(worker, listener, connection);
	request->connection = connection;
	request->number =
		((uint64_t)worker->index << HTTP_WORKER_SHIFT) | ++worker->next_request;
	request->method = g_strdup(method);
	request->path = rebuild_path(connection, url);
	request->headers = headers_create();
	MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_header, request);
	request->host = g_strdup(lookup_header(connection, MHD_HTTP_HEADER_HOST));
	request->headers_valid = http_request_dialect(request)->read_request(
		lookup_header, connection, &request->parsed_headers);
	set_request_id(request);
	request->content_length = declared_length(connection);
	request->buffered_body = g_byte_array_new();
	request->arrived_at = clock_boot_usec();
	request->downstream_level = PRIORITY_LEVEL_ALL;
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

static void begin_request(http_request_t *request)
{
	request->begun = true;
	if (request->listener == HTTP_LISTENER_CALLERS)
		entry_begin(request);
	else if (request->is_target_report)
		target_reports_handle(request);
	else
		outbound_begin(request);
}

/* Returns how many bytes of the upload were accepted; libmicrohttpd presents the rest
 * again. */
static size_t receive_upload(http_request_t *request, const char *data, size_t len)
{
	if (request->discard_body)
		return len;
	if (request->streaming)
		return request->call ? body_write(request->call->request_body, data, len)
				     : len;
	size_t room = HTTP_BUFFERED_BODY_BYTES - request->buffered_body->len;
	size_t accepted = MIN(len, room);
	g_byte_array_append(request->buffered_body, (const guint8 *)data,
			    (guint)accepted);
	return accepted;
}

static void end_upload(http_request_t *request)
{
	if (request->body_ended)
		return;
	request->body_ended = true;
	if (request->streaming && request->call)
		body_end(request->call->request_body);
}

/* Whether the client gave up while its request waited to be read. A report of the target
 * is valid even so. */
static bool is_abandoned(const http_request_t *request)
{
	return request->listener != HTTP_LISTENER_REPORTS && !request->is_target_report &&
	       mhd_client_hung_up(request->connection);
}

static enum MHD_Result continue_request(http_request_t *request, const char *data,
					size_t *data_len)
{
	if (request->aborted)
		return MHD_NO;
	if (*data_len > 0)
		*data_len -= receive_upload(request, data, *data_len);
	else
		end_upload(request);
	bool can_begin = request->body_ended ||
			 request->buffered_body->len >= HTTP_BUFFERED_BODY_BYTES;
	if (can_begin && !request->begun && !request->response_ready) {
		if (is_abandoned(request))
			return MHD_NO;
		begin_request(request);
	}
	if (request->response_ready && request->body_ended && !request->response_queued)
		return queue_response(request);
	if (!http_request_has_work(request))
		http_request_suspend(request);
	return MHD_YES;
}

static enum MHD_Result handle_request(worker_t *worker, http_listener_t listener,
				      struct MHD_Connection *connection, const char *url,
				      const char *method, const char *version,
				      const char *data, size_t *data_len, void **state)
{
	http_request_t *request = *state;

	if (request)
		return continue_request(request, data, data_len);
	request = create_request(worker, listener, connection, url, method);
	*state = request;
	request->http_1_1 = strcmp(version, MHD_HTTP_VERSION_1_1) == 0;
	if (listener == HTTP_LISTENER_REPORTS)
		request->is_target_report = true;
	else if (!(listener == HTTP_LISTENER_CALLERS ? entry_check(request)
						     : outbound_check(request)))
		return queue_response(request);
	return MHD_YES;
}

enum MHD_Result http_front_handle_caller(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state)
{
	return handle_request(ctx, HTTP_LISTENER_CALLERS, connection, url, method,
			      version, data, data_len, state);
}

enum MHD_Result http_front_handle_target(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state)
{
	return handle_request(ctx, HTTP_LISTENER_TARGET, connection, url, method, version,
			      data, data_len, state);
}

enum MHD_Result http_front_handle_report(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state)
{
	return handle_request(ctx, HTTP_LISTENER_REPORTS, connection, url, method,
			      version, data, data_len, state);
}

void http_front_handle_completed(void *ctx, struct MHD_Connection *connection,
				 void **state, enum MHD_RequestTerminationCode code)
{
	(void)ctx;
	(void)connection;
	(void)code;
	if (!*state)
		return;
	destroy_request(*state);
	*state = NULL;
}

void http_front_cancel_requests(worker_t *worker)
{
	GList *requests = g_hash_table_get_values(worker->requests);

	for (GList *item = requests; item; item = item->next) {
		http_request_t *request = item->data;
		bool may_have_run = http_request_may_have_run(request);

		if (!request->aborted && !request->is_target_report)
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

void http_front_abort_requests(worker_t *worker)
{
	GList *requests = g_hash_table_get_values(worker->requests);

	for (GList *item = requests; item; item = item->next) {
		http_request_t *request = item->data;

		if (!request->aborted)
			log_cut(request);
		if (request->suspended)
			mhd_loop_unwatch(request->loop, request->connection);
		http_request_abort(request);
	}
	g_list_free(requests);
}
