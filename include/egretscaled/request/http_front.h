#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	http_front - HTTP front end of the request path, on libmicrohttpd
 *
 * DESCRIPTION
 *	Reads the headers of a request and up to HTTP_BUFFERED_BODY_BYTES of its
 *	body, passes it to entry.h or target_reports.h, and sends the response.
 *
 * THREADS
 *	All functions run on the worker's thread. http_front_abort_requests() and
 *	the completions that follow it run on the main thread after the worker's
 *	thread has ended.
 */

/* Callbacks for mhd_loop_create(); ctx is the worker. One handler per listener. */
enum MHD_Result http_front_handle_caller(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state);
enum MHD_Result http_front_handle_target(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state);
enum MHD_Result http_front_handle_report(void *ctx, struct MHD_Connection *connection,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *data_len, void **state);
void http_front_handle_completed(void *ctx, struct MHD_Connection *connection,
				 void **state, enum MHD_RequestTerminationCode code);

/* Refuses every request of the worker that has no response yet: with an unknown outcome
 * if it may have run. */
void http_front_cancel_requests(worker_t *worker);

/* Aborts every request of the worker and resumes its connection: libmicrohttpd aborts the
 * process if it is stopped with suspended connections. */
void http_front_abort_requests(worker_t *worker);

#endif
