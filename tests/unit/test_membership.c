/* Directory and gossip in simulated time, with packet loss, network partitions, crashes
 * and restarts. */
#include "case.h"

#include "claims/suspects.h"
#include "membership/gossip_state.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define START (1000 * USEC_PER_SEC)
#define NODES_MAX 40

typedef struct net net_t;

typedef struct peer {
	net_t *net;
	int index;
	gossip_t *gossip;
	suspects_t *suspects;
	uint64_t revision;
	uint64_t highest; /* highest configuration revision so far */
	bool down;
	int group; /* peers of different groups cannot reach each other */
} peer_t;

typedef struct packet {
	usec_t due;
	int to;
	uint8_t *data;
	size_t len;
} packet_t;

struct net {
	peer_t peers[NODES_MAX];
	int count;
	double loss;
	usec_t now;
	GRand *rand;
	GQueue packets; /* of packet_t, by due time */
	uint64_t bytes;
	uint64_t suspicions_sent;
};

static int compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
	usec_t left = ((const packet_t *)a)->due;
	usec_t right = ((const packet_t *)b)->due;

	return (left > right) - (left < right);
}

static int index_of(const char *address)
{
	return (int)strtol(strchr(address, ':') + 1, NULL, 10) - 1000;
}

static void send_packet(void *ctx, const char *address, const Egret__Gossip *message)
{
	peer_t *from = ctx;
	net_t *net = from->net;
	peer_t *to = &net->peers[index_of(address)];
	size_t len = egret__gossip__get_packed_size(message);

	assert_true(len + DATAGRAM_TAG_BYTES <= GOSSIP_DATAGRAM_BYTES);
	net->bytes += len;
	net->suspicions_sent += message->n_suspicions;
	if (to->down || from->group != to->group || g_rand_double(net->rand) < net->loss)
		return;
	packet_t *packet = g_new0(packet_t, 1);
	packet->due = net->now + 500 + (usec_t)(g_rand_double(net->rand) * 3000);
	packet->to = to->index;
	packet->data = g_malloc(len);
	packet->len = len;
	egret__gossip__pack(message, packet->data);
	g_queue_insert_sorted(&net->packets, packet, compare_due, NULL);
}

static uint64_t config_revision(void *ctx)
{
	return ((peer_t *)ctx)->revision;
}

static usec_t config_as_of(void *ctx)
{
	(void)ctx;
	return 0;
}

/* Simulates a pull: adopts the sender's revision immediately. */
static void handle_newer_revision(void *ctx, const char *address, uint64_t revision)
{
	peer_t *peer = ctx;

	(void)address;
	assert_true(revision > peer->revision);
	peer->revision = revision;
	peer->highest = MAX(peer->highest, revision);
	gossip_push(peer->gossip, peer->net->now);
}

static void ignore_member(void *ctx, const member_t *member)
{
	(void)ctx;
	(void)member;
}

/* Of a suspicion with less evidence than the others. */
#define EARLIER_FINGERPRINT 78

static bool handle_suspicion(void *ctx, uint64_t fingerprint, uint64_t crash,
			     uint32_t evidence, uint32_t age_ms)
{
	peer_t *peer = ctx;

	assert_int_equal(evidence, fingerprint == EARLIER_FINGERPRINT ? SUSPECT_EARLIER
								      : SUSPECT_ALONE);
	return suspects_handle_remote_crash(peer->suspects, fingerprint, crash,
					    (suspect_evidence_t)evidence,
					    age_ms * USEC_PER_MSEC, peer->net->now);
}

static const gossip_ops_t ops = {
	.send = send_packet,
	.config_revision = config_revision,
	.config_as_of = config_as_of,
	.on_newer_config = handle_newer_revision,
	.on_member = ignore_member,
	.on_suspicion = handle_suspicion,
};

