#ifndef EGRET_WIRE_FRAME_LINK_H
#define EGRET_WIRE_FRAME_LINK_H

#include "wire/egret.pb-c.h"
#include "wire/peer_auth.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	frame_link - one authenticated TCP connection that carries frames
 *
 * DESCRIPTION
 *	A frame is a 32-bit big-endian length followed by that many bytes of a
 *	packed Egret__Frame. Both sides first exchange a handshake of fixed-size
 *	messages (peer_auth.h). If it fails or takes too long, the connection is
 *	closed before any frame of the peer is parsed.
 *
 *	Frames are queued until the socket accepts them. The queue has no limit of
 *	its own: callers bound it with flow-control credits.
 *
 * THREADS
 *	A link belongs to the thread of its tevent context.
 *
 * OWNERSHIP
 *	The creator owns the link and frees it with frame_link_destroy(), which may
 *	be called from within callbacks. on_closed is called at most once, and never
 *	from frame_link_destroy(). `auth` must outlive the link.
 */

typedef struct frame_link frame_link_t;

/* Maximum length of a packed frame, without the length field. A receiver of a longer
 * frame closes the link. */
#define FRAME_MAX_BYTES (1u << 20)

typedef struct frame_link_ops {
	/* The handshake succeeded. May be NULL. */
	void (*on_open)(void *ctx);
	/* The frame is only valid during the call. */
	void (*on_frame)(void *ctx, const Egret__Frame *frame);
	/* The connection failed or was closed: EGRET_ERROR_IO, EGRET_ERROR_AUTH or
	 * EGRET_ERROR_FRAME. The link stays allocated until it is destroyed. */
	void (*on_closed)(void *ctx, const GError *error);
} frame_link_ops_t;

/*
 * Starts to connect to a peer. Returns NULL with EGRET_ERROR_IO set if that fails
 * immediately; later failures are reported through on_closed.
 */
frame_link_t *frame_link_connect(TALLOC_CTX *parent, struct tevent_context *ev,
				 peer_auth_t *auth, const struct sockaddr_in *address,
				 const frame_link_ops_t *ops, void *ctx, GError **error);

/* Creates the server side of a link on an accepted socket, which the link then owns. */
frame_link_t *frame_link_accept(TALLOC_CTX *parent, struct tevent_context *ev,
				peer_auth_t *auth, int fd, const frame_link_ops_t *ops,
				void *ctx);

void frame_link_destroy(frame_link_t *link);

/*
 * Queues a frame and returns its byte offset in the stream of sent frames. Once
 * frame_link_sent_bytes() is greater than the offset, at least a part of the frame was
 * passed to the kernel. A frame sent on a closed link is dropped.
 */
uint64_t frame_link_send(frame_link_t *link, const Egret__Frame *frame);

/* Bytes of frames passed to the kernel since the link was created. */
uint64_t frame_link_sent_bytes(const frame_link_t *link);

bool frame_link_is_open(const frame_link_t *link);

/* Time of the last frame in either direction, by clock_boot_usec(). Used to close idle
 * links. */
int64_t frame_link_last_used(const frame_link_t *link);

#endif
