/* Shares of account rates over many nodes in virtual time, with lag, loss, cuts and
 * restarts: no window may hold more than the bound, and demand inside the rate is
 * served. */
#include "case.h"

#include "accounts/shares.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 65
#define STEP (10 * USEC_PER_MSEC)
#define LENGTH (40 * USEC_PER_SEC)
#define STEPS (LENGTH / STEP)
#define WINDOW (5 * USEC_PER_SEC)
#define TELL_MIN (200 * USEC_PER_MSEC)
#define TELL_PERIOD (700 * USEC_PER_MSEC)
#define LAG_MAX_STEPS 20
#define OVERAGE 0.1
#define SLACK 20.0
#define ALLOWANCE_PART_MIN 0.2
#define LAG_RESERVE_SEC 2.0
#define ASKS_MAX 12
#define WAIT_MAX (120 * USEC_PER_MSEC)
#define SEEDS_DEFAULT 20
/* Nodes are up before their clients come. */
#define TRAFFIC_START (2 * USEC_PER_SEC)
#define ACCOUNT "a"

typedef struct shares_case {
	const char *name;
	uint32_t nodes;
	double rate;
	double burst;
	double demand;	   /* of all nodes over the rate */
	double skew;	   /* part of the demand that the first node has */
	double surge;	   /* demand from 10 s to 20 s over the usual */
	double loss;	   /* of told demands */
	bool cut;	   /* half of the nodes from 8 s to 25 s */
	bool restart_all;  /* at 12 s */
	bool restart_some; /* one every second */
	double served_min; /* of what is asked inside the rate; 0 if not checked */
} shares_case_t;

typedef struct report {
	double demand;
	usec_t due;
	uint32_t to;
} report_t;

typedef struct node {
	shares_t *shares;
	usec_t told;
	char name[16];
} node_t;

typedef struct world {
	const shares_case_t *c;
	GRand *rand;
	node_t nodes[NODES_MAX];
	GQueue *flying[NODES_MAX]; /* of report_t, by sender */
	uint32_t *sent;		   /* by step, when the token is due */
	uint64_t asked;
	uint64_t served;
} world_t;

static void start_node(world_t *world, uint32_t i, usec_t now)
{
	node_t *node = &world->nodes[i];

	shares_destroy(node->shares);
	node->shares = shares_create(now);
	node->told = 0;
	g_snprintf(node->name, sizeof(node->name), "n%u", i);
	for (uint32_t j = 0; j < world->c->nodes; j++) {
		char name[16];

		g_snprintf(name, sizeof(name), "n%u", j);
		if (j != i)
			shares_add_peer(node->shares, name, now);
	}
}

static void take_demand(void *ctx, const char *account, double demand)
{
	(void)account;
	*(double *)ctx = demand;
}

static bool is_cut(const world_t *world, uint32_t a, uint32_t b, usec_t now)
{
	uint32_t half = world->c->nodes / 2;

	return world->c->cut && now >= 8 * USEC_PER_SEC && now < 25 * USEC_PER_SEC &&
	       (a < half) != (b < half);
}

static void tell(world_t *world, uint32_t i, usec_t now)
{
	node_t *node = &world->nodes[i];
	usec_t least = MAX(TELL_MIN, world->c->nodes * 10 * USEC_PER_MSEC);
	bool due =
		now - node->told >= MAX(TELL_PERIOD, least) ||
		(shares_demand_changed(node->shares, now) && now - node->told >= least);
	double demand = 0;

	if (!due)
		return;
	node->told = now;
	shares_collect_demands(node->shares, now, take_demand, &demand);
	for (uint32_t j = 0; j < world->c->nodes; j++) {
		if (j == i || is_cut(world, i, j, now) ||
		    g_rand_double(world->rand) < world->c->loss)
			continue;
		report_t *report = g_new0(report_t, 1);
		report->demand = demand;
		report->to = j;
		report->due =
			now + STEP * g_rand_int_range(world->rand, 0, LAG_MAX_STEPS);
		g_queue_push_tail(world->flying[i], report);
	}
}

