#include "rollout/counts.h"

#include <glib.h>

struct counts {
	GArray *cells; /* of rollout_cell_t */
};

counts_t *counts_create(void)
{
	counts_t *counts = g_new0(counts_t, 1);

	counts->cells = g_array_new(FALSE, TRUE, sizeof(rollout_cell_t));
	return counts;
}

void counts_destroy(counts_t *counts)
{
	if (!counts)
		return;
	g_array_free(counts->cells, TRUE);
	g_free(counts);
}

bool counts_same_cell(const rollout_cell_t *a, const rollout_cell_t *b)
{
	return a->is_new == b->is_new && a->route == b->route && a->zone == b->zone &&
	       a->instance == b->instance;
}

static rollout_cell_t *find_cell(const counts_t *counts, const rollout_cell_t *like)
{
	for (guint i = 0; i < counts->cells->len; i++) {
		rollout_cell_t *cell = &g_array_index(counts->cells, rollout_cell_t, i);
		if (counts_same_cell(cell, like))
			return cell;
	}
	return NULL;
}

static void add_cell(counts_t *counts, const rollout_cell_t *from)
{
	rollout_cell_t *cell = find_cell(counts, from);

	if (!cell) {
		g_array_append_val(counts->cells, *from);
		return;
	}
	cell->responses += from->responses;
	cell->failures += from->failures;
	cell->lost += from->lost;
	for (int i = 0; i < COMPARE_TIME_BUCKETS; i++)
		cell->times[i] += from->times[i];
}

void counts_add(counts_t *counts, const rollout_cell_t *cells, size_t count)
{
	for (size_t i = 0; i < count; i++)
		add_cell(counts, &cells[i]);
}

static void subtract(uint32_t *from, uint32_t count)
{
	*from -= MIN(*from, count);
}

void counts_subtract(counts_t *counts, const counts_t *earlier)
{
	for (guint i = 0; i < earlier->cells->len; i++) {
		const rollout_cell_t *old =
			&g_array_index(earlier->cells, rollout_cell_t, i);
		rollout_cell_t *cell = find_cell(counts, old);

		if (!cell)
			continue;
		subtract(&cell->responses, old->responses);
		subtract(&cell->failures, old->failures);
		subtract(&cell->lost, old->lost);
		for (int t = 0; t < COMPARE_TIME_BUCKETS; t++)
			subtract(&cell->times[t], old->times[t]);
	}
}

void counts_copy(counts_t *to, const counts_t *from)
{
	g_array_set_size(to->cells, 0);
	g_array_append_vals(to->cells, from->cells->data, from->cells->len);
}

uint64_t counts_responses(const counts_t *counts, bool is_new)
{
	uint64_t responses = 0;

	for (guint i = 0; i < counts->cells->len; i++) {
		const rollout_cell_t *cell =
			&g_array_index(counts->cells, rollout_cell_t, i);
		if (cell->is_new == is_new)
			responses += cell->responses;
	}
	return responses;
}

void counts_compare(const counts_t *counts, compare_result_t *out)
{
	compare_versions((const rollout_cell_t *)(const void *)counts->cells->data,
			 counts->cells->len, out);
}
