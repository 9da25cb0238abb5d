#include "egretscaled/rates/confirm.h"

#include "common/log.h"
#include "egretscaled/rates/loans_io.h"
#include "wire/frame_link.h"

#include <string.h>

/* A round starts this long before the lease would end. */
#define CONFIRM_AHEAD LEASE_RENEW_PERIOD

/* One zone member's link, kept while rounds are needed. */
typedef struct confirm_peer {
	confirm_t *confirm;
	char address[ADDRESS_TEXT_BYTES];
	frame_link_t *link;
	uint64_t answered; /* sequence of the last answer */
} confirm_peer_t;

struct confirm {
	node_t *node;
	struct tevent_context *ev;
	GHashTable *peers; /* address -> confirm_peer_t */
	uint64_t sequence;
	usec_t asked;
	uint32_t zone_size;
	uint32_t answers;
	Egret__KeeperClaim claims[KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS];
	size_t claim_count;
	bool contested[KEEPER_PARTITIONS];
};

static void destroy_peer(void *data)
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
	confirm->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy_peer);
	return confirm;
}

void confirm_destroy(confirm_t *confirm)
{
	if (!confirm)
		return;
	g_hash_table_destroy(confirm->peers);
	talloc_free(confirm);
}

static void log_round(const confirm_t *confirm, uint32_t partition, const char *result)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "lease");
	log_str(&rec, "zone", confirm->node->settings->zone);
	log_int(&rec, "partition", partition);
	log_str(&rec, "change", result);
	log_int(&rec, "answers", confirm->answers);
	log_int(&rec, "zone_nodes", confirm->zone_size);
	log_end(&rec);
}

/* Applies the answers so far to one partition's lease. */
static void judge(confirm_t *confirm, uint32_t partition, usec_t now)
{
	uint32_t n = confirm->zone_size;
	lease_t *lease = keeper_lease(confirm->node->accounts->keeper, partition);

	if (confirm->contested[partition])
		return;
	/* An older keeper needs more than half: leave it no more than half. */
	if (!lease->acknowledged && confirm->answers >= (n + 1) / 2) {
		lease_acknowledged(lease, now);
		log_round(confirm, partition, "acknowledged");
	}
	if (confirm->answers * 2 > n)
		lease_confirmed(lease, confirm->asked);
}

static void judge_all(confirm_t *confirm)
{
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&confirm->node->account_lock);
	for (size_t i = 0; i < confirm->claim_count; i++)
		judge(confirm, confirm->claims[i].partition, now);
	pthread_mutex_unlock(&confirm->node->account_lock);
}

static void take_newer(confirm_t *confirm, const Egret__KeeperClaim *claim)
{
	node_t *node = confirm->node;

	if (claim->partition >= KEEPER_PARTITIONS)
		return;
	confirm->contested[claim->partition] = true;
	pthread_mutex_lock(&node->account_lock);
	lease_t *lease = keeper_lease(node->accounts->keeper, claim->partition);
	if (lease->state == LEASE_HELD && lease->epoch < claim->epoch) {
		lease_drop(lease);
		keeper_drop_lenders(node->accounts->keeper, claim->partition);
		log_round(confirm, claim->partition, "superseded");
	}
	pthread_mutex_unlock(&node->account_lock);
}

static void handle_frame(void *ctx, const Egret__Frame *frame)
{
	confirm_peer_t *peer = ctx;
	confirm_t *confirm = peer->confirm;
	const Egret__KeeperConfirmReply *reply = frame->keeper_confirm_reply;

	if (frame->kind_case != EGRET__FRAME__KIND_KEEPER_CONFIRM_REPLY ||
	    reply->sequence != confirm->sequence || peer->answered == confirm->sequence)
		return;
	peer->answered = confirm->sequence;
	for (size_t i = 0; i < reply->n_newer; i++)
		take_newer(confirm, reply->newer[i]);
	confirm->answers++;
	judge_all(confirm);
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

static void ask_peer(confirm_t *confirm, const char *address)
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

static bool needs_round(const lease_t *lease, usec_t now)
{
	if (lease->state != LEASE_HELD)
		return false;
	return !lease->acknowledged ||
	       now >= lease->renewed_at + LEASE_TERM - CONFIRM_AHEAD;
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

/* The zone's other nodes, those that died lately included. */
static GPtrArray *zone_members(confirm_t *confirm)
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
	if (now - confirm->asked < CONFIRM_PERIOD)
		return;
	collect_claims(confirm, now);
	if (confirm->claim_count == 0) {
		g_hash_table_remove_all(confirm->peers);
		return;
	}
	GPtrArray *addresses = zone_members(confirm);
	confirm->sequence = node_random_id();
	confirm->asked = now;
	confirm->answers = 1;
	memset(confirm->contested, 0, sizeof(confirm->contested));
	judge_all(confirm);
	for (guint i = 0; i < addresses->len; i++)
		ask_peer(confirm, addresses->pdata[i]);
	g_ptr_array_free(addresses, TRUE);
}
