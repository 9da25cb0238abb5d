#include "egretscaled/rates/confirm.h"

#include "common/log.h"
#include "egretscaled/rates/loans_io.h"
#include "wire/frame_link.h"

#include <string.h>

/* A round starts this long before the lease expires. */
#define CONFIRM_LEAD_TIME LEASE_RENEW_PERIOD

/* Another node of the zone. Kept with its link while rounds are needed. */
typedef struct confirm_peer {
	confirm_t *confirm;
	char address[ADDRESS_TEXT_BYTES];
	frame_link_t *link;
	uint64_t replied_sequence; /* of the last round that it replied to */
} confirm_peer_t;

struct confirm {
	node_t *node;
	struct tevent_context *ev;
	GHashTable *peers; /* address -> confirm_peer_t */
	uint64_t sequence; /* random id of the round */
	usec_t round_sent_at;
	uint32_t zone_size;	/* nodes of the zone, this one included */
	uint32_t round_replies; /* this node's own included */
	Egret__KeeperClaim claims[KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS];
	size_t claim_count;
	bool superseded[KEEPER_PARTITIONS]; /* a reply had a newer epoch */
};

static void confirm_peer_destroy(void *data)
{
	confirm_peer_t *peer = data;

	frame_link_destroy(peer->link);
	g_free(peer);
}

confirm_t *confirm_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node)
{
	confirm_t *confirm = talloc_zero(parent, confirm_t);

	confirm->node = node;
	confirm->ev = ev;
	confirm->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       confirm_peer_destroy);
	return confirm;
}

void confirm_destroy(confirm_t *confirm)
{
	if (!confirm)
		return;
	g_hash_table_destroy(confirm->peers);
	talloc_free(confirm);
}

static void log_lease_change(const confirm_t *confirm, uint32_t partition,
			     const char *change)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "lease");
	log_str(&rec, "zone", confirm->node->settings->zone);
	log_int(&rec, "partition", partition);
	log_str(&rec, "change", change);
	log_int(&rec, "answers", confirm->round_replies);
	log_int(&rec, "zone_nodes", confirm->zone_size);
	log_end(&rec);
}

/* Applies the replies so far to one partition's lease. */
static void evaluate_claim(confirm_t *confirm, uint32_t partition, usec_t now)
{
	uint32_t zone_size = confirm->zone_size;
	lease_t *lease = keeper_lease(confirm->node->accounts->keeper, partition);

	if (confirm->superseded[partition])
		return;
	/* A predecessor needs replies of more than half of the nodes to be confirmed. It
	 * can no longer get them once at least half have seen this epoch. */
	if (!lease->acknowledged && confirm->round_replies >= (zone_size + 1) / 2) {
		lease_acknowledged(lease, now);
		log_lease_change(confirm, partition, "acknowledged");
	}
	if (confirm->round_replies * 2 > zone_size)
		lease_confirmed(lease, confirm->round_sent_at);
}

static void evaluate_claims(confirm_t *confirm)
{
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&confirm->node->account_lock);
	for (size_t i = 0; i < confirm->claim_count; i++)
		evaluate_claim(confirm, confirm->claims[i].partition, now);
	pthread_mutex_unlock(&confirm->node->account_lock);
}

static void handle_newer_epoch(confirm_t *confirm, const Egret__KeeperClaim *claim)
{
	node_t *node = confirm->node;

	if (claim->partition >= KEEPER_PARTITIONS)
		return;
	confirm->superseded[claim->partition] = true;
	pthread_mutex_lock(&node->account_lock);
	lease_t *lease = keeper_lease(node->accounts->keeper, claim->partition);
	if (lease->state == LEASE_HELD && lease->epoch < claim->epoch) {
		lease_drop(lease);
		keeper_drop_lenders(node->accounts->keeper, claim->partition);
		log_lease_change(confirm, claim->partition, "superseded");
	}
	pthread_mutex_unlock(&node->account_lock);
}

static void handle_frame(void *ctx, const Egret__Frame *frame)
{
	confirm_peer_t *peer = ctx;
	confirm_t *confirm = peer->confirm;
	const Egret__KeeperConfirmReply *reply = frame->keeper_confirm_reply;

	if (frame->kind_case != EGRET__FRAME__KIND_KEEPER_CONFIRM_REPLY ||
	    reply->sequence != confirm->sequence ||
	    peer->replied_sequence == confirm->sequence)
		return;
	peer->replied_sequence = confirm->sequence;
	for (size_t i = 0; i < reply->n_newer; i++)
		handle_newer_epoch(confirm, reply->newer[i]);
	confirm->round_replies++;
	evaluate_claims(confirm);
}

