#include "accounts/zone_rates.h"

#include "accounts/keeper.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define HOLDER_SEED 0x686f6c64u
/* The holder of a partition and its successors. */
#define CANDIDATES 3
#define SILENCE_TIME (300 * USEC_PER_MSEC)
/* A partition that this node does not hold, by its directory, is released after this time
 * without a question. */
#define RELEASE_TIME (5 * USEC_PER_SEC)
#define REPORT_PERIOD (700 * USEC_PER_MSEC)
/* A new holder knows the demand of its zone only after some time. Until then the others
 * use what its predecessor reported. */
#define FIRST_REPORT_DELAY USEC_PER_SEC
#define REPORT_INTERVAL_MIN (200 * USEC_PER_MSEC)
/* While a node starts, nodes without a directory entry may be in its zone. */
#define UNKNOWN_TIME (3 * USEC_PER_SEC)
#define FRESH_TIME (3 * USEC_PER_SEC)
/* A node that answered within this time does not count as silent: datagrams were lost. */
#define ANSWER_TIME (500 * USEC_PER_MSEC)
/* A node that receives nothing for this time, while it asks a holder, is cut off. */
#define CUT_OFF_TIME (100 * USEC_PER_MSEC)
/* Holders of other zones report more often than this. */
#define REPORT_SILENCE_TIME USEC_PER_SEC
/* A member that left a question unanswered is not reached for this time, if nothing is
 * received from it. */
#define UNREACHED_TIME (2 * USEC_PER_SEC)
/* Tokens are taken ahead for the demand of this time. */
#define AHEAD_SEC 0.1
/* Answers are kept for all the times that a question is asked. */
#define GIVEN_TIME (200 * USEC_PER_MSEC)
#define GIVEN_MAX 20000
#define DEMAND_TIME_CONSTANT_USEC ((double)USEC_PER_SEC)

typedef struct candidate {
	char address[ADDRESS_TEXT_BYTES]; /* empty for none */
	uint64_t weight;
} candidate_t;

typedef struct zone {
	char *name;
	candidate_t candidates[KEEPER_PARTITIONS][CANDIDATES];
	uint32_t live;	/* members */
	uint32_t known; /* live and dead members */
} zone_t;

typedef struct held_partition {
	shares_t *shares; /* NULL if this node does not hold the partition */
	usec_t held_since;
	usec_t asked_at;
	usec_t reported_at;
} held_partition_t;

/* What a node knows of an account besides its part as a holder. */
typedef struct entry_account {
	double demand; /* requests per second, as of demand_at */
	usec_t demand_at;
	double pressure;
	uint32_t tokens;
	usec_t tokens_until;
} entry_account_t;

/* An answer that this node gave as a holder. */
typedef struct given_answer {
	uint64_t id; /* of the question */
	usec_t at;
	token_answer_t answer;
} given_answer_t;

struct zone_rates {
	char address[ADDRESS_TEXT_BYTES];
	zone_t *zones;
	uint32_t zone_count;
	uint32_t own_zone;
	double part; /* of the own zone's share */
	uint32_t node_count;
	uint32_t member_count; /* entries of the directory */
	bool stale;
	usec_t created;
	held_partition_t held[KEEPER_PARTITIONS];
	usec_t contact_at; /* of any other node */
	bool has_report;   /* of another zone */
	bool cut_off;
	/* Own holder that did not reply although nothing else arrived, or empty. */
	char suspect[ADDRESS_TEXT_BYTES];
	GHashTable *own_members;  /* addresses of the live members of the own zone */
	GHashTable *unreached_at; /* address -> usec_t of the last unanswered question */
	GHashTable *silent_until; /* address -> usec_t */
	GHashTable *answered_at;  /* address -> usec_t */
	GHashTable *accounts;	  /* account -> entry_account_t */
	GHashTable *given;	  /* id -> given_answer_t */
	usec_t given_purged_at;
};

static void add_zone(zone_rates_t *rates, const char *name, const char *own_zone)
{
	if (strcmp(name, own_zone) == 0)
		rates->own_zone = rates->zone_count;
	rates->zones[rates->zone_count++].name = g_strdup(name);
}

