#include "http/curl_loop.h"

#include "common/counters.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define POOLED_HANDLES_MAX 256
#define DISCARD_BYTES 16384

struct curl_loop {
	struct tevent_context *ev;
	struct tevent_timer *timer;
	CURLM *multi;
	GPtrArray *pool; /* CURL *, not in use */
	struct tevent_immediate *check;
	bool check_scheduled;
	GHashTable *to_resume; /* set of CURL *, resumed by the next check */
	GHashTable *watches;   /* fd -> socket_watch_t, until curl closes the socket */
};

/* A socket of the curl multi handle that tevent polls. */
typedef struct socket_watch {
	curl_loop_t *loop;
	curl_socket_t fd;
	struct tevent_fd *fde;
	bool paused; /* curl does not poll the socket: a paused transfer, or none */
	bool idle;   /* no transfer uses the connection, which curl keeps open */
} socket_watch_t;

typedef struct transfer {
	curl_loop_t *loop;
	curl_done_fn done;
	void *ctx;
	curl_head_fn on_head; /* or NULL */
	void *on_head_ctx;
	response_head_t head;
	bool socket_opened;
	int request_writes; /* how often curl began to write the request; a second write
			       is aborted */
} transfer_t;

static transfer_t *transfer_of(CURL *easy)
{
	char *data = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &data);
	return (transfer_t *)(void *)data;
}

