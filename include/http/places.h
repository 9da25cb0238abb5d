#ifndef EGRET_HTTP_PLACES_H
#define EGRET_HTTP_PLACES_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * NAME
 *	places - which connection of a listener is closed for another one
 *
 * DESCRIPTION
 *	Handles the load of clients outside the limits: connections that send nothing,
 *	unfinished requests or very slow ones, and take all connections or the memory of
 *	the process.
 *
 *	A connection is *busy* while a request of it may have run or its response is
 *	being sent; it is then never chosen. It is *stalled* while the client takes
 *	no bytes of its response. If a place is needed, the choice is the
 *	oldest idle or unfinished connection. Connections of an address with more than
 *	its share of the places come first. Without any, it is the one that has been
 *	stalled longest, for at least PLACES_STALL_TIME. If memory is needed, it is the
 *	oldest unfinished connection that holds at least the mean of the unfinished
 *	ones, so that closing it frees some, or else a stalled one as above.
 *
 * OWNERSHIP
 *	Places are embedded in the caller's connections, and are removed before those are
 *	freed.
 *
 * ERRORS
 *	None. `now` must not decrease.
 */

typedef enum place_state {
	PLACE_BUSY,
	PLACE_IDLE,    /* between requests, or before the first byte */
	PLACE_HEAD,    /* a head has begun */
	PLACE_BODY,    /* a body is being read, and its request has not run */
	PLACE_STALLED, /* a response waits for the client to take its bytes */
} place_state_t;

typedef struct place {
	TAILQ_ENTRY(place) link; /* while it is not busy, among the waiting or stalled */
	uint32_t address;
	place_state_t state;
	usec_t since; /* when the state began */
	size_t bytes; /* memory that the connection holds */
} place_t;

typedef struct places_limits {
	uint32_t places_max;
	uint32_t address_share_percent; /* of places_max, for one address */
	size_t memory_max;		/* bytes of all places; 0: no limit */
	usec_t head_timeout;		/* 0: none */
} places_limits_t;

typedef struct places places_t;

places_t *places_create(const places_limits_t *limits);
void places_destroy(places_t *places);

/* Adds an idle connection. */
void places_add(places_t *places, place_t *place, uint32_t address, usec_t now);
void places_remove(places_t *places, place_t *place);

/* Notes state and memory of a connection. The age of a state that stays is kept. */
void places_update(places_t *places, place_t *place, place_state_t state, size_t bytes,
		   usec_t now);

/* Makes a connection the youngest in its state. */
void places_renew(places_t *places, place_t *place, usec_t now);

uint32_t places_count(const places_t *places);
size_t places_memory(const places_t *places);
bool places_are_full(const places_t *places);
bool places_exceed_memory(const places_t *places);

/* A client that takes no byte of its response for this time does not read it: the bound
 * for a head, which clients send within 3 s, with a margin for lost segments. */
#define PLACES_STALL_TIME (5 * USEC_PER_SEC)

/* Whether the budget has room for another head of this many bytes. Heads of at most
 * PLACES_SMALL_HEAD_BYTES fit unless busy and stalled connections alone use up the
 * budget: others are closed for them. */
#define PLACES_SMALL_HEAD_BYTES (16u << 10)
bool places_fit_head(const places_t *places, size_t bytes);

/* The connection to close for another one, or NULL if all are busy. */
place_t *places_choose(const places_t *places, usec_t now);

/* The connection to close for its memory, or NULL if none is unfinished or stalled. */
place_t *places_choose_for_memory(const places_t *places, usec_t now);

/* A connection whose head has taken too long, or NULL. */
place_t *places_choose_expired(const places_t *places, usec_t now);

#endif
