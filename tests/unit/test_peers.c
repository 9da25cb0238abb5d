/* Tests when a node pulls from its peers and when a peer is detected as silent. */
#include "case.h"

#include "membership/gossip.h"
#include "membership/liveness.h"
#include "membership/sync.h"

#define START (1000 * USEC_PER_SEC)

/* --- pulls ------------------------------------------------------------------- */

typedef struct sync_step {
	usec_t delay; /* since the last step */
	const char *peer;
	bool complete, has_config;
	/* Expected immediately after the step. */
	usec_t next_due; /* time until the next pull is due */
	bool directory_known, config_known;
} sync_step_t;

typedef struct sync_case {
	const char *name;
	sync_step_t steps[6];
} sync_case_t;

#define SYNC_MS(n) ((usec_t)(n)*USEC_PER_MSEC)

static void test_sync(void **state)
{
	const sync_case_t *c = *state;
	usec_t now = START;
	sync_t *sync = sync_create(now);

	assert_true(sync_due(sync, now, false));
	assert_false(sync_directory_known(sync, now, false));
	for (const sync_step_t *step = c->steps; step->peer; step++) {
		now += step->delay;
		sync_ended(sync, now, step->peer, step->complete, step->has_config);
		assert_false(sync_due(sync, now + step->next_due - 1, false));
		assert_true(sync_due(sync, now + step->next_due, false));
		assert_true(sync_due(sync, now, true));
		assert_int_equal(sync_directory_known(sync, now, false),
				 step->directory_known);
		assert_int_equal(sync_config_known(sync), step->config_known);
	}
	sync_destroy(sync);
}

static const sync_case_t sync_cases[] = {
	{"the interval doubles with each complete pull",
	 {{0, "a", true, true, SYNC_MS(100), true, false},
	  {SYNC_MS(100), "b", true, true, SYNC_MS(200), true, true},
	  {SYNC_MS(200), "a", true, true, SYNC_MS(400), true, true},
	  {SYNC_MS(400), "c", true, true, SYNC_MS(800), true, true}}},
	{"a failed pull is retried after 100 ms; the directory stays unknown",
	 {{0, "a", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(1000), "a", false, true, SYNC_MS(100), false, false},
	  {SYNC_MS(100), "b", true, true, SYNC_MS(100), true, false}}},
	{"two pulls from one peer count as one configuration source",
	 {{0, "a", true, true, SYNC_MS(100), true, false},
	  {SYNC_MS(100), "a", true, true, SYNC_MS(200), true, false},
	  {SYNC_MS(200), "b", true, false, SYNC_MS(400), true, false},
	  {SYNC_MS(400), "b", true, true, SYNC_MS(800), true, true}}},
	{"without any reply the directory counts as known after 2 s",
	 {{SYNC_MS(1000), "a", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(900), "b", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(100), "c", false, false, SYNC_MS(100), true, false}}},
};

/* The only node of a system need not wait for a pull. The interval between pulls does not
 * exceed SYNC_PERIOD. */
static void test_sync_bounds(void **state)
{
	usec_t now = START;
	sync_t *sync = sync_create(now);

	assert_true(sync_directory_known(sync, now, true));
	for (int i = 0; i < 20; i++)
		sync_ended(sync, now, "a", true, true);
	assert_false(sync_due(sync, now + SYNC_PERIOD - 1, false));
	assert_true(sync_due(sync, now + SYNC_PERIOD, false));
	sync_destroy(sync);
}

typedef struct store_wait_case {
	const char *name;
	uint32_t failures;
	bool ready;
	usec_t shortest, longest;
} store_wait_case_t;

static void test_store_wait(void **state)
{
	const store_wait_case_t *c = *state;

	assert_int_equal(sync_store_wait(c->failures, c->ready, 0), c->shortest);
	assert_int_equal(sync_store_wait(c->failures, c->ready, 1), c->longest);
}

static const store_wait_case_t store_wait_cases[] = {
	{"first failure", 1, true, SYNC_MS(250), SYNC_MS(750)},
	{"third failure", 3, true, SYNC_MS(1000), SYNC_MS(3000)},
	{"long outage", 40, true, SYNC_MS(4000), SYNC_MS(12000)},
	{"first failure of a node that is not ready", 1, false, SYNC_MS(250),
	 SYNC_MS(750)},
	{"a node that is not ready reads the store within 1.5 s after a long outage", 40,
	 false, SYNC_MS(500), SYNC_MS(1500)},
};

/* A node without known members contacts a seed. */
static void test_contact(void **state)
{
	member_t self = {.generation = 1, .address = "127.0.0.1:1"};
	member_t other = {.generation = 1, .address = "127.0.0.1:2"};
	const char *seeds[] = {"127.0.0.1:3", NULL};
	static const gossip_ops_t none = {0};
	gossip_t *gossip = gossip_create(&self, NULL, &none, NULL, 1);

	assert_null(gossip_random_contact(gossip));
	gossip_add_seed(gossip, seeds[0]);
	assert_string_equal(gossip_random_contact(gossip), seeds[0]);
	directory_merge(gossip_directory(gossip), &other, START);
	for (int i = 0; i < 20; i++)
		assert_string_equal(gossip_random_contact(gossip), other.address);
	gossip_destroy(gossip);
}