static void release_handle(curl_loop_t *loop, CURL *easy)
{
	transfer_t *transfer = transfer_of(easy);

	g_hash_table_remove(loop->to_resume, easy);
	response_head_clear(&transfer->head);
	g_free(transfer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
	if (loop->pool->len >= POOLED_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(loop->pool, easy);
}

/* Watches the connection of a finished transfer if curl keeps it. Called before the
 * handle is removed from the multi handle. */
static void watch_idle_connection(curl_loop_t *loop, CURL *easy)
{
	curl_socket_t fd = CURL_SOCKET_BAD;

	curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
	if (fd == CURL_SOCKET_BAD)
		return;
	socket_watch_t *watch =
		g_hash_table_lookup(loop->watches, GINT_TO_POINTER((int)fd));
	if (!watch || !watch->paused)
		return;
	watch->idle = true;
	tevent_fd_set_flags(watch->fde, TEVENT_FD_READ);
}

static void finish_transfers(curl_loop_t *loop)
{
	CURLMsg *msg;
	int remaining;

	while ((msg = curl_multi_info_read(loop->multi, &remaining))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		CURL *easy = msg->easy_handle;
		CURLcode code = msg->data.result;
		transfer_t *transfer = transfer_of(easy);

		if (code == CURLE_OK && transfer->head.state != RESPONSE_HEAD_COMPLETE)
			code = CURLE_PARTIAL_FILE;
		watch_idle_connection(loop, easy);
		curl_multi_remove_handle(loop->multi, easy);
		transfer->done(transfer->ctx, easy, code);
		release_handle(loop, easy);
	}
}

static void resume_transfers(curl_loop_t *loop)
{
	GList *to_resume = g_hash_table_get_keys(loop->to_resume);

	for (GList *item = to_resume; item; item = item->next) {
		/* Resuming one transfer may end another one, which is then no longer in
		 * the set. */
		if (g_hash_table_remove(loop->to_resume, item->data))
			curl_easy_pause(item->data, CURLPAUSE_CONT);
	}
	g_list_free(to_resume);
}

static void handle_check(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	(void)ev;
	(void)im;
	curl_loop_t *loop = private_data;

	loop->check_scheduled = false;
	resume_transfers(loop);
	finish_transfers(loop);
}

static void schedule_check(curl_loop_t *loop)
{
	if (loop->check_scheduled)
		return;
	loop->check_scheduled = true;
	tevent_schedule_immediate(loop->check, loop->ev, handle_check, loop);
}

/* The server has closed the idle connection or sent bytes that belong to no request.
 * Shuts it down, so that the server can send no more; the kernel resets it if more bytes
 * arrive. What has arrived is discarded, as curl would use a connection with unread bytes
 * again. */
static void shut_down_idle_connection(socket_watch_t *watch)
{
	char discarded[DISCARD_BYTES];

	counter_add(COUNTER_IDLE_CONNECTIONS_SHUT, 1);
	shutdown(watch->fd, SHUT_RDWR);
	while (recv(watch->fd, discarded, sizeof(discarded), MSG_DONTWAIT) > 0)
		;
	tevent_fd_set_flags(watch->fde, 0);
}

static void handle_socket(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	socket_watch_t *watch = private_data;
	curl_loop_t *loop = watch->loop;
	int mask = 0;
	int running;

	if (watch->idle) {
		shut_down_idle_connection(watch);
		return;
	}
	if (watch->paused) {
		tevent_fd_set_flags(watch->fde, 0);
		return;
	}
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(loop->multi, watch->fd, mask, &running);
	finish_transfers(loop);
}

static void handle_timer(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	curl_loop_t *loop = private_data;
	int running;

	loop->timer = NULL;
	curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers(loop);
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *userp, void *socketp)
{
	(void)easy;
	(void)socketp;
	curl_loop_t *loop = userp;
	socket_watch_t *watch =
		g_hash_table_lookup(loop->watches, GINT_TO_POINTER((int)fd));
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		/* The socket stays in the poll set until an event arrives, because the
		 * next transfer often follows before one does. */
		if (watch)
			watch->paused = true;
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!watch) {
		watch = talloc_zero(loop, socket_watch_t);
		watch->loop = loop;
		watch->fd = fd;
		watch->fde = tevent_add_fd(loop->ev, watch, (int)fd, flags, handle_socket,
					   watch);
		g_hash_table_insert(loop->watches, GINT_TO_POINTER((int)fd), watch);
	} else {
		watch->paused = false;
		watch->idle = false;
		tevent_fd_set_flags(watch->fde, flags);
	}
	return 0;
}

static void free_watch(void *data)
{
	talloc_free(data);
}

/* curl is done with the socket. */
static int close_socket(void *clientp, curl_socket_t fd)
{
	curl_loop_t *loop = clientp;

	g_hash_table_remove(loop->watches, GINT_TO_POINTER((int)fd));
	return close(fd);
}

static int set_timer(CURLM *multi, long timeout_ms, void *userp)
{
	(void)multi;
	curl_loop_t *loop = userp;

	TALLOC_FREE(loop->timer);
	if (timeout_ms < 0)
		return 0;
	loop->timer = tevent_add_timer(
		loop->ev, loop,
		tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
					   (uint32_t)(timeout_ms % 1000) * 1000),
		handle_timer, loop);
	return 0;
}

/* Aborts the transfer before curl writes the request a second time; see DESCRIPTION in
 * the header. */
