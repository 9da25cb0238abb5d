#ifndef EGRET_ACCOUNTS_BUCKET_H
#define EGRET_ACCOUNTS_BUCKET_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	bucket - token bucket with adjustable rate and capacity
 *
 * DESCRIPTION
 *	One token admits one request; rates are in requests per second. A refill
 *	never raises the tokens above the capacity.
 *
 * THREADS
 *	None of its own; the owner serializes the calls.
 */

typedef struct bucket {
	double rate;
	double capacity;
	double tokens;
	usec_t refilled_at;
} bucket_t;

void bucket_refill(bucket_t *bucket, usec_t now);
/* Refills, then takes the tokens; returns false and takes none if there are fewer. */
bool bucket_take(bucket_t *bucket, usec_t now, double tokens);

/* Refills at the old rate, then sets rate and capacity. Tokens above the new capacity
 * are lost. */
void bucket_resize(bucket_t *bucket, usec_t now, double rate, double capacity);

#endif
