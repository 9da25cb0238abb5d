#include "http/curl_loop.h"

#include <glib.h>

#define POOLED_HANDLES_MAX 256

struct curl_loop {
	struct tevent_context *ev;
	struct tevent_timer *timer;
	CURLM *multi;
	GPtrArray *pool; /* CURL *, not in use */
	struct tevent_immediate *check;
	bool check_scheduled;
	GHashTable *to_resume; /* set of CURL *, resumed by the next check */
};

/* A socket of the curl multi handle that tevent polls. */
typedef struct socket_watch {
	curl_loop_t *loop;
	curl_socket_t fd;
	struct tevent_fd *fde;
} socket_watch_t;

typedef struct transfer {
	curl_loop_t *loop;
	curl_done_fn done;
	void *ctx;
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
	g_hash_table_remove(loop->to_resume, easy);
	g_free(transfer_of(easy));
	curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
	if (loop->pool->len >= POOLED_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(loop->pool, easy);
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

static void handle_socket(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	socket_watch_t *watch = private_data;
	curl_loop_t *loop = watch->loop;
	int mask = 0;
	int running;

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
	curl_loop_t *loop = userp;
	socket_watch_t *watch = socketp;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		talloc_free(watch);
		curl_multi_assign(loop->multi, fd, NULL);
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
		curl_multi_assign(loop->multi, fd, watch);
	} else {
		tevent_fd_set_flags(watch->fde, flags);
	}
	return 0;
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

curl_loop_t *curl_loop_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      long max_cached_connections)
{
	curl_loop_t *loop = talloc_zero(parent, curl_loop_t);

	loop->ev = ev;
	loop->multi = curl_multi_init();
	loop->pool = g_ptr_array_new();
	loop->to_resume = g_hash_table_new(NULL, NULL);
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
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, handle_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	return easy;
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

bool curl_loop_request_sent(CURL *easy)
{
	const transfer_t *transfer = transfer_of(easy);

	return transfer && transfer->request_writes > 0;
}

void curl_loop_resume(curl_loop_t *loop, CURL *easy)
{
	g_hash_table_add(loop->to_resume, easy);
	schedule_check(loop);
}
