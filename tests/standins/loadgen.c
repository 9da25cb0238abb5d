/*
 * Load generator. Reads a plan in JSON:
 *   {"seconds": S, "seed": N, "entries": ["IP:PORT", ...], "history": FILE,
 *    "concurrency": N,
 *    "streams": [{"name", "account", "key", "method", "path", "rate",
 *                 "importance", "body", "retries", "idempotency", "timeout_ms",
 *                 "bursts": [{"from", "to", "rate"}], "vary": bool}]}
 * and prints a summary in JSON: for each stream its counts, latencies, and the numbers of
 * requests sent and of 2xx responses in each 100 ms. The load is open-loop with random
 * arrivals, or with "concurrency" closed-loop: that many requests of each stream are
 * always in flight. "rate" is in requests per second, "from" and "to" in seconds, "body"
 * in bytes.
 */
#include "common/clock.h"
#include "common/histogram.h"
#include "http/curl_loop.h"
#include "http/headers.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUCKET_USEC (100 * USEC_PER_MSEC)
/* Longest wait for requests in flight after the end of the load. */
#define DRAIN_TIMEOUT_SEC 12
#define RETRY_DELAY_MS 20
#define CONNECTIONS_MAX 4000L

typedef struct stream {
	const json_t *plan;
	const char *name;
	const char *account;
	const char *key;
	const char *method;
	const char *path;
	double rate;
	int importance;
	int retries;
	size_t body_bytes;    /* of each request */
	bool idempotency_key; /* sends the request's id as Idempotency-Key */
	bool unique_path;     /* adds the request's id to the path */
	long timeout_ms;
	histogram_t *latency;
	GHashTable *refusals; /* reason -> count, as GSIZE_TO_POINTER */
	json_int_t sent;      /* requests */
	json_int_t tries;     /* requests and their retries */
	json_int_t answered;  /* requests with a 2xx response */
	json_int_t wrong;     /* answered requests whose response body is wrong */
	GArray *timeline;     /* uint32_t: 2xx responses in each bucket */
	GArray *offered;      /* uint32_t: requests sent in each bucket */
} stream_t;

typedef struct request {
	stream_t *stream;
	char id[32];
	usec_t due; /* not read */
	usec_t started;
	int tries;
	GString *response_start; /* the first bytes of the response body */
	char outcome[16];
	char reason[32];
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	bool cut;	       /* not used */
	size_t response_bytes; /* length of the response body */
} request_t;

static struct {
	struct tevent_context *ev;
	curl_loop_t *curl;
	GRand *rand;
	FILE *history;
	const json_t *entries;
	usec_t start;
	usec_t end;
	int inflight;
	uint64_t next_id;
	char *body;
	bool closed_loop;
} gen;

static void send_attempt(request_t *request);

static void count_in_bucket(GArray *buckets, usec_t when)
{
	guint bucket = (guint)(MAX(when - gen.start, 0) / BUCKET_USEC);

	if (bucket >= buckets->len)
		g_array_set_size(buckets, bucket + 1);
	g_array_index(buckets, uint32_t, bucket)++;
}

/* Writes an event as one line of JSON, which tests/history/check.py reads. */
static void write_history(const request_t *request, const char *event, long status)
{
	if (!gen.history)
		return;
	fprintf(gen.history,
		"{\"time\":%" G_GINT64_FORMAT ",\"event\":\"%s\",\"id\":\"%s\","
		"\"stream\":\"%s\",\"account\":\"%s\",\"importance\":%d,\"try\":%d,"
		"\"status\":%ld,\"outcome\":\"%s\",\"reason\":\"%s\",\"method\":\"%s\"}"
		"\n",
		clock_boot_usec(), event, request->id, request->stream->name,
		request->stream->account, request->stream->importance, request->tries,
		status, request->outcome, request->reason, request->stream->method);
}

static void copy_header(const response_head_t *head, const char *name, char *out,
			size_t size)
{
	const char *value = headers_find(head->headers, name);

	if (value)
		g_strlcpy(out, value, size);
}

