#ifndef EGRET_MEMBERSHIP_SYNC_H
#define EGRET_MEMBERSHIP_SYNC_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	sync - schedule of the pulls of directory and configuration from peers, and of
 *	the reads of the store
 *
 * DESCRIPTION
 *	Gossip only carries changes, so a node that joins gets the older state by
 *	pulls. The interval between pulls starts at SYNC_RETRY, since the first peers
 *	may themselves have just started, and doubles with each complete pull up
 *	to SYNC_PERIOD. Periodic pulls also transfer the changes that were missed
 *	during a network partition. A pull that failed is retried after SYNC_RETRY;
 *	the caller chooses a peer for each pull.
 *
 *	The directory counts as known after the first complete pull, if there is no
 *	peer to pull from, or SYNC_WAIT_MAX after the start.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

typedef struct sync sync_t;

#define SYNC_PERIOD (30 * USEC_PER_SEC)
#define SYNC_RETRY (100 * USEC_PER_MSEC)
/* A node without a complete pull treats its directory as known after this time, so that
 * it can serve although no peer replies. */
#define SYNC_WAIT_MAX (2 * USEC_PER_SEC)
/* Number of different peers that must have sent their configuration before a node serves
 * while the platform is unreachable. */
#define SYNC_CONFIG_PEERS 2
/* Mean wait, at most, before a node that is not ready reads the store again. */
#define SYNC_STORE_WAIT_NOT_READY USEC_PER_SEC

sync_t *sync_create(usec_t now);
void sync_destroy(sync_t *sync);

/* Whether a pull should start. `urgent`: the node is not ready, so pull without pause. */
bool sync_due(const sync_t *sync, usec_t now, bool urgent);

/* A pull ended. `complete`: the peer has no more changes to send; `has_config`: it has a
 * configuration. */
void sync_ended(sync_t *sync, usec_t now, const char *peer, bool complete,
		bool has_config);

/* `no_peers`: addresses of peers were looked up and there are none. */
bool sync_directory_known(const sync_t *sync, usec_t now, bool no_peers);

/* Whether SYNC_CONFIG_PEERS different peers sent their configuration. */
bool sync_config_known(const sync_t *sync);

/* The wait before the store is read again after `failures` failures in a row, at least 1:
 * half to three halves of 0.5 s, doubled with each failure up to 8 s, or up to
 * SYNC_STORE_WAIT_NOT_READY while the node serves no requests. `uniform` is a random
 * value in [0, 1). */
usec_t sync_store_wait(uint32_t failures, bool ready, double uniform);

#endif
