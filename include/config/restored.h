#ifndef EGRET_CONFIG_RESTORED_H
#define EGRET_CONFIG_RESTORED_H

#include "config/config.h"

/*
 * NAME
 *	restored - decides whether a row replaces a held one of a former era
 *
 * DESCRIPTION
 *	A store that was restored from a copy (common/revision.h) holds rows that
 *	have revisions of the new era but may be older than those that a node holds.
 *	What was lost is written again. Until then the node keeps what it has:
 *
 *	- The snapshot row of a complete configuration has a version that the
 *	  operator counts up, such as "r12". A lower one is refused, with all
 *	  records of its revision.
 *	- A record without a snapshot is older if its store version is lower than
 *	  that of the held row, as both histories are the same up to the copy. A row
 *	  with a version above the first one that was seen of the new era was
 *	  written in the new era, although its version may be a lower one.
 *	- The status of a zone beside a snapshot has no version. It is deferred for
 *	  RESTORED_ZONE_HOLD, unless it takes the zone out of service and is newer.
 *
 *	- A roll-out order beside a snapshot, or its absence, is deferred likewise,
 *	  unless it is an order that is newer by its store version.
 *
 *	A row that equals the held one replaces it; an order of another store version
 *	is another order.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

/* The operator writes again within seconds what the copy lost. Afterwards a zone whose
 * evacuation began or ended around the time of the copy has the status of the store. */
#define RESTORED_ZONE_HOLD (10 * USEC_PER_SEC)

typedef enum restored_verdict {
	RESTORED_APPLY,
	RESTORED_KEEP,	/* the held row stays */
	RESTORED_DEFER, /* the held row stays during the hold time */
} restored_verdict_t;

typedef struct restored_inputs {
	uint64_t era_start; /* first revision seen of the newest era */
	bool has_snapshot;  /* the records belong to complete configurations */
	uint64_t refused;   /* revision of the snapshot refused last; 0 if none */
	usec_t now, hold_until;
} restored_inputs_t;

/* `held` is the row of the same key, or NULL; its revision is lower than that of `row`.
 */
restored_verdict_t restored_judge(const restored_inputs_t *inputs,
				  const config_row_t *held, const config_row_t *row);

/* The number in the version of a snapshot's value, {"version": "r12"}; 0 if none. */
uint64_t restored_snapshot_number(const char *value);

#endif
