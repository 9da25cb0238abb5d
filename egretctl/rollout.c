#include "common/error.h"
#include "egretctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define USAGE "rollout SERVICE --to=VERSION --within=SECONDS [--dry-run]"

/* Returns the order as a record, or NULL after printing what is wrong with it. */
static json_t *build_record(const ctl_t *ctl)
{
	char *end = NULL;
	double seconds = ctl->within ? g_ascii_strtod(ctl->within, &end) : 0;

	/* The upper limit keeps the conversion below defined; the record has its own. */
	if (!end || end == ctl->within || *end || !(seconds > 0 && seconds < 1e9))
		return NULL;
	return json_pack("{s:s, s:s, s:i, s:s, s:s, s:I}", "kind",
			 record_kind_name(RECORD_ROLLOUT), "name", ctl->argv[0],
			 "schema_version", RECORD_SCHEMA_VERSION, "service", ctl->argv[0],
			 "to_version", ctl->to, "duration_ms",
			 (json_int_t)(seconds * 1000));
}

static void print_error(void *ctx, const char *field, const char *allowed_text)
{
	(void)ctx;
	fprintf(stderr, "egretctl: rollout: %s: must be %s\n", field, allowed_text);
}

/* Writes the order, also if it is the same as the one before: it then starts over. */
static int write_order(ctl_t *ctl, platform_t *platform, GHashTable *rows, void *ctx)
{
	char *key = record_row_key(RECORD_ROLLOUT, ctl->argv[0], RECORD_SCHEMA_VERSION);
	char *value = json_dumps(ctx, JSON_COMPACT | JSON_SORT_KEYS);
	const config_row_t *row = g_hash_table_lookup(rows, key);
	store_write_t write = {
		.key = key,
		.expected_revision = row ? row->revision : STORE_REVISION_NONE,
		.value = value,
	};
	GError *error = NULL;
	int status = CTL_OK;

	printf("%s  %s\n", row && row->value ? "update" : "create", key);
	if (!ctl->dry_run && platform_commit(platform, &write, 1, &error) == 0) {
		status = ctl_fail("order the roll-out", error);
		g_clear_error(&error);
	}
	free(value);
	g_free(key);
	return status;
}

int ctl_rollout(ctl_t *ctl)
{
	json_t *json = ctl->argc == 1 && ctl->to ? build_record(ctl) : NULL;

	if (!json)
		return ctl_usage(USAGE);
	record_t *record = record_parse(json, print_error, NULL);
	int status = record ? ctl_with_records(ctl, write_order, json) : (int)CTL_INVALID;
	record_destroy(record);
	json_decref(json);
	return status;
}
