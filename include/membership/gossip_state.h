#ifndef EGRET_MEMBERSHIP_GOSSIP_STATE_H
#define EGRET_MEMBERSHIP_GOSSIP_STATE_H

#include "membership/gossip.h"

#include <glib.h>
#include <sys/queue.h>

/*
 * NAME
 *	gossip_state - what gossip and gossip_message share
 *
 * DESCRIPTION
 *	gossip decides whom to probe and what changed; gossip_message keeps the
 *	news that wait and fills datagrams with them.
 */

/* A member entry that still has to be sent some times. */
typedef struct news {
	TAILQ_ENTRY(news) link;
	char address[ADDRESS_TEXT_BYTES];
	uint32_t transmissions;
} news_t;

TAILQ_HEAD(news_list, news);

typedef struct suspicion_news {
	TAILQ_ENTRY(suspicion_news) link;
	uint64_t fingerprint;
	uint64_t crash;
	usec_t since;
	uint32_t transmissions;
} suspicion_news_t;

TAILQ_HEAD(suspicion_list, suspicion_news);

typedef struct probe {
	bool active;
	bool indirect;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t sequence;
	usec_t started;
} probe_t;

/* A probe made for another node that waits for its ack. */
typedef struct relay {
	char asker[ADDRESS_TEXT_BYTES];
	char subject[ADDRESS_TEXT_BYTES];
	uint64_t asker_sequence;
	usec_t started;
} relay_t;

struct gossip {
	const gossip_ops_t *ops;
	void *ctx;
	directory_t *directory;
	GPtrArray *seeds; /* of char * */
	GRand *rand;
	GPtrArray *order; /* of char *: the members left in this probe round */
	probe_t probe;
	GHashTable *relays; /* sequence -> relay_t */
	uint64_t next_sequence;
	struct news_list news;
	GHashTable *news_by_address;
	struct suspicion_list suspicions;
	usec_t next_probe;
	usec_t next_heal;
	usec_t push_window;
	uint32_t pushes;
};

/* Tells of the member's entry in the next datagrams. */
void gossip_queue_news(gossip_t *gossip, const char *address);
void gossip_drop_news(gossip_t *gossip, news_t *news);
void gossip_drop_suspicion(gossip_t *gossip, suspicion_news_t *news);

/* How often a piece of news is sent. */
uint32_t gossip_transmissions(const gossip_t *gossip);

/* Sends one datagram with as much news as fits. subject may be NULL. */
void gossip_send(gossip_t *gossip, usec_t now, const char *address,
		 Egret__GossipKind kind, uint64_t sequence, const char *subject);

#endif
