#include "egretctl/ctl.h"

#include <stdio.h>

int ctl_drain(ctl_t *ctl)
{
	GError *error = NULL;

	if (ctl->argc > 0 || !ctl->admin)
		return ctl_usage("drain --admin=IP:PORT");
	char *text = admin_request(ctl->admin, "POST", "/drain", &error);
	if (!text) {
		int status = ctl_fail("drain the node", error);
		g_clear_error(&error);
		return status;
	}
	printf("draining %s\n", ctl->admin);
	g_free(text);
	return CTL_OK;
}
