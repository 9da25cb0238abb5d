#ifndef EGRET_ACCOUNTS_KEEPER_H
#define EGRET_ACCOUNTS_KEEPER_H

#include "accounts/lease.h"
#include "accounts/loan.h"
#include "membership/directory.h"

/*
 * NAME
 *	keeper - this node's state as holder of account partition leases
 *
 * DESCRIPTION
 *	A state machine without I/O. Accounts are hashed into KEEPER_PARTITIONS
 *	partitions. In each zone one node, the partition's keeper, holds the lease
 *	of a partition and lends tokens of its accounts. This module holds, for
 *	each partition, the lease, the zone's portion of the rates, the lenders
 *	and the newest epoch that another node of the zone has announced.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* All of an account's rate, in thousandths. */
#define PORTION_FULL_MILLI 1000u

typedef struct keeper keeper_t;

/* The partition of an account, below KEEPER_PARTITIONS. */
uint32_t account_partition(const char *account);

keeper_t *keeper_create(void);
void keeper_destroy(keeper_t *keeper);

/* The lease of a partition; it belongs to the keeper. */
lease_t *keeper_lease(keeper_t *keeper, uint32_t partition);

/* Sets the zone's portion of the rates of the partition's accounts, in thousandths. */
void keeper_set_portion(keeper_t *keeper, uint32_t partition, uint32_t milli, usec_t now);
uint32_t keeper_portion(const keeper_t *keeper, uint32_t partition);

/* Removes the lenders of a partition whose lease was lost or newly acquired. */
void keeper_drop_lenders(keeper_t *keeper, uint32_t partition);

/* Handles a loan request. rate and burst are the account's totals over all zones. The
 * reply says not granted if this node may not lend for the account. */
void keeper_lend(keeper_t *keeper, const char *account, double rate, double burst,
		 const loan_request_t *request, usec_t now, loan_reply_t *reply);

/* The highest ratio of demand in this node's zone to rate among the partition's accounts.
 */
double keeper_pressure(keeper_t *keeper, uint32_t partition, usec_t now);

/* The highest lent fraction of a capacity among the partition's accounts, in
 * thousandths. */
uint32_t keeper_lent_milli(keeper_t *keeper, uint32_t partition, usec_t now);

/*
 * Handles another node's announcement that it holds the partition at `epoch`. Returns the
 * newest epoch that this node has seen if that is newer than `epoch`, else 0. Drops this
 * node's lease if its epoch is older.
 */
uint64_t keeper_observe_epoch(keeper_t *keeper, uint32_t partition, uint64_t epoch);

/*
 * Returns a zone's next portion. All portions are in thousandths: `own` is the zone's
 * present one, `free` what no zone holds, `fair` an even split. `pressure` is demand
 * divided by rate. `starved` says that another zone holds much less than `fair`; a zone
 * that holds more then falls back to it. A portion grows only out of the free part. See
 * docs/design/account-rates.md.
 */
uint32_t portion_plan(uint32_t own, uint32_t free, uint32_t fair, double pressure,
		      bool starved);

#endif
