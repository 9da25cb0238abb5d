#ifndef EGRET_EGRETSCALED_NODE_WORKER_H
#define EGRET_EGRETSCALED_NODE_WORKER_H

#include "egretscaled/node/call.h"
#include "egretscaled/node/node.h"
#include "http/closing.h"
#include "http/curl_loop.h"
#include "http/http_server.h"
#include "store/store.h"
#include "wire/frame_link.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	worker - one thread that serves requests
 *
 * DESCRIPTION
 *	Each worker has its own event loop, HTTP servers, curl multi handle, peer
 *	listener and outgoing peer links.
 *
 * THREADS
 *	The fields of a worker are used only by its thread, except the inbox. Other
 *	threads use worker_post().
 */

typedef void (*worker_task_fn)(worker_t *worker, void *ctx);

/* Callbacks into the modules that use worker; set once, by main(). They run on the
 * worker's thread, but create, destroy and log_cut_requests run on the main thread
 * before the worker's thread starts or after it has ended. */
typedef struct worker_ops {
	const http_server_ops_t *caller_http;
	const http_server_ops_t *target_http;
	const http_server_ops_t *report_http;
	/* Create and destroy peers, ingress_links, borrowers, token_waiters,
	 * token_requests, claims, target_loss and load_log of worker_t. */
	void (*create)(worker_t *worker);
	void (*destroy)(worker_t *worker);
	/* Logs the requests that are still in flight; they end with their servers. */
	void (*log_cut_requests)(worker_t *worker);
	/* Gives a final response to each request and call in flight that has none. */
	void (*cancel_requests)(worker_t *worker);
	/* A peer connected. */
	void (*on_peer_connection)(worker_t *worker, int fd);
	/* A frame that belongs to no call; returns false if its kind is unknown. */
	bool (*on_frame)(worker_t *worker, frame_link_t *link, const Egret__Frame *frame);
	/* Starts a call to this node's target and attaches its sink. */
	void (*serve)(worker_t *worker, call_t *call);
	void (*tick)(worker_t *worker, usec_t now);  /* every WORKER_TICK */
	void (*sweep)(worker_t *worker, usec_t now); /* every second */
} worker_ops_t;

/* Connections of operators, metrics collectors and readiness checks, at each of the two
 * listeners for them. */
#define OPERATORS_MAX(descriptors) MAX((descriptors) / 64, 4)

#define WORKER_TICK (50 * USEC_PER_MSEC)

struct worker {
	node_t *node;
	const worker_ops_t *ops;
	uint32_t index;
	uint64_t next_request;
	struct tevent_context *ev;
	curl_loop_t *curl;
	store_t *store;
	http_server_t *caller_server;
	http_server_t *target_server; /* NULL if the target's calls use caller_server */
	http_server_t *report_server; /* NULL if reports use target_server */
	GHashTable *peers;	      /* address -> peer_client_t */
	GHashTable *ingress_links;    /* set of ingress_link_t */
	places_t *pending_peers;      /* of ingress links in their handshake */
	closing_log_t peer_closing;
	GHashTable *borrowers;	    /* account -> account_entry_t */
	GHashTable *token_waiters;  /* context of the request -> waiter_t */
	GHashTable *token_requests; /* id of the token request -> waiter_t */
	GHashTable *requests;	    /* request number -> http_request_t */
	struct claim_batch *claims; /* claims for the next commit */
	struct target_loss *target_loss;
	struct tevent_timer *tick;
	usec_t next_sweep; /* boot clock */
	usec_t last_tick;  /* boot clock */
	/* Delay of the event loop: the time that a task posted at a tick waits behind
	 * the events that are ready. */
	bool delay_probe_posted;
	usec_t delay_probe_at;	   /* boot clock, when the last probe was posted */
	usec_t loop_delay_max;	   /* since the last load line */
	struct load_log *load_log; /* worker 0 only */
	struct tevent_fd *peer_listener;
	int peer_listener_fd;
	struct tevent_fd *inbox_fde;
	int inbox_fd;
	pthread_mutex_t inbox_lock;
	GQueue inbox; /* of posted_task_t */
	pthread_t thread;
	bool stopping;
	usec_t stop_until; /* boot clock, valid while stopping */
};

worker_t *worker_create(node_t *node, const worker_ops_t *ops, GError **error);
bool worker_start(worker_t *worker, GError **error);

/* Ends the event loop once no HTTP request is in flight, or after EXIT_WAIT, and joins
 * the thread. */
void worker_stop(worker_t *worker);
void worker_destroy(worker_t *worker);

/* Whether the thread was paused for NODE_PAUSE_MIN and has had no tick since. */
bool worker_was_paused(const worker_t *worker, usec_t now);

/* Runs fn on the worker's thread. May be called from any thread. */
void worker_post(worker_t *worker, worker_task_fn fn, void *ctx);

/* Runs fn after the current event is handled. Worker's thread. */
void worker_defer(worker_t *worker, worker_task_fn fn, void *ctx);

/* Starts a one-shot timer; talloc_free() stops it. Worker's thread. */
struct tevent_timer *worker_timer(worker_t *worker, usec_t delay,
				  tevent_timer_handler_t fn, void *ctx);

/* Accepts new callers with the node's current certificate. Open connections keep the one
 * that they started with. */
void worker_renew_certificate(worker_t *worker, void *unused);

/* Stops accepting callers. Requests in flight continue. */
void worker_quiesce(worker_t *worker, void *unused);

/* Calls cancel_requests of worker_ops_t. */
void worker_cancel_requests(worker_t *worker, void *unused);

#endif
