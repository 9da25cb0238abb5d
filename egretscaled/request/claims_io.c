#include "egretscaled/request/claims_io.h"

#include "common/counters.h"
#include "common/error.h"
#include "egretscaled/request/claim_handle.h"
#include "egretscaled/request/http_attempt.h"

#include <stdlib.h>
#include <string.h>

#define BATCH_MAX_CLAIMS 64
#define RELEASE_ATTEMPTS_MAX 8
/* Base delay between attempts to release a row; doubled with each attempt. */
#define RELEASE_RETRY_DELAY (500 * USEC_PER_MSEC)

struct claim_batch {
	worker_t *worker;
	GQueue pending; /* of claim_handle_t, for the next commit */
	bool committing;
};

/* The claims of one commit in flight. */
typedef struct claim_commit {
	claim_batch_t *batch;
	GPtrArray *handles;
} claim_commit_t;

claim_batch_t *claim_batch_create(worker_t *worker)
{
	claim_batch_t *batch = g_new0(claim_batch_t, 1);

	batch->worker = worker;
	g_queue_init(&batch->pending);
	return batch;
}

void claim_batch_destroy(claim_batch_t *batch)
{
	if (!batch)
		return;
	g_queue_clear(&batch->pending);
	g_free(batch);
}

void claim_handle_unref(claim_handle_t *handle)
{
	if (--handle->references > 0)
		return;
	if (handle->adopted_call) {
		call_destroy(handle->adopted_call);
		atomic_fetch_sub(&handle->worker->node->requests, 1);
	}
	if (handle->response_body)
		g_byte_array_free(handle->response_body, TRUE);
	if (handle->response.headers)
		g_ptr_array_unref(handle->response.headers);
	g_free(handle->row_key);
	g_free(handle);
}

http_request_t *claim_handle_request(const claim_handle_t *handle)
{
	return handle->request_number
		       ? http_request_find(handle->worker, handle->request_number)
		       : NULL;
}

static void refuse(const claim_handle_t *handle, Egret__Reason reason)
{
	http_request_t *request = claim_handle_request(handle);

	if (request)
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN, reason);
}

/* --- Releasing a claim whose request did not run ------------------------ */

static void start_release(claim_handle_t *handle);

static void handle_release_timer(struct tevent_context *ev, struct tevent_timer *te,
				 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	start_release(private_data);
}

static void retry_release(claim_handle_t *handle)
{
	if (++handle->release_attempts >= RELEASE_ATTEMPTS_MAX) {
		claim_handle_unref(handle);
		return;
	}
	worker_timer(handle->worker, RELEASE_RETRY_DELAY << handle->release_attempts,
		     handle_release_timer, handle);
}

static void handle_release_commit(void *ctx, uint64_t revision, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;

	if (error && error->code != EGRET_ERROR_CONFLICT) {
		retry_release(handle);
		return;
	}
	claim_handle_unref(handle);
}

static void handle_row_to_release(void *ctx, uint64_t revision, const store_row_t *rows,
				  size_t count, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;
	claim_row_t row;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		retry_release(handle);
		return;
	}
	if (count == 0 || !rows[0].value || !claim_row_decode(rows[0].value, &row)) {
		claim_handle_unref(handle);
		return;
	}
	bool is_own = row.owner == handle->owner && row.state == CLAIM_RUNNING;
	claim_row_clear(&row);
	if (!is_own) {
		claim_handle_unref(handle);
		return;
	}
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = rows[0].revision};
	store_commit(handle->worker->store, &write, 1, handle_release_commit, handle);
}

/* Deletes the row if it still holds this claim. Uses up one reference. */
static void start_release(claim_handle_t *handle)
{
	store_get(handle->worker->store, handle->row_key, handle_row_to_release, handle);
}

void claim_handle_release_row(claim_handle_t *handle)
{
	if (handle->settled)
		return;
	handle->settled = true;
	handle->references++;
	start_release(handle);
}

/* --- Claiming ----------------------------------------------------------- */

static void commit_batch(claim_batch_t *batch);
static void read_existing_row(claim_handle_t *handle);

static void handle_response_object(void *ctx, const uint8_t *data, size_t len,
				   const GError *error);

static void handle_existing_row(void *ctx, uint64_t revision, const store_row_t *rows,
				size_t count, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;
	http_request_t *request = claim_handle_request(handle);
	claim_row_t row = {0};

	if (!request || error || count != 1) {
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
		claim_handle_unref(handle);
		return;
	}
	if (!rows[0].value) {
		/* A tombstone: an earlier request with the key did not run. Claim it
		 * again. */
		handle->expected_revision = rows[0].revision;
		g_queue_push_tail(&handle->worker->claims->pending, handle);
		commit_batch(handle->worker->claims);
		return;
	}
	if (!claim_row_decode(rows[0].value, &row)) {
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
		claim_handle_unref(handle);
		return;
	}
	switch (claim_check(&row, handle->fingerprint)) {
	case CLAIM_REPLAY:
		counter_add(COUNTER_CLAIM_REPLAYS, 1);
		http_request_respond(request, row.status, g_ptr_array_ref(row.headers),
				     row.body);
		break;
	case CLAIM_FETCH:
		handle->response.status = row.status;
		handle->response.headers = g_ptr_array_ref(row.headers);
		handle->references++;
		store_object_get(handle->worker->store, row.object,
				 handle_response_object, handle);
		break;
	case CLAIM_MISMATCH:
		counter_add(COUNTER_CLAIM_CONFLICTS, 1);
		refuse(handle, EGRET__REASON__REASON_CLAIM_MISMATCH);
		break;
	case CLAIM_BUSY:
		counter_add(COUNTER_CLAIM_CONFLICTS, 1);
		refuse(handle, EGRET__REASON__REASON_CLAIM_RUNNING);
		break;
	case CLAIM_LOST:
		counter_add(COUNTER_CLAIM_CONFLICTS, 1);
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_UNKNOWN,
				    EGRET__REASON__REASON_TARGET_LOST);
		break;
	}
	claim_row_clear(&row);
	claim_handle_unref(handle);
}

