#include "egretctl/ctl.h"

static int print_differences(ctl_t *ctl, platform_t *platform, GHashTable *rows,
			     void *ctx)
{
	(void)platform;
	GPtrArray *changes = changes_plan(ctx, rows);
	int status = changes->len > 0 ? CTL_FAILED : CTL_OK;

	changes_print(ctl, changes);
	g_ptr_array_free(changes, TRUE);
	return status;
}

/* Returns 1 if there are differences, as diff(1) does. */
int ctl_diff(ctl_t *ctl)
{
	if (ctl->paths->len == 0 || ctl->argc > 0)
		return ctl_usage("diff -f FILE|DIR");
	GPtrArray *records = record_files_load(ctl->paths);
	if (!records)
		return CTL_INVALID;
	int status = ctl_with_records(ctl, print_differences, records);
	g_ptr_array_free(records, TRUE);
	return status;
}
