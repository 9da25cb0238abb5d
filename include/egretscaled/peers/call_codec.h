#ifndef EGRET_EGRETSCALED_PEERS_CALL_CODEC_H
#define EGRET_EGRETSCALED_PEERS_CALL_CODEC_H

#include "egretscaled/node/call.h"

/*
 * NAME
 *	call_codec - calls and replies to and from their frames
 */

/* Builds a call from its frame; NULL if a field is missing or out of bounds. */
call_t *call_decode(const Egret__Call *wire, usec_t now);

/* Fills `wire`; free what it allocates with call_encode_clear(). */
void call_encode(const call_t *call, usec_t now, Egret__Call *wire,
		 Egret__Context *context);
void call_encode_clear(Egret__Call *wire);

void call_reply_decode(const Egret__Reply *wire, call_reply_t *out);
void call_reply_encode(const call_reply_t *reply, Egret__Reply *wire, Egret__Load *load);
void call_reply_encode_clear(Egret__Reply *wire);

#endif
