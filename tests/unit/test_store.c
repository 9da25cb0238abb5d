/* Tests how the client of the platform's store takes responses that break off, pages of a
 * list that changes meanwhile, connections that are kept, and a store that is restored
 * from a copy, with a server on a loopback socket. */
#include "case.h"

#include "common/error.h"
#include "common/revision.h"
#include "http/curl_loop.h"
#include "platform/store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <tevent.h>
#include <unistd.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define COMMITTED "{\"ver\":7}"

typedef enum call_kind {
	CALL_PUT,
	CALL_GET,
	CALL_COMMIT,
	CALL_ROWS
} call_kind_t;

typedef struct store_case {
	const char *name;
	call_kind_t kind;
	const char *response; /* to each request; the server then closes */
	int error;	      /* expected code; 0 for success */
} store_case_t;

typedef struct server {
	int fd;
	const char *response;
	GThread *thread;
} server_t;

/* Reads the head of a request and the body that its length states; returns its length. */
static size_t read_request_text(int fd, char *data, size_t size)
{
	size_t len = 0;
	ssize_t n;

	while (len < size - 1 && (n = recv(fd, data + len, size - 1 - len, 0)) > 0) {
		len += (size_t)n;
		data[len] = '\0';
		const char *end = strstr(data, "\r\n\r\n");
		const char *length = strstr(data, "Content-Length: ");
		guint64 body = length ? g_ascii_strtoull(length + 16, NULL, 10) : 0;
		if (end && (size_t)(end + 4 - data) + body <= len)
			return len;
	}
	return 0;
}

static void read_request(int fd)
{
	char data[8192];

	read_request_text(fd, data, sizeof(data));
}

static void *serve(void *data)
{
	const server_t *server = data;
	char rest[256];
	int fd;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		read_request(fd);
		send(fd, server->response, strlen(server->response), MSG_NOSIGNAL);
		shutdown(fd, SHUT_WR);
		while (recv(fd, rest, sizeof(rest), 0) > 0)
			;
		close(fd);
	}
	return NULL;
}

/* Returns the URL of the socket. */
static char *listen_on_loopback(server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&address, len), 0);
	assert_int_equal(listen(server->fd, 8), 0);
	getsockname(server->fd, (struct sockaddr *)&address, &len);
	return g_strdup_printf("http://127.0.0.1:%u", ntohs(address.sin_port));
}

/* Returns the URL of the server. */
static char *start_server(server_t *server, const char *response)
{
	char *url = listen_on_loopback(server);

	server->response = response;
	server->thread = g_thread_new("server", serve, server);
	return url;
}

static void stop_server(server_t *server)
{
	shutdown(server->fd, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->fd);
}

typedef struct result {
	bool done;
	int error;
} result_t;

static void finish(result_t *result, const GError *error)
{
	result->done = true;
	result->error = error ? error->code : 0;
}

static void handle_object(void *ctx, const uint8_t *data, size_t len, const GError *error)
{
	(void)data;
	(void)len;
	finish(ctx, error);
}

static void handle_commit(void *ctx, uint64_t revision, const GError *error)
{
	assert_int_equal(revision, error ? 0 : 7);
	finish(ctx, error);
}

static void handle_rows(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	(void)revision;
	(void)rows;
	(void)count;
	finish(ctx, error);
}

static void start_call(store_t *store, call_kind_t kind, result_t *result)
{
	static const store_write_t write = {.key = "claim/a/b", .value = "{}"};

	switch (kind) {
	case CALL_PUT:
		store_object_put(store, "o", (const uint8_t *)"x", 1, handle_object,
				 result);
		break;
	case CALL_GET:
		store_object_get(store, "o", handle_object, result);
		break;
	case CALL_COMMIT:
		store_commit(store, &write, 1, handle_commit, result);
		break;
	case CALL_ROWS:
		store_changes(store, "record/", 0, handle_rows, result);
		break;
	}
}

