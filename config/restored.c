#include "config/restored.h"

#include "common/revision.h"

#include <string.h>

uint64_t restored_snapshot_number(const char *value)
{
	json_t *json = value ? json_loads(value, 0, NULL) : NULL;
	const char *text = json_string_value(json_object_get(json, "version"));
	guint64 number = 0;

	text = text ? text + strcspn(text, "0123456789") : "";
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &number, NULL))
		number = 0;
	json_decref(json);
	return number;
}

static bool is_of_former_era(const config_row_t *held, const config_row_t *row)
{
	return held && revision_era(held->revision) < revision_era(row->revision);
}

static bool is_older_snapshot(const config_row_t *held, const config_row_t *row)
{
	uint64_t number = restored_snapshot_number(row->value);

	return number > 0 && number < restored_snapshot_number(held->value);
}

static bool has_newer_version(const config_row_t *held, const config_row_t *row)
{
	return revision_version(row->revision) > revision_version(held->revision);
}

static bool is_older_record(const restored_inputs_t *inputs, const config_row_t *held,
			    const config_row_t *row)
{
	return row->revision <= inputs->era_start && !has_newer_version(held, row);
}

static bool takes_zone_out(const config_row_t *row)
{
	json_t *json = row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *status = json_string_value(json_object_get(json, "status"));
	bool out = status && strcmp(status, "out") == 0;

	json_decref(json);
	return out;
}

/* Whether an evacuation was certainly written after the held status. A status "in" that
 * was read as the absence of a row has no version of its own. */
static bool is_newer_evacuation(const restored_inputs_t *inputs, const config_row_t *held,
				const config_row_t *row)
{
	return takes_zone_out(row) &&
	       (row->revision > inputs->era_start || has_newer_version(held, row));
}

/* Whether a roll-out order was certainly written after the held row. The absence of a row
 * has no version of its own, and an order is identified by its version. */
static bool is_newer_order(const restored_inputs_t *inputs, const config_row_t *held,
			   const config_row_t *row)
{
	return row->value &&
	       (row->revision > inputs->era_start || has_newer_version(held, row));
}

static bool is_same_row(const config_row_t *held, const config_row_t *row,
			bool is_rollout)
{
	if (g_strcmp0(held->value, row->value) != 0)
		return false;
	return !is_rollout || !row->value ||
	       revision_version(held->revision) == revision_version(row->revision);
}

restored_verdict_t restored_judge(const restored_inputs_t *inputs,
				  const config_row_t *held, const config_row_t *row)
{
	bool is_zone = g_str_has_prefix(row->key, CONFIG_ZONE_PREFIX);
	bool is_rollout = g_str_has_prefix(row->key, CONFIG_ROLLOUT_PREFIX);

	if (strcmp(row->key, CONFIG_SNAPSHOT_KEY) == 0)
		return is_of_former_era(held, row) && is_older_snapshot(held, row)
			       ? RESTORED_KEEP
			       : RESTORED_APPLY;
	if (inputs->has_snapshot && !is_zone && !is_rollout &&
	    row->revision == inputs->refused)
		return RESTORED_KEEP;
	if (!is_of_former_era(held, row) || is_same_row(held, row, is_rollout))
		return RESTORED_APPLY;
	if (!inputs->has_snapshot)
		return is_older_record(inputs, held, row) ? RESTORED_KEEP
							  : RESTORED_APPLY;
	if (is_zone && inputs->now < inputs->hold_until &&
	    !is_newer_evacuation(inputs, held, row))
		return RESTORED_DEFER;
	if (is_rollout && inputs->now < inputs->hold_until &&
	    !is_newer_order(inputs, held, row))
		return RESTORED_DEFER;
	return RESTORED_APPLY;
}
