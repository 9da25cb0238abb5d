/* Stand-in for the platform's store: tables of versioned rows, and objects, in memory.
 * PUT /fault selects faults to inject; PUT /drill takes a copy and restores it. */
#include "common/address.h"
#include "common/clock.h"
#include "http/mhd_loop.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_TIMEOUT_SEC 300
#define PAGE_ROWS_MAX 500
#define WAIT_MAX_MS 30000		    /* longest wait of a feed for changes */
#define FEED_POLL_USEC (10 * USEC_PER_MSEC) /* a waiting feed reads this often */

typedef struct row {
	char *id; /* table, part and key, joined by newlines */
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL in the tombstone of a removed row */
	json_int_t ver;
} row_t;

/* Faults to inject into requests; /fault and /stats work at all times. */
typedef struct faults {
	bool down;		  /* closes each connection without a response */
	bool busy;		  /* responds with 503 */
	bool read_only;		  /* responds to writes with 503 */
	bool silent;		  /* never responds, also not to waiting feeds */
	json_int_t calls_per_s;	  /* 429 above this rate; 0 for no limit */
	int slow_ms;		  /* delay of each response */
	double lost_share;	  /* share of commits applied without a response */
	json_int_t compacted_ver; /* feeds that start before this version get 410 */
	int late_feed_ms; /* the response to a feed is sent this long after it was made */
} faults_t;

static struct {
	GHashTable *rows;    /* id -> row_t, tombstones included */
	GHashTable *objects; /* name -> GBytes */
	json_int_t ver;	     /* of the last commit */
	json_int_t era;	     /* sent as Store-Era, unless 0; rises with each restore */
	GHashTable *copy;    /* rows as of the last copy, or NULL */
	json_int_t copy_ver;
	faults_t faults;
	json_int_t reads;
	json_int_t writes;
	usec_t window_start; /* start of the second for which window_calls counts */
	json_int_t window_calls;
	json_int_t rate_limited; /* 429 responses */
	mhd_loop_t *loop;
	struct tevent_context *ev;
	GRand *rand;
	struct request *current; /* being dispatched; NULL for control requests */
} platform;

typedef struct request {
	GByteArray *body;
	struct MHD_Connection *connection;
	bool delayed;	   /* slow_ms has been applied */
	usec_t wait_until; /* end of a feed's wait; 0 before it starts */
	char *late_text;   /* response to be sent, of late_era, or NULL */
	unsigned int late_status;
	json_int_t late_era;
} request_t;

static void row_destroy(void *data)
{
	row_t *row = data;

	g_free(row->id);
	g_free(row->table);
	g_free(row->part);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static json_t *row_json(const row_t *row)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
				 row->part, "key", row->key, "ver", row->ver);

	if (row->value)
		json_object_set_new(json, "value", json_string(row->value));
	else
		json_object_set_new(json, "removed", json_true());
	return json;
}

static void add_era(struct MHD_Response *response, json_int_t era)
{
	char *value = g_strdup_printf("%" JSON_INTEGER_FORMAT, era);

	if (era > 0)
		MHD_add_response_header(response, "Store-Era", value);
	g_free(value);
}

static enum MHD_Result send_text(struct MHD_Connection *connection, unsigned int status,
				 json_int_t era, const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);

	MHD_add_response_header(response, "Content-Type", "application/json");
	add_era(response, era);
	enum MHD_Result result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result suspend_request(request_t *request, usec_t span);

/* Responds with `json` and drops the reference to it. */
static enum MHD_Result respond(struct MHD_Connection *connection, unsigned int status,
			       json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	request_t *request = platform.current;
	enum MHD_Result result;

	json_decref(json);
	if (request && request->wait_until && platform.faults.late_feed_ms > 0) {
		request->late_text = text;
		request->late_status = status;
		request->late_era = platform.era;
		return suspend_request(request,
				       platform.faults.late_feed_ms * USEC_PER_MSEC);
	}
	result = send_text(connection, status, platform.era, text);
	free(text);
	return result;
}

