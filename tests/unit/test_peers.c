/* When a node pulls from its peers, and when a peer counts as silent. */
#include "case.h"

#include "membership/gossip.h"
#include "membership/liveness.h"
#include "membership/sync.h"

#define START (1000 * USEC_PER_SEC)

/* --- pulls ------------------------------------------------------------------- */

typedef struct sync_step {
	usec_t after; /* since the last step */
	const char *peer;
	bool complete, configured;
	/* Expected at once afterwards. */
	usec_t next; /* until the next pull is due */
	bool directory, config;
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
		now += step->after;
		sync_ended(sync, now, step->peer, step->complete, step->configured);
		assert_false(sync_due(sync, now + step->next - 1, false));
		assert_true(sync_due(sync, now + step->next, false));
		assert_true(sync_due(sync, now, true));
		assert_int_equal(sync_directory_known(sync, now, false), step->directory);
		assert_int_equal(sync_config_known(sync), step->config);
	}
	sync_destroy(sync);
}

static const sync_case_t sync_cases[] = {
	{"pauses double with each answer",
	 {{0, "a", true, true, SYNC_MS(100), true, false},
	  {SYNC_MS(100), "b", true, true, SYNC_MS(200), true, true},
	  {SYNC_MS(200), "a", true, true, SYNC_MS(400), true, true},
	  {SYNC_MS(400), "c", true, true, SYNC_MS(800), true, true}}},
	{"a failure is repeated soon and tells nothing",
	 {{0, "a", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(1000), "a", false, true, SYNC_MS(100), false, false},
	  {SYNC_MS(100), "b", true, true, SYNC_MS(100), true, false}}},
	{"one peer twice is one source of configuration",
	 {{0, "a", true, true, SYNC_MS(100), true, false},
	  {SYNC_MS(100), "a", true, true, SYNC_MS(200), true, false},
	  {SYNC_MS(200), "b", true, false, SYNC_MS(400), true, false},
	  {SYNC_MS(400), "b", true, true, SYNC_MS(800), true, true}}},
	{"nobody answers: known after a while",
	 {{SYNC_MS(1000), "a", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(900), "b", false, false, SYNC_MS(100), false, false},
	  {SYNC_MS(100), "c", false, false, SYNC_MS(100), true, false}}},
};

/* Somebody without others has nobody to wait for; pauses end at the period. */
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

/* A newcomer asks a seed while it knows no member. */
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

#define LIVE_TICK SYNC_MS(50)
#define LIVE_TRIP SYNC_MS(40)  /* of a frame and its answer */
#define LIVE_OPEN SYNC_MS(150) /* of the messages that open a link, between regions */

/* A peer that freezes for a while: what its client does, tick by tick. */
typedef struct frozen {
	usec_t from, until;
	liveness_t liveness;
	liveness_link_t link;
	usec_t opens; /* when the link in the making opens if the peer is awake */
	usec_t asked; /* when the oldest unanswered ping was sent on it; 0 if none */
	bool waits;
	int drops, releases;
} frozen_t;

static usec_t awake(const frozen_t *frozen, usec_t at)
{
	return at >= frozen->from && at < frozen->until ? frozen->until : at;
}

static void frozen_tick(frozen_t *frozen, usec_t now)
{
	if (frozen->link == LIVENESS_CONNECTING && now >= frozen->opens)
		frozen->link = LIVENESS_OPEN;
	if (frozen->link == LIVENESS_OPEN && frozen->asked &&
	    now >= awake(frozen, frozen->asked) + LIVE_TRIP) {
		liveness_received(&frozen->liveness, now);
		frozen->asked = 0;
	}
	liveness_actions_t step =
		liveness_check(&frozen->liveness, now, frozen->waits, frozen->link);
	if (step.ping && frozen->link == LIVENESS_NO_LINK) {
		liveness_connect_started(&frozen->liveness, now);
		frozen->link = LIVENESS_CONNECTING;
		frozen->opens = awake(frozen, now) + LIVE_OPEN;
	}
	if (step.ping && !frozen->asked)
		frozen->asked = now;
	if (step.fail_idempotent) {
		frozen->releases++;
		frozen->waits = false;
	}
	if (step.close_link) {
		frozen->drops++;
		frozen->link = LIVENESS_NO_LINK;
		frozen->asked = 0;
	}
}

/* However long it froze, it is heard again soon after it woke. */
static void test_frozen_peer(void **state)
{
	for (usec_t span = SYNC_MS(30); span < SYNC_MS(6000); span += SYNC_MS(37)) {
		frozen_t frozen = {.from = START + SYNC_MS(500),
				   .until = START + SYNC_MS(500) + span,
				   .link = LIVENESS_OPEN,
				   .waits = true,
				   .liveness = {.last_received = START}};
		usec_t bound = frozen.until + LIVENESS_SILENT_PING_PERIOD +
			       LIVENESS_SILENT_TIMEOUT + LIVE_OPEN + LIVE_TRIP +
			       2 * LIVE_TICK;
		for (usec_t now = START; now <= bound; now += LIVE_TICK)
			frozen_tick(&frozen, now);
		assert_false(frozen.liveness.silent);
		if (span >= SYNC_MS(1000))
			assert_true(frozen.releases > 0);
	}
}

/* A peer that answers every ping is never silent, however long its calls take. */
static void test_slow_calls(void **state)
{
	frozen_t frozen = {.link = LIVENESS_OPEN,
			   .waits = true,
			   .liveness = {.last_received = START}};

	for (usec_t now = START; now < START + SYNC_MS(20000); now += LIVE_TICK) {
		frozen_tick(&frozen, now);
		assert_false(frozen.liveness.silent);
	}
	assert_int_equal(frozen.drops, 0);
}

/* Nothing waits: nothing is asked, nothing is given up. */
static void test_idle_peer(void **state)
{
	liveness_t liveness = {.last_received = START};

	for (usec_t now = START; now < START + SYNC_MS(5000); now += LIVE_TICK) {
		liveness_actions_t step =
			liveness_check(&liveness, now, false, LIVENESS_OPEN);
		assert_false(step.ping || step.silent || step.fail_idempotent ||
			     step.close_link);
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
	{"pauses end at the period; alone is known at once", test_sync_bounds},
	{"a seed while no member is known", test_contact},
	{"a frozen peer is heard once it wakes", test_frozen_peer},
	{"slow calls are no silence", test_slow_calls},
	{"an idle peer is left alone", test_idle_peer},
};

int main(void)
{
	int failed = RUN_CASES("sync", sync_cases, test_sync);

	failed += RUN_CASES("single", plain_cases, test_plain);
	return failed;
}
