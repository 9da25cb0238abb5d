#ifndef EGRET_EGRETSCALED_REQUEST_ENTRY_H
#define EGRET_EGRETSCALED_REQUEST_ENTRY_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	entry - checks and prepares callers' requests and outbound calls
 *
 * DESCRIPTION
 *	entry_check() uses the headers only (API key, account, route). It fills in
 *	the request's context, or refuses the request and returns false.
 *	entry_begin() runs once the body is complete or its buffer is full. It
 *	computes the fingerprint, checks crash suspects, shed level, pressure (with
 *	the platform's dialect only) and rate, claims the idempotency key, then calls
 *	http_attempt_dispatch().
 *	outbound_check() and outbound_begin() do the same for outbound calls that
 *	this node's target sends to the target listener, without pressure, rate and
 *	idempotency key. The context comes from the request that the call names as
 *	its parent. outbound_check() also accepts reports of the target (see
 *	target_reports.h).
 *	If the dialect has no separate listener for outbound calls, entry_check() and
 *	entry_begin() handle them too. Such a call carries no API key; it gets the
 *	highest importance and no account, and skips pressure, rate and idempotency
 *	key.
 *
 * THREADS
 *	All functions run on the thread of the request's worker.
 */

bool entry_check(http_request_t *request);
void entry_begin(http_request_t *request);

bool outbound_check(http_request_t *request);
void outbound_begin(http_request_t *request);

#endif
