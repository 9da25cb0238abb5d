#include "egretscaled/peers/pull.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"
#include "membership/sync.h"

#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define REPLY_ROWS_MAX_BYTES (256u << 10)
#define MEMBERS_PER_REPLY 2000
#define PULL_TIMEOUT USEC_PER_SEC
#define TICK_PERIOD (100 * USEC_PER_MSEC)

struct puller {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	struct tevent_fd *wake_fde;
	int wake_fd; /* eventfd that pull_request() writes to */
	pthread_mutex_t lock;
	char requested_peer[ADDRESS_TEXT_BYTES]; /* guarded by lock; empty if none */
	/* The fields below are used by the control thread only. */
	frame_link_t *link;
	char peer[ADDRESS_TEXT_BYTES];
	usec_t started_at;
	sync_t *sync;
	bool complete; /* the current pull received all record changes of the peer */
	bool peer_has_config; /* complete, and the peer has a configuration */
	bool finished;	      /* the current pull is complete or its link was closed */
};

static void send_pull(puller_t *puller)
{
	node_t *node = puller->node;
	uint64_t digests[DIRECTORY_BUCKETS];
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Pull pull = EGRET__PULL__INIT;

	pthread_mutex_lock(&node->gossip_lock);
	directory_digests(gossip_directory(node->gossip), digests);
	pthread_mutex_unlock(&node->gossip_lock);
	pthread_mutex_lock(&node->config_lock);
	pull.config_after = config_log_revision(node->config_log);
	pthread_mutex_unlock(&node->config_lock);
	pull.bucket_digests = digests;
	pull.n_bucket_digests = DIRECTORY_BUCKETS;
	pull.address = node->address;
	frame.kind_case = EGRET__FRAME__KIND_PULL;
	frame.pull = &pull;
	counter_add(COUNTER_CONFIG_PULLS, 1);
	frame_link_send(puller->link, &frame);
}

static void merge_members(puller_t *puller, const Egret__PullReply *reply)
{
	node_t *node = puller->node;
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->gossip_lock);
	for (size_t i = 0; i < reply->n_members; i++) {
		member_t member;
		if (member_decode(reply->members[i], &member))
			gossip_merge(node->gossip, now, &member);
	}
	pthread_mutex_unlock(&node->gossip_lock);
}

static void merge_rows(puller_t *puller, const Egret__PullReply *reply)
{
	node_config_row_t *rows = g_new0(node_config_row_t, reply->n_rows + 1);
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < reply->n_rows; i++) {
		const Egret__Row *row = reply->rows[i];
		rows[i].key = row->key;
		rows[i].revision = row->revision;
		if (row->value.len == 0)
			continue;
		char *text = g_strndup((const char *)row->value.data, row->value.len);
		g_ptr_array_add(texts, text);
		rows[i].value = text;
	}
	node_apply_config(puller->node, rows, reply->n_rows, reply->config_revision,
			  puller->peer);
	g_ptr_array_free(texts, TRUE);
	g_free(rows);
}

static void merge_refusals(node_t *node, const Egret__PullReply *reply)
{
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->suspect_lock);
	for (size_t i = 0; i < MIN(reply->n_refusals, SUSPECT_REFUSALS_MAX); i++) {
		const Egret__Refusal *wire = reply->refusals[i];
		suspect_refusal_t refusal = {
			.fingerprint = wire->fingerprint,
			.refuse_time = (usec_t)wire->refuse_ms * USEC_PER_MSEC,
			.age = (usec_t)wire->age_ms * USEC_PER_MSEC,
		};
		suspects_add_refusal(node->suspects, &refusal, now);
	}
	pthread_mutex_unlock(&node->suspect_lock);
}

static void handle_frame(void *ctx, const Egret__Frame *frame)
{
	puller_t *puller = ctx;

	if (frame->kind_case != EGRET__FRAME__KIND_PULL_REPLY)
		return;
	merge_members(puller, frame->pull_reply);
	merge_refusals(puller->node, frame->pull_reply);
	if (*frame->pull_reply->left_id)
		node_add_left_process(puller->node, frame->pull_reply->left_id,
				      frame->pull_reply->left_started_ms);
	merge_rows(puller, frame->pull_reply);
	if (!frame->pull_reply->complete) {
		send_pull(puller);
		return;
	}
	puller->complete = true;
	/* A peer at revision 0 has no configuration that this node could start with. */
	puller->peer_has_config = frame->pull_reply->config_revision > 0;
	puller->finished = true;
}

static void handle_closed(void *ctx, const GError *error)
{
	puller_t *puller = ctx;

	(void)error;
	puller->finished = true;
}

static const frame_link_ops_t link_ops = {
	.on_frame = handle_frame,
	.on_closed = handle_closed,
};

static void start_pull(puller_t *puller, const char *address, usec_t now)
{
	struct sockaddr_in to;

	if (!address_parse(address, &to, NULL))
		return;
	g_strlcpy(puller->peer, address, sizeof(puller->peer));
	puller->finished = false;
	puller->complete = false;
	puller->peer_has_config = false;
	puller->started_at = now;
	puller->link = frame_link_connect(NULL, puller->ev, puller->node->auth, &to,
					  &link_ops, puller, NULL);
	if (puller->link)
		send_pull(puller);
}