static void start_peer_with_seeds(net_t *net, int i, uint64_t generation,
				  const char *const *seeds)
{
	peer_t *peer = &net->peers[i];
	member_t self = {.node_id = generation * 100 + (uint64_t)i,
			 .generation = generation,
			 .ready = true,
			 .target = EGRET__TARGET_STATE__TARGET_UP};

	peer->net = net;
	peer->index = i;
	peer->down = false;
	g_snprintf(self.address, sizeof(self.address), "127.0.0.1:%d", 1000 + i);
	g_strlcpy(self.zone, i % 2 ? "a" : "b", sizeof(self.zone));
	g_strlcpy(self.service, "s", sizeof(self.service));
	peer->gossip = gossip_create(&self, seeds, &ops, peer,
				     (uint64_t)g_rand_int(net->rand) + 1);
	peer->suspects = suspects_create();
}

static void start_peer(net_t *net, int i, uint64_t generation)
{
	static const char *const seeds[] = {"127.0.0.1:1000", "127.0.0.1:1001", NULL};

	start_peer_with_seeds(net, i, generation, seeds);
}

static void stop_peer(net_t *net, int i)
{
	net->peers[i].down = true;
	g_clear_pointer(&net->peers[i].gossip, gossip_destroy);
	g_clear_pointer(&net->peers[i].suspects, suspects_destroy);
}

static void deliver_due(net_t *net)
{
	packet_t *packet;

	while ((packet = g_queue_peek_head(&net->packets)) && packet->due <= net->now) {
		g_queue_pop_head(&net->packets);
		peer_t *to = &net->peers[packet->to];
		Egret__Gossip *message =
			egret__gossip__unpack(NULL, packet->len, packet->data);
		if (!to->down)
			gossip_receive(to->gossip, net->now, message);
		egret__gossip__free_unpacked(message, NULL);
		g_free(packet->data);
		g_free(packet);
	}
}

static void run(net_t *net, usec_t span)
{
	for (usec_t end = net->now + span; net->now < end; net->now += USEC_PER_MSEC) {
		deliver_due(net);
		if (net->now % GOSSIP_TICK_PERIOD)
			continue;
		for (int i = 0; i < net->count; i++) {
			if (!net->peers[i].down)
				gossip_tick(net->peers[i].gossip, net->now);
		}
	}
}

static net_t *create_net(int count, double loss, guint32 seed)
{
	net_t *net = g_new0(net_t, 1);

	net->count = count;
	net->loss = loss;
	net->now = START;
	net->rand = g_rand_new_with_seed(seed);
	g_queue_init(&net->packets);
	for (int i = 0; i < count; i++)
		start_peer(net, i, 1);
	return net;
}

static void destroy_net(net_t *net)
{
	packet_t *packet;

	for (int i = 0; i < net->count; i++)
		stop_peer(net, i);
	while ((packet = g_queue_pop_head(&net->packets))) {
		g_free(packet->data);
		g_free(packet);
	}
	g_rand_free(net->rand);
	g_free(net);
}

static int state_at(net_t *net, int observer, int subject)
{
	char address[ADDRESS_TEXT_BYTES];

	g_snprintf(address, sizeof(address), "127.0.0.1:%d", 1000 + subject);
	const member_t *member =
		directory_lookup(gossip_directory(net->peers[observer].gossip), address);
	return member ? (int)member->state : -1;
}

/* Number of live peers whose directory has the subject in this state. */
static int count_views(net_t *net, int subject, int state)
{
	int count = 0;

	for (int i = 0; i < net->count; i++)
		count += !net->peers[i].down && i != subject &&
			 state_at(net, i, subject) == state;
	return count;
}

typedef struct net_case {
	const char *name;
	int count;
	double loss;
	guint32 seeds;
} net_case_t;

#define ALIVE EGRET__MEMBER_STATE__MEMBER_ALIVE
#define DEAD EGRET__MEMBER_STATE__MEMBER_DEAD
#define LEFT EGRET__MEMBER_STATE__MEMBER_LEFT

