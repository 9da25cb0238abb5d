#include "wire/frame_link.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES (64u << 10)
#define HANDSHAKE_TIMEOUT_SEC 5
#define LENGTH_BYTES 4
/* The client's handshake message holds its nonce and its proof. */
#define CLIENT_HELLO_BYTES (PEER_NONCE_BYTES + PEER_PROOF_BYTES)

typedef enum link_state {
	LINK_CONNECTING,
	LINK_WAIT_NONCE, /* client: waits for the server's nonce */
	LINK_WAIT_HELLO, /* server: waits for the client's nonce and proof */
	LINK_WAIT_PROOF, /* client: waits for the server's proof */
	LINK_OPEN,
	LINK_CLOSED,
} link_state_t;

struct frame_link {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct tevent_timer *handshake_timer;
	struct tevent_immediate *flush;
	bool flush_scheduled;
	peer_auth_t *auth;
	const frame_link_ops_t *ops;
	void *ctx;
	int fd;
	link_state_t state;
	bool processing; /* within process_input(), where frame_link_destroy() must not
			    free the link */
	bool destroyed;	 /* frame_link_destroy() was called; freed when processing ends */
	uint8_t client_nonce[PEER_NONCE_BYTES];
	uint8_t server_nonce[PEER_NONCE_BYTES];
	GByteArray *in;
	GByteArray *out;
	size_t out_offset;     /* number of bytes of `out` that were sent */
	GByteArray *pending;   /* frames queued until the handshake ends */
	uint64_t queued_bytes; /* bytes of frames queued since the link was created */
	usec_t last_used;
};

static void update_poll_flags(frame_link_t *link)
{
	uint16_t flags = TEVENT_FD_READ;

	if (link->state == LINK_CONNECTING || link->out->len > link->out_offset)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(link->fde, flags);
}

static void close_link(frame_link_t *link, int code, const char *reason)
{
	if (link->state == LINK_CLOSED)
		return;
	GError *error = g_error_new(EGRET_ERROR, code, "peer connection: %s", reason);

	link->state = LINK_CLOSED;
	TALLOC_FREE(link->fde);
	TALLOC_FREE(link->handshake_timer);
	close(link->fd);
	link->fd = -1;
	link->ops->on_closed(link->ctx, error);
	g_error_free(error);
}

static bool flush_output(frame_link_t *link)
{
	while (link->out->len > link->out_offset) {
		ssize_t n = send(link->fd, link->out->data + link->out_offset,
				 link->out->len - link->out_offset, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			close_link(link, EGRET_ERROR_IO, g_strerror(errno));
			return false;
		}
		link->out_offset += (size_t)n;
	}
	if (link->out_offset == link->out->len) {
		g_byte_array_set_size(link->out, 0);
		link->out_offset = 0;
	} else if (link->out_offset > READ_CHUNK_BYTES) {
		g_byte_array_remove_range(link->out, 0, (guint)link->out_offset);
		link->out_offset = 0;
	}
	update_poll_flags(link);
	return true;
}

static void handle_flush(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	(void)ev;
	(void)im;
	frame_link_t *link = private_data;

	link->flush_scheduled = false;
	if (link->state != LINK_CLOSED && link->state != LINK_CONNECTING)
		flush_output(link);
}

static void schedule_flush(frame_link_t *link)
{
	if (link->flush_scheduled)
		return;
	link->flush_scheduled = true;
	tevent_schedule_immediate(link->flush, link->ev, handle_flush, link);
}

static void queue_handshake(frame_link_t *link, const uint8_t *data, guint len)
{
	g_byte_array_append(link->out, data, len);
	schedule_flush(link);
}

static void open_link(frame_link_t *link)
{
	link->state = LINK_OPEN;
	TALLOC_FREE(link->handshake_timer);
	g_byte_array_append(link->out, link->pending->data, link->pending->len);
	g_byte_array_set_size(link->pending, 0);
	schedule_flush(link);
	if (link->ops->on_open)
		link->ops->on_open(link->ctx);
}

/*
 * Handles one handshake message. Returns its length, 0 if it is incomplete, or -1 if
 * authentication failed.
 */
