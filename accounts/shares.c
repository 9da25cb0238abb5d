#include "accounts/shares.h"

#include <math.h>

/* Part of the rate that is split evenly, so that new demand finds some. */
#define FLOOR_PART 0.2
#define DEMAND_TIME_CONSTANT ((double)USEC_PER_SEC)
/* A demand that moved by this share, or by one request a second, is told at once. */
#define TELL_CHANGE 0.15
#define TELL_MIN 1.0
/* Smaller demands count as none. */
#define DEMAND_MIN 0.05
/* How often the parts of the peers are remembered. */
#define RESERVE_PERIOD (400 * USEC_PER_MSEC)
/* Demand over rate up to which an account counts as inside its rate: the demand of a
 * small one is known only roughly. */
#define PRESSURE_SHORT_MAX 1.5
#define RATE_MIN 1e-6
#define TOKENS_MIN 1.0

typedef struct account {
	double demand; /* requests a second, as of `counted` */
	usec_t counted;
	double told;
	double rate;
	double tokens;
	usec_t filled;
} account_t;

typedef struct peer {
	usec_t heard; /* 0 if never */
	usec_t added;
	bool silent;
	GHashTable *demands;  /* account -> double */
	GHashTable *reserved; /* account -> double: its part when it was last heard */
	usec_t reserved_at;
} peer_t;

struct shares {
	GHashTable *accounts; /* account -> account_t */
	GHashTable *peers;    /* address -> peer_t */
	usec_t created;
	usec_t reserved;
	bool settled;
};

static void peer_destroy(void *data)
{
	peer_t *peer = data;

	g_hash_table_destroy(peer->demands);
	g_hash_table_destroy(peer->reserved);
	g_free(peer);
}

static GHashTable *numbers_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void number_set(GHashTable *table, const char *key, double value)
{
	g_hash_table_insert(table, g_strdup(key), g_memdup2(&value, sizeof(value)));
}

static double number_get(GHashTable *table, const char *key, double absent)
{
	const double *value = g_hash_table_lookup(table, key);

	return value ? *value : absent;
}

shares_t *shares_create(usec_t now)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->created = now;
	shares->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shares->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_destroy);
	return shares;
}

void shares_destroy(shares_t *shares)
{
	if (!shares)
		return;
	g_hash_table_destroy(shares->accounts);
	g_hash_table_destroy(shares->peers);
	g_free(shares);
}

static peer_t *peer_for(shares_t *shares, const char *address)
{
	peer_t *peer = g_hash_table_lookup(shares->peers, address);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->demands = numbers_create();
	peer->reserved = numbers_create();
	g_hash_table_insert(shares->peers, g_strdup(address), peer);
	return peer;
}

void shares_add_peer(shares_t *shares, const char *address, usec_t now)
{
	peer_t *peer = peer_for(shares, address);

	if (!peer->added)
		peer->added = now;
}

void shares_remove_peer(shares_t *shares, const char *peer)
{
	g_hash_table_remove(shares->peers, peer);
}

static account_t *account_for(shares_t *shares, const char *name, usec_t now)
{
	account_t *account = g_hash_table_lookup(shares->accounts, name);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->counted = now;
	account->filled = now;
	g_hash_table_insert(shares->accounts, g_strdup(name), account);
	return account;
}

void shares_begin_report(shares_t *shares, const char *address, usec_t now)
{
	peer_t *peer = peer_for(shares, address);

	peer->heard = now;
	peer->silent = false;
	g_hash_table_remove_all(peer->demands);
}

void shares_report_demand(shares_t *shares, const char *address, const char *account,
			  double demand, usec_t now)
{
	account_for(shares, account, now);
	if (demand >= DEMAND_MIN)
		number_set(peer_for(shares, address)->demands, account, demand);
}

static double own_demand(const account_t *account, usec_t now)
{
	return account->demand *
	       exp(-(double)(now - account->counted) / DEMAND_TIME_CONSTANT);
}

/* What the nodes that are heard have in common for one account. */
typedef struct common {
	double left;   /* part of the rate that no silent peer holds */
	double demand; /* of the peers that are heard */
	uint32_t nodes;
} common_t;

static common_t common_of(const shares_t *shares, const char *account)
{
	common_t common = {.left = 1.0, .nodes = 1};
	double even = 1.0 / (1 + g_hash_table_size(shares->peers));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (peer->silent) {
			common.left -= number_get(peer->reserved, account, even);
			continue;
		}
		common.nodes++;
		common.demand += number_get(peer->demands, account, 0);
	}
	common.left = MAX(common.left, 0);
	return common;
}

static double part_of(const common_t *common, double demand, double all)
{
	double part = FLOOR_PART / common->nodes;

	if (all > 0)
		part += (1 - FLOOR_PART) * demand / all;
	else
		part = 1.0 / common->nodes;
	return part * common->left;
}

