#ifndef EGRET_PLATFORM_VALUES_H
#define EGRET_PLATFORM_VALUES_H

#include "common/clock.h"

#include <jansson.h>
#include <stdbool.h>

/*
 * NAME
 *	platform/values - scalar formats of the platform's bodies
 */

/* "1500ms" or "2.5s"; returns false if the text is anything else. */
bool value_duration(const char *text, usec_t *out);

/*
 * A table given as {"columns": [names], "rows": [[values]]}. Returns the value of
 * a column in one row, or NULL if it is absent or null.
 */
const json_t *table_value(const json_t *table, size_t row, const char *column);

/* Number of rows; 0 if it is no table. */
size_t table_rows(const json_t *table);

#endif
