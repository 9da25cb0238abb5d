#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Prints every live schema version of the record. */
static int print_versions(GHashTable *rows, const char *prefix)
{
	GHashTableIter iter;
	void *value;
	bool found = false;

	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const config_row_t *row = value;
		if (!row->value || !g_str_has_prefix(row->key, prefix))
			continue;
		json_t *json = json_loads(row->value, 0, NULL);
		json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
		printf("\n");
		json_decref(json);
		found = true;
	}
	if (!found)
		fprintf(stderr, "egretctl: get: no such record\n");
	return found ? CTL_OK : CTL_FAILED;
}

int ctl_get(ctl_t *ctl)
{
	record_kind_t kind;
	GError *error = NULL;

	if (ctl->argc != 2 || !record_kind_parse(ctl->argv[0], &kind) ||
	    !record_name_valid(ctl->argv[1]))
		return ctl_usage("get KIND NAME");
	platform_t *platform = platform_open(ctl->platform, &error);
	GHashTable *rows = platform ? platform_records(platform, &error) : NULL;
	int status;
	if (rows) {
		char *prefix =
			g_strdup_printf("record/%s/%s@", ctl->argv[0], ctl->argv[1]);
		status = print_versions(rows, prefix);
		g_free(prefix);
		g_hash_table_destroy(rows);
	} else {
		status = ctl_fail("read the records", error);
	}
	g_clear_error(&error);
	platform_close(platform);
	return status;
}
