#include "egretscaled/shares_io.h"

#include "common/counters.h"
#include "egretscaled/gossip_io.h"

#include <math.h>
#include <string.h>

#define MILLI 1000.0
#define TICK (100 * USEC_PER_MSEC)
/* Demand that moved is told this often at most; longer with many peers, so that a
 * node sends a bounded number of datagrams a second. */
#define TELL_MIN (200 * USEC_PER_MSEC)
#define TELL_PER_PEER (10 * USEC_PER_MSEC)
#define DEMANDS_MAX 64
/* How long a request waits for a token. */
#define WAIT_MAX (120 * USEC_PER_MSEC)
/* Part of what the deployment tolerates that is handed out; the rest covers views
 * that lag. */
#define ALLOWANCE_PART 0.2

struct shares_io {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	usec_t told;
};

/* A request whose token comes due. */
typedef struct delayed {
	worker_t *worker;
	admit_fn fn;
	void *ctx;
	struct tevent_timer *timer;
} delayed_t;

typedef struct demand_list {
	Egret__Demand demands[DEMANDS_MAX];
	Egret__Demand *list[DEMANDS_MAX];
	size_t count;
} demand_list_t;

static void add_demand(void *ctx, const char *account, double demand)
{
	demand_list_t *out = ctx;

	if (out->count >= DEMANDS_MAX)
		return;
	egret__demand__init(&out->demands[out->count]);
	out->demands[out->count].account = (char *)account;
	out->demands[out->count].milli = (uint32_t)MIN(demand * MILLI, G_MAXUINT32);
	out->list[out->count] = &out->demands[out->count];
	out->count++;
}

/* Sends to every live member. Under gossip_lock. */
static uint32_t send_to_members(node_t *node, const Egret__Gossip *message)
{
	const member_t *self = directory_self(gossip_directory(node->gossip));
	const member_t *member;
	uint32_t sent = 0;

	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	{
		if (member == self || member->state > EGRET__MEMBER_STATE__MEMBER_SUSPECT)
			continue;
		gossip_io_send(node, member->address, message);
		sent++;
	}
	return sent;
}

static uint32_t tell(node_t *node, usec_t now)
{
	demand_list_t found = {.count = 0};
	Egret__Gossip message = EGRET__GOSSIP__INIT;

	pthread_mutex_lock(&node->gossip_lock);
	pthread_mutex_lock(&node->account_lock);
	shares_own_demands(node->shares, now, add_demand, &found);
	message.kind = EGRET__GOSSIP_KIND__GOSSIP_DEMAND;
	message.sender = node->address;
	message.demands = found.list;
	message.n_demands = found.count;
	uint32_t sent = send_to_members(node, &message);
	pthread_mutex_unlock(&node->account_lock);
	pthread_mutex_unlock(&node->gossip_lock);
	return sent;
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
	bool changed = shares_changed(node->shares, now);
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
		out->allowance = ALLOWANCE_PART *
				 (most * bounds->rate_overage + bounds->rate_slack);
	}
	config_unref(config);
	return record != NULL;
}

static void delayed_destroy(void *data)
{
	delayed_t *delayed = data;

	TALLOC_FREE(delayed->timer);
	g_free(delayed);
}

GHashTable *shares_io_delayed_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, delayed_destroy);
}

static void handle_due(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	delayed_t *delayed = private_data;
	delayed_t copy = *delayed;

	delayed->timer = NULL; /* tevent frees it after this call */
	g_hash_table_remove(copy.worker->delayed, copy.ctx);
	copy.fn(copy.ctx, true);
}

static void delay(worker_t *worker, admit_fn fn, void *ctx, usec_t wait)
{
	delayed_t *delayed = g_new0(delayed_t, 1);

	delayed->worker = worker;
	delayed->fn = fn;
	delayed->ctx = ctx;
	delayed->timer = worker_timer(worker, wait, handle_due, delayed);
	g_hash_table_insert(worker->delayed, ctx, delayed);
}

admit_result_t shares_io_admit(worker_t *worker, const char *account, admit_fn fn,
			       void *ctx)
{
	node_t *node = worker->node;
	account_limits_t limits;

	if (!limits_of(node, account, &limits))
		return ADMIT_REFUSED;
	pthread_mutex_lock(&node->account_lock);
	usec_t wait =
		shares_take(node->shares, account, &limits, WAIT_MAX, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
	if (wait == SHARES_REFUSED)
		return ADMIT_REFUSED;
	if (wait == 0)
		return ADMIT_GRANTED;
	delay(worker, fn, ctx, wait);
	return ADMIT_WAITING;
}

void shares_io_forget(worker_t *worker, void *ctx)
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
