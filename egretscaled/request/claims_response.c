#include "common/log.h"
#include "egretscaled/request/claim_handle.h"

#include <stdlib.h>

#define READ_BUFFER_BYTES 16384

/* Releases the reference that belongs to a call adopted from a request. */
static void release_adopted_call(claim_handle_t *handle)
{
	if (handle->adopted_call)
		claim_handle_unref(handle);
}

static void deliver_response(claim_handle_t *handle)
{
	http_request_t *request = claim_handle_request(handle);

	if (!request)
		return;
	GBytes *body =
		g_bytes_new(handle->response_body->data, handle->response_body->len);
	GPtrArray *headers = handle->response.headers
				     ? g_ptr_array_ref(handle->response.headers)
				     : headers_create();
	http_request_respond(request, handle->response.status, headers, body);
	g_bytes_unref(body);
}

static void handle_response_stored(void *ctx, uint64_t revision, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;

	if (error)
		log_failure("store the response of an idempotency key", error);
	deliver_response(handle);
	release_adopted_call(handle);
	claim_handle_unref(handle);
}

static void commit_response(claim_handle_t *handle, const char *object)
{
	claim_row_t row = {.state = CLAIM_DONE,
			   .fingerprint = handle->fingerprint,
			   .owner = handle->owner,
			   .status = handle->response.status,
			   .headers = handle->response.headers,
			   .object = (char *)object};

	if (!object)
		row.body = g_bytes_new(handle->response_body->data,
				       handle->response_body->len);
	char *value = claim_row_encode(&row);
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = handle->revision,
			       .value = value};
	store_commit(handle->worker->store, &write, 1, handle_response_stored, handle);
	free(value);
	if (row.body)
		g_bytes_unref(row.body);
}

static char *object_name(const claim_handle_t *handle)
{
	return g_strdup_printf("claim-%016" G_GINT64_MODIFIER "x", handle->owner);
}

static void handle_object_stored(void *ctx, const uint8_t *data, size_t len,
				 const GError *error)
{
	(void)data;
	(void)len;
	claim_handle_t *handle = ctx;

	if (error) {
		handle_response_stored(handle, 0, error);
		return;
	}
	char *name = object_name(handle);
	commit_response(handle, name);
	g_free(name);
}

/* The response is complete: stores it, then delivers it to the caller. */
static void store_response(claim_handle_t *handle)
{
	handle->settled = true;
	handle->references++;
	if (handle->response_body->len <= CLAIM_INLINE_MAX_BYTES) {
		commit_response(handle, NULL);
		return;
	}
	char *name = object_name(handle);
	store_object_put(handle->worker->store, name, handle->response_body->data,
			 handle->response_body->len, handle_object_stored, handle);
	g_free(name);
}

static call_t *current_call(const claim_handle_t *handle)
{
	http_request_t *request = claim_handle_request(handle);

	if (handle->adopted_call)
		return handle->adopted_call;
	return request ? request->call : NULL;
}

static void handle_incomplete_response(worker_t *worker, void *ctx)
{
	(void)worker;
	claim_handle_t *handle = ctx;
	http_request_t *request = claim_handle_request(handle);

	if (request)
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_UNKNOWN,
				    EGRET__REASON__REASON_TARGET_LOST);
	release_adopted_call(handle);
	claim_handle_unref(handle);
}

static void collect_response(void *ctx)
{
	claim_handle_t *handle = ctx;
	call_t *call = current_call(handle);
	uint8_t buffer[READ_BUFFER_BYTES];
	size_t n;

	if (!call || handle->settled)
		return;
	while ((n = body_read(call->reply_body, buffer, sizeof(buffer))) > 0)
		g_byte_array_append(handle->response_body, buffer, (guint)n);
	if (handle->response_body->len > CLAIM_RESPONSE_MAX_BYTES ||
	    body_aborted(call->reply_body)) {
		/* The response is too long or truncated. The row stays, since the request
		 * ran and its response is unknown. */
		handle->settled = true;
		handle->references++;
		worker_defer(handle->worker, handle_incomplete_response, handle);
	} else if (body_finished(call->reply_body)) {
		store_response(handle);
	}
}

static void start_collecting(claim_handle_t *handle, call_t *call)
{
	handle->response = call->reply;
	if (handle->response.headers)
		g_ptr_array_ref(handle->response.headers);
	handle->response_body = g_byte_array_new();
	body_on_readable(call->reply_body, collect_response, handle);
	collect_response(handle);
}

bool claim_handle_store_response(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle || !handle->claimed)
		return false;
	start_collecting(handle, request->call);
	return true;
}

/* --- Adopting the call of an aborted request ----------------------------- */

static void handle_adopted_reply(worker_t *worker, void *ctx)
{
	(void)worker;
	claim_handle_t *handle = ctx;

	if (handle->adopted_call->reply.outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		start_collecting(handle, handle->adopted_call);
		return;
	}
	if (handle->adopted_call->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		claim_handle_release_row(handle);
	claim_handle_unref(handle);
}

static void handle_reply(call_t *call, void *ctx)
{
	(void)call;
	claim_handle_t *handle = ctx;

	worker_defer(handle->worker, handle_adopted_reply, handle);
}

void claim_handle_adopt_call(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle || !handle->claimed || handle->settled || !request->call ||
	    request->response_ready)
		return;
	/* This reference is held until the adopted call ends. */
	handle->references++;
	handle->adopted_call = request->call;
	handle->request_number = 0;
	request->call = NULL;
	/* A stop waits for the call although its request is freed. */
	atomic_fetch_add(&request->worker->node->requests, 1);
	if (handle->response_body) {
		body_on_readable(handle->adopted_call->reply_body, collect_response,
				 handle);
	} else if (handle->adopted_call->replied) {
		worker_defer(handle->worker, handle_adopted_reply, handle);
	} else {
		handle->adopted_call->on_reply = handle_reply;
		handle->adopted_call->on_reply_ctx = handle;
	}
}
