#ifndef EGRET_PLATFORM_INSTANCE_H
#define EGRET_PLATFORM_INSTANCE_H

#include "membership/target.h"

#include <glib.h>

/*
 * NAME
 *	platform/instance - decoder of the status reports of this node's target
 *
 * DESCRIPTION
 *	PUT /instances/ID reports the state of one process of the target,
 *	DELETE /instances/ID reports its end. Used as read_target_report of the platform's
 *	dialect; its errors are listed in egretscaled/node/dialect.h.
 */

bool platform_read_report(const char *method, const char *path, const uint8_t *body,
			  size_t len, target_report_t *out, GError **error);

#endif
