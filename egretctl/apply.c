#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Whether the account is among the records to apply or on the platform. */
static bool account_exists(const char *account, const GPtrArray *records,
			   GHashTable *rows)
{
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < records->len; i++) {
		const record_t *record =
			((const file_record_t *)records->pdata[i])->record;
		if (record->kind == RECORD_CLIENT_ACCOUNT &&
		    strcmp(record->name, account) == 0)
			return true;
	}
	char *prefix = g_strdup_printf("record/client_account/%s@", account);
	bool found = false;
	g_hash_table_iter_init(&iter, rows);
	while (!found && g_hash_table_iter_next(&iter, NULL, &value)) {
		const config_row_t *row = value;
		found = row->value && g_str_has_prefix(row->key, prefix);
	}
	g_free(prefix);
	return found;
}

/* Nodes reject a key whose account does not exist. */
static bool check_key_accounts(const GPtrArray *records, GHashTable *rows)
{
	bool ok = true;

	for (guint i = 0; i < records->len; i++) {
		const file_record_t *loaded = records->pdata[i];
		const record_t *record = loaded->record;
		if (record->kind != RECORD_KEY || !record->schema_supported ||
		    account_exists(record->key.account, records, rows))
			continue;
		fprintf(stderr,
			"%s: account: must be the name of an existing client_account\n",
			loaded->source);
		ok = false;
	}
	return ok;
}

static int commit(platform_t *platform, const GPtrArray *changes)
{
	store_write_t *writes = g_new0(store_write_t, changes->len);
	GError *error = NULL;
	int status = CTL_OK;

	for (guint i = 0; i < changes->len; i++) {
		const change_t *change = changes->pdata[i];
		writes[i] = (store_write_t){change->key, change->expected_revision,
					    change->value};
	}
	uint64_t revision = platform_commit(platform, writes, changes->len, &error);
	if (error) {
		status = ctl_fail("apply", error);
		g_clear_error(&error);
	} else {
		fprintf(stderr, "%u changed, revision %" G_GUINT64_FORMAT "\n",
			changes->len, revision);
	}
	g_free(writes);
	return status;
}

static int apply_records(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	const GPtrArray *records = ctx;
	int status = CTL_OK;

	if (!check_key_accounts(records, rows))
		return CTL_INVALID;
	GPtrArray *changes = changes_plan(records, rows);
	changes_print(ctl, changes);
	if (changes->len == 0)
		fprintf(stderr, "nothing to change\n");
	else if (!ctl->dry_run)
		status = commit(platform, changes);
	g_ptr_array_free(changes, TRUE);
	return status;
}

int ctl_apply(ctl_t *ctl)
{
	if (ctl->paths->len == 0 || ctl->argc > 0)
		return ctl_usage("apply -f FILE|DIR [--dry-run]");
	GPtrArray *records = record_files_load(ctl->paths);
	if (!records)
		return CTL_INVALID;
	int status = ctl_with_records(ctl, apply_records, records);
	g_ptr_array_free(records, TRUE);
	return status;
}
