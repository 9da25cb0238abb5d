#include "egretctl/ctl.h"

#include <stdio.h>

int ctl_validate(ctl_t *ctl)
{
	if (ctl->paths->len == 0 || ctl->argc > 0)
		return ctl_usage("validate -f FILE|DIR");
	GPtrArray *records = record_files_load(ctl->paths);
	if (!records)
		return CTL_INVALID;
	printf("%u records are valid\n", records->len);
	g_ptr_array_free(records, TRUE);
	return CTL_OK;
}
