#include "egretscaled/rates/shares_io.h"

#include "common/counters.h"
#include "egretscaled/peers/gossip_io.h"

#include <math.h>
#include <string.h>

#define CENTI 100.0
#define TICK_PERIOD (100 * USEC_PER_MSEC)
/* Demand is reported no more often than this. The interval grows with the number of live
 * members, to bound the number of datagrams that a node sends per second. */
#define REPORT_INTERVAL_MIN (200 * USEC_PER_MSEC)
#define REPORT_INTERVAL_PER_MEMBER (10 * USEC_PER_MSEC)
/* The longest wait for the next local token, after no peer had one. */
#define TOKEN_WAIT_MAX (120 * USEC_PER_MSEC)
/* Token requests sent, one after the other, before a request waits for a local token. */
#define TOKEN_REQUESTS_MAX 12
#define TOKEN_REPLY_TIMEOUT (15 * USEC_PER_MSEC)
/* The bits of a token request's id that hold the index of its worker. */
#define WORKER_INDEX_MASK 0xff
/* The allowance is the excess that the deployment's bounds allow, less the requests that
 * the account's rate allows in LAG_RESERVE_SEC, since the nodes may admit that many in
 * excess while the demands that they know are out of date. It is at least
 * ALLOWANCE_RATIO_MIN of the allowed excess. */
#define LAG_RESERVE_SEC 2.0
#define ALLOWANCE_RATIO_MIN 0.2

struct shares_io {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	usec_t reported_at;
};

/* A request that waits for a token from a peer, or for the next local token. */
typedef struct waiter {
	worker_t *worker;
	admit_fn fn;
	void *ctx;
	char *account;
	uint64_t request_id; /* of the token request in flight, 0 if none */
	uint32_t requests_sent;
	struct tevent_timer *timer;
} waiter_t;

/* Longest encodings of one demand (a fixed32 and a varint) and of the other fields of a
 * demand report. */
#define DEMAND_MAX_BYTES 9
#define REPORT_HEAD_MAX_BYTES 120
#define DATAGRAM_DEMANDS_MAX                                                             \
	((GOSSIP_DATAGRAM_BYTES - REPORT_HEAD_MAX_BYTES) / DEMAND_MAX_BYTES)

/* Sends to every live member. Under gossip_lock. */
static void send_to_members(node_t *node, const Egret__Gossip *message)
{
	const member_t *self = directory_self(gossip_directory(node->gossip));
	const member_t *member;

	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	{
		if (member == self || member->state > EGRET__MEMBER_STATE__MEMBER_SUSPECT)
			continue;
		gossip_io_send(node, member->address, message);
	}
}

typedef struct demand_list {
	GArray *accounts; /* uint32_t ids */
	GArray *centi;	  /* uint32_t, hundredths of a request per second */
} demand_list_t;

static void add_demand(void *ctx, uint32_t account_id, double demand)
{
	demand_list_t *list = ctx;
	uint32_t centi = (uint32_t)MIN(demand * CENTI, G_MAXUINT32);

	g_array_append_val(list->accounts, account_id);
	g_array_append_val(list->centi, centi);
}

/* Reports all demands to the live members, in as many datagrams as needed. */
static void report_demand(node_t *node, usec_t now)
{
	demand_list_t list = {g_array_new(FALSE, FALSE, sizeof(uint32_t)),
			      g_array_new(FALSE, FALSE, sizeof(uint32_t))};
	Egret__Gossip message = EGRET__GOSSIP__INIT;
	guint from = 0;

	pthread_mutex_lock(&node->gossip_lock);
	pthread_mutex_lock(&node->account_lock);
	shares_collect_demands(node->shares, now, add_demand, &list);
	message.kind = EGRET__GOSSIP_KIND__GOSSIP_DEMAND;
	message.sender = node->address;
	gossip_add_config(node->gossip, now, &message);
	do {
		guint count = MIN(list.accounts->len - from, DATAGRAM_DEMANDS_MAX);
		message.n_demand_accounts = message.n_demand_centi = count;
		message.demand_accounts = (uint32_t *)(void *)list.accounts->data + from;
		message.demand_centi = (uint32_t *)(void *)list.centi->data + from;
		send_to_members(node, &message);
		from += count;
		message.part++;
	} while (from < list.accounts->len);
	pthread_mutex_unlock(&node->account_lock);
	pthread_mutex_unlock(&node->gossip_lock);
	g_array_free(list.accounts, TRUE);
	g_array_free(list.centi, TRUE);
}

static uint32_t count_live_members(node_t *node)
{
	pthread_mutex_lock(&node->gossip_lock);
	uint32_t count = directory_live_count(gossip_directory(node->gossip));
	pthread_mutex_unlock(&node->gossip_lock);
	return count;
}

