#include "egretscaled/node/call.h"

void request_context_copy(request_context_t *out, const request_context_t *from)
{
	*out = *from;
	out->request_id = g_strdup(from->request_id);
	out->account = g_strdup(from->account);
}

void request_context_clear(request_context_t *context)
{
	g_clear_pointer(&context->request_id, g_free);
	g_clear_pointer(&context->account, g_free);
}

priority_t request_context_priority(const request_context_t *context)
{
	return priority_make(context->importance, context->rank);
}

call_t *call_create(const request_context_t *context, uint64_t attempt,
		    const request_line_t *line)
{
	call_t *call = g_new0(call_t, 1);

	request_context_copy(&call->context, context);
	call->attempt = attempt;
	call->service = g_strdup(line->service);
	call->route = g_strdup(line->route);
	call->method = g_strdup(line->method);
	call->path = g_strdup(line->path);
	call->headers = headers_create();
	call->content_length = LENGTH_UNKNOWN;
	call->request_body = body_create();
	call->reply_body = body_create();
	return call;
}

static void reply_clear(call_reply_t *reply)
{
	if (reply->headers)
		g_ptr_array_unref(reply->headers);
	reply->headers = NULL;
}

void call_destroy(call_t *call)
{
	if (!call)
		return;
	if (call->detach) {
		call_detach_fn detach = call->detach;
		call->detach = NULL;
		detach(call, call->sink);
	}
	request_context_clear(&call->context);
	reply_clear(&call->reply);
	g_ptr_array_unref(call->headers);
	body_destroy(call->request_body);
	body_destroy(call->reply_body);
	g_free(call->service);
	g_free(call->route);
	g_free(call->method);
	g_free(call->path);
	g_free(call);
}

void call_attach(call_t *call, void *sink, call_detach_fn detach)
{
	call->sink = sink;
	call->detach = detach;
}

void call_detach(call_t *call)
{
	call->sink = NULL;
	call->detach = NULL;
}

void call_reply(call_t *call, const call_reply_t *reply)
{
	if (call->replied) {
		call_reply_t late = *reply;
		reply_clear(&late);
		return;
	}
	call->replied = true;
	call->reply = *reply;
	call->on_reply(call, call->on_reply_ctx);
}

void call_refuse(call_t *call, Egret__Outcome outcome, Egret__Reason reason)
{
	call_reply_t reply = {.outcome = outcome,
			      .reason = reason,
			      .content_length = 0,
			      .level = PRIORITY_LEVEL_ALL,
			      .downstream_level = PRIORITY_LEVEL_ALL};

	body_end(call->reply_body);
	call_reply(call, &reply);
}
