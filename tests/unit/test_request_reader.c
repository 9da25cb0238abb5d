/* Tests the reader of requests: each case whole, and cut into two parts at each byte. */
#include "case.h"

#include "http/headers.h"
#include "http/request_reader.h"

#include <string.h>

#define GET "GET /a?b=c+d HTTP/1.1\r\nHost: h\r\n"
#define POST "POST /p HTTP/1.1\r\nHost: h\r\n"

typedef struct reader_case {
	const char *name;
	const char *text;
	/* For each request method, path, length, flags (k: keep-alive, 0: HTTP/1.0,
	 * e: expects 100) and body; at the end ! for malformed, ^ for a head that is too
	 * large. */
	const char *seen;
} reader_case_t;

static void handle_body(void *ctx, const char *data, size_t len)
{
	g_string_append_len(ctx, data, (gssize)len);
}

static void describe_head(GString *seen, const request_head_t *head)
{
	g_string_append_printf(seen, "%s %s %d%s%s%s<", head->method, head->path,
			       (int)head->content_length, head->keep_alive ? "k" : "",
			       head->http_1_1 ? "" : "0",
			       head->expects_continue ? "e" : "");
}

/* Returns whether the reader can go on. */
static bool feed(request_reader_t *reader, GString *seen, const char *text, size_t len)
{
	while (len > 0) {
		size_t used;
		reader_event_t event = request_reader_feed(reader, text, len, &used);
		text += used;
		len -= used;
		if (event == READER_HEAD) {
			request_head_t *head = request_reader_take_head(reader);
			describe_head(seen, head);
			request_head_destroy(head);
		} else if (event == READER_END) {
			g_string_append(seen, "> ");
		} else if (event != READER_MORE) {
			g_string_append_c(seen, event == READER_TOO_LARGE ? '^' : '!');
			return false;
		}
	}
	return true;
}

static void read_in_parts(const char *text, size_t cut, GString *seen)
{
	request_reader_t *reader = request_reader_create(handle_body, seen);

	if (feed(reader, seen, text, cut))
		feed(reader, seen, text + cut, strlen(text) - cut);
	request_reader_destroy(reader);
}

static void test_case(void **state)
{
	const reader_case_t *c = *state;

	for (size_t cut = 0; cut < strlen(c->text); cut++) {
		GString *seen = g_string_new(NULL);
		read_in_parts(c->text, cut, seen);
		assert_string_equal(seen->str, c->seen);
		g_string_free(seen, TRUE);
	}
}

