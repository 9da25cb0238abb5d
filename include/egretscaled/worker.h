#ifndef EGRET_EGRETSCALED_WORKER_H
#define EGRET_EGRETSCALED_WORKER_H

#include "egretscaled/node.h"
#include "http/curl_loop.h"
#include "http/mhd_loop.h"
#include "store/store.h"

#include <talloc.h>
#include <tevent.h>

/*
 * NAME
 *	worker - one thread that serves requests
 *
 * DESCRIPTION
 *	Each worker has its own event loop, HTTP daemons, curl multi handle, peer
 *	listener and outgoing peer links. Everything that belongs to a worker is
 *	touched by its thread only; other threads use worker_post().
 */

typedef void (*worker_task_fn)(worker_t *worker, void *ctx);

struct worker {
	node_t *node;
	uint32_t index;
	uint64_t next_request;
	struct tevent_context *ev;
	curl_loop_t *curl;
	store_t *store;
	mhd_loop_t *callers;
	GPtrArray *old_callers;	    /* of mhd_loop_t with an earlier certificate */
	mhd_loop_t *target;	    /* NULL where its calls come in as callers' */
	mhd_loop_t *reports;	    /* NULL where they come in with its calls */
	GHashTable *peers;	    /* address -> peer_client_t */
	GHashTable *ingress;	    /* set of ingress_link_t */
	GHashTable *borrowers;	    /* account -> account_entry_t */
	GHashTable *delayed;	    /* waits for a token: context -> delayed_t */
	GHashTable *requests;	    /* request number -> http_request_t */
	struct claim_batch *claims; /* claims that wait for the next commit */
	struct tevent_timer *tick;
	usec_t next_sweep;
	usec_t last_tick;
	struct tevent_fd *peer_listener;
	int peer_listener_fd;
	struct tevent_fd *inbox_fde;
	int inbox_fd;
	pthread_mutex_t inbox_lock;
	GQueue inbox; /* of posted_task_t */
	pthread_t thread;
	bool stopping;
};

worker_t *worker_create(node_t *node, GError **error);
bool worker_start(worker_t *worker, GError **error);

/* Ends the loop and waits for the thread. */
void worker_stop(worker_t *worker);
void worker_destroy(worker_t *worker);

/* Whether the worker was stopped and has not caught up yet. */
bool worker_was_paused(const worker_t *worker, usec_t now);

/* Runs fn on the worker's thread. Any thread. */
void worker_post(worker_t *worker, worker_task_fn fn, void *ctx);

/* Runs fn on the worker's thread once the present event is handled. */
void worker_defer(worker_t *worker, worker_task_fn fn, void *ctx);

/* Starts a timer for fn; free the timer to stop it. */
struct tevent_timer *worker_timer(worker_t *worker, usec_t delay,
				  tevent_timer_handler_t fn, void *ctx);

/* Takes new callers with the node's present certificate; open connections go on
 * with the one they started with. */
void worker_renew_certificate(worker_t *worker, void *unused);

/* The caller loop that a connection came in through. */
mhd_loop_t *worker_caller_loop(worker_t *worker, struct MHD_Connection *connection);

/* Stops taking callers and new peer links; running requests go on. */
void worker_quiesce(worker_t *worker, void *unused);

#endif
