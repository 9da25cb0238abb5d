/*
 * Open-loop load generator. Reads a JSON plan:
 *   {"seconds": S, "seed": N, "entries": ["IP:PORT", ...], "history": FILE,
 *    "streams": [{"name", "account", "key", "method", "path", "rate",
 *                 "importance", "body", "retries", "idempotency", "timeout_ms",
 *                 "bursts": [{"from", "to", "rate"}], "vary": bool}]}
 * and prints a JSON summary: counts and latencies for each stream, and the whole
 * requests of each 100 ms.
 */
#include "common/clock.h"
#include "common/histogram.h"
#include "http/curl_loop.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOT_USEC (100 * USEC_PER_MSEC)
#define GRACE_SEC 12
#define RETRY_WAIT_MS 20
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
	size_t body;
	bool idempotency;
	bool vary;
	long timeout_ms;
	histogram_t *latency;
	GHashTable *reasons; /* reason -> count in a pointer */
	json_int_t sent;
	json_int_t tries;
	json_int_t answered;
	json_int_t wrong; /* answered, but not with this request's answer */
	GArray *timeline; /* of uint32_t answered in each slot */
	GArray *offered;
} stream_t;

typedef struct shot {
	stream_t *stream;
	char id[32];
	usec_t due;
	usec_t started;
	int tries;
	GString *answer;
	char outcome[16];
	char reason[32];
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	bool cut;
	size_t length;
} shot_t;

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

static void send_shot(shot_t *shot);

static void slot_add(GArray *slots, usec_t when)
{
	guint slot = (guint)(MAX(when - gen.start, 0) / SLOT_USEC);

	if (slot >= slots->len)
		g_array_set_size(slots, slot + 1);
	g_array_index(slots, uint32_t, slot)++;
}

static void record(const shot_t *shot, const char *event, long status)
{
	if (!gen.history)
		return;
	fprintf(gen.history,
		"{\"time\":%" G_GINT64_FORMAT ",\"event\":\"%s\",\"id\":\"%s\","
		"\"stream\":\"%s\",\"account\":\"%s\",\"importance\":%d,\"try\":%d,"
		"\"status\":%ld,\"outcome\":\"%s\",\"reason\":\"%s\",\"method\":\"%s\"}"
		"\n",
		clock_boot_usec(), event, shot->id, shot->stream->name,
		shot->stream->account, shot->stream->importance, shot->tries, status,
		shot->outcome, shot->reason, shot->stream->method);
}

static size_t take_header(char *line, size_t size, size_t count, void *ctx)
{
	shot_t *shot = ctx;
	char *copy = g_strchomp(g_strndup(line, size * count));

	if (g_ascii_strncasecmp(copy, "Egret-Outcome: ", 15) == 0)
		g_strlcpy(shot->outcome, copy + 15, sizeof(shot->outcome));
	if (g_ascii_strncasecmp(copy, "Egret-Reason: ", 14) == 0)
		g_strlcpy(shot->reason, copy + 14, sizeof(shot->reason));
	g_free(copy);
	return size * count;
}

static size_t take_answer(char *data, size_t size, size_t count, void *ctx)
{
	shot_t *shot = ctx;

	shot->length += size * count;
	if (shot->answer->len < 256)
		g_string_append_len(shot->answer, data, (gssize)(size * count));
	return size * count;
}

static void count_reason(stream_t *stream, const char *reason)
{
	gpointer old = g_hash_table_lookup(stream->reasons, reason);

	g_hash_table_insert(stream->reasons, g_strdup(reason),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(old) + 1));
}

static bool answer_is_own(const shot_t *shot)
{
	if (strstr(shot->stream->path, "bytes=")) {
		size_t wanted =
			strtoull(strstr(shot->stream->path, "bytes=") + 6, NULL, 10);
		return shot->length == wanted;
	}
	return g_str_has_prefix(shot->answer->str, shot->id);
}

static void free_shot(shot_t *shot)
{
	curl_slist_free_all(shot->headers);
	g_string_free(shot->answer, TRUE);
	g_free(shot->url);
	g_free(shot);
	gen.inflight--;
}

static void handle_retry(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval when, void *private_data)
{
	send_shot(private_data);
}

static void next_of_closed_loop(stream_t *stream);

static void finish_shot(shot_t *shot, CURLcode code, long status)
{
	stream_t *stream = shot->stream;
	usec_t now = clock_boot_usec();
	bool good = code == CURLE_OK && status >= 200 && status < 300;

	if (code != CURLE_OK)
		g_strlcpy(shot->reason, "transport", sizeof(shot->reason));
	record(shot, "answer", status);
	if (!good && shot->tries <= stream->retries && now < gen.end) {
		tevent_add_timer(gen.ev, gen.ev,
				 tevent_timeval_current_ofs(0, RETRY_WAIT_MS * 1000),
				 handle_retry, shot);
		return;
	}
	if (good && !answer_is_own(shot))
		stream->wrong++;
	if (good) {
		stream->answered++;
		histogram_add(stream->latency, now - shot->started);
		slot_add(stream->timeline, now);
	} else {
		count_reason(stream, *shot->reason ? shot->reason : "target-error");
	}
	free_shot(shot);
	if (gen.closed_loop)
		next_of_closed_loop(stream);
}

static void handle_done(void *ctx, CURL *easy, CURLcode code)
{
	shot_t *shot = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	shot->easy = NULL;
	finish_shot(shot, code, status);
}