static bool handle_head(void *ctx, const response_head_t *head)
{
	request_t *request = ctx;

	copy_header(head, "Egret-Outcome", request->outcome, sizeof(request->outcome));
	copy_header(head, "Egret-Reason", request->reason, sizeof(request->reason));
	return true;
}

static size_t handle_body(char *data, size_t size, size_t count, void *ctx)
{
	request_t *request = ctx;

	request->response_bytes += size * count;
	if (request->response_start->len < 256)
		g_string_append_len(request->response_start, data,
				    (gssize)(size * count));
	return size * count;
}

static void count_refusal(stream_t *stream, const char *reason)
{
	gpointer old = g_hash_table_lookup(stream->refusals, reason);

	g_hash_table_insert(stream->refusals, g_strdup(reason),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(old) + 1));
}

/* Whether the response body starts with the request's id, or has the length that bytes=N
 * in the path sets. */
static bool response_matches(const request_t *request)
{
	if (strstr(request->stream->path, "bytes=")) {
		size_t wanted =
			strtoull(strstr(request->stream->path, "bytes=") + 6, NULL, 10);
		return request->response_bytes == wanted;
	}
	return g_str_has_prefix(request->response_start->str, request->id);
}

static void destroy_request(request_t *request)
{
	curl_slist_free_all(request->headers);
	g_string_free(request->response_start, TRUE);
	g_free(request->url);
	g_free(request);
	gen.inflight--;
}

static void handle_retry(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	send_attempt(private_data);
}

static void start_next_request(stream_t *stream);

static void finish_request(request_t *request, CURLcode code, long status)
{
	stream_t *stream = request->stream;
	usec_t now = clock_boot_usec();
	bool good = code == CURLE_OK && status >= 200 && status < 300;

	if (code != CURLE_OK)
		g_strlcpy(request->reason, "transport", sizeof(request->reason));
	write_history(request, "answer", status);
	if (!good && request->tries <= stream->retries && now < gen.end) {
		tevent_add_timer(gen.ev, gen.ev,
				 tevent_timeval_current_ofs(0, RETRY_DELAY_MS * 1000),
				 handle_retry, request);
		return;
	}
	if (good && !response_matches(request))
		stream->wrong++;
	if (good) {
		stream->answered++;
		histogram_add(stream->latency, now - request->started);
		count_in_bucket(stream->timeline, now);
	} else {
		count_refusal(stream,
			      *request->reason ? request->reason : "target-error");
	}
	destroy_request(request);
	if (gen.closed_loop)
		start_next_request(stream);
}

static void handle_done(void *ctx, CURL *easy, CURLcode code)
{
	request_t *request = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	request->easy = NULL;
	finish_request(request, code, status);
}

static void add_header(request_t *request, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	request->headers = curl_slist_append(request->headers, line);
	g_free(line);
}

static const char *random_entry(void)
{
	gint32 count = (gint32)json_array_size(gen.entries);

	return json_string_value(json_array_get(
		gen.entries, (size_t)g_rand_int_range(gen.rand, 0, count)));
}

static void build_headers(request_t *request)
{
	stream_t *stream = request->stream;
	char text[160];

	curl_slist_free_all(request->headers);
	request->headers = curl_slist_append(NULL, "Expect:");
	add_header(request, "X-Test-Id", request->id);
	if (stream->key) {
		snprintf(text, sizeof(text), "Bearer %s", stream->key);
		add_header(request, "Authorization", text);
	}
	if (stream->idempotency_key)
		add_header(request, "Idempotency-Key", request->id);
	if (stream->timeout_ms > 0) {
		snprintf(text, sizeof(text), "%ld", stream->timeout_ms);
		add_header(request, "Egret-Timeout-Ms", text);
	}
}

