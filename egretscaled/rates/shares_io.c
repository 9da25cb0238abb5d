#include "egretscaled/rates/shares_io.h"

#include "common/counters.h"
#include "egretscaled/peers/gossip_io.h"

#include <math.h>
#include <string.h>

#define MILLI 1000.0
#define TICK (100 * USEC_PER_MSEC)
/* Demand that moved is told this often at most; longer with many peers, so that a
 * node sends a bounded number of datagrams a second. */
#define TELL_MIN (200 * USEC_PER_MSEC)
#define TELL_PER_PEER (10 * USEC_PER_MSEC)
/* How long a request waits for a token. */
#define WAIT_MAX (120 * USEC_PER_MSEC)
/* Peers asked for a token, one after the other, before waiting for the next here. */
#define ASKS_MAX 12
#define ASK_TIMEOUT (15 * USEC_PER_MSEC)
#define WORKER_MASK 0xff
/* What the deployment tolerates is handed out less what views that lag may cost: the
 * rate for so long. At least a part of it is handed out. */
#define LAG_RESERVE_SEC 2.0
#define ALLOWANCE_PART_MIN 0.2

struct shares_io {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	usec_t told;
};

/* A request that waits for a token: from a peer, or the next one here. */
typedef struct delayed {
	worker_t *worker;
	admit_fn fn;
	void *ctx;
	char *account;
	uint64_t number; /* of the ask under way; its low bits name the worker */
	uint32_t asks;
	struct tevent_timer *timer;
} waiter_t;

/* What an entry of a repeated field adds to its own size: tag and length. */
#define FIELD_BYTES 4

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

static void add_demand(void *ctx, const char *account, double demand)
{
	GArray *out = ctx;
	Egret__Demand wire = EGRET__DEMAND__INIT;

	wire.account = (char *)account;
	wire.milli = (uint32_t)MIN(demand * MILLI, G_MAXUINT32);
	g_array_append_val(out, wire);
}

/* Fills one datagram from the demands at `from`; returns how many it took. An account
 * whose name alone would fill it is left out by the records' own bound. */
static guint fill_part(Egret__Gossip *message, GArray *demands, guint from,
		       Egret__Demand **list)
{
	message->n_demands = 0;
	size_t size = egret__gossip__get_packed_size(message);
	guint count = 0;

	while (from + count < demands->len) {
		Egret__Demand *demand =
			&g_array_index(demands, Egret__Demand, from + count);
		size += egret__demand__get_packed_size(demand) + FIELD_BYTES;
		if (size > GOSSIP_DATAGRAM_BYTES && count > 0)
			break;
		list[count++] = demand;
	}
	message->demands = list;
	message->n_demands = count;
	return count;
}

/* Tells all demands in as many datagrams as they need. */
static void tell(node_t *node, usec_t now)
{
	GArray *demands = g_array_new(FALSE, FALSE, sizeof(Egret__Demand));
	Egret__Gossip message = EGRET__GOSSIP__INIT;
	guint from = 0;

	pthread_mutex_lock(&node->gossip_lock);
	pthread_mutex_lock(&node->account_lock);
	shares_collect_demands(node->shares, now, add_demand, demands);
	Egret__Demand **list = g_new(Egret__Demand *, demands->len + 1);
	message.kind = EGRET__GOSSIP_KIND__GOSSIP_DEMAND;
	message.sender = node->address;
	do {
		from += fill_part(&message, demands, from, list);
		send_to_members(node, &message);
		message.part++;
	} while (from < demands->len);
	pthread_mutex_unlock(&node->account_lock);
	pthread_mutex_unlock(&node->gossip_lock);
	g_free(list);
	g_array_free(demands, TRUE);
}

static uint32_t live_members(node_t *node)
{
	pthread_mutex_lock(&node->gossip_lock);
	uint32_t count = directory_live_count(gossip_directory(node->gossip));
	pthread_mutex_unlock(&node->gossip_lock);
	return count;
}

static void schedule(shares_io_t *io);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	shares_io_t *io = private_data;
	node_t *node = io->node;
	usec_t now = clock_boot_usec();
	usec_t least = MAX(TELL_MIN, live_members(node) * TELL_PER_PEER);

	pthread_mutex_lock(&node->account_lock);
	shares_tick(node->shares, now);
	bool changed = shares_demand_changed(node->shares, now);
	pthread_mutex_unlock(&node->account_lock);
	if ((changed && now - io->told >= least) ||
	    now - io->told >= MAX(SHARES_TELL_PERIOD, least)) {
		io->told = now;
		tell(node, now);
	}
	schedule(io);
}

static void schedule(shares_io_t *io)
{
	io->timer = tevent_add_timer(io->ev, io, tevent_timeval_current_ofs(0, TICK),
				     handle_tick, io);
}

shares_io_t *shares_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node)
{
	shares_io_t *io = talloc_zero(parent, shares_io_t);

	io->node = node;
	io->ev = ev;
	schedule(io);
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
	for (size_t i = 0; i < message->n_demands; i++)
		shares_report_demand(node->shares, message->sender,
				     message->demands[i]->account,
				     message->demands[i]->milli / MILLI, now);
	pthread_mutex_unlock(&node->account_lock);
}