static void handle_closed(void *ctx, const GError *error)
{
	confirm_peer_t *peer = ctx;

	(void)error;
	frame_link_destroy(peer->link);
	peer->link = NULL;
}

static const frame_link_ops_t link_ops = {
	.on_frame = handle_frame,
	.on_closed = handle_closed,
};

static void send_claims(confirm_t *confirm, const char *address)
{
	confirm_peer_t *peer = g_hash_table_lookup(confirm->peers, address);
	struct sockaddr_in to;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__KeeperConfirm message = EGRET__KEEPER_CONFIRM__INIT;

	if (!peer) {
		peer = g_new0(confirm_peer_t, 1);
		peer->confirm = confirm;
		g_strlcpy(peer->address, address, sizeof(peer->address));
		g_hash_table_insert(confirm->peers, peer->address, peer);
	}
	if (!peer->link && address_parse(address, &to, NULL))
		peer->link = frame_link_connect(NULL, confirm->ev, confirm->node->auth,
						&to, &link_ops, peer, NULL);
	if (!peer->link)
		return;
	message.sequence = confirm->sequence;
	message.zone = confirm->node->settings->zone;
	message.claims = confirm->claim_list;
	message.n_claims = confirm->claim_count;
	frame.kind_case = EGRET__FRAME__KIND_KEEPER_CONFIRM;
	frame.keeper_confirm = &message;
	frame_link_send(peer->link, &frame);
}

/* Whether the lease is not acknowledged yet or is about to expire. */
static bool needs_round(const lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD)
		return false;
	return !lease->acknowledged ||
	       now >= lease->renewed_at + LEASE_TERM - CONFIRM_LEAD_TIME;
}

static void collect_claims(confirm_t *confirm, usec_t now)
{
	node_t *node = confirm->node;

	confirm->claim_count = 0;
	pthread_mutex_lock(&node->account_lock);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		const lease_t *lease = keeper_lease(node->accounts->keeper, i);
		if (!needs_round(lease, now))
			continue;
		Egret__KeeperClaim *claim = &confirm->claims[confirm->claim_count];
		egret__keeper_claim__init(claim);
		claim->partition = i;
		claim->epoch = lease->epoch;
		confirm->claim_list[confirm->claim_count++] = claim;
	}
	pthread_mutex_unlock(&node->account_lock);
}

/* Returns the addresses of the zone's other live nodes and counts the zone's nodes. The
 * count includes dead nodes that the directory still holds. */
static GPtrArray *collect_peer_addresses(confirm_t *confirm)
{
	node_t *node = confirm->node;
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
	const member_t *member;

	confirm->zone_size = 1;
	pthread_mutex_lock(&node->gossip_lock);
	directory_t *directory = gossip_directory(node->gossip);
	LIST_FOREACH(member, directory_members(directory), link)
	{
		if (member == directory_self(directory) ||
		    member->state == EGRET__MEMBER_STATE__MEMBER_LEFT ||
		    strcmp(member->zone, node->settings->zone) != 0)
			continue;
		confirm->zone_size++;
		if (member->state != EGRET__MEMBER_STATE__MEMBER_DEAD)
			g_ptr_array_add(addresses, g_strdup(member->address));
	}
	pthread_mutex_unlock(&node->gossip_lock);
	return addresses;
}

void confirm_step(confirm_t *confirm, usec_t now)
{
	if (now - confirm->round_sent_at < CONFIRM_PERIOD)
		return;
	collect_claims(confirm, now);
	if (confirm->claim_count == 0) {
		g_hash_table_remove_all(confirm->peers);
		return;
	}
	GPtrArray *addresses = collect_peer_addresses(confirm);
	confirm->sequence = node_random_id();
	confirm->round_sent_at = now;
	confirm->round_replies = 1;
	memset(confirm->superseded, 0, sizeof(confirm->superseded));
	evaluate_claims(confirm);
	for (guint i = 0; i < addresses->len; i++)
		send_claims(confirm, addresses->pdata[i]);
	g_ptr_array_free(addresses, TRUE);
}
