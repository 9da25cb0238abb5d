#ifndef EGRET_PLATFORM_STORE_H
#define EGRET_PLATFORM_STORE_H

#include "http/curl_loop.h"
#include "store/store.h"

/*
 * NAME
 *	platform/store - store backend for the platform's HTTP table and object API
 *
 * DESCRIPTION
 *	Implements store/store.h; no other code calls the platform. The store key
 *	TABLE/KEY is the row KEY of that table, with an empty "part". A value is
 *	stored as base64 of {"attempt", "value"}: after a lost commit response, the
 *	attempt id in the row shows whether the commit took effect.
 *
 *	With RECORD_SOURCE_OPERATOR_CONFIG there are no rows under record/. Reads
 *	of that prefix return records converted from the operator's configuration
 *	(platform/config.h).
 */

#define STORE_TIMEOUT_MS 1000L

typedef enum record_source {
	RECORD_SOURCE_ROWS,	       /* rows under record/ */
	RECORD_SOURCE_OPERATOR_CONFIG, /* the operator's configuration */
} record_source_t;

/*
 * The curl loop must outlive the store. `zones` (NULL-terminated, or NULL) are the zones
 * that get an availability_zone record with RECORD_SOURCE_OPERATOR_CONFIG. `url` and
 * `zones` are copied. Free with store_destroy(), which cancels operations in flight.
 */
store_t *platform_store_create(curl_loop_t *loop, const char *url,
			       record_source_t record_source, const char *const *zones);

#endif
