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
 *	Serves the operators' interfaces of a node, and the stand-ins of the tests.
 *	Callers and targets use http/http_server.h.
 *
 *	While a connection is suspended, libmicrohttpd does not poll its socket.
 *	mhd_loop_watch() reports a client that closes such a connection.
 *
 * THREADS
 *	All handlers run on the thread of the tevent context.
 */

typedef struct mhd_loop mhd_loop_t;

typedef struct mhd_loop_options {
	struct sockaddr_in address;
	unsigned int idle_timeout_sec; /* until an idle connection is closed; 0: never */
	/* Open connections; 0: no limit. Beyond it one is closed as http/places.h
	 * decides. With a limit, idle_timeout_sec also holds for a request that does not
	 * end. */
	unsigned int connections_max;
	unsigned int address_share_percent;
	const char *name; /* of the listener, for the log; static */
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

/* Resumes a suspended connection and schedules a run of the daemon. */
void mhd_loop_resume(mhd_loop_t *loop, struct MHD_Connection *connection);

/*
 * Calls fn(ctx) once when the client closes the connection or the connection fails.
 * Replaces an earlier watch of the same connection.
 */
void mhd_loop_watch(mhd_loop_t *loop, struct MHD_Connection *connection, mhd_hangup_fn fn,
		    void *ctx);
void mhd_loop_unwatch(mhd_loop_t *loop, struct MHD_Connection *connection);

/* Queues a complete response; text is copied. */
enum MHD_Result mhd_respond_text(struct MHD_Connection *connection, unsigned int status,
				 const char *content_type, const char *text);

#endif
