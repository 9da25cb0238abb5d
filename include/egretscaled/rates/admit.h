#ifndef EGRET_EGRETSCALED_RATES_ADMIT_H
#define EGRET_EGRETSCALED_RATES_ADMIT_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	admit - result of the rate check for one request
 */

/* Called at most once, on the thread of the worker that checks the request. */
typedef void (*admit_fn)(void *ctx, bool admitted);

typedef enum admit_result {
	ADMIT_GRANTED,
	ADMIT_WAITING, /* the callback receives the decision */
	ADMIT_REFUSED,
} admit_result_t;

#endif
