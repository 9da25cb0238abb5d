#ifndef EGRET_HTTP_MHD_LOOP_H
#define EGRET_HTTP_MHD_LOOP_H

#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	mhd_loop - a libmicrohttpd daemon driven by a tevent context
 *
 * DESCRIPTION
 *	While a connection is suspended, libmicrohttpd does not poll its socket.
 *	mhd_loop_watch() reports a client that closes such a connection.
 *
 * THREADS
 *	All handlers run on the thread of the tevent context.
 */

typedef struct mhd_loop mhd_loop_t;

typedef struct mhd_loop_options {
	struct sockaddr_in address;
	const char *tls_cert; /* PEM text, or NULL for plain HTTP */
	const char *tls_key;
	unsigned int idle_timeout_sec; /* seconds until an idle connection is closed; 0
					  for never */
	unsigned int connections_max;  /* open at once; others wait in the listen backlog.
					  0: 20000 */
	unsigned int
		connections_kept; /* above this number the loop is crowded; 0: never */
	/* If not NULL, the new loop listens on the socket of this one and ignores
	 * `address`, so that no connection in the backlog is lost when the new loop
	 * replaces the old one. */
	const mhd_loop_t *shared_listener;
} mhd_loop_options_t;

typedef void (*mhd_hangup_fn)(void *ctx);

/*
 * Starts to listen. The callbacks get ctx as their cls. Returns NULL with EGRET_ERROR_IO
 * set if the address cannot be bound, or EGRET_ERROR_LIBRARY if the daemon does not
 * start.
 */
mhd_loop_t *mhd_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			    const mhd_loop_options_t *options,
			    MHD_AccessHandlerCallback handler,
			    MHD_RequestCompletedCallback completed, void *ctx,
			    GError **error);
void mhd_loop_destroy(mhd_loop_t *loop);

/* Stops accepting new connections; open ones continue. */
void mhd_loop_quiesce(mhd_loop_t *loop);

/* Whether this loop's daemon accepted the connection. */
bool mhd_loop_owns(const mhd_loop_t *loop, struct MHD_Connection *connection);

/* Number of open connections. */
unsigned int mhd_loop_connections(const mhd_loop_t *loop);

/* Whether more connections are open than options.connections_kept. Their number falls if
 * the next responses say "Connection: close". */
bool mhd_loop_is_crowded(const mhd_loop_t *loop);

/* Resets the client's connection; to be called before it is closed with an error. */
void mhd_loop_reset(struct MHD_Connection *connection);

/* Resumes a suspended connection and schedules a run of the daemon. */
void mhd_loop_resume(mhd_loop_t *loop, struct MHD_Connection *connection);

/*
 * Calls fn(ctx) once when the client closes the connection or the connection fails.
 * Replaces an earlier watch of the same connection.
 */
void mhd_loop_watch(mhd_loop_t *loop, struct MHD_Connection *connection, mhd_hangup_fn fn,
		    void *ctx);
void mhd_loop_unwatch(mhd_loop_t *loop, struct MHD_Connection *connection);

/* Whether the client has closed the connection or the connection has failed, also while
 * bytes of the client are still unread. */
bool mhd_client_hung_up(struct MHD_Connection *connection);

/* Bytes that the headers of a response may have, next to the head of the request.
 * libmicrohttpd closes the connection instead of sending a response with more. */
size_t mhd_response_headers_max(struct MHD_Connection *connection);

/* Queues a complete response; text is copied. */
enum MHD_Result mhd_respond_text(struct MHD_Connection *connection, unsigned int status,
				 const char *content_type, const char *text);

#endif
