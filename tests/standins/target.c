/* Stand-in for a target: slots, random service time, cold start, load shedding, leave,
 * crash, calls to other services. See apply_path_options() and handle_control(). */
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
#define REPORT_INTERVAL_MS 1000
#define FILL_BYTE 'x'
#define RESPONSE_BLOCK_BYTES 32768
#define SHED_FACTOR 2.0 /* refuses requests at this multiple of the capacity */
#define WARMUP_STEP 0.5 /* capacity gained with each completed request */

typedef struct arguments {
	struct sockaddr_in listen;
	char listen_text[ADDRESS_TEXT_BYTES];
	char *node; /* IP:PORT of the node's target listener */
	char *service;
	char *calls; /* comma-separated services called for each request */
	char *history;
	char *version;	   /* reported; NULL if none */
	double fail_share; /* part of the requests that get 500 */
	int slots;
	int cold_slots;
	double service_ms; /* mean service time */
	unsigned int seed;
} arguments_t;

static struct {
	arguments_t args;
	struct tevent_context *ev;
	mhd_loop_t *loop;
	curl_loop_t *curl;
	GRand *rand;
	FILE *history;
	int running;		  /* requests */
	double capacity;	  /* requests that can run at once; grows to args.slots */
	double slow_factor;	  /* multiplies the service time */
	bool leaving;		  /* reports its leave and refuses requests */
	bool misleading;	  /* set by /control/mislead; not read */
	json_int_t answered;	  /* completed requests */
	json_int_t overloaded;	  /* requests started above the capacity */
	json_int_t peak_overload; /* largest number of requests above the capacity */
} target = {.slow_factor = 1};

typedef struct request {
	struct MHD_Connection *connection;
	char *context; /* Egret-Context header, sent on with each call */
	char *id;      /* X-Test-Id header */
	char *path;
	char *method;
	size_t body_bytes;
	uint64_t body_sum;
	bool started;
	bool suspended;
	bool response_ready;
	bool disconnected;
	unsigned int status;
	bool not_run;
	char **calls;  /* services to call */
	int next_call; /* index in calls */
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	struct tevent_timer *timer;
	size_t response_bytes;
	size_t response_sent; /* not used */
	size_t crash_after_bytes;
} request_t;

/* Writes a line of JSON, which tests/history/check.py reads; "bears" is the capacity. */
static void write_history(const request_t *req, const char *event)
{
	if (!target.history)
		return;
	fprintf(target.history,
		"{\"time\":%" G_GINT64_FORMAT ",\"event\":\"%s\",\"id\":\"%s\","
		"\"service\":\"%s\",\"target\":\"%s\",\"running\":%d,\"bears\":%.1f,"
		"\"slots\":%d}\n",
		clock_boot_usec(), event, req->id, target.args.service,
		target.args.listen_text, target.running, target.capacity,
		target.args.slots);
	fflush(target.history);
}

static const char *find_header(const request_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name);
}

static void finish_request(request_t *req, unsigned int status)
{
	req->response_ready = true;
	req->status = status;
	if (req->started) {
		target.running--;
		req->started = false;
		target.answered++;
		target.capacity = fmin(target.capacity + WARMUP_STEP, target.args.slots);
		write_history(req, "end");
	}
	if (!req->suspended)
		return;
	req->suspended = false;
	mhd_loop_unwatch(target.loop, req->connection);
	mhd_loop_resume(target.loop, req->connection);
}

static void call_next_service(request_t *req);

