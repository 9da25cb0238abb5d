#ifndef EGRET_EGRETSCALED_NODE_DIALECT_H
#define EGRET_EGRETSCALED_NODE_DIALECT_H

#include "egretscaled/node/call.h"
#include "membership/target.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	dialect - HTTP conventions between a node, its callers and its target
 *
 * DESCRIPTION
 *	A table of callbacks that read and write headers, without state or policy.
 *	dialect_egret() uses Egret-* headers; the platform's dialect is in
 *	platform/dialect.c.
 *
 * THREADS
 *	Dialects are constant and may be used from any thread.
 */

/* What the headers of a request state. Texts are valid as long as the headers. */
typedef struct request_headers {
	const char *id;		     /* chosen by the client, or NULL */
	const char *api_key;	     /* or NULL */
	const char *idempotency_key; /* or NULL */
	const char *parent_token; /* token of the request that made this outbound call, or
				     NULL */
	uint32_t timeout_ms;	  /* how long the client waits; 0 if not stated */
} request_headers_t;

/* Returns the value of a header, or NULL. */
typedef const char *(*header_lookup_fn)(void *ctx, const char *name);

/* Where a request came from. A dialect forwards parts of it to the target. */
typedef struct origin {
	const char *account;	    /* empty for none */
	const char *caller_service; /* service of the entry node's target, or NULL */
	const char *host;	    /* Host header of the request, or NULL */
} origin_t;

/* Values of the headers that each attempt adds. */
typedef struct attempt_headers {
	const char *token;     /* for the target's outbound calls */
	const char *target_id; /* of the target's process that is to run the request; or
				  NULL */
	usec_t time_left;      /* until the deadline */
} attempt_headers_t;

/* The request to which a response is expected. */
typedef struct sent_request {
	const GPtrArray *headers; /* of header_t, without those of the attempt */
	const char *token;	  /* of attempt_headers_t */
} sent_request_t;

/* What the headers of a target's response state. */
typedef struct response_headers {
	bool not_run;	    /* the target states that it did not run the request */
	bool other_request; /* the response does not identify the request as the dialect
			       requires; nothing else in it may be used */
	bool other_process; /* the address belongs to another process of the target */
	uint32_t idle_timeout_sec; /* of the target's connection; 0 if not stated */
} response_headers_t;

typedef struct refusal {
	Egret__Outcome outcome;
	Egret__Reason reason;
	const char *request_id;
	usec_t retry_after; /* time after which the client may retry */
} refusal_t;

typedef void (*add_header_fn)(void *ctx, const char *name, const char *value);

typedef struct dialect {
	const char *name;
	/* The node's target sends its outbound calls to the caller listener. */
	bool outbound_on_caller_listener;
	/* Returns false if a header is malformed. */
	bool (*read_request)(header_lookup_fn lookup, void *ctx, request_headers_t *out);
	/* Whether a client's header is stripped, since the node sets it itself. */
	bool (*strips_request_header)(const char *name);
	/* Adds the headers that the entry node sets. */
	void (*add_origin_headers)(const origin_t *origin, add_header_fn add, void *ctx);
	/* Adds the headers of one attempt, set by the target's node. */
	void (*add_attempt_headers)(const attempt_headers_t *attempt, add_header_fn add,
				    void *ctx);
	/* Reads the complete head of a response. */
	void (*read_response)(const sent_request_t *request, uint32_t status,
			      const GPtrArray *headers, response_headers_t *out);
	/* Adds the header that states the outcome to the caller. */
	void (*add_outcome_headers)(Egret__Outcome outcome, add_header_fn add, void *ctx);
	/*
	 * Decodes a report of the node's target. Fails with EGRET_ERROR_NOT_FOUND if the
	 * request is not a report, or EGRET_ERROR_JSON if the report is malformed. In
	 * a leave report, all fields but `leaving` may be empty.
	 */
	bool (*read_target_report)(const char *method, const char *path,
				   const uint8_t *body, size_t len, target_report_t *out,
				   GError **error);
	uint32_t (*refusal_status)(const refusal_t *refusal);
	void (*add_refusal_headers)(const refusal_t *refusal, add_header_fn add,
				    void *ctx);
} dialect_t;

const dialect_t *dialect_egret(void);

/* Stable names for headers and logs, and the HTTP status of a refusal. */
const char *reason_name(Egret__Reason reason);
uint32_t reason_status(Egret__Outcome outcome, Egret__Reason reason);
const char *outcome_name(Egret__Outcome outcome);

#endif
