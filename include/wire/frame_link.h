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
 *	A frame is a 32-bit big-endian length and that many bytes of a
 *	protobuf-c Frame. Before frames, both sides exchange the fixed-size
 *	messages of peer_auth; a side that fails is closed unparsed. Sent frames
 *	are queued until the socket takes them; callers bound the queue with
 *	credits on a higher level.
 *
 * THREADS
 *	A link belongs to the thread of its tevent context.
 *
 * OWNERSHIP
 *	The creator owns the link and frees it with frame_link_destroy(), also
 *	from within callbacks. on_closed is called at most once, never from
 *	frame_link_destroy().
 */

typedef struct frame_link frame_link_t;

#define FRAME_MAX_BYTES (1u << 20)

typedef struct frame_link_ops {
	/* The peer is authenticated; frames may flow. */
	void (*on_open)(void *ctx);
	/* The frame is only valid during the call. */
	void (*on_frame)(void *ctx, const Egret__Frame *frame);
	/* error says why; the link stays allocated until destroyed. */
	void (*on_closed)(void *ctx, const GError *error);
} frame_link_ops_t;

/* Connects to a peer; returns NULL with error set if that fails at once. */
frame_link_t *frame_link_connect(TALLOC_CTX *parent, struct tevent_context *ev,
				 peer_auth_t *auth, const struct sockaddr_in *address,
				 const frame_link_ops_t *ops, void *ctx, GError **error);

/* Takes over an accepted descriptor. */
frame_link_t *frame_link_accept(TALLOC_CTX *parent, struct tevent_context *ev,
				peer_auth_t *auth, int fd, const frame_link_ops_t *ops,
				void *ctx);

void frame_link_destroy(frame_link_t *link);

/*
 * Queues a frame and returns its position in the stream: the frame has left
 * this process in part once frame_link_sent() exceeds the position.
 */
uint64_t frame_link_send(frame_link_t *link, const Egret__Frame *frame);

/* Bytes of frames given to the kernel since the link opened. */
uint64_t frame_link_sent(const frame_link_t *link);

bool frame_link_is_open(const frame_link_t *link);

/* Time of the last frame in either direction, for closing idle links. */
int64_t frame_link_last_used(const frame_link_t *link);

#endif