static void test_store(void **state)
{
	const store_case_t *c = *state;
	server_t server;
	result_t result = {0};
	char *url = start_server(&server, c->response);
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 2);
	store_t *store = platform_store_create(loop, url, RECORD_SOURCE_ROWS, NULL);

	start_call(store, c->kind, &result);
	while (!result.done && tevent_loop_once(ev) == 0)
		;
	assert_int_equal(result.error, c->error);
	store_destroy(store);
	curl_loop_destroy(loop);
	talloc_free(ev);
	stop_server(&server);
	g_free(url);
}

static const store_case_t store_cases[] = {
	{"put: acknowledged", CALL_PUT, OK "Content-Length: 0\r\n\r\n", 0},
	{"put: only a status line", CALL_PUT, OK, EGRET_ERROR_UNKNOWN_RESULT},
	{"put: no empty line", CALL_PUT, OK "Content-Length: 0\r\n",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"put: part of a header line", CALL_PUT, OK "Content-Le",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"put: only an interim head", CALL_PUT, "HTTP/1.1 100 Continue\r\n\r\n",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"put: part of the body", CALL_PUT, OK "Content-Length: 9\r\n\r\n{}",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"put: not done", CALL_PUT, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
	 EGRET_ERROR_UNAVAILABLE},
	{"put: a refusal without its empty line", CALL_PUT, "HTTP/1.1 503 X\r\n",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"get: complete", CALL_GET, OK "Content-Length: 2\r\n\r\nok", 0},
	{"get: only a status line", CALL_GET, OK, EGRET_ERROR_UNKNOWN_RESULT},
	{"get: part of the body", CALL_GET, OK "Content-Length: 3\r\n\r\nok",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"get: chunks without an end", CALL_GET,
	 OK "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", EGRET_ERROR_UNKNOWN_RESULT},
	{"commit: acknowledged", CALL_COMMIT, OK "Content-Length: 9\r\n\r\n" COMMITTED,
	 0},
	{"commit: only a status line", CALL_COMMIT, OK, EGRET_ERROR_UNKNOWN_RESULT},
	{"commit: part of the body", CALL_COMMIT,
	 OK "\r\n{\"ver\":", EGRET_ERROR_UNKNOWN_RESULT},
	{"commit: conflict without the empty line", CALL_COMMIT, "HTTP/1.1 412 X\r\n",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"commit: a refusal without its empty line", CALL_COMMIT, "HTTP/1.1 503 X\r\n",
	 EGRET_ERROR_UNKNOWN_RESULT},
	{"rows: complete", CALL_ROWS,
	 OK "Content-Length: 20\r\n\r\n{\"rows\":[],\"ver\":12}", 0},
	{"rows: only a status line", CALL_ROWS, OK, EGRET_ERROR_UNKNOWN_RESULT},
	{"rows: part of the body", CALL_ROWS, OK "\r\n{\"rows\":[],", EGRET_ERROR_JSON},
};

/* A server that keeps its connections and responds to the requests in turn. */
typedef struct script {
	int fd;
	const char *const *bodies; /* of the responses, NULL-terminated */
	int connections;
	GThread *thread;
} script_t;

static void *serve_script(void *data)
{
	script_t *script = data;
	const char *const *body = script->bodies;
	int fd;

	while (*body && (fd = accept(script->fd, NULL, NULL)) >= 0) {
		struct timeval limit = {.tv_usec = 200000};
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		script->connections++;
		while (*body) {
			char first;
			if (recv(fd, &first, 1, MSG_PEEK) <= 0)
				break;
			read_request(fd);
			char *text = g_strdup_printf(OK "Content-Length: %zu\r\n\r\n%s",
						     strlen(*body), *body);
			send(fd, text, strlen(text), MSG_NOSIGNAL);
			g_free(text);
			body++;
		}
		close(fd);
	}
	return NULL;
}