/* Responds with a page of rows; takes the reference to `rows`. */
static enum MHD_Result respond_rows(struct MHD_Connection *connection, json_t *rows,
				    bool more)
{
	char now[32];

	g_snprintf(now, sizeof(now), "%" G_GINT64_FORMAT "ms",
		   clock_boot_usec() / USEC_PER_MSEC);
	return respond(connection, 200,
		       json_pack("{s:o, s:b, s:I, s:s}", "rows", rows, "has_more", more,
				 "ver", platform.ver, "now", now));
}

/* Returns the unescaped URL argument, or an empty string; the caller frees it. */
static char *text_argument(struct MHD_Connection *connection, const char *name)
{
	const char *value =
		MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

	return value ? g_uri_unescape_string(value, NULL) : g_strdup("");
}

static json_int_t number_argument(struct MHD_Connection *connection, const char *name)
{
	char *text = text_argument(connection, name);
	json_int_t number = strtoll(text, NULL, 10);

	g_free(text);
	return number;
}

static int compare_key(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static int compare_ver(const void *a, const void *b)
{
	json_int_t left = (*(row_t *const *)a)->ver;
	json_int_t right = (*(row_t *const *)b)->ver;

	return (left > right) - (left < right);
}

/* Returns a table's rows with versions above `after`; tombstones only if `removed`. */
static GPtrArray *find_rows(const char *table, json_int_t after, bool removed)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, platform.rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;
		if (strcmp(row->table, table) == 0 && row->ver > after &&
		    (row->value || removed))
			g_ptr_array_add(found, row);
	}
	return found;
}

static enum MHD_Result get_rows(struct MHD_Connection *connection)
{
	char *table = text_argument(connection, "table");
	char *part = text_argument(connection, "part");
	char *from = text_argument(connection, "from");
	char *to = text_argument(connection, "to");
	json_int_t limit = number_argument(connection, "limit");
	GPtrArray *found = find_rows(table, 0, false);
	json_t *rows = json_array();
	bool more = false;

	platform.reads++;
	limit = limit > 0 ? MIN(limit, PAGE_ROWS_MAX) : PAGE_ROWS_MAX;
	g_ptr_array_sort(found, compare_key);
	for (guint i = 0; i < found->len && !more; i++) {
		const row_t *row = found->pdata[i];
		if (strcmp(row->part, part) != 0 || strcmp(row->key, from) < 0 ||
		    (*to && strcmp(row->key, to) >= 0))
			continue;
		more = (json_int_t)json_array_size(rows) >= limit;
		if (!more)
			json_array_append_new(rows, row_json(row));
	}
	g_ptr_array_free(found, TRUE);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(to);
	return respond_rows(connection, rows, more);
}

static enum MHD_Result get_parts(struct MHD_Connection *connection)
{
	char *table = text_argument(connection, "table");
	GPtrArray *found = find_rows(table, 0, false);
	GHashTable *parts = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *list = json_array();

	platform.reads++;
	for (guint i = 0; i < found->len; i++) {
		if (g_hash_table_add(parts, ((row_t *)found->pdata[i])->part))
			json_array_append_new(
				list, json_string(((row_t *)found->pdata[i])->part));
	}
	g_hash_table_destroy(parts);
	g_ptr_array_free(found, TRUE);
	g_free(table);
	return respond(connection, 200,
		       json_pack("{s:o, s:b}", "parts", list, "has_more", 0));
}

static void handle_resume(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval when, void *private_data)
{
	request_t *request = private_data;

	mhd_loop_resume(platform.loop, request->connection);
}

static enum MHD_Result suspend_request(request_t *request, usec_t span)
{
	MHD_suspend_connection(request->connection);
	tevent_add_timer(platform.ev, platform.ev,
			 tevent_timeval_current_ofs((uint32_t)(span / USEC_PER_SEC),
						    (uint32_t)(span % USEC_PER_SEC)),
			 handle_resume, request);
	return MHD_YES;
}

