#ifndef EGRET_EGRETSCALED_RATES_LOANS_IO_H
#define EGRET_EGRETSCALED_RATES_LOANS_IO_H

#include "accounts/keeper.h"
#include "egretscaled/node/accounts.h"
#include "egretscaled/rates/admit.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	loans_io - account rates: entries' and keepers' messages
 *
 * DESCRIPTION
 *	At the entry a request takes a token, or waits for one round trip to its
 *	zone's keeper and, if that one is short, to another zone's. The shared
 *	part (leases, lenders, where the keepers are) is guarded by account_lock.
 */

/* See rates.h. */
admit_result_t loans_io_admit(worker_t *worker, const char *account, admit_fn fn,
			      void *ctx);
void loans_io_cancel(worker_t *worker, const char *account, void *ctx);
double loans_io_pressure(worker_t *worker, const char *account);

/* Renews loans and drops idle borrowers; called often on each worker. */
void loans_io_tick(worker_t *worker, usec_t now);

void loans_io_handle_request(worker_t *worker, frame_link_t *link,
			     const Egret__LoanRequest *wire);
void loans_io_handle_reply(worker_t *worker, const Egret__LoanReply *wire);
void loans_io_handle_confirm(worker_t *worker, frame_link_t *link,
			     const Egret__KeeperConfirm *wire);

/* The worker's borrowers, by account. */
GHashTable *loans_io_borrowers_create(void);

#endif
