#include "egretscaled/request/target_call_state.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS 1000L
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/* Size of curl's receive buffer. It is below 64 KiB because freeing a block of 64 KiB or
 * more makes malloc() merge all free chunks. */
#define CURL_BUFFER_BYTES (16L << 10)

static size_t read_request_body(char *buffer, size_t size, size_t count, void *ctx)
{
	target_call_t *tc = ctx;
	body_t *body = tc->call->request_body;

	if (body_aborted(body))
		return CURL_READFUNC_ABORT;
	/* Ends the upload; curl then waits for the rest of the response only. */
	if (tc->answered_early)
		return 0;
	size_t n = body_read(body, buffer, size * count);
	tc->request_read += (int64_t)n;
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

static int64_t content_length(const response_head_t *head)
{
	const char *length = headers_find(head->headers, "Content-Length");

	/* A transfer coding overrides the length. */
	if (!length || headers_find(head->headers, "Transfer-Encoding"))
		return LENGTH_UNKNOWN;
	return g_ascii_strtoll(length, NULL, 10);
}

/* Whether the whole request was written. curl counts the bytes of a chunked body with
 * their framing. */
static bool request_is_sent(const target_call_t *tc)
{
	curl_off_t sent = 0;

	if (tc->call->content_length == 0)
		return true;
	curl_easy_getinfo(tc->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return body_finished(tc->call->request_body) && sent >= tc->request_read;
}

static bool has_response_body(const target_call_t *tc, uint32_t status)
{
	return strcmp(tc->call->method, "HEAD") != 0 && status != STATUS_NO_CONTENT &&
	       status != STATUS_NOT_MODIFIED;
}

/* Whether nothing but the end of the connection ends the body of the response. */
static bool ends_with_connection(const target_call_t *tc, const response_head_t *head)
{
	const char *coding = headers_find(head->headers, "Transfer-Encoding");

	if (!has_response_body(tc, head->status))
		return false;
	return coding ? g_ascii_strcasecmp(coding, "chunked") != 0
		      : !headers_find(head->headers, "Content-Length");
}

static void handle_finish_timer(struct tevent_context *ev, struct tevent_timer *te,
				struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	target_call_t *tc = private_data;
	curl_loop_t *loop = tc->worker->curl;
	CURL *easy = tc->easy;

	tc->finish_timer = NULL;
	target_call_handle_done(tc, easy, CURLE_OK);
	curl_loop_stop(loop, easy);
}

/* curl itself would wait until the target reads the bytes that were already passed to the
 * socket, and hold the response back until then. */
static void finish_if_complete(target_call_t *tc)
{
	if (tc->answered_early && tc->response_left == 0 && !tc->finish_timer)
		tc->finish_timer = worker_timer(tc->worker, 0, handle_finish_timer, tc);
}

/* The connection cannot be used again: the target still waits for the rest of the body,
 * which may never come, as a client's connection is closed behind a response that is
 * ahead of the end of its request. */
static void handle_early_answer(target_call_t *tc, const response_head_t *head)
{
	tc->answered_early = true;
	tc->response_left =
		has_response_body(tc, head->status) ? tc->reply.content_length : 0;
	curl_easy_setopt(tc->easy, CURLOPT_FORBID_REUSE, 1L);
	if (tc->request_paused)
		curl_loop_resume(tc->worker->curl, tc->easy);
	tc->request_paused = false;
	finish_if_complete(tc);
}

static bool handle_response_head(void *ctx, const response_head_t *head)
{
	target_call_t *tc = ctx;
	sent_request_t request = {.headers = tc->call->headers, .token = tc->token};
	response_headers_t parsed;

	dialect_of(tc)->read_response(&request, head->status, head->headers, &parsed);
	if (parsed.other_request)
		return false;
	tc->reply =
		(call_reply_t){.status = head->status,
			       .headers = headers_create(),
			       .content_length = content_length(head),
			       .ends_with_connection = ends_with_connection(tc, head)};
	for (guint i = 0; i < head->headers->len; i++) {
		const header_t *header = head->headers->pdata[i];
		if (!header_is_stripped(header->name))
			headers_add(tc->reply.headers, header->name, header->value);
	}
	if (parsed.not_run || parsed.other_process) {
		tc->reply.outcome = EGRET__OUTCOME__OUTCOME_NOT_RUN;
		/* A faulty target may write a refusal again where the response to the
		 * next request is expected. */
		curl_easy_setopt(tc->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (!request_is_sent(tc))
		handle_early_answer(tc, head);
	return true;
}

static size_t receive_body(char *data, size_t size, size_t count, void *ctx)
{
	target_call_t *tc = ctx;
	size_t len = size * count;

	/* Without a head if the target switched protocols. */
	if (tc->reply.status == 0)
		return 0;
	if (!tc->headers_delivered)
		target_call_deliver_headers(tc);
	if (body_room(tc->call->reply_body) < len) {
		tc->response_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	size_t written = body_write(tc->call->reply_body, data, len);
	if (tc->answered_early && tc->response_left > 0)
		tc->response_left = MAX(tc->response_left - (int64_t)written, 0);
	finish_if_complete(tc);
	return written;
}

static void handle_body_progress(void *ctx)
{
	target_call_t *tc = ctx;

	if (!tc->easy || (!tc->response_paused && !tc->request_paused))
		return;
	curl_loop_resume(tc->worker->curl, tc->easy);
	tc->response_paused = false;
	tc->request_paused = false;
}

static void add_header(void *ctx, const char *name, const char *value)
{
	target_call_t *tc = ctx;
	/* curl sends a header with an empty value if it is given as "Name;". */
	char *line = *value ? g_strdup_printf("%s: %s", name, value)
			    : g_strdup_printf("%s;", name);

	tc->headers = curl_slist_append(tc->headers, line);
	g_free(line);
}

static void build_headers(target_call_t *tc, usec_t time_left)
{
	const call_t *call = tc->call;
	attempt_headers_t attempt = {
		.token = tc->token, .target_id = tc->target_id, .time_left = time_left};

	for (guint i = 0; i < call->headers->len; i++) {
		const header_t *header = call->headers->pdata[i];
		add_header(tc, header->name, header->value);
	}
	dialect_of(tc)->add_attempt_headers(&attempt, add_header, tc);
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
		curl_easy_setopt(tc->easy, CURLOPT_READFUNCTION, read_request_body);
		curl_easy_setopt(tc->easy, CURLOPT_READDATA, tc);
		curl_easy_setopt(tc->easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)call->content_length);
	}
	curl_easy_setopt(tc->easy, CURLOPT_CUSTOMREQUEST, call->method);
}

void target_send_start(target_call_t *tc, const char *address)
{
	call_t *call = tc->call;
	usec_t time_left = call->context.deadline - tc->started_at;

	tc->url = g_strconcat("http://", address, call->path, NULL);
	tc->easy = curl_loop_acquire(tc->worker->curl);
	build_headers(tc, time_left);
	curl_easy_setopt(tc->easy, CURLOPT_URL, tc->url);
	curl_easy_setopt(tc->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(tc->easy, CURLOPT_HTTPHEADER, tc->headers);
	curl_loop_on_head(tc->easy, handle_response_head, tc);
	curl_easy_setopt(tc->easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(tc->easy, CURLOPT_WRITEDATA, tc);
	curl_easy_setopt(tc->easy, CURLOPT_BUFFERSIZE, CURL_BUFFER_BYTES);
	curl_easy_setopt(tc->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(tc->easy, CURLOPT_TIMEOUT_MS,
			 (long)MAX(time_left / USEC_PER_MSEC, 1));
	set_body(tc);
	body_on_readable(call->request_body, handle_body_progress, tc);
	body_on_writable(call->reply_body, handle_body_progress, tc);
	curl_loop_start(tc->worker->curl, tc->easy, target_call_handle_done, tc);
}