typedef struct script_case {
	const char *name;
	const char *bodies[4]; /* to the reads, which follow each other */
	int reads;
	uint64_t after;	   /* revision that the reads start from */
	uint64_t revision; /* expected of the last read */
	int connections;   /* expected, at least */
} script_case_t;

typedef struct read_result {
	bool done;
	uint64_t revision;
} read_result_t;

static void handle_read(void *ctx, uint64_t revision, const store_row_t *rows,
			size_t count, const GError *error)
{
	read_result_t *result = ctx;

	(void)rows;
	(void)count;
	assert_null(error);
	*result = (read_result_t){true, revision};
}

static void test_reads(void **state)
{
	static const store_wait_t wait = {.response = USEC_PER_SEC};
	const script_case_t *c = *state;
	server_t server;
	script_t script = {.bodies = c->bodies};
	read_result_t result = {0};
	char *url = listen_on_loopback(&server);
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 2);
	store_t *store = platform_store_create(loop, url, RECORD_SOURCE_ROWS, NULL);

	script.fd = server.fd;
	script.thread = g_thread_new("script", serve_script, &script);
	for (int i = 0; i < c->reads; i++) {
		result.done = false;
		store_watch(store, "record/", c->after, &wait, handle_read, &result);
		while (!result.done && tevent_loop_once(ev) == 0)
			;
	}
	assert_int_equal(result.revision, c->revision);
	store_destroy(store);
	curl_loop_destroy(loop);
	talloc_free(ev);
	g_thread_join(script.thread);
	close(server.fd);
	assert_true(script.connections >= c->connections);
	g_free(url);
}

#define ROW(key, ver)                                                                    \
	"{\"table\":\"record\",\"key\":\"" key "\",\"ver\":" ver ",\"value\":\"e30=\"}"

static const script_case_t script_cases[] = {
	{"a list is complete up to the revision of its first page, as rows of that page "
	 "may "
	 "change before the next",
	 {"{\"rows\":[" ROW("a", "3") "],\"has_more\":true,\"ver\":5}",
	  "{\"rows\":[" ROW("b", "8") "],\"has_more\":false,\"ver\":9}"},
	 1,
	 0,
	 5,
	 1},
	{"a read that does not wait for a change uses a new connection, as kept ones may "
	 "be "
	 "lost without a sign",
	 {"{\"rows\":[],\"ver\":5}", "{\"rows\":[],\"ver\":6}"},
	 2,
	 4,
	 6,
	 2},
};

/* A response of the store, in turn, and what its request must contain. */
typedef struct era_response {
	const char *request;
	const char *era;  /* the header's value, or NULL for none */
	int status;	  /* 0: the connection is closed without a response */
	const char *body; /* %s: the value of the last commit */
} era_response_t;

typedef struct era_call {
	call_kind_t kind;
	uint64_t revision; /* rows: that the watch starts from; commit: that it expects */
	int error;	   /* expected code; 0 for success */
	uint64_t result;   /* expected revision, or highest one of the rows */
} era_call_t;

typedef struct era_case {
	const char *name;
	era_call_t calls[4];
	era_response_t responses[8];
} era_case_t;

typedef struct era_server {
	int fd;
	const era_response_t *responses;
	char *mismatch; /* first request that was not the expected one */
	char *value;	/* of the last commit, in base64 */
	GThread *thread;
} era_server_t;

static void check_request(era_server_t *server, const char *text, const char *expected)
{
	const char *value = strstr(text, "\"value\":\"");

	if (value) {
		value += strlen("\"value\":\"");
		g_free(server->value);
		server->value = g_strndup(value, strcspn(value, "\""));
	}
	if (!strstr(text, expected) && !server->mismatch)
		server->mismatch = g_strdup_printf("%s is not in %s", expected, text);
}

