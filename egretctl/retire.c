#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Writes a tombstone for every schema version of the record that is not retired. */
static int retire_versions(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	const char *prefix = ctx;
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
	} else if (!ctl->dry_run &&
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
	char *prefix = ctl_record_prefix(ctl);

	if (!prefix)
		return ctl_usage("retire KIND NAME [--dry-run]");
	int status = ctl_with_records(ctl, retire_versions, prefix);
	g_free(prefix);
	return status;
}
