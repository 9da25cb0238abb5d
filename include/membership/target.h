#ifndef EGRET_MEMBERSHIP_TARGET_H
#define EGRET_MEMBERSHIP_TARGET_H

#include "common/address.h"
#include "common/clock.h"
#include "membership/directory.h"

/*
 * NAME
 *	target - what a node knows of its own target, from the target's reports
 *
 * DESCRIPTION
 *	A state machine without I/O. An incarnation is named by (id, started_ms); the
 *	newest start counts, and within it the highest sequence. A report of an
 *	earlier start, or one that was overtaken, changes nothing.
 *
 *	A target that says that it leaves still takes requests that are on their
 *	way, until target_accepts_requests() turns false within the time that the
 *	acknowledgement allows.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* Reports of a target that names no start or sequence have 0 there. */
typedef struct target_report {
	char id[MEMBER_TEXT_BYTES];
	uint64_t started_ms; /* milliseconds of the wall clock */
	uint64_t sequence;   /* rises with each report of one start */
	bool leaving;
	char service[MEMBER_TEXT_BYTES];
	char address[ADDRESS_TEXT_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t cold_slots;   /* first limit of a start; 0 if all slots */
	usec_t cold_remaining; /* for so long the target stays cold */
} target_report_t;

typedef struct target {
	bool present;
	bool draining;
	target_report_t last_report; /* newest report taken */
	usec_t last_report_at;
	usec_t accepts_until; /* while draining */
	usec_t cold_until;
} target_t;

typedef enum target_change {
	TARGET_REPORT_STALE, /* overtaken, or of an earlier start */
	TARGET_UNCHANGED,
	TARGET_STARTED, /* another incarnation, or back after a silence */
	TARGET_CHANGED,
	TARGET_LEAVING,
} target_change_t;

/* A leave is honoured within `leave_timeout`. */
target_change_t target_apply_report(target_t *target, const target_report_t *report,
				    usec_t now, usec_t leave_timeout);

/* Whether new requests may be handed to the target. */
bool target_accepts_requests(const target_t *target, usec_t now);

/* The target refuses connections: it is gone until it reports again. Returns whether
 * that is news. */
bool target_handle_refusal(target_t *target);

/* No report came for `timeout`: the target counts as gone. Returns whether that is
 * news. */
bool target_expire(target_t *target, usec_t now, usec_t timeout);

#endif
