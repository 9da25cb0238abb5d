#include "membership/directory.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct directory {
	member_t *self;
	GHashTable *by_address; /* address -> member_t */
	struct member_list members;
	uint32_t live;
};

static bool is_live(const member_t *member)
{
	return member->state == EGRET__MEMBER_STATE__MEMBER_ALIVE ||
	       member->state == EGRET__MEMBER_STATE__MEMBER_SUSPECT;
}

static member_t *insert(directory_t *directory, const member_t *fields)
{
	member_t *member = g_new0(member_t, 1);

	*member = *fields;
	LIST_INSERT_HEAD(&directory->members, member, link);
	g_hash_table_insert(directory->by_address, member->address, member);
	if (is_live(member))
		directory->live++;
	return member;
}

static void assign(directory_t *directory, member_t *member, const member_t *fields,
		   usec_t now)
{
	bool was_live = is_live(member);
	member_t copy = *fields;

	copy.link = member->link;
	copy.changed_at = now;
	if (!*copy.left_id) {
		g_strlcpy(copy.left_id, member->left_id, sizeof(copy.left_id));
		copy.left_started_ms = member->left_started_ms;
	}
	*member = copy;
	directory->live += (uint32_t)is_live(member) - (uint32_t)was_live;
}

directory_t *directory_create(const member_t *self)
{
	directory_t *directory = g_new0(directory_t, 1);

	LIST_INIT(&directory->members);
	directory->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	directory->self = insert(directory, self);
	return directory;
}

static void remove_member(directory_t *directory, member_t *member)
{
	g_hash_table_remove(directory->by_address, member->address);
	LIST_REMOVE(member, link);
	if (is_live(member))
		directory->live--;
	g_free(member);
}

void directory_destroy(directory_t *directory)
{
	if (!directory)
		return;
	while (!LIST_EMPTY(&directory->members))
		remove_member(directory, LIST_FIRST(&directory->members));
	g_hash_table_destroy(directory->by_address);
	g_free(directory);
}

/* Order of two entries of one address: generation, incarnation, state. */
static int compare_versions(const member_t *a, const member_t *b)
{
	if (a->generation != b->generation)
		return a->generation > b->generation ? 1 : -1;
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation ? 1 : -1;
	return (int)a->state - (int)b->state;
}

static directory_result_t merge_self(directory_t *directory, const member_t *member,
				     usec_t now)
{
	member_t *self = directory->self;

	if (compare_versions(member, self) <= 0)
		return DIRECTORY_STALE;
	if (member->generation > self->generation)
		self->generation = member->generation + 1;
	self->incarnation = MAX(self->incarnation, member->incarnation) + 1;
	self->changed_at = now;
	return DIRECTORY_REFUTED;
}

directory_result_t directory_merge(directory_t *directory, const member_t *member,
				   usec_t now)
{
	member_t *existing = g_hash_table_lookup(directory->by_address, member->address);

	if (existing == directory->self)
		return merge_self(directory, member, now);
	if (existing && compare_versions(member, existing) <= 0)
		return DIRECTORY_STALE;
	if (!existing)
		existing = insert(directory, member);
	assign(directory, existing, member, now);
	return DIRECTORY_CHANGED;
}

const member_t *directory_self(const directory_t *directory)
{
	return directory->self;
}

void directory_update_self(directory_t *directory, const member_t *fields, usec_t now)
{
	member_t copy = *fields;

	copy.generation = directory->self->generation;
	copy.incarnation = directory->self->incarnation + 1;
	assign(directory, directory->self, &copy, now);
}

const member_t *directory_lookup(const directory_t *directory, const char *address)
{
	return g_hash_table_lookup(directory->by_address, address);
}

const struct member_list *directory_members(const directory_t *directory)
{
	return &directory->members;
}

uint32_t directory_live_count(const directory_t *directory)
{
	return directory->live;
}

const member_t *directory_suspect(directory_t *directory, const char *address, usec_t now)
{
	member_t *member = g_hash_table_lookup(directory->by_address, address);

	if (!member || member == directory->self ||
	    member->state != EGRET__MEMBER_STATE__MEMBER_ALIVE)
		return NULL;
	member->state = EGRET__MEMBER_STATE__MEMBER_SUSPECT;
	member->changed_at = now;
	return member;
}