static int handshake_step(frame_link_t *link)
{
	uint8_t hello[CLIENT_HELLO_BYTES];
	uint8_t proof[PEER_PROOF_BYTES];
	const uint8_t *data = link->in->data;
	int index;

	switch (link->state) {
	case LINK_WAIT_NONCE:
		if (link->in->len < PEER_NONCE_BYTES)
			return 0;
		memcpy(link->server_nonce, data, PEER_NONCE_BYTES);
		memcpy(hello, link->client_nonce, PEER_NONCE_BYTES);
		peer_auth_prove(link->auth, 0, PEER_ROLE_CLIENT, link->client_nonce,
				link->server_nonce, hello + PEER_NONCE_BYTES);
		link->state = LINK_WAIT_PROOF;
		queue_handshake(link, hello, sizeof(hello));
		return PEER_NONCE_BYTES;
	case LINK_WAIT_HELLO:
		if (link->in->len < CLIENT_HELLO_BYTES)
			return 0;
		memcpy(link->client_nonce, data, PEER_NONCE_BYTES);
		index = peer_auth_verify(link->auth, PEER_ROLE_CLIENT, link->client_nonce,
					 link->server_nonce, data + PEER_NONCE_BYTES);
		if (index < 0)
			return -1;
		peer_auth_prove(link->auth, index, PEER_ROLE_SERVER, link->client_nonce,
				link->server_nonce, proof);
		queue_handshake(link, proof, sizeof(proof));
		open_link(link);
		return CLIENT_HELLO_BYTES;
	case LINK_WAIT_PROOF:
		if (link->in->len < PEER_PROOF_BYTES)
			return 0;
		if (peer_auth_verify(link->auth, PEER_ROLE_SERVER, link->client_nonce,
				     link->server_nonce, data) < 0)
			return -1;
		open_link(link);
		return PEER_PROOF_BYTES;
	default:
		return -1;
	}
}

/*
 * Delivers one frame to on_frame. Returns its length, 0 if it is incomplete, or -1 if it
 * is malformed or too long.
 */
static int frame_step(frame_link_t *link, size_t offset)
{
	uint32_t len;

	if (link->in->len - offset < LENGTH_BYTES)
		return 0;
	memcpy(&len, link->in->data + offset, LENGTH_BYTES);
	len = ntohl(len);
	if (len > FRAME_MAX_BYTES)
		return -1;
	if (link->in->len - offset < LENGTH_BYTES + len)
		return 0;
	Egret__Frame *frame =
		egret__frame__unpack(NULL, len, link->in->data + offset + LENGTH_BYTES);
	if (!frame)
		return -1;
	link->last_used = clock_boot_usec();
	link->ops->on_frame(link->ctx, frame);
	egret__frame__free_unpacked(frame, NULL);
	return (int)(LENGTH_BYTES + len);
}

static void free_link(frame_link_t *link)
{
	g_byte_array_free(link->in, TRUE);
	g_byte_array_free(link->out, TRUE);
	g_byte_array_free(link->pending, TRUE);
	talloc_free(link);
}

/* Handles all complete messages. Returns the result of the last one. */
static int process_messages(frame_link_t *link)
{
	size_t offset = 0;
	int n = 1;

	while (n > 0 && link->state != LINK_CLOSED) {
		if (link->state != LINK_OPEN) {
			n = handshake_step(link);
			if (n > 0)
				g_byte_array_remove_range(link->in, 0, (guint)n);
		} else {
			n = frame_step(link, offset);
			if (n > 0)
				offset += (size_t)n;
		}
	}
	if (offset > 0)
		g_byte_array_remove_range(link->in, 0, (guint)offset);
	return n;
}

static void process_input(frame_link_t *link)
{
	link->processing = true;
	int n = process_messages(link);
	link->processing = false;
	if (link->destroyed) {
		free_link(link);
		return;
	}
	if (n >= 0 || link->state == LINK_CLOSED)
		return;
	if (link->state == LINK_OPEN) {
		counter_add(COUNTER_PEER_BAD_FRAMES, 1);
		close_link(link, EGRET_ERROR_FRAME, "malformed or oversized frame");
	} else {
		counter_add(COUNTER_PEER_REJECTED, 1);
		close_link(link, EGRET_ERROR_AUTH,
			   "authentication failed: the peer secrets do not match");
	}
}

static void handle_readable(frame_link_t *link)
{
	guint old_len = link->in->len;

	g_byte_array_set_size(link->in, old_len + READ_CHUNK_BYTES);
	ssize_t n = recv(link->fd, link->in->data + old_len, READ_CHUNK_BYTES, 0);
	int saved_errno = errno;
	g_byte_array_set_size(link->in, old_len + (n > 0 ? (guint)n : 0));
	if (n == 0) {
		close_link(link, EGRET_ERROR_IO, "closed by the peer");
		return;
	}
	if (n < 0 && (saved_errno == EAGAIN || saved_errno == EINTR))
		return;
	if (n < 0) {
		close_link(link, EGRET_ERROR_IO, g_strerror(saved_errno));
		return;
	}
	process_input(link);
}