zone_rates_t *zone_rates_create(const char *address, const char *zone,
				const char *const *zones, usec_t now)
{
	zone_rates_t *rates = g_new0(zone_rates_t, 1);

	g_strlcpy(rates->address, address, sizeof(rates->address));
	rates->own_zone = UINT32_MAX;
	rates->zones = g_new0(zone_t, g_strv_length((char **)zones) + 1);
	for (uint32_t i = 0; zones[i]; i++)
		add_zone(rates, zones[i], zone);
	if (rates->own_zone == UINT32_MAX)
		add_zone(rates, zone, zone);
	rates->part = 1.0;
	rates->created = now;
	rates->contact_at = now;
	rates->own_members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rates->unreached_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rates->silent_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rates->answered_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rates->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rates->given = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return rates;
}

void zone_rates_destroy(zone_rates_t *rates)
{
	if (!rates)
		return;
	for (uint32_t i = 0; i < rates->zone_count; i++)
		g_free(rates->zones[i].name);
	g_free(rates->zones);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		shares_destroy(rates->held[i].shares);
	g_hash_table_destroy(rates->own_members);
	g_hash_table_destroy(rates->unreached_at);
	g_hash_table_destroy(rates->silent_until);
	g_hash_table_destroy(rates->answered_at);
	g_hash_table_destroy(rates->accounts);
	g_hash_table_destroy(rates->given);
	g_free(rates);
}

uint32_t zone_rates_zone_count(const zone_rates_t *rates)
{
	return rates->zone_count;
}

uint32_t zone_rates_own_zone(const zone_rates_t *rates)
{
	return rates->own_zone;
}

/* --- Holders ------------------------------------------------------------- */

static zone_t *find_zone(const zone_rates_t *rates, const char *name)
{
	for (uint32_t i = 0; i < rates->zone_count; i++) {
		if (strcmp(rates->zones[i].name, name) == 0)
			return &rates->zones[i];
	}
	return NULL;
}

/* Inserts into the list, which is in descending order of weight. */
static void add_candidate(candidate_t list[CANDIDATES], const char *address,
			  uint64_t weight)
{
	int at = CANDIDATES;

	while (at > 0 && (!*list[at - 1].address || list[at - 1].weight < weight))
		at--;
	if (at == CANDIDATES)
		return;
	memmove(&list[at + 1], &list[at],
		(size_t)(CANDIDATES - 1 - at) * sizeof(list[0]));
	list[at].weight = weight;
	g_strlcpy(list[at].address, address, sizeof(list[at].address));
}

static void add_member(const zone_rates_t *rates, const member_t *member)
{
	zone_t *zone = find_zone(rates, member->zone);

	if (!zone || member->state == EGRET__MEMBER_STATE__MEMBER_LEFT)
		return;
	zone->known++;
	if (member->state > EGRET__MEMBER_STATE__MEMBER_SUSPECT)
		return;
	zone->live++;
	if (zone == &rates->zones[rates->own_zone])
		g_hash_table_add(rates->own_members, g_strdup(member->address));
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		add_candidate(
			zone->candidates[i], member->address,
			XXH64(member->address, strlen(member->address), HOLDER_SEED + i));
}

static void set_time(GHashTable *table, const char *address, usec_t time)
{
	usec_t *existing = g_hash_table_lookup(table, address);

	if (existing)
		*existing = time;
	else
		g_hash_table_insert(table, g_strdup(address),
				    g_memdup2(&time, sizeof(time)));
}

/* Live members of the own zone that this node does not reach. */
static uint32_t count_unreached(const zone_rates_t *rates, usec_t now)
{
	GHashTableIter iter;
	gpointer address, time;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, rates->unreached_at);
	while (g_hash_table_iter_next(&iter, &address, &time)) {
		if (now - *(usec_t *)time < UNREACHED_TIME &&
		    g_hash_table_contains(rates->own_members, address))
			count++;
	}
	return count;
}

/* Part of the own zone's share that corresponds to the members that this node reaches. */
static double compute_part(const zone_rates_t *rates, usec_t now)
{
	const zone_t *own = &rates->zones[rates->own_zone];
	uint32_t live = MAX(own->live, 1);
	uint32_t known = MAX(own->known, 1);

	if (now - rates->created < UNKNOWN_TIME &&
	    rates->node_count > rates->member_count)
		known += rates->node_count - rates->member_count;
	if (rates->cut_off && live > 1)
		return 0;
	return (double)(live - MIN(count_unreached(rates, now), live - 1)) / known;
}

static void update_part(zone_rates_t *rates, usec_t now)
{
	rates->part = compute_part(rates, now);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		if (rates->held[i].shares)
			shares_set_part(rates->held[i].shares, rates->part);
	}
}