static void schedule_tick(shares_io_t *io);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	shares_io_t *io = private_data;
	node_t *node = io->node;
	usec_t now = clock_boot_usec();
	usec_t interval_min = MAX(REPORT_INTERVAL_MIN,
				  count_live_members(node) * REPORT_INTERVAL_PER_MEMBER);

	pthread_mutex_lock(&node->account_lock);
	shares_tick(node->shares, now);
	bool changed = shares_demand_changed(node->shares, now);
	pthread_mutex_unlock(&node->account_lock);
	if ((changed && now - io->reported_at >= interval_min) ||
	    now - io->reported_at >= MAX(SHARES_REPORT_PERIOD, interval_min)) {
		io->reported_at = now;
		report_demand(node, now);
	}
	schedule_tick(io);
}

static void schedule_tick(shares_io_t *io)
{
	io->timer = tevent_add_timer(
		io->ev, io, tevent_timeval_current_ofs(0, TICK_PERIOD), handle_tick, io);
}

shares_io_t *shares_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node)
{
	shares_io_t *io = talloc_zero(parent, shares_io_t);

	io->node = node;
	io->ev = ev;
	schedule_tick(io);
	return io;
}

void shares_io_destroy(shares_io_t *io)
{
	talloc_free(io);
}

void shares_io_handle_member(node_t *node, const member_t *member)
{
	if (!node->shares || strcmp(member->address, node->address) == 0)
		return;
	pthread_mutex_lock(&node->account_lock);
	if (member->state == EGRET__MEMBER_STATE__MEMBER_LEFT)
		shares_remove_peer(node->shares, member->address);
	else
		shares_add_peer(node->shares, member->address, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
}

void shares_io_handle_address(node_t *node, const char *address)
{
	if (!node->shares || strcmp(address, node->address) == 0)
		return;
	pthread_mutex_lock(&node->account_lock);
	shares_add_peer(node->shares, address, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
}

void shares_io_handle_demand(node_t *node, const Egret__Gossip *message)
{
	usec_t now = clock_boot_usec();

	if (!node->shares || strcmp(message->sender, node->address) == 0)
		return;
	pthread_mutex_lock(&node->account_lock);
	if (message->part == 0)
		shares_begin_report(node->shares, message->sender, now);
	for (size_t i = 0; i < MIN(message->n_demand_accounts, message->n_demand_centi);
	     i++)
		shares_report_demand(node->shares, message->sender,
				     message->demand_accounts[i],
				     message->demand_centi[i] / CENTI);
	pthread_mutex_unlock(&node->account_lock);
}

/* Fills in the limits of an account; returns false if it has no record. */
static bool find_account_limits(node_t *node, const char *account, account_limits_t *out)
{
	const bounds_t *bounds = node_bounds(node);
	config_t *config = node_config(node);
	const client_account_t *record = config_client_account(config, account);

	if (record) {
		double window_sec = (double)bounds->rate_window / USEC_PER_SEC;
		double window_max = record->rate * window_sec + record->burst;

		out->rate = record->rate;
		out->burst = record->burst;
		double allowed = window_max * bounds->rate_overage + bounds->rate_slack;
		out->allowance = MAX(allowed - LAG_RESERVE_SEC * record->rate,
				     ALLOWANCE_RATIO_MIN * allowed);
	}
	config_unref(config);
	return record != NULL;
}

/* Removes the waiter's token request, so that a reply to it is ignored. */
static void end_token_request(waiter_t *waiter)
{
	if (waiter->request_id)
		g_hash_table_remove(waiter->worker->token_requests, &waiter->request_id);
	waiter->request_id = 0;
}

static void waiter_destroy(void *data)
{
	waiter_t *waiter = data;

	end_token_request(waiter);
	TALLOC_FREE(waiter->timer);
	g_free(waiter->account);
	g_free(waiter);
}

GHashTable *shares_io_waiters_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, waiter_destroy);
}

/* Frees the waiter, then calls its callback. */
static void finish_waiter(waiter_t *waiter, bool admitted)
{
	waiter_t copy = *waiter;

	g_hash_table_remove(copy.worker->token_waiters, copy.ctx);
	copy.fn(copy.ctx, admitted);
}

static void handle_token_due(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	waiter_t *waiter = private_data;

	waiter->timer = NULL; /* tevent frees it after this call */
	finish_waiter(waiter, true);
}

/* No peer had a token: takes the next local token in advance and waits until it is due,
 * or refuses the request if that takes too long. */
static void wait_for_local_token(waiter_t *waiter)
{
	worker_t *worker = waiter->worker;
	node_t *node = worker->node;
	account_limits_t limits;
	usec_t wait = -1;

	if (find_account_limits(node, waiter->account, &limits)) {
		pthread_mutex_lock(&node->account_lock);
		wait = shares_reserve_token(node->shares, waiter->account, &limits,
					    TOKEN_WAIT_MAX, clock_boot_usec());
		pthread_mutex_unlock(&node->account_lock);
	}
	if (wait < 0)
		finish_waiter(waiter, false);
	else
		waiter->timer = worker_timer(worker, wait, handle_token_due, waiter);
}

