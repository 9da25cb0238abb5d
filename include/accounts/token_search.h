#ifndef EGRET_ACCOUNTS_TOKEN_SEARCH_H
#define EGRET_ACCOUNTS_TOKEN_SEARCH_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	token_search - where one request gets the token for its account
 *
 * DESCRIPTION
 *	Answers demand within the rate that is uneven over the zones or arrives in
 *	clumps. The holder of the request's own zone is asked first, and accepts a
 *	short wait. If it has no token, holders of other zones are asked for one that
 *	they have now, in random order, and at last the own zone's holder again, for a
 *	token that is due after a longer wait. A holder that does not reply is asked
 *	again, then its successor is.
 */

#define TOKEN_SEARCH_ZONES_MAX 64

typedef enum token_event {
	TOKEN_START,
	TOKEN_DENIED,	 /* the holder has no token */
	TOKEN_OVER_RATE, /* nor has any other: the account is above its rate */
	TOKEN_TIMEOUT,	 /* no reply within TOKEN_REPLY_TIMEOUT */
	TOKEN_NO_HOLDER, /* the zone has none that replies */
} token_event_t;

typedef enum token_action_kind {
	TOKEN_ASK,
	TOKEN_ASK_AGAIN, /* the same holder and the same question */
	TOKEN_REFUSE,
} token_action_kind_t;

typedef struct token_action {
	token_action_kind_t kind;
	uint32_t zone;	      /* whose holder is asked */
	usec_t wait_max;      /* accepted until the token is due */
	bool lend;	      /* the holder is of another zone */
	bool repeated;	      /* the request was counted as demand before */
	bool previous_silent; /* the holder that was asked last does not reply */
} token_action_t;

#define TOKEN_REPLY_TIMEOUT (20 * USEC_PER_MSEC)

typedef struct token_search {
	uint32_t own_zone;
	uint32_t zones[TOKEN_SEARCH_ZONES_MAX]; /* the others, in the order to ask */
	uint32_t zone_count;
	uint32_t zones_asked;
	uint32_t tries;	  /* of the present question */
	uint32_t holders; /* of the own zone that did not reply */
	bool counted;
	bool last; /* the own zone's holder was asked for the second time */
} token_search_t;

/* `zone_count` includes the own zone and is at most TOKEN_SEARCH_ZONES_MAX + 1. */
void token_search_init(token_search_t *search, uint32_t own_zone, uint32_t zone_count,
		       uint64_t random);

token_action_t token_search_next(token_search_t *search, token_event_t event);

#endif
