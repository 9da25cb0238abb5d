#ifndef EGRET_MEMBERSHIP_GOSSIP_H
#define EGRET_MEMBERSHIP_GOSSIP_H

#include "membership/directory.h"
#include "wire/peer_auth.h"

/*
 * NAME
 *	gossip - failure detector and dissemination of updates between nodes
 *
 * DESCRIPTION
 *	A SWIM-like state machine without I/O. In each period it probes one member
 *	directly and, if no acknowledgement arrives within GOSSIP_ACK_TIMEOUT, also
 *	through GOSSIP_INDIRECT_PROBES other members. If none arrives before the
 *	period ends, the member is suspected. A suspected member that does not
 *	announce a higher incarnation within GOSSIP_SUSPECT_TIMEOUT is declared dead.
 *
 *	Every datagram carries the sender's configuration revision, the age of the
 *	evidence that it is current (config/freshness) and, if the receiver
 *	has a directory entry, queued crash suspicions and as many queued directory
 *	entries as fit: into
 *	GOSSIP_DATAGRAM_BYTES for a push, or a lower limit for probes and
 *	acknowledgements (gossip_message.c). An update is also pushed at once to
 *	GOSSIP_FANOUT random members, up to a number of pushes per second. A random
 *	dead member and a random seed that is not a live member are probed
 *	periodically, so that the two sides of a network partition find each other
 *	again. For the first seconds after seeds were added, those without a directory
 *	entry are probed one after the other, so that nodes that restarted together
 *	find each other although only some of them have the seeds.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call, and the
 *	callbacks run under it.
 */

#define GOSSIP_DATAGRAM_BYTES 1200
#define GOSSIP_PROBE_PERIOD USEC_PER_SEC
#define GOSSIP_TICK_PERIOD (100 * USEC_PER_MSEC)
#define GOSSIP_ACK_TIMEOUT (300 * USEC_PER_MSEC)
#define GOSSIP_SUSPECT_TIMEOUT (2 * USEC_PER_SEC)
#define GOSSIP_FANOUT 4
#define GOSSIP_INDIRECT_PROBES 3

typedef struct gossip gossip_t;

typedef struct gossip_ops {
	void (*send)(void *ctx, const char *address, const Egret__Gossip *message);
	uint64_t (*config_revision)(void *ctx);
	/* The time as of which this node's configuration is known to be complete; 0 if it
	 * is not known. */
	usec_t (*config_as_of)(void *ctx);
	/* A peer's evidence: this node's configuration was complete at `as_of`. Returns
	 * whether peers should be sent it now. */
	bool (*on_config_confirmed)(void *ctx, usec_t as_of);
	/* The node at `address` has a newer configuration than this node. */
	void (*on_newer_config)(void *ctx, const char *address, uint64_t revision);
	/* The directory entry of a member changed, or this node refuted a newer entry for
	 * itself. */
	void (*on_member)(void *ctx, const member_t *member);
	/* A request with this fingerprint was in flight when the target of another node
	 * crashed, `age_ms` ago. `crash` is the id of that crash, `evidence` a
	 * suspect_evidence_t (claims/suspects.h) or unknown. Returns false if that was
	 * known; the suspicion is then not sent on. */
	bool (*on_suspicion)(void *ctx, uint64_t fingerprint, uint64_t crash,
			     uint32_t evidence, uint32_t age_ms);
} gossip_ops_t;

/* `seeds` is a NULL-terminated list of peer addresses, or NULL. Seeds are contacted while
 * no other member is live; those that are not live are also probed periodically. `ops`
 * must outlive the result. */
gossip_t *gossip_create(const member_t *self, const char *const *seeds,
			const gossip_ops_t *ops, void *ctx, uint64_t random_seed);
void gossip_destroy(gossip_t *gossip);

directory_t *gossip_directory(gossip_t *gossip);

void gossip_add_seed(gossip_t *gossip, const char *address);

/* To be called every GOSSIP_TICK_PERIOD. */
void gossip_tick(gossip_t *gossip, usec_t now);
void gossip_receive(gossip_t *gossip, usec_t now, const Egret__Gossip *message);

/* Adds this node's configuration revision and the age of its evidence to a message. */
void gossip_add_config(gossip_t *gossip, usec_t now, Egret__Gossip *message);

/* Evaluates the sender's configuration revision and the age of its evidence, in a message
 * of any kind. */
void gossip_receive_config(gossip_t *gossip, usec_t now, const Egret__Gossip *message);

/* Merges one received directory entry and pushes it to others if it is new. */
void gossip_merge(gossip_t *gossip, usec_t now, const member_t *member);

/* Replaces this node's own entry, raises its incarnation and pushes it to others. */
void gossip_update_self(gossip_t *gossip, usec_t now, const member_t *fields);

/* Sends the queued updates and the configuration revision to random members now, unless
 * the limit of pushes per second is reached. */
void gossip_push(gossip_t *gossip, usec_t now);

/* Queues a crash suspicion and pushes it to others: a request with this fingerprint was
 * in flight when this node's target crashed. `crash` is the id of that crash. */
void gossip_broadcast_suspicion(gossip_t *gossip, usec_t now, uint64_t fingerprint,
				uint64_t crash, uint32_t evidence);

/* A random live member other than this node, or NULL. */
const member_t *gossip_random_member(gossip_t *gossip);

/* The address of a random live member, or of a random seed if there is none; NULL if
 * there is neither. */
const char *gossip_random_contact(gossip_t *gossip);

#endif
