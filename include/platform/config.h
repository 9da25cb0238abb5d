#ifndef EGRET_PLATFORM_CONFIG_H
#define EGRET_PLATFORM_CONFIG_H

#include "platform/rows.h"

/*
 * NAME
 *	platform/config - converts the operator's configuration rows to records
 *
 * DESCRIPTION
 *	The row `config` holds the complete configuration. It is converted to a
 *	snapshot row (config/config.h) with the configuration's version and one row
 *	for each record, all at the revision of the row. A row `evacuate/ZONE` takes
 *	the zone out of service and is converted to an availability_zone record. A
 *	malformed `config` row fails with EGRET_ERROR_JSON and yields no records.
 */

#define PLATFORM_CONFIG_TABLE "op"

/*
 * Converts `rows` to records and appends them to `out`. `zones` is NULL-terminated. If
 * `complete` is set, `rows` holds every row of the table at `revision`; each of `zones`
 * without an `evacuate/` row then gets a record with status "in".
 *
 * Returns false if any row fails; the records of the other rows are still appended.
 */
bool platform_config_decode(const row_list_t *rows, bool complete,
			    const char *const *zones, uint64_t revision, row_list_t *out,
			    GError **error);

#endif
