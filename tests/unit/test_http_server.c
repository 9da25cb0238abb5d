/* Tests of the server's limits with connections over loopback; sweeps in virtual time. */
#include "case.h"

#include "http/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Turns of the event loop in which a connection and its first bytes are handled. */
#define TURNS 20
#define TURN_MS 10

static size_t body_bytes;

static size_t body_room(void *request)
{
	(void)request;
	return SIZE_MAX;
}

static void handle_body(void *request, const char *data, size_t len)
{
	(void)request;
	(void)data;
	body_bytes += len;
}

static bool closes(void *request)
{
	(void)request;
	return false;
}

static void *handle_request(void *ctx, http_exchange_t *exchange)
{
	(void)exchange;
	return ctx;
}

static void handle_closed(void *request)
{
	(void)request;
}

static const http_server_ops_t ops = {
	.on_request = handle_request,
	.body_room = body_room,
	.on_body = handle_body,
	.closes = closes,
	.on_closed = handle_closed,
};

static void handle_turn(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	*(bool *)private_data = true;
}

static void run_turns(struct tevent_context *ev)
{
	for (int i = 0; i < TURNS; i++) {
		bool ended = false;
		tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TURN_MS * 1000),
				 handle_turn, &ended);
		while (!ended)
			tevent_loop_once(ev);
	}
}

/* A listener's port that was free a moment ago. */
static struct sockaddr_in free_address(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, len), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &len), 0);
	close(fd);
	return address;
}

static http_server_t *start_server(struct tevent_context *ev, usec_t head_timeout,
				   struct sockaddr_in *address)
{
	http_server_options_t options = {
		.address = free_address(),
		.idle_timeout = 120 * USEC_PER_SEC,
		.connections_max = 8,
		.connections_kept = 8,
		.pipeline = {.requests_max = 4, .bytes_max = 65536},
		.name = "test",
		.address_share_percent = 100,
		.head_timeout = head_timeout,
	};
	http_server_t *server = http_server_create(ev, ev, &options, &ops, NULL, NULL);

	assert_non_null(server);
	*address = options.address;
	return server;
}

static int connect_to(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (const struct sockaddr *)address, sizeof(*address)),
			 0);
	return fd;
}

#define HEAD "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
#define SENT_MIN (64u << 10)
#define TURN_BYTES_MAX (16u << 10)

/* Guards against one connection whose client sends faster than it is served, and that
 * keeps the others waiting since it is read until nothing is left. */
static void test_turn(void **state)
{
	(void)state;
	static char part[SENT_MIN];
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sockaddr_in address;
	http_server_t *server = start_server(ev, 0, &address);
	int fd = connect_to(&address);
	size_t most = 0;
	size_t all = 0;

	assert_int_equal(send(fd, HEAD, strlen(HEAD), 0), strlen(HEAD));
	run_turns(ev);
	assert_int_equal(send(fd, part, sizeof(part), 0), sizeof(part));
	while (all < sizeof(part)) {
		body_bytes = 0;
		tevent_loop_once(ev);
		most = MAX(most, body_bytes);
		all += body_bytes;
	}
	assert_true(most <= TURN_BYTES_MAX);
	close(fd);
	http_server_destroy(server);
	talloc_free(ev);
}

typedef struct head_case {
	const char *name;
	usec_t head_timeout;
	usec_t period; /* of the sweeps */
	int sweeps;    /* until the head must be closed, or must still be open */
	bool closed;
} head_case_t;

/* Guards against unfinished heads that stay open, since the usual time between two sweeps
 * is taken for a pause of the process. */
static void test_head_timeout(void **state)
{
	const head_case_t *c = *state;
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sockaddr_in address;
	http_server_t *server = start_server(ev, c->head_timeout, &address);
	usec_t now = clock_boot_usec();
	int fd = connect_to(&address);
	http_server_sweep(server, now);
	assert_int_equal(send(fd, "GET", 3, 0), 3);
	run_turns(ev);
	now = clock_boot_usec();
	for (int i = 0; i < c->sweeps; i++, now += c->period)
		http_server_sweep(server, now);
	struct pollfd pollfd = {.fd = fd, .events = POLLIN};
	assert_int_equal(poll(&pollfd, 1, TURN_MS), c->closed);
	close(fd);
	http_server_destroy(server);
	talloc_free(ev);
}

#define TICK (USEC_PER_SEC + 20 * USEC_PER_MSEC) /* a sweep is up to a tick late */

static const head_case_t head_cases[] = {
	{"head: 10 s", 10 * USEC_PER_SEC, TICK, 12, true},
	{"head: 10 s, not yet", 10 * USEC_PER_SEC, TICK, 9, false},
	{"head: 3 s", 3 * USEC_PER_SEC, TICK, 5, true},
	{"head: 2 s", 2 * USEC_PER_SEC, TICK, 4, true},
	{"head: 1 s", 1 * USEC_PER_SEC, TICK, 3, true},
	{"head: 2 s, not yet", 2 * USEC_PER_SEC, TICK, 1, false},
	{"head: after a pause", 2 * USEC_PER_SEC, 4 * USEC_PER_SEC, 2, false},
};

int main(void)
{
	const struct CMUnitTest single[] = {cmocka_unit_test(test_turn)};

	return RUN_CASES("head timeout", head_cases, test_head_timeout) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
