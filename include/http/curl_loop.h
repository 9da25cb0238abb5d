#ifndef EGRET_HTTP_CURL_LOOP_H
#define EGRET_HTTP_CURL_LOOP_H

#include <curl/curl.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	curl_loop - a libcurl multi handle driven by a tevent context
 *
 * DESCRIPTION
 *	Transfers run on the loop's thread. A transfer writes its request at most
 *	once: when curl would repeat it on a fresh connection after a reused one
 *	died, the transfer fails instead.
 *
 * OWNERSHIP
 *	curl_loop_acquire() lends a reset easy handle; it goes back by itself after
 *	the done callback, or with curl_loop_stop(). curl_loop_stop() must not be
 *	called from within a curl data callback.
 */

typedef struct curl_loop curl_loop_t;

typedef void (*curl_done_fn)(void *ctx, CURL *easy, CURLcode code);

curl_loop_t *curl_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      long max_cached_connections);
void curl_loop_destroy(curl_loop_t *loop);

CURL *curl_loop_acquire(curl_loop_t *loop);
bool curl_loop_start(curl_loop_t *loop, CURL *easy, curl_done_fn done, void *ctx);
void curl_loop_stop(curl_loop_t *loop, CURL *easy);

/* Continues a transfer that a data callback paused; safe in any callback. */
void curl_loop_resume(curl_loop_t *loop, CURL *easy);

/* Whether the request line of the transfer may have reached the other side. */
bool curl_loop_request_sent(CURL *easy);

#endif