/* Chooses the requested peer, or a random one when a periodic pull is due. Returns false
 * if no pull is needed or there is no peer. */
static bool choose_peer(puller_t *puller, usec_t now, char out[ADDRESS_TEXT_BYTES])
{
	node_t *node = puller->node;

	pthread_mutex_lock(&puller->lock);
	g_strlcpy(out, puller->requested_peer, ADDRESS_TEXT_BYTES);
	puller->requested_peer[0] = '\0';
	pthread_mutex_unlock(&puller->lock);
	if (*out)
		return true;
	if (!sync_due(puller->sync, now, !atomic_load(&node->ready)))
		return false;
	pthread_mutex_lock(&node->gossip_lock);
	const char *contact = gossip_random_contact(node->gossip);
	if (contact)
		g_strlcpy(out, contact, ADDRESS_TEXT_BYTES);
	pthread_mutex_unlock(&node->gossip_lock);
	return *out != '\0';
}

/* Whether the list of node addresses was read and holds no other node. */
static bool is_only_node(node_t *node)
{
	if (!atomic_load(&node->has_node_list))
		return false;
	pthread_mutex_lock(&node->gossip_lock);
	bool only_node = !gossip_random_contact(node->gossip);
	pthread_mutex_unlock(&node->gossip_lock);
	return only_node;
}

/* Marks the node ready once its configuration and directory are known. */
static void check_readiness(puller_t *puller, usec_t now)
{
	node_t *node = puller->node;

	if (atomic_load(&node->ready))
		return;
	if (sync_directory_known(puller->sync, now, is_only_node(node)) &&
	    !atomic_exchange(&node->has_directory, true))
		node_update_member(node);
	node_check_ready(node);
}

static void finish_pull(puller_t *puller, usec_t now)
{
	node_t *node = puller->node;

	frame_link_destroy(puller->link);
	puller->link = NULL;
	sync_ended(puller->sync, now, puller->peer, puller->complete,
		   puller->peer_has_config);
	if (puller->peer_has_config && sync_config_known(puller->sync)) {
		atomic_store(&node->has_node_list, true);
		atomic_store(&node->has_config, true);
	}
}

/* Ends a complete, failed or timed-out pull and starts the next one if needed. */
static void puller_step(puller_t *puller)
{
	usec_t now = clock_boot_usec();
	char address[ADDRESS_TEXT_BYTES];

	if (puller->link && (puller->finished || now - puller->started_at > PULL_TIMEOUT))
		finish_pull(puller, now);
	check_readiness(puller, now);
	if (!puller->link && choose_peer(puller, now, address))
		start_pull(puller, address, now);
}

static void schedule_tick(puller_t *puller);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	puller_t *puller = private_data;

	puller_step(puller);
	schedule_tick(puller);
}

static void schedule_tick(puller_t *puller)
{
	puller->timer = tevent_add_timer(puller->ev, puller,
					 tevent_timeval_current_ofs(0, TICK_PERIOD),
					 handle_tick, puller);
}

static void handle_wake(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			void *private_data)
{
	(void)ev;
	(void)fde;
	(void)flags;
	puller_t *puller = private_data;
	uint64_t count;

	if (read(puller->wake_fd, &count, sizeof(count)) == sizeof(count))
		puller_step(puller);
}

puller_t *puller_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node)
{
	puller_t *puller = talloc_zero(parent, puller_t);

	puller->node = node;
	puller->ev = ev;
	pthread_mutex_init(&puller->lock, NULL);
	puller->sync = sync_create(clock_boot_usec());
	puller->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	puller->wake_fde = tevent_add_fd(ev, puller, puller->wake_fd, TEVENT_FD_READ,
					 handle_wake, puller);
	schedule_tick(puller);
	node->puller = puller;
	return puller;
}

void puller_destroy(puller_t *puller)
{
	if (!puller)
		return;
	puller->node->puller = NULL;
	frame_link_destroy(puller->link);
	TALLOC_FREE(puller->wake_fde);
	close(puller->wake_fd);
	pthread_mutex_destroy(&puller->lock);
	sync_destroy(puller->sync);
	talloc_free(puller);
}

void pull_request(node_t *node, const char *address)
{
	puller_t *puller = node->puller;
	uint64_t one = 1;

	if (!puller)
		return;
	pthread_mutex_lock(&puller->lock);
	g_strlcpy(puller->requested_peer, address, sizeof(puller->requested_peer));
	pthread_mutex_unlock(&puller->lock);
	if (write(puller->wake_fd, &one, sizeof(one)) != sizeof(one))
		return;
}

/* --- Replies to pulls ------------------------------------------------------ */

/* A copy of a directory entry, which stays valid without gossip_lock, and its wire form,
 * which points into the copy. `wire` is the first field because pointers to these structs
 * are sent as pointers to Egret__Member. */
