#include "http/mhd_loop.h"

#include "common/address.h"
#include "common/error.h"
#include "http/closing.h"

#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HANGUP_EVENTS_MAX 64
/* libmicrohttpd stops accepting at this multiple of connections_max. Those that were shut
 * down count until it notices. */
#define CLOSING_FACTOR 2
#define BYTES_PER_CONNECTION (32u << 10) /* libmicrohttpd's pool */

struct mhd_loop {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *fde;
	struct tevent_fd *hangup_fde;
	struct tevent_timer *timer;
	struct tevent_immediate *run;
	bool run_scheduled;
	int hangup_epoll_fd;
	GHashTable *watches; /* fd -> watch_t */
	MHD_RequestCompletedCallback completed;
	void *ctx;
	places_t *places; /* NULL without a limit */
	closing_log_t closing_log;
	struct tevent_timer *sweep;
};

/* A connection of a loop with a limit; the context of its socket. */
typedef struct mhd_client {
	place_t place;
	int fd;
	bool closing; /* shut down, no longer in `places` */
} mhd_client_t;

typedef struct watch {
	mhd_hangup_fn fn;
	void *ctx;
} watch_t;

static void schedule_run(mhd_loop_t *loop);

static void handle_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	mhd_loop_t *loop = private_data;

	loop->timer = NULL;
	schedule_run(loop);
}

static void run_daemon(mhd_loop_t *loop)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(loop->daemon);
	if (MHD_get_timeout(loop->daemon, &timeout_ms) != MHD_YES) {
		TALLOC_FREE(loop->timer);
		return;
	}
	if (timeout_ms == 0) {
		schedule_run(loop);
		return;
	}
	TALLOC_FREE(loop->timer);
	loop->timer = tevent_add_timer(
		loop->ev, loop,
		tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
					   (uint32_t)(timeout_ms % 1000) * 1000),
		handle_timer, loop);
}

static void handle_run(struct tevent_context *ev, struct tevent_immediate *im,
		       void *private_data)
{
	(void)ev;
	(void)im;
	mhd_loop_t *loop = private_data;

	loop->run_scheduled = false;
	run_daemon(loop);
}

static void schedule_run(mhd_loop_t *loop)
{
	if (loop->run_scheduled)
		return;
	loop->run_scheduled = true;
	tevent_schedule_immediate(loop->run, loop->ev, handle_run, loop);
}

static void handle_readable(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	run_daemon(private_data);
}

static void handle_hangup(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	mhd_loop_t *loop = private_data;
	struct epoll_event events[HANGUP_EVENTS_MAX];
	int n = epoll_wait(loop->hangup_epoll_fd, events, HANGUP_EVENTS_MAX, 0);

	for (int i = 0; i < n; i++) {
		void *key = GINT_TO_POINTER(events[i].data.fd);
		watch_t *watch = g_hash_table_lookup(loop->watches, key);

		epoll_ctl(loop->hangup_epoll_fd, EPOLL_CTL_DEL, events[i].data.fd, NULL);
		if (!watch)
			continue;
		watch_t copy = *watch;
		g_hash_table_remove(loop->watches, key);
		copy.fn(copy.ctx);
	}
}

/* Leaves paths and queries percent-encoded, as the client sent them. */
static size_t keep_escaped(void *cls, struct MHD_Connection *connection, char *text)
{
	(void)cls;
	(void)connection;
	return strlen(text);
}

static int connection_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

static void shut_client(mhd_loop_t *loop, place_t *place, closing_reason_t reason)
{
	mhd_client_t *client =
		(mhd_client_t *)((char *)place - offsetof(mhd_client_t, place));

	closing_note(&loop->closing_log, reason, loop->places, place, clock_boot_usec());
	places_remove(loop->places, place);
	client->closing = true;
	/* libmicrohttpd has no call that closes a connection; it sees the end. */
	shutdown(client->fd, SHUT_RDWR);
	schedule_run(loop);
}

static void handle_connection(void *cls, struct MHD_Connection *connection,
			      void **socket_context,
			      enum MHD_ConnectionNotificationCode code)
{
	mhd_loop_t *loop = cls;
	mhd_client_t *client = *socket_context;
	usec_t now = clock_boot_usec();

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (client && !client->closing)
			places_remove(loop->places, &client->place);
		g_free(client);
		*socket_context = NULL;
		/* At its limit libmicrohttpd does not poll the listener. It polls it
		 * again in its next run, which no event would cause. */
		schedule_run(loop);
		return;
	}
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *address =
		info ? (const struct sockaddr_in *)info->client_addr : NULL;
	place_t *place = NULL;

	if (places_are_full(loop->places))
		place = places_choose(loop->places, clock_boot_usec());
	if (place)
		shut_client(loop, place, CLOSING_PLACE);
	client = g_new0(mhd_client_t, 1);
	client->fd = connection_fd(connection);
	places_add(loop->places, &client->place, address ? address->sin_addr.s_addr : 0,
		   now);
	places_update(loop->places, &client->place, PLACE_HEAD, BYTES_PER_CONNECTION,
		      now);
	*socket_context = client;
}

