#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

static int compare_rows(const void *a, const void *b)
{
	return strcmp((*(config_row_t *const *)a)->key, (*(config_row_t *const *)b)->key);
}

/* Returns the rows of records that are not retired, sorted by key. */
static GPtrArray *unretired_rows(GHashTable *rows, const char *prefix)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const config_row_t *row = value;
		if (row->value && g_str_has_prefix(row->key, prefix))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, compare_rows);
	return list;
}

static void print_rows(const ctl_t *ctl, const GPtrArray *list)
{
	json_t *array = json_array();

	if (!ctl->json)
		printf("%-8s  %s\n", "REVISION", "RECORD");
	for (guint i = 0; i < list->len; i++) {
		const config_row_t *row = list->pdata[i];
		if (ctl->json)
			json_array_append_new(array, json_loads(row->value, 0, NULL));
		else
			printf("%-8" G_GUINT64_FORMAT "  %s\n", row->revision,
			       row->key + strlen("record/"));
	}
	if (ctl->json) {
		json_dumpf(array, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
		printf("\n");
	}
	json_decref(array);
}

static int list_rows(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	(void)platform;
	GPtrArray *list = unretired_rows(rows, ctx);

	print_rows(ctl, list);
	g_ptr_array_free(list, TRUE);
	return CTL_OK;
}

int ctl_list(ctl_t *ctl)
{
	record_kind_t kind;

	if (ctl->argc > 1 || (ctl->argc == 1 && !record_kind_parse(ctl->argv[0], &kind)))
		return ctl_usage("list [KIND]");
	char *prefix = ctl->argc == 1 ? g_strdup_printf("record/%s/", ctl->argv[0])
				      : g_strdup("record/");
	int status = ctl_with_records(ctl, list_rows, prefix);
	g_free(prefix);
	return status;
}
