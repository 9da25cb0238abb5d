#include "egretscaled/request/claims_io.h"

#include "common/counters.h"
#include "common/error.h"
#include "egretscaled/request/claim_handle.h"
#include "egretscaled/request/http_attempt.h"

#include <stdlib.h>
#include <string.h>

#define BATCH_MAX 64
#define RELEASE_TRIES 8
#define RELEASE_WAIT (500 * USEC_PER_MSEC)

struct claim_batch {
	worker_t *worker;
	GQueue waiting; /* of claim_handle_t */
	bool committing;
};

/* The handles of one commit under way. */
typedef struct claim_commit {
	claim_batch_t *batch;
	GPtrArray *handles;
} claim_commit_t;

claim_batch_t *claim_batch_create(worker_t *worker)
{
	claim_batch_t *batch = g_new0(claim_batch_t, 1);

	batch->worker = worker;
	g_queue_init(&batch->waiting);
	return batch;
}

void claim_batch_destroy(claim_batch_t *batch)
{
	if (!batch)
		return;
	g_queue_clear(&batch->waiting);
	g_free(batch);
}

void claim_handle_unref(claim_handle_t *handle)
{
	if (--handle->references > 0)
		return;
	if (handle->call)
		call_destroy(handle->call);
	if (handle->answer)
		g_byte_array_free(handle->answer, TRUE);
	if (handle->reply.headers)
		g_ptr_array_unref(handle->reply.headers);
	g_free(handle->row_key);
	g_free(handle);
}

http_request_t *claim_handle_request(const claim_handle_t *handle)
{
	return handle->request ? http_request_find(handle->worker, handle->request)
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

static void handle_release_time(struct tevent_context *ev, struct tevent_timer *te,
				struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	start_release(private_data);
}

static void release_again(claim_handle_t *handle)
{
	if (++handle->release_tries >= RELEASE_TRIES) {
		claim_handle_unref(handle);
		return;
	}
	worker_timer(handle->worker, RELEASE_WAIT << handle->release_tries,
		     handle_release_time, handle);
}

static void handle_released(void *ctx, uint64_t revision, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;

	if (error && error->code != EGRET_ERROR_CONFLICT) {
		release_again(handle);
		return;
	}
	claim_handle_unref(handle);
}

static void handle_release_read(void *ctx, uint64_t revision, const store_row_t *rows,
				size_t count, const GError *error)
{
	(void)revision;
	claim_handle_t *handle = ctx;
	claim_row_t row;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		release_again(handle);
		return;
	}
	if (count == 0 || !rows[0].value || !claim_row_decode(rows[0].value, &row)) {
		claim_handle_unref(handle);
		return;
	}
	bool ours = row.owner == handle->owner && row.state == CLAIM_RUNNING;
	claim_row_clear(&row);
	if (!ours) {
		claim_handle_unref(handle);
		return;
	}
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = rows[0].revision};
	store_commit(handle->worker->store, &write, 1, handle_released, handle);
}

/* Removes our row, if it is there; holds a reference until done. */
static void start_release(claim_handle_t *handle)
{
	store_get(handle->worker->store, handle->row_key, handle_release_read, handle);
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

static void send_batch(claim_batch_t *batch);
static void meet_conflict(claim_handle_t *handle);

static void handle_object(void *ctx, const uint8_t *data, size_t len,
			  const GError *error);

static void handle_claim_row(void *ctx, uint64_t revision, const store_row_t *rows,
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
		/* Released by an earlier try that did not run: claim it anew. */
		handle->expected = rows[0].revision;
		g_queue_push_tail(&handle->worker->claims->waiting, handle);
		send_batch(handle->worker->claims);
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
		handle->reply.status = row.status;
		handle->reply.headers = g_ptr_array_ref(row.headers);
		handle->references++;
		store_object_get(handle->worker->store, row.object, handle_object,
				 handle);
		break;
	case CLAIM_MISMATCH:
		counter_add(COUNTER_CLAIM_CONFLICTS, 1);
		refuse(handle, EGRET__REASON__REASON_CLAIM_MISMATCH);
		break;
	case CLAIM_BUSY:
		counter_add(COUNTER_CLAIM_CONFLICTS, 1);
		refuse(handle, EGRET__REASON__REASON_CLAIM_RUNNING);
		break;
	}
	claim_row_clear(&row);
	claim_handle_unref(handle);
}

static void handle_object(void *ctx, const uint8_t *data, size_t len, const GError *error)
{
	claim_handle_t *handle = ctx;
	http_request_t *request = claim_handle_request(handle);

	if (error || !request) {
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
	} else {
		GBytes *body = g_bytes_new(data, len);
		counter_add(COUNTER_CLAIM_REPLAYS, 1);
		http_request_respond(request, handle->reply.status,
				     g_ptr_array_ref(handle->reply.headers), body);
		g_bytes_unref(body);
	}
	claim_handle_unref(handle);
}

