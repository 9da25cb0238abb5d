#ifndef EGRET_EGRETSCALED_PEERS_STREAM_H
#define EGRET_EGRETSCALED_PEERS_STREAM_H

#include "egretscaled/node/call.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	stream - body bytes between a body queue and a peer link
 *
 * DESCRIPTION
 *	A stream_out sends what a body queue holds as Data frames, never more
 *	than the credit its receiver gave. A stream_in writes received bytes into
 *	a body queue and gives credit back as the queue is read. Both directions
 *	start with BODY_WINDOW_BYTES of credit, so a body queue cannot overflow.
 */

typedef struct stream_out {
	frame_link_t *link;
	uint64_t attempt;
	bool request; /* direction: request body or reply body */
	body_t *body;
	size_t credit;
	bool finished;
} stream_out_t;

typedef struct stream_in {
	frame_link_t *link;
	uint64_t attempt;
	bool request;
	body_t *body;
	size_t received;
	size_t credited;
} stream_in_t;

#define STREAM_CHUNK_BYTES (32u << 10)

void stream_out_start(stream_out_t *out, frame_link_t *link, uint64_t attempt,
		      bool request, body_t *body);

/* Takes a first piece for the opening frame; returns its length. */
size_t stream_out_first(stream_out_t *out, uint8_t *buffer, size_t size, bool *end);

/* Sends what body and credit allow; also the body's readable callback. */
void stream_out_pump(void *ctx);
void stream_out_credit(stream_out_t *out, size_t bytes);

void stream_in_start(stream_in_t *in, frame_link_t *link, uint64_t attempt, bool request,
		     body_t *body);

/* Takes received bytes; returns false if they exceed the credit. */
bool stream_in_take(stream_in_t *in, const uint8_t *data, size_t len, bool end,
		    bool aborted);

#endif
