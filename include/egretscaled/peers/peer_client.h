#ifndef EGRET_EGRETSCALED_PEERS_PEER_CLIENT_H
#define EGRET_EGRETSCALED_PEERS_PEER_CLIENT_H

#include "egretscaled/node/worker.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	peer_client - calls to one other node over one link
 *
 * DESCRIPTION
 *	A reply is matched to its call by the attempt's id, on the link that the call
 *	was sent on. When a link is lost, a call of which no byte was sent ends as
 *	not-run (the target did not run the request). For any other call without a
 *	reply the client reconnects and sends a fence for the attempt. Idempotent
 *	calls to a silent peer end with an unknown result, so that they can be
 *	retried elsewhere. Idle links are closed after PEER_IDLE_TIMEOUT.
 */

typedef struct peer_client peer_client_t;

#define PEER_IDLE_TIMEOUT (60 * USEC_PER_SEC)

/* Returns the worker's client for the address and creates it if needed. */
peer_client_t *peer_client_get(worker_t *worker, const char *address);

/* Attaches the client as the sink of the call and sends the call. node_id identifies the
 * chosen process of the peer; a fence applies to this process only. */
void peer_client_call(peer_client_t *client, call_t *call, uint64_t node_id);

/* Sends a frame that belongs to no call; dropped if there is no link and connecting
 * fails. Replies go to worker_ops.on_frame. */
void peer_client_send(peer_client_t *client, const Egret__Frame *frame);

/* Pings peers that have calls in flight and applies the decisions of
 * membership/liveness.h. Called at every WORKER_TICK. */
void peer_clients_check(worker_t *worker, usec_t now);

/* Destroys clients without calls whose link is closed or has been idle for
 * PEER_IDLE_TIMEOUT. */
void peer_clients_sweep(worker_t *worker, usec_t now);

/* GDestroyNotify of worker->peers. */
void peer_client_destroy(void *client);

#endif
