#ifndef EGRET_HTTP_PIPELINE_H
#define EGRET_HTTP_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * NAME
 *	pipeline - order of the requests that a client sent on one connection
 *
 * DESCRIPTION
 *	Answers clients that send further requests before the first one was answered.
 *	Decides which requests are read, which may run and which response is sent next.
 *
 *	Responses leave in the order of the requests. A request that may run again runs
 *	together with those before it. One that may not waits until each response before
 *	it was sent: a response that closes the connection, or breaks off, tells the
 *	client that nothing behind it was read, and the client sends all of that again.
 *	For the same reason a response closes the connection only if no request behind
 *	it has run, and requests do not run ahead while the connection is to be closed.
 *
 *	Reading ahead stops at a number of requests and of body bytes for each
 *	connection, and at a number of requests for all connections with one budget.
 *
 * OWNERSHIP
 *	Entries are embedded in the caller's requests, which outlive their time in the
 *	pipeline. A budget outlives its pipelines.
 */

typedef struct pipeline_budget {
	uint32_t ahead;	    /* requests in all pipelines behind the first of each */
	uint32_t ahead_max; /* reading ahead stops here */
} pipeline_budget_t;

typedef struct pipeline_limits {
	uint32_t requests_max; /* on one connection, at least 1 */
	size_t bytes_max;      /* of bodies behind the first request */
} pipeline_limits_t;

typedef struct pipeline_entry {
	TAILQ_ENTRY(pipeline_entry) link;
	size_t body_bytes;    /* that were read */
	bool complete;	      /* the whole request was read */
	bool startable;	      /* enough was read for it to run */
	bool repeatable;      /* it may run again */
	bool started;	      /* it was passed on, so that it may run */
	bool responded;	      /* its response can be sent */
	bool ends_connection; /* its response is the last one in any case */
} pipeline_entry_t;

typedef struct pipeline pipeline_t;

pipeline_t *pipeline_create(const pipeline_limits_t *limits, pipeline_budget_t *budget);

/* Entries that are left belong to no pipeline any more. */
void pipeline_destroy(pipeline_t *pipeline);

/* A head was read. */
void pipeline_add(pipeline_t *pipeline, pipeline_entry_t *entry);

/* Bytes of the body of the newest request were read. */
void pipeline_add_body(pipeline_t *pipeline, size_t bytes);

/* The response to the first request was sent. */
void pipeline_remove_first(pipeline_t *pipeline);

/* The first request, whose response is sent next, or NULL. */
pipeline_entry_t *pipeline_first(const pipeline_t *pipeline);

/* The request that was read last, or NULL. */
pipeline_entry_t *pipeline_newest(const pipeline_t *pipeline);

/* Whether to read on: the next head, or more of the newest request's body. */
bool pipeline_reads(const pipeline_t *pipeline);

/* The next request to start, or NULL; the caller sets `started`. `closing`: the
 * connection is to be closed as soon as that loses nothing. */
pipeline_entry_t *pipeline_next_start(const pipeline_t *pipeline, bool closing);

/* Whether the response to the first request closes the connection. */
bool pipeline_closes(const pipeline_t *pipeline, bool closing);

#endif
