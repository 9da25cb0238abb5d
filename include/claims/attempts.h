#ifndef EGRET_CLAIMS_ATTEMPTS_H
#define EGRET_CLAIMS_ATTEMPTS_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	attempts - which attempts have started on a node, for the fence exchange
 *
 * DESCRIPTION
 *	A state machine without I/O. A caller node that lost its connection asks
 *	this node to fence an attempt. If the attempt has not started it never
 *	will, and the caller may state not-run. Started attempts are remembered
 *	while they run and ATTEMPT_RETENTION after; an older fence is refused.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ATTEMPT_RETENTION (30 * USEC_PER_SEC)
#define ATTEMPT_FENCE_AGE_MAX (20 * USEC_PER_SEC)

typedef struct attempts attempts_t;

attempts_t *attempts_create(void);
void attempts_destroy(attempts_t *attempts);

/* An attempt is about to reach the target; false if it was fenced or ran before. */
bool attempts_start(attempts_t *attempts, uint64_t attempt, usec_t now);
void attempts_finish(attempts_t *attempts, uint64_t attempt, usec_t now);

/* Fences an attempt that was sent `age` ago; true if it never started. */
bool attempts_fence(attempts_t *attempts, uint64_t attempt, usec_t age, usec_t now);

#endif