static bool finish_connect(frame_link_t *link)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		close_link(link, EGRET_ERROR_IO, g_strerror(err));
		return false;
	}
	link->state = LINK_WAIT_NONCE;
	update_poll_flags(link);
	return true;
}

static void handle_fd(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
		      void *private_data)
{
	(void)ev;
	(void)fde;
	frame_link_t *link = private_data;

	if (link->state == LINK_CONNECTING) {
		if (flags)
			finish_connect(link);
		return;
	}
	if ((flags & TEVENT_FD_WRITE) && !flush_output(link))
		return;
	if (flags & TEVENT_FD_READ)
		handle_readable(link);
}

static void handle_handshake_timeout(struct tevent_context *ev, struct tevent_timer *te,
				     struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	frame_link_t *link = private_data;

	link->handshake_timer = NULL;
	counter_add(COUNTER_PEER_REJECTED, 1);
	close_link(link, EGRET_ERROR_AUTH, "handshake timed out");
}

static frame_link_t *create_link(TALLOC_CTX *parent, struct tevent_context *ev,
				 peer_auth_t *auth, int fd, link_state_t state,
				 const frame_link_ops_t *ops, void *ctx)
{
	frame_link_t *link = talloc_zero(parent, frame_link_t);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->ev = ev;
	link->auth = auth;
	link->fd = fd;
	link->state = state;
	link->ops = ops;
	link->ctx = ctx;
	link->in = g_byte_array_new();
	link->out = g_byte_array_new();
	link->pending = g_byte_array_new();
	link->flush = tevent_create_immediate(link);
	link->last_used = clock_boot_usec();
	link->fde = tevent_add_fd(ev, link, fd, TEVENT_FD_READ, handle_fd, link);
	link->handshake_timer = tevent_add_timer(
		ev, link, tevent_timeval_current_ofs(HANDSHAKE_TIMEOUT_SEC, 0),
		handle_handshake_timeout, link);
	return link;
}

frame_link_t *frame_link_connect(TALLOC_CTX *parent, struct tevent_context *ev,
				 peer_auth_t *auth, const struct sockaddr_in *address,
				 const frame_link_ops_t *ops, void *ctx, GError **error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 ||
	    (connect(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 &&
	     errno != EINPROGRESS)) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_IO,
			    "cannot connect to the peer: %s", g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	frame_link_t *link = create_link(parent, ev, auth, fd, LINK_CONNECTING, ops, ctx);
	randombytes_buf(link->client_nonce, sizeof(link->client_nonce));
	update_poll_flags(link);
	return link;
}

frame_link_t *frame_link_accept(TALLOC_CTX *parent, struct tevent_context *ev,
				peer_auth_t *auth, int fd, const frame_link_ops_t *ops,
				void *ctx)
{
	frame_link_t *link = create_link(parent, ev, auth, fd, LINK_WAIT_HELLO, ops, ctx);

	randombytes_buf(link->server_nonce, sizeof(link->server_nonce));
	queue_handshake(link, link->server_nonce, PEER_NONCE_BYTES);
	return link;
}

void frame_link_destroy(frame_link_t *link)
{
	if (!link)
		return;
	link->state = LINK_CLOSED;
	TALLOC_FREE(link->fde);
	TALLOC_FREE(link->handshake_timer);
	if (link->fd >= 0)
		close(link->fd);
	link->fd = -1;
	link->destroyed = true;
	if (!link->processing)
		free_link(link);
}

uint64_t frame_link_send(frame_link_t *link, const Egret__Frame *frame)
{
	uint64_t offset = link->queued_bytes;

	if (link->state == LINK_CLOSED)
		return offset;
	size_t len = egret__frame__get_packed_size(frame);
	uint32_t prefix = htonl((uint32_t)len);
	GByteArray *queue = link->state == LINK_OPEN ? link->out : link->pending;
	guint old_len = queue->len;
	g_byte_array_set_size(queue, old_len + LENGTH_BYTES + (guint)len);
	memcpy(queue->data + old_len, &prefix, LENGTH_BYTES);
	egret__frame__pack(frame, queue->data + old_len + LENGTH_BYTES);
	link->queued_bytes += LENGTH_BYTES + len;
	link->last_used = clock_boot_usec();
	if (link->state == LINK_OPEN)
		schedule_flush(link);
	return offset;
}

uint64_t frame_link_sent_bytes(const frame_link_t *link)
{
	uint64_t unsent = link->out->len - link->out_offset + link->pending->len;

	return link->queued_bytes > unsent ? link->queued_bytes - unsent : 0;
}

bool frame_link_is_open(const frame_link_t *link)
{
	return link->state == LINK_OPEN;
}

int64_t frame_link_last_used(const frame_link_t *link)
{
	return link->last_used;
}
