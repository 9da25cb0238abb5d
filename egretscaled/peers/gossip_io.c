#include "egretscaled/peers/gossip_io.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "egretscaled/peers/pull.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_BATCH 64

struct gossip_io {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct tevent_timer *timer;
	int fd;
};

void gossip_io_send(node_t *node, const char *address, const Egret__Gossip *message)
{
	uint8_t buffer[GOSSIP_DATAGRAM_BYTES + DATAGRAM_TAG_BYTES];
	size_t len = egret__gossip__get_packed_size(message);
	struct sockaddr_in to;

	if (len > GOSSIP_DATAGRAM_BYTES) {
		counter_add(COUNTER_GOSSIP_OVERSIZED, 1);
		return;
	}
	if (node->gossip_fd < 0 || !address_parse(address, &to, NULL))
		return;
	egret__gossip__pack(message, buffer + DATAGRAM_TAG_BYTES);
	peer_auth_sign_datagram(node->auth, buffer + DATAGRAM_TAG_BYTES, len, buffer);
	ssize_t n = sendto(node->gossip_fd, buffer, DATAGRAM_TAG_BYTES + len, 0,
			   (const struct sockaddr *)&to, sizeof(to));
	if (n < 0)
		return;
	counter_add(COUNTER_GOSSIP_SENT, 1);
	counter_add(COUNTER_GOSSIP_SENT_BYTES, (uint64_t)n);
}

void gossip_io_send_with_config(node_t *node, const char *address, Egret__Gossip *message)
{
	pthread_mutex_lock(&node->gossip_lock);
	gossip_add_config(node->gossip, clock_boot_usec(), message);
	gossip_io_send(node, address, message);
	pthread_mutex_unlock(&node->gossip_lock);
}

static void send_datagram(void *ctx, const char *address, const Egret__Gossip *message)
{
	gossip_io_send(ctx, address, message);
}

static uint64_t own_config_revision(void *ctx)
{
	node_t *node = ctx;

	pthread_mutex_lock(&node->config_lock);
	uint64_t revision = config_log_revision(node->config_log);
	pthread_mutex_unlock(&node->config_lock);
	return revision;
}

static void handle_newer_config(void *ctx, const char *address, uint64_t revision)
{
	node_t *node = ctx;

	/* A reply to the pull may have several pages, and then states a lower revision
	 * than the one that the peer has reached. */
	pthread_mutex_lock(&node->config_lock);
	config_log_begin(node->config_log, revision, clock_boot_usec());
	pthread_mutex_unlock(&node->config_lock);
	pull_request(node, address);
}

static usec_t own_config_as_of(void *ctx)
{
	return node_config_as_of(ctx);
}

static bool handle_config_confirmed(void *ctx, usec_t as_of)
{
	return node_confirm_config(ctx, as_of);
}

static void log_member(const member_t *member)
{
	static const char *const states[] = {"alive", "suspect", "dead", "left"};
	static const char *const targets[] = {"none", "up", "draining"};
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "member");
	log_str(&rec, "address", member->address);
	log_str(&rec, "zone", member->zone);
	log_str(&rec, "state", states[member->state]);
	log_str(&rec, "service", member->service);
	log_str(&rec, "target", targets[member->target]);
	log_int(&rec, "incarnation", (int64_t)member->incarnation);
	log_end(&rec);
}

static void handle_member(void *ctx, const member_t *member)
{
	node_t *node = ctx;

	log_member(member);
	node->ops->on_member(node, member);
	pthread_mutex_lock(&node->router_lock);
	router_update(node->router, member, clock_boot_usec());
	pthread_mutex_unlock(&node->router_lock);
}

