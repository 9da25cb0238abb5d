#ifndef EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H
#define EGRET_EGRETSCALED_REQUEST_HTTP_FRONT_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	http_front - libmicrohttpd's side of the request path
 *
 * DESCRIPTION
 *	Reads a request's head and up to HTTP_HEAD_BODY_BYTES of its body, has the
 *	entry check and begin it, and answers with what it was decided to be.
 */

/* Handlers for mhd_loop_create(); ctx is the worker. */
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
void http_front_completed(void *ctx, struct MHD_Connection *connection, void **state,
			  enum MHD_RequestTerminationCode code);

/* Drops every request of the worker and resumes its connection: libmicrohttpd aborts
 * when it is stopped with suspended ones. */
void http_front_abandon(worker_t *worker);

#endif
