#ifndef EGRET_ACCOUNTS_BUCKET_H
#define EGRET_ACCOUNTS_BUCKET_H

#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	bucket - a token bucket whose rate and capacity can move
 *
 * DESCRIPTION
 *	tokens never exceed capacity. Amounts are requests; rates requests a
 *	second.
 */

typedef struct bucket {
	double rate;
	double capacity;
	double tokens;
	usec_t updated;
} bucket_t;

void bucket_refill(bucket_t *bucket, usec_t now);
bool bucket_take(bucket_t *bucket, usec_t now, double tokens);

/* Sets rate and capacity; tokens above the capacity are lost. */
void bucket_resize(bucket_t *bucket, usec_t now, double rate, double capacity);

#endif
