#include "egretscaled/peers/call_codec.h"

#include "config/record.h"
#include "http/response_head.h"

#include <string.h>

#define DEPTH_MAX 64
#define TIMEOUT_MAX_MS 600000u
#define RETRIES_MAX 10u
#define MILLI 1000.0
#define PRESSURE_MAX 1000.0

static bool context_valid(const Egret__Context *wire)
{
	return wire && wire->request_id.len > 0 &&
	       wire->request_id.len <= REQUEST_ID_MAX_BYTES &&
	       wire->importance < IMPORTANCE_LEVELS && wire->depth <= DEPTH_MAX &&
	       wire->time_left_ms <= TIMEOUT_MAX_MS && wire->retries_left <= RETRIES_MAX;
}

static void decode_headers(Egret__Header *const *wire, size_t count, GPtrArray *out)
{
	for (size_t i = 0; i < count; i++) {
		if (*wire[i]->name && !header_is_stripped(wire[i]->name) &&
		    !strpbrk(wire[i]->name, "\r\n:") && !strpbrk(wire[i]->value, "\r\n"))
			headers_add(out, wire[i]->name, wire[i]->value);
	}
}

static Egret__Header **encode_headers(const GPtrArray *headers, size_t *count)
{
	*count = headers ? headers->len : 0;
	if (*count == 0)
		return NULL;
	Egret__Header **list = g_new(Egret__Header *, *count);
	Egret__Header *items = g_new(Egret__Header, *count);
	for (size_t i = 0; i < *count; i++) {
		const header_t *header = headers->pdata[i];
		egret__header__init(&items[i]);
		items[i].name = header->name;
		items[i].value = header->value;
		list[i] = &items[i];
	}
	return list;
}

static void free_headers(Egret__Header **list)
{
	if (!list)
		return;
	g_free(list[0]);
	g_free(list);
}

call_t *call_decode(const Egret__Call *wire, usec_t now)
{
	const Egret__Context *from = wire->context;

	if (!context_valid(from) || !*wire->service || !*wire->method ||
	    wire->path[0] != '/' || strpbrk(wire->path, " \r\n") ||
	    strpbrk(wire->method, " \r\n"))
		return NULL;
	request_context_t context = {
		.account = from->account,
		.importance = from->importance,
		.rank = from->rank,
		.deadline = now + (usec_t)from->time_left_ms * USEC_PER_MSEC,
		.retries = from->retries_left,
		.depth = from->depth,
		.idempotent = from->idempotent,
		.fingerprint = from->fingerprint,
	};
	context.request_id =
		g_strndup((const char *)from->request_id.data, from->request_id.len);
	request_line_t line = {wire->service, wire->route, wire->method, wire->path};
	call_t *call = call_create(&context, wire->attempt, &line);
	g_free(context.request_id);
	call->content_length = wire->content_length;
	decode_headers(wire->headers, wire->n_headers, call->headers);
	return call;
}

void call_encode(const call_t *call, usec_t now, Egret__Call *wire,
		 Egret__Context *context)
{
	const request_context_t *from = &call->context;
	usec_t time_left = MAX(from->deadline - now, 0);

	egret__call__init(wire);
	egret__context__init(context);
	context->request_id.data = (uint8_t *)from->request_id;
	context->request_id.len = strlen(from->request_id);
	context->account = from->account;
	context->importance = from->importance;
	context->rank = from->rank;
	context->time_left_ms = (uint32_t)(time_left / USEC_PER_MSEC);
	context->retries_left = from->retries;
	context->depth = from->depth;
	context->idempotent = from->idempotent;
	context->fingerprint = from->fingerprint;
	wire->context = context;
	wire->attempt = call->attempt;
	wire->service = call->service;
	wire->route = call->route;
	wire->method = call->method;
	wire->path = call->path;
	wire->content_length = call->content_length;
	wire->headers = encode_headers(call->headers, &wire->n_headers);
}

void call_encode_clear(Egret__Call *wire)
{
	free_headers(wire->headers);
}

/* An outcome that is not defined is unknown, and so is that of a request whose answer has
 * no status that a caller may get. */
static void decode_outcome(const Egret__Reply *wire, call_reply_t *out)
{
	out->outcome = wire->outcome;
	out->reason = wire->reason;
	out->status = wire->status;
	if (wire->outcome == EGRET__OUTCOME__OUTCOME_NOT_RUN)
		return;
	if (wire->outcome != EGRET__OUTCOME__OUTCOME_ANSWERED) {
		out->outcome = EGRET__OUTCOME__OUTCOME_UNKNOWN;
	} else if (!response_status_is_final(wire->status)) {
		out->outcome = EGRET__OUTCOME__OUTCOME_UNKNOWN;
		out->reason = EGRET__REASON__REASON_TARGET_LOST;
		out->status = 0;
	}
}

void call_reply_decode(const Egret__Reply *wire, call_reply_t *out)
{
	memset(out, 0, sizeof(*out));
	decode_outcome(wire, out);
	out->content_length = wire->content_length;
	out->ends_with_connection = wire->ends_with_connection;
	out->retries_returned = wire->retries_back;
	out->level = PRIORITY_LEVEL_ALL;
	out->downstream_level = PRIORITY_LEVEL_ALL;
	if (wire->load) {
		out->has_load = true;
		out->level = MIN(wire->load->level, PRIORITY_LEVEL_ALL);
		out->downstream_level = MIN(wire->load->below, PRIORITY_LEVEL_ALL);
		out->limit = wire->load->limit;
		out->inflight = wire->load->inflight;
		out->queued = wire->load->queued;
		out->response_time_usec = wire->load->response_time_usec;
		out->downstream_pressure = wire->load->pressure_below_milli / MILLI;
		out->downstream_completable =
			1.0 - MIN(wire->load->incompletable_below_milli / MILLI, 1.0);
		out->makes_calls = wire->load->makes_calls;
		out->calls_unavailable = wire->load->calls_unavailable;
	}
	out->headers = headers_create();
	decode_headers(wire->headers, wire->n_headers, out->headers);
}

void call_reply_encode(const call_reply_t *reply, Egret__Reply *wire, Egret__Load *load)
{
	egret__reply__init(wire);
	egret__load__init(load);
	wire->outcome = reply->outcome;
	wire->reason = reply->reason;
	wire->status = reply->status;
	wire->content_length = reply->content_length;
	wire->ends_with_connection = reply->ends_with_connection;
	wire->retries_back = reply->retries_returned;
	wire->headers = encode_headers(reply->headers, &wire->n_headers);
	if (!reply->has_load)
		return;
	load->level = reply->level;
	load->below = reply->downstream_level;
	load->limit = reply->limit;
	load->inflight = reply->inflight;
	load->queued = reply->queued;
	load->response_time_usec = reply->response_time_usec;
	load->pressure_below_milli = (uint32_t)CLAMP(reply->downstream_pressure * MILLI,
						     0, PRESSURE_MAX * MILLI);
	load->incompletable_below_milli =
		(uint32_t)((1.0 - CLAMP(reply->downstream_completable, 0, 1)) * MILLI);
	load->makes_calls = reply->makes_calls;
	load->calls_unavailable = reply->calls_unavailable;
	wire->load = load;
}

void call_reply_encode_clear(Egret__Reply *wire)
{
	free_headers(wire->headers);
}
