#ifndef EGRET_STORE_STORE_HTTP_H
#define EGRET_STORE_STORE_HTTP_H

#include "http/curl_loop.h"
#include "store/store.h"

/*
 * NAME
 *	store_http - the store over the platform's HTTP interface
 *
 * DESCRIPTION
 *	GET /v1/row?key=K; GET /v1/changes?prefix=P&after=R&limit=N;
 *	POST /v1/commit; PUT and GET /v1/object/NAME. Rows are JSON objects
 *	{"key", "revision", "value", "attempt"}. See docs/design/store.md.
 */

#define STORE_TIMEOUT_MS 1000L

/* The curl loop must outlive the store. */
store_t *store_http_create(curl_loop_t *loop, const char *url);

#endif
