#ifndef EGRET_PLATFORM_VALUES_H
#define EGRET_PLATFORM_VALUES_H

#include "common/clock.h"

#include <jansson.h>
#include <stdbool.h>

/*
 * NAME
 *	platform/values - durations and column/row tables in the platform's JSON
 */

/*
 * Parses a duration such as "1500ms" or "2.5s", at most 1e9 s. Returns false and leaves
 * `out` unchanged on NULL or any other format.
 */
bool duration_parse(const char *text, usec_t *out);

/*
 * Returns one cell of a table of the form {"columns": [names], "rows": [[values]]}.
 * Returns NULL if the column or the row is missing or the cell is JSON null. The
 * result is borrowed from `table`.
 */
const json_t *table_cell(const json_t *table, size_t row, const char *column);

/* Returns the number of rows, or 0 if `table` is not a table. */
size_t table_row_count(const json_t *table);

#endif
