#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Leaves a tombstone for every live schema version of the record. */
static int retire_versions(platform_t *platform, GHashTable *rows, const char *prefix,
			   bool dry_run)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(store_write_t));
	GHashTableIter iter;
	void *value;
	GError *error = NULL;
	int status = CTL_OK;

	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const config_row_t *row = value;
		if (!row->value || !g_str_has_prefix(row->key, prefix))
			continue;
		store_write_t write = {.key = row->key,
				       .expected_revision = row->revision};
		g_array_append_val(writes, write);
		printf("retire  %s\n", row->key);
	}
	if (writes->len == 0) {
		fprintf(stderr, "nothing to change\n");
	} else if (!dry_run &&
		   platform_commit(platform, (store_write_t *)(void *)writes->data,
				   writes->len, &error) == 0) {
		status = ctl_fail("retire", error);
		g_clear_error(&error);
	}
	g_array_free(writes, TRUE);
	return status;
}

int ctl_retire(ctl_t *ctl)
{
	record_kind_t kind;
	GError *error = NULL;

	if (ctl->argc != 2 || !record_kind_parse(ctl->argv[0], &kind) ||
	    !record_name_valid(ctl->argv[1]))
		return ctl_usage("retire KIND NAME [--dry-run]");
	platform_t *platform = platform_open(ctl->platform, &error);
	GHashTable *rows = platform ? platform_records(platform, &error) : NULL;
	int status;
	if (rows) {
		char *prefix =
			g_strdup_printf("record/%s/%s@", ctl->argv[0], ctl->argv[1]);
		status = retire_versions(platform, rows, prefix, ctl->dry_run);
		g_free(prefix);
		g_hash_table_destroy(rows);
	} else {
		status = ctl_fail("read the records", error);
	}
	g_clear_error(&error);
	platform_close(platform);
	return status;
}