static const reader_case_t cases[] = {
	{"reader: no body", GET "\r\n", "GET /a?b=c+d 0k<> "},
	{"reader: two requests", GET "\r\n" POST "Content-Length: 2\r\n\r\nxy",
	 "GET /a?b=c+d 0k<> POST /p 2k<xy> "},
	{"reader: a body that looks like a request",
	 POST "Content-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n" GET "\r\n",
	 "POST /p 18k<GET / HTTP/1.1\r\n\r\n> GET /a?b=c+d 0k<> "},
	{"reader: chunks, an extension and trailers",
	 POST "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n"
	      "\r\n" GET "\r\n",
	 "POST /p -1k<abc> GET /a?b=c+d 0k<> "},
	{"reader: the client closes", GET "Connection: close\r\n\r\n" GET "\r\n",
	 "GET /a?b=c+d 0<> GET /a?b=c+d 0k<> "},
	{"reader: HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "GET / 00<> "},
	{"reader: HTTP/1.0 kept alive",
	 "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET / 0k0<> "},
	{"reader: 100-continue",
	 POST "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", "POST /p 1ke<x> "},
	{"reader: empty lines between requests", "\r\n" GET "\r\n\r\n" GET "\r\n",
	 "GET /a?b=c+d 0k<> GET /a?b=c+d 0k<> "},
	{"reader: another protocol asked for",
	 GET "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n" GET "\r\n",
	 "GET /a?b=c+d 0k<> GET /a?b=c+d 0k<> "},
	{"reader: a tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" GET "\r\n", "!"},
	{"reader: no HTTP", "nonsense\r\n\r\n", "!"},
	{"reader: HTTP/2", "GET / HTTP/2.0\r\n\r\n", "!"},
	{"reader: HTTP/1.0 with chunks",
	 "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "!"},
	{"reader: length and chunks",
	 POST "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "!"},
	{"reader: chunks and length",
	 POST "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", "!"},
	{"reader: two lengths", POST "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
	 "!"},
	{"reader: two equal lengths",
	 POST "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "!"},
	{"reader: a signed length", POST "Content-Length: +1\r\n\r\nx", "!"},
	{"reader: chunked is not last",
	 POST "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", "!"},
	{"reader: an unknown coding", POST "Transfer-Encoding: gzip\r\n\r\n", "!"},
	{"reader: a space before the colon", POST "Content-Length : 1\r\n\r\nx", "!"},
	{"reader: a space in a name", GET "Bad Name: x\r\n\r\n", "!"},
	{"reader: a tab in the path", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n", "!"},
	{"reader: a chunk without a size",
	 POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "POST /p -1k<!"},
};

static void test_long_head(void **state)
{
	(void)state;
	GString *text = g_string_new(GET "X: ");
	GString *seen = g_string_new(NULL);

	while (text->len < REQUEST_HEAD_MAX_BYTES)
		g_string_append_c(text, 'x');
	for (size_t cut = 1; cut < text->len; cut += 1000) {
		g_string_truncate(seen, 0);
		read_in_parts(text->str, cut, seen);
		assert_string_equal(seen->str, "^");
	}
	g_string_truncate(text, REQUEST_HEAD_MAX_BYTES - strlen("\r\n\r\n"));
	g_string_append(text, "\r\n\r\n");
	g_string_truncate(seen, 0);
	read_in_parts(text->str, 0, seen);
	assert_string_equal(seen->str, "GET /a?b=c+d 0k<> ");
	g_string_free(text, TRUE);
	g_string_free(seen, TRUE);
}

static void test_headers(void **state)
{
	(void)state;
	const char text[] =
		"GET / HTTP/1.1\r\nHost: h\r\nX-A:  b \r\nx-a:\r\nX-C: d\r\n e"
		"\r\n\r\n";
	request_reader_t *reader = request_reader_create(handle_body, NULL);
	size_t used;

	assert_int_equal(request_reader_feed(reader, text, strlen(text), &used),
			 READER_HEAD);
	request_head_t *head = request_reader_take_head(reader);
	static const char *const expected[][2] = {
		{"Host", "h"}, {"X-A", "b"}, {"x-a", ""}, {"X-C", "d e"}};
	assert_int_equal(head->headers->len, G_N_ELEMENTS(expected));
	for (guint i = 0; i < head->headers->len; i++) {
		const header_t *header = head->headers->pdata[i];
		assert_string_equal(header->name, expected[i][0]);
		assert_string_equal(header->value, expected[i][1]);
	}
	request_head_destroy(head);
	request_reader_destroy(reader);
}

#define SHORT_FIELD "a:\r\n"
/* The text doubles as it grows, and the path has some bytes too. */
#define UNFINISHED_MAX_BYTES (2 * REQUEST_HEAD_MAX_BYTES + 4096)

/* Feeds a head of `count` short fields without its end. */
static reader_event_t feed_fields(request_reader_t *reader, int count)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\n");
	size_t used;

	for (int i = 0; i < count; i++)
		g_string_append(text, SHORT_FIELD);
	reader_event_t event = request_reader_feed(reader, text->str, text->len, &used);
	g_string_free(text, TRUE);
	return event;
}

/* Guards against heads whose many short fields take far more memory than their bytes. */
static void test_unfinished_head(void **state)
{
	(void)state;
	request_reader_t *reader = request_reader_create(handle_body, NULL);

	request_reader_limit_fields(reader, 8192);
	assert_int_equal(feed_fields(reader, 8000), READER_MORE);
	assert_true(request_reader_memory(reader) <= UNFINISHED_MAX_BYTES);
	size_t used;
	assert_int_equal(request_reader_feed(reader, "\r\n", 2, &used), READER_HEAD);
	request_head_t *head = request_reader_take_head(reader);
	assert_int_equal(head->headers->len, 8000);
	/* The reader keeps nothing of a head that was taken. */
	assert_true(request_reader_memory(reader) <= 4096);
	request_head_destroy(head);
	request_reader_destroy(reader);
}

/* A head within the limits of a deployment is read, one with more fields is not. */
static void test_field_limit(void **state)
{
	(void)state;
	static const struct {
		int count;
		reader_event_t event;
	} rows[] = {{REQUEST_FIELDS_MAX, READER_MORE},
		    {REQUEST_FIELDS_MAX + 1, READER_TOO_LARGE}};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		request_reader_t *reader = request_reader_create(handle_body, NULL);
		assert_int_equal(feed_fields(reader, rows[i].count), rows[i].event);
		request_reader_destroy(reader);
	}
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_long_head),
		cmocka_unit_test(test_headers),
		cmocka_unit_test(test_unfinished_head),
		cmocka_unit_test(test_field_limit),
	};

	return RUN_CASES("reader", cases, test_case) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
