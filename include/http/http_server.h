#ifndef EGRET_HTTP_HTTP_SERVER_H
#define EGRET_HTTP_HTTP_SERVER_H

#include "common/clock.h"
#include "http/pipeline.h"
#include "http/request_reader.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/types.h>
#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	http_server - HTTP/1 server on a tevent context
 *
 * DESCRIPTION
 *	Accepts connections, reads requests and sends responses, with TLS if it has a
 *	certificate. An *exchange* is one request with its response. Exchanges of one
 *	connection overlap as http/pipeline.h decides; their responses keep the order
 *	of the requests. Bodies are read and sent as fast as the callbacks take and
 *	give them.
 *
 *	If a place or memory is needed, http/places.h decides which idle or unfinished
 *	connection is closed. A connection whose head takes too long is closed too.
 *
 *	A client that closes its side of the connection, even only for sending, is
 *	gone: its exchanges end.
 *
 * ERRORS
 *	A request that is not HTTP/1, whose head is too large, or whose head does not fit
 *	into the memory of all connections becomes an exchange
 *	with http_exchange_error() and an empty head; its response closes the
 *	connection.
 *
 * OWNERSHIP
 *	An exchange belongs to the server and ends with on_closed().
 *
 * THREADS
 *	All functions and callbacks run on the thread of the tevent context.
 */

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;

#define HTTP_STATUS_MALFORMED 400
#define HTTP_STATUS_HEAD_TOO_LARGE 431
#define HTTP_STATUS_NO_MEMORY 503

/* Results of read_response(), besides a number of bytes. */
#define HTTP_RESPONSE_WAITS 0 /* until http_exchange_wake() */
#define HTTP_RESPONSE_ENDS (-1)
#define HTTP_RESPONSE_FAILS                                                              \
	(-2) /* the connection is closed, so that the client sees it */

typedef struct http_server_ops {
	/* A head was read. Returns the context that the other callbacks get. */
	void *(*on_request)(void *ctx, http_exchange_t *exchange);
	/* Bytes of the body that on_body() takes now; 0: none until
	 * http_exchange_wake(). */
	size_t (*body_room)(void *request);
	void (*on_body)(void *request, const char *data, size_t len);
	void (*on_body_end)(void *request);
	/* The request may run now; once, after http_exchange_set_startable(). */
	void (*on_start)(void *request);
	/* http_exchange_wake() was called. */
	void (*on_wake)(void *request);
	/* Whether the connection is to be closed after this request. */
	bool (*closes)(void *request);
	/* Writes the next bytes of a streamed response's body. */
	ssize_t (*read_response)(void *request, char *buffer, size_t size);
	/* The response was sent or the client is gone. Frees the request. */
	void (*on_closed)(void *request);
} http_server_ops_t;

typedef struct http_server_options {
	struct sockaddr_in address;
	const char *tls_cert; /* PEM text, or NULL for plain HTTP */
	const char *tls_key;
	usec_t idle_timeout;	       /* until an idle connection is closed */
	unsigned int connections_max;  /* open at once; others wait in the backlog if
					  none can be closed */
	unsigned int connections_kept; /* above this number the server is crowded */
	pipeline_limits_t pipeline;
	uint32_t ahead_max; /* requests read ahead on all connections */
	const char *name;   /* of the listener, for the log; static */
	/* See http/places.h. */
	uint32_t address_share_percent;
	size_t memory_max;
	usec_t head_timeout;
	uint32_t fields_max; /* of a head */
} http_server_options_t;

/* Starts to listen. Returns NULL with EGRET_ERROR_IO set if the address cannot be bound,
 * or EGRET_ERROR_LIBRARY if the certificate cannot be used. */
http_server_t *http_server_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  const http_server_options_t *options,
				  const http_server_ops_t *ops, void *ctx,
				  GError **error);
/* Closes all connections. */
void http_server_destroy(http_server_t *server);

/* Uses another certificate for new connections. Returns false with EGRET_ERROR_LIBRARY
 * set, and keeps the earlier one, if it cannot be used. */
bool http_server_set_certificate(http_server_t *server, const char *cert, const char *key,
				 GError **error);

/* Accepts what is in the backlog, then no more. Open connections continue. */
void http_server_quiesce(http_server_t *server);

/* Closes connections that have been idle, or have sent a head, for too long, and returns
 * freed memory to the system; to be called every second. */
void http_server_sweep(http_server_t *server, usec_t now);

/* Whether more connections are open than options.connections_kept. Their number falls if
 * the next responses close theirs. */
bool http_server_is_crowded(const http_server_t *server);

const request_head_t *http_exchange_head(const http_exchange_t *exchange);

/* 0, HTTP_STATUS_MALFORMED, HTTP_STATUS_HEAD_TOO_LARGE or HTTP_STATUS_NO_MEMORY. */
unsigned int http_exchange_error(const http_exchange_t *exchange);

const struct sockaddr_in *http_exchange_client(const http_exchange_t *exchange);

/* Whether the client has closed the connection or the connection has failed, also while
 * bytes of the client are still unread. */
bool http_exchange_client_gone(const http_exchange_t *exchange);

/* Enough of the request was read for it to run. */
void http_exchange_set_startable(http_exchange_t *exchange);

/* The request may run again, so that it need not wait for those before it. */
void http_exchange_set_repeatable(http_exchange_t *exchange);

/* Closes the connection without a response. */
void http_exchange_drop(http_exchange_t *exchange);

/* Begins the response; headers follow, then one of the next two functions. If the
 * request's body was not read to its end, the connection is closed after it. */
void http_exchange_respond(http_exchange_t *exchange, unsigned int status);
void http_exchange_add_header(http_exchange_t *exchange, const char *name,
			      const char *value);

/* Ends the response with a complete body; takes a reference on it. */
void http_exchange_send_body(http_exchange_t *exchange, GBytes *body);

/* Ends the response with a body from read_response(). `length` may be
 * REQUEST_LENGTH_UNKNOWN. */
void http_exchange_stream_body(http_exchange_t *exchange, int64_t length);

/* There is room for the request's body, or more of the response, or on_wake() is to be
 * called. */
void http_exchange_wake(http_exchange_t *exchange);

#endif
