#include "http/body.h"

#include <glib.h>
#include <string.h>

struct body {
	GByteArray *bytes;
	size_t offset;
	bool ended;
	bool aborted;
	body_event_fn readable;
	void *readable_ctx;
	body_event_fn writable;
	void *writable_ctx;
};

body_t *body_create(void)
{
	body_t *body = g_new0(body_t, 1);

	body->bytes = g_byte_array_new();
	return body;
}

void body_destroy(body_t *body)
{
	if (!body)
		return;
	g_byte_array_free(body->bytes, TRUE);
	g_free(body);
}

void body_on_readable(body_t *body, body_event_fn fn, void *ctx)
{
	body->readable = fn;
	body->readable_ctx = ctx;
}

void body_on_writable(body_t *body, body_event_fn fn, void *ctx)
{
	body->writable = fn;
	body->writable_ctx = ctx;
}

size_t body_pending(const body_t *body)
{
	return body->bytes->len - body->offset;
}

size_t body_room(const body_t *body)
{
	size_t pending = body_pending(body);

	if (body->ended || body->aborted || pending >= BODY_WINDOW_BYTES)
		return 0;
	return BODY_WINDOW_BYTES - pending;
}

static void notify_readable(body_t *body)
{
	if (body->readable)
		body->readable(body->readable_ctx);
}

size_t body_write(body_t *body, const void *data, size_t len)
{
	len = MIN(len, body_room(body));
	if (len == 0)
		return 0;
	g_byte_array_append(body->bytes, data, (guint)len);
	notify_readable(body);
	return len;
}

void body_end(body_t *body)
{
	if (body->ended || body->aborted)
		return;
	body->ended = true;
	notify_readable(body);
}

void body_abort(body_t *body)
{
	if (body->aborted)
		return;
	body->aborted = true;
	notify_readable(body);
}

size_t body_read(body_t *body, void *out, size_t len)
{
	len = MIN(len, body_pending(body));
	if (len == 0)
		return 0;
	memcpy(out, body->bytes->data + body->offset, len);
	body->offset += len;
	if (body->offset == body->bytes->len) {
		g_byte_array_set_size(body->bytes, 0);
		body->offset = 0;
	} else if (body->offset >= BODY_WINDOW_BYTES / 2) {
		g_byte_array_remove_range(body->bytes, 0, (guint)body->offset);
		body->offset = 0;
	}
	if (body->writable)
		body->writable(body->writable_ctx);
	return len;
}

bool body_finished(const body_t *body)
{
	return body->ended && !body->aborted && body_pending(body) == 0;
}

bool body_ended(const body_t *body)
{
	return body->ended;
}

bool body_aborted(const body_t *body)
{
	return body->aborted;
}
