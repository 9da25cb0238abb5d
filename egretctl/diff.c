#include "egretctl/ctl.h"

static int show_changes(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	(void)platform;
	GPtrArray *changes = changes_plan(ctx, rows);
	int status = changes->len > 0 ? CTL_FAILED : CTL_OK;

	changes_print(ctl, changes);
	g_ptr_array_free(changes, TRUE);
	return status;
}

/* Exit status 1 if there are differences, as diff(1) does. */
int ctl_diff(ctl_t *ctl)
{
	if (ctl->files->len == 0 || ctl->argc > 0)
		return ctl_usage("diff -f FILE|DIR");
	GPtrArray *files = record_files_load(ctl->files);
	if (!files)
		return CTL_INVALID;
	int status = ctl_with_records(ctl, show_changes, files);
	g_ptr_array_free(files, TRUE);
	return status;
}
