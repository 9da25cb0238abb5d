#include "membership/gossip_state.h"

#include "common/revision.h"

#include <glib.h>
#include <string.h>

#define PUSHES_PER_SECOND_MAX 20
#define HEAL_PERIOD (5 * USEC_PER_SEC)
/* For this time after seeds were added, those that are unknown are probed in each tick.
 */
#define SEEK_TIME (5 * USEC_PER_SEC)
/* Transmissions saved for each duplicate received: its sender needs no update. */
#define DUPLICATE_TRANSMISSIONS 2
#define SUSPICION_LIFETIME (30 * USEC_PER_SEC)

gossip_t *gossip_create(const member_t *self, const char *const *seeds,
			const gossip_ops_t *ops, void *ctx, uint64_t random_seed)
{
	gossip_t *gossip = g_new0(gossip_t, 1);
	guint32 words[2] = {(guint32)random_seed, (guint32)(random_seed >> 32)};

	gossip->ops = ops;
	gossip->ctx = ctx;
	gossip->directory = directory_create(self);
	gossip->seeds = g_ptr_array_new_with_free_func(g_free);
	for (; seeds && *seeds; seeds++)
		gossip_add_seed(gossip, *seeds);
	gossip->rand = g_rand_new_with_seed_array(words, 2);
	gossip->probe_order = g_ptr_array_new_with_free_func(g_free);
	gossip->relays =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	gossip->updates_by_address = g_hash_table_new(g_str_hash, g_str_equal);
	gossip->next_sequence = random_seed;
	TAILQ_INIT(&gossip->updates);
	TAILQ_INIT(&gossip->suspicions);
	return gossip;
}

void gossip_destroy(gossip_t *gossip)
{
	if (!gossip)
		return;
	while (!TAILQ_EMPTY(&gossip->updates))
		gossip_drop_update(gossip, TAILQ_FIRST(&gossip->updates));
	while (!TAILQ_EMPTY(&gossip->suspicions))
		gossip_drop_suspicion(gossip, TAILQ_FIRST(&gossip->suspicions));
	g_hash_table_destroy(gossip->updates_by_address);
	g_hash_table_destroy(gossip->relays);
	g_ptr_array_free(gossip->probe_order, TRUE);
	g_ptr_array_free(gossip->seeds, TRUE);
	g_rand_free(gossip->rand);
	directory_destroy(gossip->directory);
	g_free(gossip);
}

directory_t *gossip_directory(gossip_t *gossip)
{
	return gossip->directory;
}

void gossip_add_seed(gossip_t *gossip, const char *address)
{
	if (g_ptr_array_find_with_equal_func(gossip->seeds, address, g_str_equal, NULL))
		return;
	g_ptr_array_add(gossip->seeds, g_strdup(address));
	gossip->seeds_added = true;
}

static bool is_live(const member_t *member)
{
	return member->state <= EGRET__MEMBER_STATE__MEMBER_SUSPECT;
}

/* Picks a live member by reservoir sampling in one pass; NULL if there is none. */
static const member_t *random_live_member(gossip_t *gossip, const char *except)
{
	const member_t *chosen = NULL;
	const member_t *member;
	gint32 seen = 0;

	LIST_FOREACH(member, directory_members(gossip->directory), link)
	{
		if (!is_live(member) || member == directory_self(gossip->directory) ||
		    g_strcmp0(member->address, except) == 0)
			continue;
		if (g_rand_int_range(gossip->rand, 0, ++seen) == 0)
			chosen = member;
	}
	return chosen;
}

const member_t *gossip_random_member(gossip_t *gossip)
{
	return random_live_member(gossip, NULL);
}

const char *gossip_random_contact(gossip_t *gossip)
{
	const member_t *member = random_live_member(gossip, NULL);

	if (member)
		return member->address;
	if (gossip->seeds->len == 0)
		return NULL;
	return gossip->seeds
		->pdata[g_rand_int_range(gossip->rand, 0, (gint32)gossip->seeds->len)];
}

