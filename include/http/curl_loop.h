#ifndef EGRET_HTTP_CURL_LOOP_H
#define EGRET_HTTP_CURL_LOOP_H

#include "http/response_head.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	curl_loop - a libcurl multi handle driven by a tevent context
 *
 * DESCRIPTION
 *	A transfer writes its request at most once. If a reused connection breaks
 *	and curl would repeat the request on a new one, the transfer fails instead,
 *	so that curl never makes a request run twice.
 *
 *	A response whose head is incomplete fails the transfer with
 *	CURLE_PARTIAL_FILE, although curl itself regards the end of the connection as
 *	the end of such a response. A malformed head fails it with CURLE_WRITE_ERROR.
 *
 *	An idle connection on which the server sends bytes, or which it closes, is shut
 *	down at once and not used again.
 *
 * THREADS
 *	A loop and its transfers belong to the thread of the tevent context.
 *
 * OWNERSHIP
 *	curl_loop_acquire() returns a reset easy handle from the loop's pool. The
 *	handle returns to the pool after the done callback or on curl_loop_stop();
 *	the caller never frees it. A handle that is still in use is not freed by
 *	curl_loop_destroy().
 */

typedef struct curl_loop curl_loop_t;

typedef void (*curl_done_fn)(void *ctx, CURL *easy, CURLcode code);

/* Returns false to fail the transfer with CURLE_WRITE_ERROR, which closes the connection.
 */
typedef bool (*curl_head_fn)(void *ctx, const response_head_t *head);

/* max_cached_connections limits the idle connections kept for reuse. */
curl_loop_t *curl_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      long max_cached_connections);
void curl_loop_destroy(curl_loop_t *loop);

/* The loop uses the handle's options for header, socket and private data itself. */
CURL *curl_loop_acquire(curl_loop_t *loop);

/* Calls fn once the head of the final response is complete, before any of its body. */
void curl_loop_on_head(CURL *easy, curl_head_fn fn, void *ctx);

/*
 * Starts the transfer. Returns false if curl rejects the handle; done is then never
 * called and curl_loop_stop() returns the handle to the pool.
 */
bool curl_loop_start(curl_loop_t *loop, CURL *easy, curl_done_fn done, void *ctx);

/*
 * Cancels the transfer without calling done. Must not be called from within a curl data
 * callback.
 */
void curl_loop_stop(curl_loop_t *loop, CURL *easy);

/* Resumes a transfer that a data callback paused. May be called from any callback. */
void curl_loop_resume(curl_loop_t *loop, CURL *easy);

/* Whether a transfer that ended with this code found no listener at the address, as
 * opposed to a failure of this process to open a connection. */
bool curl_loop_refused(CURL *easy, CURLcode code);

/* Whether any part of the request may have reached the server. */
bool curl_loop_request_sent(CURL *easy);

/* Whether a transfer that ended with this code ended because the server closed or reset
 * the connection on which the request was sent, in front of the response or within it. If
 * that was a kept connection, the code may be of curl's attempt to send the request once
 * more. */
bool curl_loop_connection_lost(CURL *easy, CURLcode code);

/* Whether curl connected once more after it had sent the request; see DESCRIPTION. */
bool curl_loop_reconnected(CURL *easy);

#endif
