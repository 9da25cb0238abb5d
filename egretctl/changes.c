#include "egretctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void change_free(void *data)
{
	change_t *change = data;

	g_free(change->key);
	free(change->value);
	g_free(change->old_value);
	g_free(change);
}

/* Sorts keys and drops white space, so that equal records give equal text. */
static char *canonical_json(const json_t *json)
{
	return json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
}

static char *canonical_json_text(const char *text)
{
	json_t *json = text ? json_loads(text, 0, NULL) : NULL;
	char *out = json ? canonical_json(json) : NULL;

	json_decref(json);
	return out;
}

static void plan_record(const file_record_t *loaded, GHashTable *rows, GPtrArray *changes)
{
	char *key = record_row_key(loaded->record->kind, loaded->record->name,
				   loaded->record->schema_version);
	const config_row_t *row = g_hash_table_lookup(rows, key);
	char *value = canonical_json(loaded->json);
	char *old = row ? canonical_json_text(row->value) : NULL;

	if (old && strcmp(old, value) == 0) {
		g_free(key);
		free(value);
		free(old);
		return;
	}
	change_t *change = g_new0(change_t, 1);
	change->key = key;
	change->value = value;
	change->expected_revision = row ? row->revision : 0;
	change->action = old ? "update" : "create";
	change->old_value = g_strdup(old);
	free(old);
	g_ptr_array_add(changes, change);
}

GPtrArray *changes_plan(const GPtrArray *records, GHashTable *rows)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_free);

	for (guint i = 0; i < records->len; i++)
		plan_record(records->pdata[i], rows, changes);
	return changes;
}

static void print_json(const GPtrArray *changes)
{
	json_t *list = json_array();

	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = changes->pdata[i];
		json_t *item = json_pack("{s:s, s:s}", "change", change->action, "record",
					 change->key);
		if (change->old_value)
			json_object_set_new(item, "old",
					    json_loads(change->old_value, 0, NULL));
		if (change->value)
			json_object_set_new(item, "new",
					    json_loads(change->value, 0, NULL));
		json_array_append_new(list, item);
	}
	json_dumpf(list, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(list);
}

void changes_print(const ctl_t *ctl, const GPtrArray *changes)
{
	if (ctl->json) {
		print_json(changes);
		return;
	}
	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = changes->pdata[i];
		printf("%-7s %s\n", change->action, change->key);
		if (change->old_value)
			printf("      - %s\n", change->old_value);
		if (change->value)
			printf("      + %s\n", change->value);
	}
}
