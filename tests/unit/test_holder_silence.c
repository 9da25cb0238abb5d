/* A holder that has frozen, seen by a node that hears from no other one: the node must
 * find out whether it is cut off itself before it refuses requests. */
#include "case.h"

#include "accounts/keeper.h"
#include "accounts/token_search.h"
#include "accounts/zone_rates.h"

#include <string.h>

#define NODES 3
#define ACCOUNTS 64
#define START (10 * USEC_PER_SEC)
/* Since the last datagram of any node, as on nodes without requests. */
#define QUIET_TIME (2 * USEC_PER_SEC)

typedef struct silence_case {
	const char *name;
	uint32_t live; /* members of the zone */
	bool others;   /* besides the frozen holder, the other nodes reply */
	bool admitted;
} silence_case_t;

typedef struct zone_fixture {
	member_t members[NODES];
	struct member_list list;
	zone_rates_t *rates[NODES];
} zone_fixture_t;

static void create_nodes(zone_fixture_t *zone, uint32_t live)
{
	const char *const zones[] = {"za", NULL};

	LIST_INIT(&zone->list);
	for (uint32_t i = 0; i < live; i++) {
		member_t *member = &zone->members[i];
		memset(member, 0, sizeof(*member));
		g_snprintf(member->address, sizeof(member->address), "127.0.0.%u:70",
			   i + 1);
		g_strlcpy(member->zone, "za", sizeof(member->zone));
		member->state = EGRET__MEMBER_STATE__MEMBER_ALIVE;
		LIST_INSERT_HEAD(&zone->list, member, link);
	}
	for (uint32_t i = 0; i < live; i++) {
		zone->rates[i] =
			zone_rates_create(zone->members[i].address, "za", zones, 0);
		zone_rates_set_node_count(zone->rates[i], live);
		zone_rates_set_members(zone->rates[i], &zone->list, START);
	}
}

static uint32_t find_node(const zone_fixture_t *zone, const char *address)
{
	uint32_t i = 0;

	while (strcmp(zone->members[i].address, address) != 0)
		i++;
	return i;
}

/* One request at node `entry`; returns whether it is admitted. */
static bool admit(zone_fixture_t *zone, uint32_t entry, uint32_t frozen, bool others,
		  const char *account)
{
	account_limits_t limits = account_limits(500, 500, &(rate_bound_t){5, 0.1, 20.0});
	zone_rates_t *rates = zone->rates[entry];
	usec_t now = START + QUIET_TIME;
	token_action_t question = {0};
	token_event_t event = TOKEN_START;
	token_search_t search;
	const char *holder = NULL;
	const char *unanswered = NULL;

	token_search_init(&search, 0, 1, 1);
	for (;;) {
		token_answer_t answer;
		token_action_t action = token_search_next(&search, event);
		if (action.previous_silent) {
			unanswered = holder;
			zone_rates_set_silent(rates, holder, now);
		}
		if (action.kind == TOKEN_REFUSE)
			return false;
		if (action.kind == TOKEN_ASK) {
			question = action;
			holder = zone_rates_holder(rates, 0, account, unanswered, now);
		}
		if (!holder) {
			event = TOKEN_NO_HOLDER;
			continue;
		}
		uint32_t asked = find_node(zone, holder);
		if (asked == frozen || (asked != entry && !others)) {
			now += TOKEN_REPLY_TIMEOUT;
			event = TOKEN_TIMEOUT;
			continue;
		}
		token_question_t request = {
			.account = account,
			.asker = asked == entry ? NULL : zone->members[entry].address,
			.wanted = 1,
			.wait_max = question.wait_max,
			.repeated = question.repeated,
		};
		zone_rates_answer(zone->rates[asked], &request, &limits, now, &answer);
		zone_rates_store_answer(rates, holder, account, &answer, now);
		if (answer.tokens > 0)
			return true;
		event = answer.over_rate ? TOKEN_OVER_RATE : TOKEN_DENIED;
	}
}

static void test_case(void **state)
{
	const silence_case_t *c = *state;
	uint32_t played = 0;

	/* Each order of the holders occurs. */
	for (uint32_t n = 0; n < ACCOUNTS; n++) {
		zone_fixture_t zone = {0};
		char account[16];
		uint32_t entry = n % c->live;

		g_snprintf(account, sizeof(account), "account-%u", n);
		create_nodes(&zone, c->live);
		const char *holder =
			zone_rates_holder(zone.rates[entry], 0, account, NULL, START);
		uint32_t frozen = find_node(&zone, holder);
		if (frozen != entry) {
			bool admitted = admit(&zone, entry, frozen, c->others, account);
			if (admitted != c->admitted)
				fail_msg("node %u, %s: %s", entry, account,
					 admitted ? "admitted" : "refused");
			played++;
		}
		for (uint32_t i = 0; i < c->live; i++)
			zone_rates_destroy(zone.rates[i]);
	}
	assert_true(played >= ACCOUNTS / 4);
}

static const silence_case_t cases[] = {
	{"one of three has frozen", 3, .others = true, .admitted = true},
	/* Admitting here would let both sides of a cut use the whole rate. */
	{"nobody replies", 3, .others = false, .admitted = false},
	{"the only other node does not reply", 2, .others = true, .admitted = false},
};

int main(void)
{
	return RUN_CASES("holder silence", cases, test_case);
}
