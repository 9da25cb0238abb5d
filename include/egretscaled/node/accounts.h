#ifndef EGRET_EGRETSCALED_NODE_ACCOUNTS_H
#define EGRET_EGRETSCALED_NODE_ACCOUNTS_H

#include "accounts/keeper.h"
#include "membership/directory.h"

#include <glib.h>

/*
 * NAME
 *	accounts - this node's keeper and the locations of the keepers of all zones
 *
 * THREADS
 *	Guarded by node.account_lock. Only the control thread changes the locations.
 */

typedef struct accounts accounts_t;

/* The lease holder of one partition. An epoch of 0 stands for none. */
typedef struct keeper_location {
	char address[ADDRESS_TEXT_BYTES];
	uint64_t epoch;
} keeper_location_t;

typedef struct zone_keepers {
	char zone[MEMBER_TEXT_BYTES];
	keeper_location_t locations[KEEPER_PARTITIONS]; /* by partition */
} zone_keepers_t;

struct accounts {
	keeper_t *keeper;
	GArray *zones; /* of zone_keepers_t */
};

accounts_t *accounts_create(void);
void accounts_destroy(accounts_t *accounts);

#endif
