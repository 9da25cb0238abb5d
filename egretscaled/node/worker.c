#include "egretscaled/node/worker.h"

#include "common/address.h"
#include "common/error.h"
#include "common/log.h"
#include "platform/store.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLER_IDLE_TIMEOUT (120 * USEC_PER_SEC)
/* Connections of callers, of a worker's part of the descriptors: open at once, and kept
 * open after a response. The rest is for targets, peers, the store and files. */
#define CALLERS_MAX(descriptors) MAX((descriptors) / 4 * 3, 1)
#define CALLERS_KEPT(descriptors) MAX((descriptors) / 8 * 3, 1)
/* Descriptors beside the connections of the listeners: files, event loops, and
 * connections to the store, to targets and to peers. Without a peer and with one target,
 * 31 are in use. */
#define DESCRIPTORS_OWN 48
/* Connections of the target: reports alone, or, in the product's own mode, with its
 * outbound calls, of which each of its slots may make some at a time. */
#define REPORTS_MAX(descriptors) MAX((descriptors) / 16, 8)
#define OUTBOUND_MAX(descriptors) MAX((descriptors) / 8, 16)
/* Connections at the port for peers that are not authenticated yet. All nodes may connect
 * at the same time, for a moment each. */
#define PENDING_PEERS_MAX(descriptors) MAX((descriptors) / 32, 8)
/* The parts of --connection-memory for callers and for the target. */
#define CALLERS_MEMORY(bytes) ((bytes) / 4 * 3)
#define TARGET_MEMORY(bytes) ((bytes) / 4)
#define CACHED_CONNECTIONS 2000L
#define ACCEPT_BATCH 32
#define SWEEP_PERIOD USEC_PER_SEC
/* Longest wait at the end of the process for the responses to requests that were read
 * just before. */
#define EXIT_WAIT (50 * USEC_PER_MSEC)

typedef struct posted_task {
	worker_task_fn fn;
	void *ctx;
} posted_task_t;

typedef struct deferred_task {
	worker_t *worker;
	worker_task_fn fn;
	void *ctx;
} deferred_task_t;

static void handle_inbox(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			 void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	worker_t *worker = private_data;
	uint64_t count;

	if (read(worker->inbox_fd, &count, sizeof(count)) != sizeof(count))
		return;
	for (;;) {
		pthread_mutex_lock(&worker->inbox_lock);
		posted_task_t *task = g_queue_pop_head(&worker->inbox);
		pthread_mutex_unlock(&worker->inbox_lock);
		if (!task)
			return;
		task->fn(worker, task->ctx);
		g_free(task);
	}
}

void worker_post(worker_t *worker, worker_task_fn fn, void *ctx)
{
	posted_task_t *task = g_new0(posted_task_t, 1);
	uint64_t one = 1;

	task->fn = fn;
	task->ctx = ctx;
	pthread_mutex_lock(&worker->inbox_lock);
	bool was_empty = g_queue_is_empty(&worker->inbox);
	g_queue_push_tail(&worker->inbox, task);
	pthread_mutex_unlock(&worker->inbox_lock);
	if (was_empty && write(worker->inbox_fd, &one, sizeof(one)) != sizeof(one))
		return;
}

static void handle_deferred(struct tevent_context *ev, struct tevent_immediate *im,
			    void *private_data)
{
	(void)ev;
	deferred_task_t *task = private_data;
	deferred_task_t copy = *task;

	talloc_free(im);
	copy.fn(copy.worker, copy.ctx);
}

void worker_defer(worker_t *worker, worker_task_fn fn, void *ctx)
{
	struct tevent_immediate *im = tevent_create_immediate(worker->ev);
	deferred_task_t *task = talloc_zero(im, deferred_task_t);

	task->worker = worker;
	task->fn = fn;
	task->ctx = ctx;
	tevent_schedule_immediate(im, worker->ev, handle_deferred, task);
}

struct tevent_timer *worker_timer(worker_t *worker, usec_t delay,
				  tevent_timer_handler_t fn, void *ctx)
{
	delay = MAX(delay, 0);
	return tevent_add_timer(
		worker->ev, worker->ev,
		tevent_timeval_current_ofs((uint32_t)(delay / USEC_PER_SEC),
					   (uint32_t)(delay % USEC_PER_SEC)),
		fn, ctx);
}

static void handle_peer_accept(struct tevent_context *ev, struct tevent_fd *fde,
			       uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	worker_t *worker = private_data;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd = accept4(worker->peer_listener_fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
			/* Until the next sweep, or the loop would spin. */
			tevent_fd_set_flags(worker->peer_listener, 0);
			return;
		}
		if (fd < 0)
			return;
		worker->ops->on_peer_connection(worker, fd);
	}
}

