#ifndef EGRET_EGRETSCALED_RATES_SHARES_IO_H
#define EGRET_EGRETSCALED_RATES_SHARES_IO_H

#include "accounts/shares.h"
#include "egretscaled/rates/admit.h"

/*
 * NAME
 *	shares_io - account rates by shares: demand told between nodes
 *
 * DESCRIPTION
 *	The control thread tells this node's demand to all live members by
 *	datagram: at once when it moved, and at least every SHARES_TELL_PERIOD.
 *	The shared part is guarded by account_lock.
 */

#define SHARES_TELL_PERIOD (700 * USEC_PER_MSEC)

typedef struct shares_io shares_io_t;

shares_io_t *shares_io_create(TALLOC_CTX *parent, struct tevent_context *ev,
			      node_t *node);
void shares_io_destroy(shares_io_t *io);

/* A member of the directory changed. Under gossip_lock. */
void shares_io_handle_member(node_t *node, const member_t *member);

/* An address that may belong to a member that is not known yet. */
void shares_io_handle_address(node_t *node, const char *address);

/* A peer told its demand. */
void shares_io_handle_demand(node_t *node, const Egret__Gossip *message);

/* A peer asks for a token, or answers. */
void shares_io_handle_token(node_t *node, const Egret__Gossip *message);

/* See rates.h. */
admit_result_t shares_io_admit(worker_t *worker, const char *account, admit_fn fn,
			       void *ctx);
void shares_io_cancel(worker_t *worker, void *ctx);
double shares_io_pressure(worker_t *worker, const char *account);

/* The worker's requests whose token comes due, by context. */
GHashTable *shares_io_waiters_create(void);

#endif
