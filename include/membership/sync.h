#ifndef EGRET_MEMBERSHIP_SYNC_H
#define EGRET_MEMBERSHIP_SYNC_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	sync - when to pull directory and configuration from a peer
 *
 * DESCRIPTION
 *	Gossip tells news only, so a node that joins learns of what is old by
 *	pulls. They begin close to each other, since the first peers may have
 *	started just now themselves; the pause doubles with each pull that was
 *	answered, up to SYNC_PERIOD, which also heals partitions. A pull that
 *	failed is repeated with another peer after SYNC_RETRY.
 *
 *	The directory counts as known after the first answered pull, or when
 *	there is nobody to ask, or after SYNC_WAIT_MAX without an answer.
 *
 * THREADS
 *	None of its own. No I/O and no clock.
 */

typedef struct sync sync_t;

#define SYNC_PERIOD (30 * USEC_PER_SEC)
#define SYNC_RETRY (100 * USEC_PER_MSEC)
/* A node whose peers are all silent serves with what it finds by itself. */
#define SYNC_WAIT_MAX (2 * USEC_PER_SEC)
/* Peers whose configuration stands for the platform's while that is away. */
#define SYNC_CONFIG_PEERS 2

sync_t *sync_create(usec_t now);
void sync_destroy(sync_t *sync);

/* Whether a pull should begin. urgent: the node is not ready, ask without pauses. */
bool sync_due(const sync_t *sync, usec_t now, bool urgent);

/* A pull ended. complete: the peer sent all that it knows; configured: it had a
 * configuration. */
void sync_ended(sync_t *sync, usec_t now, const char *peer, bool complete,
		bool configured);

/* alone: addresses of others were looked up and there are none. */
bool sync_directory_known(const sync_t *sync, usec_t now, bool alone);

/* Whether enough different peers gave their configuration. */
bool sync_config_known(const sync_t *sync);

#endif
