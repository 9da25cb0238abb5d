#ifndef EGRET_ACCOUNTS_KEEPER_H
#define EGRET_ACCOUNTS_KEEPER_H

#include "accounts/lease.h"
#include "accounts/loan.h"
#include "membership/directory.h"

/*
 * NAME
 *	keeper - the partitions of account rates that this node keeps
 *
 * DESCRIPTION
 *	A state machine without I/O: a lease, a zone portion and the lenders of
 *	each partition. Also remembers the newest epoch that others announced for
 *	each partition of the own zone.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* The whole of an account's rate, in thousandths. */
#define PORTION_FULL_MILLI 1000u

typedef struct keeper keeper_t;

uint32_t account_partition(const char *account);

keeper_t *keeper_create(void);
void keeper_destroy(keeper_t *keeper);

lease_t *keeper_lease(keeper_t *keeper, uint32_t partition);

/* The zone's part of the partition's accounts, in force from now on. */
void keeper_set_portion(keeper_t *keeper, uint32_t partition, uint32_t milli, usec_t now);
uint32_t keeper_portion(const keeper_t *keeper, uint32_t partition);

/* Forgets the lenders of a partition whose lease ended. */
void keeper_drop_lenders(keeper_t *keeper, uint32_t partition);

/* Serves a request for a loan; rate and burst are the account's whole. */
void keeper_lend(keeper_t *keeper, const char *account, double rate, double burst,
		 const loan_request_t *request, usec_t now, loan_reply_t *reply);

/* The highest demand over rate of the partition's accounts. */
double keeper_pressure(keeper_t *keeper, uint32_t partition, usec_t now);

/* The largest part lent of any of the partition's accounts, in thousandths. */
uint32_t keeper_lent_milli(keeper_t *keeper, uint32_t partition, usec_t now);

/*
 * Another node claims the partition by an epoch. Returns the newest epoch known
 * besides, or 0 if the claim is the newest. Ends an own lease that is older.
 */
uint64_t keeper_observe_epoch(keeper_t *keeper, uint32_t partition, uint64_t epoch);

/*
 * A zone's next portion: `free` is what no zone holds, `fair` an even part;
 * `starved` says that another zone holds much less than that. Raises come out of
 * the free part only. See docs/design/account-rates.md.
 */
uint32_t portion_plan(uint32_t own, uint32_t free, uint32_t fair, double pressure,
		      bool starved);

#endif
