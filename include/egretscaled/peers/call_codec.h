#ifndef EGRET_EGRETSCALED_PEERS_CALL_CODEC_H
#define EGRET_EGRETSCALED_PEERS_CALL_CODEC_H

#include "egretscaled/node/call.h"

/*
 * NAME
 *	call_codec - converts calls and replies to and from their wire messages
 */

/* Creates a call from its message. Returns NULL if a field is missing or invalid.
 * The caller owns the call. */
call_t *call_decode(const Egret__Call *wire, usec_t now);

/* Fills `wire` and `context`, which point into the call. The header list is allocated:
 * free it with call_encode_clear(). */
void call_encode(const call_t *call, usec_t now, Egret__Call *wire,
		 Egret__Context *context);
void call_encode_clear(Egret__Call *wire);

/* Fills `out`; the caller owns its header list. An answer with a status outside 200 to
 * 599 becomes an unknown outcome with the reason target-lost. */
void call_reply_decode(const Egret__Reply *wire, call_reply_t *out);

/* Fills `wire` and `load`; free the header list with call_reply_encode_clear(). */
void call_reply_encode(const call_reply_t *reply, Egret__Reply *wire, Egret__Load *load);
void call_reply_encode_clear(Egret__Reply *wire);

#endif
