#ifndef EGRET_EGRETSCALED_NODE_ACCOUNTS_H
#define EGRET_EGRETSCALED_NODE_ACCOUNTS_H

#include "accounts/keeper.h"
#include "membership/directory.h"

#include <glib.h>

/*
 * NAME
 *	accounts - this node's keeper, and where the keepers of all zones are
 *
 * THREADS
 *	Guarded by account_lock. The control thread rebuilds the places.
 */

typedef struct accounts accounts_t;

/* Where the keepers are; rebuilt by the control thread. */
typedef struct keeper_location {
	char address[ADDRESS_TEXT_BYTES];
	uint64_t epoch;
} keeper_location_t;

typedef struct zone_keepers {
	char zone[MEMBER_TEXT_BYTES];
	keeper_location_t locations[KEEPER_PARTITIONS];
} zone_keepers_t;

struct accounts {
	keeper_t *keeper;
	GArray *zones; /* of zone_keepers_t */
};

accounts_t *accounts_create(void);
void accounts_destroy(accounts_t *accounts);

#endif