static void test_join_crash_restart(void **state)
{
	const net_case_t *c = *state;

	for (guint32 seed = 1; seed <= c->seeds; seed++) {
		net_t *net = create_net(c->count, c->loss, seed);
		int last = c->count - 1;
		run(net, 15 * USEC_PER_SEC);
		assert_int_equal(count_views(net, last, ALIVE), c->count - 1);
		stop_peer(net, last);
		run(net, 30 * USEC_PER_SEC);
		assert_int_equal(count_views(net, last, DEAD), c->count - 1);
		start_peer(net, last, 2);
		run(net, 15 * USEC_PER_SEC);
		assert_int_equal(count_views(net, last, ALIVE), c->count - 1);
		destroy_net(net);
	}
}

/* The leave of a member and a new configuration reach all peers within 3 s. */
static void test_update_propagation(void **state)
{
	const net_case_t *c = *state;

	for (guint32 seed = 1; seed <= c->seeds; seed++) {
		net_t *net = create_net(c->count, c->loss, seed);
		run(net, 15 * USEC_PER_SEC);
		peer_t *leaving = &net->peers[3];
		member_t fields = *directory_self(gossip_directory(leaving->gossip));
		fields.state = LEFT;
		gossip_update_self(leaving->gossip, net->now, &fields);
		net->peers[2].revision = 7;
		gossip_push(net->peers[2].gossip, net->now);
		run(net, 3 * USEC_PER_SEC);
		assert_int_equal(count_views(net, 3, LEFT), c->count - 1);
		for (int i = 0; i < c->count; i++)
			assert_int_equal(net->peers[i].revision, 7);
		destroy_net(net);
	}
}

static void test_partition_heals(void **state)
{
	const net_case_t *c = *state;

	for (guint32 seed = 1; seed <= c->seeds; seed++) {
		net_t *net = create_net(c->count, c->loss, seed);
		run(net, 15 * USEC_PER_SEC);
		for (int i = 0; i < c->count; i++)
			net->peers[i].group = i % 2;
		run(net, 60 * USEC_PER_SEC);
		assert_int_equal(state_at(net, 0, 1), DEAD);
		assert_int_equal(state_at(net, 0, 2), ALIVE);
		for (int i = 0; i < c->count; i++)
			net->peers[i].group = 0;
		run(net, 30 * USEC_PER_SEC);
		for (int i = 0; i < c->count; i++)
			assert_int_equal(count_views(net, i, ALIVE), c->count - 1);
		destroy_net(net);
	}
}

typedef struct list_case {
	const char *name;
	int count;
	int informed; /* peers that know all addresses; the others know none */
	int unused;   /* addresses without a peer */
	double loss;
} list_case_t;

/* After all peers restarted, those that have the list of addresses find all others. */
static void test_found_without_address_list(void **state)
{
	const list_case_t *c = *state;
	int addresses = c->count + c->unused;

	for (guint32 seed = 1; seed <= 5; seed++) {
		net_t *net = create_net(c->count, c->loss, seed);
		char *all[NODES_MAX + 1] = {NULL};
		const char *none[] = {NULL};

		for (int i = 0; i < addresses; i++) {
			all[i] = g_strdup_printf("127.0.0.1:%d", 1000 + i);
			net->peers[i].down = true;
		}
		for (int i = 0; i < c->count; i++) {
			stop_peer(net, i);
			start_peer_with_seeds(net, i, 2,
					      i < c->informed ? (const char *const *)all
							      : none);
		}
		run(net, c->loss > 0 ? 4 * USEC_PER_SEC : 3 * USEC_PER_SEC);
		for (int i = 0; i < c->count; i++) {
			for (int k = 0; k < c->informed; k++)
				assert_true(i == k || state_at(net, k, i) == ALIVE);
			assert_true(directory_live_count(
					    gossip_directory(net->peers[i].gossip)) >= 2);
		}
		for (int i = 0; i < addresses; i++)
			g_free(all[i]);
		destroy_net(net);
	}
}

static const net_case_t join_cases[] = {
	{"12 peers, no loss", 12, 0, 5},
	{"12 peers, 10% loss", 12, 0.1, 5},
	{"40 peers, 2% loss", 40, 0.02, 2},
};
static const net_case_t propagation_cases[] = {
	{"12 peers, no loss: received by all peers within 3 s", 12, 0, 5},
	{"40 peers, 5% loss: received by all peers within 3 s", 40, 0.05, 3},
};
static const net_case_t heal_cases[] = {
	{"12 peers, no loss: all alive after a partition", 12, 0, 3},
	{"16 peers, 5% loss: all alive after a partition", 16, 0.05, 3},
};

