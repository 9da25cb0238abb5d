#ifndef EGRET_PLATFORM_STORE_H
#define EGRET_PLATFORM_STORE_H

#include "http/curl_loop.h"
#include "store/store.h"

/*
 * NAME
 *	platform/store - the store over the platform's table and object calls
 *
 * DESCRIPTION
 *	The only client of the platform. A key KIND/REST of the port is the row
 *	REST of table KIND, in the empty part. A value is kept as base64 of
 *	{"attempt", "value"}, so that a lost answer of a commit can be settled.
 *
 *	With RECORD_SOURCE_OPERATOR_CONFIG the keys below record/ are not kept as
 *	such: a watch reads the operator's configuration and gives its records
 *	(platform/config.h).
 */

#define STORE_TIMEOUT_MS 1000L
/* A watch that goes silent is noticed within this time and the timeout. */
#define STORE_WATCH_MS 4000L

typedef enum record_source {
	RECORD_SOURCE_ROWS,
	RECORD_SOURCE_OPERATOR_CONFIG,
} record_source_t;

/* The curl loop must outlive the store. `zones` (NULL-terminated, or NULL) are
 * those whose status the operator's rows tell. */
store_t *platform_store_create(curl_loop_t *loop, const char *url,
			       record_source_t record_source, const char *const *zones);

#endif
