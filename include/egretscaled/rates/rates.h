#ifndef EGRET_EGRETSCALED_RATES_RATES_H
#define EGRET_EGRETSCALED_RATES_RATES_H

#include "egretscaled/rates/admit.h"

/*
 * NAME
 *	rates - check of a request against its account's rate
 *
 * DESCRIPTION
 *	Nodes with a settings file (settings_t.on_platform) take tokens from the
 *	holders of their zones (token_wait), since their deployment allows some requests
 *above the rate. Other nodes borrow tokens from keepers (loans_io).
 *
 * THREADS
 *	All functions run on the given worker's thread.
 */

/* Takes one token of the account for a request. If the result is ADMIT_WAITING, fn is
 * called with ctx when the request is decided, unless rates_cancel() is called first. The
 * call of fn may come before rates_admit() returns. fn is not called for the other
 * results. */
admit_result_t rates_admit(worker_t *worker, const char *account, admit_fn fn, void *ctx);

/* The request ended while it waited: its callback will not be called. */
void rates_cancel(worker_t *worker, const char *account, void *ctx);

/* The account's demand divided by its rate, as last known; 0 if not known. With loans:
 * the demand of this node's zone divided by the zone's portion of the rate. */
double rates_pressure(worker_t *worker, const char *account);

#endif
