#include "membership/gossip_state.h"

#include <glib.h>
#include <string.h>

#define MEMBERS_PER_DATAGRAM_MAX 12
#define SUSPICIONS_PER_DATAGRAM_MAX 8
/* Transmissions of an update for each doubling of the number of live members. */
#define TRANSMISSIONS_PER_DOUBLING 3
/* Limit for probes and acknowledgements. It is lower than that of pushes, so that a burst
 * of updates keeps the control traffic of a node within its limit. */
#define PROBE_DATAGRAM_BYTES 600

void gossip_drop_update(gossip_t *gossip, member_update_t *update)
{
	TAILQ_REMOVE(&gossip->updates, update, link);
	g_hash_table_remove(gossip->updates_by_address, update->address);
	g_free(update);
}

void gossip_drop_suspicion(gossip_t *gossip, suspicion_update_t *update)
{
	TAILQ_REMOVE(&gossip->suspicions, update, link);
	g_free(update);
}

uint32_t gossip_transmissions(const gossip_t *gossip)
{
	uint32_t n = directory_live_count(gossip->directory);

	return TRANSMISSIONS_PER_DOUBLING * (uint32_t)g_bit_storage(n + 1);
}

void gossip_queue_update(gossip_t *gossip, const char *address)
{
	member_update_t *update =
		g_hash_table_lookup(gossip->updates_by_address, address);

	if (update) {
		TAILQ_REMOVE(&gossip->updates, update, link);
	} else {
		update = g_new0(member_update_t, 1);
		g_strlcpy(update->address, address, sizeof(update->address));
		g_hash_table_insert(gossip->updates_by_address, update->address, update);
	}
	update->transmissions = gossip_transmissions(gossip);
	TAILQ_INSERT_HEAD(&gossip->updates, update, link);
}

/* Storage for one outgoing message and all that it points to. */
typedef struct datagram {
	Egret__Gossip message;
	Egret__Member members[MEMBERS_PER_DATAGRAM_MAX];
	Egret__Member *member_list[MEMBERS_PER_DATAGRAM_MAX];
	Egret__KeeperClaim claims[MEMBERS_PER_DATAGRAM_MAX][KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_lists[MEMBERS_PER_DATAGRAM_MAX][KEEPER_PARTITIONS];
	Egret__Suspicion suspicions[SUSPICIONS_PER_DATAGRAM_MAX];
	Egret__Suspicion *suspicion_list[SUSPICIONS_PER_DATAGRAM_MAX];
} datagram_t;

static bool fits_datagram(const datagram_t *datagram)
{
	bool pushed = datagram->message.kind == EGRET__GOSSIP_KIND__GOSSIP_NEWS;
	size_t limit = pushed ? GOSSIP_DATAGRAM_BYTES : PROBE_DATAGRAM_BYTES;

	return egret__gossip__get_packed_size(&datagram->message) + DATAGRAM_TAG_BYTES <=
	       limit;
}

/* Adds an entry if the datagram stays within its size limit. */
static bool add_member(datagram_t *datagram, const member_t *member)
{
	size_t i = datagram->message.n_members;

	if (i >= MEMBERS_PER_DATAGRAM_MAX)
		return false;
	member_encode(member, &datagram->members[i], datagram->claims[i],
		      datagram->claim_lists[i]);
	datagram->member_list[i] = &datagram->members[i];
	datagram->message.n_members++;
	if (fits_datagram(datagram))
		return true;
	datagram->message.n_members--;
	return false;
}

static void add_suspicions(gossip_t *gossip, datagram_t *datagram, usec_t now)
{
	suspicion_update_t *update = TAILQ_FIRST(&gossip->suspicions);

	while (update && datagram->message.n_suspicions < SUSPICIONS_PER_DATAGRAM_MAX) {
		suspicion_update_t *next = TAILQ_NEXT(update, link);
		size_t i = datagram->message.n_suspicions++;

		egret__suspicion__init(&datagram->suspicions[i]);
		datagram->suspicions[i].fingerprint = update->fingerprint;
		datagram->suspicions[i].crash = update->crash;
		datagram->suspicions[i].evidence = update->evidence;
		datagram->suspicions[i].age_ms =
			(uint32_t)((now - update->created) / USEC_PER_MSEC);
		datagram->suspicion_list[i] = &datagram->suspicions[i];
		if (--update->transmissions == 0)
			gossip_drop_suspicion(gossip, update);
		update = next;
	}
}

static void add_updates(gossip_t *gossip, datagram_t *datagram)
{
	member_update_t *update = TAILQ_FIRST(&gossip->updates);

	while (update) {
		member_update_t *next = TAILQ_NEXT(update, link);
		const member_t *member =
			directory_lookup(gossip->directory, update->address);

		if (!member) {
			gossip_drop_update(gossip, update);
		} else {
			if (!add_member(datagram, member))
				return;
			if (--update->transmissions == 0)
				gossip_drop_update(gossip, update);
		}
		update = next;
	}
}

void gossip_add_config(gossip_t *gossip, usec_t now, Egret__Gossip *message)
{
	/* The revision is read last: it holds what was complete at as_of. */
	usec_t as_of = gossip->ops->config_as_of(gossip->ctx);

	message->config_revision = gossip->ops->config_revision(gossip->ctx);
	if (as_of > 0)
		message->config_age_ms = (uint32_t)MIN(
			MAX(now - as_of, 0) / USEC_PER_MSEC + 1, G_MAXUINT32);
}

void gossip_send(gossip_t *gossip, usec_t now, const char *address,
		 Egret__GossipKind kind, uint64_t sequence, const char *subject)
{
	datagram_t datagram;
	const member_t *self = directory_self(gossip->directory);
	const member_t *receiver = directory_lookup(gossip->directory, address);

	egret__gossip__init(&datagram.message);
	datagram.message.kind = kind;
	datagram.message.sequence = sequence;
	datagram.message.subject = subject ? (char *)subject : (char *)"";
	datagram.message.sender = (char *)self->address;
	gossip_add_config(gossip, now, &datagram.message);
	datagram.message.members = datagram.member_list;
	datagram.message.suspicions = datagram.suspicion_list;
	/* An unknown receiver needs this node's entry. A suspected or dead receiver needs
	 * its own, to refute it. */
	if (!receiver || kind == EGRET__GOSSIP_KIND__GOSSIP_PING)
		add_member(&datagram, self);
	if (receiver && receiver->state != EGRET__MEMBER_STATE__MEMBER_ALIVE)
		add_member(&datagram, receiver);
	/* The queued updates are sent a limited number of times, and nothing may be
	 * running at the address of an unknown receiver. */
	if (receiver) {
		add_suspicions(gossip, &datagram, now);
		add_updates(gossip, &datagram);
	}
	gossip->ops->send(gossip->ctx, address, &datagram.message);
}
