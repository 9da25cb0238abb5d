#include "accounts/shares.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Part of the rate that is split evenly, so that a node with new demand has tokens. */
#define FLOOR_SHARE 0.2
/* Demand, in multiples of the rate, that is counted for all nodes together in equal
 * parts. While no peer's demand is known, a node thus does not take the whole rate. */
#define BASE_DEMAND 0.1
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
/* Nodes may admit what the rate allows in this time in excess, while the demands that
 * they know are out of date. */
#define LAG_RESERVE_SEC 2.0
/* Bounds of the allowance, as parts of the allowed excess. The rest covers nodes that are
 * cut off and changes of the holders. */
#define ALLOWANCE_RATIO_MIN 0.1
#define ALLOWANCE_RATIO_MAX 0.45
/* Others may use a node's tokens for this time after it started to hold them. */
#define TAKEOVER_TIME (2 * USEC_PER_SEC)
/* Part of the allowance that is there at once after a start. */
#define START_CREDIT 0.7

typedef struct account {
	uint32_t id;
	double demand; /* requests per second, as of demand_updated_at */
	usec_t demand_updated_at;
	double reported_demand;
	/* Of a report that is not older than the last reports of all peers, and of one
	 * that may be. */
	double confirmed_demand;
	double pending_demand;
	double rate;
	double tokens;
	usec_t refilled_at;
	bool filled; /* it has had its first tokens */
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
	double part;	   /* of this node's share that it may use */
	usec_t pending_at; /* when pending_demand was reported; 0 if none is pending */
	bool fresh;	   /* nobody used tokens for a while before the start */
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

account_limits_t account_limits(double rate, double burst, const rate_bound_t *bound)
{
	double excess =
		(rate * bound->window_sec + burst) * bound->overage + bound->slack;

	return (account_limits_t){
		.rate = rate,
		.burst = burst,
		.allowance =
			CLAMP(excess - LAG_RESERVE_SEC * rate,
			      ALLOWANCE_RATIO_MIN * excess, ALLOWANCE_RATIO_MAX * excess),
	};
}

uint32_t shares_account_id(const char *account)
{
	return XXH32(account, strlen(account), 0);
}

shares_t *shares_create(usec_t now)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->created = now;
	shares->part = 1.0;
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

/* Share of a node with this demand; `rate` is 0 if it is not known. */
static double share_of(const active_view_t *view, double demand, double total_demand,
		       double rate)
{
	double base = MAX(BASE_DEMAND * rate, DEMAND_MIN_PER_SEC);
	double by_demand = (demand + base / view->nodes) / (total_demand + base);

	return view->share * (FLOOR_SHARE / view->nodes + (1 - FLOOR_SHARE) * by_demand);
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
				 share_of(&view, demand, total_demand,
					  account ? account->rate : 0));
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

/* Whether every peer that is not silent has reported since this node's pending report. */
static bool is_pending_confirmed(const shares_t *shares)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, shares->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_t *peer = value;
		if (!peer->silent && peer->last_report <= shares->pending_at)
			return false;
	}
	return true;
}

static void confirm_pending(shares_t *shares)
{
	GHashTableIter iter;
	void *value;

	if (!shares->pending_at || !is_pending_confirmed(shares))
		return;
	shares->pending_at = 0;
	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;
		account->confirmed_demand = account->pending_demand;
	}
}

void shares_tick(shares_t *shares, usec_t now)
{
	GHashTableIter iter;
	void *value;

	retain_shares(shares, now);
	confirm_pending(shares);
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
	/* Peers compute their shares from this node's reports. Demand that exceeds what
	 * they know does not count here, since they use that part of the rate themselves;
	 * a peer that has not reported since may be behind a network partition. */
	double reported_max = account->confirmed_demand +
			      MAX(REPORT_CHANGE_MIN_PER_SEC,
				  REPORT_CHANGE_RATIO * account->confirmed_demand);
	double own = MIN(own_demand(account, now), reported_max);

	if (!shares->settled)
		return shares->part * view.share / view.nodes;
	return shares->part * share_of(&view, own, view.demand + own, account->rate);
}

