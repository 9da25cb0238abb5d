#ifndef EGRET_EGRETSCALED_ACCOUNTS_IO_H
#define EGRET_EGRETSCALED_ACCOUNTS_IO_H

#include "accounts/keeper.h"
#include "egretscaled/worker.h"
#include "wire/frame_link.h"

/*
 * NAME
 *	accounts_io - account rates: entries' and keepers' messages
 *
 * DESCRIPTION
 *	At the entry a request takes a token, or waits for one round trip to its
 *	zone's keeper and, if that one is short, to another zone's. The shared
 *	part (leases, lenders, where the keepers are) is guarded by account_lock.
 */

typedef struct accounts accounts_t;

/* Where the keepers are; rebuilt by the control thread. */
typedef struct keeper_place {
	char address[ADDRESS_TEXT_BYTES];
	uint64_t epoch;
} keeper_place_t;

typedef struct zone_keepers {
	char zone[MEMBER_TEXT_BYTES];
	keeper_place_t places[KEEPER_PARTITIONS];
} zone_keepers_t;

struct accounts {
	keeper_t *keeper;
	GArray *zones; /* of zone_keepers_t */
};

accounts_t *accounts_create(void);
void accounts_destroy(accounts_t *accounts);

typedef void (*admit_fn)(void *ctx, bool admitted);

typedef enum admit_result {
	ADMIT_GRANTED,
	ADMIT_WAITING, /* the callback will tell */
	ADMIT_REFUSED,
} admit_result_t;

/* Takes one token of the account for a request. */
admit_result_t accounts_io_admit(worker_t *worker, const char *account, admit_fn fn,
				 void *ctx);

/* A waiting request is over; its callback will not run. */
void accounts_io_forget(worker_t *worker, const char *account, void *ctx);

/* The account's demand over its rate as last told by the keeper. */
double accounts_io_pressure(worker_t *worker, const char *account);

/* Renews loans and drops idle borrowers; called often on each worker. */
void accounts_io_tick(worker_t *worker, usec_t now);

void accounts_io_handle_request(worker_t *worker, frame_link_t *link,
				const Egret__LoanRequest *wire);
void accounts_io_handle_reply(worker_t *worker, const Egret__LoanReply *wire);
void accounts_io_handle_confirm(worker_t *worker, frame_link_t *link,
				const Egret__KeeperConfirm *wire);

/* The worker's borrowers, by account. */
GHashTable *accounts_io_borrowers_create(void);

#endif
