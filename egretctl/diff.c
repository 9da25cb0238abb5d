#include "egretctl/ctl.h"

/* Exit status 1 if there are differences, as diff(1) does. */
int ctl_diff(ctl_t *ctl)
{
	GError *error = NULL;

	if (ctl->files->len == 0 || ctl->argc > 0)
		return ctl_usage("diff -f FILE|DIR");
	GPtrArray *files = record_files_load(ctl->files);
	if (!files)
		return CTL_INVALID;
	platform_t *platform = platform_open(ctl->platform, &error);
	GHashTable *rows = platform ? platform_records(platform, &error) : NULL;
	int status = CTL_OK;
	if (rows) {
		GPtrArray *changes = changes_plan(files, rows);
		changes_print(ctl, changes);
		status = changes->len > 0 ? CTL_FAILED : CTL_OK;
		g_ptr_array_free(changes, TRUE);
		g_hash_table_destroy(rows);
	} else {
		status = ctl_fail("read the records", error);
	}
	g_clear_error(&error);
	platform_close(platform);
	g_ptr_array_free(files, TRUE);
	return status;
}
