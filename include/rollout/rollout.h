#ifndef EGRET_ROLLOUT_ROLLOUT_H
#define EGRET_ROLLOUT_ROLLOUT_H

#include "common/clock.h"
#include "membership/directory.h"
#include "rollout/compare.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	rollout - which version of a service gets a request while an order is in progress
 *
 * DESCRIPTION
 *	A state machine without I/O. It handles the load of a service whose traffic is
 *	to move to another version that may be bad: a part of its responses are failures
 *	or are several times slower, at once or later, under load or on one route.
 *
 *	An order names the service, the new version and a duration. While it is in
 *	progress, a node sends the new version at most ROLLOUT_SHARE_USED times
 *	`share` of the requests that this node has sent to the service since it learned
 *	of the order and that have ended. No node has a slack of its own, so the bound
 *	adds up over all nodes, restarts and network partitions.
 *
 *	Each node counts the responses since the order by version, route, zone and, for
 *	the new version, instance. rollout_report() gives these counts to other nodes.
 *	rollout_tick() compares, in the sum of all counts, failures and times of the
 *	new version with those of the old version on the same route and in the same
 *	zone:
 *
 *	- rolled back: failures, or responses beyond a time that the old version
 *	  exceeds half of, are more than noise explains, also without the
 *	  instance and without the zone that contribute most. The latter condition
 *	  does not apply to a version that was hardly tested elsewhere. Times of a cold
 *	  instance are not compared, and a crash counts as a few failures only.
 *	- completed: after ROLLOUT_COMPLETE_AT of the duration with enough responses, or
 *	  after ROLLOUT_FEW_AT with what there is, and counts from more than half of the
 *	  nodes; few responses need those of all nodes until ROLLOUT_PARTIAL_AT. A node in
 *the smaller part of a network partition completes nothing.
 *
 *	A verdict is final for its order, identified by service, new version and order
 *	id. If parts of a partition decide differently, the verdict recorded in the
 *	platform's store takes precedence, then rolled back, which is safe because the
 *	old instances run until `completed` is recorded.
 *
 *	The share is concentrated on as few of the new instances as carry the load of
 *	an old one with it; rollout_select() names them. They change
 *	ROLLOUT_ROTATIONS times in the duration or each second, so that faults of an
 *	instance can be told from faults of the version.
 *
 *	A new order gets no requests on the new version until rollout_allow(): a node
 *	that has restarted must learn of an earlier verdict first.
 *
 * UNITS
 *	Times in usec_t of the boot clock. Shares are fractions of 1. Routes, zones and
 *	instances are identified by hashes of their names in the counts.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* The part of the share in use: requests in flight and late counts of what reached an
 * instance stay below the bound. */
#define ROLLOUT_SHARE_USED 0.8
/* Shares of the duration. A version may become bad after its first seconds, so that
 * even ample evidence does not complete a roll-out earlier. One that becomes bad later
 * than this is not noticed. */
#define ROLLOUT_COMPLETE_AT 0.6
#define ROLLOUT_FEW_AT 0.75
/* With few responses and without the counts of all nodes. The status row is written up to
 * an eighth of the duration later. */
#define ROLLOUT_PARTIAL_AT 0.85
#define ROLLOUT_ROTATIONS 16
/* Counts older than this are of a node that has no contact. */
#define ROLLOUT_REPORT_LIFETIME (3 * USEC_PER_SEC)
#define ROLLOUT_CELLS_MAX 128

typedef struct rollout rollout_t;

typedef enum rollout_state {
	ROLLOUT_NONE, /* no order */
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK,
} rollout_state_t;

typedef struct rollout_order {
	char service[MEMBER_TEXT_BYTES];
	char to[MEMBER_TEXT_BYTES];
	usec_t duration;
	uint64_t id; /* the version of its row */
} rollout_order_t;

typedef enum rollout_choice {
	ROLLOUT_ANY, /* versions make no difference */
	ROLLOUT_OLD,
	ROLLOUT_NEW,
} rollout_choice_t;

typedef enum rollout_outcome {
	ROLLOUT_GOOD,
	ROLLOUT_FAILED, /* the response states a failure, or none came in time */
	ROLLOUT_LOST,	/* the connection was lost */
	/* Refused unrun, or cancelled: it reached an instance, but says nothing of its
	 * version. */
	ROLLOUT_UNKNOWN,
	ROLLOUT_NOT_SENT, /* no instance was reached */
} rollout_outcome_t;

typedef struct rollout_result {
	const char *service;
	const char *version; /* of the instance */
	const char *route;
	const char *zone;     /* of the instance */
	const char *instance; /* address */
	bool cold;
	rollout_outcome_t outcome;
	usec_t sent_at;
	usec_t time; /* from sending to the response */
} rollout_result_t;

