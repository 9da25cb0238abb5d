#include "http/mhd_loop.h"

#include "common/address.h"
#include "common/error.h"

#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HANGUP_EVENTS_MAX 64
#define CONNECTIONS_DEFAULT_MAX 20000
/* Holds the heads of a request and its response. Kept small because libmicrohttpd clears
 * it for each request. */
#define CONNECTION_MEMORY_BYTES (20u << 10)
/* For connections that are opened while the loop is crowded. */
#define CROWDED_IDLE_TIMEOUT_SEC 20u
/* Reserved for the headers that the node and libmicrohttpd add to a response. */
#define RESPONSE_HEADERS_EXTRA_BYTES 384u
/* What libmicrohttpd allocates for a header, a cookie or an argument. */
#define HEADER_ENTRY_BYTES 64u

struct mhd_loop {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *fde;
	struct tevent_fd *hangup_fde;
	struct tevent_timer *timer;
	struct tevent_immediate *run;
	bool run_scheduled;
	unsigned int connections; /* open */
	unsigned int connections_max;
	unsigned int connections_kept;
	int hangup_epoll_fd;
	int listen_fd;	     /* owned by libmicrohttpd until quiesced, then -1 */
	GHashTable *watches; /* fd -> watch_t */
};

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

static void handle_connection(void *ctx, struct MHD_Connection *connection,
			      void **socket_context,
			      enum MHD_ConnectionNotificationCode code)
{
	(void)socket_context;
	mhd_loop_t *loop = ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		loop->connections++;
		if (mhd_loop_is_crowded(loop))
			MHD_set_connection_option(connection,
						  MHD_CONNECTION_OPTION_TIMEOUT,
						  CROWDED_IDLE_TIMEOUT_SEC);
	}
	/* libmicrohttpd listens again only in the run after a connection was closed. */
	else if (loop->connections-- == loop->connections_max)
		schedule_run(loop);
}

static struct MHD_Daemon *start_daemon(mhd_loop_t *loop,
				       const mhd_loop_options_t *options, int fd,
				       MHD_AccessHandlerCallback handler,
				       MHD_RequestCompletedCallback completed, void *ctx)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_OptionItem tls[] = {
		{MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)options->tls_cert},
		{MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)options->tls_key},
		{MHD_OPTION_END, 0, NULL},
	};
	struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};

	if (options->tls_cert)
		flags |= MHD_USE_TLS;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, handler, ctx, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, completed, ctx, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_escaped, NULL, MHD_OPTION_CONNECTION_TIMEOUT,
		options->idle_timeout_sec, MHD_OPTION_CONNECTION_LIMIT,
		loop->connections_max, MHD_OPTION_NOTIFY_CONNECTION, handle_connection,
		loop, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_ARRAY, options->tls_cert ? tls : none, MHD_OPTION_END);
}

mhd_loop_t *mhd_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			    const mhd_loop_options_t *options,
			    MHD_AccessHandlerCallback handler,
			    MHD_RequestCompletedCallback completed, void *ctx,
			    GError **error)
{
	int fd = options->shared_listener
			 ? fcntl(options->shared_listener->listen_fd, F_DUPFD_CLOEXEC, 0)
			 : address_listen(&options->address, error);

	if (fd < 0)
		return NULL;
	mhd_loop_t *loop = talloc_zero(parent, mhd_loop_t);
	loop->connections_max = options->connections_max ? options->connections_max
							 : CONNECTIONS_DEFAULT_MAX;
	loop->connections_kept = options->connections_kept ? options->connections_kept
							   : loop->connections_max;
	struct MHD_Daemon *daemon =
		start_daemon(loop, options, fd, handler, completed, ctx);
	if (!daemon) {
		close(fd);
		talloc_free(loop);
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
			    "libmicrohttpd failed to start "
			    "(with TLS: check certificate and key)");
		return NULL;
	}
	loop->ev = ev;
	loop->daemon = daemon;
	loop->listen_fd = fd;
	loop->run = tevent_create_immediate(loop);
	int epoll_fd = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
	loop->fde =
		tevent_add_fd(ev, loop, epoll_fd, TEVENT_FD_READ, handle_readable, loop);
	loop->hangup_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->hangup_fde = tevent_add_fd(ev, loop, loop->hangup_epoll_fd, TEVENT_FD_READ,
					 handle_hangup, loop);
	loop->watches = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return loop;
}

void mhd_loop_destroy(mhd_loop_t *loop)
{
	if (!loop)
		return;
	TALLOC_FREE(loop->fde);
	TALLOC_FREE(loop->hangup_fde);
	MHD_stop_daemon(loop->daemon);
	close(loop->hangup_epoll_fd);
	g_hash_table_destroy(loop->watches);
	talloc_free(loop);
}

void mhd_loop_quiesce(mhd_loop_t *loop)
{
	/* Accepts the connections that are already in the listen backlog. */
	MHD_run(loop->daemon);
	int fd = MHD_quiesce_daemon(loop->daemon);

	if (fd >= 0)
		close(fd);
	loop->listen_fd = -1;
}

bool mhd_loop_owns(const mhd_loop_t *loop, struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_DAEMON);

	return info && info->daemon == loop->daemon;
}

unsigned int mhd_loop_connections(const mhd_loop_t *loop)
{
	return loop->connections;
}

bool mhd_loop_is_crowded(const mhd_loop_t *loop)
{
	return loop->connections > loop->connections_kept;
}

void mhd_loop_resume(mhd_loop_t *loop, struct MHD_Connection *connection)
{
	MHD_resume_connection(connection);
	schedule_run(loop);
}

static int connection_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

void mhd_loop_reset(struct MHD_Connection *connection)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	/* Sends a reset at once; with SO_LINGER, libmicrohttpd would shut the connection
	 * down in the regular way before. */
	(void)connect(connection_fd(connection), &none, sizeof(none));
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

bool mhd_client_hung_up(struct MHD_Connection *connection)
{
	struct pollfd pollfd = {.fd = connection_fd(connection), .events = POLLRDHUP};

	return poll(&pollfd, 1, 0) > 0;
}

size_t mhd_response_headers_max(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
							  MHD_HTTP_HEADER_COOKIE);
	int entries = MHD_get_connection_values(
		connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
		NULL, NULL);
	size_t used = RESPONSE_HEADERS_EXTRA_BYTES + (info ? info->header_size : 0) +
		      (size_t)entries * HEADER_ENTRY_BYTES;

	/* libmicrohttpd copies the cookies to split them. */
	if (cookies)
		used += strlen(cookies);
	return used < CONNECTION_MEMORY_BYTES ? CONNECTION_MEMORY_BYTES - used : 0;
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
