#ifndef EGRET_EGRETSCALED_RATES_TOKEN_WAIT_H
#define EGRET_EGRETSCALED_RATES_TOKEN_WAIT_H

#include "egretscaled/rates/admit.h"

/*
 * NAME
 *	token_wait - requests that wait for a token of their account
 *
 * DESCRIPTION
 *	A worker takes a token that was received ahead of need, or asks the holders
 *	one after the other as accounts/token_search.h decides.
 *
 * THREADS
 *	Functions that take a worker run on that worker's thread,
 *	token_wait_handle_answer() on the control thread.
 */

/* See rates.h. */
admit_result_t token_wait_admit(worker_t *worker, const char *account, admit_fn fn,
				void *ctx);
void token_wait_cancel(worker_t *worker, void *ctx);
double token_wait_pressure(worker_t *worker, const char *account);

/* Handles the answer of a holder. */
void token_wait_handle_answer(node_t *node, const Egret__Gossip *message);

/* Creates the worker's table of requests that wait for a token, context -> waiter_t. */
GHashTable *token_wait_table_create(void);

#endif