static void deliver(world_t *world, uint32_t i, usec_t now)
{
	for (guint n = g_queue_get_length(world->flying[i]); n > 0; n--) {
		report_t *report = g_queue_pop_head(world->flying[i]);

		if (report->due > now) {
			g_queue_push_tail(world->flying[i], report);
			continue;
		}
		shares_t *to = world->nodes[report->to].shares;
		shares_begin_report(to, world->nodes[i].name, now);
		shares_report_demand(to, world->nodes[i].name, ACCOUNT, report->demand,
				     now);
		g_free(report);
	}
}

static uint32_t draw_count(world_t *world, double mean)
{
	uint32_t count = (uint32_t)mean;

	return count + (g_rand_double(world->rand) < mean - count);
}

/* A node that is short asks peers, then waits; -1 if refused. */
static usec_t admit(world_t *world, uint32_t i, const account_limits_t *limits,
		    usec_t now)
{
	shares_t *shares = world->nodes[i].shares;
	shares_verdict_t verdict = shares_take_token(shares, ACCOUNT, limits, now);

	if (verdict != SHARES_NO_LOCAL_TOKEN)
		return verdict == SHARES_GRANTED ? 0 : -1;
	for (int ask = 0; ask < ASKS_MAX; ask++) {
		uint32_t j = (uint32_t)g_rand_int_range(world->rand, 0,
							(gint32)world->c->nodes);
		if (j == i || is_cut(world, i, j, now) ||
		    g_rand_double(world->rand) < world->c->loss)
			continue;
		if (shares_give_token(world->nodes[j].shares, ACCOUNT, limits, now))
			return 0;
	}
	return shares_take_delayed(shares, ACCOUNT, limits, WAIT_MAX, now);
}

static void arrive(world_t *world, uint32_t i, usec_t now)
{
	const shares_case_t *c = world->c;
	bool surge = now >= 10 * USEC_PER_SEC && now < 20 * USEC_PER_SEC;
	double all = c->rate * c->demand * (surge && c->surge > 0 ? c->surge : 1);
	double part = i == 0 ? c->skew : (1 - c->skew) / (c->nodes - 1);
	double allowed = OVERAGE * (c->rate * WINDOW / USEC_PER_SEC + c->burst) + SLACK;
	account_limits_t limits = {
		c->rate, c->burst,
		MAX(allowed - LAG_RESERVE_SEC * c->rate, ALLOWANCE_PART_MIN * allowed)};

	for (uint32_t n = draw_count(world, all * part * STEP / USEC_PER_SEC); n > 0;
	     n--) {
		usec_t wait = admit(world, i, &limits, now);
		world->asked += now >= TRAFFIC_START;
		if (wait < 0)
			continue;
		world->served += now >= TRAFFIC_START;
		world->sent[(now + wait) / STEP]++;
	}
}

static void restart(world_t *world, usec_t now)
{
	const shares_case_t *c = world->c;

	for (uint32_t i = 0; i < c->nodes; i++) {
		bool all = c->restart_all && now == 12 * USEC_PER_SEC;
		bool one = c->restart_some && now % USEC_PER_SEC == 0 &&
			   (now / USEC_PER_SEC) % c->nodes == i;
		if (all || one)
			start_node(world, i, now);
	}
}

static void check_windows(const world_t *world, uint64_t seed)
{
	const shares_case_t *c = world->c;
	double most =
		(c->rate * WINDOW / USEC_PER_SEC + c->burst) * (1 + OVERAGE) + SLACK;
	uint64_t in_window = 0;

	for (usec_t step = 0; step < STEPS; step++) {
		in_window += world->sent[step];
		if (step >= WINDOW / STEP)
			in_window -= world->sent[step - WINDOW / STEP];
		if ((double)in_window > most)
			fail_msg(
				"seed %" G_GUINT64_FORMAT ": %" G_GUINT64_FORMAT
				" requests in the window up to %.2f s, the bound is %.1f",
				seed, in_window, (double)(step * STEP) / USEC_PER_SEC,
				most);
	}
}

