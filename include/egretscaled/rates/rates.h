#ifndef EGRET_EGRETSCALED_RATES_RATES_H
#define EGRET_EGRETSCALED_RATES_RATES_H

#include "egretscaled/rates/admit.h"

/*
 * NAME
 *	rates - whether an account's rate admits a request
 *
 * DESCRIPTION
 *	By shares where the deployment's bounds tolerate lag (shares_io), by
 *	tokens lent by keepers elsewhere (loans_io).
 */

/* Takes one token of the account for a request. */
admit_result_t rates_admit(worker_t *worker, const char *account, admit_fn fn, void *ctx);

/* A waiting request is over; its callback will not run. */
void rates_cancel(worker_t *worker, const char *account, void *ctx);

/* The account's demand over its rate as last known. */
double rates_pressure(worker_t *worker, const char *account);

#endif