static bool may_push(gossip_t *gossip, usec_t now)
{
	if (now - gossip->push_window_start >= USEC_PER_SEC) {
		gossip->push_window_start = now;
		gossip->pushes_in_window = 0;
	}
	return gossip->pushes_in_window++ < PUSHES_PER_SECOND_MAX;
}

void gossip_push(gossip_t *gossip, usec_t now)
{
	if (!may_push(gossip, now))
		return;
	for (int i = 0; i < GOSSIP_FANOUT; i++) {
		const member_t *member = random_live_member(gossip, NULL);
		if (!member)
			return;
		gossip_send(gossip, now, member->address, EGRET__GOSSIP_KIND__GOSSIP_NEWS,
			    0, NULL);
	}
}

void gossip_update_self(gossip_t *gossip, usec_t now, const member_t *fields)
{
	directory_update_self(gossip->directory, fields, now);
	gossip_queue_update(gossip, fields->address);
	gossip_push(gossip, now);
}

static void queue_suspicion(gossip_t *gossip, usec_t now, uint64_t fingerprint,
			    uint64_t crash, uint32_t evidence, usec_t created)
{
	suspicion_update_t *update = g_new0(suspicion_update_t, 1);

	update->fingerprint = fingerprint;
	update->crash = crash;
	update->evidence = evidence;
	update->created = created;
	update->transmissions = gossip_transmissions(gossip);
	TAILQ_INSERT_TAIL(&gossip->suspicions, update, link);
	gossip_push(gossip, now);
}

void gossip_broadcast_suspicion(gossip_t *gossip, usec_t now, uint64_t fingerprint,
				uint64_t crash, uint32_t evidence)
{
	queue_suspicion(gossip, now, fingerprint, crash, evidence, now);
}

/* Another node sent the same entry, so the update is sent fewer times. */
static void reduce_transmissions(gossip_t *gossip, const member_t *member)
{
	member_update_t *update =
		g_hash_table_lookup(gossip->updates_by_address, member->address);
	const member_t *known = directory_lookup(gossip->directory, member->address);

	if (!update || !known || known->generation != member->generation ||
	    known->incarnation != member->incarnation || known->state != member->state)
		return;
	if (update->transmissions <= DUPLICATE_TRANSMISSIONS)
		gossip_drop_update(gossip, update);
	else
		update->transmissions -= DUPLICATE_TRANSMISSIONS;
}

void gossip_merge(gossip_t *gossip, usec_t now, const member_t *member)
{
	directory_result_t result = directory_merge(gossip->directory, member, now);

	if (result == DIRECTORY_STALE) {
		reduce_transmissions(gossip, member);
		return;
	}
	gossip_queue_update(gossip, member->address);
	gossip->ops->on_member(gossip->ctx,
			       directory_lookup(gossip->directory, member->address));
	gossip_push(gossip, now);
}

static void handle_suspicion(gossip_t *gossip, usec_t now, const Egret__Suspicion *wire)
{
	usec_t age = (usec_t)wire->age_ms * USEC_PER_MSEC;

	if (age >= SUSPICION_LIFETIME)
		return;
	if (gossip->ops->on_suspicion(gossip->ctx, wire->fingerprint, wire->crash,
				      wire->evidence, wire->age_ms))
		queue_suspicion(gossip, now, wire->fingerprint, wire->crash,
				wire->evidence, now - age);
}

static void relay_probe(gossip_t *gossip, usec_t now, const Egret__Gossip *message)
{
	relay_t *relay = g_new0(relay_t, 1);
	uint64_t sequence = ++gossip->next_sequence;

	g_strlcpy(relay->requester, message->sender, sizeof(relay->requester));
	g_strlcpy(relay->subject, message->subject, sizeof(relay->subject));
	relay->requester_sequence = message->sequence;
	relay->started = now;
	g_hash_table_insert(gossip->relays, g_memdup2(&sequence, sizeof(sequence)),
			    relay);
	gossip_send(gossip, now, relay->subject, EGRET__GOSSIP_KIND__GOSSIP_PING,
		    sequence, NULL);
}

