#include "common/error.h"
#include "egretctl/ctl.h"
#include "platform/store.h"

#include <string.h>

#define RECORD_PREFIX "record/"
#define CACHED_CONNECTIONS 2L
#define ADMIN_TIMEOUT_MS 5000L

struct platform {
	struct tevent_context *ev;
	curl_loop_t *curl;
	store_t *store;
	/* Result of the current operation. */
	bool done;
	uint64_t revision;
	GHashTable *rows;
	GError *error;
};

platform_t *platform_open(const char *url, GError **error)
{
	if (!url) {
		g_set_error(
			error, EGRET_ERROR, EGRET_ERROR_SETTING,
			"no platform URL: give --platform or set EGRETSCALE_PLATFORM");
		return NULL;
	}
	platform_t *platform = g_new0(platform_t, 1);
	platform->ev = tevent_context_init(NULL);
	platform->curl = curl_loop_create(platform->ev, platform->ev, CACHED_CONNECTIONS);
	platform->store =
		platform_store_create(platform->curl, url, RECORD_SOURCE_ROWS, NULL);
	return platform;
}

void platform_close(platform_t *platform)
{
	if (!platform)
		return;
	store_destroy(platform->store);
	curl_loop_destroy(platform->curl);
	talloc_free(platform->ev);
	g_free(platform);
}

static bool wait_for_operation(platform_t *platform, GError **error)
{
	while (!platform->done) {
		if (tevent_loop_once(platform->ev) != 0)
			break;
	}
	platform->done = false;
	if (!platform->error)
		return true;
	g_propagate_error(error, platform->error);
	platform->error = NULL;
	return false;
}

static void free_row(void *data)
{
	config_row_t *row = data;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static void handle_rows(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	platform_t *platform = ctx;

	platform->done = true;
	platform->revision = revision;
	if (error)
		platform->error = g_error_copy(error);
	for (size_t i = 0; i < count; i++) {
		config_row_t *row = g_new0(config_row_t, 1);
		row->key = g_strdup(rows[i].key);
		row->revision = rows[i].revision;
		row->value = g_strdup(rows[i].value);
		g_hash_table_replace(platform->rows, row->key, row);
	}
}

GHashTable *platform_read_records(platform_t *platform, GError **error)
{
	platform->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	store_changes(platform->store, RECORD_PREFIX, 0, handle_rows, platform);
	if (wait_for_operation(platform, error))
		return platform->rows;
	g_hash_table_destroy(platform->rows);
	return NULL;
}

static void handle_commit(void *ctx, uint64_t revision, const GError *error)
{
	platform_t *platform = ctx;

	platform->done = true;
	platform->revision = revision;
	if (error)
		platform->error = g_error_copy(error);
}

uint64_t platform_commit(platform_t *platform, const store_write_t *writes, size_t count,
			 GError **error)
{
	store_commit(platform->store, writes, count, handle_commit, platform);
	return wait_for_operation(platform, error) ? platform->revision : 0;
}

int ctl_with_records(ctl_t *ctl, ctl_records_fn fn, void *ctx)
{
	GError *error = NULL;
	platform_t *platform = platform_open(ctl->platform, &error);
	GHashTable *rows = platform ? platform_read_records(platform, &error) : NULL;
	int status;

	if (rows) {
		status = fn(ctl, platform, rows, ctx);
		g_hash_table_destroy(rows);
	} else {
		status = ctl_fail("read the records", error);
	}
	g_clear_error(&error);
	platform_close(platform);
	return status;
}

char *ctl_record_prefix(const ctl_t *ctl)
{
	record_kind_t kind;

	if (ctl->argc != 2 || !record_kind_parse(ctl->argv[0], &kind) ||
	    !record_name_valid(ctl->argv[1]))
		return NULL;
	return g_strdup_printf(RECORD_PREFIX "%s/%s@", ctl->argv[0], ctl->argv[1]);
}

typedef struct admin_response {
	bool done;
	CURLcode code;
	long status;
	GString *text;
} admin_response_t;

static size_t append_response_text(char *data, size_t size, size_t count, void *ctx)
{
	admin_response_t *response = ctx;

	g_string_append_len(response->text, data, (gssize)(size * count));
	return size * count;
}

static void handle_response(void *ctx, CURL *easy, CURLcode code)
{
	admin_response_t *response = ctx;

	response->done = true;
	response->code = code;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
}

char *admin_request(const char *address, const char *method, const char *path,
		    GError **error)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 1);
	CURL *easy = curl_loop_acquire(loop);
	admin_response_t response = {.text = g_string_new(NULL)};
	char *url = g_strdup_printf("http://%s%s", address, path);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response_text);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ADMIN_TIMEOUT_MS);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	curl_loop_start(loop, easy, handle_response, &response);
	while (!response.done && tevent_loop_once(ev) == 0)
		;
	curl_loop_destroy(loop);
	talloc_free(ev);
	if (response.code != CURLE_OK || response.status != 200) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_UNAVAILABLE,
			    "%s: %s, status %ld", url, curl_easy_strerror(response.code),
			    response.status);
		g_free(url);
		g_string_free(response.text, TRUE);
		return NULL;
	}
	g_free(url);
	return g_string_free(response.text, FALSE);
}
