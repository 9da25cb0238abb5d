#include "accounts/shares.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Part of the rate that is split evenly, so that a node with new demand has tokens. */
#define FLOOR_SHARE 0.2
#define DEMAND_TIME_CONSTANT_USEC ((double)USEC_PER_SEC)
/* Demand that changed by more than this ratio, and by more than one request per second,
 * is reported at once. */
#define REPORT_CHANGE_RATIO 0.15
#define REPORT_CHANGE_MIN_PER_SEC 1.0
/* Smaller demands, in requests per second, count as none. */
#define DEMAND_MIN_PER_SEC 0.05
/* How often the present shares of the peers are stored. */
#define RETAIN_PERIOD (400 * USEC_PER_MSEC)
/* Up to this ratio of demand to rate an account counts as within its rate. Above 1, since
 * the demand of a small account is known only roughly. */
#define WITHIN_RATE_PRESSURE_MAX 1.5
#define RATE_MIN_PER_SEC 1e-6
#define CAPACITY_MIN 1.0

typedef struct account {
	uint32_t id;
	double demand; /* requests per second, as of demand_updated_at */
	usec_t demand_updated_at;
	double reported_demand;
	double rate;
	double tokens;
	usec_t refilled_at;
} account_t;

typedef struct peer {
	usec_t last_report; /* 0 if none */
	usec_t added;
	bool silent;
	GHashTable *demands;	     /* account id -> double */
	GHashTable *retained_shares; /* account id -> double: share at its last report */
	usec_t retained_at;
} peer_t;

struct shares {
	GHashTable *accounts; /* account -> account_t */
	GHashTable *by_id;    /* account id -> account_t, or NULL if only peers know it */
	GHashTable *peers;    /* address -> peer_t */
	usec_t created;
	usec_t retained_at;
	bool settled;
};

static void peer_destroy(void *data)
{
	peer_t *peer = data;

	g_hash_table_destroy(peer->demands);
	g_hash_table_destroy(peer->retained_shares);
	g_free(peer);
}

static GHashTable *number_table_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

static void number_table_set(GHashTable *table, uint32_t key, double value)
{
	double *existing = g_hash_table_lookup(table, GUINT_TO_POINTER(key));

	if (existing)
		*existing = value;
	else
		g_hash_table_insert(table, GUINT_TO_POINTER(key),
				    g_memdup2(&value, sizeof(value)));
}

static double number_table_get(GHashTable *table, uint32_t key, double absent)
{
	const double *value = g_hash_table_lookup(table, GUINT_TO_POINTER(key));

	return value ? *value : absent;
}

uint32_t shares_account_id(const char *account)
{
	return XXH32(account, strlen(account), 0);
}

shares_t *shares_create(usec_t now)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->created = now;
	shares->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shares->by_id = g_hash_table_new(NULL, NULL);
	shares->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_destroy);
	return shares;
}

void shares_destroy(shares_t *shares)
{
	if (!shares)
		return;
	g_hash_table_destroy(shares->by_id);
	g_hash_table_destroy(shares->accounts);
	g_hash_table_destroy(shares->peers);
	g_free(shares);
}

static peer_t *find_or_add_peer(shares_t *shares, const char *address)
{
	peer_t *peer = g_hash_table_lookup(shares->peers, address);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->demands = number_table_create();
	peer->retained_shares = number_table_create();
	g_hash_table_insert(shares->peers, g_strdup(address), peer);
	return peer;
}

void shares_add_peer(shares_t *shares, const char *address, usec_t now)
{
	peer_t *peer = find_or_add_peer(shares, address);

	if (!peer->added)
		peer->added = now;
}

void shares_remove_peer(shares_t *shares, const char *peer)
{
	g_hash_table_remove(shares->peers, peer);
}

