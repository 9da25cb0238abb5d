/* Stand-in for the platform: table service and object store in memory. */
#include "common/address.h"
#include "common/clock.h"
#include "http/mhd_loop.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_TIMEOUT_SEC 300
#define CHANGES_LIMIT 1000

typedef struct row {
	char *key;
	json_int_t revision;
	json_t *value; /* json_null() for a tombstone */
	char *attempt;
} row_t;

/* Faults: down closes without an answer; lose closes after the write. */
typedef struct faults {
	bool down;
	int slow_ms;
	double lose; /* share of commits whose answer is lost */
} faults_t;

static struct {
	GHashTable *rows;
	GHashTable *objects;
	json_int_t revision;
	faults_t faults;
	json_int_t reads;
	json_int_t writes;
	mhd_loop_t *loop;
	struct tevent_context *ev;
	GRand *rand;
} platform;

typedef struct request {
	GByteArray *body;
	struct MHD_Connection *connection;
	bool delayed;
	bool ready;
} request_t;

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->key);
	g_free(row->attempt);
	json_decref(row->value);
	g_free(row);
}

static json_t *row_json(const row_t *row)
{
	return json_pack("{s:s, s:I, s:O, s:s}", "key", row->key, "revision",
			 row->revision, "value", row->value, "attempt", row->attempt);
}

static enum MHD_Result answer(struct MHD_Connection *connection, unsigned int status,
			      json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result =
		mhd_answer_text(connection, status, "application/json", text);

	free(text);
	json_decref(json);
	return result;
}

static const char *argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
}

static char *unescaped(struct MHD_Connection *connection, const char *name)
{
	const char *value = argument(connection, name);

	return value ? g_uri_unescape_string(value, NULL) : g_strdup("");
}

static enum MHD_Result get_row(struct MHD_Connection *connection)
{
	char *key = unescaped(connection, "key");
	const row_t *row = g_hash_table_lookup(platform.rows, key);

	platform.reads++;
	g_free(key);
	if (!row)
		return answer(connection, 404, json_object());
	return answer(connection, 200, row_json(row));
}

static int by_revision(const void *a, const void *b)
{
	json_int_t left = (*(row_t *const *)a)->revision;
	json_int_t right = (*(row_t *const *)b)->revision;

	return (left > right) - (left < right);
}

static enum MHD_Result get_changes(struct MHD_Connection *connection)
{
	char *prefix = unescaped(connection, "prefix");
	const char *after_text = argument(connection, "after");
	json_int_t after = after_text ? strtoll(after_text, NULL, 10) : 0;
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	platform.reads++;
	g_hash_table_iter_init(&iter, platform.rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;
		if (row->revision > after && g_str_has_prefix(row->key, prefix))
			g_ptr_array_add(found, row);
	}
	g_free(prefix);
	g_ptr_array_sort(found, by_revision);
	json_t *rows = json_array();
	json_int_t revision = after;
	for (guint i = 0; i < found->len; i++) {
		const row_t *row = found->pdata[i];
		/* A page ends between commits. */
		if (i >= CHANGES_LIMIT && row->revision != revision)
			break;
		json_array_append_new(rows, row_json(row));
		revision = row->revision;
	}
	g_ptr_array_free(found, TRUE);
	return answer(connection, 200,
		      json_pack("{s:I, s:o}", "revision", revision, "rows", rows));
}

static const row_t *conflict_of(const json_t *writes)
{
	size_t i;
	json_t *write;
	static row_t absent = {.revision = 0};

	json_array_foreach(writes, i, write)
	{
		const char *key = json_string_value(json_object_get(write, "key"));
		const row_t *row = g_hash_table_lookup(platform.rows, key);
		json_int_t expected =
			json_integer_value(json_object_get(write, "expected_revision"));
		if (row && row->revision != expected)
			return row;
		if (!row && expected != 0) {
			absent.key = (char *)key;
			return &absent;
		}
	}
	return NULL;
}

static void apply_writes(const json_t *writes, const char *attempt)
{
	size_t i;
	json_t *write;

	platform.revision++;
	json_array_foreach(writes, i, write)
	{
		row_t *row = g_new0(row_t, 1);
		row->key = g_strdup(json_string_value(json_object_get(write, "key")));
		row->revision = platform.revision;
		row->value = json_incref(json_object_get(write, "value"));
		row->attempt = g_strdup(attempt);
		g_hash_table_replace(platform.rows, row->key, row);
	}
}

static bool commit_valid(const json_t *json)
{
	const json_t *writes = json_object_get(json, "writes");
	size_t i;
	json_t *write;

	if (!json_is_string(json_object_get(json, "attempt")) || !json_is_array(writes))
		return false;
	json_array_foreach((json_t *)writes, i, write)
	{
		if (!json_is_string(json_object_get(write, "key")) ||
		    !json_object_get(write, "value"))
			return false;
	}
	return true;
}

