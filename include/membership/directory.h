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
 *	directory - what a node knows of all nodes
 *
 * DESCRIPTION
 *	One member for each peer address. Entries merge by (generation,
 *	incarnation, state), so that no order of messages takes one back: a
 *	restart at the same address has a higher generation, and a member that
 *	hears itself suspected raises its incarnation. Dead and left members stay
 *	as tombstones for DIRECTORY_TOMBSTONE_LIFETIME so that a partition can heal.
 *
 * THREADS
 *	None of its own; the owner holds one lock around every call.
 */

#define KEEPER_PARTITIONS 16
#define DIRECTORY_BUCKETS 64
#define DIRECTORY_TOMBSTONE_LIFETIME (600 * USEC_PER_SEC)
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
	Egret__TargetState target;
	uint32_t slots;
	uint32_t cold_slots;
	uint64_t keeper_epochs[KEEPER_PARTITIONS]; /* lease epoch, 0 if not kept */
	bool ready;
	usec_t changed; /* when this node last took a change of it */
} member_t;

LIST_HEAD(member_list, member);

typedef struct directory directory_t;

typedef enum directory_result {
	DIRECTORY_STALE,   /* nothing new */
	DIRECTORY_CHANGED, /* taken into the directory */
	DIRECTORY_REFUTED, /* about this node itself: its own entry was raised */
} directory_result_t;

directory_t *directory_create(const member_t *self);
void directory_destroy(directory_t *directory);

directory_result_t directory_merge(directory_t *directory, const member_t *member,
				   usec_t now);

const member_t *directory_self(const directory_t *directory);

/* Replaces this node's own entry fields and raises its incarnation. */
void directory_update_self(directory_t *directory, const member_t *fields, usec_t now);

const member_t *directory_lookup(const directory_t *directory, const char *address);
const struct member_list *directory_members(const directory_t *directory);

/* Members that are alive or suspected, this node included. */
uint32_t directory_live_count(const directory_t *directory);

/* Marks a live member suspect; returns the changed member or NULL. */
const member_t *directory_suspect(directory_t *directory, const char *address,
				  usec_t now);

typedef void (*directory_member_fn)(void *ctx, const member_t *member);

/* Declares suspects older than `timeout` dead and drops old tombstones. */
void directory_expire(directory_t *directory, usec_t now, usec_t timeout,
		      directory_member_fn died, void *ctx);

/* Digests over the entries of each bucket, for anti-entropy. */
void directory_digests(const directory_t *directory, uint64_t out[DIRECTORY_BUCKETS]);
uint32_t directory_bucket(const char *address);

/* The live member of the zone that keeps the partition by the newest epoch. */
const member_t *directory_keeper(const directory_t *directory, const char *zone,
				 uint32_t partition);

/* Conversion to and from the wire; member_decode() checks every field. */
void member_encode(const member_t *member, Egret__Member *out,
		   Egret__KeeperClaim claims[KEEPER_PARTITIONS],
		   Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS]);
bool member_decode(const Egret__Member *wire, member_t *out);

#endif