static enum MHD_Result get_feed(request_t *request)
{
	struct MHD_Connection *connection = request->connection;
	char *table = text_argument(connection, "table");
	json_int_t after = number_argument(connection, "after");
	json_int_t wait_ms = MIN(number_argument(connection, "wait_ms"), WAIT_MAX_MS);
	usec_t now = clock_boot_usec();
	GPtrArray *found = find_rows(table, after, true);
	bool empty = found->len == 0;
	json_t *rows = json_array();

	g_ptr_array_sort(found, compare_ver);
	for (guint i = 0; i < found->len; i++)
		json_array_append_new(rows, row_json(found->pdata[i]));
	g_ptr_array_free(found, TRUE);
	g_free(table);
	if (!request->wait_until) {
		platform.reads++;
		request->wait_until = now + wait_ms * USEC_PER_MSEC;
	}
	bool not_in_copy = platform.era > 0 && after > platform.ver;
	if (after < platform.faults.compacted_ver || not_in_copy) {
		json_decref(rows);
		return respond(connection, 410, json_object());
	}
	if (!empty || now >= request->wait_until)
		return respond_rows(connection, rows, false);
	json_decref(rows);
	return suspend_request(request, FEED_POLL_USEC);
}

static char *row_id(const json_t *json)
{
	const char *table = json_string_value(json_object_get(json, "table"));
	const char *part = json_string_value(json_object_get(json, "part"));
	const char *key = json_string_value(json_object_get(json, "key"));

	return table && part && key ? g_strjoin("\n", table, part, key, NULL) : NULL;
}

static bool ids_valid(const json_t *list)
{
	size_t i;
	json_t *entry;

	json_array_foreach(list, i, entry)
	{
		char *id = row_id(entry);
		if (!id)
			return false;
		g_free(id);
	}
	return true;
}

/* Returns rows whose version is not the expected one (0: no row), or NULL if none. */
static json_t *find_conflicts(const json_t *expected)
{
	json_t *rows = json_array();
	size_t i;
	json_t *entry;

	json_array_foreach(expected, i, entry)
	{
		char *id = row_id(entry);
		const row_t *row = g_hash_table_lookup(platform.rows, id);
		json_int_t ver = row && row->value ? row->ver : 0;

		if (ver != json_integer_value(json_object_get(entry, "ver")))
			json_array_append_new(rows, row ? row_json(row) : json_object());
		g_free(id);
	}
	if (json_array_size(rows) > 0)
		return rows;
	json_decref(rows);
	return NULL;
}

static void write_rows(const json_t *list, bool removed)
{
	size_t i;
	json_t *entry;

	json_array_foreach(list, i, entry)
	{
		row_t *row = g_new0(row_t, 1);
		row->id = row_id(entry);
		row->table = g_strdup(json_string_value(json_object_get(entry, "table")));
		row->part = g_strdup(json_string_value(json_object_get(entry, "part")));
		row->key = g_strdup(json_string_value(json_object_get(entry, "key")));
		row->ver = platform.ver;
		if (!removed)
			row->value = g_strdup(
				json_string_value(json_object_get(entry, "value")));
		g_hash_table_replace(platform.rows, row->id, row);
	}
}

static enum MHD_Result post_tx(struct MHD_Connection *connection,
			       const request_t *request)
{
	json_t *json =
		json_loadb((char *)request->body->data, request->body->len, 0, NULL);
	const json_t *expected = json_object_get(json, "expected_rev");
	const json_t *writes = json_object_get(json, "writes");
	const json_t *removed = json_object_get(json, "remove");

	platform.writes++;
	if (!ids_valid(expected) || !ids_valid(writes) || !ids_valid(removed)) {
		json_decref(json);
		return respond(connection, 400, json_object());
	}
	json_t *conflicts = find_conflicts(expected);
	if (conflicts) {
		json_decref(json);
		return respond(connection, 412, json_pack("{s:o}", "rows", conflicts));
	}
	platform.ver++;
	write_rows(writes, false);
	write_rows(removed, true);
	json_decref(json);
	if (g_rand_double(platform.rand) < platform.faults.lost_share)
		return MHD_NO;
	return respond(connection, 200, json_pack("{s:I}", "ver", platform.ver));
}