/* Requests a token from a random live peer; returns false if there is none. */
static bool send_token_request(const waiter_t *waiter)
{
	node_t *node = waiter->worker->node;
	Egret__Gossip message = EGRET__GOSSIP__INIT;

	message.kind = EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK;
	message.sender = node->address;
	message.subject = waiter->account;
	message.sequence = waiter->request_id;
	pthread_mutex_lock(&node->gossip_lock);
	const member_t *member = gossip_random_member(node->gossip);
	if (member)
		gossip_io_send(node, member->address, &message);
	pthread_mutex_unlock(&node->gossip_lock);
	return member != NULL;
}

static void request_from_next_peer(waiter_t *waiter);

static void handle_reply_timeout(struct tevent_context *ev, struct tevent_timer *te,
				 struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	waiter_t *waiter = private_data;

	waiter->timer = NULL;
	request_from_next_peer(waiter);
}

static void request_from_next_peer(waiter_t *waiter)
{
	worker_t *worker = waiter->worker;

	end_token_request(waiter);
	waiter->request_id = (node_random_id() & ~(uint64_t)WORKER_INDEX_MASK) |
			     (worker->index & WORKER_INDEX_MASK);
	if (waiter->requests_sent++ >= TOKEN_REQUESTS_MAX ||
	    !send_token_request(waiter)) {
		waiter->request_id = 0;
		wait_for_local_token(waiter);
		return;
	}
	g_hash_table_insert(worker->token_requests, &waiter->request_id, waiter);
	waiter->timer =
		worker_timer(worker, TOKEN_REPLY_TIMEOUT, handle_reply_timeout, waiter);
}

static void add_waiter(worker_t *worker, const char *account, admit_fn fn, void *ctx)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->worker = worker;
	waiter->fn = fn;
	waiter->ctx = ctx;
	waiter->account = g_strdup(account);
	g_hash_table_insert(worker->token_waiters, ctx, waiter);
	request_from_next_peer(waiter);
}

typedef struct token_reply {
	uint64_t request_id;
	bool granted;
} token_reply_t;

/* Passes a peer's reply to the request that waits for it: admits the request, or requests
 * a token from the next peer. If the request has ended, a granted token is dropped; this
 * admits fewer requests, never more. */
static void handle_token_reply(worker_t *worker, void *ctx)
{
	token_reply_t *reply = ctx;
	waiter_t *waiter =
		g_hash_table_lookup(worker->token_requests, &reply->request_id);

	if (waiter) {
		TALLOC_FREE(waiter->timer);
		if (reply->granted)
			finish_waiter(waiter, true);
		else
			request_from_next_peer(waiter);
	}
	g_free(reply);
}

void shares_io_handle_token(node_t *node, const Egret__Gossip *message)
{
	account_limits_t limits;
	Egret__Gossip reply = EGRET__GOSSIP__INIT;
	struct sockaddr_in address;

	if (!node->shares || !address_parse(message->sender, &address, NULL))
		return;
	if (message->kind != EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK) {
		uint64_t index = message->sequence & WORKER_INDEX_MASK;
		if (index >= node->worker_count)
			return;
		token_reply_t *token_reply = g_new0(token_reply_t, 1);
		token_reply->request_id = message->sequence;
		token_reply->granted =
			message->kind == EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT;
		worker_post(node->workers[index], handle_token_reply, token_reply);
		return;
	}
	bool granted = false;
	if (find_account_limits(node, message->subject, &limits)) {
		pthread_mutex_lock(&node->account_lock);
		granted = shares_give_token(node->shares, message->subject, &limits,
					    clock_boot_usec());
		pthread_mutex_unlock(&node->account_lock);
	}
	reply.kind = granted ? EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT
			     : EGRET__GOSSIP_KIND__GOSSIP_TOKEN_DENY;
	reply.sender = node->address;
	reply.sequence = message->sequence;
	gossip_io_send(node, message->sender, &reply);
}

admit_result_t shares_io_admit(worker_t *worker, const char *account, admit_fn fn,
			       void *ctx)
{
	node_t *node = worker->node;
	account_limits_t limits;

	if (!find_account_limits(node, account, &limits))
		return ADMIT_REFUSED;
	pthread_mutex_lock(&node->account_lock);
	shares_verdict_t verdict =
		shares_take_token(node->shares, account, &limits, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
	if (verdict == SHARES_GRANTED)
		return ADMIT_GRANTED;
	if (verdict == SHARES_REFUSED)
		return ADMIT_REFUSED;
	counter_add(COUNTER_BORROWS, 1);
	add_waiter(worker, account, fn, ctx);
	return ADMIT_WAITING;
}

void shares_io_cancel(worker_t *worker, void *ctx)
{
	g_hash_table_remove(worker->token_waiters, ctx);
}

double shares_io_pressure(worker_t *worker, const char *account)
{
	node_t *node = worker->node;

	pthread_mutex_lock(&node->account_lock);
	double pressure = shares_pressure(node->shares, account, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
	return pressure;
}