/* A datagram of another node has arrived; `address` is NULL if it is of another zone. */
static void record_contact(zone_rates_t *rates, const char *address, usec_t now)
{
	bool changed = rates->cut_off;

	if (address && strcmp(address, rates->address) == 0)
		return;
	if (address && g_hash_table_remove(rates->unreached_at, address))
		changed = true;
	rates->contact_at = now;
	rates->cut_off = false;
	*rates->suspect = '\0';
	if (changed)
		update_part(rates, now);
}

void zone_rates_set_members(zone_rates_t *rates, const struct member_list *members,
			    usec_t now)
{
	const member_t *member;

	rates->stale = false;
	rates->member_count = 0;
	g_hash_table_remove_all(rates->own_members);
	for (uint32_t i = 0; i < rates->zone_count; i++) {
		zone_t *zone = &rates->zones[i];
		memset(zone->candidates, 0, sizeof(zone->candidates));
		zone->live = zone->known = 0;
	}
	LIST_FOREACH(member, members, link)
	{
		add_member(rates, member);
		rates->member_count++;
	}
	update_part(rates, now);
}

void zone_rates_set_stale(zone_rates_t *rates)
{
	rates->stale = true;
}

bool zone_rates_is_stale(const zone_rates_t *rates)
{
	return rates->stale;
}

void zone_rates_set_node_count(zone_rates_t *rates, uint32_t count)
{
	rates->node_count = count;
}

static bool is_silent(const zone_rates_t *rates, const char *address, usec_t now)
{
	const usec_t *until = g_hash_table_lookup(rates->silent_until, address);

	return until && now < *until;
}

static bool is_passed_over(const char *address, const char *passed_over)
{
	return passed_over && strcmp(address, passed_over) == 0;
}

static const char *find_holder(const zone_rates_t *rates, uint32_t zone,
			       uint32_t partition, const char *passed_over, usec_t now)
{
	const candidate_t *list = rates->zones[zone].candidates[partition];

	for (int i = 0; i < CANDIDATES && *list[i].address; i++) {
		if (!is_silent(rates, list[i].address, now) &&
		    !is_passed_over(list[i].address, passed_over))
			return list[i].address;
	}
	return NULL;
}

/* A candidate besides this node whose reply shows that this node is not cut off. */
static const char *find_other_holder(const zone_rates_t *rates, uint32_t partition,
				     const char *passed_over, usec_t now)
{
	const candidate_t *list = rates->zones[rates->own_zone].candidates[partition];

	for (int i = 0; i < CANDIDATES && *list[i].address; i++) {
		if (strcmp(list[i].address, rates->address) != 0 &&
		    strcmp(list[i].address, rates->suspect) != 0 &&
		    !is_silent(rates, list[i].address, now) &&
		    !is_passed_over(list[i].address, passed_over))
			return list[i].address;
	}
	return NULL;
}

const char *zone_rates_partition_holder(const zone_rates_t *rates, uint32_t zone,
					uint32_t partition, usec_t now)
{
	return find_holder(rates, zone, partition, NULL, now);
}

const char *zone_rates_holder(const zone_rates_t *rates, uint32_t zone,
			      const char *account, const char *passed_over, usec_t now)
{
	uint32_t partition = account_partition(account);
	const char *first = rates->zones[zone].candidates[partition][0].address;
	const char *holder = find_holder(rates, zone, partition, passed_over, now);

	/* While this node may be cut off, it uses no tokens in place of another. */
	if (*rates->suspect && zone == rates->own_zone && holder &&
	    strcmp(holder, rates->address) == 0 && strcmp(first, rates->address) != 0)
		return find_other_holder(rates, partition, passed_over, now);
	return holder;
}

/* One holder that does not reply may be frozen. This node counts as cut off if a second
 * one does not reply either, or if there is no other member. */
static void suspect_cut(zone_rates_t *rates, const char *address)
{
	bool second = *rates->suspect && strcmp(rates->suspect, address) != 0;

	rates->cut_off |= second || rates->zones[rates->own_zone].live < 3;
	g_strlcpy(rates->suspect, address, sizeof(rates->suspect));
}

void zone_rates_set_silent(zone_rates_t *rates, const char *address, usec_t now)
{
	const usec_t *answered = g_hash_table_lookup(rates->answered_at, address);

	if (strcmp(address, rates->address) == 0)
		return;
	if (now - rates->contact_at >= CUT_OFF_TIME)
		suspect_cut(rates, address);
	if (!answered || now - *answered >= ANSWER_TIME) {
		set_time(rates->silent_until, address, now + SILENCE_TIME);
		set_time(rates->unreached_at, address, now);
	}
	update_part(rates, now);
}