static void handle_ack(gossip_t *gossip, usec_t now, const Egret__Gossip *message)
{
	relay_t *relay = g_hash_table_lookup(gossip->relays, &message->sequence);

	if (gossip->probe.active && message->sequence == gossip->probe.sequence)
		gossip->probe.active = false;
	if (!relay)
		return;
	gossip_send(gossip, now, relay->requester, EGRET__GOSSIP_KIND__GOSSIP_ACK,
		    relay->requester_sequence, relay->subject);
	g_hash_table_remove(gossip->relays, &message->sequence);
}

void gossip_receive(gossip_t *gossip, usec_t now, const Egret__Gossip *message)
{
	struct sockaddr_in address;

	if (!address_parse(message->sender, &address, NULL))
		return;
	for (size_t i = 0; i < message->n_members; i++) {
		member_t member;
		if (member_decode(message->members[i], &member))
			gossip_merge(gossip, now, &member);
	}
	for (size_t i = 0; i < message->n_suspicions; i++)
		handle_suspicion(gossip, now, message->suspicions[i]);
	switch (message->kind) {
	case EGRET__GOSSIP_KIND__GOSSIP_PING:
		gossip_send(gossip, now, message->sender, EGRET__GOSSIP_KIND__GOSSIP_ACK,
			    message->sequence, NULL);
		break;
	case EGRET__GOSSIP_KIND__GOSSIP_ACK:
		handle_ack(gossip, now, message);
		break;
	case EGRET__GOSSIP_KIND__GOSSIP_PING_REQUEST:
		if (address_parse(message->subject, &address, NULL))
			relay_probe(gossip, now, message);
		break;
	default:
		break;
	}
	gossip_receive_config(gossip, now, message);
}

void gossip_receive_config(gossip_t *gossip, usec_t now, const Egret__Gossip *message)
{
	if (message->config_revision > gossip->ops->config_revision(gossip->ctx)) {
		gossip->ops->on_newer_config(gossip->ctx, message->sender,
					     message->config_revision);
		return;
	}
	if (message->config_revision == 0 || message->config_age_ms == 0)
		return;
	/* What a peer read in a former era is no evidence on the store of this one. */
	if (revision_era(message->config_revision) <
	    revision_era(gossip->ops->config_revision(gossip->ctx)))
		return;
	usec_t as_of = now - (usec_t)message->config_age_ms * USEC_PER_MSEC;
	if (gossip->ops->on_config_confirmed(gossip->ctx, as_of))
		gossip_push(gossip, now);
}

static void refill_probe_order(gossip_t *gossip)
{
	const member_t *member;

	LIST_FOREACH(member, directory_members(gossip->directory), link)
	{
		if (!is_live(member) || member == directory_self(gossip->directory))
			continue;
		gint32 at = g_rand_int_range(gossip->rand, 0,
					     (gint32)gossip->probe_order->len + 1);
		g_ptr_array_insert(gossip->probe_order, at, g_strdup(member->address));
	}
}

static const member_t *next_to_probe(gossip_t *gossip)
{
	if (gossip->probe_order->len == 0)
		refill_probe_order(gossip);
	while (gossip->probe_order->len > 0) {
		char *address = g_ptr_array_steal_index(gossip->probe_order,
							gossip->probe_order->len - 1);
		const member_t *member = directory_lookup(gossip->directory, address);

		g_free(address);
		if (member && is_live(member))
			return member;
	}
	return NULL;
}

static void start_probe(gossip_t *gossip, usec_t now)
{
	const member_t *member = next_to_probe(gossip);
	probe_t *probe = &gossip->probe;

	if (!member)
		return;
	probe->active = true;
	probe->indirect = false;
	probe->started = now;
	probe->sequence = ++gossip->next_sequence;
	g_strlcpy(probe->address, member->address, sizeof(probe->address));
	gossip_send(gossip, now, probe->address, EGRET__GOSSIP_KIND__GOSSIP_PING,
		    probe->sequence, NULL);
}

