#include "http/request_reader.h"

#include "http/headers.h"

#include <http_parser.h>
#include <string.h>

#define TEXT_KEPT_BYTES 1024u

struct request_reader {
	http_parser parser;
	reader_body_fn on_body;
	void *ctx;
	GString *path;
	/* Fields of an unfinished head: name, NUL, value, NUL. They become header_t only
	 * when the head is complete, since those take many times the bytes of short
	 * fields. */
	GString *fields;
	size_t field_start; /* of the current field in `fields` */
	bool value_begun;   /* the last header callback was for a value */
	uint32_t field_count;
	uint32_t fields_max;
	bool has_too_many_fields;
	request_head_t *head;
	bool head_done;
	bool ended;
	size_t head_bytes;
};

/* Empties a text. A large one gives its memory back: a connection may then be idle for
 * long. */
static void clear_text(GString *text)
{
	if (text->allocated_len > TEXT_KEPT_BYTES) {
		text->str = g_realloc(text->str, TEXT_KEPT_BYTES);
		text->allocated_len = TEXT_KEPT_BYTES;
	}
	g_string_truncate(text, 0);
}

static void begin_message(request_reader_t *reader)
{
	http_parser_init(&reader->parser, HTTP_REQUEST);
	reader->parser.data = reader;
	clear_text(reader->path);
	clear_text(reader->fields);
	reader->field_start = 0;
	reader->value_begun = false;
	reader->field_count = 0;
	reader->has_too_many_fields = false;
	reader->head_done = false;
	reader->ended = false;
	reader->head_bytes = 0;
}

static int handle_url(http_parser *parser, const char *at, size_t len)
{
	request_reader_t *reader = parser->data;

	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)at[i] <= ' ' || at[i] == 0x7f)
			return -1;
	}
	g_string_append_len(reader->path, at, (gssize)len);
	return 0;
}

/* Ends the current field. */
static void end_field(request_reader_t *reader)
{
	GString *fields = reader->fields;
	size_t end = fields->len;

	if (fields->len == reader->field_start)
		return;
	if (!reader->value_begun)
		g_string_append_c(fields, '\0');
	while (end > reader->field_start && g_ascii_isspace(fields->str[end - 1]))
		end--;
	if (reader->value_begun)
		g_string_truncate(fields, end);
	g_string_append_c(fields, '\0');
	reader->field_start = fields->len;
	reader->value_begun = false;
	reader->field_count++;
}

static void create_headers(request_reader_t *reader, GPtrArray *headers)
{
	const char *at = reader->fields->str;

	for (uint32_t i = 0; i < reader->field_count; i++) {
		const char *value = at + strlen(at) + 1;
		headers_add(headers, at, value);
		at = value + strlen(value) + 1;
	}
	clear_text(reader->fields);
}

static int handle_field(http_parser *parser, const char *at, size_t len)
{
	request_reader_t *reader = parser->data;

	/* The parser accepts spaces, also in front of the colon, where others would not
	 * see a length. */
	if (memchr(at, ' ', len))
		return -1;
	if (reader->head_done)
		return 0; /* a trailer */
	if (reader->value_begun)
		end_field(reader);
	reader->has_too_many_fields = reader->field_count >= reader->fields_max;
	if (reader->has_too_many_fields)
		return -1;
	g_string_append_len(reader->fields, at, (gssize)len);
	return 0;
}

static int handle_value(http_parser *parser, const char *at, size_t len)
{
	request_reader_t *reader = parser->data;

	if (reader->head_done)
		return 0;
	if (!reader->value_begun)
		g_string_append_c(reader->fields, '\0');
	reader->value_begun = true;
	g_string_append_len(reader->fields, at, (gssize)len);
	return 0;
}

static int64_t body_length(const http_parser *parser)
{
	if (parser->flags & F_CHUNKED)
		return REQUEST_LENGTH_UNKNOWN;
	if (parser->flags & F_CONTENTLENGTH)
		return (int64_t)parser->content_length;
	return 0;
}