/* --- Holder -------------------------------------------------------------- */

static void hold(zone_rates_t *rates, uint32_t partition, usec_t now)
{
	held_partition_t *held = &rates->held[partition];

	held->asked_at = now;
	if (held->shares)
		return;
	held->shares = shares_create(now);
	held->held_since = now;
	held->reported_at = 0;
	shares_set_part(held->shares, rates->part);
	if (now - rates->created < FRESH_TIME)
		shares_set_fresh(held->shares);
	for (uint32_t i = 0; i < rates->zone_count; i++) {
		if (i != rates->own_zone)
			shares_add_peer(held->shares, rates->zones[i].name, now);
	}
}

static bool is_own_holder(const zone_rates_t *rates, uint32_t partition, usec_t now)
{
	const char *holder =
		zone_rates_partition_holder(rates, rates->own_zone, partition, now);

	return holder && strcmp(holder, rates->address) == 0;
}

/* Whether holders of other zones are to report to this node. */
static bool expects_reports(const zone_rates_t *rates, usec_t now)
{
	for (uint32_t zone = 0; rates->has_report && zone < rates->zone_count; zone++) {
		if (zone == rates->own_zone || rates->zones[zone].live == 0)
			continue;
		for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
			if (is_own_holder(rates, i, now))
				return true;
		}
	}
	return false;
}

static gboolean is_older(void *key, void *value, void *time)
{
	(void)key;
	return *(usec_t *)value < *(usec_t *)time;
}

void zone_rates_tick(zone_rates_t *rates, usec_t now)
{
	usec_t oldest = now - ANSWER_TIME;
	usec_t oldest_unreached = now - UNREACHED_TIME;

	g_hash_table_foreach_remove(rates->silent_until, is_older, &now);
	g_hash_table_foreach_remove(rates->answered_at, is_older, &oldest);
	bool changed = g_hash_table_foreach_remove(rates->unreached_at, is_older,
						   &oldest_unreached) > 0;
	if (!rates->cut_off && now - rates->contact_at >= REPORT_SILENCE_TIME &&
	    expects_reports(rates, now))
		rates->cut_off = changed = true;
	if (changed)
		update_part(rates, now);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		held_partition_t *held = &rates->held[i];

		if (is_own_holder(rates, i, now))
			hold(rates, i, now);
		if (held->shares && now - held->asked_at >= RELEASE_TIME)
			g_clear_pointer(&held->shares, shares_destroy);
		if (held->shares)
			shares_tick(held->shares, now);
	}
}

uint32_t zone_rates_held(const zone_rates_t *rates)
{
	uint32_t held = 0;

	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		if (rates->held[i].shares)
			held |= 1u << i;
	}
	return held;
}

double zone_rates_part(const zone_rates_t *rates)
{
	return rates->part;
}

bool zone_rates_is_cut_off(const zone_rates_t *rates)
{
	return rates->cut_off;
}

static gboolean is_given_before(void *key, void *value, void *time)
{
	(void)key;
	return ((const given_answer_t *)value)->at < *(usec_t *)time;
}

/* Finds the answer that the question got before. */
static bool find_given(const zone_rates_t *rates, const token_question_t *question,
		       usec_t now, token_answer_t *out)
{
	const given_answer_t *given =
		question->id ? g_hash_table_lookup(rates->given, &question->id) : NULL;

	if (!given || now - given->at >= GIVEN_TIME)
		return false;
	*out = given->answer;
	out->wait = MAX(out->wait - (now - given->at), 0);
	return true;
}

static void store_given(zone_rates_t *rates, const token_question_t *question,
			const token_answer_t *answer, usec_t now)
{
	usec_t oldest = now - GIVEN_TIME;

	/* An answer without tokens is computed anew: there may be some by then. */
	if (!question->id || answer->tokens == 0)
		return;
	if (now - rates->given_purged_at >= GIVEN_TIME) {
		g_hash_table_foreach_remove(rates->given, is_given_before, &oldest);
		rates->given_purged_at = now;
	}
	if (g_hash_table_size(rates->given) >= GIVEN_MAX)
		return;
	given_answer_t *given = g_new0(given_answer_t, 1);
	given->id = question->id;
	given->at = now;
	given->answer = *answer;
	g_hash_table_replace(rates->given, &given->id, given);
}