static void probe_indirectly(gossip_t *gossip, usec_t now)
{
	gossip->probe.indirect = true;
	for (int i = 0; i < GOSSIP_INDIRECT_PROBES; i++) {
		const member_t *relay = random_live_member(gossip, gossip->probe.address);
		if (!relay)
			return;
		gossip_send(gossip, now, relay->address,
			    EGRET__GOSSIP_KIND__GOSSIP_PING_REQUEST,
			    gossip->probe.sequence, gossip->probe.address);
	}
}

static void finish_probe(gossip_t *gossip, usec_t now)
{
	if (!gossip->probe.active)
		return;
	gossip->probe.active = false;
	const member_t *member =
		directory_suspect(gossip->directory, gossip->probe.address, now);
	if (!member)
		return;
	gossip_queue_update(gossip, member->address);
	gossip->ops->on_member(gossip->ctx, member);
}

static void handle_member_dead(void *ctx, const member_t *member)
{
	gossip_t *gossip = ctx;

	gossip_queue_update(gossip, member->address);
	gossip->ops->on_member(gossip->ctx, member);
}

/* Probes a random dead member, and a random seed that is not a live member. */
static void probe_dead_and_seeds(gossip_t *gossip, usec_t now)
{
	const member_t *chosen = NULL;
	const member_t *member;
	gint32 seen = 0;

	LIST_FOREACH(member, directory_members(gossip->directory), link)
	{
		if (member->state != EGRET__MEMBER_STATE__MEMBER_DEAD)
			continue;
		if (g_rand_int_range(gossip->rand, 0, ++seen) == 0)
			chosen = member;
	}
	if (chosen)
		gossip_send(gossip, now, chosen->address, EGRET__GOSSIP_KIND__GOSSIP_PING,
			    ++gossip->next_sequence, NULL);
	if (gossip->seeds->len == 0)
		return;
	gint32 i = g_rand_int_range(gossip->rand, 0, (gint32)gossip->seeds->len);
	const char *seed = gossip->seeds->pdata[i];
	member = directory_lookup(gossip->directory, seed);
	if (!member || !is_live(member))
		gossip_send(gossip, now, seed, EGRET__GOSSIP_KIND__GOSSIP_PING,
			    ++gossip->next_sequence, NULL);
}

/* Probes the next seed without a directory entry. */
static void probe_unknown_seed(gossip_t *gossip, usec_t now)
{
	for (guint i = 0; i < gossip->seeds->len; i++) {
		const char *seed =
			gossip->seeds->pdata[gossip->next_seed++ % gossip->seeds->len];

		if (directory_lookup(gossip->directory, seed))
			continue;
		gossip_send(gossip, now, seed, EGRET__GOSSIP_KIND__GOSSIP_PING,
			    ++gossip->next_sequence, NULL);
		return;
	}
}

static gboolean relay_is_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	const relay_t *relay = value;

	return *(const usec_t *)now - relay->started > 2 * GOSSIP_PROBE_PERIOD;
}

void gossip_tick(gossip_t *gossip, usec_t now)
{
	probe_t *probe = &gossip->probe;

	if (probe->active && !probe->indirect &&
	    now - probe->started >= GOSSIP_ACK_TIMEOUT)
		probe_indirectly(gossip, now);
	if (now >= gossip->next_probe) {
		finish_probe(gossip, now);
		start_probe(gossip, now);
		gossip->next_probe = now + GOSSIP_PROBE_PERIOD;
		g_hash_table_foreach_remove(gossip->relays, relay_is_expired, &now);
		directory_expire(gossip->directory, now, GOSSIP_SUSPECT_TIMEOUT,
				 handle_member_dead, gossip);
	}
	if (gossip->seeds_added) {
		gossip->seek_until = now + SEEK_TIME;
		/* Nodes that read the same list probe different parts of it. */
		gossip->next_seed = g_rand_int(gossip->rand);
	}
	gossip->seeds_added = false;
	if (now < gossip->seek_until)
		probe_unknown_seed(gossip, now);
	bool alone = directory_live_count(gossip->directory) < 2;
	if (now >= gossip->next_heal) {
		probe_dead_and_seeds(gossip, now);
		gossip->next_heal = now + (alone ? GOSSIP_ACK_TIMEOUT : HEAL_PERIOD);
	}
}
