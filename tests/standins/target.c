/*
 * Stand-in for a target: slots, cold start, own shedding, drain, crash, onward
 * calls. Paths decide what a request does; see serve_path().
 */
#include "common/address.h"
#include "common/clock.h"
#include "http/curl_loop.h"
#include "http/mhd_loop.h"

#include <argp.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define IDLE_TIMEOUT_SEC 300
#define ANNOUNCE_MS 1000
#define FILL_BYTE 'x'
#define BLOCK_BYTES 32768
/* Over this multiple of what it bears, the target refuses by itself. */
#define OWN_SHED_FACTOR 2.0
#define WARM_PER_ANSWER 0.5

typedef struct arguments {
	struct sockaddr_in listen;
	char listen_text[ADDRESS_TEXT_BYTES];
	char *node; /* IP:PORT of the node's target listener */
	char *service;
	char *calls; /* comma-separated services called for each request */
	char *history;
	int slots;
	int cold_slots;
	double service_ms;
	unsigned int seed;
} arguments_t;

static struct {
	arguments_t args;
	struct tevent_context *ev;
	mhd_loop_t *loop;
	curl_loop_t *curl;
	GRand *rand;
	FILE *history;
	int running;
	double bears; /* calls it can run at once now */
	double slow_factor;
	bool leaving;
	bool misleading; /* its load endpoint tells less than the truth */
	json_int_t answered;
	json_int_t overloaded; /* calls taken above what it bears */
	json_int_t peak_over;
} target = {.slow_factor = 1};

typedef struct job {
	struct MHD_Connection *connection;
	char *context;
	char *id;
	char *path;
	char *method;
	size_t body_bytes;
	uint64_t body_sum;
	bool started;
	bool suspended;
	bool ready;
	bool gone;
	unsigned int status;
	bool not_run;
	char **calls;
	int next_call;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	struct tevent_timer *timer;
	size_t reply_bytes;
	size_t reply_sent;
	size_t die_after;
} job_t;

static void record(const job_t *job, const char *event)
{
	if (!target.history)
		return;
	fprintf(target.history,
		"{\"time\":%" G_GINT64_FORMAT ",\"event\":\"%s\",\"id\":\"%s\","
		"\"service\":\"%s\",\"target\":\"%s\",\"running\":%d,\"bears\":%.1f,"
		"\"slots\":%d}\n",
		clock_boot_usec(), event, job->id, target.args.service,
		target.args.listen_text, target.running, target.bears, target.args.slots);
	fflush(target.history);
}

static const char *header(const job_t *job, const char *name)
{
	return MHD_lookup_connection_value(job->connection, MHD_HEADER_KIND, name);
}

static void finish(job_t *job, unsigned int status)
{
	job->ready = true;
	job->status = status;
	if (job->started) {
		target.running--;
		job->started = false;
		target.answered++;
		target.bears = fmin(target.bears + WARM_PER_ANSWER, target.args.slots);
		record(job, "end");
	}
	if (!job->suspended)
		return;
	job->suspended = false;
	mhd_loop_unwatch(target.loop, job->connection);
	mhd_loop_resume(target.loop, job->connection);
}

static void call_next(job_t *job);