static enum MHD_Result post_commit(struct MHD_Connection *connection,
				   const request_t *request)
{
	json_t *json =
		json_loadb((char *)request->body->data, request->body->len, 0, NULL);

	platform.writes++;
	if (!json || !commit_valid(json)) {
		json_decref(json);
		return answer(connection, 400, json_object());
	}
	const json_t *writes = json_object_get(json, "writes");
	const row_t *conflict = conflict_of(writes);
	if (conflict) {
		json_t *reply = json_pack("{s:s, s:I}", "key", conflict->key, "revision",
					  conflict->revision);
		json_decref(json);
		return answer(connection, 409, reply);
	}
	apply_writes(writes, json_string_value(json_object_get(json, "attempt")));
	json_decref(json);
	if (g_rand_double(platform.rand) < platform.faults.lose)
		return MHD_NO;
	return answer(connection, 200, json_pack("{s:I}", "revision", platform.revision));
}

static enum MHD_Result handle_object(struct MHD_Connection *connection, const char *name,
				     const char *method, const request_t *request)
{
	if (strcmp(method, "PUT") == 0) {
		platform.writes++;
		g_hash_table_replace(
			platform.objects, g_strdup(name),
			g_bytes_new(request->body->data, request->body->len));
		return answer(connection, 200, json_object());
	}
	platform.reads++;
	GBytes *bytes = g_hash_table_lookup(platform.objects, name);
	if (!bytes)
		return answer(connection, 404, json_object());
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result = MHD_queue_response(connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

/* PUT /fault {"down": bool, "slow_ms": n, "lose": share} */
static enum MHD_Result put_fault(struct MHD_Connection *connection,
				 const request_t *request)
{
	json_t *json =
		json_loadb((char *)request->body->data, request->body->len, 0, NULL);

	platform.faults.down = json_is_true(json_object_get(json, "down"));
	platform.faults.slow_ms =
		(int)json_integer_value(json_object_get(json, "slow_ms"));
	platform.faults.lose = json_number_value(json_object_get(json, "lose"));
	json_decref(json);
	return answer(connection, 200, json_object());
}

static enum MHD_Result serve(request_t *request, const char *url, const char *method)
{
	struct MHD_Connection *connection = request->connection;

	if (strcmp(url, "/stats") == 0)
		return answer(connection, 200,
			      json_pack("{s:I, s:I, s:I}", "reads", platform.reads,
					"writes", platform.writes, "revision",
					platform.revision));
	if (strcmp(url, "/fault") == 0)
		return put_fault(connection, request);
	if (platform.faults.down)
		return MHD_NO;
	if (strcmp(url, "/v1/row") == 0)
		return get_row(connection);
	if (strcmp(url, "/v1/changes") == 0)
		return get_changes(connection);
	if (strcmp(url, "/v1/commit") == 0 && strcmp(method, "POST") == 0)
		return post_commit(connection, request);
	if (g_str_has_prefix(url, "/v1/object/"))
		return handle_object(connection, url + strlen("/v1/object/"), method,
				     request);
	return answer(connection, 404, json_object());
}

static void handle_delay(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	request_t *request = private_data;

	request->ready = true;
	mhd_loop_resume(platform.loop, request->connection);
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *connection,
			      const char *url, const char *method, const char *version,
			      const char *data, size_t *data_len, void **state)
{
	request_t *request = *state;

	if (!request) {
		request = g_new0(request_t, 1);
		request->body = g_byte_array_new();
		request->connection = connection;
		*state = request;
		return MHD_YES;
	}
	if (*data_len > 0) {
		g_byte_array_append(request->body, (const guint8 *)data,
				    (guint)*data_len);
		*data_len = 0;
		return MHD_YES;
	}
	bool control = strcmp(url, "/fault") == 0 || strcmp(url, "/stats") == 0;
	int delay = control ? 0 : platform.faults.slow_ms;
	if (delay > 0 && !request->delayed) {
		request->delayed = true;
		MHD_suspend_connection(connection);
		tevent_add_timer(
			platform.ev, platform.ev,
			tevent_timeval_current_ofs((uint32_t)delay / 1000,
						   (uint32_t)delay % 1000 * 1000),
			handle_delay, request);
		return MHD_YES;
	}
	return serve(request, url, method);
}

static void completed(void *ctx, struct MHD_Connection *connection, void **state,
		      enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	if (!request)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request);
	*state = NULL;
}

int main(int argc, char **argv)
{
	mhd_loop_options_t options = {.idle_timeout_sec = IDLE_TIMEOUT_SEC};
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 2 || !address_parse(argv[1], &options.address, &error)) {
		fprintf(stderr, "usage: platform IP:PORT\n");
		return 2;
	}
	platform.rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						 (GDestroyNotify)g_bytes_unref);
	platform.rand = g_rand_new_with_seed(1);
	platform.ev = tevent_context_init(NULL);
	if (!address_check_free(&options.address, &error)) {
		fprintf(stderr, "platform: %s\n", error->message);
		return 1;
	}
	platform.loop = mhd_loop_create(platform.ev, platform.ev, &options, handle,
					completed, NULL, &error);
	if (!platform.loop) {
		fprintf(stderr, "platform: %s\n", error->message);
		return 1;
	}
	return tevent_loop_wait(platform.ev) != 0;
}
