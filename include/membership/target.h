#ifndef EGRET_MEMBERSHIP_TARGET_H
#define EGRET_MEMBERSHIP_TARGET_H

#include "common/address.h"
#include "common/clock.h"
#include "membership/directory.h"

/*
 * NAME
 *	target - state of this node's target, from the target's reports
 *
 * DESCRIPTION
 *	A state machine without I/O. A process of the target is identified by
 *	(id, started_ms, address, service). A stale report changes nothing. A report
 *	is stale if it comes from the same address as the last one and either was
 *	sent by a process that started earlier, or by the same process with a
 *	sequence that is not higher. A report is never stale if it comes from
 *	another address, if the last report had no id, if it is of the same
 *	process and has no sequence, or if the target expired without a leave: a last
 *	report that looks newer than the target's own may be of another writer.
 *
 *	A target that reports that it is leaving drains: it still gets the requests
 *	that are on their way to it. target_accepts_requests() turns false before the
 *	time allowed for the leave is over.
 *
 *	A leave is final for its process, if that has an id: whatever ends the
 *	presence of the target meanwhile (no reports, a refused connection, another
 *	process), a report that was sent before the leave and arrives late does not
 *	bring it back. The last TARGET_LEFT_MAX processes that left are kept for that.
 *
 *	A leave report may state only an id. If that is not the id of the last report,
 *	reports under it are stale for LATE_REPORT_TIME. If it is, but another process
 *	had the id until less than LATE_REPORT_TIME ago, it may be a late report of
 *	that process, and is not taken.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* `id` is empty and `started_ms` and `sequence` are 0 in reports without them. */
typedef struct target_report {
	char id[MEMBER_TEXT_BYTES];
	uint64_t started_ms; /* start of the process, wall clock */
	uint64_t sequence;   /* rises with each report of a process */
	bool leaving;
	char service[MEMBER_TEXT_BYTES];
	char version[MEMBER_TEXT_BYTES]; /* of the target; empty if not reported */
	char address[ADDRESS_TEXT_BYTES];
	uint32_t slots;	       /* calls that the target can run concurrently */
	uint32_t connections;  /* maximum number of connections; 0 if not reported */
	uint32_t cold_slots;   /* slots at the start of the process; 0 if all */
	usec_t cold_time_left; /* time that the target stays cold from now on */
} target_report_t;

#define TARGET_LEFT_MAX 8
/* A report arrives at most this late. */
#define LATE_REPORT_TIME (10 * USEC_PER_SEC)

/* A process that left. */
typedef struct left_process {
	char id[MEMBER_TEXT_BYTES];
	uint64_t started_ms;
	/* The start is not known: all processes with the id count as left until then. */
	usec_t any_start_until;
} left_process_t;

typedef struct target {
	bool present;
	bool draining;
	bool expired;		     /* since the last report */
	target_report_t last_report; /* newest that was applied */
	usec_t last_report_at;
	usec_t accepts_until; /* while draining */
	usec_t cold_until;    /* 0 if not cold */
	usec_t id_reused_at;  /* a process took over the id of another; 0 if none did */
	left_process_t left[TARGET_LEFT_MAX];
	uint32_t left_count; /* in all; the last ones are kept */
} target_t;

typedef enum target_change {
	TARGET_REPORT_STALE, /* ignored; see DESCRIPTION */
	TARGET_UNCHANGED,
	/* Another process, present again after an absence, or (only without an id)
	 * present again after a leave. */
	TARGET_STARTED,
	TARGET_CHANGED, /* other slots, or the cold phase began or ended */
	TARGET_LEAVING,
} target_change_t;

/* Applies a report and returns what it changed. A target that reports that it is
 * leaving gets no new requests after a part of `leave_timeout` (LEAVE_ACCEPT_FRACTION in
 * target.c). */
target_change_t target_apply_report(target_t *target, const target_report_t *report,
				    usec_t now, usec_t leave_timeout);

typedef enum target_leave {
	TARGET_LEAVE_OWN,	/* of the process whose report was applied last */
	TARGET_LEAVE_OTHER,	/* of another process, which is noted as left */
	TARGET_LEAVE_UNCERTAIN, /* of that process or of an earlier one with its id */
} target_leave_t;

/* Finds the process of a leave report that states only an id, or nothing, and for
 * TARGET_LEAVE_OWN fills in the other fields. */
target_leave_t target_resolve_leave(target_t *target, target_report_t *report,
				    usec_t now);

/* The process that left last and whose start is known, or NULL. */
const left_process_t *target_last_left(const target_t *target);

/* Adds a process that left before this node started. Returns whether that is the present
 * one, which thereby leaves. */
bool target_add_left(target_t *target, const char *id, uint64_t started_ms, usec_t now,
		     usec_t leave_timeout);

/* Whether the report is of the process whose report was applied last. */
bool target_is_same_process(const target_t *target, const target_report_t *report);

/* Whether new requests may be sent to the target. */
bool target_accepts_requests(const target_t *target, usec_t now);

/* The target refused a connection: it counts as absent until its next report.
 * Returns whether it was present. */
bool target_handle_refusal(target_t *target);

/* A target counts as absent if it sent no report for more than `timeout`. Returns
 * whether it expired in this call. */
bool target_expire(target_t *target, usec_t now, usec_t timeout);

#endif
