#ifndef EGRET_CLAIMS_SUSPECTS_H
#define EGRET_CLAIMS_SUSPECTS_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	suspects - requests that were running when a target crashed
 *
 * DESCRIPTION
 *	A state machine without I/O. A request's fingerprint covers its account,
 *	route and body. One that was in flight at SUSPECT_CRASH_THRESHOLD different
 *	crashes is refused for SUSPECT_REFUSE_TIME. A fingerprint that completed on
 *	this node within SUSPECT_EXEMPT_TIME before a crash is not marked, so
 *	that common requests are not refused for sharing crashes with the cause.
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

/* The id of the crash that is going on now, or fresh_id if a new one begins. */
uint64_t suspects_crash_id(suspects_t *suspects, uint64_t fresh_id, usec_t now);

/* A call was in flight at the own target's crash; returns whether to tell others. */
bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash,
			   usec_t now);

/* Another node tells of a crash `age` ago. */
void suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash, usec_t age, usec_t now);
void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now);

/* Whether requests with the fingerprint are refused now. */
bool suspects_is_refused(suspects_t *suspects, uint64_t fingerprint, usec_t now);

#endif
