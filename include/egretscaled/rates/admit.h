#ifndef EGRET_EGRETSCALED_RATES_ADMIT_H
#define EGRET_EGRETSCALED_RATES_ADMIT_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	admit - the answer of an account's rate to one request
 */

/* Runs on the worker that asked. */
typedef void (*admit_fn)(void *ctx, bool admitted);

typedef enum admit_result {
	ADMIT_GRANTED,
	ADMIT_WAITING, /* the callback will tell */
	ADMIT_REFUSED,
} admit_result_t;

#endif
