#ifndef EGRET_EGRETSCALED_PEERS_PEER_CLIENT_H
#define EGRET_EGRETSCALED_PEERS_PEER_CLIENT_H

#include "egretscaled/node/worker.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	peer_client - calls to one other node over one link
 *
 * DESCRIPTION
 *	Replies are matched by attempt on the link they were sent on. When a link
 *	is lost, a call whose frame never left this process is not-run; for any
 *	other the client connects again and asks the peer to fence the attempt.
 *	Idempotent calls leave a silent peer and end unknown, for a retry.
 *	Idle links close after PEER_IDLE.
 */

typedef struct peer_client peer_client_t;

#define PEER_IDLE (60 * USEC_PER_SEC)

/* Returns the worker's client for the address, creating it when missing. */
peer_client_t *peer_client_get(worker_t *worker, const char *address);

/* Sends the call; it attaches itself as the call's sink. node_id names the
 * process that was chosen. */
void peer_client_call(peer_client_t *client, call_t *call, uint64_t node_id);

/* Sends a frame outside of calls; replies come to the worker's handlers. */
void peer_client_send(peer_client_t *client, const Egret__Frame *frame);

/* Asks peers whose calls take long for a sign of life and does what
 * membership/liveness.h says. Called at every tick. */
void peer_clients_check(worker_t *worker, usec_t now);

/* Closes links that were idle for PEER_IDLE. */
void peer_clients_sweep(worker_t *worker, usec_t now);

void peer_client_destroy(void *client);

#endif
