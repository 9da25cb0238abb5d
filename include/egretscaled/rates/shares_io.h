#ifndef EGRET_EGRETSCALED_RATES_SHARES_IO_H
#define EGRET_EGRETSCALED_RATES_SHARES_IO_H

#include "accounts/shares.h"
#include "egretscaled/rates/admit.h"

/*
 * NAME
 *	shares_io - account rates by shares of the nodes
 *
 * DESCRIPTION
 *	The control thread reports this node's demand to all live members by
 *	datagram: soon after the demand of an account changed by enough, otherwise
 *	every SHARES_REPORT_PERIOD. Both intervals are longer with many members.
 *
 *	Workers take tokens of this node's share for the requests of clients. If
 *	there is none, the worker sends token requests to random peers, one after
 *	the other. If no peer grants a token, the client's request waits for the
 *	next local one, or is refused if that takes too long.
 *
 * THREADS
 *	The reports are sent on the control thread. Functions that take a worker
 *	run on that worker's thread. node.shares is guarded by account_lock.
 */

#define SHARES_REPORT_PERIOD (700 * USEC_PER_MSEC)

typedef struct shares_io shares_io_t;

shares_io_t *shares_io_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      node_t *node);
void shares_io_destroy(shares_io_t *io);

/* Adds the peer of a member of the directory, or removes it if the member has left.
 * Called under gossip_lock. */
void shares_io_handle_member(node_t *node, const member_t *member);

/* Adds the peer of an address from the platform's list of nodes. The directory may not
 * hold that node yet. */
void shares_io_handle_address(node_t *node, const char *address);

/* Handles a peer's report of its demand. A report may span several datagrams. */
void shares_io_handle_demand(node_t *node, const Egret__Gossip *message);

/* Handles a peer's token request, or its reply to this node's request. */
void shares_io_handle_token(node_t *node, const Egret__Gossip *message);

/* See rates.h. */
admit_result_t shares_io_admit(worker_t *worker, const char *account, admit_fn fn,
			       void *ctx);
void shares_io_cancel(worker_t *worker, void *ctx);
double shares_io_pressure(worker_t *worker, const char *account);

/* Creates the worker's table of requests that wait for a token, context -> waiter_t. */
GHashTable *shares_io_waiters_create(void);

#endif
