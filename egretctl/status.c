#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

static const char *string_field(const json_t *json, const char *field)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text ? text : "";
}

static long integer_field(const json_t *json, const char *field)
{
	return (long)json_integer_value(json_object_get(json, field));
}

static void print_table(const json_t *status)
{
	const json_t *target = json_object_get(status, "target");
	size_t i;
	json_t *item;

	printf("node %s in %s: %s%s, configuration revision %ld, %ld requests\n",
	       string_field(status, "address"), string_field(status, "zone"),
	       json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(status, "draining")) ? ", draining" : "",
	       integer_field(status, "config_revision"),
	       integer_field(status, "requests"));
	printf("target %s (%s): limit %ld of %ld slots, %ld running, %ld waiting, shed "
	       "level %ld%s\n",
	       string_field(target, "service"), string_field(target, "address"),
	       integer_field(target, "limit"), integer_field(target, "slots"),
	       integer_field(target, "inflight"), integer_field(target, "queued"),
	       integer_field(target, "shed_level"),
	       json_is_true(json_object_get(target, "cold")) ? ", cold" : "");
	json_array_foreach(json_object_get(status, "keeps"), i, item)
		printf("keeps partition %ld: epoch %ld, portion %ld/1000\n",
		       integer_field(item, "partition"), integer_field(item, "epoch"),
		       integer_field(item, "portion_milli"));
	json_array_foreach(json_object_get(status, "rollouts"), i, item) printf(
		"roll-out of %s to %s: %s%s, %ld of %ld ms, %ld responses of the new "
		"version, %ld of the old, counts of %ld nodes\n",
		string_field(item, "service"), string_field(item, "to"),
		string_field(item, "state"),
		json_is_true(json_object_get(item, "recorded")) ? " (recorded)" : "",
		integer_field(item, "elapsed_ms"), integer_field(item, "duration_ms"),
		integer_field(item, "responses_new"),
		integer_field(item, "responses_old"), integer_field(item, "nodes"));
	printf("\n%-22s %-12s %-8s %-16s %-9s %s\n", "MEMBER", "ZONE", "STATE", "SERVICE",
	       "TARGET", "SLOTS");
	json_array_foreach(json_object_get(status, "members"), i, item)
		printf("%-22s %-12s %-8s %-16s %-9s %ld\n", string_field(item, "address"),
		       string_field(item, "zone"), string_field(item, "state"),
		       string_field(item, "service"), string_field(item, "target"),
		       integer_field(item, "slots"));
}

int ctl_status(ctl_t *ctl)
{
	GError *error = NULL;

	if (ctl->argc > 0 || !ctl->admin)
		return ctl_usage("status --admin=IP:PORT");
	char *text = admin_request(ctl->admin, "GET", "/status", &error);
	if (!text) {
		int status = ctl_fail("read the status of the node", error);
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