static bool handle_suspicion(void *ctx, uint64_t fingerprint, uint64_t crash,
			     uint32_t evidence, uint32_t age_ms)
{
	node_t *node = ctx;

	if (evidence >= SUSPECT_EVIDENCE_COUNT)
		return false;
	pthread_mutex_lock(&node->suspect_lock);
	bool counted = suspects_handle_remote_crash(
		node->suspects, fingerprint, crash, (suspect_evidence_t)evidence,
		(usec_t)age_ms * USEC_PER_MSEC, clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
	return counted;
}

const gossip_ops_t *gossip_io_ops(void)
{
	static const gossip_ops_t ops = {
		.send = send_datagram,
		.config_revision = own_config_revision,
		.config_as_of = own_config_as_of,
		.on_config_confirmed = handle_config_confirmed,
		.on_newer_config = handle_newer_config,
		.on_member = handle_member,
		.on_suspicion = handle_suspicion,
	};

	return &ops;
}

static void handle_datagram(gossip_io_t *io, const uint8_t *data, size_t len)
{
	node_t *node = io->node;

	if (len <= DATAGRAM_TAG_BYTES ||
	    !peer_auth_verify_datagram(node->auth, data + DATAGRAM_TAG_BYTES,
				       len - DATAGRAM_TAG_BYTES, data)) {
		counter_add(COUNTER_GOSSIP_REJECTED, 1);
		return;
	}
	Egret__Gossip *message = egret__gossip__unpack(NULL, len - DATAGRAM_TAG_BYTES,
						       data + DATAGRAM_TAG_BYTES);
	if (!message) {
		counter_add(COUNTER_GOSSIP_REJECTED, 1);
		return;
	}
	counter_add(COUNTER_GOSSIP_RECEIVED, 1);
	counter_add(COUNTER_GOSSIP_RECEIVED_BYTES, len);
	bool is_gossip = message->kind <= EGRET__GOSSIP_KIND__GOSSIP_NEWS;
	if (!is_gossip)
		node->ops->on_message(node, message);
	pthread_mutex_lock(&node->gossip_lock);
	if (is_gossip)
		gossip_receive(node->gossip, clock_boot_usec(), message);
	else
		gossip_receive_config(node->gossip, clock_boot_usec(), message);
	pthread_mutex_unlock(&node->gossip_lock);
	egret__gossip__free_unpacked(message, NULL);
}

static void handle_readable(struct tevent_context *ev, struct tevent_fd *fde,
			    uint16_t flags, void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	gossip_io_t *io = private_data;
	uint8_t buffer[2 * GOSSIP_DATAGRAM_BYTES];

	for (int i = 0; i < RECEIVE_BATCH; i++) {
		ssize_t n = recv(io->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n < 0)
			return;
		handle_datagram(io, buffer, (size_t)n);
	}
}

static void schedule_tick(gossip_io_t *io);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	gossip_io_t *io = private_data;

	pthread_mutex_lock(&io->node->gossip_lock);
	gossip_tick(io->node->gossip, clock_boot_usec());
	pthread_mutex_unlock(&io->node->gossip_lock);
	schedule_tick(io);
}

static void schedule_tick(gossip_io_t *io)
{
	io->timer = tevent_add_timer(io->ev, io,
				     tevent_timeval_current_ofs(0, GOSSIP_TICK_PERIOD),
				     handle_tick, io);
}

gossip_io_t *gossip_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      GError **error)
{
	const struct sockaddr_in *address = &node->settings->peer_listen;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_IO,
			    "cannot bind the gossip socket to %s: %s", node->address,
			    g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	gossip_io_t *io = talloc_zero(parent, gossip_io_t);
	io->node = node;
	io->ev = ev;
	io->fd = fd;
	node->gossip_fd = fd;
	io->fde = tevent_add_fd(ev, io, fd, TEVENT_FD_READ, handle_readable, io);
	schedule_tick(io);
	return io;
}

void gossip_io_destroy(gossip_io_t *io)
{
	if (!io)
		return;
	io->node->gossip_fd = -1;
	TALLOC_FREE(io->fde);
	close(io->fd);
	talloc_free(io);
}
