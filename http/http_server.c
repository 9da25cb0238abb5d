#include "http/http_server.h"

#include "common/address.h"
#include "common/counters.h"
#include "common/log.h"
#include "http/http_connection.h"

#include <errno.h>
#include <malloc.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_MAX 64
#define ACCEPT_BATCH 64
/* Idle connections with unread bytes that are passed over for one that is closed. */
#define PASSED_OVER_MAX 16
/* malloc_trim() walks the whole heap, so it is called only when much was freed. */
#define TRIM_PERIOD (5 * USEC_PER_SEC)
#define TRIM_MIN_BYTES (1u << 20)
/* Sweeps are a second apart, a little more under load: that is not a pause. */
#define PAUSE_MIN (1500 * USEC_PER_MSEC)

bool http_server_is_crowded(const http_server_t *server)
{
	return places_count(server->places) > server->options.connections_kept;
}

static void poll_listener(http_server_t *server, bool accepts)
{
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = NULL};

	if (server->listen_fd < 0 || server->accepts == accepts)
		return;
	server->accepts = accepts;
	epoll_ctl(server->epoll_fd, accepts ? EPOLL_CTL_ADD : EPOLL_CTL_DEL,
		  server->listen_fd, &event);
}

void http_server_handle_room(http_server_t *server)
{
	poll_listener(server, true);
}

static void log_accept_failure(http_server_t *server, int code)
{
	usec_t now = clock_boot_usec();
	log_rec_t rec;

	if (now < server->next_accept_line)
		return;
	server->next_accept_line = now + USEC_PER_SEC;
	log_begin(&rec, LOG_LEVEL_WARN, "accept");
	log_str(&rec, "error", g_strerror(code));
	log_end(&rec);
}

/* A process that was stopped finds requests on connections that seem idle. */
static bool has_input(const http_connection_t *connection)
{
	struct pollfd pollfd = {.fd = connection->fd, .events = POLLIN};

	return poll(&pollfd, 1, 0) > 0;
}

static http_connection_t *connection_of(place_t *place)
{
	return (http_connection_t *)((char *)place - offsetof(http_connection_t, place));
}

static void close_for(http_server_t *server, place_t *place, closing_reason_t reason)
{
	closing_note(&server->closing_log, reason, server->places, place,
		     clock_boot_usec());
	http_connection_destroy(connection_of(place));
}

/* Whether the connection is not what its place says, as it is looked at only by events.
 */
static bool is_passed_over(place_t *place, int passed_over)
{
	http_connection_t *connection = connection_of(place);

	if (place->state == PLACE_STALLED)
		return http_connection_takes_response(connection);
	return place->state == PLACE_IDLE && passed_over < PASSED_OVER_MAX &&
	       !connection->lingers && has_input(connection);
}

/* Closes a connection for another one. Returns false if all are busy. */
static bool make_place(http_server_t *server)
{
	place_t *place = places_choose(server->places, clock_boot_usec());

	for (int i = 0; place && is_passed_over(place, i); i++) {
		places_renew(server->places, place, clock_boot_usec());
		place = places_choose(server->places, clock_boot_usec());
	}
	if (!place)
		return false;
	close_for(server, place, CLOSING_PLACE);
	return true;
}

void http_server_bound_memory(http_server_t *server)
{
	place_t *place;

	while (places_exceed_memory(server->places) &&
	       (place = places_choose_for_memory(server->places, clock_boot_usec()))) {
		if (place->state == PLACE_STALLED && is_passed_over(place, 0))
			places_renew(server->places, place, clock_boot_usec());
		else
			close_for(server, place, CLOSING_MEMORY);
	}
}

/* Returns false if there is nothing to accept or no room for it. */
static bool accept_one(http_server_t *server)
{
	struct sockaddr_in client = {0};
	socklen_t len = sizeof(client);

	if (places_are_full(server->places)) {
		struct pollfd pollfd = {.fd = server->listen_fd, .events = POLLIN};

		if (poll(&pollfd, 1, 0) <= 0)
			return false;
		if (!make_place(server)) {
			poll_listener(server, false);
			return false;
		}
	}
	int fd = accept4(server->listen_fd, (struct sockaddr *)&client, &len,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd >= 0) {
		http_connection_create(server, fd, &client);
		return true;
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
		log_accept_failure(server, errno);
		/* Once per batch: descriptors may be short for another reason. */
		if (!make_place(server))
			poll_listener(server, false);
		return false;
	}
	return errno == ECONNABORTED || errno == EINTR;
}

static void accept_connections(http_server_t *server)
{
	for (int i = 0; i < ACCEPT_BATCH; i++) {
		if (!accept_one(server))
			return;
	}
}