static void handle_completed(void *cls, struct MHD_Connection *connection, void **state,
			     enum MHD_RequestTerminationCode code)
{
	mhd_loop_t *loop = cls;

	if (loop->places) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
			connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
		mhd_client_t *client = info ? info->socket_context : NULL;

		if (client && !client->closing)
			places_renew(loop->places, &client->place, clock_boot_usec());
	}
	loop->completed(loop->ctx, connection, state, code);
}

static void schedule_sweep(mhd_loop_t *loop);

/* libmicrohttpd's timeout begins again with each byte. */
static void handle_sweep(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	mhd_loop_t *loop = private_data;
	place_t *place;

	while ((place = places_choose_expired(loop->places, clock_boot_usec())))
		shut_client(loop, place, CLOSING_HEAD_TIMEOUT);
	schedule_sweep(loop);
}

static void schedule_sweep(mhd_loop_t *loop)
{
	loop->sweep = tevent_add_timer(loop->ev, loop, tevent_timeval_current_ofs(1, 0),
				       handle_sweep, loop);
}

static struct MHD_Daemon *start_daemon(mhd_loop_t *loop,
				       const mhd_loop_options_t *options, int fd,
				       MHD_AccessHandlerCallback handler)
{
	struct MHD_OptionItem limits[] = {
		{MHD_OPTION_CONNECTION_LIMIT,
		 (intptr_t)options->connections_max * CLOSING_FACTOR, NULL},
		{MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)handle_connection, loop},
		{MHD_OPTION_END, 0, NULL},
	};
	const struct MHD_OptionItem *none = &limits[G_N_ELEMENTS(limits) - 1];

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handler,
		loop->ctx, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
		handle_completed, loop, MHD_OPTION_UNESCAPE_CALLBACK, keep_escaped, NULL,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_sec,
		MHD_OPTION_ARRAY, loop->places ? limits : none, MHD_OPTION_END);
}

mhd_loop_t *mhd_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			    const mhd_loop_options_t *options,
			    MHD_AccessHandlerCallback handler,
			    MHD_RequestCompletedCallback completed, void *ctx,
			    GError **error)
{
	int fd = address_listen(&options->address, error);

	if (fd < 0)
		return NULL;
	mhd_loop_t *loop = talloc_zero(parent, mhd_loop_t);
	loop->completed = completed;
	loop->ctx = ctx;
	loop->closing_log.listener = options->name;
	if (options->connections_max > 0)
		loop->places = places_create(&(places_limits_t){
			.places_max = options->connections_max,
			.address_share_percent = options->address_share_percent,
			.head_timeout = options->idle_timeout_sec * USEC_PER_SEC,
		});
	struct MHD_Daemon *daemon = start_daemon(loop, options, fd, handler);
	if (!daemon) {
		close(fd);
		places_destroy(loop->places);
		talloc_free(loop);
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
			    "libmicrohttpd failed to start");
		return NULL;
	}
	loop->ev = ev;
	loop->daemon = daemon;
	loop->run = tevent_create_immediate(loop);
	int epoll_fd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
	loop->fde =
		tevent_add_fd(ev, loop, epoll_fd, TEVENT_FD_READ, handle_readable, loop);
	loop->hangup_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->hangup_fde = tevent_add_fd(ev, loop, loop->hangup_epoll_fd, TEVENT_FD_READ,
					 handle_hangup, loop);
	loop->watches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	if (loop->places)
		schedule_sweep(loop);
	return loop;
}

void mhd_loop_destroy(mhd_loop_t *loop)
{
	if (!loop)
		return;
	TALLOC_FREE(loop->fde);
	TALLOC_FREE(loop->hangup_fde);
	MHD_stop_daemon(loop->daemon);
	places_destroy(loop->places);
	close(loop->hangup_epoll_fd);
	g_hash_table_destroy(loop->watches);
	talloc_free(loop);
}

void mhd_loop_resume(mhd_loop_t *loop, struct MHD_Connection *connection)
{
	MHD_resume_connection(connection);
	schedule_run(loop);
}

void mhd_loop_watch(mhd_loop_t *loop, struct MHD_Connection *connection, mhd_hangup_fn fn,
		    void *ctx)
{
	int fd = connection_fd(connection);
	struct epoll_event event = {.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR,
				    .data.fd = fd};
	watch_t *watch = g_new0(watch_t, 1);

	watch->fn = fn;
	watch->ctx = ctx;
	g_hash_table_replace(loop->watches, GINT_TO_POINTER(fd), watch);
	epoll_ctl(loop->hangup_epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

void mhd_loop_unwatch(mhd_loop_t *loop, struct MHD_Connection *connection)
{
	int fd = connection_fd(connection);

	if (g_hash_table_remove(loop->watches, GINT_TO_POINTER(fd)))
		epoll_ctl(loop->hangup_epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}

enum MHD_Result mhd_respond_text(struct MHD_Connection *connection, unsigned int status,
				 const char *content_type, const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	enum MHD_Result result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}
