#ifndef EGRET_PLATFORM_CONFIG_H
#define EGRET_PLATFORM_CONFIG_H

#include "platform/rows.h"

/*
 * NAME
 *	platform/config - the operator's rows as the product's records
 *
 * DESCRIPTION
 *	The row `config` holds the whole configuration: it becomes a snapshot row
 *	(config/config.h) and one row for each record, all at the row's revision.
 *	The rows `evacuate/ZONE` become availability_zone records. A row that
 *	cannot be read fails with EGRET_ERROR_JSON and gives nothing.
 */

#define PLATFORM_CONFIG_TABLE "op"

/* Appends the records that the rows state to `out`. `whole` tells that `rows` are
 * all there are at `revision`, so that a zone without a row is in. */
bool platform_config_decode(const row_list_t *rows, bool whole, const char *const *zones,
			    uint64_t revision, row_list_t *out, GError **error);

#endif