static void handle_response_object(void *ctx, const uint8_t *data, size_t len,
				   const GError *error)
{
	claim_handle_t *handle = ctx;
	http_request_t *request = claim_handle_request(handle);

	if (error || !request) {
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
	} else {
		GBytes *body = g_bytes_new(data, len);
		counter_add(COUNTER_CLAIM_REPLAYS, 1);
		http_request_respond(request, handle->response.status,
				     g_ptr_array_ref(handle->response.headers), body);
		g_bytes_unref(body);
	}
	claim_handle_unref(handle);
}

static void read_existing_row(claim_handle_t *handle)
{
	store_get(handle->worker->store, handle->row_key, handle_existing_row, handle);
}

static void handle_claimed(claim_handle_t *handle, uint64_t revision)
{
	http_request_t *request = claim_handle_request(handle);

	handle->claimed = true;
	handle->revision = revision;
	counter_add(COUNTER_CLAIMS, 1);
	if (request && !request->response_ready)
		http_attempt_dispatch(request);
	else
		claim_handle_release_row(handle);
	claim_handle_unref(handle);
}

static void handle_single_commit(void *ctx, uint64_t revision, const GError *error)
{
	claim_handle_t *handle = ctx;

	if (!error) {
		handle_claimed(handle, revision);
	} else if (error->code == EGRET_ERROR_CONFLICT) {
		read_existing_row(handle);
	} else {
		/* The row may have been written although the commit failed. */
		if (error->code == EGRET_ERROR_UNKNOWN_RESULT)
			claim_handle_release_row(handle);
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
		claim_handle_unref(handle);
	}
}

static char *encode_claim(const claim_handle_t *handle)
{
	claim_row_t row = {.state = CLAIM_RUNNING,
			   .fingerprint = handle->fingerprint,
			   .owner = handle->owner};

	return claim_row_encode(&row);
}

static void commit_single(claim_handle_t *handle)
{
	char *value = encode_claim(handle);
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = handle->expected_revision,
			       .value = value};

	store_commit(handle->worker->store, &write, 1, handle_single_commit, handle);
	free(value);
}

static void handle_batch_commit(void *ctx, uint64_t revision, const GError *error)
{
	claim_commit_t *commit = ctx;
	claim_batch_t *batch = commit->batch;
	GPtrArray *handles = commit->handles;

	g_free(commit);
	batch->committing = false;
	for (guint i = 0; i < handles->len; i++) {
		claim_handle_t *handle = handles->pdata[i];
		/* One conflict fails the whole commit: commit each claim on its own. */
		if (error && error->code == EGRET_ERROR_CONFLICT && handles->len > 1)
			commit_single(handle);
		else
			handle_single_commit(handle, revision, error);
	}
	g_ptr_array_unref(handles);
	commit_batch(batch);
}

static void commit_batch(claim_batch_t *batch)
{
	store_write_t writes[BATCH_MAX_CLAIMS];
	char *values[BATCH_MAX_CLAIMS];
	size_t count = 0;

	if (batch->committing || g_queue_is_empty(&batch->pending))
		return;
	claim_commit_t *commit = g_new0(claim_commit_t, 1);
	commit->batch = batch;
	commit->handles = g_ptr_array_new();
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	while (count < BATCH_MAX_CLAIMS && !g_queue_is_empty(&batch->pending)) {
		claim_handle_t *handle = g_queue_peek_head(&batch->pending);
		/* A commit holds one write per key; the rest waits for the next. */
		if (!g_hash_table_add(keys, handle->row_key))
			break;
		g_queue_pop_head(&batch->pending);
		g_ptr_array_add(commit->handles, handle);
		values[count] = encode_claim(handle);
		writes[count] =
			(store_write_t){.key = handle->row_key,
					.expected_revision = handle->expected_revision,
					.value = values[count]};
		count++;
	}
	g_hash_table_destroy(keys);
	batch->committing = true;
	store_commit(batch->worker->store, writes, count, handle_batch_commit, commit);
	for (size_t i = 0; i < count; i++)
		free(values[i]);
}

/* Releases the claim if the request did not run. */
static void handle_outcome(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (handle && handle->claimed &&
	    request->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		claim_handle_release_row(handle);
}

static void handle_request_freed(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle)
		return;
	request->claim = NULL;
	handle->request_number = 0;
	claim_handle_unref(handle);
}

static const claim_ops_t claim_ops = {
	.store_response = claim_handle_store_response,
	.on_outcome = handle_outcome,
	.on_abort = claim_handle_adopt_call,
	.on_free = handle_request_freed,
};

void claims_io_claim(http_request_t *request, const char *key)
{
	if (!*key || strlen(key) > CLAIM_KEY_MAX_BYTES) {
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    EGRET__REASON__REASON_BAD_REQUEST);
		return;
	}
	claim_handle_t *handle = g_new0(claim_handle_t, 1);
	handle->worker = request->worker;
	handle->request_number = request->number;
	handle->row_key = claim_row_key(request->context.account, key);
	handle->fingerprint = request->context.fingerprint;
	handle->owner = node_random_id();
	handle->references = 2; /* the request's and the commit's */
	request->claim = handle;
	request->claim_ops = &claim_ops;
	g_queue_push_tail(&request->worker->claims->pending, handle);
	commit_batch(request->worker->claims);
}