static const list_case_t list_cases[] = {
	{"16 peers, 3 informed: found within 3 s", 16, 3, 0, 0},
	{"16 peers, 1 informed, 4 unused addresses: found within 3 s", 16, 1, 4, 0},
	{"16 peers, 2 informed, 5% loss: found within 4 s", 16, 2, 4, 0.05},
};

/* --- merging: the result does not depend on the order --------------------------- */

typedef struct merge_case {
	const char *name;
	guint32 seeds;
} merge_case_t;

static void test_merge_order(void **state)
{
	const merge_case_t *c = *state;

	for (guint32 seed = 1; seed <= c->seeds; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		member_t self = {.generation = 1, .address = "127.0.0.1:1"};
		directory_t *directory = directory_create(&self);
		member_t newest = {.generation = 0};
		for (int i = 0; i < 100; i++) {
			member_t member = {
				.address = "127.0.0.1:2",
				.generation = (uint64_t)g_rand_int_range(rand, 1, 4),
				.incarnation = (uint64_t)g_rand_int_range(rand, 1, 5),
				.state = (Egret__MemberState)g_rand_int_range(rand, 0, 4),
			};
			uint64_t order = member.generation << 32 |
					 member.incarnation << 8 | member.state;
			uint64_t best = newest.generation << 32 |
					newest.incarnation << 8 | newest.state;
			bool newer = order > best;
			assert_int_equal(directory_merge(directory, &member, START + i) ==
						 DIRECTORY_CHANGED,
					 newer);
			if (newer)
				newest = member;
		}
		const member_t *known = directory_lookup(directory, "127.0.0.1:2");
		assert_int_equal(known->generation, newest.generation);
		assert_int_equal(known->incarnation, newest.incarnation);
		assert_int_equal(known->state, newest.state);
		directory_destroy(directory);
		g_rand_free(rand);
	}
}

static const merge_case_t merge_cases[] = {
	{"entries in random order: the newest stays", 50}};

/* The version of a target reaches other nodes; an entry of an older program has none. */
typedef struct version_case {
	const char *name;
	const char *version;
} version_case_t;

static void test_version(void **state)
{
	const version_case_t *c = *state;
	member_t member = {.address = "127.0.0.1:2", .zone = "a", .service = "s"};
	member_t decoded;
	Egret__Member wire;
	Egret__KeeperClaim claims[KEEPER_PARTITIONS];
	Egret__KeeperClaim *claim_list[KEEPER_PARTITIONS];
	uint8_t buffer[512];

	g_strlcpy(member.version, c->version, sizeof(member.version));
	member_encode(&member, &wire, claims, claim_list);
	size_t len = egret__member__pack(&wire, buffer);
	Egret__Member *unpacked = egret__member__unpack(NULL, len, buffer);
	assert_non_null(unpacked);
	assert_true(member_decode(unpacked, &decoded));
	assert_string_equal(decoded.version, c->version);
	egret__member__free_unpacked(unpacked, NULL);
}

static const version_case_t version_cases[] = {{"version: v2", "v2"},
					       {"version: none", ""}};

typedef struct suspicion_case {
	const char *name;
	int peers;
	double loss;
} suspicion_case_t;

