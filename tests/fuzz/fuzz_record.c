/* Fuzzes the parsing of records from an operator or the platform, and lookups in them. */
#include "config/config.h"

#include <stddef.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *json = json_loadb((const char *)data, size, 0, NULL);

	if (json)
		record_destroy(record_parse(json, NULL, NULL));
	json_decref(json);
	char *text = g_strndup((const char *)data, size);
	config_log_t *log = config_log_create();
	config_log_merge(log, "record/route/r@1", 1, text);
	config_log_merge(log, text, 2, text);
	config_log_advance(log, 2);
	config_t *config = config_build(log);
	config_match_route(config, text, "GET", text);
	config_account_for_digest(config, text);
	config_unref(config);
	config_log_destroy(log);
	g_free(text);
	return 0;
}