static void meet_conflict(claim_handle_t *handle)
{
	store_get(handle->worker->store, handle->row_key, handle_claim_row, handle);
}

static void go_on(claim_handle_t *handle, uint64_t revision)
{
	http_request_t *request = claim_handle_request(handle);

	handle->claimed = true;
	handle->revision = revision;
	counter_add(COUNTER_CLAIMS, 1);
	if (request && !request->response_ready && !request->aborted)
		http_attempt_dispatch(request);
	else
		claim_handle_release_row(handle);
	claim_handle_unref(handle);
}

static void handle_single(void *ctx, uint64_t revision, const GError *error)
{
	claim_handle_t *handle = ctx;

	if (!error) {
		go_on(handle, revision);
	} else if (error->code == EGRET_ERROR_CONFLICT) {
		meet_conflict(handle);
	} else {
		/* The row may have been written all the same. */
		if (error->code == EGRET_ERROR_UNKNOWN_RESULT)
			claim_handle_release_row(handle);
		refuse(handle, EGRET__REASON__REASON_CLAIM_STORE);
		claim_handle_unref(handle);
	}
}

static char *encode_running(const claim_handle_t *handle)
{
	claim_row_t row = {.state = CLAIM_RUNNING,
			   .fingerprint = handle->fingerprint,
			   .owner = handle->owner};

	return claim_row_encode(&row);
}

static void commit_single(claim_handle_t *handle)
{
	char *value = encode_running(handle);
	store_write_t write = {.key = handle->row_key,
			       .expected_revision = handle->expected,
			       .value = value};

	store_commit(handle->worker->store, &write, 1, handle_single, handle);
	free(value);
}

static void handle_batch(void *ctx, uint64_t revision, const GError *error)
{
	claim_commit_t *commit = ctx;
	claim_batch_t *batch = commit->batch;
	GPtrArray *handles = commit->handles;

	g_free(commit);
	batch->committing = false;
	for (guint i = 0; i < handles->len; i++) {
		claim_handle_t *handle = handles->pdata[i];
		/* One conflict fails all: each then claims by itself. */
		if (error && error->code == EGRET_ERROR_CONFLICT && handles->len > 1)
			commit_single(handle);
		else
			handle_single(handle, revision, error);
	}
	g_ptr_array_unref(handles);
	send_batch(batch);
}

static void send_batch(claim_batch_t *batch)
{
	store_write_t writes[BATCH_MAX];
	char *values[BATCH_MAX];
	size_t count = 0;

	if (batch->committing || g_queue_is_empty(&batch->waiting))
		return;
	claim_commit_t *commit = g_new0(claim_commit_t, 1);
	commit->batch = batch;
	commit->handles = g_ptr_array_new();
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	while (count < BATCH_MAX && !g_queue_is_empty(&batch->waiting)) {
		claim_handle_t *handle = g_queue_peek_head(&batch->waiting);
		/* Two claims of one key cannot go into one commit. */
		if (!g_hash_table_add(keys, handle->row_key))
			break;
		g_queue_pop_head(&batch->waiting);
		g_ptr_array_add(commit->handles, handle);
		values[count] = encode_running(handle);
		writes[count] = (store_write_t){.key = handle->row_key,
						.expected_revision = handle->expected,
						.value = values[count]};
		count++;
	}
	g_hash_table_destroy(keys);
	batch->committing = true;
	store_commit(batch->worker->store, writes, count, handle_batch, commit);
	for (size_t i = 0; i < count; i++)
		free(values[i]);
}

/* Releases the claim if the request did not run. */
static void handle_decided(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (handle && handle->claimed &&
	    request->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		claim_handle_release_row(handle);
}

static void handle_freed(http_request_t *request)
{
	claim_handle_t *handle = request->claim;

	if (!handle)
		return;
	request->claim = NULL;
	handle->request = 0;
	claim_handle_unref(handle);
}

static const claim_ops_t claim_ops = {
	.store_response = claim_handle_store_response,
	.on_outcome = handle_decided,
	.on_abort = claim_handle_adopt_call,
	.on_free = handle_freed,
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
	handle->request = request->number;
	handle->row_key = claim_row_key(request->context.account, key);
	handle->fingerprint = request->context.fingerprint;
	handle->owner = node_random_id();
	handle->references = 2; /* the request's and the commit's */
	request->claim = handle;
	request->claim_ops = &claim_ops;
	g_queue_push_tail(&request->worker->claims->waiting, handle);
	send_batch(request->worker->claims);
}
