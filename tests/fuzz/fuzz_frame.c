/* Fuzzes the decoding of call and reply frames from an authenticated peer. */
#include "egretscaled/peers/call_codec.h"

#include <stddef.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Egret__Frame *frame = egret__frame__unpack(NULL, size, data);
	call_reply_t reply;

	if (!frame)
		return 0;
	if (frame->kind_case == EGRET__FRAME__KIND_CALL)
		call_destroy(call_decode(frame->call, 1));
	if (frame->kind_case == EGRET__FRAME__KIND_REPLY) {
		call_reply_decode(frame->reply, &reply);
		g_ptr_array_unref(reply.headers);
	}
	egret__frame__free_unpacked(frame, NULL);
	return 0;
}