static void send_attempt(request_t *request)
{
	stream_t *stream = request->stream;

	request->tries++;
	stream->tries++;
	request->outcome[0] = '\0';
	request->reason[0] = '\0';
	request->response_bytes = 0;
	g_string_truncate(request->response_start, 0);
	g_free(request->url);
	request->url = g_strdup_printf("http://%s%s%s%s", random_entry(), stream->path,
				       stream->unique_path ? "/" : "",
				       stream->unique_path ? request->id : "");
	build_headers(request);
	CURL *easy = curl_loop_acquire(gen.curl);
	request->easy = easy;
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
	curl_loop_on_head(easy, handle_head, request);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
	if (strcmp(stream->method, "POST") == 0 || stream->body_bytes > 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, gen.body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)stream->body_bytes);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, stream->method);
	write_history(request, "send", 0);
	curl_loop_start(gen.curl, easy, handle_done, request);
}

static void start_request(stream_t *stream, usec_t due)
{
	request_t *request = g_new0(request_t, 1);

	request->stream = stream;
	request->due = due;
	request->started = clock_boot_usec();
	request->response_start = g_string_new(NULL);
	snprintf(request->id, sizeof(request->id), "r%06" G_GINT64_MODIFIER "u-%08x",
		 ++gen.next_id, g_rand_int(gen.rand));
	stream->sent++;
	gen.inflight++;
	count_in_bucket(stream->offered, request->started);
	send_attempt(request);
}

static void start_next_request(stream_t *stream)
{
	usec_t now = clock_boot_usec();

	if (now < gen.end)
		start_request(stream, now);
}

static double rate_at(const stream_t *stream, usec_t when)
{
	double second = (double)(when - gen.start) / USEC_PER_SEC;
	double rate = stream->rate;
	size_t i;
	json_t *burst;

	json_array_foreach(json_object_get(stream->plan, "bursts"), i, burst)
	{
		if (second >= json_number_value(json_object_get(burst, "from")) &&
		    second < json_number_value(json_object_get(burst, "to")))
			rate = json_number_value(json_object_get(burst, "rate"));
	}
	return rate;
}

typedef struct arrival {
	stream_t *stream;
	usec_t due;
} arrival_t;

static void schedule_arrival(arrival_t *arrival);

static void handle_arrival(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval when, void *private_data)
{
	arrival_t *arrival = private_data;
	usec_t now = clock_boot_usec();

	while (arrival->due <= now && arrival->due < gen.end) {
		double rate = rate_at(arrival->stream, arrival->due);
		if (rate > 0)
			start_request(arrival->stream, arrival->due);
		double mean_gap_usec =
			rate > 0 ? USEC_PER_SEC / rate : 50 * USEC_PER_MSEC;
		double factor = rate > 0 ? -log(1 - g_rand_double(gen.rand)) : 1;
		arrival->due += (usec_t)fmax(factor * mean_gap_usec, 1);
	}
	if (arrival->due < gen.end)
		schedule_arrival(arrival);
	else
		g_free(arrival);
}

static void schedule_arrival(arrival_t *arrival)
{
	usec_t wait = MAX(arrival->due - clock_boot_usec(), 0);

	tevent_add_timer(gen.ev, gen.ev,
			 tevent_timeval_current_ofs((uint32_t)(wait / USEC_PER_SEC),
						    (uint32_t)(wait % USEC_PER_SEC)),
			 handle_arrival, arrival);
}

static stream_t *create_stream(const json_t *plan)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->plan = plan;
	stream->name = json_string_value(json_object_get(plan, "name"));
	stream->account = json_string_value(json_object_get(plan, "account"));
	stream->account = stream->account ? stream->account : "";
	stream->key = json_string_value(json_object_get(plan, "key"));
	stream->method = json_string_value(json_object_get(plan, "method"));
	stream->method = stream->method ? stream->method : "GET";
	stream->path = json_string_value(json_object_get(plan, "path"));
	stream->rate = json_number_value(json_object_get(plan, "rate"));
	stream->importance = (int)json_integer_value(json_object_get(plan, "importance"));
	stream->retries = (int)json_integer_value(json_object_get(plan, "retries"));
	stream->body_bytes = (size_t)json_integer_value(json_object_get(plan, "body"));
	stream->timeout_ms =
		(long)json_integer_value(json_object_get(plan, "timeout_ms"));
	stream->idempotency_key = json_is_true(json_object_get(plan, "idempotency"));
	stream->unique_path = json_is_true(json_object_get(plan, "vary"));
	stream->latency = histogram_create();
	stream->refusals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stream->timeline = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	stream->offered = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return stream;
}

