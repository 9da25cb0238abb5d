#ifndef EGRET_PLATFORM_ROWS_H
#define EGRET_PLATFORM_ROWS_H

#include "store/store.h"

#include <jansson.h>

/*
 * NAME
 *	platform/rows - JSON form of table rows in requests to the platform and its
 *	responses
 *
 * DESCRIPTION
 *	A row_list_t owns the strings of its rows. row_list_decode() appends the
 *	rows of a response. Malformed rows are logged and skipped.
 */

/* Its rows are read by others: their fields are not wrapped in `value`. */
#define PLATFORM_STATUS_TABLE "status"

typedef struct row_list row_list_t;

row_list_t *row_list_create(void);
void row_list_destroy(row_list_t *list);

/* Sets the store's era of the responses that follow; 0 at first. It is part of the
 * revision of each row (common/revision.h). */
void row_list_set_era(row_list_t *list, uint64_t era);

/* Adds rows whose value cannot be read without a value, like tombstones, instead of
 * skipping them. They can then be replaced, as their revision is known. */
void row_list_keep_unreadable(row_list_t *list);

/*
 * Appends the rows of `table` with a revision above `after`. With `wrapped`, each value
 * is a JSON object {"attempt", "value"} and the key is stored as TABLE/KEY. Otherwise
 * the value is stored unparsed under the plain key. A removed row has the value NULL.
 * Fails with EGRET_ERROR_JSON if the response has no array of rows.
 */
bool row_list_decode(row_list_t *list, const json_t *response, const char *table,
		     uint64_t after, bool wrapped, GError **error);

/* Appends a row with copies of the strings; `value` and `attempt` may be NULL. */
void row_list_add(row_list_t *list, const char *key, uint64_t revision, const char *value,
		  const char *attempt);

/* Removes all rows whose key within the table differs from `key`; returns false if none
 * is left. For rows that were decoded with `wrapped`. */
bool row_list_keep_only(row_list_t *list, const char *key);

const store_row_t *row_list_rows(const row_list_t *list);
size_t row_list_count(const row_list_t *list);

/*
 * Returns the key within the table of the last row that had a key and a revision, also
 * if the row itself was skipped; NULL if there is none. The next page starts after it.
 */
const char *row_list_last_key(const row_list_t *list);

/* Returns the JSON body of a conditional write; the caller frees it with free(). */
char *rows_encode_commit(const char *attempt, const store_write_t *writes, size_t count);

#endif