/* Remembers what every peer that was heard lately has of one account. */
static void reserve_account(shares_t *shares, const char *name, const account_t *account,
			    usec_t now)
{
	common_t common = common_of(shares, name);
	double all = common.demand + own_demand(account, now);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (peer->silent || peer->heard <= peer->reserved_at)
			continue;
		double demand = number_get(peer->demands, name, 0);
		number_set(peer->reserved, name, part_of(&common, demand, all));
	}
}

/* A peer that falls silent keeps what it had when it was last heard: the demand of
 * the others may have changed since. */
static void reserve(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *key;
	void *value;

	if (now - shares->reserved < RESERVE_PERIOD)
		return;
	shares->reserved = now;
	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		reserve_account(shares, key, value, now);
	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (!peer->silent && peer->heard > peer->reserved_at)
			peer->reserved_at = now;
	}
}

static bool all_heard(const shares_t *shares)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((const peer_t *)value)->heard)
			return false;
	}
	return g_hash_table_size(shares->peers) > 0;
}

void shares_tick(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	reserve(shares, now);
	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;
		usec_t since = peer->heard ? peer->heard : peer->added;

		if (peer->silent || now - since < SHARES_SILENCE_TIMEOUT)
			continue;
		peer->silent = true;
	}
	shares->settled = shares->settled ||
			  now - shares->created >= SHARES_SETTLE_TIMEOUT ||
			  all_heard(shares);
}

static double part_now(shares_t *shares, const char *name, const account_t *account,
		       usec_t now)
{
	common_t common = common_of(shares, name);
	/* What the others do not know of would be taken twice. */
	double known = account->told + MAX(TELL_MIN, TELL_CHANGE * account->told);
	double own = MIN(own_demand(account, now), known);

	if (!shares->settled)
		return common.left / common.nodes;
	return part_of(&common, own, common.demand + own);
}

double shares_own_share(shares_t *shares, const char *name, usec_t now)
{
	return part_now(shares, name, account_for(shares, name, now), now);
}

double shares_pressure(shares_t *shares, const char *name, usec_t now)
{
	const account_t *account = account_for(shares, name, now);
	common_t common = common_of(shares, name);

	if (account->rate <= 0)
		return 0;
	return (common.demand + own_demand(account, now)) / account->rate;
}

static void fill(account_t *account, const account_limits_t *limits, double part,
		 usec_t now)
{
	double most = MAX(part * (limits->burst + limits->allowance), TOKENS_MIN);
	double elapsed = (double)(now - account->filled) / USEC_PER_SEC;

	account->tokens = MIN(account->tokens + elapsed * part * limits->rate, most);
	account->filled = now;
}

shares_verdict_t shares_take_token(shares_t *shares, const char *name,
				   const account_limits_t *limits, usec_t now)
{
	account_t *account = account_for(shares, name, now);

	account->demand = own_demand(account, now) + USEC_PER_SEC / DEMAND_TIME_CONSTANT;
	account->counted = now;
	account->rate = limits->rate;
	fill(account, limits, part_now(shares, name, account, now), now);
	if (account->tokens >= 1) {
		account->tokens -= 1;
		return SHARES_GRANTED;
	}
	if (shares_pressure(shares, name, now) > PRESSURE_SHORT_MAX)
		return SHARES_REFUSED;
	return SHARES_NO_LOCAL_TOKEN;
}

bool shares_give_token(shares_t *shares, const char *name, const account_limits_t *limits,
		       usec_t now)
{
	account_t *account = account_for(shares, name, now);

	fill(account, limits, part_now(shares, name, account, now), now);
	if (account->tokens < 1)
		return false;
	account->tokens -= 1;
	return true;
}

usec_t shares_take_delayed(shares_t *shares, const char *name,
			   const account_limits_t *limits, usec_t wait_max, usec_t now)
{
	account_t *account = account_for(shares, name, now);
	double part = part_now(shares, name, account, now);

	fill(account, limits, part, now);
	double wait =
		(1 - account->tokens) / MAX(part * limits->rate, RATE_MIN) * USEC_PER_SEC;
	if (wait > (double)wait_max)
		return -1;
	account->tokens -= 1;
	return (usec_t)MAX(wait, 0) + 1;
}

void shares_collect_demands(shares_t *shares, usec_t now, shares_demand_fn fn, void *ctx)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		account_t *account = value;
		double demand = own_demand(account, now);

		account->told = demand;
		if (demand >= DEMAND_MIN)
			fn(ctx, key, demand);
	}
}

bool shares_demand_changed(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;
		double moved = fabs(own_demand(account, now) - account->told);

		if (moved > TELL_MIN && moved > TELL_CHANGE * account->told)
			return true;
	}
	return false;
}
