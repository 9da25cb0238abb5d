#include "http/http_connection.h"

#include "http/body.h"
#include "http/headers.h"

#include <errno.h>
#include <linux/sockios.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longest time for which bytes are read after the last response, so that the client gets
 * the response: closing a connection with unread bytes resets it. */
#define LINGER_TIME USEC_PER_SEC
#define CROWDED_IDLE_TIMEOUT (20 * USEC_PER_SEC)
/* Parts of a response are collected up to this size before they are sent. */
#define SEND_BYTES (32u << 10)
#define CONTINUE_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"

static http_exchange_t *first_exchange(const http_connection_t *connection)
{
	return (http_exchange_t *)pipeline_first(connection->pipeline);
}

/* The exchange whose request body is being read, or NULL. */
static http_exchange_t *receiving_exchange(const http_connection_t *connection)
{
	pipeline_entry_t *newest = pipeline_newest(connection->pipeline);

	return newest && !newest->complete ? (http_exchange_t *)newest : NULL;
}

/* --- Reading ------------------------------------------------------------- */

static void handle_body(void *ctx, const char *data, size_t len)
{
	http_connection_t *connection = ctx;
	http_exchange_t *exchange = receiving_exchange(connection);

	pipeline_add_body(connection->pipeline, len);
	connection->server->ops->on_body(exchange->request, data, len);
}

/* The request keeps a copy of most of the head. */
static size_t head_memory(const request_head_t *head)
{
	return 2 * (headers_memory(head->headers) + strlen(head->path));
}

static void add_exchange(http_connection_t *connection, request_head_t *head,
			 unsigned int error)
{
	const http_server_t *server = connection->server;
	http_exchange_t *exchange = http_exchange_create(connection, head, error);

	exchange->head_memory = head_memory(head);
	pipeline_add(connection->pipeline, &exchange->entry);
	exchange->request = server->ops->on_request(server->ctx, exchange);
}

/* The exchange of a request that cannot be read, unless it broke off in its body: that of
 * the body then cannot end. */
static void handle_unreadable(http_connection_t *connection, unsigned int error)
{
	connection->input_failed = true;
	if (receiving_exchange(connection)) {
		connection->failed = true;
		return;
	}
	request_head_t *head = g_new0(request_head_t, 1);
	head->method = "";
	head->path = g_strdup("");
	head->headers = headers_create();
	add_exchange(connection, head, error);
}

static void handle_head(http_connection_t *connection)
{
	http_server_t *server = connection->server;
	request_head_t *head = request_reader_take_head(connection->reader);

	if (places_fit_head(server->places, head_memory(head))) {
		add_exchange(connection, head, 0);
		return;
	}
	request_head_destroy(head);
	closing_note(&server->closing_log, CLOSING_HEAD_REFUSED, server->places,
		     &connection->place, clock_boot_usec());
	handle_unreadable(connection, HTTP_STATUS_NO_MEMORY);
}

static void handle_end(http_connection_t *connection)
{
	http_exchange_t *exchange = receiving_exchange(connection);

	exchange->entry.complete = true;
	connection->server->ops->on_body_end(exchange->request);
}

static void handle_reader_event(http_connection_t *connection, reader_event_t event)
{
	switch (event) {
	case READER_MORE:
		break;
	case READER_HEAD:
		handle_head(connection);
		break;
	case READER_END:
		handle_end(connection);
		break;
	case READER_MALFORMED:
		handle_unreadable(connection, HTTP_STATUS_MALFORMED);
		break;
	case READER_TOO_LARGE:
		handle_unreadable(connection, HTTP_STATUS_HEAD_TOO_LARGE);
		break;
	}
}

static bool wants_input(const http_connection_t *connection)
{
	const http_exchange_t *receiving = receiving_exchange(connection);

	if (connection->input_failed || connection->failed ||
	    !pipeline_reads(connection->pipeline))
		return false;
	return !receiving || (!receiving->entry.responded &&
			      connection->server->ops->body_room(receiving->request) > 0);
}

/* Parses as much as the requests take and returns how many bytes that was. */
static size_t parse(http_connection_t *connection, const char *data, size_t len)
{
	size_t parsed = 0;

	while (parsed < len && wants_input(connection)) {
		const http_exchange_t *receiving = receiving_exchange(connection);
		size_t part = len - parsed;
		size_t used;

		if (receiving)
			part = MIN(part, connection->server->ops->body_room(
						 receiving->request));
		reader_event_t event = request_reader_feed(connection->reader,
							   data + parsed, part, &used);
		parsed += used;
		handle_reader_event(connection, event);
	}
	return parsed;
}

