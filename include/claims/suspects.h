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
 *	service, method, path and length, and the buffered part of its body. Each
 *	crash adds to the score of the fingerprints that were in flight, by the
 *	evidence against them, and those that reach a limit are refused:
 *	SUSPECT_CRASH_THRESHOLD crashes are enough for a request that was alone, three
 *	for one that shared the target with others and had started just before, six
 *	for one that had been running before those others started.
 *
 *	The first refusal takes SUSPECT_REFUSE_TIME. Then the request may run once
 *	more; another crash, however many others were in flight, refuses it again for
 *	four times as long, up to SUSPECT_REFUSE_TIME_MAX.
 *
 *	A node that starts, or returns from a partition, takes over the refusals of
 *	its peers.
 *
 *	A fingerprint that completed on this node within SUSPECT_EXEMPT_TIME before a
 *	crash is not counted, so that common requests are not refused only because
 *	they were in flight together with the request that caused the crash. A node
 *	that passes requests on clears the crashes of those that complete elsewhere.
 *
 *	The table is bounded. Each function takes constant time; a full table evicts
 *	the completed fingerprints first, the oldest one first.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define SUSPECT_CRASH_THRESHOLD 2
#define SUSPECT_REFUSE_TIME (30 * USEC_PER_SEC)
#define SUSPECT_REFUSE_TIME_MAX (7200 * USEC_PER_SEC)
/* A score is forgotten this long after the last crash, or four times as long as the last
 * refusal if that is more. */
#define SUSPECT_MEMORY_TIME (180 * USEC_PER_SEC)
#define SUSPECT_REFUSALS_MAX 64
#define SUSPECT_EXEMPT_TIME (30 * USEC_PER_SEC)

/* How a request was in flight at a crash; also sent to other nodes. */
typedef enum suspect_evidence {
	SUSPECT_ALONE,	 /* no other request that may be the cause was in flight */
	SUSPECT_RECENT,	 /* of several, one that started last */
	SUSPECT_EARLIER, /* of several, one that was running before those started */
	SUSPECT_EVIDENCE_COUNT,
} suspect_evidence_t;

typedef struct suspects suspects_t;

suspects_t *suspects_create(void);
void suspects_destroy(suspects_t *suspects);

/* The id of the present crash: that of the last one if it began at most 1 s ago, else
 * new_id. */
uint64_t suspects_crash_id(suspects_t *suspects, uint64_t new_id, usec_t now);

/* Counts a call that was in flight when this node's target crashed; returns whether to
 * report it to other nodes: not if this crash was counted, or the call is exempt. */
bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash_id,
			   suspect_evidence_t evidence, usec_t now);

/* Counts a crash of `age` ago that another node reported; returns false if it was counted
 * before or the call is exempt. */
bool suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash_id, suspect_evidence_t evidence,
				  usec_t age, usec_t now);

/* Records that a call completed: clears the crashes of its fingerprint. */
void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now);

/* Records that a call through another node completed. Takes no room in the table: has no
 * effect unless a crash was counted against the fingerprint. */
void suspects_handle_remote_success(suspects_t *suspects, uint64_t fingerprint,
				    usec_t now);

/* Whether a crash would not count against the fingerprint now. */
bool suspects_is_exempt(const suspects_t *suspects, uint64_t fingerprint, usec_t now);

/* A refusal as one node passes it to another. */
typedef struct suspect_refusal {
	uint64_t fingerprint;
	usec_t refuse_time; /* its length; it begins with the last crash */
	usec_t age;	    /* of the last crash */
} suspect_refusal_t;

/* Writes at most SUSPECT_REFUSALS_MAX refusals, those of the last crashes first, and
 * returns their number. Those that are over and not forgotten are included. */
uint32_t suspects_list_refusals(const suspects_t *suspects, usec_t now,
				suspect_refusal_t out[SUSPECT_REFUSALS_MAX]);

/* Adds a refusal of another node unless a longer one is known. */
void suspects_add_refusal(suspects_t *suspects, const suspect_refusal_t *refusal,
			  usec_t now);

/* Number of fingerprints that are kept. */
uint32_t suspects_count(const suspects_t *suspects);

/* Whether requests with the fingerprint are refused now. */
bool suspects_is_refused(const suspects_t *suspects, uint64_t fingerprint, usec_t now);

/* Whether one more crash would refuse requests with the fingerprint, alone in flight or
 * not after an earlier refusal: such a request is not to be repeated after its target was
 * lost. */
bool suspects_is_on_probation(const suspects_t *suspects, uint64_t fingerprint,
			      usec_t now);

#endif
