#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_REPORTS_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_REPORTS_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	target_reports - receives the reports of this node's target
 *
 * DESCRIPTION
 *	The dialect defines which HTTP requests are reports and decodes them. A report
 *	that cannot be decoded, or that names another target than the settings, is
 *	logged and refused, and changes nothing.
 */

/* On the target listener, requests whose path starts with this prefix are reports; other
 * requests are outbound calls. */
#define TARGET_REPORTS_PREFIX "/v1/"

/* Applies the report in the buffered body and responds; on the worker's thread. */
void target_reports_handle(http_request_t *request);

#endif
