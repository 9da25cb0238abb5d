#ifndef EGRET_EGRETSCALED_REQUEST_ENTRY_H
#define EGRET_EGRETSCALED_REQUEST_ENTRY_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	entry - preparation of callers' requests and of the target's onward calls
 *
 * DESCRIPTION
 *	entry_check() looks at the head only: key, account, route. It refuses the
 *	request or fills in its context. entry_begin() runs once the kept part of
 *	the body is there: fingerprint, shed level, rate, idempotency key, then
 *	http_attempt_dispatch(). outbound_check() and outbound_begin() do the same for
 *	onward calls, with the context of the live request.
 */

bool entry_check(http_request_t *request);
void entry_begin(http_request_t *request);

bool outbound_check(http_request_t *request);
void outbound_begin(http_request_t *request);

#endif
