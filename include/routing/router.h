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
 *	router - choice of an instance for a call
 *
 * DESCRIPTION
 *	A state machine without I/O over the instances of all services. Own zone
 *	first, by two random choices on load; other zones by capacity when the
 *	own zone is saturated. Instances that drain, left, are in a zone that is
 *	out, or whose node is silent get nothing; ejected and suspected ones are
 *	the last resort. An instance whose shed level does not
 *	admit the call's priority is passed over, so that a call which every
 *	instance would shed is refused before any work.
 *
 *	A level or load report loses its weight over ROUTER_REPORT_LIFETIME_USEC, so that
 *	recovery is noticed. A zone that comes back takes load by a ramp.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define ROUTER_REPORT_LIFETIME_USEC USEC_PER_SEC
#define ROUTER_ZONE_RAMP_USEC (10 * USEC_PER_SEC)
#define ROUTER_EXCLUDED_MAX 8

typedef struct router router_t;

typedef enum router_reason {
	ROUTER_OWN_ZONE,
	ROUTER_SPILL,
	ROUTER_LAST_RESORT, /* only ejected instances were left */
	ROUTER_NO_INSTANCE, /* nothing accepts work for the service */
	ROUTER_SHED,	    /* every instance's level refuses the priority */
} router_reason_t;

typedef enum router_outcome {
	ROUTER_ANSWERED,
	ROUTER_REFUSED, /* the gate refused: not a fault of the instance */
	ROUTER_FAILED,	/* lost connection, crash or no answer in time */
} router_outcome_t;

typedef struct router_report {
	priority_t level;
	uint32_t limit;
	uint32_t inflight;
	uint32_t queued;
} router_report_t;

typedef struct router_request {
	const char *service;
	priority_t priority;
	/* Addresses already tried for this request. */
	char excluded[ROUTER_EXCLUDED_MAX][ADDRESS_TEXT_BYTES];
	uint32_t excluded_count;
} router_request_t;

typedef struct router_choice {
	router_reason_t reason;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t node_id;
	char zone[MEMBER_TEXT_BYTES];
	uint32_t candidates;
	uint32_t passed_zone_out;
	uint32_t passed_silent;
	uint32_t passed_ejected;
	uint32_t passed_level;
	uint32_t passed_excluded;
} router_choice_t;

router_t *router_create(const char *own_zone, uint64_t random_seed);
void router_destroy(router_t *router);

/* Takes a directory change; an instance is known while its target is up. */
void router_update(router_t *router, const member_t *member, usec_t now);
void router_set_zone(router_t *router, const char *zone, bool in, usec_t now);

/* The instance's node sends no sign of life, or does again; false if no instance has
 * the address. */
bool router_set_silent(router_t *router, const char *address, bool silent);

/* Chooses and counts the call as running on the instance. */
void router_pick(router_t *router, const router_request_t *request, usec_t now,
		 router_choice_t *out);

/* The call ended; report may be NULL. */
void router_done(router_t *router, const char *address, router_outcome_t outcome,
		 const router_report_t *report, usec_t now);

/* The best level of the service's instances; ALL if none is known. */
priority_t router_service_level(router_t *router, const char *service, usec_t now);

/* Calls that run or wait at the service over those that it can run, by the reports
 * of its instances in use and the own calls under way; 0 if nothing is known. */
double router_service_pressure(router_t *router, const char *service, usec_t now);

const char *router_reason_name(router_reason_t reason);

/* For status output: one call for each instance. */
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
