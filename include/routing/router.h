#ifndef EGRET_ROUTING_ROUTER_H
#define EGRET_ROUTING_ROUTER_H

#include "admission/priority.h"
#include "common/address.h"
#include "common/clock.h"
#include "membership/directory.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	router - selection of an instance for a call
 *
 * DESCRIPTION
 *	A state machine without I/O over the instances of all services. It prefers
 *	instances of the local zone, the less loaded of two random ones (power of two
 *	choices). If the local zone is saturated, the call spills to an instance in
 *	another zone with capacity left. An instance gets no calls if it drains or
 *	has left, if its zone is out of service, or if its node is silent. An instance
 *	whose shed level does not admit the call's priority is skipped, so that a call
 *	that every instance would shed is refused before it costs any work.
 *
 *	After 5 failures in a row an instance is ejected for 1 s, and for longer, up
 *	to 32 s, if this happens again before a call is answered. Failures while it is
 *	ejected do not count. At most half of a service's instances are ejected at a
 *	time. Ejected instances, and those that the failure detector suspects, are used
 *	only as the last resort.
 *
 *	With ROUTER_BALANCE_TIME, instances are compared by expected completion time
 *	(see routing/speed.h) rather than by the share of their slots in use, for
 *	instances that differ in speed or reject calls, and zones with unequal numbers
 *	of instances. An instance without a recent report counts as the mean of its
 *	service. A share of the calls goes to another zone while the local one is nearly
 *	saturated; it rises with the load of the local zone and with the capacity
 *	available in the others.
 *
 *	A load report loses its weight over ROUTER_REPORT_LIFETIME_USEC, and a shed
 *	level ages, see priority_level_aged(), so that a recovered instance gets calls
 *	again. A zone that returns to service ramps up over ROUTER_ZONE_RAMP_USEC.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ROUTER_REPORT_LIFETIME_USEC USEC_PER_SEC
#define ROUTER_ZONE_RAMP_USEC (10 * USEC_PER_SEC)
#define ROUTER_EXCLUDED_MAX 8

typedef struct router router_t;

/* Score by which instances are compared. */
typedef enum router_balance {
	ROUTER_BALANCE_SLOTS, /* share of the slots in use */
	ROUTER_BALANCE_TIME,  /* expected completion time */
} router_balance_t;

typedef enum router_reason {
	ROUTER_OWN_ZONE,
	ROUTER_SPILL,	    /* to another zone */
	ROUTER_LAST_RESORT, /* only ejected or suspected instances are available */
	ROUTER_NO_INSTANCE, /* no instance usable, and none skipped by its shed level */
	ROUTER_SHED,	    /* no instance usable; some skipped by their shed level */
	ROUTER_AGAIN,	    /* the instance of the attempt before */
} router_reason_t;

typedef enum router_outcome {
	ROUTER_ANSWERED,
	ROUTER_REFUSED, /* refused by the gate; not a failure of the instance */
	ROUTER_FAILED,	/* lost connection, crash, or no response in time */
} router_outcome_t;

typedef struct router_report {
	priority_t level; /* shed level, see admission/priority.h */
	uint32_t limit;
	uint32_t inflight;
	uint32_t queued;
	uint32_t response_time_usec; /* smoothed, of the target; 0 if unknown */
	/* The target rejected this call, did not complete it, or answered with a status
	 * of 500 or more. */
	bool failed;
} router_report_t;

typedef struct router_request {
	const char *service;
	priority_t priority;
	/* Addresses already tried for this request. */
	char excluded[ROUTER_EXCLUDED_MAX][ADDRESS_TEXT_BYTES];
	uint32_t excluded_count;
	/* Whether an instance may be chosen; NULL if all may. */
	bool (*allows)(void *ctx, const member_t *member);
	void *allows_ctx;
} router_request_t;