static void test_suspicion_spread(void **state)
{
	const suspicion_case_t *c = *state;
	net_t *net = create_net(c->peers, c->loss, 3);
	int refused = 0;

	run(net, 10 * USEC_PER_SEC);
	net->suspicions_sent = 0;
	for (uint64_t crash = 1; crash <= SUSPECT_CRASH_THRESHOLD; crash++) {
		suspects_handle_crash(net->peers[0].suspects, 77, crash, SUSPECT_ALONE,
				      net->now);
		gossip_broadcast_suspicion(net->peers[0].gossip, net->now, 77, crash,
					   SUSPECT_ALONE);
	}
	run(net, 3 * USEC_PER_SEC);
	for (int i = 0; i < c->peers; i++)
		refused += suspects_is_refused(net->peers[i].suspects, 77, net->now);
	assert_int_equal(refused, c->peers);
	run(net, 20 * USEC_PER_SEC);
	assert_true(net->suspicions_sent <=
		    (uint64_t)c->peers * SUSPECT_CRASH_THRESHOLD *
			    gossip_transmissions(net->peers[0].gossip));
	gossip_broadcast_suspicion(net->peers[0].gossip, net->now, EARLIER_FINGERPRINT, 9,
				   SUSPECT_EARLIER);
	run(net, 3 * USEC_PER_SEC);
	destroy_net(net);
}

static const suspicion_case_t suspicion_cases[] = {
	{"each node passes a crash suspicion on once, 5 nodes", 5, 0},
	{"each node passes a crash suspicion on once, 40 nodes", 40, 0},
	{"each node passes a crash suspicion on once, 40 nodes, 5 % loss", 40, 0.05},
};

/* Guards against a configuration that looks current because a peer has read the store
 * before it was restored from a copy. */
typedef struct evidence_case {
	const char *name;
	uint64_t own; /* revisions */
	uint64_t sent;
	bool confirmed;
	bool pulled;
} evidence_case_t;

typedef struct evidence {
	uint64_t own;
	bool confirmed;
	bool pulled;
} evidence_t;

static uint64_t evidence_revision(void *ctx)
{
	return ((evidence_t *)ctx)->own;
}

static bool handle_evidence(void *ctx, usec_t as_of)
{
	(void)as_of;
	((evidence_t *)ctx)->confirmed = true;
	return false;
}

static void handle_pull(void *ctx, const char *address, uint64_t revision)
{
	(void)address;
	(void)revision;
	((evidence_t *)ctx)->pulled = true;
}

static void test_evidence(void **state)
{
	static const gossip_ops_t evidence_ops = {
		.config_revision = evidence_revision,
		.on_config_confirmed = handle_evidence,
		.on_newer_config = handle_pull,
	};
	const evidence_case_t *c = *state;
	evidence_t evidence = {.own = c->own};
	member_t self = {.address = "127.0.0.1:1000", .node_id = 1};
	gossip_t *gossip = gossip_create(&self, NULL, &evidence_ops, &evidence, 1);
	Egret__Gossip message = EGRET__GOSSIP__INIT;

	message.sender = "127.0.0.1:1001";
	message.config_revision = c->sent;
	message.config_age_ms = 1;
	gossip_receive_config(gossip, USEC_PER_SEC, &message);
	assert_int_equal(evidence.confirmed, c->confirmed);
	assert_int_equal(evidence.pulled, c->pulled);
	gossip_destroy(gossip);
}

#define E(era, version) (((uint64_t)(era) << 48) + (version))

static const evidence_case_t evidence_cases[] = {
	{"an older revision of the same era", 9, 7, true, false},
	{"a newer revision", 7, 9, false, true},
	{"a lower version of a newer era", 9, E(1, 7), false, true},
	{"a higher version of the former era", E(1, 7), 9, false, false},
	{"an older revision of a later era", E(1, 9), E(1, 7), true, false},
};

int main(void)
{
	int failed = RUN_CASES("join_crash_restart", join_cases, test_join_crash_restart);

	failed += RUN_CASES("update_propagation", propagation_cases,
			    test_update_propagation);
	failed += RUN_CASES("partition_heals", heal_cases, test_partition_heals);
	failed += RUN_CASES("found_without_address_list", list_cases,
			    test_found_without_address_list);
	failed += RUN_CASES("suspicion_spread", suspicion_cases, test_suspicion_spread);
	failed += RUN_CASES("version", version_cases, test_version);
	failed += RUN_CASES("merge_order", merge_cases, test_merge_order);
	failed += RUN_CASES("evidence", evidence_cases, test_evidence);
	return failed;
}
