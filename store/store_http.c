#include "store/store_http.h"

#include "common/error.h"

#include <jansson.h>
#include <string.h>

#define ANSWER_MAX_BYTES (16u << 20)
#define CONNECT_TIMEOUT_MS 500L

typedef struct store_http {
	curl_loop_t *loop;
	char *url;
	GHashTable *running; /* set of operation_t */
} store_http_t;

typedef struct operation {
	store_http_t *store;
	CURL *easy;
	char *attempted;
	char *request;
	struct curl_slist *headers;
	GByteArray *answer;
	store_rows_fn rows_done;
	store_commit_fn commit_done;
	store_object_fn object_done;
	void *ctx;
} operation_t;

static size_t take_answer(char *data, size_t size, size_t count, void *ctx)
{
	operation_t *op = ctx;

	if (op->answer->len + size * count > ANSWER_MAX_BYTES)
		return 0;
	g_byte_array_append(op->answer, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static void operation_free(operation_t *op)
{
	g_hash_table_remove(op->store->running, op);
	curl_slist_free_all(op->headers);
	g_byte_array_free(op->answer, TRUE);
	g_free(op->attempted);
	g_free(op->request);
	g_free(op);
}

static GError *transport_error(const operation_t *op, CURLcode code)
{
	int kind = EGRET_ERROR_UNKNOWN_RESULT;

	if (code == CURLE_COULDNT_CONNECT || !curl_loop_request_sent(op->easy))
		kind = EGRET_ERROR_UNAVAILABLE;
	else if (code == CURLE_OPERATION_TIMEDOUT)
		kind = EGRET_ERROR_SLOW;
	return g_error_new(EGRET_ERROR, kind, "%s: %s", op->attempted,
			   curl_easy_strerror(code));
}

static GError *status_error(const operation_t *op, long status, const json_t *json)
{
	if (status == 404)
		return g_error_new(EGRET_ERROR, EGRET_ERROR_NOT_FOUND, "%s: not found",
				   op->attempted);
	if (status == 409)
		return g_error_new(EGRET_ERROR, EGRET_ERROR_CONFLICT,
				   "%s: lost to revision %" JSON_INTEGER_FORMAT " of %s",
				   op->attempted,
				   json_integer_value(json_object_get(json, "revision")),
				   json_string_value(json_object_get(json, "key")));
	if (status == 503 || status == 429)
		return g_error_new(EGRET_ERROR, EGRET_ERROR_UNAVAILABLE, "%s: status %ld",
				   op->attempted, status);
	return g_error_new(EGRET_ERROR, EGRET_ERROR_UNKNOWN_RESULT, "%s: status %ld",
			   op->attempted, status);
}

static bool decode_row(const json_t *json, store_row_t *row, GPtrArray *texts)
{
	const json_t *value = json_object_get(json, "value");

	row->key = json_string_value(json_object_get(json, "key"));
	row->revision = (uint64_t)json_integer_value(json_object_get(json, "revision"));
	row->attempt = json_string_value(json_object_get(json, "attempt"));
	row->value = NULL;
	if (json_is_object(value)) {
		char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
		g_ptr_array_add(texts, text);
		row->value = text;
	}
	return row->key && row->revision > 0;
}

static void deliver_rows(operation_t *op, const json_t *json)
{
	const json_t *list = json_object_get(json, "rows");
	size_t count = list ? json_array_size(list) : 1;
	GPtrArray *texts = g_ptr_array_new_with_free_func(free);
	store_row_t *rows = g_new0(store_row_t, count ? count : 1);
	bool ok = true;

	for (size_t i = 0; i < count && ok; i++)
		ok = decode_row(list ? json_array_get(list, i) : json, &rows[i], texts);
	uint64_t revision =
		(uint64_t)json_integer_value(json_object_get(json, "revision"));
	if (ok) {
		op->rows_done(op->ctx, revision, rows, count, NULL);
	} else {
		GError *error = g_error_new(EGRET_ERROR, EGRET_ERROR_JSON,
					    "%s: malformed row", op->attempted);
		op->rows_done(op->ctx, 0, NULL, 0, error);
		g_error_free(error);
	}
	g_ptr_array_free(texts, TRUE);
	g_free(rows);
}

static void deliver(operation_t *op, const json_t *json, const GError *error)
{
	if (op->object_done) {
		op->object_done(op->ctx, op->answer->data, error ? 0 : op->answer->len,
				error);
	} else if (op->commit_done) {
		uint64_t revision =
			(uint64_t)json_integer_value(json_object_get(json, "revision"));
		op->commit_done(op->ctx, error ? 0 : revision, error);
	} else if (error) {
		op->rows_done(op->ctx, 0, NULL, 0, error);
	} else {
		deliver_rows(op, json);
	}
}

static void handle_done(void *ctx, CURL *easy, CURLcode code)
{
	operation_t *op = ctx;
	long status = 0;
	GError *error = NULL;
	json_t *json = NULL;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK)
		error = transport_error(op, code);
	if (!error && !(op->object_done && status == 200))
		json = json_loadb((const char *)op->answer->data, op->answer->len, 0,
				  NULL);
	if (!error && status != 200)
		error = status_error(op, status, json);
	if (!error && !op->object_done && !json)
		error = g_error_new(EGRET_ERROR,
				    op->commit_done ? EGRET_ERROR_UNKNOWN_RESULT
						    : EGRET_ERROR_JSON,
				    "%s: the answer is not JSON", op->attempted);
	deliver(op, json, error);
	json_decref(json);
	g_clear_error(&error);
	operation_free(op);
}

static operation_t *operation_create(store_http_t *store, const char *attempted)
{
	operation_t *op = g_new0(operation_t, 1);

	op->store = store;
	op->attempted = g_strdup(attempted);
	op->answer = g_byte_array_new();
	op->easy = curl_loop_take(store->loop);
	curl_easy_setopt(op->easy, CURLOPT_WRITEFUNCTION, take_answer);
	curl_easy_setopt(op->easy, CURLOPT_WRITEDATA, op);
	curl_easy_setopt(op->easy, CURLOPT_TIMEOUT_MS, STORE_TIMEOUT_MS);
	curl_easy_setopt(op->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	g_hash_table_add(store->running, op);
	return op;
}

/* Takes ownership of path. */
static void operation_start(operation_t *op, char *path)
{
	char *url = g_strconcat(op->store->url, path, NULL);

	curl_easy_setopt(op->easy, CURLOPT_URL, url);
	g_free(url);
	g_free(path);
	curl_loop_start(op->store->loop, op->easy, handle_done, op);
}

static char *escape(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}

static void http_get(void *impl, const char *key, store_rows_fn done, void *ctx)
{
	operation_t *op = operation_create(impl, "get a row");
	char *escaped = escape(key);

	op->rows_done = done;
	op->ctx = ctx;
	operation_start(op, g_strdup_printf("/v1/row?key=%s", escaped));
	g_free(escaped);
}

static void http_changes(void *impl, const char *prefix, uint64_t after, uint32_t limit,
			 store_rows_fn done, void *ctx)
{
	operation_t *op = operation_create(impl, "list changes");
	char *escaped = escape(prefix);

	op->rows_done = done;
	op->ctx = ctx;
	operation_start(op,
			g_strdup_printf("/v1/changes?prefix=%s&after=%" G_GUINT64_FORMAT
					"&limit=%u",
					escaped, after, limit));
	g_free(escaped);
}

static json_t *encode_write(const store_write_t *write)
{
	json_t *value = write->value ? json_loads(write->value, 0, NULL) : json_null();

	return json_pack("{s:s, s:I, s:o}", "key", write->key, "expected_revision",
			 (json_int_t)write->expected_revision, "value",
			 value ? value : json_null());
}

static void http_commit(void *impl, const char *attempt, const store_write_t *writes,
			size_t count, store_commit_fn done, void *ctx)
{
	operation_t *op = operation_create(impl, "commit");
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, encode_write(&writes[i]));
	json_t *json = json_pack("{s:s, s:o}", "attempt", attempt, "writes", list);
	op->request = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	op->commit_done = done;
	op->ctx = ctx;
	op->headers = curl_slist_append(NULL, "Content-Type: application/json");
	op->headers = curl_slist_append(op->headers, "Expect:");
	curl_easy_setopt(op->easy, CURLOPT_HTTPHEADER, op->headers);
	curl_easy_setopt(op->easy, CURLOPT_POSTFIELDS, op->request);
	operation_start(op, g_strdup("/v1/commit"));
}

static void http_object_put(void *impl, const char *name, const uint8_t *data, size_t len,
			    store_object_fn done, void *ctx)
{
	operation_t *op = operation_create(impl, "put an object");
	char *escaped = escape(name);

	op->object_done = done;
	op->ctx = ctx;
	op->request = g_memdup2(data, len);
	op->headers = curl_slist_append(NULL, "Expect:");
	curl_easy_setopt(op->easy, CURLOPT_HTTPHEADER, op->headers);
	curl_easy_setopt(op->easy, CURLOPT_POSTFIELDS, op->request);
	curl_easy_setopt(op->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
	curl_easy_setopt(op->easy, CURLOPT_CUSTOMREQUEST, "PUT");
	operation_start(op, g_strdup_printf("/v1/object/%s", escaped));
	g_free(escaped);
}

static void http_object_get(void *impl, const char *name, store_object_fn done, void *ctx)
{
	operation_t *op = operation_create(impl, "get an object");
	char *escaped = escape(name);

	op->object_done = done;
	op->ctx = ctx;
	operation_start(op, g_strdup_printf("/v1/object/%s", escaped));
	g_free(escaped);
}

static void http_destroy(void *impl)
{
	store_http_t *store = impl;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, store->running);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		operation_t *op = key;

		curl_loop_stop(store->loop, op->easy);
		g_hash_table_iter_steal(&iter);
		operation_free(op);
	}
	g_hash_table_destroy(store->running);
	g_free(store->url);
	g_free(store);
}

static const store_ops_t http_ops = {
	.get = http_get,
	.changes = http_changes,
	.commit = http_commit,
	.object_put = http_object_put,
	.object_get = http_object_get,
	.destroy = http_destroy,
};

store_t *store_http_create(curl_loop_t *loop, const char *url)
{
	store_http_t *impl = g_new0(store_http_t, 1);

	impl->loop = loop;
	impl->url = g_strdup(url);
	impl->running = g_hash_table_new(NULL, NULL);
	return store_create(&http_ops, impl);
}
