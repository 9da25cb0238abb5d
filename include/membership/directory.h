#ifndef EGRET_MEMBERSHIP_DIRECTORY_H
#define EGRET_MEMBERSHIP_DIRECTORY_H

#include "common/address.h"
#include "common/clock.h"
#include "wire/egret.pb-c.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * NAME
 *	directory - membership list of one node
 *
 * DESCRIPTION
 *	One entry for each peer address. Of two entries of an address, the one with
 *	the higher (generation, incarnation, state) wins, so that the result does not
 *	depend on the order of messages. A restart at the same address has a higher
 *	generation; a member that receives a suspicion of itself raises its
 *	incarnation. Dead and left members stay as tombstones for
 *	DIRECTORY_TOMBSTONE_LIFETIME, so that the two sides of a network partition
 *	can find each other again.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

/* Partitions of the client accounts; see accounts/keeper.h. */
#define KEEPER_PARTITIONS 16
#define DIRECTORY_BUCKETS 64
#define DIRECTORY_TOMBSTONE_LIFETIME (600 * USEC_PER_SEC)
/* Size of a zone, service or id, with the terminating NUL. */
#define MEMBER_TEXT_BYTES 65

typedef struct member {
	LIST_ENTRY(member) link;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t node_id;
	uint64_t generation;
	uint64_t incarnation;
	Egret__MemberState state;
	char zone[MEMBER_TEXT_BYTES];
	char service[MEMBER_TEXT_BYTES];
	char version[MEMBER_TEXT_BYTES]; /* of the target; empty if not reported */
	Egret__TargetState target;
	uint32_t slots;
	uint32_t cold_slots;
	uint64_t keeper_epochs[KEEPER_PARTITIONS]; /* epoch of the lease on each
						      partition; 0 if not held */
	bool ready;
	/* The process of the node's target that left last; empty if none did. Kept when
	 * the node starts anew, so that it can ask its peers for it. */
	char left_id[MEMBER_TEXT_BYTES];
	uint64_t left_started_ms;
	usec_t changed_at; /* when the entry last changed in this directory */
} member_t;

LIST_HEAD(member_list, member);

typedef struct directory directory_t;

typedef enum directory_result {
	DIRECTORY_STALE,   /* not newer than the known entry; ignored */
	DIRECTORY_CHANGED, /* stored */
	DIRECTORY_REFUTED, /* newer than this node's entry, which was raised above it */
} directory_result_t;

/* `self` is copied. */
directory_t *directory_create(const member_t *self);
void directory_destroy(directory_t *directory);

directory_result_t directory_merge(directory_t *directory, const member_t *member,
				   usec_t now);

const member_t *directory_self(const directory_t *directory);

/* Replaces the fields of this node's own entry, keeps its generation and raises its
 * incarnation. */
void directory_update_self(directory_t *directory, const member_t *fields, usec_t now);

const member_t *directory_lookup(const directory_t *directory, const char *address);
const struct member_list *directory_members(const directory_t *directory);

/* Number of members that are alive or suspected, this node included. */
uint32_t directory_live_count(const directory_t *directory);

/* Marks an alive member as suspected. Returns it, or NULL if nothing changed. */
const member_t *directory_suspect(directory_t *directory, const char *address,
				  usec_t now);

typedef void (*directory_member_fn)(void *ctx, const member_t *member);

/* Declares members dead that were suspected for `timeout`, calling `on_dead` for each,
 * and removes expired tombstones. */
void directory_expire(directory_t *directory, usec_t now, usec_t timeout,
		      directory_member_fn on_dead, void *ctx);

/* Computes a digest over the entries of each bucket. Pulls compare the digests of two
 * directories. */
void directory_digests(const directory_t *directory, uint64_t out[DIRECTORY_BUCKETS]);
uint32_t directory_bucket(const char *address);

/* The live member of the zone that holds the lease on the partition with the highest
 * epoch, or NULL. */
const member_t *directory_keeper(const directory_t *directory, const char *zone,
				 uint32_t partition);

/* Conversion to and from the wire. The result of member_encode() points into `member`
 * and the two arrays; member_decode() returns false if a field is invalid. */
void member_encode(const member_t *member, Egret__Member *out,
		   Egret__KeeperClaim claims[KEEPER_PARTITIONS],
		   Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS]);
bool member_decode(const Egret__Member *wire, member_t *out);

#endif
