#include "common/log.h"
#include "egretscaled/request/claim_handle.h"

#include <stdlib.h>

#define READ_BYTES 16384

/* Ends the use of a call that was taken over from a request. */
static void end_adoption(claim_handle_t *handle)
{
	if (handle->call)
		claim_handle_unref(handle);
}

static void deliver_kept(claim_handle_t *handle)
{
	http_request_t *request = claim_handle_request(handle);

	if (!request)
		return;
	GBytes *body = g_bytes_new(handle->answer->data, handle->answer->len);
	GPtrArray *headers = handle->reply.headers
				     ? g_ptr_array_ref(handle->reply.headers)
				     : headers_create();
	http_request_replay(request, handle->reply.status, headers, body);
	g_bytes_unref(body);
}

static void handle_kept(void *ctx, uint64_t revision, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;

	if (error)
		log_failure("keep the answer of an idempotency key", error);
	deliver_kept(handle);
	end_adoption(handle);
	claim_handle_unref(handle);
}

static void commit_answer(claim_handle_t *handle, const char *object)
{
	claim_row_t row = {.state = CLAIM_DONE,
			   .fingerprint = handle->fingerprint,
			   .owner = handle->owner,
			   .status = handle->reply.status,
			   .headers = handle->reply.headers,
			   .object = (char *)object};

	if (!object)
		row.body = g_bytes_new(handle->answer->data, handle->answer->len);
	char *value = claim_row_encode(&row);
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = handle->revision,
			       .value = value};
	store_commit(handle->worker->store, &write, 1, handle_kept, handle);
	free(value);
	if (row.body)
		g_bytes_unref(row.body);
}

static char *object_name(const claim_handle_t *handle)
{
	return g_strdup_printf("claim-%016" G_GINT64_MODIFIER "x", handle->owner);
}

static void handle_object_put(void *ctx, const uint8_t *data, size_t len,
			      const GError *error)
{
	(void)data;
	(void)len;
	claim_handle_t *handle = ctx;

	if (error) {
		handle_kept(handle, 0, error);
		return;
	}
	char *name = object_name(handle);
	commit_answer(handle, name);
	g_free(name);
}

/* The answer is whole: keep it, then give it to the caller. */
static void keep(claim_handle_t *handle)
{
	handle->settled = true;
	handle->references++;
	if (handle->answer->len <= CLAIM_INLINE_MAX_BYTES) {
		commit_answer(handle, NULL);
		return;
	}
	char *name = object_name(handle);
	store_object_put(handle->worker->store, name, handle->answer->data,
			 handle->answer->len, handle_object_put, handle);
	g_free(name);
}

static call_t *call_of(const claim_handle_t *handle)
{
	http_request_t *request = claim_handle_request(handle);

	if (handle->call)
		return handle->call;
	return request ? request->call : NULL;
}

static void handle_answer_cut(worker_t *worker, void *ctx)
{
	(void)worker;
	claim_handle_t *handle = ctx;
	http_request_t *request = claim_handle_request(handle);

	if (request)
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_UNKNOWN,
				    EGRET__REASON__REASON_TARGET_LOST);
	end_adoption(handle);
	claim_handle_unref(handle);
}

static void collect(void *ctx)
{
	claim_handle_t *handle = ctx;
	call_t *call = call_of(handle);
	uint8_t buffer[READ_BYTES];
	size_t n;

	if (!call || handle->settled)
		return;
	while ((n = body_read(call->reply_body, buffer, sizeof(buffer))) > 0)
		g_byte_array_append(handle->answer, buffer, (guint)n);
	if (handle->answer->len > CLAIM_RESPONSE_MAX_BYTES ||
	    body_aborted(call->reply_body)) {
		/* The row stays: it ran, and its answer is not known. */
		handle->settled = true;
		handle->references++;
		worker_defer(handle->worker, handle_answer_cut, handle);
	} else if (body_finished(call->reply_body)) {
		keep(handle);
	}
}

static void start_collecting(claim_handle_t *handle, call_t *call)
{
	handle->reply = call->reply;
	if (handle->reply.headers)
		g_ptr_array_ref(handle->reply.headers);
	handle->answer = g_byte_array_new();
	body_on_readable(call->reply_body, collect, handle);
	collect(handle);
}

bool claim_handle_keep_answer(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle || !handle->claimed)
		return false;
	start_collecting(handle, request->call);
	return true;
}

/* --- A caller that goes away -------------------------------------------- */

static void handle_adopted_answer(worker_t *worker, void *ctx)
{
	(void)worker;
	claim_handle_t *handle = ctx;

	if (handle->call->reply.outcome == EGRET__OUTCOME__OUTCOME_ANSWERED) {
		start_collecting(handle, handle->call);
		return;
	}
	if (handle->call->reply.outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		claim_handle_release_row(handle);
	claim_handle_unref(handle);
}

static void handle_answered(call_t *call, void *ctx)
{
	(void)call;
	claim_handle_t *handle = ctx;

	worker_defer(handle->worker, handle_adopted_answer, handle);
}

void claim_handle_adopt(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle || !handle->claimed || handle->settled || !request->call ||
	    request->answer_ready)
		return;
	/* This reference ends with the adopted call. */
	handle->references++;
	handle->call = request->call;
	handle->request = 0;
	request->call = NULL;
	if (handle->answer) {
		body_on_readable(handle->call->reply_body, collect, handle);
	} else if (handle->call->replied) {
		worker_defer(handle->worker, handle_adopted_answer, handle);
	} else {
		handle->call->on_reply = handle_answered;
		handle->call->on_reply_ctx = handle;
	}
}