typedef struct router_choice {
	router_reason_t reason;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t node_id;
	char zone[MEMBER_TEXT_BYTES];
	char version[MEMBER_TEXT_BYTES];
	usec_t since;	     /* the instance became usable, as far as this router knows */
	uint32_t candidates; /* instances of the service */
	/* With ROUTER_BALANCE_TIME: the score of the instance, in thousandths. */
	uint32_t score_milli;
	/* Instances skipped, by reason. */
	uint32_t skipped_zone_out; /* the zone is out of service */
	uint32_t skipped_silent;
	uint32_t skipped_ejected;  /* ejected or suspected; usable as the last resort */
	uint32_t skipped_level;	   /* the shed level does not admit the call */
	uint32_t skipped_version;  /* not allowed by the request */
	uint32_t skipped_excluded; /* already tried for this request */
} router_choice_t;

router_t *router_create(const char *own_zone, uint64_t random_seed);
void router_destroy(router_t *router);

/* Sets the score; ROUTER_BALANCE_SLOTS after router_create(). */
void router_set_balance(router_t *router, router_balance_t balance);

/* Applies a change of the directory: adds or updates the member's instance while it
 * accepts calls, and removes it otherwise. */
void router_update(router_t *router, const member_t *member, usec_t now);

/* Puts a zone into service, or takes it out. A zone that returns to service ramps up. */
void router_set_zone(router_t *router, const char *zone, bool in_service, usec_t now);

/* Marks the node of an instance as silent (it has stopped sending), or clears the mark;
 * while marked, the instance gets no calls. Returns false if no instance has the
 * address. */
bool router_set_silent(router_t *router, const char *address, bool silent);

/* Leaves those instances of the service out of its pressure and shed level that have this
 * version, or if `same` is false those that have another: they get few requests or none,
 * so that their free slots are no capacity. NULL counts all instances again. */
void router_set_idle(router_t *router, const char *service, const char *version,
		     bool same);

/* Chooses an instance and counts the call as in flight on it. If there is none,
 * out->address is empty; out->reason is set in both cases. */
void router_pick(router_t *router, const router_request_t *request, usec_t now,
		 router_choice_t *out);

/* Chooses the instance with this address again if it still accepts calls for the service,
 * and counts the call as in flight on it; otherwise out->address is empty. `since` is
 * that of the earlier choice: another process or version at the address is another
 * instance. */
void router_pick_again(router_t *router, const char *service, const char *address,
		       usec_t since, router_choice_t *out);

/* Ends a call on the instance. `report` is the load in the response, or NULL. */
void router_done(router_t *router, const char *address, router_outcome_t outcome,
		 const router_report_t *report, usec_t now);

/* Returns the highest shed level of the service's instances; PRIORITY_LEVEL_ALL if there
 * is none. */
priority_t router_service_level(router_t *router, const char *service, usec_t now);

/* Returns the pressure of the service, see admission/pressure.h, from the reports of its
 * instances and this node's calls in flight; 0 without instances. Instances whose zone is
 * out of service or whose node is silent do not count. */
double router_service_pressure(router_t *router, const char *service, usec_t now);

/* `since`: when the instance became usable with its version, as far as this router knows.
 */
typedef void (*router_member_fn)(void *ctx, const member_t *member, usec_t since);

/* Whether the service has such an instance as router_foreach_usable() finds. */
bool router_has_instance(router_t *router, const char *service);

/* Calls fn with each instance of the service whose zone is in service and whose node is
 * not silent. */
void router_foreach_usable(router_t *router, const char *service, router_member_fn fn,
			   void *ctx);

const char *router_reason_name(router_reason_t reason);

/* For status output: router_foreach() calls `fn` once for each instance. */
typedef struct router_instance_info {
	const char *address;
	const char *service;
	const char *zone;
	bool ejected;
	bool zone_in;
	uint32_t inflight;
	router_report_t report;
} router_instance_info_t;

typedef void (*router_instance_fn)(void *ctx, const router_instance_info_t *info);
void router_foreach(router_t *router, usec_t now, router_instance_fn fn, void *ctx);

#endif
