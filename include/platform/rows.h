#ifndef EGRET_PLATFORM_ROWS_H
#define EGRET_PLATFORM_ROWS_H

#include "store/store.h"

#include <jansson.h>

/*
 * NAME
 *	platform/rows - rows of the platform's tables in its bodies
 *
 * DESCRIPTION
 *	A row_list_t owns the texts of its rows. row_list_decode() appends the rows
 *	of an answer; rows that cannot be read are logged and left out.
 */

typedef struct row_list row_list_t;

row_list_t *row_list_create(void);
void row_list_destroy(row_list_t *list);

/*
 * Appends the rows of `table` newer than `after`. With `wrapped`, values hold
 * {"attempt", "value"} and keys become TABLE/KEY; otherwise values are given as
 * they are, and a row that was removed has no value. Returns false if the answer
 * holds no list of rows.
 */
bool row_list_decode(row_list_t *list, const json_t *answer, const char *table,
		     uint64_t after, bool wrapped, GError **error);

/* Appends a copy of a row. */
void row_list_add(row_list_t *list, const char *key, uint64_t revision, const char *value,
		  const char *attempt);

/* Drops all rows but the one with this key; returns whether there is one. */
bool row_list_keep(row_list_t *list, const char *key);

const store_row_t *row_list_rows(const row_list_t *list);
size_t row_list_count(const row_list_t *list);

/* Key of the last row within its table, or NULL. */
const char *row_list_last(const row_list_t *list);

/* The body of a conditional write; free with free(). */
char *rows_encode_commit(const char *attempt, const store_write_t *writes, size_t count);

#endif