static size_t discard_data(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

static void handle_outbound_done(void *ctx, CURL *easy, CURLcode code)
{
	request_t *req = ctx;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	req->easy = NULL;
	curl_slist_free_all(req->headers);
	req->headers = NULL;
	g_clear_pointer(&req->url, g_free);
	if (code != CURLE_OK || status >= 400) {
		finish_request(req, 502);
		return;
	}
	call_next_service(req);
}

static void add_header(request_t *req, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	req->headers = curl_slist_append(req->headers, line);
	g_free(line);
}

static void call_next_service(request_t *req)
{
	const char *service = req->calls ? req->calls[req->next_call] : NULL;

	if (!service) {
		bool fails = g_rand_double(target.rand) < target.args.fail_share;
		finish_request(req, fails ? 500 : 200);
		return;
	}
	req->next_call++;
	req->easy = curl_loop_acquire(target.curl);
	req->url = g_strdup_printf("http://%s/call/%s%s", target.args.node, service,
				   req->path);
	if (req->context)
		add_header(req, "Egret-Context", req->context);
	add_header(req, "X-Test-Id", req->id);
	curl_easy_setopt(req->easy, CURLOPT_URL, req->url);
	curl_easy_setopt(req->easy, CURLOPT_HTTPHEADER, req->headers);
	curl_easy_setopt(req->easy, CURLOPT_WRITEFUNCTION, discard_data);
	if (strcmp(req->method, "POST") == 0)
		curl_easy_setopt(req->easy, CURLOPT_POSTFIELDS, "");
	curl_loop_start(target.curl, req->easy, handle_outbound_done, req);
}

static void handle_service_timer(struct tevent_context *ev, struct tevent_timer *te,
				 struct timeval when, void *private_data)
{
	request_t *req = private_data;

	req->timer = NULL;
	call_next_service(req);
}

/* Half of the mean is fixed, half is random. An overload multiplies it by load^2. */
static double service_time_ms(void)
{
	double load = fmax((double)target.running / fmax(target.capacity, 1), 1);
	double draw = -log(1 - g_rand_double(target.rand)); /* exponential, mean 1 */

	return target.args.service_ms * target.slow_factor * load * load *
	       fmin(0.5 + 0.5 * draw, 3); /* at most 3 times the mean */
}

static size_t path_number(const char *path, const char *name)
{
	const char *found = strstr(path, name);

	return found ? strtoull(found + strlen(name), NULL, 10) : 0;
}

/* bytes=N: respond with N bytes; die=N: crash after N of them; crash: crash at once. */
static void apply_path_options(request_t *req)
{
	req->response_bytes = path_number(req->path, "bytes=");
	req->crash_after_bytes = path_number(req->path, "die=");
	if (strstr(req->path, "crash"))
		_exit(70);
}

static void handle_disconnect(void *ctx)
{
	request_t *req = ctx;

	req->disconnected = true;
	write_history(req, "cancelled");
	if (req->suspended) {
		req->suspended = false;
		mhd_loop_resume(target.loop, req->connection);
	}
}

static void start_request(request_t *req)
{
	req->started = true;
	target.running++;
	if (target.running > target.capacity) {
		target.overloaded++;
		target.peak_overload = MAX(target.peak_overload,
					   target.running - (json_int_t)target.capacity);
	}
	write_history(req, "start");
	apply_path_options(req);
	uint32_t usec = (uint32_t)(service_time_ms() * 1000);
	req->suspended = true;
	MHD_suspend_connection(req->connection);
	mhd_loop_watch(target.loop, req->connection, handle_disconnect, req);
	req->timer = tevent_add_timer(
		target.ev, target.ev,
		tevent_timeval_current_ofs(usec / 1000000, usec % 1000000),
		handle_service_timer, req);
}

static ssize_t write_block(void *ctx, uint64_t position, char *buffer, size_t size)
{
	request_t *req = ctx;

	if (req->crash_after_bytes && position >= req->crash_after_bytes)
		_exit(70);
	size_t n = MIN(size, req->response_bytes - (size_t)position);
	memset(buffer, FILL_BYTE, n);
	return (ssize_t)n;
}

static enum MHD_Result send_response(request_t *req)
{
	struct MHD_Response *response;
	char text[256];

	if (req->response_bytes > 0) {
		response = MHD_create_response_from_callback(req->response_bytes,
							     RESPONSE_BLOCK_BYTES,
							     write_block, req, NULL);
	} else {
		snprintf(text, sizeof(text), "%s %zu %" G_GUINT64_FORMAT "\n", req->id,
			 req->body_bytes, req->body_sum);
		response = MHD_create_response_from_buffer(strlen(text), text,
							   MHD_RESPMEM_MUST_COPY);
	}
	if (req->not_run)
		MHD_add_response_header(response, "Egret-Outcome", "not-run");
	MHD_add_response_header(response, "X-Test-Target", target.args.listen_text);
	/* Shows the tests whether the caller's key reached the target. */
	MHD_add_response_header(response, "X-Test-Saw-Key",
				find_header(req, "Authorization") ? "yes" : "no");
	enum MHD_Result result =
		MHD_queue_response(req->connection, req->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result admit(request_t *req)
{
	if (target.running >= target.capacity * SHED_FACTOR || target.leaving) {
		req->not_run = true;
		req->response_ready = true;
		req->status = 503;
		return send_response(req);
	}
	start_request(req);
	return MHD_YES;
}

static request_t *create_request(struct MHD_Connection *connection, const char *url,
				 const char *method)
{
	request_t *req = g_new0(request_t, 1);

	req->connection = connection;
	req->method = g_strdup(method);
	req->path = g_strdup(url);
	req->context = g_strdup(find_header(req, "Egret-Context"));
	req->id = g_strdup(find_header(req, "X-Test-Id"));
	if (!req->id)
		req->id = g_strdup("-");
	if (target.args.calls)
		req->calls = g_strsplit(target.args.calls, ",", -1);
	return req;
}

/* Handles /control/{slow/FACTOR,cold,leave,mislead,stats}; responds with statistics. */
static enum MHD_Result handle_control(struct MHD_Connection *connection, const char *url)
{
	if (g_str_has_prefix(url, "/control/slow/"))
		target.slow_factor = atof(url + strlen("/control/slow/"));
	if (strcmp(url, "/control/cold") == 0)
		target.capacity = target.args.cold_slots;
	if (strcmp(url, "/control/leave") == 0)
		target.leaving = true;
	if (strcmp(url, "/control/mislead") == 0)
		target.misleading = true;
	json_t *json =
		json_pack("{s:i, s:f, s:I, s:I, s:I}", "running", target.running, "bears",
			  target.capacity, "answered", target.answered, "overloaded",
			  target.overloaded, "peak_over", target.peak_overload);
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result result =
		mhd_respond_text(connection, 200, "application/json", text);
	free(text);
	json_decref(json);
	return result;
}

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *connection,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *data_len, void **state)
{
	request_t *req = *state;

	if (!req) {
		*state = create_request(connection, url, method);
		return MHD_YES;
	}
	if (*data_len > 0) {
		for (size_t i = 0; i < *data_len; i++)
			req->body_sum += (unsigned char)data[i];
		req->body_bytes += *data_len;
		*data_len = 0;
		return MHD_YES;
	}
	if (g_str_has_prefix(url, "/control/"))
		return handle_control(connection, url);
	if (req->disconnected)
		return MHD_NO;
	return req->response_ready ? send_response(req) : admit(req);
}

static void handle_completed(void *ctx, struct MHD_Connection *connection, void **state,
			     enum MHD_RequestTerminationCode code)
{
	request_t *req = *state;

	if (!req)
		return;
	TALLOC_FREE(req->timer);
	if (req->easy)
		curl_loop_stop(target.curl, req->easy);
	curl_slist_free_all(req->headers);
	if (req->started)
		target.running--;
	g_strfreev(req->calls);
	g_free(req->url);
	g_free(req->context);
	g_free(req->id);
	g_free(req->path);
	g_free(req->method);
	g_free(req);
	*state = NULL;
}

static void schedule_report(uint32_t delay_ms);

static void handle_report_done(void *ctx, CURL *easy, CURLcode code)
{
	curl_slist_free_all(ctx);
	schedule_report(code == CURLE_OK ? REPORT_INTERVAL_MS : 100);
}

static void send_report(struct tevent_context *ev, struct tevent_timer *te,
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
			 "\"cold_slots\":%d%s%s%s}",
			 target.args.service, target.args.listen_text, target.args.slots,
			 target.args.cold_slots,
			 target.args.version ? ",\"version\":\"" : "",
			 target.args.version ? target.args.version : "",
			 target.args.version ? "\"" : "");
		snprintf(url, sizeof(url), "http://%s/v1/target", target.args.node);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
	}
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_data);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 2000L);
	curl_loop_start(target.curl, easy, handle_report_done, headers);
}