static account_t *find_or_add_account(shares_t *shares, const char *name, usec_t now)
{
	account_t *account = g_hash_table_lookup(shares->accounts, name);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->demand_updated_at = now;
	account->refilled_at = now;
	account->id = shares_account_id(name);
	g_hash_table_insert(shares->accounts, g_strdup(name), account);
	g_hash_table_insert(shares->by_id, GUINT_TO_POINTER(account->id), account);
	return account;
}

void shares_begin_report(shares_t *shares, const char *address, usec_t now)
{
	peer_t *peer = find_or_add_peer(shares, address);

	peer->last_report = now;
	peer->silent = false;
	g_hash_table_remove_all(peer->demands);
}

void shares_report_demand(shares_t *shares, const char *address, uint32_t account_id,
			  double demand)
{
	if (!g_hash_table_contains(shares->by_id, GUINT_TO_POINTER(account_id)))
		g_hash_table_insert(shares->by_id, GUINT_TO_POINTER(account_id), NULL);
	if (demand >= DEMAND_MIN_PER_SEC)
		number_table_set(find_or_add_peer(shares, address)->demands, account_id,
				 demand);
}

static double own_demand(const account_t *account, usec_t now)
{
	return account->demand * exp(-(double)(now - account->demand_updated_at) /
				     DEMAND_TIME_CONSTANT_USEC);
}

/* The values from which the shares of one account are computed. */
typedef struct active_view {
	double share;	/* part of the rate that no silent peer retains */
	double demand;	/* of the peers that are not silent, in requests per second */
	uint32_t nodes; /* those peers and this node */
} active_view_t;

static active_view_t get_active_view(const shares_t *shares, uint32_t account)
{
	active_view_t view = {.share = 1.0, .nodes = 1};
	double even = 1.0 / (1 + g_hash_table_size(shares->peers));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;

		if (peer->silent) {
			view.share -=
				number_table_get(peer->retained_shares, account, even);
			continue;
		}
		view.nodes++;
		view.demand += number_table_get(peer->demands, account, 0);
	}
	view.share = MAX(view.share, 0);
	return view;
}

static double share_of(const active_view_t *view, double demand, double total_demand)
{
	double share = FLOOR_SHARE / view->nodes;

	if (total_demand > 0)
		share += (1 - FLOOR_SHARE) * demand / total_demand;
	else
		share = 1.0 / view->nodes;
	return share * view->share;
}

/* Stores the share of one account for each peer that has reported since the last time. */
static void retain_account_shares(shares_t *shares, uint32_t id, const account_t *account,
				  usec_t now)
{
	active_view_t view = get_active_view(shares, id);
	double total_demand = view.demand + (account ? own_demand(account, now) : 0);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (peer->silent || peer->last_report <= peer->retained_at)
			continue;
		double demand = number_table_get(peer->demands, id, 0);
		number_table_set(peer->retained_shares, id,
				 share_of(&view, demand, total_demand));
	}
}

/* Stores the shares of the peers that have reported since the last time and are not
 * silent. A peer that becomes silent thus retains the share stored after its last
 * report, since the demand of the others may change afterwards. */
static void retain_shares(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *key;
	void *value;

	if (now - shares->retained_at < RETAIN_PERIOD)
		return;
	shares->retained_at = now;
	g_hash_table_iter_init(&iter, shares->by_id);
	while (g_hash_table_iter_next(&iter, &key, &value))
		retain_account_shares(shares, GPOINTER_TO_UINT(key), value, now);
	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (!peer->silent && peer->last_report > peer->retained_at)
			peer->retained_at = now;
	}
}

static bool have_all_reported(const shares_t *shares)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((const peer_t *)value)->last_report)
			return false;
	}
	return g_hash_table_size(shares->peers) > 0;
}

void shares_tick(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	retain_shares(shares, now);
	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;
		usec_t since = peer->last_report ? peer->last_report : peer->added;

		if (peer->silent || now - since < SHARES_SILENCE_TIMEOUT)
			continue;
		peer->silent = true;
	}
	shares->settled = shares->settled ||
			  now - shares->created >= SHARES_SETTLE_TIMEOUT ||
			  have_all_reported(shares);
}