static size_t discard(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

static void handle_onward_done(void *ctx, CURL *easy, CURLcode code)
{
	job_t *job = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	job->easy = NULL;
	curl_slist_free_all(job->headers);
	job->headers = NULL;
	g_clear_pointer(&job->url, g_free);
	if (code != CURLE_OK || status >= 400) {
		finish(job, 502);
		return;
	}
	call_next(job);
}

static void add_header(job_t *job, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	job->headers = curl_slist_append(job->headers, line);
	g_free(line);
}

static void call_next(job_t *job)
{
	const char *service = job->calls ? job->calls[job->next_call] : NULL;

	if (!service) {
		finish(job, 200);
		return;
	}
	job->next_call++;
	job->easy = curl_loop_acquire(target.curl);
	job->url = g_strdup_printf("http://%s/call/%s%s", target.args.node, service,
				   job->path);
	if (job->context)
		add_header(job, "Egret-Context", job->context);
	add_header(job, "X-Test-Id", job->id);
	curl_easy_setopt(job->easy, CURLOPT_URL, job->url);
	curl_easy_setopt(job->easy, CURLOPT_HTTPHEADER, job->headers);
	curl_easy_setopt(job->easy, CURLOPT_WRITEFUNCTION, discard);
	if (strcmp(job->method, "POST") == 0)
		curl_easy_setopt(job->easy, CURLOPT_POSTFIELDS, "");
	curl_loop_start(target.curl, job->easy, handle_onward_done, job);
}

static void handle_served(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval when, void *private_data)
{
	job_t *job = private_data;

	job->timer = NULL;
	call_next(job);
}

/* Time on the target: exponential around the mean, more when overloaded. */
static double serve_msec(void)
{
	double load = fmax((double)target.running / fmax(target.bears, 1), 1);
	double draw = -log(1 - g_rand_double(target.rand));

	return target.args.service_ms * target.slow_factor * load * load *
	       fmin(0.5 + 0.5 * draw, 3);
}

static size_t number_in(const char *path, const char *name)
{
	const char *found = strstr(path, name);

	return found ? strtoull(found + strlen(name), NULL, 10) : 0;
}

/* bytes=N: answer of N bytes; die=N: crash after N of them; crash: at once. */
static void serve_path(job_t *job)
{
	job->reply_bytes = number_in(job->path, "bytes=");
	job->die_after = number_in(job->path, "die=");
	if (strstr(job->path, "crash"))
		_exit(70);
}

static void handle_gone(void *ctx)
{
	job_t *job = ctx;

	job->gone = true;
	record(job, "cancelled");
	if (job->suspended) {
		job->suspended = false;
		mhd_loop_resume(target.loop, job->connection);
	}
}

static void start(job_t *job)
{
	job->started = true;
	target.running++;
	if (target.running > target.bears) {
		target.overloaded++;
		target.peak_over =
			MAX(target.peak_over, target.running - (json_int_t)target.bears);
	}
	record(job, "start");
	serve_path(job);
	uint32_t usec = (uint32_t)(serve_msec() * 1000);
	job->suspended = true;
	MHD_suspend_connection(job->connection);
	mhd_loop_watch(target.loop, job->connection, handle_gone, job);
	job->timer = tevent_add_timer(
		target.ev, target.ev,
		tevent_timeval_current_ofs(usec / 1000000, usec % 1000000), handle_served,
		job);
}

static ssize_t read_block(void *ctx, uint64_t position, char *buffer, size_t size)
{
	job_t *job = ctx;

	if (job->die_after && position >= job->die_after)
		_exit(70);
	size_t n = MIN(size, job->reply_bytes - (size_t)position);
	memset(buffer, FILL_BYTE, n);
	return (ssize_t)n;
}

static enum MHD_Result reply(job_t *job)
{
	struct MHD_Response *response;
	char text[256];

	if (job->reply_bytes > 0) {
		response = MHD_create_response_from_callback(
			job->reply_bytes, BLOCK_BYTES, read_block, job, NULL);
	} else {
		snprintf(text, sizeof(text), "%s %zu %" G_GUINT64_FORMAT "\n", job->id,
			 job->body_bytes, job->body_sum);
		response = MHD_create_response_from_buffer(strlen(text), text,
							   MHD_RESPMEM_MUST_COPY);
	}
	if (job->not_run)
		MHD_add_response_header(response, "Egret-Outcome", "not-run");
	MHD_add_response_header(response, "X-Test-Target", target.args.listen_text);
	/* Shows what a target can see of the caller's key. */
	MHD_add_response_header(response, "X-Test-Saw-Key",
				header(job, "Authorization") ? "yes" : "no");
	enum MHD_Result result =
		MHD_queue_response(job->connection, job->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result begin(job_t *job)
{
	if (target.running >= target.bears * OWN_SHED_FACTOR || target.leaving) {
		job->not_run = true;
		job->ready = true;
		job->status = 503;
		return reply(job);
	}
	start(job);
	return MHD_YES;
}

static job_t *create_job(struct MHD_Connection *connection, const char *url,
			 const char *method)
{
	job_t *job = g_new0(job_t, 1);

	job->connection = connection;
	job->method = g_strdup(method);
	job->path = g_strdup(url);
	job->context = g_strdup(header(job, "Egret-Context"));
	job->id = g_strdup(header(job, "X-Test-Id"));
	if (!job->id)
		job->id = g_strdup("-");
	if (target.args.calls)
		job->calls = g_strsplit(target.args.calls, ",", -1);
	return job;
}

/* PUT /control/slow/FACTOR, /control/cold, /control/leave; GET /control/stats */
static enum MHD_Result control(struct MHD_Connection *connection, const char *url)
{
	if (g_str_has_prefix(url, "/control/slow/"))
		target.slow_factor = atof(url + strlen("/control/slow/"));
	if (strcmp(url, "/control/cold") == 0)
		target.bears = target.args.cold_slots;
	if (strcmp(url, "/control/leave") == 0)
		target.leaving = true;
	if (strcmp(url, "/control/mislead") == 0)
		target.misleading = true;
	json_t *json =
		json_pack("{s:i, s:f, s:I, s:I, s:I}", "running", target.running, "bears",
			  target.bears, "answered", target.answered, "overloaded",
			  target.overloaded, "peak_over", target.peak_over);
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result =
		mhd_respond_text(connection, 200, "application/json", text);
	free(text);
	json_decref(json);
	return result;
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *connection,
			      const char *url, const char *method, const char *version,
			      const char *data, size_t *data_len, void **state)
{
	job_t *job = *state;

	if (!job) {
		*state = create_job(connection, url, method);
		return MHD_YES;
	}
	if (*data_len > 0) {
		for (size_t i = 0; i < *data_len; i++)
			job->body_sum += (unsigned char)data[i];
		job->body_bytes += *data_len;
		*data_len = 0;
		return MHD_YES;
	}
	if (g_str_has_prefix(url, "/control/"))
		return control(connection, url);
	if (job->gone)
		return MHD_NO;
	return job->ready ? reply(job) : begin(job);
}

static void completed(void *ctx, struct MHD_Connection *connection, void **state,
		      enum MHD_RequestTerminationCode code)
{
	job_t *job = *state;

	if (!job)
		return;
	TALLOC_FREE(job->timer);
	if (job->easy)
		curl_loop_stop(target.curl, job->easy);
	curl_slist_free_all(job->headers);
	if (job->started)
		target.running--;
	g_strfreev(job->calls);
	g_free(job->url);
	g_free(job->context);
	g_free(job->id);
	g_free(job->path);
	g_free(job->method);
	g_free(job);
	*state = NULL;
}

static void schedule_announce(uint32_t delay_ms);

static void handle_announced(void *ctx, CURL *easy, CURLcode code)
{
	curl_slist_free_all(ctx);
	schedule_announce(code == CURLE_OK ? ANNOUNCE_MS : 100);
}

static void announce(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval when, void *private_data)
{
	CURL *easy = curl_loop_acquire(target.curl);
	char body[256];
	char url[128];
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

	if (target.leaving) {
		snprintf(url, sizeof(url), "http://%s/v1/target/leave", target.args.node);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	} else {
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%d,"
			 "\"cold_slots\":%d}",
			 target.args.service, target.args.listen_text, target.args.slots,
			 target.args.cold_slots);
		snprintf(url, sizeof(url), "http://%s/v1/target", target.args.node);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
	}
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 2000L);
	curl_loop_start(target.curl, easy, handle_announced, headers);
}

static void schedule_announce(uint32_t delay_ms)
{
	tevent_add_timer(
		target.ev, target.ev,
		tevent_timeval_current_ofs(delay_ms / 1000, delay_ms % 1000 * 1000),
		announce, NULL);
}

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, NULL, 0}, {"node", 'n', "IP:PORT", 0, NULL, 0},
	{"service", 's', "NAME", 0, NULL, 0},	{"calls", 'c', "NAMES", 0, NULL, 0},
	{"slots", 'S', "N", 0, NULL, 0},	{"cold-slots", 'C', "N", 0, NULL, 0},
	{"service-ms", 'm', "MS", 0, NULL, 0},	{"seed", 'r', "N", 0, NULL, 0},
	{"history", 'h', "FILE", 0, NULL, 0},	{NULL, 0, NULL, 0, NULL, 0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	arguments_t *args = state->input;

	switch (key) {
	case 'l':
		if (!address_parse(arg, &args->listen, NULL))
			argp_error(state, "bad address %s", arg);
		address_format(&args->listen, args->listen_text);
		return 0;
	case 'n':
		args->node = arg;
		return 0;
	case 's':
		args->service = arg;
		return 0;
	case 'c':
		args->calls = *arg ? arg : NULL;
		return 0;
	case 'S':
		args->slots = atoi(arg);
		return 0;
	case 'C':
		args->cold_slots = atoi(arg);
		return 0;
	case 'm':
		args->service_ms = atof(arg);
		return 0;
	case 'r':
		args->seed = (unsigned int)atoi(arg);
		return 0;
	case 'h':
		args->history = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	struct argp argp = {options, parse_option, NULL, "stand-in target",
			    NULL,    NULL,	   NULL};
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	target.args.slots = 10;
	target.args.cold_slots = 2;
	target.args.service_ms = 5;
	argp_parse(&argp, argc, argv, 0, NULL, &target.args);
	if (!target.args.node || !target.args.service || !target.args.listen_text[0]) {
		fprintf(stderr, "target: --listen, --node and --service are needed\n");
		return 2;
	}
	if (target.args.history)
		target.history = fopen(target.args.history, "a");
	target.bears = target.args.cold_slots;
	target.rand = g_rand_new_with_seed(target.args.seed);
	target.ev = tevent_context_init(NULL);
	target.curl = curl_loop_create(target.ev, target.ev, 2000);
	mhd_loop_options_t http = {.address = target.args.listen,
				   .idle_timeout_sec = IDLE_TIMEOUT_SEC};
	target.loop = mhd_loop_create(target.ev, target.ev, &http, handle, completed,
				      NULL, &error);
	if (!target.loop) {
		fprintf(stderr, "target: %s\n", error->message);
		return 1;
	}
	schedule_announce(0);
	return tevent_loop_wait(target.ev) != 0;
}
