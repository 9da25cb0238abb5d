/*
 * Stand-in for a network path: forwards TCP connections from LISTEN to TARGET, and can
 * simulate a partition. The relay reads commands from standard input, one per line: "cut"
 * stops the traffic of open connections and closes new ones; any other command, by
 * convention "heal", restores the traffic. The relay prints "ok" after each command, and
 * exits at the end of the input.
 *   relay LISTEN TARGET
 */
#include "common/address.h"
#include "common/clock.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#define BUFFER_BYTES 65536

typedef struct pipe_end {
	int fd;
	struct tevent_fd *fde;
	struct pipe_end *other;
	struct relay_pipe *pipe;
	char pending[BUFFER_BYTES]; /* to be sent to this end */
	size_t pending_len;
} pipe_end_t;

/* A connection from a client and the one to the target. */
typedef struct relay_pipe {
	LIST_ENTRY(relay_pipe) link;
	pipe_end_t ends[2];
} relay_pipe_t;

static struct {
	struct tevent_context *ev;
	struct sockaddr_in listen;
	struct sockaddr_in target;
	int listen_fd;
	int udp; /* not used */
	bool cut;
	LIST_HEAD(relay_pipe_list, relay_pipe) pipes;
} relay;

static void close_pipe(relay_pipe_t *pipe)
{
	LIST_REMOVE(pipe, link);
	for (int i = 0; i < 2; i++) {
		TALLOC_FREE(pipe->ends[i].fde);
		close(pipe->ends[i].fd);
	}
	talloc_free(pipe);
}

static void update_events(pipe_end_t *end)
{
	uint16_t flags = 0;

	if (end->other->pending_len == 0)
		flags |= TEVENT_FD_READ;
	if (end->pending_len > 0)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(end->fde, flags);
}

static bool send_pending(pipe_end_t *end)
{
	ssize_t n = send(end->fd, end->pending, end->pending_len, MSG_NOSIGNAL);

	if (n < 0)
		return errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
	memmove(end->pending, end->pending + n, end->pending_len - (size_t)n);
	end->pending_len -= (size_t)n;
	return true;
}

static void handle_io(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
		      void *private_data)
{
	pipe_end_t *end = private_data;
	relay_pipe_t *pipe = end->pipe;

	/* While cut, connections stay open, but no data passes. */
	if (relay.cut) {
		tevent_fd_set_flags(fde, 0);
		return;
	}
	if ((flags & TEVENT_FD_WRITE) && end->pending_len > 0 && !send_pending(end)) {
		close_pipe(pipe);
		return;
	}
	if ((flags & TEVENT_FD_READ) && end->other->pending_len == 0) {
		ssize_t n = recv(end->fd, end->other->pending, BUFFER_BYTES, 0);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			close_pipe(pipe);
			return;
		}
		end->other->pending_len = n > 0 ? (size_t)n : 0;
		if (!send_pending(end->other)) {
			close_pipe(pipe);
			return;
		}
	}
	update_events(end);
	update_events(end->other);
}

static void handle_accept(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	int fd = accept4(relay.listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int out_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || out_fd < 0 || relay.cut ||
	    (connect(out_fd, (struct sockaddr *)&relay.target, sizeof(relay.target)) !=
		     0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		close(out_fd);
		return;
	}
	relay_pipe_t *pipe = talloc_zero(NULL, relay_pipe_t);
	int fds[] = {fd, out_fd};
	for (int i = 0; i < 2; i++) {
		pipe->ends[i].fd = fds[i];
		pipe->ends[i].pipe = pipe;
		pipe->ends[i].other = &pipe->ends[1 - i];
		pipe->ends[i].fde = tevent_add_fd(relay.ev, pipe, fds[i], TEVENT_FD_READ,
						  handle_io, &pipe->ends[i]);
	}
	LIST_INSERT_HEAD(&relay.pipes, pipe, link);
}

static void set_cut(bool cut)
{
	relay_pipe_t *pipe;

	relay.cut = cut;
	LIST_FOREACH(pipe, &relay.pipes, link)
	{
		update_events(&pipe->ends[0]);
		update_events(&pipe->ends[1]);
	}
}

static void handle_command(struct tevent_context *ev, struct tevent_fd *fde,
			   uint16_t flags, void *private_data)
{
	char line[256];
	ssize_t n = read(STDIN_FILENO, line, sizeof(line) - 1);

	if (n <= 0)
		_exit(0);
	line[n] = '\0';
	set_cut(strstr(line, "cut") != NULL);
	printf("ok\n");
	fflush(stdout);
}

int main(int argc, char **argv)
{
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 3 || !address_parse(argv[1], &relay.listen, NULL) ||
	    !address_parse(argv[2], &relay.target, NULL)) {
		fprintf(stderr, "usage: relay LISTEN TARGET\n");
		return 2;
	}
	relay.ev = tevent_context_init(NULL);
	relay.listen_fd = address_listen(&relay.listen, &error);
	if (relay.listen_fd < 0) {
		fprintf(stderr, "relay: %s\n", error->message);
		return 1;
	}
	tevent_add_fd(relay.ev, relay.ev, relay.listen_fd, TEVENT_FD_READ, handle_accept,
		      NULL);
	tevent_add_fd(relay.ev, relay.ev, STDIN_FILENO, TEVENT_FD_READ, handle_command,
		      NULL);
	return tevent_loop_wait(relay.ev) != 0;
}