static json_t *buckets_json(const GArray *buckets)
{
	json_t *list = json_array();

	for (guint i = 0; i < buckets->len; i++)
		json_array_append_new(list,
				      json_integer(g_array_index(buckets, uint32_t, i)));
	return list;
}

static json_t *stream_json(const stream_t *stream)
{
	json_t *refusals = json_object();
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, stream->refusals);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(refusals, key,
				    json_integer((json_int_t)GPOINTER_TO_SIZE(value)));
	return json_pack(
		"{s:s, s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}",
		"name", stream->name, "account", stream->account, "importance",
		stream->importance, "sent", stream->sent, "tries", stream->tries,
		"answered", stream->answered, "wrong", stream->wrong, "p50_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.5), "p90_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.9), "p99_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.99), "refused",
		refusals, "timeline", buckets_json(stream->timeline), "offered",
		buckets_json(stream->offered));
}

static void print_summary(GPtrArray *streams, double seconds)
{
	json_t *list = json_array();

	for (guint i = 0; i < streams->len; i++)
		json_array_append_new(list, stream_json(streams->pdata[i]));
	json_t *summary = json_pack("{s:f, s:i, s:o}", "seconds", seconds, "unfinished",
				    gen.inflight, "streams", list);
	json_dumpf(summary, stdout, JSON_COMPACT);
	printf("\n");
	json_decref(summary);
}

static void start_stream(stream_t *stream, int concurrency)
{
	if (gen.closed_loop) {
		for (int i = 0; i < concurrency; i++)
			start_request(stream, gen.start);
		return;
	}
	arrival_t *arrival = g_new0(arrival_t, 1);
	arrival->stream = stream;
	arrival->due = gen.start + (usec_t)(g_rand_double(gen.rand) * USEC_PER_SEC /
					    fmax(stream->rate, 1));
	schedule_arrival(arrival);
}

/* Makes tevent_loop_once() return often, so that main() checks for the end of the load.
 */
static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, BUCKET_USEC), handle_tick,
			 NULL);
}

int main(int argc, char **argv)
{
	json_error_t parse_error;
	json_t *plan = argc == 2 ? json_load_file(argv[1], 0, &parse_error) : NULL;
	GPtrArray *streams = g_ptr_array_new();
	size_t i;
	json_t *item;

	if (!plan) {
		fprintf(stderr, "usage: loadgen PLAN.json\n");
		return 2;
	}
	double seconds = json_number_value(json_object_get(plan, "seconds"));
	int concurrency = (int)json_integer_value(json_object_get(plan, "concurrency"));
	const char *history = json_string_value(json_object_get(plan, "history"));
	gen.closed_loop = concurrency > 0;
	gen.history = history ? fopen(history, "w") : NULL;
	gen.entries = json_object_get(plan, "entries");
	gen.rand = g_rand_new_with_seed(
		(guint32)json_integer_value(json_object_get(plan, "seed")));
	gen.body = g_malloc(64u << 20);
	memset(gen.body, 'b', 64u << 20);
	gen.ev = tevent_context_init(NULL);
	gen.curl = curl_loop_create(gen.ev, gen.ev, CONNECTIONS_MAX);
	gen.start = clock_boot_usec();
	gen.end = gen.start + (usec_t)(seconds * USEC_PER_SEC);
	json_array_foreach(json_object_get(plan, "streams"), i, item)
		g_ptr_array_add(streams, create_stream(item));
	for (guint s = 0; s < streams->len; s++)
		start_stream(streams->pdata[s], concurrency);
	handle_tick(gen.ev, NULL, tevent_timeval_zero(), NULL);
	while (clock_boot_usec() < gen.end ||
	       (gen.inflight > 0 &&
		clock_boot_usec() < gen.end + DRAIN_TIMEOUT_SEC * USEC_PER_SEC)) {
		if (tevent_loop_once(gen.ev) != 0)
			break;
	}
	print_summary(streams, seconds);
	if (gen.history)
		fclose(gen.history);
	return 0;
}
