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

/* The highest pressure among the partition's accounts: demand in this node's zone divided
 * by the zone's portion of the rate. */
double keeper_pressure(keeper_t *keeper, uint32_t partition, usec_t now);

/* The highest lent fraction of a capacity among the partition's accounts, in thousandths.
 * It is at least the fraction that the predecessor recorded, until its loans expire. */
uint32_t keeper_lent_milli(keeper_t *keeper, uint32_t partition, usec_t now);

/*
 * Handles another node's announcement that it holds the partition at `epoch`. Returns the
 * newest epoch that this node has seen if that is newer than `epoch`, else 0. Drops this
 * node's lease if its epoch is older.
 */
uint64_t keeper_observe_epoch(keeper_t *keeper, uint32_t partition, uint64_t epoch);

/*
 * Returns a zone's next portion. All portions are in thousandths: `own` is the zone's
 * present one, `free` what no zone holds, `fair` an even split. `pressure` is the zone's
 * demand divided by its portion of the rate. `starved` says that another zone holds less
 * than half of `fair`.
 *
 * A portion grows only out of the free part. Below `fair` it grows to `fair` as far as
 * the free part allows. From `fair` on: if another zone is starved, the portion drops to
 * `fair` at once. Otherwise it grows by a fifth of `fair` at a pressure above 0.9, and
 * shrinks by as much, but not below `fair`, at a pressure below 0.3.
 * See docs/design/account-rates.md.
 */
uint32_t portion_plan(uint32_t own, uint32_t free, uint32_t fair, double pressure,
		      bool starved);

#endif