static int handle_head(http_parser *parser)
{
	request_reader_t *reader = parser->data;

	end_field(reader);
	request_head_t *head = g_new0(request_head_t, 1);
	head->headers = headers_create();
	create_headers(reader, head->headers);
	reader->head = head;
	const char *expect = headers_find(head->headers, "Expect");
	head->method = http_method_str(parser->method);
	head->path = g_strdup(reader->path->str);
	head->http_1_1 = parser->http_major == 1 && parser->http_minor == 1;
	head->keep_alive = http_should_keep_alive(parser) != 0;
	head->content_length = body_length(parser);
	head->expects_continue = head->http_1_1 && expect &&
				 g_ascii_strcasecmp(expect, "100-continue") == 0;
	reader->head_done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static int handle_body(http_parser *parser, const char *at, size_t len)
{
	request_reader_t *reader = parser->data;

	reader->on_body(reader->ctx, at, len);
	return 0;
}

static int handle_end(http_parser *parser)
{
	request_reader_t *reader = parser->data;

	reader->ended = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = handle_url,
	.on_header_field = handle_field,
	.on_header_value = handle_value,
	.on_headers_complete = handle_head,
	.on_body = handle_body,
	.on_message_complete = handle_end,
};

request_reader_t *request_reader_create(reader_body_fn on_body, void *ctx)
{
	request_reader_t *reader = g_new0(request_reader_t, 1);

	reader->on_body = on_body;
	reader->ctx = ctx;
	reader->path = g_string_new(NULL);
	reader->fields = g_string_new(NULL);
	reader->fields_max = REQUEST_FIELDS_MAX;
	begin_message(reader);
	return reader;
}

void request_reader_destroy(request_reader_t *reader)
{
	if (!reader)
		return;
	request_head_destroy(reader->head);
	g_string_free(reader->path, TRUE);
	g_string_free(reader->fields, TRUE);
	g_free(reader);
}

/* The parser accepts other versions, and takes what follows a request for a tunnel or for
 * another protocol as bytes that are not HTTP. */
static bool head_is_supported(const request_reader_t *reader)
{
	const http_parser *parser = &reader->parser;
	bool is_coded = headers_find(reader->head->headers, "Transfer-Encoding") != NULL;
	bool is_chunked = (parser->flags & F_CHUNKED) != 0;

	return parser->http_major == 1 && parser->http_minor <= 1 &&
	       parser->method != HTTP_CONNECT && is_coded == is_chunked &&
	       !(is_chunked && parser->http_minor == 0);
}

static reader_event_t event_after(request_reader_t *reader, bool had_head)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

	if (error == HPE_HEADER_OVERFLOW || reader->has_too_many_fields)
		return READER_TOO_LARGE;
	if (error != HPE_OK && error != HPE_PAUSED)
		return READER_MALFORMED;
	if (error == HPE_PAUSED)
		http_parser_pause(&reader->parser, 0);
	if (!had_head && reader->head_done)
		return head_is_supported(reader) ? READER_HEAD : READER_MALFORMED;
	if (reader->ended)
		return READER_END;
	if (!reader->head_done && reader->head_bytes >= REQUEST_HEAD_MAX_BYTES)
		return READER_TOO_LARGE;
	return READER_MORE;
}

reader_event_t request_reader_feed(request_reader_t *reader, const char *data, size_t len,
				   size_t *consumed)
{
	bool had_head = reader->head_done;

	if (reader->ended) {
		begin_message(reader);
		had_head = false;
	}
	if (!had_head)
		len = MIN(len, REQUEST_HEAD_MAX_BYTES - reader->head_bytes);
	*consumed = http_parser_execute(&reader->parser, &parser_settings, data, len);
	if (!had_head)
		reader->head_bytes += *consumed;
	return event_after(reader, had_head);
}

request_head_t *request_reader_take_head(request_reader_t *reader)
{
	request_head_t *head = reader->head;

	reader->head = NULL;
	return head;
}

void request_head_destroy(request_head_t *head)
{
	if (!head)
		return;
	g_free(head->path);
	g_ptr_array_unref(head->headers);
	g_free(head);
}

bool request_reader_in_body(const request_reader_t *reader)
{
	return reader->head_done && !reader->ended;
}

bool request_reader_in_head(const request_reader_t *reader)
{
	return !reader->head_done && reader->head_bytes > 0;
}

void request_reader_limit_fields(request_reader_t *reader, uint32_t fields_max)
{
	reader->fields_max = fields_max;
}

size_t request_reader_memory(const request_reader_t *reader)
{
	return reader->path->allocated_len + reader->fields->allocated_len;
}
