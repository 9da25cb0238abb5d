/* Fuzzes the decoders of the platform's formats: settings, rows, the operator's
 * configuration, target reports and HTTP headers. */
#include "platform/config.h"
#include "platform/dialect.h"
#include "platform/instance.h"
#include "platform/rows.h"
#include "platform/settings.h"
#include "platform/values.h"

#include <stddef.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char *lookup_header(void *ctx, const char *name)
{
	return *name == 'X' ? NULL : ctx;
}

static void decode_rows(const json_t *json, const char *text)
{
	static const char *const zones[] = {"z", NULL};
	row_list_t *rows = row_list_create();
	row_list_t *records = row_list_create();
	GError *error = NULL;

	row_list_decode(rows, json, "op", 0, false, NULL);
	row_list_decode(rows, json, "op", 0, true, NULL);
	row_list_add(rows, "config", 1, text, NULL);
	row_list_add(rows, text, 2, text, NULL);
	platform_config_decode(rows, true, zones, 3, records, &error);
	g_clear_error(&error);
	row_list_destroy(rows);
	row_list_destroy(records);
}

static void decode_headers(char *text)
{
	request_headers_t headers;
	usec_t duration;

	platform_dialect()->read_request(lookup_header, text, &headers);
	duration_parse(text, &duration);
}

static void decode_settings(const json_t *json)
{
	settings_t settings = {0};
	GError *error = NULL;

	platform_settings_decode(json, &settings, &error);
	g_clear_error(&error);
	settings_clear(&settings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json = json_loadb((const char *)data, size, 0, NULL);
	char *text = g_strndup((const char *)data, size);
	target_report_t report;
	GError *error = NULL;

	decode_rows(json, text);
	decode_headers(text);
	decode_settings(json);
	platform_read_report("PUT", "/instances/i-1", data, size, &report, &error);
	g_clear_error(&error);
	platform_read_report("DELETE", text, data, size, &report, &error);
	g_clear_error(&error);
	json_decref(json);
	g_free(text);
	return 0;
}
