#ifndef EGRET_MEMBERSHIP_GOSSIP_STATE_H
#define EGRET_MEMBERSHIP_GOSSIP_STATE_H

#include "membership/gossip.h"

#include <glib.h>
#include <sys/queue.h>

/*
 * NAME
 *	gossip_state - state shared by gossip and gossip_message
 *
 * DESCRIPTION
 *	gossip probes members and applies received messages. gossip_message queues
 *	updates and adds them to outgoing datagrams.
 */

/* A directory entry queued for transmission. */
typedef struct member_update {
	TAILQ_ENTRY(member_update) link;
	char address[ADDRESS_TEXT_BYTES];
	uint32_t transmissions; /* still to be made */
} member_update_t;

TAILQ_HEAD(member_update_list, member_update);

/* A crash suspicion queued for transmission: a request with this fingerprint was in
 * flight when a target crashed. `crash` is the id of that crash. */
typedef struct suspicion_update {
	TAILQ_ENTRY(suspicion_update) link;
	uint64_t fingerprint;
	uint64_t crash;
	uint32_t evidence; /* suspect_evidence_t */
	usec_t created;
	uint32_t transmissions; /* still to be made */
} suspicion_update_t;

TAILQ_HEAD(suspicion_list, suspicion_update);

/* The probe of the current period. */
typedef struct probe {
	bool active;   /* not acknowledged yet */
	bool indirect; /* also sent through other members */
	char address[ADDRESS_TEXT_BYTES];
	uint64_t sequence;
	usec_t started;
} probe_t;

/* An indirect probe made on behalf of another node, waiting for the ack. */
typedef struct relay {
	char requester[ADDRESS_TEXT_BYTES];
	char subject[ADDRESS_TEXT_BYTES]; /* the probed member */
	uint64_t requester_sequence;
	usec_t started;
} relay_t;

struct gossip {
	const gossip_ops_t *ops;
	void *ctx;
	directory_t *directory;
	GPtrArray *seeds;  /* of char * */
	bool seeds_added;  /* since the last tick */
	guint next_seed;   /* index at which the search for an unknown one goes on */
	usec_t seek_until; /* until then a seed without directory entry is probed in
			      each tick */
	GRand *rand;
	GPtrArray *probe_order; /* of char *: members still to be probed in this round */
	probe_t probe;
	GHashTable *relays; /* sequence -> relay_t */
	uint64_t next_sequence;
	struct member_update_list updates;
	GHashTable *updates_by_address;
	struct suspicion_list suspicions;
	usec_t next_probe;
	usec_t next_heal; /* next probe of a dead member and a seed */
	usec_t push_window_start;
	uint32_t pushes_in_window;
};

/* Queues the member's directory entry for the next datagrams. */
void gossip_queue_update(gossip_t *gossip, const char *address);
void gossip_drop_update(gossip_t *gossip, member_update_t *update);
void gossip_drop_suspicion(gossip_t *gossip, suspicion_update_t *update);

/* Number of times that an update is sent; grows with the log of the member count. */
uint32_t gossip_transmissions(const gossip_t *gossip);

/* Sends one datagram with as many queued updates as fit. `subject` may be NULL. */
void gossip_send(gossip_t *gossip, usec_t now, const char *address,
		 Egret__GossipKind kind, uint64_t sequence, const char *subject);

#endif