static bool parse_unread(http_connection_t *connection)
{
	if (connection->unread->len == 0)
		return false;
	size_t parsed = parse(connection, (const char *)connection->unread->data,
			      connection->unread->len);
	g_byte_array_remove_range(connection->unread, 0, (guint)parsed);
	return parsed > 0;
}

static ssize_t receive(http_connection_t *connection)
{
	char *buffer = connection->server->buffer;

	return connection->tls
		       ? tls_session_recv(connection->tls, buffer, HTTP_READ_BYTES)
		       : recv(connection->fd, buffer, HTTP_READ_BYTES, 0);
}

/* Whether the socket is to be read in this run. It is read once, since a client may send
 * faster than it is served, which would keep the other connections waiting; epoll reports
 * the rest. It does not report what a TLS session has read already, at most a record. */
static bool may_receive(const http_connection_t *connection)
{
	return connection->readable &&
	       (!connection->has_received ||
		(connection->tls && tls_session_has_data(connection->tls)));
}

/* Returns whether more may be there to read. */
static bool read_input(http_connection_t *connection)
{
	if (parse_unread(connection))
		return true;
	if (connection->unread->len > 0 || !may_receive(connection) ||
	    !wants_input(connection))
		return false;
	connection->has_received = true;
	ssize_t n = receive(connection);
	/* Behind a short read, epoll reports what arrives later. */
	connection->readable = n == HTTP_READ_BYTES || (n > 0 && connection->tls);
	if (n < 0) {
		connection->failed = connection->failed || errno != EAGAIN;
		return false;
	}
	if (n == 0) {
		connection->client_gone = true;
		return false;
	}
	connection->last_active = clock_boot_usec();
	size_t parsed = parse(connection, connection->server->buffer, (size_t)n);
	g_byte_array_append(connection->unread,
			    (const guint8 *)connection->server->buffer + parsed,
			    (guint)((size_t)n - parsed));
	return true;
}

/* --- Requests ------------------------------------------------------------ */

static bool wake_exchanges(http_connection_t *connection)
{
	pipeline_entry_t *entry = pipeline_first(connection->pipeline);
	bool woken = false;

	for (; entry; entry = TAILQ_NEXT(entry, link)) {
		http_exchange_t *exchange = (http_exchange_t *)entry;
		if (!exchange->woken)
			continue;
		exchange->woken = false;
		woken = true;
		connection->server->ops->on_wake(exchange->request);
	}
	return woken;
}

static bool is_closing(const http_connection_t *connection)
{
	const http_exchange_t *first = first_exchange(connection);

	return first && connection->server->ops->closes(first->request);
}

static bool start_requests(http_connection_t *connection)
{
	bool started = false;

	while (!connection->failed) {
		pipeline_entry_t *entry =
			pipeline_next_start(connection->pipeline, is_closing(connection));
		if (!entry)
			break;
		entry->started = started = true;
		connection->server->ops->on_start(((http_exchange_t *)entry)->request);
	}
	return started;
}

/* --- Sending ------------------------------------------------------------- */

/* Returns whether all of `out` was sent. */
static bool flush(http_connection_t *connection)
{
	GByteArray *out = connection->out;

	while (connection->out_sent < out->len) {
		const guint8 *data = out->data + connection->out_sent;
		size_t len = out->len - connection->out_sent;
		ssize_t n = connection->tls
				    ? tls_session_send(connection->tls, data, len)
				    : send(connection->fd, data, len, MSG_NOSIGNAL);
		if (n < 0) {
			connection->failed = connection->failed || errno != EAGAIN;
			return false;
		}
		connection->out_sent += (size_t)n;
		connection->last_active = connection->last_sent = clock_boot_usec();
	}
	g_byte_array_set_size(out, 0);
	connection->out_sent = 0;
	return true;
}

static void end_exchange(http_connection_t *connection)
{
	http_exchange_t *exchange = first_exchange(connection);

	pipeline_remove_first(connection->pipeline);
	connection->server->ops->on_closed(exchange->request);
	http_exchange_destroy(exchange);
}

static void end_exchanges(http_connection_t *connection)
{
	while (first_exchange(connection))
		end_exchange(connection);
}

static void begin_lingering(http_connection_t *connection)
{
	end_exchanges(connection);
	if (connection->tls)
		tls_session_bye(connection->tls);
	shutdown(connection->fd, SHUT_WR);
	g_byte_array_set_size(connection->unread, 0);
	connection->lingers = true;
	connection->lingers_until = clock_boot_usec() + LINGER_TIME;
}

