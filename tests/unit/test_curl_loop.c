/* Tests what a transfer that could not connect states about the server, and that a
 * transfer ends as a success only with a head whose status is one of a final response. */
#include "case.h"

#include "http/curl_loop.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

typedef enum attempt {
	ATTEMPT_NONE,
	ATTEMPT_NO_LISTENER,
	ATTEMPT_NO_DESCRIPTOR, /* the process has no descriptor for a socket */
} attempt_t;

typedef struct refused_case {
	const char *name;
	attempt_t first; /* with the same handle */
	attempt_t second;
	bool refused; /* stated of the second */
} refused_case_t;

typedef struct result {
	bool done;
	bool refused;
} result_t;

static void handle_done(void *ctx, CURL *easy, CURLcode code)
{
	result_t *result = ctx;

	result->done = true;
	result->refused = curl_loop_refused(easy, code);
}

/* Returns the URL of an address at which nothing listens. */
static char *unused_url(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, len), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &len), 0);
	close(fd);
	return g_strdup_printf("http://127.0.0.1:%u/", ntohs(address.sin_port));
}

static bool attempt(struct tevent_context *ev, curl_loop_t *loop, const char *url,
		    attempt_t kind)
{
	struct rlimit limit;
	struct rlimit none;
	result_t result = {0};

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &limit), 0);
	none = (struct rlimit){.rlim_cur = 0, .rlim_max = limit.rlim_max};
	CURL *easy = curl_loop_acquire(loop);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	if (kind == ATTEMPT_NO_DESCRIPTOR)
		assert_int_equal(setrlimit(RLIMIT_NOFILE, &none), 0);
	assert_true(curl_loop_start(loop, easy, handle_done, &result));
	while (!result.done && tevent_loop_once(ev) == 0)
		;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &limit), 0);
	return result.refused;
}

static void test_refused(void **state)
{
	const refused_case_t *c = *state;
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 2);
	char *url = unused_url();

	if (c->first != ATTEMPT_NONE)
		attempt(ev, loop, url, c->first);
	assert_int_equal(attempt(ev, loop, url, c->second), c->refused);
	g_free(url);
	curl_loop_destroy(loop);
	talloc_free(ev);
}

static const refused_case_t refused_cases[] = {
	{"no listener", ATTEMPT_NONE, ATTEMPT_NO_LISTENER, true},
	{"no listener twice", ATTEMPT_NO_LISTENER, ATTEMPT_NO_LISTENER, true},
	{"no descriptor", ATTEMPT_NONE, ATTEMPT_NO_DESCRIPTOR, false},
	{"no descriptor after no listener", ATTEMPT_NO_LISTENER, ATTEMPT_NO_DESCRIPTOR,
	 false},
	{"no listener after no descriptor", ATTEMPT_NO_DESCRIPTOR, ATTEMPT_NO_LISTENER,
	 true},
};

/* --- Statuses ------------------------------------------------------------------ */

#define BODY "Content-Length: 2\r\n\r\nok"

typedef struct status_case {
	const char *name;
	const char *text; /* that the server writes before it closes the connection */
	uint32_t status;  /* 0 if the transfer fails */
} status_case_t;

typedef struct server {
	int fd;
	const char *text;
} server_t;

typedef struct outcome {
	bool done;
	CURLcode code;
	uint32_t status; /* of the head that was passed on; 0 if none was */
} outcome_t;

static void *serve_once(void *data)
{
	const server_t *server = data;
	char request[1024];
	int fd = accept(server->fd, NULL, NULL);

	assert_true(recv(fd, request, sizeof(request), 0) > 0);
	assert_int_equal(send(fd, server->text, strlen(server->text), MSG_NOSIGNAL),
			 strlen(server->text));
	shutdown(fd, SHUT_WR);
	while (recv(fd, request, sizeof(request), 0) > 0)
		;
	close(fd);
	return NULL;
}

static char *listen_url(server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);

	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&address, len), 0);
	assert_int_equal(getsockname(server->fd, (struct sockaddr *)&address, &len), 0);
	assert_int_equal(listen(server->fd, 1), 0);
	return g_strdup_printf("http://127.0.0.1:%u/", ntohs(address.sin_port));
}

static bool handle_head(void *ctx, const response_head_t *head)
{
	outcome_t *outcome = ctx;

	outcome->status = head->status;
	return true;
}

static size_t discard_body(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

static void handle_outcome(void *ctx, CURL *easy, CURLcode code)
{
	(void)easy;
	outcome_t *outcome = ctx;

	outcome->done = true;
	outcome->code = code;
}

static void test_status(void **state)
{
	const status_case_t *c = *state;
	struct tevent_context *ev = tevent_context_init(NULL);
	curl_loop_t *loop = curl_loop_create(ev, ev, 2);
	server_t server = {.text = c->text};
	outcome_t outcome = {0};
	char *url = listen_url(&server);
	GThread *thread = g_thread_new("server", serve_once, &server);
	CURL *easy = curl_loop_acquire(loop);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_loop_on_head(easy, handle_head, &outcome);
	assert_true(curl_loop_start(loop, easy, handle_outcome, &outcome));
	while (!outcome.done && tevent_loop_once(ev) == 0)
		;
	assert_int_equal(outcome.code == CURLE_OK, c->status != 0);
	assert_int_equal(outcome.status, c->status);
	curl_loop_destroy(loop);
	g_thread_join(thread);
	close(server.fd);
	g_free(url);
	talloc_free(ev);
}

static const status_case_t status_cases[] = {
	{"a response", "HTTP/1.1 200 X\r\n" BODY, 200},
	{"a response without a body", "HTTP/1.1 204 X\r\n\r\n", 204},
	{"nothing", "", 0},
	{"a body without a head", "ok", 0},
	{"a body without a head, of several lines", "ok\r\n\r\nok\r\n", 0},
	{"part of a status line", "HTTP/1.1 200", 0},
	{"status 000", "HTTP/1.1 000 X\r\n" BODY, 0},
	{"status 000 without a body", "HTTP/1.1 000 X\r\n\r\n", 0},
	{"status 099", "HTTP/1.1 099 X\r\n" BODY, 0},
	{"status 00", "HTTP/1.1 00 X\r\n" BODY, 0},
	{"status 0200", "HTTP/1.1 0200 X\r\n" BODY, 0},
	{"status +20", "HTTP/1.1 +20 X\r\n" BODY, 0},
	{"status 2000", "HTTP/1.1 2000 X\r\n" BODY, 0},
	{"status 600", "HTTP/1.1 600 X\r\n" BODY, 0},
	{"status 999", "HTTP/1.1 999 X\r\n" BODY, 0},
	{"status 101", "HTTP/1.1 101 X\r\n\r\n", 0},
	{"status 101 before a response", "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 X\r\n" BODY,
	 0},
	{"an interim response alone", "HTTP/1.1 100 X\r\n\r\n", 0},
	{"status 000 before a response", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 X\r\n" BODY,
	 0},
	{"interim responses before a response",
	 "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 X\r\n" BODY, 200},
};

int main(void)
{
	int failed = RUN_CASES("refused", refused_cases, test_refused);

	failed += RUN_CASES("status", status_cases, test_status);
	return failed;
}