/* --- liveness ---------------------------------------------------------------- */

#define TICK SYNC_MS(50)
#define ROUND_TRIP SYNC_MS(40)	    /* of a ping and its pong */
#define LINK_OPEN_TIME SYNC_MS(150) /* handshake of a link between regions */

/* A peer process that is paused between `from` and `until`, and the state of its client.
 */
typedef struct paused_peer {
	usec_t from, until;
	liveness_t liveness;
	liveness_link_t link;
	usec_t opens_at;     /* when the connecting link opens */
	usec_t ping_sent_at; /* oldest ping without a reply on the link; 0 if none */
	bool calls_in_flight;
	int links_closed, calls_failed;
} paused_peer_t;

/* When the peer handles a message that reaches it at `at`. */
static usec_t handled_at(const paused_peer_t *peer, usec_t at)
{
	return at >= peer->from && at < peer->until ? peer->until : at;
}

static void paused_peer_tick(paused_peer_t *peer, usec_t now)
{
	if (peer->link == LIVENESS_CONNECTING && now >= peer->opens_at)
		peer->link = LIVENESS_OPEN;
	if (peer->link == LIVENESS_OPEN && peer->ping_sent_at &&
	    now >= handled_at(peer, peer->ping_sent_at) + ROUND_TRIP) {
		liveness_received(&peer->liveness, now);
		peer->ping_sent_at = 0;
	}
	liveness_actions_t actions =
		liveness_check(&peer->liveness, now, peer->calls_in_flight, peer->link);
	if (actions.ping && peer->link == LIVENESS_NO_LINK) {
		liveness_connect_started(&peer->liveness, now);
		peer->link = LIVENESS_CONNECTING;
		peer->opens_at = handled_at(peer, now) + LINK_OPEN_TIME;
	}
	if (actions.ping && !peer->ping_sent_at)
		peer->ping_sent_at = now;
	if (actions.fail_idempotent) {
		peer->calls_failed++;
		peer->calls_in_flight = false;
	}
	if (actions.close_link) {
		peer->links_closed++;
		peer->link = LIVENESS_NO_LINK;
		peer->ping_sent_at = 0;
	}
}

/* A peer that was paused for any time between 30 ms and 6 s is detected as responding
 * again within a bounded time after it resumes. */
static void test_paused_peer(void **state)
{
	for (usec_t span = SYNC_MS(30); span < SYNC_MS(6000); span += SYNC_MS(37)) {
		paused_peer_t peer = {.from = START + SYNC_MS(500),
				      .until = START + SYNC_MS(500) + span,
				      .link = LIVENESS_OPEN,
				      .calls_in_flight = true,
				      .liveness = {.last_received = START}};
		usec_t bound = peer.until + LIVENESS_SILENT_PING_PERIOD +
			       LIVENESS_SILENT_TIMEOUT + LINK_OPEN_TIME + ROUND_TRIP +
			       2 * TICK;
		for (usec_t now = START; now <= bound; now += TICK)
			paused_peer_tick(&peer, now);
		assert_false(peer.liveness.silent);
		if (span >= SYNC_MS(1000))
			assert_true(peer.calls_failed > 0);
	}
}

/* A peer that replies to every ping is never silent, however long its calls take. */
static void test_slow_calls(void **state)
{
	paused_peer_t peer = {.link = LIVENESS_OPEN,
			      .calls_in_flight = true,
			      .liveness = {.last_received = START}};

	for (usec_t now = START; now < START + SYNC_MS(20000); now += TICK) {
		paused_peer_tick(&peer, now);
		assert_false(peer.liveness.silent);
	}
	assert_int_equal(peer.links_closed, 0);
}

/* A peer without calls in flight gets no pings, is not detected as silent and keeps its
 * link. */
static void test_idle_peer(void **state)
{
	liveness_t liveness = {.last_received = START};

	for (usec_t now = START; now < START + SYNC_MS(5000); now += TICK) {
		liveness_actions_t actions =
			liveness_check(&liveness, now, false, LIVENESS_OPEN);
		assert_false(actions.ping || actions.silent || actions.fail_idempotent ||
			     actions.close_link);
	}
}

typedef struct plain_case {
	const char *name;
	CMUnitTestFunction fn;
} plain_case_t;

static void test_plain(void **state)
{
	((const plain_case_t *)*state)->fn(state);
}

static const plain_case_t plain_cases[] = {
	{"the interval is at most SYNC_PERIOD; a single node does not wait",
	 test_sync_bounds},
	{"a seed is contacted while no member is known", test_contact},
	{"a paused peer is detected as responding after it resumes", test_paused_peer},
	{"slow calls do not make a peer silent", test_slow_calls},
	{"an idle peer gets no pings and is not silent", test_idle_peer},
};

int main(void)
{
	int failed = RUN_CASES("store_wait", store_wait_cases, test_store_wait);

	failed += RUN_CASES("sync", sync_cases, test_sync);

	failed += RUN_CASES("single", plain_cases, test_plain);
	return failed;
}