static bool listen_for_peers(worker_t *worker, GError **error)
{
	worker->peer_listener_fd =
		address_listen(&worker->node->settings->peer_listen, error);
	if (worker->peer_listener_fd < 0)
		return false;
	worker->peer_listener =
		tevent_add_fd(worker->ev, worker->ev, worker->peer_listener_fd,
			      TEVENT_FD_READ, handle_peer_accept, worker);
	return true;
}

static size_t connection_memory(const settings_t *settings)
{
	return ((size_t)settings->connection_memory << 20) / settings->workers;
}

static http_server_options_t http_options(const settings_t *settings)
{
	uint32_t descriptors = settings->descriptors_max / settings->workers;
	uint32_t connections_max = settings->dialect->outbound_on_caller_listener
					   ? REPORTS_MAX(descriptors)
					   : OUTBOUND_MAX(descriptors);

	return (http_server_options_t){
		.idle_timeout = CALLER_IDLE_TIMEOUT,
		.connections_max = connections_max,
		.connections_kept = connections_max,
		.name = "target",
		.address_share_percent = 100, /* it has one address */
		.memory_max = TARGET_MEMORY(connection_memory(settings)),
		.head_timeout = settings->head_timeout_sec * USEC_PER_SEC,
		.fields_max = settings->head_fields,
		.pipeline = {.requests_max = settings->pipeline_depth,
			     .bytes_max = BODY_WINDOW_BYTES},
		.ahead_max = settings->pipeline_total / settings->workers,
	};
}

/* All listeners may be full at the same time. With few descriptors, the least numbers of
 * the other listeners leave fewer for callers. */
static uint32_t callers_max(const settings_t *settings, uint32_t target_max)
{
	uint32_t descriptors = settings->descriptors_max / settings->workers;
	uint32_t others = target_max + PENDING_PEERS_MAX(descriptors) +
			  2 * OPERATORS_MAX(descriptors) + DESCRIPTORS_OWN;
	uint32_t left = descriptors > others ? descriptors - others : 0;

	return CLAMP(left, CALLERS_KEPT(descriptors), CALLERS_MAX(descriptors));
}

static http_server_t *listen_for_callers(worker_t *worker, GError **error)
{
	node_t *node = worker->node;
	uint32_t descriptors = node->settings->descriptors_max / node->settings->workers;
	http_server_options_t options = http_options(node->settings);

	pthread_mutex_lock(&node->config_lock);
	char *cert = g_strdup(node->tls_cert);
	char *key = g_strdup(node->tls_key);
	pthread_mutex_unlock(&node->config_lock);
	options.address = node->settings->caller_listen;
	options.tls_cert = cert;
	options.tls_key = key;
	options.connections_max = callers_max(node->settings, options.connections_max);
	options.connections_kept = CALLERS_KEPT(descriptors);
	options.name = "caller";
	options.address_share_percent = node->settings->address_share;
	options.memory_max = CALLERS_MEMORY(connection_memory(node->settings));
	http_server_t *server =
		http_server_create(worker->ev, worker->ev, &options,
				   worker->ops->caller_http, worker, error);
	g_free(cert);
	g_free(key);
	return server;
}

static bool listen_for_http(worker_t *worker, GError **error)
{
	const settings_t *settings = worker->node->settings;
	bool separate_reports = settings->dialect->outbound_on_caller_listener;
	http_server_options_t options = http_options(settings);

	options.address =
		separate_reports ? settings->report_listen : settings->target_listen;
	worker->caller_server = listen_for_callers(worker, error);
	if (!worker->caller_server)
		return false;
	http_server_t *server = http_server_create(
		worker->ev, worker->ev, &options,
		separate_reports ? worker->ops->report_http : worker->ops->target_http,
		worker, error);
	worker->target_server = separate_reports ? NULL : server;
	worker->report_server = separate_reports ? server : NULL;
	return server != NULL;
}

void worker_renew_certificate(worker_t *worker, void *unused)
{
	(void)unused;
	node_t *node = worker->node;
	GError *error = NULL;

	pthread_mutex_lock(&node->config_lock);
	bool renewed = http_server_set_certificate(worker->caller_server, node->tls_cert,
						   node->tls_key, &error);
	pthread_mutex_unlock(&node->config_lock);
	if (renewed)
		return;
	log_failure("accept callers with the new certificate", error);
	g_clear_error(&error);
}

static void sweep_servers(worker_t *worker, usec_t now)
{
	tevent_fd_set_flags(worker->peer_listener, TEVENT_FD_READ);
	http_server_sweep(worker->caller_server, now);
	if (worker->target_server)
		http_server_sweep(worker->target_server, now);
	if (worker->report_server)
		http_server_sweep(worker->report_server, now);
}

bool worker_was_paused(const worker_t *worker, usec_t now)
{
	return now - worker->last_tick >= NODE_PAUSE_MIN;
}

