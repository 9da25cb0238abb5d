#ifndef EGRET_PLATFORM_INSTANCE_H
#define EGRET_PLATFORM_INSTANCE_H

#include "membership/target.h"

#include <glib.h>

/*
 * NAME
 *	platform/instance - status reports of the own target
 *
 * DESCRIPTION
 *	PUT /instances/ID tells the state of one start, DELETE /instances/ID that it
 *	ends. See read_report in egretscaled/node/dialect.h.
 */

bool platform_read_report(const char *method, const char *path, const uint8_t *body,
			  size_t len, target_report_t *out, GError **error);

#endif
