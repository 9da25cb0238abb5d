#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

typedef struct loader {
	GPtrArray *records; /* of file_record_t */
	const char *source; /* source of the record being parsed */
	bool failed;
} loader_t;

static void file_record_free(void *data)
{
	file_record_t *loaded = data;

	json_decref(loaded->json);
	record_destroy(loaded->record);
	g_free(loaded->source);
	g_free(loaded);
}

static void report_invalid(loader_t *loader, const char *field, const char *allowed_text)
{
	loader->failed = true;
	fprintf(stderr, "%s: %s%smust be %s\n", loader->source, field, *field ? ": " : "",
		allowed_text);
}

static void handle_invalid_field(void *ctx, const char *field, const char *allowed_text)
{
	report_invalid(ctx, field, allowed_text);
}

static void load_record(loader_t *loader, const char *source, json_t *json)
{
	loader->source = source;
	record_t *record = record_parse(json, handle_invalid_field, loader);
	char *text = json_dumps(json, JSON_COMPACT);
	if (record && text && strlen(text) > RECORD_MAX_BYTES)
		report_invalid(loader, "", "at most 16384 bytes");
	free(text);
	if (!record)
		return;
	file_record_t *loaded = g_new0(file_record_t, 1);
	loaded->source = g_strdup(source);
	loaded->json = json_incref(json);
	loaded->record = record;
	g_ptr_array_add(loader->records, loaded);
}

static void load_file(loader_t *loader, const char *path)
{
	json_error_t parse_error;
	json_t *json = json_load_file(path, JSON_REJECT_DUPLICATES, &parse_error);
	size_t i;
	json_t *item;

	if (!json) {
		fprintf(stderr, "%s:%d:%d: %s\n", path, parse_error.line,
			parse_error.column, parse_error.text);
		loader->failed = true;
		return;
	}
	if (json_is_array(json)) {
		json_array_foreach(json, i, item)
		{
			char *source = g_strdup_printf("%s[%zu]", path, i);
			load_record(loader, source, item);
			g_free(source);
		}
	} else {
		load_record(loader, path, json);
	}
	json_decref(json);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void load_path(loader_t *loader, const char *path)
{
	GError *error = NULL;

	if (!g_file_test(path, G_FILE_TEST_IS_DIR)) {
		load_file(loader, path);
		return;
	}
	GDir *dir = g_dir_open(path, 0, &error);
	if (!dir) {
		fprintf(stderr, "%s: %s\n", path, error->message);
		g_clear_error(&error);
		loader->failed = true;
		return;
	}
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	while ((name = g_dir_read_name(dir)))
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	g_dir_close(dir);
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		const char *child = names->pdata[i];
		if (g_file_test(child, G_FILE_TEST_IS_DIR) ||
		    g_str_has_suffix(child, ".json"))
			load_path(loader, child);
	}
	g_ptr_array_free(names, TRUE);
}

static void reject_duplicates(loader_t *loader)
{
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < loader->records->len; i++) {
		const file_record_t *loaded = loader->records->pdata[i];
		char *key = record_row_key(loaded->record->kind, loaded->record->name,
					   loaded->record->schema_version);
		const char *first = g_hash_table_lookup(seen, key);
		if (first) {
			fprintf(stderr, "%s: name: duplicate of the record in %s\n",
				loaded->source, first);
			loader->failed = true;
		}
		g_hash_table_insert(seen, key, loaded->source);
	}
	g_hash_table_destroy(seen);
}

GPtrArray *record_files_load(const GPtrArray *paths)
{
	loader_t loader = {.records = g_ptr_array_new_with_free_func(file_record_free)};

	for (guint i = 0; i < paths->len; i++)
		load_path(&loader, paths->pdata[i]);
	reject_duplicates(&loader);
	if (!loader.failed)
		return loader.records;
	g_ptr_array_free(loader.records, TRUE);
	return NULL;
}