static bool limits_of(node_t *node, const char *account, account_limits_t *out)
{
	const bounds_t *bounds = node_bounds(node);
	config_t *config = node_config(node);
	const client_account_t *record = config_client_account(config, account);

	if (record) {
		double window = (double)bounds->rate_window / USEC_PER_SEC;
		double most = record->rate * window + record->burst;

		out->rate = record->rate;
		out->burst = record->burst;
		double allowed = most * bounds->rate_overage + bounds->rate_slack;
		out->allowance = MAX(allowed - LAG_RESERVE_SEC * record->rate,
				     ALLOWANCE_PART_MIN * allowed);
	}
	config_unref(config);
	return record != NULL;
}

static void delayed_destroy(void *data)
{
	waiter_t *delayed = data;

	TALLOC_FREE(delayed->timer);
	g_free(delayed->account);
	g_free(delayed);
}

GHashTable *shares_io_waiters_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, delayed_destroy);
}

/* Ends the wait; the entry is freed before the callback runs. */
static void finish(waiter_t *delayed, bool admitted)
{
	waiter_t copy = *delayed;

	g_hash_table_remove(copy.worker->delayed, copy.ctx);
	copy.fn(copy.ctx, admitted);
}

static void handle_due(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	waiter_t *delayed = private_data;

	delayed->timer = NULL; /* tevent frees it after this call */
	finish(delayed, true);
}

/* No peer had a token: the next one here, if it comes soon. */
static void wait_here(waiter_t *delayed)
{
	worker_t *worker = delayed->worker;
	node_t *node = worker->node;
	account_limits_t limits;
	usec_t wait = -1;

	if (limits_of(node, delayed->account, &limits)) {
		pthread_mutex_lock(&node->account_lock);
		wait = shares_take_delayed(node->shares, delayed->account, &limits,
					   WAIT_MAX, clock_boot_usec());
		pthread_mutex_unlock(&node->account_lock);
	}
	if (wait < 0)
		finish(delayed, false);
	else
		delayed->timer = worker_timer(worker, wait, handle_due, delayed);
}

static bool send_ask(const waiter_t *delayed)
{
	node_t *node = delayed->worker->node;
	Egret__Gossip message = EGRET__GOSSIP__INIT;

	message.kind = EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK;
	message.sender = node->address;
	message.subject = delayed->account;
	message.sequence = delayed->number;
	pthread_mutex_lock(&node->gossip_lock);
	const member_t *member = gossip_random_member(node->gossip);
	if (member)
		gossip_io_send(node, member->address, &message);
	pthread_mutex_unlock(&node->gossip_lock);
	return member != NULL;
}

static void ask_next(waiter_t *delayed);

static void handle_no_answer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	waiter_t *delayed = private_data;

	delayed->timer = NULL;
	ask_next(delayed);
}

static void ask_next(waiter_t *delayed)
{
	worker_t *worker = delayed->worker;

	delayed->number = (node_random_id() & ~(uint64_t)WORKER_MASK) |
			  (worker->index & WORKER_MASK);
	if (delayed->asks++ >= ASKS_MAX || !send_ask(delayed)) {
		delayed->number = 0;
		wait_here(delayed);
		return;
	}
	delayed->timer = worker_timer(worker, ASK_TIMEOUT, handle_no_answer, delayed);
}

static void start_asking(worker_t *worker, const char *account, admit_fn fn, void *ctx)
{
	waiter_t *delayed = g_new0(waiter_t, 1);

	delayed->worker = worker;
	delayed->fn = fn;
	delayed->ctx = ctx;
	delayed->account = g_strdup(account);
	g_hash_table_insert(worker->delayed, ctx, delayed);
	ask_next(delayed);
}

typedef struct answer {
	uint64_t number;
	bool granted;
} answer_t;

/* A grant that finds nobody waiting is lost; that errs on the safe side. */
static void take_answer(worker_t *worker, void *ctx)
{
	answer_t *answer = ctx;
	GHashTableIter iter;
	void *value;
	waiter_t *found = NULL;

	g_hash_table_iter_init(&iter, worker->delayed);
	while (!found && g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((waiter_t *)value)->number == answer->number)
			found = value;
	}
	if (found) {
		TALLOC_FREE(found->timer);
		if (answer->granted)
			finish(found, true);
		else
			ask_next(found);
	}
	g_free(answer);
}

void shares_io_handle_token(node_t *node, const Egret__Gossip *message)
{
	account_limits_t limits;
	Egret__Gossip reply = EGRET__GOSSIP__INIT;
	struct sockaddr_in address;

	if (!node->shares || !address_parse(message->sender, &address, NULL))
		return;
	if (message->kind != EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK) {
		uint64_t index = message->sequence & WORKER_MASK;
		if (index >= node->worker_count)
			return;
		answer_t *answer = g_new0(answer_t, 1);
		answer->number = message->sequence;
		answer->granted = message->kind == EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT;
		worker_post(node->workers[index], take_answer, answer);
		return;
	}
	bool given = false;
	if (limits_of(node, message->subject, &limits)) {
		pthread_mutex_lock(&node->account_lock);
		given = shares_give_token(node->shares, message->subject, &limits,
					  clock_boot_usec());
		pthread_mutex_unlock(&node->account_lock);
	}
	reply.kind = given ? EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT
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

	if (!limits_of(node, account, &limits))
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
	start_asking(worker, account, fn, ctx);
	return ADMIT_WAITING;
}

void shares_io_cancel(worker_t *worker, void *ctx)
{
	g_hash_table_remove(worker->delayed, ctx);
}

double shares_io_pressure(worker_t *worker, const char *account)
{
	node_t *node = worker->node;

	pthread_mutex_lock(&node->account_lock);
	double pressure = shares_pressure(node->shares, account, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
	return pressure;
}