static void send_response(const era_server_t *server, int fd,
			  const era_response_t *response)
{
	char **parts = g_strsplit(response->body ? response->body : "{}", "%s", 2);
	char *body = g_strjoinv(server->value ? server->value : "", parts);
	char *era = response->era ? g_strdup_printf("Store-Era: %s\r\n", response->era)
				  : g_strdup("");
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\n%sConnection: close\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     response->status, era, strlen(body), body);

	if (response->status > 0)
		send(fd, text, strlen(text), MSG_NOSIGNAL);
	g_free(text);
	g_free(era);
	g_free(body);
	g_strfreev(parts);
}

static void *serve_eras(void *data)
{
	era_server_t *server = data;
	const era_response_t *response = server->responses;
	char text[8192];
	int fd;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		size_t len = read_request_text(fd, text, sizeof(text));
		if (len == 0 || !response->request) {
			if (len > 0)
				check_request(server, text, "no further request");
			close(fd);
			continue;
		}
		check_request(server, text, response->request);
		send_response(server, fd, response);
		response++;
		shutdown(fd, SHUT_WR);
		while (recv(fd, text, sizeof(text), 0) > 0)
			;
		close(fd);
	}
	if (response->request && !server->mismatch)
		server->mismatch = g_strdup_printf("not sent: %s", response->request);
	return NULL;
}

typedef struct era_result {
	bool done;
	int error;
	uint64_t revision;
} era_result_t;

static void finish_era(era_result_t *result, uint64_t revision, const GError *error)
{
	*result = (era_result_t){true, error ? error->code : 0, revision};
}

static void handle_era_commit(void *ctx, uint64_t revision, const GError *error)
{
	finish_era(ctx, revision, error);
}

static void handle_era_rows(void *ctx, uint64_t revision, const store_row_t *rows,
			    size_t count, const GError *error)
{
	for (size_t i = 0; i < count; i++)
		assert_int_equal(revision_era(rows[i].revision), revision_era(revision));
	finish_era(ctx, revision, error);
}

static void test_eras(void **state)
{
	static const store_wait_t wait = {USEC_PER_SEC, USEC_PER_SEC};
	const era_case_t *c = *state;
	server_t listener;
	char *url = listen_on_loopback(&listener);
	era_server_t server = {.fd = listener.fd, .responses = c->responses};
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 2);
	store_t *store = platform_store_create(loop, url, RECORD_SOURCE_ROWS, NULL);

	server.thread = g_thread_new("eras", serve_eras, &server);
	for (size_t i = 0; i < G_N_ELEMENTS(c->calls) && c->calls[i].kind; i++) {
		const era_call_t *call = &c->calls[i];
		store_write_t write = {"record/a", call->revision, "{}"};
		era_result_t result = {0};

		if (call->kind == CALL_ROWS)
			store_watch(store, "record/", call->revision, &wait,
				    handle_era_rows, &result);
		else
			store_commit(store, &write, 1, handle_era_commit, &result);
		while (!result.done && tevent_loop_once(ev) == 0)
			;
		assert_int_equal(result.error, call->error);
		assert_int_equal(result.revision, call->result);
	}
	store_destroy(store);
	curl_loop_destroy(loop);
	talloc_free(ev);
	shutdown(server.fd, SHUT_RDWR);
	g_thread_join(server.thread);
	close(server.fd);
	if (server.mismatch)
		fail_msg("%s", server.mismatch);
	g_free(server.value);
	g_free(url);
}

#define E(era, version) (((uint64_t)(era) << 48) + (version))
#define ROWS(rows, ver) "{\"rows\":[" rows "],\"has_more\":false,\"ver\":" ver "}"
#define MORE(rows, ver) "{\"rows\":[" rows "],\"has_more\":true,\"ver\":" ver "}"
#define COMMITTED_ROW(ver)                                                               \
	"{\"table\":\"record\",\"key\":\"a\",\"ver\":" ver ",\"value\":\"%s\"}"
#define LIST_OF_ERA(era)                                                                 \
	{                                                                                \
		"GET /rows-get", era, 200, ROWS(ROW("a", "5"), "5")                      \
	}
#define OTHER_ERA "\"ver\":281474976710655"

