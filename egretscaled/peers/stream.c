#include "egretscaled/peers/stream.h"

#define CREDIT_MIN_BYTES (BODY_WINDOW_BYTES / 4)

void stream_out_start(stream_out_t *out, frame_link_t *link, uint64_t attempt,
		      bool request, body_t *body)
{
	out->link = link;
	out->attempt = attempt;
	out->request = request;
	out->body = body;
	out->credit = BODY_WINDOW_BYTES;
	out->finished = false;
	body_on_readable(body, stream_out_pump, out);
}

size_t stream_out_read_first(stream_out_t *out, uint8_t *buffer, size_t size, bool *end)
{
	size_t n = body_read(out->body, buffer, MIN(size, out->credit));

	out->credit -= n;
	*end = body_finished(out->body);
	out->finished = *end;
	return n;
}

static void send_data(stream_out_t *out, uint8_t *data, size_t len, bool end,
		      bool aborted)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Data message = EGRET__DATA__INIT;

	message.attempt = out->attempt;
	message.request = out->request;
	message.body.data = data;
	message.body.len = len;
	message.end = end;
	message.aborted = aborted;
	frame.kind_case = EGRET__FRAME__KIND_DATA;
	frame.data = &message;
	frame_link_send(out->link, &frame);
}

void stream_out_pump(void *ctx)
{
	stream_out_t *out = ctx;
	uint8_t buffer[STREAM_CHUNK_BYTES];

	while (!out->finished) {
		if (body_aborted(out->body)) {
			out->finished = true;
			send_data(out, NULL, 0, false, true);
			return;
		}
		size_t n = body_read(out->body, buffer, MIN(sizeof(buffer), out->credit));
		bool end = body_finished(out->body);
		if (n == 0 && !end)
			return;
		out->credit -= n;
		out->finished = end;
		send_data(out, buffer, n, end, false);
	}
}

void stream_out_add_credit(stream_out_t *out, size_t bytes)
{
	out->credit = MIN(out->credit + bytes, BODY_WINDOW_BYTES);
	stream_out_pump(out);
}

static void send_credit(void *ctx)
{
	stream_in_t *in = ctx;
	size_t read = in->received - body_pending(in->body);
	size_t credit = read - in->credit_sent;

	if (credit < CREDIT_MIN_BYTES || body_ended(in->body))
		return;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Credit message = EGRET__CREDIT__INIT;
	message.attempt = in->attempt;
	message.bytes = (uint32_t)credit;
	message.request = in->request;
	frame.kind_case = EGRET__FRAME__KIND_CREDIT;
	frame.credit = &message;
	in->credit_sent += credit;
	frame_link_send(in->link, &frame);
}

void stream_in_start(stream_in_t *in, frame_link_t *link, uint64_t attempt, bool request,
		     body_t *body)
{
	in->link = link;
	in->attempt = attempt;
	in->request = request;
	in->body = body;
	in->received = 0;
	in->credit_sent = 0;
	body_on_writable(body, send_credit, in);
}

bool stream_in_receive(stream_in_t *in, const uint8_t *data, size_t len, bool end,
		       bool aborted)
{
	if (len > 0) {
		in->received += len;
		if (body_write(in->body, data, len) != len)
			return false;
	}
	if (aborted)
		body_abort(in->body);
	else if (end)
		body_end(in->body);
	return true;
}
