#ifndef EGRET_CLAIMS_CRASH_WATCH_H
#define EGRET_CLAIMS_CRASH_WATCH_H

#include "claims/suspects.h"

/*
 * NAME
 *	crash_watch - which of the calls whose connection was lost caused a crash
 *
 * DESCRIPTION
 *	A state machine without I/O. A lost connection alone does not show that the
 *	target crashed: a sound target may close an idle connection just when a
 *	request is sent, or cut a response off. The calls are therefore only noted
 *	until there is evidence: the target refuses connections, or reports the start
 *	of another process. They are discarded if the same process reports again, or
 *	after CRASH_WATCH_TIME. A response whose body ends with the connection looks
 *	the same whether or not the target crashed within it; such a call is noted,
 *	too, and completes if it is discarded.
 *
 *	With the evidence, crash_watch_judge() weighs the calls. A target crashes when
 *	it begins to run the request that causes it, so the calls that started last
 *	count more than those that were running by then. Calls whose fingerprint
 *	completed lately are not counted at all.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define CRASH_WATCH_TIME (10 * USEC_PER_SEC)
/* Evidence and judgement are this far apart, so that the losses of all connections that
 * broke at the crash are noted. */
#define CRASH_SETTLE_TIME (20 * USEC_PER_MSEC)

typedef struct crash_watch crash_watch_t;

/* A call counts as a cause of the crash; called once for each fingerprint. */
typedef void (*crash_suspect_fn)(void *ctx, uint64_t fingerprint,
				 suspect_evidence_t evidence);

crash_watch_t *crash_watch_create(void);
void crash_watch_destroy(crash_watch_t *watch);

/* Notes a call that started at `started_at` and whose connection was lost now. */
void crash_watch_add(crash_watch_t *watch, uint64_t fingerprint, usec_t started_at,
		     usec_t now);

/* Notes a call whose response ended with the connection now: it is complete unless the
 * target crashed. */
void crash_watch_add_ended(crash_watch_t *watch, uint64_t fingerprint, usec_t started_at,
			   usec_t now);

/* The target refuses connections: the noted calls, and those that are noted until the
 * judgement, are kept for it. */
void crash_watch_prove(crash_watch_t *watch);

/* The target has crashed: calls fn for the noted calls that may be the cause, and forgets
 * all of them. `suspects` tells which completed lately; fn may change it. */
void crash_watch_judge(crash_watch_t *watch, const suspects_t *suspects, usec_t now,
		       crash_suspect_fn fn, void *ctx);

/* A call that was noted with crash_watch_add_ended() is complete. */
typedef void (*crash_completed_fn)(void *ctx, uint64_t fingerprint);

/* The target is still the same process, unless the crash is proved: forgets the noted
 * calls, and calls fn for those that are therefore complete. */
void crash_watch_discard(crash_watch_t *watch, crash_completed_fn fn, void *ctx);

#endif
