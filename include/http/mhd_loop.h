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
 *	All handlers run on the loop's thread. While a connection is suspended
 *	the daemon does not look at its socket, so mhd_loop_watch() reports a
 *	client that has gone away.
 */

typedef struct mhd_loop mhd_loop_t;

typedef struct mhd_loop_options {
	struct sockaddr_in address;
	const char *tls_cert; /* PEM text, or NULL for plain HTTP */
	const char *tls_key;
	unsigned int idle_timeout_sec;
	/* Listens on this loop's socket instead of opening one, so that no waiting
	 * connection is lost when the one loop takes the other's place. */
	const mhd_loop_t *shared_listener;
} mhd_loop_options_t;

typedef void (*mhd_hangup_fn)(void *ctx);

mhd_loop_t *mhd_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			    const mhd_loop_options_t *options,
			    MHD_AccessHandlerCallback handler,
			    MHD_RequestCompletedCallback completed, void *ctx,
			    GError **error);
void mhd_loop_destroy(mhd_loop_t *loop);

/* Stops taking new connections; open ones go on. */
void mhd_loop_quiesce(mhd_loop_t *loop);

/* Whether the connection came in through this loop's daemon. */
bool mhd_loop_owns(const mhd_loop_t *loop, struct MHD_Connection *connection);

/* Connections that are open now. */
unsigned int mhd_loop_connections(const mhd_loop_t *loop);

/* Resumes a suspended connection and runs the daemon soon. */
void mhd_loop_resume(mhd_loop_t *loop, struct MHD_Connection *connection);

/* Calls fn once when the client closes; ctx identifies the watch. */
void mhd_loop_watch(mhd_loop_t *loop, struct MHD_Connection *connection, mhd_hangup_fn fn,
		    void *ctx);
void mhd_loop_unwatch(mhd_loop_t *loop, struct MHD_Connection *connection);

/* Queues a whole JSON or text answer. */
enum MHD_Result mhd_respond_text(struct MHD_Connection *connection, unsigned int status,
				 const char *content_type, const char *text);

#endif