void shares_set_fresh(shares_t *shares)
{
	shares->fresh = true;
}

void shares_set_part(shares_t *shares, double part)
{
	shares->part = part;
}

double shares_pressure(shares_t *shares, const char *name, usec_t now)
{
	const account_t *account = find_or_add_account(shares, name, now);
	active_view_t view = get_active_view(shares, account->id);

	if (account->rate <= 0)
		return 0;
	return (view.demand + own_demand(account, now)) / account->rate;
}

static double capacity_of(const account_limits_t *limits, double share)
{
	return MAX(share * (limits->burst + limits->allowance), CAPACITY_MIN);
}

/* Before its first request, an account had no demand here. Others may have used its
 * tokens until they knew of this node. */
static void fill_first(const shares_t *shares, account_t *account,
		       const account_limits_t *limits, usec_t now)
{
	active_view_t view = get_active_view(shares, account->id);
	double even = shares->part * view.share / view.nodes;
	double idle =
		(double)MAX(now - shares->created - TAKEOVER_TIME, 0) / USEC_PER_SEC;
	double credit = shares->fresh ? START_CREDIT * limits->allowance : 0;

	account->filled = true;
	account->tokens =
		MIN(even * (credit + idle * limits->rate), capacity_of(limits, even));
}

static void refill(const shares_t *shares, account_t *account,
		   const account_limits_t *limits, usec_t now)
{
	account->rate = limits->rate;
	if (!account->filled)
		fill_first(shares, account, limits, now);
	double share = current_share(shares, account, now);
	double elapsed = (double)(now - account->refilled_at) / USEC_PER_SEC;
	account->tokens = MIN(account->tokens + elapsed * share * limits->rate,
			      capacity_of(limits, share));
	account->refilled_at = now;
}

static void count_demand(account_t *account, uint32_t requests, usec_t now)
{
	account->demand = own_demand(account, now) +
			  requests * USEC_PER_SEC / DEMAND_TIME_CONSTANT_USEC;
	account->demand_updated_at = now;
}

shares_verdict_t shares_take_tokens(shares_t *shares, const char *name,
				    const account_limits_t *limits, uint32_t wanted,
				    usec_t now, uint32_t *taken)
{
	account_t *account = find_or_add_account(shares, name, now);

	count_demand(account, 1, now);
	refill(shares, account, limits, now);
	*taken = (uint32_t)MIN(wanted, MAX(account->tokens, 0));
	account->tokens -= *taken;
	/* Tokens ahead of need count only if they are granted: who gets none asks for
	 * them again with the next request. */
	if (*taken > 1)
		count_demand(account, *taken - 1, now);
	if (*taken > 0)
		return SHARES_GRANTED;
	if (shares_pressure(shares, name, now) > WITHIN_RATE_PRESSURE_MAX)
		return SHARES_REFUSED;
	return SHARES_NO_LOCAL_TOKEN;
}

bool shares_give_token(shares_t *shares, const char *name, const account_limits_t *limits,
		       usec_t now)
{
	account_t *account = find_or_add_account(shares, name, now);

	refill(shares, account, limits, now);
	if (account->tokens < 1)
		return false;
	account->tokens -= 1;
	return true;
}

usec_t shares_reserve_token(shares_t *shares, const char *name,
			    const account_limits_t *limits, usec_t wait_max, usec_t now)
{
	account_t *account = find_or_add_account(shares, name, now);

	refill(shares, account, limits, now);
	double share = current_share(shares, account, now);
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

	confirm_pending(shares);
	bool takes_pending = shares->pending_at == 0;
	if (takes_pending)
		shares->pending_at = now;
	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;
		double demand = own_demand(account, now);

		account->reported_demand = demand;
		if (takes_pending)
			account->pending_demand = demand;
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
