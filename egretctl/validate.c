#include "egretctl/ctl.h"

#include <stdio.h>

int ctl_validate(ctl_t *ctl)
{
	if (ctl->files->len == 0 || ctl->argc > 0)
		return ctl_usage("validate -f FILE|DIR");
	GPtrArray *files = record_files_load(ctl->files);
	if (!files)
		return CTL_INVALID;
	printf("%u records are valid\n", files->len);
	g_ptr_array_free(files, TRUE);
	return CTL_OK;
}
