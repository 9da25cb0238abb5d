#ifndef EGRET_EGRETSCALED_PEERS_STREAM_H
#define EGRET_EGRETSCALED_PEERS_STREAM_H

#include "egretscaled/node/call.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	stream - transfers a body between a body queue and a peer link
 *
 * DESCRIPTION
 *	A stream_out sends the bytes of a body queue in Data frames, limited by the
 *	flow-control credit from its receiver. A stream_in writes received bytes into
 *	a body queue and returns credit as the queue is read. Both directions start
 *	with BODY_WINDOW_BYTES of credit, so a body queue cannot overflow.
 */

typedef struct stream_out {
	frame_link_t *link;
	uint64_t attempt;
	bool request; /* true for a request body, false for a reply body */
	body_t *body;
	size_t credit; /* bytes that may still be sent */
	bool finished; /* the end or an abort was sent */
} stream_out_t;

typedef struct stream_in {
	frame_link_t *link;
	uint64_t attempt;
	bool request;
	body_t *body;
	size_t received;    /* bytes */
	size_t credit_sent; /* bytes returned to the sender as credit */
} stream_in_t;

#define STREAM_CHUNK_BYTES (32u << 10)

void stream_out_start(stream_out_t *out, frame_link_t *link, uint64_t attempt,
		      bool request, body_t *body);

/*
 * Reads the first bytes of the body, which are sent in the Call or Reply frame, and
 * returns their number. Sets *end if they complete the body.
 */
size_t stream_out_read_first(stream_out_t *out, uint8_t *buffer, size_t size, bool *end);

/* Sends as much as body and credit allow. Also the readable callback of the body. */
void stream_out_pump(void *ctx);

/* Adds credit from the receiver and sends more of the body. */
void stream_out_add_credit(stream_out_t *out, size_t bytes);

void stream_in_start(stream_in_t *in, frame_link_t *link, uint64_t attempt, bool request,
		     body_t *body);

/* Writes received bytes into the body. Returns false if they exceed the credit. */
bool stream_in_receive(stream_in_t *in, const uint8_t *data, size_t len, bool end,
		       bool aborted);

#endif
