#ifndef EGRET_EGRETSCALED_RATES_LOANS_IO_H
#define EGRET_EGRETSCALED_RATES_LOANS_IO_H

#include "accounts/keeper.h"
#include "egretscaled/node/accounts.h"
#include "egretscaled/rates/admit.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	loans_io - account rates by tokens borrowed from keepers
 *
 * DESCRIPTION
 *	On the entry node a request takes a borrowed token. If there is none, it
 *	waits while the worker requests a loan from the keeper of its zone and
 *	then, if that has too few tokens, from the keeper of another zone. This
 *	module also replies to other nodes' loan requests and confirmation rounds.
 *
 * THREADS
 *	All functions run on the given worker's thread. The state that workers
 *	share (leases, lenders, addresses of the keepers) is guarded by
 *	account_lock.
 */

/* See rates.h. */
admit_result_t loans_io_admit(worker_t *worker, const char *account, admit_fn fn,
			      void *ctx);
void loans_io_cancel(worker_t *worker, const char *account, void *ctx);
double loans_io_pressure(worker_t *worker, const char *account);

/* Renews loans and removes idle borrowers. Called on every worker tick. */
void loans_io_tick(worker_t *worker, usec_t now);

/* Handles a loan request to this node's keeper and replies on the link. */
void loans_io_handle_request(worker_t *worker, frame_link_t *link,
			     const Egret__LoanRequest *wire);

/* Handles a keeper's reply to a loan request of this worker. */
void loans_io_handle_reply(worker_t *worker, const Egret__LoanReply *wire);

/* Handles the announcement of a node of this zone that it holds partitions, and replies
 * with the newer epochs that this node has seen (see confirm.h). */
void loans_io_handle_confirm(worker_t *worker, frame_link_t *link,
			     const Egret__KeeperConfirm *wire);

/* Creates the worker's table of borrowers, account -> account_entry_t. */
GHashTable *loans_io_borrowers_create(void);

#endif
