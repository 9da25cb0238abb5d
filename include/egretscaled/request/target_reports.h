#ifndef EGRET_EGRETSCALED_REQUEST_TARGET_REPORTS_H
#define EGRET_EGRETSCALED_REQUEST_TARGET_REPORTS_H

#include "egretscaled/request/http_request.h"

/*
 * NAME
 *	announce - reports that the own target makes of itself
 *
 * DESCRIPTION
 *	The dialect names the calls. A report that cannot be read, or that names
 *	another target than the settings, is logged, refused and changes nothing.
 */

#define TARGET_REPORTS_PREFIX "/v1/"

void target_reports_handle(http_request_t *request);

#endif
