#include "egretctl/ctl.h"

#include <stdio.h>
#include <string.h>

typedef struct loading {
	GPtrArray *records; /* of record_file_t */
	const char *source;
	bool failed;
} loading_t;

static void record_file_free(void *data)
{
	record_file_t *file = data;

	json_decref(file->json);
	record_destroy(file->record);
	g_free(file->source);
	g_free(file);
}

static void report(loading_t *loading, const char *field, const char *allowed)
{
	loading->failed = true;
	fprintf(stderr, "%s: %s%smust be: %s\n", loading->source, field,
		*field ? ": " : "", allowed);
}

static void handle_fault(void *ctx, const char *field, const char *allowed)
{
	report(ctx, field, allowed);
}

static void load_record(loading_t *loading, const char *source, json_t *json)
{
	loading->source = source;
	record_t *record = record_parse(json, handle_fault, loading);
	char *text = json_dumps(json, JSON_COMPACT);
	if (record && text && strlen(text) > RECORD_MAX_BYTES)
		report(loading, "", "at most 16384 bytes");
	free(text);
	if (!record)
		return;
	record_file_t *file = g_new0(record_file_t, 1);
	file->source = g_strdup(source);
	file->json = json_incref(json);
	file->record = record;
	g_ptr_array_add(loading->records, file);
}

static void load_file(loading_t *loading, const char *path)
{
	json_error_t fault;
	json_t *json = json_load_file(path, JSON_REJECT_DUPLICATES, &fault);
	size_t i;
	json_t *item;

	if (!json) {
		fprintf(stderr, "%s:%d:%d: %s\n", path, fault.line, fault.column,
			fault.text);
		loading->failed = true;
		return;
	}
	if (json_is_array(json)) {
		json_array_foreach(json, i, item)
		{
			char *source = g_strdup_printf("%s[%zu]", path, i);
			load_record(loading, source, item);
			g_free(source);
		}
	} else {
		load_record(loading, path, json);
	}
	json_decref(json);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void load_path(loading_t *loading, const char *path)
{
	GError *error = NULL;

	if (!g_file_test(path, G_FILE_TEST_IS_DIR)) {
		load_file(loading, path);
		return;
	}
	GDir *dir = g_dir_open(path, 0, &error);
	if (!dir) {
		fprintf(stderr, "%s: %s\n", path, error->message);
		g_clear_error(&error);
		loading->failed = true;
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
			load_path(loading, child);
	}
	g_ptr_array_free(names, TRUE);
}

static void refuse_duplicates(loading_t *loading)
{
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < loading->records->len; i++) {
		const record_file_t *file = loading->records->pdata[i];
		char *key = record_row_key(file->record->kind, file->record->name,
					   file->record->schema_version);
		const char *first = g_hash_table_lookup(seen, key);
		if (first) {
			fprintf(stderr, "%s: name: the same record stands in %s\n",
				file->source, first);
			loading->failed = true;
		}
		g_hash_table_insert(seen, key, file->source);
	}
	g_hash_table_destroy(seen);
}

GPtrArray *record_files_load(const GPtrArray *paths)
{
	loading_t loading = {.records = g_ptr_array_new_with_free_func(record_file_free)};

	for (guint i = 0; i < paths->len; i++)
		load_path(&loading, paths->pdata[i]);
	refuse_duplicates(&loading);
	if (!loading.failed)
		return loading.records;
	g_ptr_array_free(loading.records, TRUE);
	return NULL;
}