static double current_share(const shares_t *shares, const account_t *account, usec_t now)
{
	active_view_t view = get_active_view(shares, account->id);
	/* Peers compute their shares from this node's last report. Demand that exceeds it
	 * does not count here, since the peers use that part of the rate themselves. */
	double reported_max = account->reported_demand +
			      MAX(REPORT_CHANGE_MIN_PER_SEC,
				  REPORT_CHANGE_RATIO * account->reported_demand);
	double own = MIN(own_demand(account, now), reported_max);

	if (!shares->settled)
		return view.share / view.nodes;
	return share_of(&view, own, view.demand + own);
}

double shares_own_share(shares_t *shares, const char *name, usec_t now)
{
	return current_share(shares, find_or_add_account(shares, name, now), now);
}

double shares_pressure(shares_t *shares, const char *name, usec_t now)
{
	const account_t *account = find_or_add_account(shares, name, now);
	active_view_t view = get_active_view(shares, account->id);

	if (account->rate <= 0)
		return 0;
	return (view.demand + own_demand(account, now)) / account->rate;
}

static void refill(account_t *account, const account_limits_t *limits, double share,
		   usec_t now)
{
	double capacity = MAX(share * (limits->burst + limits->allowance), CAPACITY_MIN);
	double elapsed = (double)(now - account->refilled_at) / USEC_PER_SEC;

	account->tokens = MIN(account->tokens + elapsed * share * limits->rate, capacity);
	account->refilled_at = now;
}

shares_verdict_t shares_take_token(shares_t *shares, const char *name,
				   const account_limits_t *limits, usec_t now)
{
	account_t *account = find_or_add_account(shares, name, now);

	account->demand =
		own_demand(account, now) + USEC_PER_SEC / DEMAND_TIME_CONSTANT_USEC;
	account->demand_updated_at = now;
	account->rate = limits->rate;
	refill(account, limits, current_share(shares, account, now), now);
	if (account->tokens >= 1) {
		account->tokens -= 1;
		return SHARES_GRANTED;
	}
	if (shares_pressure(shares, name, now) > WITHIN_RATE_PRESSURE_MAX)
		return SHARES_REFUSED;
	return SHARES_NO_LOCAL_TOKEN;
}

bool shares_give_token(shares_t *shares, const char *name, const account_limits_t *limits,
		       usec_t now)
{
	account_t *account = find_or_add_account(shares, name, now);

	refill(account, limits, current_share(shares, account, now), now);
	if (account->tokens < 1)
		return false;
	account->tokens -= 1;
	return true;
}

usec_t shares_reserve_token(shares_t *shares, const char *name,
			    const account_limits_t *limits, usec_t wait_max, usec_t now)
{
	account_t *account = find_or_add_account(shares, name, now);
	double share = current_share(shares, account, now);

	refill(account, limits, share, now);
	double wait = (1 - account->tokens) /
		      MAX(share * limits->rate, RATE_MIN_PER_SEC) * USEC_PER_SEC;
	if (wait > (double)wait_max)
		return -1;
	account->tokens -= 1;
	return (usec_t)MAX(wait, 0) + 1;
}

void shares_collect_demands(shares_t *shares, usec_t now, shares_demand_fn fn, void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;
		double demand = own_demand(account, now);

		account->reported_demand = demand;
		if (demand >= DEMAND_MIN_PER_SEC)
			fn(ctx, account->id, demand);
	}
}

bool shares_demand_changed(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;
		double change = fabs(own_demand(account, now) - account->reported_demand);

		if (change > REPORT_CHANGE_MIN_PER_SEC &&
		    change > REPORT_CHANGE_RATIO * account->reported_demand)
			return true;
	}
	return false;
}