/* Resets the connection of a client that would take its regular end for the end of a
 * body without a length. */
static void break_off(http_connection_t *connection, const http_exchange_t *exchange)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	if (exchange->head_sent && !exchange->head->http_1_1)
		(void)connect(connection->fd, &none, sizeof(none));
}

static void send_continue(http_connection_t *connection)
{
	http_exchange_t *first = first_exchange(connection);

	if (!first || first->entry.complete || first->continue_sent ||
	    !first->head->expects_continue || first->entry.responded ||
	    first->entry.body_bytes > 0)
		return;
	first->continue_sent = true;
	g_byte_array_append(connection->out, (const guint8 *)CONTINUE_RESPONSE,
			    (guint)strlen(CONTINUE_RESPONSE));
	flush(connection);
}

/* Returns whether a response was sent to its end. */
static bool send_response(http_connection_t *connection)
{
	http_exchange_t *first = first_exchange(connection);

	if (!first || !first->entry.responded || !flush(connection))
		return false;
	/* Decided once: the head states it. */
	if (!first->head_sent)
		first->entry.ends_connection =
			pipeline_closes(connection->pipeline, is_closing(connection));
	while (!first->finished) {
		if (!http_exchange_write(first, first->entry.ends_connection)) {
			/* Also of a response that broke off: the client is to see that.
			 */
			flush(connection);
			if (connection->failed)
				break_off(connection, first);
			return false;
		}
		if (!first->finished && connection->out->len >= SEND_BYTES &&
		    !flush(connection))
			return false;
	}
	if (!flush(connection))
		return false;
	if (first->entry.ends_connection)
		begin_lingering(connection);
	else
		end_exchange(connection);
	return true;
}

/* --- The connection ------------------------------------------------------ */

static void poll_events(http_connection_t *connection)
{
	uint32_t events = connection->client_gone ? 0 : EPOLLRDHUP;

	if (connection->lingers ||
	    (connection->unread->len == 0 && wants_input(connection)))
		events |= EPOLLIN;
	if (connection->out_sent < connection->out->len)
		events |= EPOLLOUT;
	if (events == connection->polled)
		return;
	struct epoll_event event = {.events = events, .data.ptr = connection};
	epoll_ctl(connection->server->epoll_fd, EPOLL_CTL_MOD, connection->fd, &event);
	connection->polled = events;
}

/* Discards what the client still sends. One read in each run: the client may send faster
 * than it is read, and epoll reports the rest. */
static void linger(http_connection_t *connection)
{
	ssize_t n = recv(connection->fd, connection->server->buffer, HTTP_READ_BYTES, 0);

	if (n == 0 || (n < 0 && errno != EAGAIN) ||
	    (n < 0 && http_server_is_crowded(connection->server)))
		connection->failed = true;
}

static place_state_t place_state(const http_connection_t *connection)
{
	const http_exchange_t *first = first_exchange(connection);

	if (connection->lingers)
		return PLACE_IDLE;
	if (!first)
		return request_reader_in_head(connection->reader) ? PLACE_HEAD
								  : PLACE_IDLE;
	if (first == receiving_exchange(connection) && !first->entry.started &&
	    !first->entry.responded)
		return PLACE_BODY;
	return first->entry.responded && connection->out_sent < connection->out->len
		       ? PLACE_STALLED
		       : PLACE_BUSY;
}

static size_t held_bytes(const http_connection_t *connection)
{
	const pipeline_entry_t *entry = pipeline_first(connection->pipeline);
	size_t bytes = request_reader_memory(connection->reader) +
		       connection->unread->len + connection->out->len;

	for (; entry; entry = TAILQ_NEXT(entry, link)) {
		bytes += ((const http_exchange_t *)entry)->head_memory;
		/* Bodies of requests that run are in the windows of their calls. */
		if (!entry->started)
			bytes += MIN(entry->body_bytes, BODY_WINDOW_BYTES);
	}
	return bytes;
}