static enum MHD_Result handle_object(struct MHD_Connection *connection, const char *name,
				     const char *method, const request_t *request)
{
	if (strcmp(method, "PUT") == 0) {
		const char *condition = MHD_lookup_connection_value(
			connection, MHD_HEADER_KIND, "If-None-Match");

		platform.writes++;
		if (condition && g_hash_table_contains(platform.objects, name))
			return respond(connection, 412, json_object());
		g_hash_table_replace(
			platform.objects, g_strdup(name),
			g_bytes_new(request->body->data, request->body->len));
		return respond(connection, 200, json_object());
	}
	platform.reads++;
	GBytes *bytes = g_hash_table_lookup(platform.objects, name);
	if (!bytes)
		return respond(connection, 404, json_object());
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
	add_era(response, platform.era);
	enum MHD_Result result = MHD_queue_response(connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

/* PUT /fault {"down": bool, "busy": bool, "silent": bool, "read_only": bool,
 * "calls_per_s": n, "slow_ms": n, "late_feed_ms": n, "lose": share, "forget": bool}
 * replaces all faults; "forget" compacts the history, permanently. */
static enum MHD_Result put_fault(struct MHD_Connection *connection,
				 const request_t *request)
{
	json_t *json =
		json_loadb((char *)request->body->data, request->body->len, 0, NULL);

	platform.faults.down = json_is_true(json_object_get(json, "down"));
	platform.faults.busy = json_is_true(json_object_get(json, "busy"));
	platform.faults.read_only = json_is_true(json_object_get(json, "read_only"));
	platform.faults.silent = json_is_true(json_object_get(json, "silent"));
	platform.faults.calls_per_s =
		json_integer_value(json_object_get(json, "calls_per_s"));
	platform.faults.slow_ms =
		(int)json_integer_value(json_object_get(json, "slow_ms"));
	platform.faults.late_feed_ms =
		(int)json_integer_value(json_object_get(json, "late_feed_ms"));
	platform.faults.lost_share = json_number_value(json_object_get(json, "lose"));
	if (json_is_true(json_object_get(json, "forget")))
		platform.faults.compacted_ver = platform.ver;
	json_decref(json);
	return respond(connection, 200, json_object());
}

static GHashTable *copy_rows(GHashTable *rows)
{
	GHashTable *copy =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_destroy);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const row_t *from = value;
		row_t *row = g_new0(row_t, 1);
		*row = (row_t){g_strdup(from->id),    g_strdup(from->table),
			       g_strdup(from->part),  g_strdup(from->key),
			       g_strdup(from->value), from->ver};
		g_hash_table_replace(copy, row->id, row);
	}
	return copy;
}

/* Begins the next era with the rows and the version of the copy. */
static void restore_copy(void)
{
	g_hash_table_destroy(platform.rows);
	platform.rows = copy_rows(platform.copy);
	platform.ver = platform.copy_ver;
	platform.era++;
}

/* PUT /drill {"begin": true} begins era 1, {"copy": true} takes a copy of the rows and
 * {"restore": true} restores it; objects stay as they are. */
static enum MHD_Result put_drill(struct MHD_Connection *connection,
				 const request_t *request)
{
	json_t *json =
		json_loadb((char *)request->body->data, request->body->len, 0, NULL);

	if (json_is_true(json_object_get(json, "begin")))
		platform.era = MAX(platform.era, 1);
	if (json_is_true(json_object_get(json, "copy"))) {
		g_clear_pointer(&platform.copy, g_hash_table_destroy);
		platform.copy = copy_rows(platform.rows);
		platform.copy_ver = platform.ver;
	}
	bool restore = json_is_true(json_object_get(json, "restore"));
	json_decref(json);
	if (restore && !platform.copy)
		return respond(connection, 409, json_object());
	if (restore)
		restore_copy();
	return respond(connection, 200, json_object());
}