static void add_header(shot_t *shot, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	shot->headers = curl_slist_append(shot->headers, line);
	g_free(line);
}

static const char *random_entry(void)
{
	gint32 count = (gint32)json_array_size(gen.entries);

	return json_string_value(json_array_get(
		gen.entries, (size_t)g_rand_int_range(gen.rand, 0, count)));
}

static void build_headers(shot_t *shot)
{
	stream_t *stream = shot->stream;
	char text[160];

	curl_slist_free_all(shot->headers);
	shot->headers = curl_slist_append(NULL, "Expect:");
	add_header(shot, "X-Test-Id", shot->id);
	if (stream->key) {
		snprintf(text, sizeof(text), "Bearer %s", stream->key);
		add_header(shot, "Authorization", text);
	}
	if (stream->idempotency)
		add_header(shot, "Idempotency-Key", shot->id);
	if (stream->timeout_ms > 0) {
		snprintf(text, sizeof(text), "%ld", stream->timeout_ms);
		add_header(shot, "Egret-Timeout-Ms", text);
	}
}

static void send_shot(shot_t *shot)
{
	stream_t *stream = shot->stream;

	shot->tries++;
	stream->tries++;
	shot->outcome[0] = '\0';
	shot->reason[0] = '\0';
	shot->length = 0;
	g_string_truncate(shot->answer, 0);
	g_free(shot->url);
	shot->url =
		g_strdup_printf("http://%s%s%s%s", random_entry(), stream->path,
				stream->vary ? "/" : "", stream->vary ? shot->id : "");
	build_headers(shot);
	CURL *easy = curl_loop_acquire(gen.curl);
	shot->easy = easy;
	curl_easy_setopt(easy, CURLOPT_URL, shot->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, shot->headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, shot);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, shot);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
	if (strcmp(stream->method, "POST") == 0 || stream->body > 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, gen.body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)stream->body);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, stream->method);
	record(shot, "send", 0);
	curl_loop_start(gen.curl, easy, handle_done, shot);
}

static void fire(stream_t *stream, usec_t due)
{
	shot_t *shot = g_new0(shot_t, 1);

	shot->stream = stream;
	shot->due = due;
	shot->started = clock_boot_usec();
	shot->answer = g_string_new(NULL);
	snprintf(shot->id, sizeof(shot->id), "r%06" G_GINT64_MODIFIER "u-%08x",
		 ++gen.next_id, g_rand_int(gen.rand));
	stream->sent++;
	gen.inflight++;
	slot_add(stream->offered, shot->started);
	send_shot(shot);
}

static void next_of_closed_loop(stream_t *stream)
{
	usec_t now = clock_boot_usec();

	if (now < gen.end)
		fire(stream, now);
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
			fire(arrival->stream, arrival->due);
		double mean = rate > 0 ? USEC_PER_SEC / rate : 50 * USEC_PER_MSEC;
		double draw = rate > 0 ? -log(1 - g_rand_double(gen.rand)) : 1;
		arrival->due += (usec_t)fmax(draw * mean, 1);
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
	stream->body = (size_t)json_integer_value(json_object_get(plan, "body"));
	stream->timeout_ms =
		(long)json_integer_value(json_object_get(plan, "timeout_ms"));
	stream->idempotency = json_is_true(json_object_get(plan, "idempotency"));
	stream->vary = json_is_true(json_object_get(plan, "vary"));
	stream->latency = histogram_create();
	stream->reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stream->timeline = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	stream->offered = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return stream;
}

static json_t *slots_json(const GArray *slots)
{
	json_t *list = json_array();

	for (guint i = 0; i < slots->len; i++)
		json_array_append_new(list,
				      json_integer(g_array_index(slots, uint32_t, i)));
	return list;
}

static json_t *stream_json(const stream_t *stream)
{
	json_t *reasons = json_object();
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, stream->reasons);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(reasons, key,
				    json_integer((json_int_t)GPOINTER_TO_SIZE(value)));
	return json_pack(
		"{s:s, s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}",
		"name", stream->name, "account", stream->account, "importance",
		stream->importance, "sent", stream->sent, "tries", stream->tries,
		"answered", stream->answered, "wrong", stream->wrong, "p50_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.5), "p90_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.9), "p99_usec",
		(json_int_t)histogram_percentile(stream->latency, 0.99), "refused",
		reasons, "timeline", slots_json(stream->timeline), "offered",
		slots_json(stream->offered));
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
			fire(stream, gen.start);
		return;
	}
	arrival_t *arrival = g_new0(arrival_t, 1);
	arrival->stream = stream;
	arrival->due = gen.start + (usec_t)(g_rand_double(gen.rand) * USEC_PER_SEC /
					    fmax(stream->rate, 1));
	schedule_arrival(arrival);
}

/* Wakes the loop often, so that its end is noticed. */
static void keep_awake(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval when, void *private_data)
{
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, SLOT_USEC), keep_awake,
			 NULL);
}

int main(int argc, char **argv)
{
	json_error_t fault;
	json_t *plan = argc == 2 ? json_load_file(argv[1], 0, &fault) : NULL;
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
	keep_awake(gen.ev, NULL, tevent_timeval_zero(), NULL);
	while (clock_boot_usec() < gen.end ||
	       (gen.inflight > 0 &&
		clock_boot_usec() < gen.end + GRACE_SEC * USEC_PER_SEC)) {
		if (tevent_loop_once(gen.ev) != 0)
			break;
	}
	print_summary(streams, seconds);
	if (gen.history)
		fclose(gen.history);
	return 0;
}
