/* Tests what a transfer that could not connect states about the server. */
#include "case.h"

#include "http/curl_loop.h"

#include <arpa/inet.h>
#include <glib.h>
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

int main(void)
{
	return RUN_CASES("refused", refused_cases, test_refused);
}
