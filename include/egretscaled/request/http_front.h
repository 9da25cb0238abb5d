#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	http_front - HTTP front end of the request path
 *
 * DESCRIPTION
 *	Reads the headers of a request and up to HTTP_BUFFERED_BODY_BYTES of its
 *	body, passes it to entry.h or target_reports.h, and sends the response. A
 *	request that may run again may run before earlier ones of its connection were
 *	answered.
 *
 * THREADS
 *	All functions run on the worker's thread. http_front_log_cut_requests() and
 *	the callbacks that follow it run on the main thread after the worker's
 *	thread has ended.
 */

/* Callbacks for http_server_create(); their ctx is the worker. */
const http_server_ops_t *http_front_ops(http_listener_t listener);

/* Refuses every request of the worker that has no response yet: with an unknown outcome
 * if it may have run. */
void http_front_cancel_requests(worker_t *worker);

/* Logs each request that ends without a complete response because the worker ends. */
void http_front_log_cut_requests(worker_t *worker);

#endif
