#include "http/http_connection.h"

#include "http/headers.h"

#include <poll.h>
#include <string.h>
#include <time.h>

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define BLOCK_BYTES (32u << 10)
#define CHUNK_END "\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define DATE_BYTES 40

http_exchange_t *http_exchange_create(http_connection_t *connection, request_head_t *head,
				      unsigned int error)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	exchange->connection = connection;
	exchange->head = head;
	exchange->error = error;
	exchange->entry.ends_connection = error != 0 || !head->keep_alive;
	exchange->entry.complete = error != 0;
	exchange->entry.startable = false;
	exchange->response_head = g_string_new(NULL);
	return exchange;
}

void http_exchange_destroy(http_exchange_t *exchange)
{
	request_head_destroy(exchange->head);
	g_string_free(exchange->response_head, TRUE);
	g_clear_pointer(&exchange->body, g_bytes_unref);
	g_free(exchange);
}

const request_head_t *http_exchange_head(const http_exchange_t *exchange)
{
	return exchange->head;
}

unsigned int http_exchange_error(const http_exchange_t *exchange)
{
	return exchange->error;
}

const struct sockaddr_in *http_exchange_client(const http_exchange_t *exchange)
{
	return &exchange->connection->client;
}

bool http_exchange_client_gone(const http_exchange_t *exchange)
{
	const http_connection_t *connection = exchange->connection;
	struct pollfd pollfd = {.fd = connection->fd, .events = POLLRDHUP};

	return connection->client_gone || connection->failed || poll(&pollfd, 1, 0) > 0;
}

void http_exchange_set_startable(http_exchange_t *exchange)
{
	exchange->entry.startable = true;
	http_connection_schedule(exchange->connection);
}

void http_exchange_set_repeatable(http_exchange_t *exchange)
{
	exchange->entry.repeatable = true;
}

void http_exchange_drop(http_exchange_t *exchange)
{
	exchange->connection->failed = true;
	http_connection_schedule(exchange->connection);
}

void http_exchange_wake(http_exchange_t *exchange)
{
	exchange->woken = true;
	http_connection_schedule(exchange->connection);
}

void http_exchange_respond(http_exchange_t *exchange, unsigned int status)
{
	exchange->status = status;
}

/* A value with a line break would forge further fields. */
static bool is_field_safe(const char *name, const char *value)
{
	return *name && !strpbrk(name, "\r\n: \t") && !strpbrk(value, "\r\n");
}

void http_exchange_add_header(http_exchange_t *exchange, const char *name,
			      const char *value)
{
	GString *head = exchange->response_head;

	if (!is_field_safe(name, value))
		return;
	exchange->has_date = exchange->has_date || g_ascii_strcasecmp(name, "Date") == 0;
	g_string_append(head, name);
	g_string_append(head, ": ");
	g_string_append(head, value);
	g_string_append(head, "\r\n");
}

static void set_responded(http_exchange_t *exchange)
{
	exchange->entry.responded = true;
	if (!exchange->entry.complete)
		exchange->entry.ends_connection = true;
	http_connection_schedule(exchange->connection);
}

void http_exchange_send_body(http_exchange_t *exchange, GBytes *body)
{
	exchange->body = g_bytes_ref(body);
	exchange->length = (int64_t)g_bytes_get_size(body);
	set_responded(exchange);
}

void http_exchange_stream_body(http_exchange_t *exchange, int64_t length)
{
	exchange->length = length;
	set_responded(exchange);
}

/* --- Writing ------------------------------------------------------------- */

static void append(http_exchange_t *exchange, const void *data, size_t len)
{
	g_byte_array_append(exchange->connection->out, data, (guint)len);
}

static void append_text(http_exchange_t *exchange, const char *text)
{
	append(exchange, text, strlen(text));
}

static const char *reason_phrase(unsigned int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Unknown";
	}
}

/* The date of a second, which is formatted once. */
static const char *date_text(void)
{
	static _Thread_local time_t formatted_at;
	static _Thread_local char text[DATE_BYTES];
	time_t now = time(NULL);
	struct tm fields;

	if (now != formatted_at) {
		gmtime_r(&now, &fields);
		strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &fields);
		formatted_at = now;
	}
	return text;
}

static bool status_has_body(unsigned int status)
{
	return status >= 200 && status != STATUS_NO_CONTENT &&
	       status != STATUS_NOT_MODIFIED;
}

static bool sends_body(const http_exchange_t *exchange)
{
	return status_has_body(exchange->status) &&
	       strcmp(exchange->head->method, "HEAD") != 0;
}

/* A client with HTTP/1.0 reads a body without a length until the connection closes. */
static void write_head(http_exchange_t *exchange, bool closes)
{
	char line[128];
	bool http_1_1 = exchange->head->http_1_1 || exchange->error;
	bool has_length = exchange->length != REQUEST_LENGTH_UNKNOWN;

	exchange->head_sent = true;
	exchange->chunked = !has_length && http_1_1 && sends_body(exchange);
	g_snprintf(line, sizeof(line), "HTTP/1.%d %u %s\r\n", http_1_1 ? 1 : 0,
		   exchange->status, reason_phrase(exchange->status));
	append_text(exchange, line);
	append(exchange, exchange->response_head->str, exchange->response_head->len);
	if (!exchange->has_date) {
		g_snprintf(line, sizeof(line), "Date: %s\r\n", date_text());
		append_text(exchange, line);
	}
	if (exchange->chunked)
		append_text(exchange, "Transfer-Encoding: chunked\r\n");
	else if (has_length && status_has_body(exchange->status)) {
		g_snprintf(line, sizeof(line), "Content-Length: %" G_GINT64_FORMAT "\r\n",
			   exchange->length);
		append_text(exchange, line);
	}
	if (closes)
		append_text(exchange, "Connection: close\r\n");
	else if (!http_1_1)
		append_text(exchange, "Connection: keep-alive\r\n");
	append_text(exchange, "\r\n");
}

static void append_block(http_exchange_t *exchange, const char *data, size_t len)
{
	char size[16];

	if (!exchange->chunked) {
		append(exchange, data, len);
		return;
	}
	g_snprintf(size, sizeof(size), "%zx\r\n", len);
	append_text(exchange, size);
	append(exchange, data, len);
	append_text(exchange, CHUNK_END);
}

static bool write_streamed_block(http_exchange_t *exchange)
{
	http_connection_t *connection = exchange->connection;
	char block[BLOCK_BYTES];
	ssize_t n = connection->server->ops->read_response(exchange->request, block,
							   sizeof(block));

	if (n > 0) {
		append_block(exchange, block, (size_t)n);
		return true;
	}
	if (n == HTTP_RESPONSE_WAITS)
		return false;
	if (n == HTTP_RESPONSE_FAILS) {
		connection->failed = true;
		return false;
	}
	if (exchange->chunked)
		append_text(exchange, LAST_CHUNK);
	exchange->finished = true;
	return true;
}

bool http_exchange_write(http_exchange_t *exchange, bool closes)
{
	gsize len;

	if (exchange->head_sent)
		return write_streamed_block(exchange);
	write_head(exchange, closes);
	if (!sends_body(exchange)) {
		exchange->finished = true;
	} else if (exchange->body) {
		const void *data = g_bytes_get_data(exchange->body, &len);
		append(exchange, data, len);
		exchange->finished = true;
	}
	return true;
}