static void schedule_report(uint32_t delay_ms)
{
	tevent_add_timer(
		target.ev, target.ev,
		tevent_timeval_current_ofs(delay_ms / 1000, delay_ms % 1000 * 1000),
		send_report, NULL);
}

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, NULL, 0}, {"node", 'n', "IP:PORT", 0, NULL, 0},
	{"service", 's', "NAME", 0, NULL, 0},	{"calls", 'c', "NAMES", 0, NULL, 0},
	{"slots", 'S', "N", 0, NULL, 0},	{"cold-slots", 'C', "N", 0, NULL, 0},
	{"service-ms", 'm', "MS", 0, NULL, 0},	{"seed", 'r', "N", 0, NULL, 0},
	{"history", 'h', "FILE", 0, NULL, 0},	{"version", 'v', "NAME", 0, NULL, 0},
	{"fail", 'f', "FRACTION", 0, NULL, 0},	{NULL, 0, NULL, 0, NULL, 0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	arguments_t *args = state->input;

	switch (key) {
	case 'l':
		if (!address_parse(arg, &args->listen, NULL))
			argp_error(state, "invalid address %s: must be IP:PORT", arg);
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
	case 'v':
		args->version = arg;
		return 0;
	case 'f':
		args->fail_share = atof(arg);
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
		fprintf(stderr, "target: --listen, --node and --service are required\n");
		return 2;
	}
	if (target.args.history)
		target.history = fopen(target.args.history, "a");
	target.capacity = target.args.cold_slots;
	target.rand = g_rand_new_with_seed(target.args.seed);
	target.ev = tevent_context_init(NULL);
	target.curl = curl_loop_create(target.ev, target.ev, 2000);
	mhd_loop_options_t http = {.address = target.args.listen,
				   .idle_timeout_sec = IDLE_TIMEOUT_SEC};
	target.loop = mhd_loop_create(target.ev, target.ev, &http, handle_request,
				      handle_completed, NULL, &error);
	if (!target.loop) {
		fprintf(stderr, "target: %s\n", error->message);
		return 1;
	}
	schedule_report(0);
	return tevent_loop_wait(target.ev) != 0;
}