typedef struct encoded_member {
	Egret__Member wire;
	Egret__KeeperClaim claims[KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS];
	member_t copy;
} encoded_member_t;

/* Refusals in their wire form. */
typedef struct encoded_refusals {
	Egret__Refusal wire[SUSPECT_REFUSALS_MAX];
	Egret__Refusal *list[SUSPECT_REFUSALS_MAX];
} encoded_refusals_t;

static void fill_refusals(node_t *node, encoded_refusals_t *encoded,
			  Egret__PullReply *reply)
{
	suspect_refusal_t refusals[SUSPECT_REFUSALS_MAX];

	pthread_mutex_lock(&node->suspect_lock);
	uint32_t count =
		suspects_list_refusals(node->suspects, clock_boot_usec(), refusals);
	pthread_mutex_unlock(&node->suspect_lock);
	for (uint32_t i = 0; i < count; i++) {
		egret__refusal__init(&encoded->wire[i]);
		encoded->wire[i].fingerprint = refusals[i].fingerprint;
		encoded->wire[i].refuse_ms =
			(uint32_t)(refusals[i].refuse_time / USEC_PER_MSEC);
		encoded->wire[i].age_ms = (uint32_t)(refusals[i].age / USEC_PER_MSEC);
		encoded->list[i] = &encoded->wire[i];
	}
	reply->refusals = encoded->list;
	reply->n_refusals = count;
}

/* Copies what is known of the target of the node that pulls. */
static void fill_left_process(node_t *node, const Egret__Pull *pull,
			      char id[MEMBER_TEXT_BYTES], Egret__PullReply *reply)
{
	pthread_mutex_lock(&node->gossip_lock);
	const member_t *member =
		directory_lookup(gossip_directory(node->gossip), pull->address);
	if (member) {
		g_strlcpy(id, member->left_id, MEMBER_TEXT_BYTES);
		reply->left_id = id;
		reply->left_started_ms = member->left_started_ms;
	}
	pthread_mutex_unlock(&node->gossip_lock);
}

static void add_members(node_t *node, const Egret__Pull *pull, GPtrArray *members)
{
	uint64_t digests[DIRECTORY_BUCKETS];
	const member_t *member;

	if (pull->n_bucket_digests != DIRECTORY_BUCKETS)
		return;
	pthread_mutex_lock(&node->gossip_lock);
	directory_t *directory = gossip_directory(node->gossip);
	directory_digests(directory, digests);
	LIST_FOREACH(member, directory_members(directory), link)
	{
		uint32_t bucket = directory_bucket(member->address);
		if (digests[bucket] == pull->bucket_digests[bucket] ||
		    members->len >= MEMBERS_PER_REPLY)
			continue;
		encoded_member_t *encoded = g_new0(encoded_member_t, 1);
		encoded->copy = *member;
		member_encode(&encoded->copy, &encoded->wire, encoded->claims,
			      encoded->claim_list);
		g_ptr_array_add(members, encoded);
	}
	pthread_mutex_unlock(&node->gossip_lock);
}

static Egret__Row *encode_row(const config_row_t *row)
{
	Egret__Row *wire = g_new0(Egret__Row, 1);

	egret__row__init(wire);
	wire->key = row->key;
	wire->revision = row->revision;
	if (row->value) {
		wire->value.data = (uint8_t *)row->value;
		wire->value.len = strlen(row->value);
	}
	return wire;
}

void pull_send_reply(node_t *node, frame_link_t *link, const Egret__Pull *pull)
{
	GPtrArray *members = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *rows = g_ptr_array_new();
	GPtrArray *wire_rows = g_ptr_array_new_with_free_func(g_free);
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__PullReply reply = EGRET__PULL_REPLY__INIT;
	char left_id[MEMBER_TEXT_BYTES];
	encoded_refusals_t refusals;

	add_members(node, pull, members);
	fill_left_process(node, pull, left_id, &reply);
	fill_refusals(node, &refusals, &reply);
	pthread_mutex_lock(&node->config_lock);
	reply.config_revision = config_log_changes(node->config_log, pull->config_after,
						   REPLY_ROWS_MAX_BYTES, rows);
	reply.complete = reply.config_revision == config_log_revision(node->config_log);
	for (guint i = 0; i < rows->len; i++)
		g_ptr_array_add(wire_rows, encode_row(rows->pdata[i]));
	reply.rows = (Egret__Row **)wire_rows->pdata;
	reply.n_rows = wire_rows->len;
	reply.members = (Egret__Member **)members->pdata;
	reply.n_members = members->len;
	frame.kind_case = EGRET__FRAME__KIND_PULL_REPLY;
	frame.pull_reply = &reply;
	/* Sent with config_lock held, because the rows point into the config log. */
	frame_link_send(link, &frame);
	pthread_mutex_unlock(&node->config_lock);
	g_ptr_array_free(members, TRUE);
	g_ptr_array_free(rows, TRUE);
	g_ptr_array_free(wire_rows, TRUE);
}