static void handle_readable(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	http_server_t *server = private_data;
	struct epoll_event events[EVENTS_MAX];
	int n = epoll_wait(server->epoll_fd, events, EVENTS_MAX, 0);

	bool accepts = false;

	/* An event of one connection destroys no other one, but accepting may. */
	for (int i = 0; i < n; i++) {
		if (events[i].data.ptr)
			http_connection_handle_events(events[i].data.ptr,
						      events[i].events);
		else
			accepts = true;
	}
	if (accepts)
		accept_connections(server);
	http_server_bound_memory(server);
}

static void handle_run(struct tevent_context *ev, struct tevent_immediate *im,
		       void *private_data)
{
	(void)ev;
	(void)im;
	http_server_t *server = private_data;
	http_connection_t *connection;

	server->run_scheduled = false;
	while ((connection = TAILQ_FIRST(&server->scheduled)))
		http_connection_run(connection);
	http_server_bound_memory(server);
}

void http_server_schedule(http_server_t *server)
{
	if (server->run_scheduled)
		return;
	server->run_scheduled = true;
	tevent_schedule_immediate(server->run, server->ev, handle_run, server);
}

http_server_t *http_server_create(TALLOC_CTX *parent, struct tevent_context *ev,
				  const http_server_options_t *options,
				  const http_server_ops_t *ops, void *ctx, GError **error)
{
	tls_credentials_t *credentials = NULL;

	if (options->tls_cert) {
		credentials = tls_credentials_create(options->tls_cert, options->tls_key,
						     error);
		if (!credentials)
			return NULL;
	}
	int fd = address_listen(&options->address, error);
	if (fd < 0) {
		tls_credentials_unref(credentials);
		return NULL;
	}
	http_server_t *server = talloc_zero(parent, http_server_t);
	server->ev = ev;
	server->ops = ops;
	server->ctx = ctx;
	server->options = *options;
	server->options.tls_cert = server->options.tls_key = NULL;
	server->credentials = credentials;
	server->budget.ahead_max = options->ahead_max;
	server->places = places_create(&(places_limits_t){
		.places_max = options->connections_max,
		.address_share_percent = options->address_share_percent,
		.memory_max = options->memory_max,
		.head_timeout = options->head_timeout,
	});
	server->closing_log.listener = options->name;
	server->listen_fd = fd;
	TAILQ_INIT(&server->connections);
	TAILQ_INIT(&server->scheduled);
	server->buffer = talloc_array(server, char, HTTP_READ_BYTES);
	server->run = tevent_create_immediate(server);
	server->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	server->fde = tevent_add_fd(ev, server, server->epoll_fd, TEVENT_FD_READ,
				    handle_readable, server);
	poll_listener(server, true);
	return server;
}

void http_server_destroy(http_server_t *server)
{
	http_connection_t *connection;

	if (!server)
		return;
	while ((connection = TAILQ_FIRST(&server->connections)))
		http_connection_destroy(connection);
	TALLOC_FREE(server->fde);
	close(server->epoll_fd);
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	tls_credentials_unref(server->credentials);
	places_destroy(server->places);
	talloc_free(server);
}

bool http_server_set_certificate(http_server_t *server, const char *cert, const char *key,
				 GError **error)
{
	tls_credentials_t *credentials = tls_credentials_create(cert, key, error);

	if (!credentials)
		return false;
	tls_credentials_unref(server->credentials);
	server->credentials = credentials;
	return true;
}

void http_server_quiesce(http_server_t *server)
{
	if (server->listen_fd < 0)
		return;
	while (accept_one(server))
		;
	poll_listener(server, false);
	close(server->listen_fd);
	server->listen_fd = -1;
}

/* The allocator keeps what it has freed, mostly: after a crowd of connections the process
 * would stay as large as it was. */
static void trim_memory(http_server_t *server, usec_t now)
{
	if (server->freed_bytes < TRIM_MIN_BYTES || now < server->next_trim)
		return;
	server->freed_bytes = 0;
	server->next_trim = now + TRIM_PERIOD;
	malloc_trim(0);
	counter_add(COUNTER_MEMORY_TRIMS, 1);
}

/* Closes connections whose heads take too long. After a pause of the process their bytes
 * may not have been read yet, so it does so from the next sweep on. */
static void close_expired_heads(http_server_t *server, usec_t now)
{
	bool paused = now - server->last_sweep >=
		      MAX(server->options.head_timeout / 2, PAUSE_MIN);
	place_t *place;

	server->last_sweep = now;
	if (paused)
		return;
	while ((place = places_choose_expired(server->places, now)))
		close_for(server, place, CLOSING_HEAD_TIMEOUT);
}

void http_server_sweep(http_server_t *server, usec_t now)
{
	http_connection_t *connection = TAILQ_FIRST(&server->connections);

	while (connection) {
		http_connection_t *next = TAILQ_NEXT(connection, link);
		if (http_connection_is_expired(connection, now) &&
		    (connection->lingers || !has_input(connection)))
			http_connection_destroy(connection);
		connection = next;
	}
	close_expired_heads(server, now);
	trim_memory(server, now);
	/* Descriptors may have become free elsewhere. */
	http_server_handle_room(server);
}