/* Counts a request and checks calls_per_s. A feed that waits for changes counts once. */
static bool exceeds_rate(const request_t *request)
{
	usec_t now = clock_boot_usec();

	if (platform.faults.calls_per_s == 0 || request->wait_until)
		return false;
	if (now - platform.window_start >= USEC_PER_SEC) {
		platform.window_start = now;
		platform.window_calls = 0;
	}
	return ++platform.window_calls > platform.faults.calls_per_s;
}

static enum MHD_Result dispatch(request_t *request, const char *url, const char *method)
{
	struct MHD_Connection *connection = request->connection;

	if (strcmp(url, "/stats") == 0)
		return respond(connection, 200,
			       json_pack("{s:I, s:I, s:I, s:I}", "reads", platform.reads,
					 "writes", platform.writes, "rejected",
					 platform.rate_limited, "revision",
					 platform.ver));
	if (strcmp(url, "/fault") == 0)
		return put_fault(connection, request);
	if (strcmp(url, "/drill") == 0)
		return put_drill(connection, request);
	if (platform.faults.down)
		return MHD_NO;
	if (platform.faults.silent) {
		MHD_suspend_connection(connection);
		return MHD_YES;
	}
	bool is_write = strcmp(method, "GET") != 0;
	if (platform.faults.busy || (platform.faults.read_only && is_write))
		return respond(connection, 503, json_object());
	if (exceeds_rate(request)) {
		platform.rate_limited++;
		return respond(connection, 429, json_object());
	}
	if (strcmp(url, "/rows-get") == 0)
		return get_rows(connection);
	if (strcmp(url, "/rows-parts") == 0)
		return get_parts(connection);
	if (strcmp(url, "/rows-feed") == 0)
		return get_feed(request);
	if (strcmp(url, "/rows-tx") == 0 && strcmp(method, "POST") == 0)
		return post_tx(connection, request);
	if (g_str_has_prefix(url, "/blob-put/"))
		return handle_object(connection, url + strlen("/blob-put/"), method,
				     request);
	if (g_str_has_prefix(url, "/blob-get/"))
		return handle_object(connection, url + strlen("/blob-get/"), method,
				     request);
	return respond(connection, 404, json_object());
}

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_len, void **state)
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
	if (request->late_text)
		return send_text(connection, request->late_status, request->late_era,
				 request->late_text);
	bool control = strcmp(url, "/fault") == 0 || strcmp(url, "/stats") == 0 ||
		       strcmp(url, "/drill") == 0;
	int delay = control ? 0 : platform.faults.slow_ms;
	if (delay > 0 && !request->delayed) {
		request->delayed = true;
		return suspend_request(request, delay * USEC_PER_MSEC);
	}
	platform.current = control ? NULL : request;
	return dispatch(request, url, method);
}

static void handle_completed(void *ctx, struct MHD_Connection *connection, void **state,
			     enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	if (!request)
		return;
	g_byte_array_free(request->body, TRUE);
	free(request->late_text);
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
	platform.rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_destroy);
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						 (GDestroyNotify)g_bytes_unref);
	platform.rand = g_rand_new_with_seed(1);
	platform.ev = tevent_context_init(NULL);
	if (!address_check_free(&options.address, &error)) {
		fprintf(stderr, "platform: %s\n", error->message);
		return 1;
	}
	platform.loop = mhd_loop_create(platform.ev, platform.ev, &options,
					handle_request, handle_completed, NULL, &error);
	if (!platform.loop) {
		fprintf(stderr, "platform: %s\n", error->message);
		return 1;
	}
	return tevent_loop_wait(platform.ev) != 0;
}
