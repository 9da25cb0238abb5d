#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Prints every schema version of the record that is not retired. */
static int print_versions(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	(void)ctl;
	(void)platform;
	const char *prefix = ctx;
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
	char *prefix = ctl_record_prefix(ctl);

	if (!prefix)
		return ctl_usage("get KIND NAME");
	int status = ctl_with_records(ctl, print_versions, prefix);
	g_free(prefix);
	return status;
}
