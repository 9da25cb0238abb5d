#ifndef EGRET_CLAIMS_ATTEMPTS_H
#define EGRET_CLAIMS_ATTEMPTS_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	attempts - the attempts that have started on a node, for fencing
 *
 * DESCRIPTION
 *	A state machine without I/O. A caller node that lost its connection to
 *	this node requests a fence for an attempt. If the attempt has not started,
 *	the fence keeps it from ever starting, and the caller may report not-run
 *	(the target did not run the request). Entries of started attempts are kept
 *	while they run and for ATTEMPT_RETENTION after; fences stay for
 *	ATTEMPT_RETENTION too. A fence for an attempt sent more than
 *	ATTEMPT_FENCE_AGE_MAX ago is refused, unless the attempt is known to be
 *	fenced.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ATTEMPT_RETENTION (30 * USEC_PER_SEC)
#define ATTEMPT_FENCE_AGE_MAX (20 * USEC_PER_SEC)

typedef struct attempts attempts_t;

attempts_t *attempts_create(void);
void attempts_destroy(attempts_t *attempts);

/* Records that an attempt is about to be sent to the target; false if it must not be,
 * since it was fenced or has started before. */
bool attempts_start(attempts_t *attempts, uint64_t attempt, usec_t now);
/* Records the end of a started attempt; no effect for any other id. */
void attempts_finish(attempts_t *attempts, uint64_t attempt, usec_t now);

/* Fences an attempt that was sent `age` ago; true if it has not started and never will.
 */
bool attempts_fence(attempts_t *attempts, uint64_t attempt, usec_t age, usec_t now);

/* Number of attempts that are kept. */
uint32_t attempts_count(const attempts_t *attempts);

#endif