static const era_case_t era_cases[] = {
	{"a store without eras: versions as they are",
	 {{CALL_ROWS, 0, 0, 5}, {CALL_ROWS, 5, 0, 6}, {CALL_COMMIT, 6, 0, 7}},
	 {LIST_OF_ERA(NULL),
	  {"after=5&", NULL, 200, ROWS("", "6")},
	  {"\"ver\":6", NULL, 200, "{\"ver\":7}"}}},
	{"a later era has higher revisions, and sends the version alone",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, E(2, 5), 0, E(2, 6)},
	  {CALL_COMMIT, E(2, 6), 0, E(2, 7)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "2", 200, ROWS("", "6")},
	  {"\"ver\":6", "2", 200, "{\"ver\":7}"}}},
	{"changes since a version of the former era are not the changes since the copy",
	 {{CALL_ROWS, 0, 0, E(2, 5)}, {CALL_ROWS, E(2, 5), 0, E(3, 4)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "3", 200, ROWS(ROW("b", "6"), "6")},
	  {"GET /rows-get", "3", 200, ROWS(ROW("a", "3"), "4")}}},
	{"one response with a wrong header does not make the later ones unusable",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, E(2, 5), EGRET_ERROR_UNAVAILABLE, 0},
	  {CALL_ROWS, E(2, 5), 0, E(2, 6)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "32767", 200, ROWS("", "6")},
	  {"after=5&", "2", 200, ROWS("", "6")}}},
	{"nor does a wrong header of the first response",
	 {{CALL_ROWS, 0, EGRET_ERROR_UNAVAILABLE, 0}, {CALL_ROWS, 0, 0, E(2, 5)}},
	 {{"GET /rows-get", "32767", 200, ROWS("", "6")}, LIST_OF_ERA("2")}},
	{"a version that reaches into the era's bits does not raise the era",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, E(2, 5), EGRET_ERROR_JSON, 0},
	  {CALL_ROWS, E(2, 5), EGRET_ERROR_JSON, 0},
	  {CALL_ROWS, E(2, 5), 0, E(2, 6)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "2", 200, ROWS("", "1407374883553286")},
	  {"after=5&", "2", 200, ROWS("", "-1")},
	  {"after=5&", "2", 200, ROWS("", "6")}}},
	{"a store that came back several times is believed at once: responses of the "
	 "eras between may still arrive",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, E(2, 5), 0, E(4, 5)},
	  {CALL_ROWS, E(4, 5), EGRET_ERROR_UNAVAILABLE, 0}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "4", 200, ROWS("", "6")},
	  LIST_OF_ERA("4"),
	  {"after=5&", "3", 200, ROWS("", "6")}}},
	{"an era far above the newest one is believed at its second response",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, E(2, 5), EGRET_ERROR_UNAVAILABLE, 0},
	  {CALL_ROWS, E(2, 5), 0, E(400, 5)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "400", 200, ROWS("", "6")},
	  {"after=5&", "400", 200, ROWS("", "6")},
	  LIST_OF_ERA("400")}},
	{"a version that the copy does not have: the table is read",
	 {{CALL_ROWS, 0, 0, E(2, 5)}, {CALL_ROWS, E(2, 5), 0, E(3, 4)}},
	 {LIST_OF_ERA("2"),
	  {"after=5&", "3", 410, "{}"},
	  {"GET /rows-get", "3", 200, ROWS(ROW("a", "3"), "4")}}},
	{"the first change of the era, from a store that had none",
	 {{CALL_ROWS, 0, 0, 5}, {CALL_ROWS, 5, 0, E(1, 4)}},
	 {LIST_OF_ERA(NULL),
	  {"after=5&", "1", 200, ROWS("", "6")},
	  {"GET /rows-get", "1", 200, ROWS(ROW("a", "3"), "4")}}},
	{"a watch from a revision of the former era reads the table",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, 0, 0, E(3, 5)},
	  {CALL_ROWS, E(2, 5), 0, E(3, 5)}},
	 {LIST_OF_ERA("2"), LIST_OF_ERA("3"), LIST_OF_ERA("3")}},
	{"a delayed response of the former era is not applied",
	 {{CALL_ROWS, 0, 0, E(3, 5)}, {CALL_ROWS, 0, EGRET_ERROR_UNAVAILABLE, 0}},
	 {LIST_OF_ERA("3"), LIST_OF_ERA("2")}},
	{"nor is one without an era, once the store has one",
	 {{CALL_ROWS, 0, 0, E(3, 5)}, {CALL_ROWS, 0, EGRET_ERROR_UNAVAILABLE, 0}},
	 {LIST_OF_ERA("3"), LIST_OF_ERA(NULL)}},
	{"pages of two eras are no list",
	 {{CALL_ROWS, 0, 0, E(3, 4)}},
	 {{"from=&", "2", 200, MORE(ROW("a", "9"), "9")},
	  {"from=a", "3", 200, ROWS(ROW("b", "2"), "4")},
	  {"from=&", "3", 200, MORE(ROW("a", "3"), "4")},
	  {"from=a", "3", 200, ROWS(ROW("b", "2"), "4")}}},
	{"an era that is not a number",
	 {{CALL_ROWS, 0, EGRET_ERROR_JSON, 0}},
	 {LIST_OF_ERA("x")}},
	{"an era that does not fit",
	 {{CALL_ROWS, 0, EGRET_ERROR_JSON, 0}},
	 {LIST_OF_ERA("32768")}},
	{"a condition of the former era is a conflict, as its version is assigned again",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_ROWS, 0, 0, E(3, 5)},
	  {CALL_COMMIT, E(2, 5), EGRET_ERROR_CONFLICT, 0}},
	 {LIST_OF_ERA("2"), LIST_OF_ERA("3"), {OTHER_ERA, "3", 412, "{}"}}},
	{"a commit that the copy accepts by chance is not reported as done",
	 {{CALL_ROWS, 0, 0, E(2, 5)},
	  {CALL_COMMIT, E(2, 5), EGRET_ERROR_UNKNOWN_RESULT, 0}},
	 {LIST_OF_ERA("2"),
	  {"\"ver\":5", "3", 200, "{\"ver\":6}"},
	  {OTHER_ERA, "3", 412, "{}"},
	  {"GET /rows-get", "3", 200, ROWS(COMMITTED_ROW("6"), "6")}}},
	{"a commit whose lost response is of the former era and whose rows are gone",
	 {{CALL_ROWS, 0, 0, E(2, 5)}, {CALL_COMMIT, E(2, 5), EGRET_ERROR_CONFLICT, 0}},
	 {LIST_OF_ERA("2"),
	  {"\"ver\":5", "2", 0, NULL},
	  {"\"ver\":5", "3", 412, "{}"},
	  {"GET /rows-get", "3", 200, ROWS(ROW("a", "4"), "4")}}},
	{"an acknowledgement of the former era is not one; the commit is sent again",
	 {{CALL_ROWS, 0, 0, E(3, 5)}, {CALL_COMMIT, 0, 0, E(3, 9)}},
	 {LIST_OF_ERA("3"),
	  {"\"ver\":0", "2", 200, "{\"ver\":6}"},
	  {"\"ver\":0", "3", 200, "{\"ver\":9}"}}},
	{"a commit that creates a row may take effect in any era",
	 {{CALL_ROWS, 0, 0, E(2, 5)}, {CALL_COMMIT, 0, 0, E(3, 6)}},
	 {LIST_OF_ERA("2"), {"\"ver\":0", "3", 200, "{\"ver\":6}"}}},
};

int main(void)
{
	return RUN_CASES("eras", era_cases, test_eras) +
	       RUN_CASES("store", store_cases, test_store) +
	       RUN_CASES("reads", script_cases, test_reads);
}
