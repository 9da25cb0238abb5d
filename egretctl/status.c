#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

static const char *text_of(const json_t *json, const char *field)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text ? text : "";
}

static long number_of(const json_t *json, const char *field)
{
	return (long)json_integer_value(json_object_get(json, field));
}

static void print_table(const json_t *status)
{
	const json_t *target = json_object_get(status, "target");
	size_t i;
	json_t *item;

	printf("node %s in %s: %s%s, configuration revision %ld, %ld requests\n",
	       text_of(status, "address"), text_of(status, "zone"),
	       json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(status, "draining")) ? ", draining" : "",
	       number_of(status, "config_revision"), number_of(status, "requests"));
	printf("target %s (%s): limit %ld of %ld slots, %ld running, %ld waiting, shed "
	       "level %ld%s\n",
	       text_of(target, "service"), text_of(target, "address"),
	       number_of(target, "limit"), number_of(target, "slots"),
	       number_of(target, "inflight"), number_of(target, "queued"),
	       number_of(target, "shed_level"),
	       json_is_true(json_object_get(target, "cold")) ? ", cold" : "");
	json_array_foreach(json_object_get(status, "keeps"), i, item)
		printf("keeps partition %ld: epoch %ld, portion %ld/1000\n",
		       number_of(item, "partition"), number_of(item, "epoch"),
		       number_of(item, "portion_milli"));
	printf("\n%-22s %-12s %-8s %-16s %-9s %s\n", "MEMBER", "ZONE", "STATE", "SERVICE",
	       "TARGET", "SLOTS");
	json_array_foreach(json_object_get(status, "members"), i, item) printf(
		"%-22s %-12s %-8s %-16s %-9s %ld\n", text_of(item, "address"),
		text_of(item, "zone"), text_of(item, "state"), text_of(item, "service"),
		text_of(item, "target"), number_of(item, "slots"));
}

int ctl_status(ctl_t *ctl)
{
	GError *error = NULL;

	if (ctl->argc > 0 || !ctl->admin)
		return ctl_usage("status --admin=IP:PORT");
	char *text = admin_request(ctl->admin, "GET", "/status", &error);
	if (!text) {
		int status = ctl_fail("ask the node", error);
		g_clear_error(&error);
		return status;
	}
	json_t *json = json_loads(text, 0, NULL);
	if (ctl->json)
		printf("%s\n", text);
	else
		print_table(json);
	json_decref(json);
	g_free(text);
	return CTL_OK;
}
