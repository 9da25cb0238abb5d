#ifndef EGRET_EGRETSCALED_NODE_DIALECT_H
#define EGRET_EGRETSCALED_NODE_DIALECT_H

#include "egretscaled/node/call.h"
#include "membership/target.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	dialect - how requests and answers speak HTTP at a node's edge
 *
 * DESCRIPTION
 *	A table of callbacks that read and write heads; it decides nothing. The
 *	product's own dialect is dialect_egret(); the platform's is in platform/.
 *
 * THREADS
 *	Dialects are constant and may be used from any thread.
 */

/* What the head of a request says of itself. Texts live as long as the head. */
typedef struct request_headers {
	const char *id;		     /* the client's own id, or NULL */
	const char *api_key;	     /* API key, or NULL */
	const char *idempotency_key; /* or NULL */
	const char *parent_token;    /* token of the request that made this call */
	uint32_t timeout_ms;	     /* the client waits so long; 0 if not said */
} request_headers_t;

typedef const char *(*header_lookup_fn)(void *ctx, const char *name);

/* What the target is told of where a request came from. */
typedef struct origin {
	const char *account;	    /* empty for none */
	const char *caller_service; /* of the target on the entry's vm, or NULL */
	const char *host;	    /* that the client named, or NULL */
} origin_t;

/* What the target is told with one attempt. */
typedef struct attempt_headers {
	const char *token;	 /* for the target's onward calls */
	const char *incarnation; /* the incarnation that is meant, or NULL */
	usec_t time_left;	 /* until the deadline */
} attempt_headers_t;

/* What the head of a target's answer says beside its status. */
typedef struct response_headers {
	bool not_run;		   /* the target states that it did not run the request */
	bool other_request;	   /* the answer names another request */
	bool other_incarnation;	   /* another incarnation lives at the address */
	uint32_t idle_timeout_sec; /* idle connections are closed then; 0 if not said */
} response_headers_t;

typedef struct refusal {
	Egret__Outcome outcome;
	Egret__Reason reason;
	const char *request_id;
	usec_t retry_after; /* when the client is asked to come back */
} refusal_t;

typedef void (*add_header_fn)(void *ctx, const char *name, const char *value);

typedef struct dialect {
	const char *name;
	/* The own target's calls come in like those of callers. */
	bool outbound_on_caller_listener;
	/* Returns false if the head is malformed. */
	bool (*read_request)(header_lookup_fn lookup, void *ctx, request_headers_t *out);
	/* Whether a header that a client sent is dropped, since the system sets it. */
	bool (*strips_request_header)(const char *name);
	/* Headers that the entry sets. */
	void (*add_origin_headers)(const origin_t *origin, add_header_fn add, void *ctx);
	void (*add_attempt_headers)(const attempt_headers_t *attempt, add_header_fn add,
				    void *ctx);
	/* Reads one header of an answer; returns whether it is passed on. */
	bool (*read_response_header)(const char *name, const char *value, uint32_t status,
				     const char *request_id, response_headers_t *out);
	/* Adds what an answer says of its outcome. */
	void (*add_outcome_headers)(Egret__Outcome outcome, add_header_fn add, void *ctx);
	/*
	 * Decodes a report of the own target. NOT_FOUND if the call is none, JSON if
	 * it cannot be read. A leave may leave all but `id` empty.
	 */
	bool (*read_target_report)(const char *method, const char *path,
				   const uint8_t *body, size_t len, target_report_t *out,
				   GError **error);
	uint32_t (*refusal_status)(const refusal_t *refusal);
	void (*add_refusal_headers)(const refusal_t *refusal, add_header_fn add,
				    void *ctx);
} dialect_t;

const dialect_t *dialect_egret(void);

/* The stable word of a reason and the HTTP status that states it. */
const char *reason_name(Egret__Reason reason);
uint32_t reason_status(Egret__Outcome outcome, Egret__Reason reason);
const char *outcome_name(Egret__Outcome outcome);

#endif