static void record_loop_delay(worker_t *worker, usec_t now)
{
	worker->loop_delay_max =
		MAX(worker->loop_delay_max, now - worker->delay_probe_at);
}

static void handle_delay_probe(worker_t *worker, void *unused)
{
	(void)unused;
	worker->delay_probe_posted = false;
	record_loop_delay(worker, clock_boot_usec());
}

/* Posts a probe, or records how long the last one has waited so far. */
static void probe_loop_delay(worker_t *worker, usec_t now)
{
	if (worker->delay_probe_posted) {
		record_loop_delay(worker, now);
		return;
	}
	worker->delay_probe_posted = true;
	worker->delay_probe_at = now;
	worker_post(worker, handle_delay_probe, NULL);
}

static void schedule_tick(worker_t *worker);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	worker_t *worker = private_data;
	usec_t now = clock_boot_usec();

	if (worker_was_paused(worker, now))
		node_clear_ready(worker->node);
	worker->last_tick = now;
	probe_loop_delay(worker, now);
	worker->ops->tick(worker, now);
	node_run_gate(worker->node);
	if (now >= worker->next_sweep) {
		worker->next_sweep = now + SWEEP_PERIOD;
		worker->ops->sweep(worker, now);
		sweep_servers(worker, now);
	}
	schedule_tick(worker);
}

static void schedule_tick(worker_t *worker)
{
	worker->tick = worker_timer(worker, WORKER_TICK, handle_tick, worker);
}

worker_t *worker_create(node_t *node, const worker_ops_t *ops, GError **error)
{
	worker_t *worker = g_new0(worker_t, 1);

	worker->node = node;
	worker->ops = ops;
	worker->index = node->worker_count;
	worker->ev = tevent_context_init(NULL);
	worker->curl = curl_loop_create(worker->ev, worker->ev, CACHED_CONNECTIONS);
	worker->store = node_store_create(node, worker->curl);
	worker->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	worker->pending_peers = places_create(&(places_limits_t){
		.places_max = PENDING_PEERS_MAX(node->settings->descriptors_max /
						node->settings->workers),
		.address_share_percent = node->settings->address_share,
	});
	worker->peer_closing.listener = "peer";
	worker->ops->create(worker);
	pthread_mutex_init(&worker->inbox_lock, NULL);
	g_queue_init(&worker->inbox);
	worker->inbox_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	worker->inbox_fde = tevent_add_fd(worker->ev, worker->ev, worker->inbox_fd,
					  TEVENT_FD_READ, handle_inbox, worker);
	worker->last_tick = clock_boot_usec();
	schedule_tick(worker);
	if (!listen_for_peers(worker, error) || !listen_for_http(worker, error)) {
		worker_destroy(worker);
		return NULL;
	}
	return worker;
}

static bool may_end(const worker_t *worker)
{
	return worker->stopping && (g_hash_table_size(worker->requests) == 0 ||
				    clock_boot_usec() >= worker->stop_until);
}

static void *worker_main(void *arg)
{
	worker_t *worker = arg;

	while (!may_end(worker)) {
		if (tevent_loop_once(worker->ev) != 0)
			break;
	}
	return NULL;
}

bool worker_start(worker_t *worker, GError **error)
{
	if (pthread_create(&worker->thread, NULL, worker_main, worker) == 0)
		return true;
	g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
		    "cannot start a worker thread");
	return false;
}

static void set_stopping(worker_t *worker, void *unused)
{
	(void)unused;
	worker->stopping = true;
	worker->stop_until = clock_boot_usec() + EXIT_WAIT;
}

void worker_stop(worker_t *worker)
{
	worker_post(worker, set_stopping, NULL);
	pthread_join(worker->thread, NULL);
}

void worker_quiesce(worker_t *worker, void *unused)
{
	(void)unused;
	http_server_quiesce(worker->caller_server);
}

void worker_cancel_requests(worker_t *worker, void *unused)
{
	(void)unused;
	worker->ops->cancel_requests(worker);
}

void worker_destroy(worker_t *worker)
{
	if (!worker)
		return;
	worker->ops->log_cut_requests(worker);
	http_server_destroy(worker->caller_server);
	http_server_destroy(worker->target_server);
	http_server_destroy(worker->report_server);
	worker->ops->destroy(worker);
	places_destroy(worker->pending_peers);
	g_hash_table_destroy(worker->requests);
	store_destroy(worker->store);
	curl_loop_destroy(worker->curl);
	if (worker->peer_listener_fd >= 0)
		close(worker->peer_listener_fd);
	close(worker->inbox_fd);
	g_queue_clear_full(&worker->inbox, g_free);
	pthread_mutex_destroy(&worker->inbox_lock);
	talloc_free(worker->ev);
	g_free(worker);
}
