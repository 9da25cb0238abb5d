#ifndef EGRET_MEMBERSHIP_GOSSIP_H
#define EGRET_MEMBERSHIP_GOSSIP_H

#include "membership/directory.h"
#include "wire/peer_auth.h"

/*
 * NAME
 *	gossip - failure detection and spreading of news between nodes
 *
 * DESCRIPTION
 *	A state machine without I/O. Each period it probes one member directly,
 *	then through GOSSIP_INDIRECT_PROBES others, and suspects it if neither answers.
 *	Every datagram carries the configuration revision and as many queued
 *	member entries and suspicions as fit GOSSIP_DATAGRAM_BYTES. News is also
 *	pushed to GOSSIP_FANOUT random members at once, within a rate bound.
 *	Now and then a dead member or a seed is probed, so that partitions heal.
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
	/* The sender holds a newer configuration than this node. */
	void (*on_newer_config)(void *ctx, const char *address, uint64_t revision);
	void (*on_member)(void *ctx, const member_t *member);
	void (*on_suspicion)(void *ctx, uint64_t fingerprint, uint64_t crash,
			     uint32_t age_ms);
} gossip_ops_t;

/* Seeds are peer addresses to contact while nobody else is known. */
gossip_t *gossip_create(const member_t *self, const char *const *seeds,
			const gossip_ops_t *ops, void *ctx, uint64_t random_seed);
void gossip_destroy(gossip_t *gossip);

directory_t *gossip_directory(gossip_t *gossip);

void gossip_add_seed(gossip_t *gossip, const char *address);

/* To be called every GOSSIP_TICK_PERIOD. */
void gossip_tick(gossip_t *gossip, usec_t now);
void gossip_receive(gossip_t *gossip, usec_t now, const Egret__Gossip *message);

/* Merges one entry from a pull; news is spread on. */
void gossip_merge(gossip_t *gossip, usec_t now, const member_t *member);

/* This node's own entry changed: raise the incarnation and tell the others. */
void gossip_update_self(gossip_t *gossip, usec_t now, const member_t *fields);

/* Tells random members at once that this node's configuration advanced. */
void gossip_push(gossip_t *gossip, usec_t now);

void gossip_broadcast_suspicion(gossip_t *gossip, usec_t now, uint64_t fingerprint,
				uint64_t crash);

/* A random live member other than this node, or NULL. */
const member_t *gossip_random_member(gossip_t *gossip);

/* The address of a random live member, or of a seed while there is none; NULL if
 * there is neither. */
const char *gossip_random_contact(gossip_t *gossip);

#endif