static void play(const shares_case_t *c, uint32_t seed)
{
	world_t *world = g_new0(world_t, 1);

	world->c = c;
	world->rand = g_rand_new_with_seed(seed);
	world->sent = g_new0(uint32_t, STEPS + WAIT_MAX / STEP + 2);
	for (uint32_t i = 0; i < c->nodes; i++) {
		world->flying[i] = g_queue_new();
		start_node(world, i, 0);
	}
	for (usec_t now = STEP; now < LENGTH; now += STEP) {
		restart(world, now);
		for (uint32_t i = 0; i < c->nodes; i++) {
			deliver(world, i, now);
			shares_tick(world->nodes[i].shares, now);
			arrive(world, i, now);
			tell(world, i, now);
		}
	}
	check_windows(world, seed);
	if (c->served_min > 0 &&
	    (double)world->served < c->served_min * (double)world->asked)
		fail_msg("seed %u: %.4f of what was asked inside the rate was served",
			 seed, (double)world->served / (double)world->asked);
	for (uint32_t i = 0; i < c->nodes; i++) {
		g_queue_free_full(world->flying[i], g_free);
		shares_destroy(world->nodes[i].shares);
	}
	g_rand_free(world->rand);
	g_free(world->sent);
	g_free(world);
}

static void test_shares(void **state)
{
	const char *text = getenv("EGRET_TEST_SEEDS");
	uint32_t seeds = text ? (uint32_t)strtoul(text, NULL, 10) : SEEDS_DEFAULT;

	for (uint32_t seed = 1; seed <= seeds; seed++)
		play(*state, seed);
}

static const shares_case_t cases[] = {
	{.name = "demand inside the rate",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.625,
	 .skew = 0.08,
	 .served_min = 0.99},
	{.name = "demand inside a small rate",
	 .nodes = 13,
	 .rate = 30,
	 .burst = 30,
	 .demand = 0.625,
	 .skew = 0.08,
	 .served_min = 0.97},
	{.name = "demand inside a tiny rate",
	 .nodes = 16,
	 .rate = 8,
	 .burst = 8,
	 .demand = 0.625,
	 .skew = 0.0625,
	 .served_min = 0.99},
	{.name = "a surge of a tiny account",
	 .nodes = 16,
	 .rate = 8,
	 .burst = 8,
	 .demand = 0.625,
	 .skew = 0.0625,
	 .surge = 8},
	{.name = "demand at one node",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.625,
	 .skew = 0.9,
	 .served_min = 0.97},
	{.name = "demand far above the rate",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 5,
	 .skew = 0.08},
	{.name = "demand far above the rate at few nodes",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 5,
	 .skew = 0.9},
	{.name = "a surge",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.6,
	 .skew = 0.3,
	 .surge = 8},
	{.name = "a surge of a small account",
	 .nodes = 16,
	 .rate = 20,
	 .burst = 20,
	 .demand = 0.6,
	 .skew = 0.3,
	 .surge = 8},
	{.name = "a surge while told demand is lost",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.6,
	 .skew = 0.3,
	 .surge = 8,
	 .loss = 0.3},
	{.name = "a surge on both sides of a cut",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.6,
	 .skew = 0.3,
	 .surge = 8,
	 .cut = true},
	{.name = "a cut with demand inside the rate",
	 .nodes = 16,
	 .rate = 200,
	 .burst = 200,
	 .demand = 0.6,
	 .skew = 0.0625,
	 .cut = true,
	 .served_min = 0.97},
	{.name = "all restart under demand above the rate",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 3,
	 .skew = 0.08,
	 .restart_all = true},
	{.name = "restarts under demand above the rate",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 3,
	 .skew = 0.08,
	 .restart_some = true},
	{.name = "restarts with demand inside the rate",
	 .nodes = 13,
	 .rate = 254,
	 .burst = 254,
	 .demand = 0.6,
	 .skew = 0.08,
	 .restart_some = true,
	 .served_min = 0.95},
	{.name = "no burst to speak of",
	 .nodes = 13,
	 .rate = 100,
	 .burst = 1,
	 .demand = 4,
	 .skew = 0.3,
	 .surge = 4},
	{.name = "many nodes",
	 .nodes = 65,
	 .rate = 60,
	 .burst = 60,
	 .demand = 0.6,
	 .skew = 0.0154,
	 .surge = 8},
};

int main(void)
{
	return RUN_CASES("shares", cases, test_shares);
}