static int unacknowledged_bytes(const http_connection_t *connection)
{
	int bytes = 0;

	return ioctl(connection->fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

bool http_connection_takes_response(http_connection_t *connection)
{
	struct pollfd pollfd = {.fd = connection->fd, .events = POLLOUT};
	int before = connection->unacknowledged;

	connection->unacknowledged = unacknowledged_bytes(connection);
	return connection->unacknowledged < before || poll(&pollfd, 1, 0) > 0;
}

static void update_place(http_connection_t *connection)
{
	places_t *places = connection->server->places;
	place_t *place = &connection->place;
	bool was_stalled = place->state == PLACE_STALLED;
	size_t bytes = held_bytes(connection);

	connection->bytes_max = MAX(connection->bytes_max, bytes);
	places_update(places, place, place_state(connection), bytes, clock_boot_usec());
	if (place->state != PLACE_STALLED)
		return;
	if (place->since < connection->last_sent)
		places_renew(places, place, clock_boot_usec());
	else if (was_stalled)
		return;
	connection->unacknowledged = unacknowledged_bytes(connection);
}

static void unschedule(http_connection_t *connection)
{
	if (!connection->is_scheduled)
		return;
	connection->is_scheduled = false;
	TAILQ_REMOVE(&connection->server->scheduled, connection, scheduled_link);
}

void http_connection_run(http_connection_t *connection)
{
	bool progress = true;

	connection->has_received = false;
	while (progress && !connection->failed && !connection->lingers) {
		progress = wake_exchanges(connection);
		progress = read_input(connection) || progress;
		progress = start_requests(connection) || progress;
		send_continue(connection);
		progress = send_response(connection) || progress;
	}
	if (connection->lingers && !connection->failed)
		linger(connection);
	if (connection->failed || connection->client_gone) {
		http_connection_destroy(connection);
		return;
	}
	if (!flush(connection) && connection->failed) {
		http_connection_destroy(connection);
		return;
	}
	unschedule(connection);
	update_place(connection);
	poll_events(connection);
	/* A connection that is no longer busy may be closed for a new one. */
	if (connection->place.state != PLACE_BUSY)
		http_server_handle_room(connection->server);
}

void http_connection_handle_events(http_connection_t *connection, uint32_t events)
{
	if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		connection->client_gone = true;
	if (events & (EPOLLIN | EPOLLRDHUP))
		connection->readable = true;
	http_connection_run(connection);
}

void http_connection_schedule(http_connection_t *connection)
{
	http_server_t *server = connection->server;

	if (connection->is_scheduled)
		return;
	connection->is_scheduled = true;
	TAILQ_INSERT_TAIL(&server->scheduled, connection, scheduled_link);
	http_server_schedule(server);
}

bool http_connection_is_expired(const http_connection_t *connection, usec_t now)
{
	const http_exchange_t *first = first_exchange(connection);
	usec_t timeout = connection->crowded
				 ? MIN(CROWDED_IDLE_TIMEOUT,
				       connection->server->options.idle_timeout)
				 : connection->server->options.idle_timeout;

	if (connection->lingers)
		return now >= connection->lingers_until;
	if (connection->out_sent < connection->out->len)
		return now - connection->last_sent >= timeout;
	bool waits_for_client = !first || receiving_exchange(connection);
	return waits_for_client && now - connection->last_active >= timeout;
}

http_connection_t *http_connection_create(http_server_t *server, int fd,
					  const struct sockaddr_in *client)
{
	http_connection_t *connection = g_new0(http_connection_t, 1);

	connection->server = server;
	connection->fd = fd;
	connection->client = *client;
	if (server->credentials)
		connection->tls = tls_session_create(server->credentials, fd);
	connection->reader = request_reader_create(handle_body, connection);
	if (server->options.fields_max > 0)
		request_reader_limit_fields(connection->reader,
					    server->options.fields_max);
	connection->pipeline =
		pipeline_create(&server->options.pipeline, &server->budget);
	connection->unread = g_byte_array_new();
	connection->out = g_byte_array_new();
	connection->last_active = connection->last_sent = clock_boot_usec();
	connection->polled = EPOLLIN | EPOLLRDHUP;
	struct epoll_event event = {.events = connection->polled, .data.ptr = connection};
	epoll_ctl(server->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	TAILQ_INSERT_TAIL(&server->connections, connection, link);
	places_add(server->places, &connection->place, client->sin_addr.s_addr,
		   connection->last_active);
	connection->crowded = http_server_is_crowded(server);
	return connection;
}

void http_connection_destroy(http_connection_t *connection)
{
	http_server_t *server = connection->server;
	const http_exchange_t *first = first_exchange(connection);

	if (first && (!first->finished || connection->out_sent < connection->out->len))
		break_off(connection, first);
	end_exchanges(connection);
	unschedule(connection);
	TAILQ_REMOVE(&server->connections, connection, link);
	places_remove(server->places, &connection->place);
	server->freed_bytes += connection->bytes_max;
	tls_session_destroy(connection->tls);
	close(connection->fd);
	pipeline_destroy(connection->pipeline);
	request_reader_destroy(connection->reader);
	g_byte_array_free(connection->unread, TRUE);
	g_byte_array_free(connection->out, TRUE);
	g_free(connection);
	http_server_handle_room(server);
}