void directory_expire(directory_t *directory, usec_t now, usec_t timeout,
		      directory_member_fn on_dead, void *ctx)
{
	member_t *member = LIST_FIRST(&directory->members);

	while (member) {
		member_t *next = LIST_NEXT(member, link);
		usec_t age = now - member->changed_at;

		if (member->state == EGRET__MEMBER_STATE__MEMBER_SUSPECT &&
		    age >= timeout) {
			member->state = EGRET__MEMBER_STATE__MEMBER_DEAD;
			member->changed_at = now;
			directory->live--;
			on_dead(ctx, member);
		} else if (!is_live(member) && member != directory->self &&
			   age >= DIRECTORY_TOMBSTONE_LIFETIME) {
			remove_member(directory, member);
		}
		member = next;
	}
}

uint32_t directory_bucket(const char *address)
{
	return (uint32_t)(XXH64(address, strlen(address), 0) % DIRECTORY_BUCKETS);
}

static uint64_t member_digest(const member_t *member)
{
	uint64_t fields[] = {member->generation, member->incarnation,
			     (uint64_t)member->state};

	return XXH64(fields, sizeof(fields),
		     XXH64(member->address, strlen(member->address), 1));
}

void directory_digests(const directory_t *directory, uint64_t out[DIRECTORY_BUCKETS])
{
	const member_t *member;

	memset(out, 0, DIRECTORY_BUCKETS * sizeof(out[0]));
	LIST_FOREACH(member, &directory->members, link)
	out[directory_bucket(member->address)] ^= member_digest(member);
}

const member_t *directory_keeper(const directory_t *directory, const char *zone,
				 uint32_t partition)
{
	const member_t *best = NULL;
	const member_t *member;

	LIST_FOREACH(member, &directory->members, link)
	{
		uint64_t epoch = member->keeper_epochs[partition];

		if (epoch == 0 || !is_live(member) || strcmp(member->zone, zone) != 0)
			continue;
		if (!best || epoch > best->keeper_epochs[partition])
			best = member;
	}
	return best;
}

void member_encode(const member_t *member, Egret__Member *out,
		   Egret__KeeperClaim claims[KEEPER_PARTITIONS],
		   Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS])
{
	egret__member__init(out);
	out->address = (char *)member->address;
	out->node_id = member->node_id;
	out->generation = member->generation;
	out->incarnation = member->incarnation;
	out->state = member->state;
	out->zone = (char *)member->zone;
	out->service = (char *)member->service;
	out->version = (char *)member->version;
	out->target = member->target;
	out->slots = member->slots;
	out->cold_slots = member->cold_slots;
	out->ready = member->ready;
	out->left_id = (char *)member->left_id;
	out->left_started_ms = member->left_started_ms;
	out->keeps = claim_list;
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		if (member->keeper_epochs[i] == 0)
			continue;
		egret__keeper_claim__init(&claims[i]);
		claims[i].partition = i;
		claims[i].epoch = member->keeper_epochs[i];
		claim_list[out->n_keeps++] = &claims[i];
	}
}

static bool copy_text(char *out, size_t size, const char *text)
{
	return text && g_strlcpy(out, text, size) < size;
}

bool member_decode(const Egret__Member *wire, member_t *out)
{
	struct sockaddr_in address;

	memset(out, 0, sizeof(*out));
	if (!copy_text(out->address, sizeof(out->address), wire->address) ||
	    !address_parse(out->address, &address, NULL) ||
	    !copy_text(out->zone, sizeof(out->zone), wire->zone) ||
	    !copy_text(out->service, sizeof(out->service), wire->service) ||
	    !copy_text(out->version, sizeof(out->version), wire->version) ||
	    !copy_text(out->left_id, sizeof(out->left_id), wire->left_id))
		return false;
	if (wire->state > EGRET__MEMBER_STATE__MEMBER_LEFT ||
	    wire->target > EGRET__TARGET_STATE__TARGET_DRAINING)
		return false;
	out->node_id = wire->node_id;
	out->generation = wire->generation;
	out->incarnation = wire->incarnation;
	out->state = wire->state;
	out->target = wire->target;
	out->slots = wire->slots;
	out->cold_slots = wire->cold_slots;
	out->ready = wire->ready;
	out->left_started_ms = wire->left_started_ms;
	for (size_t i = 0; i < wire->n_keeps; i++) {
		if (wire->keeps[i]->partition >= KEEPER_PARTITIONS)
			return false;
		out->keeper_epochs[wire->keeps[i]->partition] = wire->keeps[i]->epoch;
	}
	return true;
}
