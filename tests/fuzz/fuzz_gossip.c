/* Fuzzes the handling of authenticated gossip messages, such as those of a peer that runs
 * another version. */
#include "membership/gossip.h"

#include <stddef.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_sent_size(void *ctx, const char *address, const Egret__Gossip *message)
{
	(void)ctx;
	(void)address;
	/* A sent message must fit into one datagram. */
	if (egret__gossip__get_packed_size(message) > GOSSIP_DATAGRAM_BYTES)
		__builtin_trap();
}

static uint64_t own_config_revision(void *ctx)
{
	(void)ctx;
	return 1;
}

static usec_t own_config_as_of(void *ctx)
{
	(void)ctx;
	return 1;
}

static bool check_confirmed(void *ctx, usec_t as_of)
{
	(void)ctx;
	/* No message confirms the configuration for a time that has not come. */
	if (as_of >= 30 * GOSSIP_TICK_PERIOD)
		__builtin_trap();
	return true;
}

static void ignore_newer_revision(void *ctx, const char *address, uint64_t value)
{
	(void)ctx;
	(void)address;
	(void)value;
}

static void ignore_member(void *ctx, const member_t *value)
{
	(void)ctx;
	(void)value;
}

static bool ignore_suspicion(void *ctx, uint64_t fingerprint, uint64_t crash,
			     uint32_t age_ms)
{
	(void)ctx;
	(void)fingerprint;
	(void)crash;
	(void)age_ms;
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const gossip_ops_t ops = {
		.send = check_sent_size,
		.config_revision = own_config_revision,
		.config_as_of = own_config_as_of,
		.on_config_confirmed = check_confirmed,
		.on_newer_config = ignore_newer_revision,
		.on_member = ignore_member,
		.on_suspicion = ignore_suspicion,
	};
	member_t self = {.address = "127.0.0.1:1", .zone = "z", .generation = 1};
	Egret__Gossip *message = egret__gossip__unpack(NULL, size, data);

	if (!message)
		return 0;
	gossip_t *gossip = gossip_create(&self, NULL, &ops, NULL, 1);
	for (int i = 1; i <= 30; i++) {
		gossip_receive(gossip, i * GOSSIP_TICK_PERIOD, message);
		gossip_tick(gossip, i * GOSSIP_TICK_PERIOD);
	}
	gossip_destroy(gossip);
	egret__gossip__free_unpacked(message, NULL);
	return 0;
}
