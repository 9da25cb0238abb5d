#include "membership/gossip_state.h"

#include <glib.h>
#include <string.h>

#define MEMBERS_PER_DATAGRAM_MAX 12
#define SUSPICIONS_PER_DATAGRAM_MAX 8
#define TRANSMISSIONS_PER_DOUBLING 3
/* Probes and acks stay within this, so that a burst of news does not exceed the
 * bytes that a node may spend on control. */
#define PROBE_BYTES 600

void gossip_drop_news(gossip_t *gossip, news_t *news)
{
	TAILQ_REMOVE(&gossip->news, news, link);
	g_hash_table_remove(gossip->news_by_address, news->address);
	g_free(news);
}

void gossip_drop_suspicion(gossip_t *gossip, suspicion_news_t *news)
{
	TAILQ_REMOVE(&gossip->suspicions, news, link);
	g_free(news);
}

uint32_t gossip_transmissions(const gossip_t *gossip)
{
	uint32_t n = directory_live_count(gossip->directory);

	return TRANSMISSIONS_PER_DOUBLING * (uint32_t)g_bit_storage(n + 1);
}

void gossip_queue_news(gossip_t *gossip, const char *address)
{
	news_t *news = g_hash_table_lookup(gossip->news_by_address, address);

	if (news) {
		TAILQ_REMOVE(&gossip->news, news, link);
	} else {
		news = g_new0(news_t, 1);
		g_strlcpy(news->address, address, sizeof(news->address));
		g_hash_table_insert(gossip->news_by_address, news->address, news);
	}
	news->transmissions = gossip_transmissions(gossip);
	TAILQ_INSERT_HEAD(&gossip->news, news, link);
}

/* Storage for one outgoing message. */
typedef struct envelope {
	Egret__Gossip message;
	Egret__Member members[MEMBERS_PER_DATAGRAM_MAX];
	Egret__Member *member_list[MEMBERS_PER_DATAGRAM_MAX];
	Egret__KeeperClaim claims[MEMBERS_PER_DATAGRAM_MAX][KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_lists[MEMBERS_PER_DATAGRAM_MAX][KEEPER_PARTITIONS];
	Egret__Suspicion suspicions[SUSPICIONS_PER_DATAGRAM_MAX];
	Egret__Suspicion *suspicion_list[SUSPICIONS_PER_DATAGRAM_MAX];
} envelope_t;

static bool fits(const envelope_t *envelope)
{
	bool news = envelope->message.kind == EGRET__GOSSIP_KIND__GOSSIP_NEWS;
	size_t limit = news ? GOSSIP_DATAGRAM_BYTES : PROBE_BYTES;

	return egret__gossip__get_packed_size(&envelope->message) + DATAGRAM_TAG_BYTES <=
	       limit;
}

/* Adds an entry; takes it back if the datagram would grow too large. */
static bool add_member(envelope_t *envelope, const member_t *member)
{
	size_t i = envelope->message.n_members;

	if (i >= MEMBERS_PER_DATAGRAM_MAX)
		return false;
	member_encode(member, &envelope->members[i], envelope->claims[i],
		      envelope->claim_lists[i]);
	envelope->member_list[i] = &envelope->members[i];
	envelope->message.n_members++;
	if (fits(envelope))
		return true;
	envelope->message.n_members--;
	return false;
}

static void add_suspicions(gossip_t *gossip, envelope_t *envelope, usec_t now)
{
	suspicion_news_t *news = TAILQ_FIRST(&gossip->suspicions);

	while (news && envelope->message.n_suspicions < SUSPICIONS_PER_DATAGRAM_MAX) {
		suspicion_news_t *next = TAILQ_NEXT(news, link);
		size_t i = envelope->message.n_suspicions++;

		egret__suspicion__init(&envelope->suspicions[i]);
		envelope->suspicions[i].fingerprint = news->fingerprint;
		envelope->suspicions[i].crash = news->crash;
		envelope->suspicions[i].age_ms =
			(uint32_t)((now - news->since) / USEC_PER_MSEC);
		envelope->suspicion_list[i] = &envelope->suspicions[i];
		if (--news->transmissions == 0)
			gossip_drop_suspicion(gossip, news);
		news = next;
	}
}

static void add_news(gossip_t *gossip, envelope_t *envelope)
{
	news_t *news = TAILQ_FIRST(&gossip->news);

	while (news) {
		news_t *next = TAILQ_NEXT(news, link);
		const member_t *member =
			directory_lookup(gossip->directory, news->address);

		if (!member) {
			gossip_drop_news(gossip, news);
		} else {
			if (!add_member(envelope, member))
				return;
			if (--news->transmissions == 0)
				gossip_drop_news(gossip, news);
		}
		news = next;
	}
}

void gossip_send(gossip_t *gossip, usec_t now, const char *address,
		 Egret__GossipKind kind, uint64_t sequence, const char *subject)
{
	envelope_t envelope;
	const member_t *self = directory_self(gossip->directory);
	const member_t *receiver = directory_lookup(gossip->directory, address);

	egret__gossip__init(&envelope.message);
	envelope.message.kind = kind;
	envelope.message.sequence = sequence;
	envelope.message.subject = subject ? (char *)subject : (char *)"";
	envelope.message.sender = (char *)self->address;
	envelope.message.config_revision = gossip->ops->config_revision(gossip->ctx);
	envelope.message.members = envelope.member_list;
	envelope.message.suspicions = envelope.suspicion_list;
	/* A stranger learns who this is; a suspected member learns that it is. */
	if (!receiver || kind == EGRET__GOSSIP_KIND__GOSSIP_PING)
		add_member(&envelope, self);
	if (receiver && receiver->state != EGRET__MEMBER_STATE__MEMBER_ALIVE)
		add_member(&envelope, receiver);
	add_suspicions(gossip, &envelope, now);
	add_news(gossip, &envelope);
	gossip->ops->send(gossip->ctx, address, &envelope.message);
}
