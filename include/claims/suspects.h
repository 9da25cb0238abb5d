#ifndef EGRET_CLAIMS_SUSPECTS_H
#define EGRET_CLAIMS_SUSPECTS_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	suspects - requests that were in flight when a target crashed
 *
 * DESCRIPTION
 *	A state machine without I/O. A request's fingerprint covers its account,
 *	service, method, path and length, and the buffered part of its body.
 *	Requests with a fingerprint that was in flight at SUSPECT_CRASH_THRESHOLD
 *	different crashes are refused for SUSPECT_REFUSE_TIME after the last one. A
 *	fingerprint that completed on this node within SUSPECT_EXEMPT_TIME before a
 *	crash is not counted, so that common requests are not refused only because
 *	they were in flight together with the request that caused the crash.
 *
 *	The table is bounded. Each function takes constant time; a full table evicts
 *	the completed fingerprints first, the oldest one first.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define SUSPECT_CRASH_THRESHOLD 2
#define SUSPECT_REFUSE_TIME (30 * USEC_PER_SEC)
#define SUSPECT_EXEMPT_TIME (30 * USEC_PER_SEC)

typedef struct suspects suspects_t;

suspects_t *suspects_create(void);
void suspects_destroy(suspects_t *suspects);

/* The id of the present crash: that of the last one if it began at most 1 s ago, else
 * new_id. */
uint64_t suspects_crash_id(suspects_t *suspects, uint64_t new_id, usec_t now);

/* Counts a call that was in flight when this node's target crashed; returns whether to
 * report it to other nodes: not if its fingerprint is refused or exempt already. */
bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash_id,
			   usec_t now);

/* Counts a crash of `age` ago that another node reported; returns false if it was counted
 * before, or if its fingerprint is refused or exempt already. */
bool suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash_id, usec_t age, usec_t now);

/* Records that a call completed: clears the crashes of its fingerprint. */
void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now);

/* Number of fingerprints that are kept. */
uint32_t suspects_count(const suspects_t *suspects);

/* Whether requests with the fingerprint are refused now. */
bool suspects_is_refused(suspects_t *suspects, uint64_t fingerprint, usec_t now);

#endif