static int handle_before_request(void *clientp, char *remote_ip, char *local_ip,
				 int remote_port, int local_port)
{
	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	transfer_t *transfer = clientp;

	if (transfer->request_writes++ > 0)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

/* A result below the length makes curl fail the transfer and close the connection. */
static size_t receive_header(char *line, size_t size, size_t count, void *clientp)
{
	transfer_t *transfer = clientp;
	size_t len = size * count;
	bool was_complete = transfer->head.state == RESPONSE_HEAD_COMPLETE;
	response_head_state_t state = response_head_add_line(&transfer->head, line, len);

	if (state == RESPONSE_HEAD_MALFORMED)
		return 0;
	if (state == RESPONSE_HEAD_COMPLETE && !was_complete && transfer->on_head &&
	    !transfer->on_head(transfer->on_head_ctx, &transfer->head))
		return 0;
	return len;
}

static int handle_socket_opened(void *clientp, curl_socket_t fd, curlsocktype purpose)
{
	(void)fd;
	(void)purpose;
	transfer_t *transfer = clientp;

	transfer->socket_opened = true;
	return CURL_SOCKOPT_OK;
}

curl_loop_t *curl_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      long max_cached_connections)
{
	curl_loop_t *loop = talloc_zero(parent, curl_loop_t);

	loop->ev = ev;
	loop->multi = curl_multi_init();
	loop->pool = g_ptr_array_new();
	loop->to_resume = g_hash_table_new(NULL, NULL);
	loop->watches = g_hash_table_new_full(NULL, NULL, NULL, free_watch);
	loop->check = tevent_create_immediate(loop);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
	curl_multi_setopt(loop->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return loop;
}

void curl_loop_destroy(curl_loop_t *loop)
{
	if (!loop)
		return;
	for (guint i = 0; i < loop->pool->len; i++)
		curl_easy_cleanup(loop->pool->pdata[i]);
	g_ptr_array_free(loop->pool, TRUE);
	curl_multi_cleanup(loop->multi);
	g_hash_table_destroy(loop->to_resume);
	g_hash_table_destroy(loop->watches);
	talloc_free(loop);
}

CURL *curl_loop_acquire(curl_loop_t *loop)
{
	CURL *easy =
		loop->pool->len > 0
			? g_ptr_array_remove_index_fast(loop->pool, loop->pool->len - 1)
			: curl_easy_init();
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->loop = loop;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	/* curl reports a refused connection only after this time, although there is no
	 * second address that it could try. */
	curl_easy_setopt(easy, CURLOPT_HAPPY_EYEBALLS_TIMEOUT_MS, 1L);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, handle_socket_opened);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, loop);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, handle_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	return easy;
}

void curl_loop_on_head(CURL *easy, curl_head_fn fn, void *ctx)
{
	transfer_t *transfer = transfer_of(easy);

	transfer->on_head = fn;
	transfer->on_head_ctx = ctx;
}

bool curl_loop_start(curl_loop_t *loop, CURL *easy, curl_done_fn done, void *ctx)
{
	transfer_t *transfer = transfer_of(easy);

	transfer->done = done;
	transfer->ctx = ctx;
	if (curl_multi_add_handle(loop->multi, easy) != CURLM_OK)
		return false;
	schedule_check(loop);
	return true;
}

void curl_loop_stop(curl_loop_t *loop, CURL *easy)
{
	curl_multi_remove_handle(loop->multi, easy);
	release_handle(loop, easy);
}

bool curl_loop_refused(CURL *easy, CURLcode code)
{
	const transfer_t *transfer = transfer_of(easy);
	long error = 0;

	/* curl keeps the error number of an earlier transfer of the handle. */
	if (code != CURLE_COULDNT_CONNECT || !transfer->socket_opened)
		return false;
	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
	return error == ECONNREFUSED;
}

bool curl_loop_request_sent(CURL *easy)
{
	const transfer_t *transfer = transfer_of(easy);

	return transfer && transfer->request_writes > 0;
}

bool curl_loop_reconnected(CURL *easy)
{
	return transfer_of(easy)->request_writes > 1;
}

bool curl_loop_connection_lost(CURL *easy, CURLcode code)
{
	if (!curl_loop_request_sent(easy))
		return false;
	switch (code) {
	case CURLE_GOT_NOTHING:
	case CURLE_RECV_ERROR:
	case CURLE_SEND_ERROR:
	case CURLE_PARTIAL_FILE:
	/* These three are of the attempt to send the request once more. */
	case CURLE_COULDNT_CONNECT:
	case CURLE_SEND_FAIL_REWIND:
		return true;
	case CURLE_ABORTED_BY_CALLBACK:
		return curl_loop_reconnected(easy);
	default:
		return false;
	}
}

void curl_loop_resume(curl_loop_t *loop, CURL *easy)
{
	g_hash_table_add(loop->to_resume, easy);
	schedule_check(loop);
}
