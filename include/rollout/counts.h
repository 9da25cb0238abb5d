#ifndef EGRET_ROLLOUT_COUNTS_H
#define EGRET_ROLLOUT_COUNTS_H

#include "rollout/compare.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	counts - sums of the cells that several nodes report of an order
 *
 * DESCRIPTION
 *	A table of cells, one for each version, route, zone and instance; it grows as
 *	needed.
 *
 * OWNERSHIP
 *	counts_create() returns a table that the caller destroys.
 */

typedef struct counts counts_t;

counts_t *counts_create(void);
void counts_destroy(counts_t *counts);

/* Whether the cells count the same version, route, zone and instance. */
bool counts_same_cell(const rollout_cell_t *a, const rollout_cell_t *b);

void counts_add(counts_t *counts, const rollout_cell_t *cells, size_t count);

/* Subtracts earlier sums, so that the recent responses remain. */
void counts_subtract(counts_t *counts, const counts_t *earlier);
void counts_copy(counts_t *to, const counts_t *from);

/* Responses of the new version, or of all others. */
uint64_t counts_responses(const counts_t *counts, bool is_new);

/* Compares the versions, see rollout/compare.h. */
void counts_compare(const counts_t *counts, compare_result_t *out);

#endif