/* What one node reports of an order. Counts only rise while the node runs. */
typedef struct rollout_report {
	char service[MEMBER_TEXT_BYTES];
	char to[MEMBER_TEXT_BYTES];
	uint64_t order_id;
	uint64_t node; /* a process; another after a restart */
	usec_t age;    /* time since the order became known to any node */
	rollout_state_t state;
	bool recorded; /* the state is that of the row in the store */
	bool allowed;  /* the sender knows what was decided before; see rollout_allow() */
	uint32_t cell_count;
	rollout_cell_t cells[ROLLOUT_CELLS_MAX];
} rollout_report_t;

/* The inputs of the last decision, for log lines. */
typedef struct rollout_status {
	rollout_order_t order;
	rollout_state_t state;
	bool recorded;
	bool allowed;
	uint64_t responses_new;
	uint64_t responses_old;
	uint64_t bad;	   /* of the new version, in the comparison that decided */
	double expected;   /* number of bad ones that the old version explains */
	bool slow;	   /* the comparison was one of times */
	uint32_t nodes;	   /* with current counts, this node included */
	uint64_t sent_new; /* by this node */
	uint64_t ended;	   /* by this node, both versions */
	usec_t elapsed;
	usec_t state_age; /* time since this node has the state */
} rollout_status_t;

/* `share` is canary_share; `rollback` is the longest time from the 50th bad response of a
 * version to the last request that it gets; `node` identifies this process. */
rollout_t *rollout_create(double share, usec_t rollback, uint64_t node);
void rollout_destroy(rollout_t *rollout);

/* Begins an order unless it is known; a different one for the service starts over.
 * Returns whether it is new. */
bool rollout_set_order(rollout_t *rollout, const rollout_order_t *order, usec_t now);

/* The order is withdrawn; versions make no difference from now on. */
void rollout_withdraw(rollout_t *rollout, const char *service);

/* The status row was read after the order, or a peer has reported on it: what was decided
 * before is known. */
void rollout_allow(rollout_t *rollout, const char *service);

/* Whether usable instances of the new version exist; false for a new order. */
void rollout_set_available(rollout_t *rollout, const char *service, bool has_new);

/* Whether every known instance of the service has the new version, those out of reach
 * included; false for a new order. Once what was decided before is known, requests then
 * go on as before the order. Unless some node has counted a response of another version,
 * nothing is compared and the order is completed in its time. */
void rollout_set_sole(rollout_t *rollout, const char *service, bool sole);

/* The same as rollout_set_sole(), of an order that this node has just learned of: it sent
 * requests to the version before, so that it need not know what was decided. */
void rollout_set_sole_before(rollout_t *rollout, const char *service);

/* The version that the next request to the service gets. Whoever then sends to an
 * instance calls rollout_handle_send(). Returns ROLLOUT_OLD even if there is no old
 * instance and the share of the new version is used up. */
rollout_choice_t rollout_choose(const rollout_t *rollout, const char *service);

typedef struct rollout_instance {
	const char *address;
	const char *zone;
} rollout_instance_t;

/* Sets used[i] for those usable instances of the new version that get its share now. All
 * nodes that know the same instances select nearly the same ones. */
void rollout_select(const rollout_t *rollout, const char *service,
		    const rollout_instance_t *instances, uint32_t count, usec_t now,
		    bool *used);

/* A request is sent to an instance with this version. */
void rollout_handle_send(rollout_t *rollout, const char *service, const char *version);
void rollout_handle_result(rollout_t *rollout, const rollout_result_t *result);

/* Writes this node's counts. Returns false without an order. */
bool rollout_report(const rollout_t *rollout, const char *service, usec_t now,
		    rollout_report_t *out);

/* Takes the verdict of another node and its counts, which may be a part of its cells;
 * each cell replaces what is known of it. Returns whether the state changed. */
bool rollout_merge(rollout_t *rollout, const rollout_report_t *report, usec_t now);

/* Takes the verdict of the row in the store. Returns whether the state changed. */
bool rollout_handle_recorded(rollout_t *rollout, const char *service, const char *to,
			     uint64_t order_id, rollout_state_t state, usec_t now);

typedef void (*rollout_verdict_fn)(void *ctx, const rollout_status_t *status);

/* Decides the orders in progress; `nodes` is the number of nodes that are known, with
 * those out of contact. A service is completed only if usable new instances exist, see
 * rollout_set_available(). Calls fn for each order that changed its state. */
void rollout_tick(rollout_t *rollout, uint32_t nodes, usec_t now, rollout_verdict_fn fn,
		  void *ctx);

/* The new version of the order, or NULL without one. */
const char *rollout_version(const rollout_t *rollout, const char *service);
rollout_state_t rollout_state(const rollout_t *rollout, const char *service);

/* Calls fn with each order; fn must not change the orders. */
void rollout_foreach(const rollout_t *rollout, usec_t now, rollout_verdict_fn fn,
		     void *ctx);
const char *rollout_state_name(rollout_state_t state);

#endif