void zone_rates_answer(zone_rates_t *rates, const token_question_t *question,
		       const account_limits_t *limits, usec_t now, token_answer_t *out)
{
	uint32_t partition = account_partition(question->account);
	shares_verdict_t verdict = SHARES_NO_LOCAL_TOKEN;

	*out = (token_answer_t){0};
	if (question->asker)
		record_contact(rates, question->asker, now);
	if (find_given(rates, question, now, out))
		return;
	hold(rates, partition, now);
	shares_t *shares = rates->held[partition].shares;
	if (question->lend)
		out->tokens =
			shares_give_token(shares, question->account, limits, now) ? 1 : 0;
	else if (!question->repeated)
		verdict = shares_take_tokens(shares, question->account, limits,
					     question->wanted, now, &out->tokens);
	if (!question->lend && out->tokens == 0 && verdict == SHARES_NO_LOCAL_TOKEN) {
		out->wait = shares_reserve_token(shares, question->account, limits,
						 question->wait_max, now);
		out->tokens = out->wait >= 0 ? 1 : 0;
	}
	out->over_rate = verdict == SHARES_REFUSED;
	out->pressure = shares_pressure(shares, question->account, now);
	store_given(rates, question, out, now);
}

bool zone_rates_report(zone_rates_t *rates, uint32_t partition, usec_t now,
		       shares_demand_fn fn, void *ctx)
{
	held_partition_t *held = &rates->held[partition];

	const zone_t *own = &rates->zones[rates->own_zone];

	/* A successor that some nodes use does not know the demand of the zone. */
	if (!held->shares || now - held->held_since < FIRST_REPORT_DELAY ||
	    strcmp(own->candidates[partition][0].address, rates->address) != 0)
		return false;
	usec_t age = now - held->reported_at;
	if (age < REPORT_PERIOD &&
	    (age < REPORT_INTERVAL_MIN || !shares_demand_changed(held->shares, now)))
		return false;
	held->reported_at = now;
	shares_collect_demands(held->shares, now, fn, ctx);
	return true;
}

void zone_rates_begin_report(zone_rates_t *rates, uint32_t partition, const char *zone,
			     usec_t now)
{
	if (partition >= KEEPER_PARTITIONS || !rates->held[partition].shares ||
	    !find_zone(rates, zone) ||
	    find_zone(rates, zone) == &rates->zones[rates->own_zone])
		return;
	rates->has_report = true;
	record_contact(rates, NULL, now);
	shares_begin_report(rates->held[partition].shares, zone, now);
}

void zone_rates_add_demand(zone_rates_t *rates, uint32_t partition, const char *zone,
			   uint32_t account_id, double demand)
{
	if (partition >= KEEPER_PARTITIONS || !rates->held[partition].shares ||
	    !find_zone(rates, zone) ||
	    find_zone(rates, zone) == &rates->zones[rates->own_zone])
		return;
	shares_report_demand(rates->held[partition].shares, zone, account_id, demand);
}

/* --- Every node ---------------------------------------------------------- */

static entry_account_t *find_or_add_account(zone_rates_t *rates, const char *name)
{
	entry_account_t *account = g_hash_table_lookup(rates->accounts, name);

	if (account)
		return account;
	account = g_new0(entry_account_t, 1);
	g_hash_table_insert(rates->accounts, g_strdup(name), account);
	return account;
}

bool zone_rates_take(zone_rates_t *rates, const char *name, usec_t now, uint32_t *wanted)
{
	entry_account_t *account = find_or_add_account(rates, name);

	account->demand *=
		exp(-(double)(now - account->demand_at) / DEMAND_TIME_CONSTANT_USEC);
	account->demand += USEC_PER_SEC / DEMAND_TIME_CONSTANT_USEC;
	account->demand_at = now;
	if (account->tokens > 0 && now < account->tokens_until) {
		account->tokens--;
		return true;
	}
	account->tokens = 0;
	*wanted = 1 + (uint32_t)(account->demand * AHEAD_SEC);
	return false;
}

void zone_rates_store_answer(zone_rates_t *rates, const char *holder, const char *name,
			     const token_answer_t *answer, usec_t now)
{
	entry_account_t *account = find_or_add_account(rates, name);

	set_time(rates->answered_at, holder, now);
	record_contact(rates, holder, now);
	account->pressure = answer->pressure;
	if (answer->tokens <= 1)
		return;
	account->tokens = answer->tokens - 1;
	account->tokens_until = now + TOKEN_LIFETIME;
}

double zone_rates_pressure(const zone_rates_t *rates, const char *name)
{
	const entry_account_t *account = g_hash_table_lookup(rates->accounts, name);

	return account ? account->pressure : 0;
}
