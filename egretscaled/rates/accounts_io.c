#include "egretscaled/rates/accounts_io.h"

#include "accounts/borrower.h"
#include "common/counters.h"
#include "egretscaled/peers/peer_client.h"

#include <math.h>
#include <string.h>

#define MILLI 1000.0
/* How long a request waits for a token, or for a keeper to answer. */
#define WAIT_MAX (500 * USEC_PER_MSEC)
#define ASK_PERIOD (20 * USEC_PER_MSEC)
#define FOREIGN_ASKS_MAX 2
/* After a fruitless round, misses are refused for so long without asking. */
#define SHORT_BACKOFF (10 * USEC_PER_MSEC)
#define WAITING_MAX 10000
/* Demand over rate from which on an account does not wait for tokens: well above
 * 1, since the demand of a small account is known only roughly. */
#define OVER_RATE_PRESSURE 1.5

typedef struct waiting {
	TAILQ_ENTRY(waiting) link;
	admit_fn fn;
	void *ctx;
	usec_t until;
	uint32_t foreign_asks;
} waiting_t;

TAILQ_HEAD(waiting_list, waiting);

/* One account at one worker's entry. */
typedef struct account_entry {
	worker_t *worker;
	char *account;
	borrower_t *borrower;
	struct waiting_list waiting;
	uint32_t waiting_count;
	struct tevent_timer *timer;
	uint32_t next_zone;
	usec_t short_until;
	bool replying;
} account_entry_t;

static void free_entry(void *data)
{
	account_entry_t *entry = data;

	while (!TAILQ_EMPTY(&entry->waiting)) {
		waiting_t *waiting = TAILQ_FIRST(&entry->waiting);
		TAILQ_REMOVE(&entry->waiting, waiting, link);
		g_free(waiting);
	}
	TALLOC_FREE(entry->timer);
	borrower_destroy(entry->borrower);
	g_free(entry->account);
	g_free(entry);
}

GHashTable *accounts_io_borrowers_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
}

static account_entry_t *entry_for(worker_t *worker, const char *account)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);

	if (entry)
		return entry;
	entry = g_new0(account_entry_t, 1);
	entry->worker = worker;
	entry->account = g_strdup(account);
	entry->borrower = borrower_create(worker->node->settings->zone);
	TAILQ_INIT(&entry->waiting);
	g_hash_table_insert(worker->borrowers, entry->account, entry);
	return entry;
}

static void remove_waiting(account_entry_t *entry, waiting_t *waiting)
{
	TAILQ_REMOVE(&entry->waiting, waiting, link);
	entry->waiting_count--;
	g_free(waiting);
}

static void decide(account_entry_t *entry, waiting_t *waiting, bool admitted)
{
	admit_fn fn = waiting->fn;
	void *ctx = waiting->ctx;

	remove_waiting(entry, waiting);
	fn(ctx, admitted);
}

static bool own_zone_place(node_t *node, uint32_t partition, keeper_location_t *out)
{
	bool found = false;

	pthread_mutex_lock(&node->account_lock);
	for (guint i = 0; i < node->accounts->zones->len && !found; i++) {
		const zone_keepers_t *zone =
			&g_array_index(node->accounts->zones, zone_keepers_t, i);
		if (strcmp(zone->zone, node->settings->zone) != 0)
			continue;
		*out = zone->locations[partition];
		found = out->epoch != 0;
	}
	pthread_mutex_unlock(&node->account_lock);
	return found;
}

/* The next other zone, by turns, that has a keeper for the partition. */
static bool foreign_place(account_entry_t *entry, uint32_t partition, char *zone_out,
			  keeper_location_t *out)
{
	node_t *node = entry->worker->node;
	bool found = false;

	pthread_mutex_lock(&node->account_lock);
	guint count = node->accounts->zones->len;
	for (guint tries = 0; tries < count && !found; tries++) {
		const zone_keepers_t *zone =
			&g_array_index(node->accounts->zones, zone_keepers_t,
				       entry->next_zone++ % count);
		if (strcmp(zone->zone, node->settings->zone) == 0 ||
		    zone->locations[partition].epoch == 0)
			continue;
		*out = zone->locations[partition];
		g_strlcpy(zone_out, zone->zone, MEMBER_TEXT_BYTES);
		found = true;
	}
	pthread_mutex_unlock(&node->account_lock);
	return found;
}

static bool account_limits(node_t *node, const char *account, double *rate, double *burst)
{
	config_t *config = node_config(node);
	const client_account_t *record =
		config ? config_client_account(config, account) : NULL;

	if (record) {
		*rate = record->rate;
		*burst = record->burst;
	}
	config_unref(config);
	return record != NULL;
}

static void lend_here(node_t *node, const char *account, const loan_request_t *request,
		      loan_reply_t *reply)
{
	double rate;
	double burst;

	*reply = (loan_reply_t){.loan_id = request->loan_id,
				.sequence = request->sequence};
	if (!account_limits(node, account, &rate, &burst))
		return;
	pthread_mutex_lock(&node->account_lock);
	keeper_lend(node->accounts->keeper, account, rate, burst, request,
		    clock_boot_usec(), reply);
	pthread_mutex_unlock(&node->account_lock);
}

static void send_request(account_entry_t *entry, const char *address,
			 const loan_request_t *request)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__LoanRequest wire = EGRET__LOAN_REQUEST__INIT;

	wire.loan = request->loan_id;
	wire.sequence = request->sequence;
	wire.account = entry->account;
	/* What is held is rounded up and what is returned down, so that the sum
	 * over all holders is never understated. */
	wire.holds_milli = (uint64_t)ceil(request->tokens_held * MILLI);
	wire.returns_milli = (uint64_t)(request->tokens_returned * MILLI);
	wire.demand_milli = (uint64_t)(request->demand * MILLI);
	wire.want = request->waiting;
	wire.foreign = request->foreign;
	frame.kind_case = EGRET__FRAME__KIND_LOAN_REQUEST;
	frame.loan_request = &wire;
	peer_client_send(peer_client_get(entry->worker, address), &frame);
}

static void apply_reply(account_entry_t *entry, const loan_reply_t *reply);

/* Asks a keeper; returns whether a request is under way. */
static bool ask(account_entry_t *entry, const char *zone, const keeper_location_t *place,
		uint32_t want)
{
	worker_t *worker = entry->worker;
	loan_request_t request;

	if (!borrower_prepare_request(entry->borrower, zone, want, node_random_id(),
				      clock_boot_usec(), &request))
		return false;
	counter_add(COUNTER_BORROWS, 1);
	if (strcmp(place->address, worker->node->address) == 0) {
		loan_reply_t reply;
		lend_here(worker->node, entry->account, &request, &reply);
		apply_reply(entry, &reply);
		return true;
	}
	send_request(entry, place->address, &request);
	return true;
}

static bool ask_own(account_entry_t *entry, uint32_t want)
{
	keeper_location_t place;

	if (!own_zone_place(entry->worker->node, account_partition(entry->account),
			    &place))
		return false;
	return ask(entry, entry->worker->node->settings->zone, &place, want);
}

static bool ask_foreign(account_entry_t *entry, uint32_t want)
{
	char zone[MEMBER_TEXT_BYTES];
	keeper_location_t place;

	if (!foreign_place(entry, account_partition(entry->account), zone, &place))
		return false;
	return ask(entry, zone, &place, want);
}

static void serve_waiting(account_entry_t *entry, uint32_t spends)
{
	usec_t now = clock_boot_usec();

	while (!TAILQ_EMPTY(&entry->waiting)) {
		if (spends > 0)
			spends--;
		else if (!borrower_take_token(entry->borrower, now))
			return;
		decide(entry, TAILQ_FIRST(&entry->waiting), true);
	}
}

/* Refuses those whose wait is over. */
static void expire_waiting(account_entry_t *entry, usec_t now)
{
	waiting_t *waiting = TAILQ_FIRST(&entry->waiting);

	while (waiting) {
		waiting_t *next = TAILQ_NEXT(waiting, link);
		if (waiting->until <= now)
			decide(entry, waiting, false);
		waiting = next;
	}
}

static void schedule_ask(account_entry_t *entry);

static void handle_ask_time(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	account_entry_t *entry = private_data;

	entry->timer = NULL;
	serve_waiting(entry, 0);
	expire_waiting(entry, clock_boot_usec());
	if (!TAILQ_EMPTY(&entry->waiting) && !ask_own(entry, entry->waiting_count))
		ask_foreign(entry, entry->waiting_count);
	schedule_ask(entry);
}

static void schedule_ask(account_entry_t *entry)
{
	if (!TAILQ_EMPTY(&entry->waiting) && !entry->timer)
		entry->timer =
			worker_timer(entry->worker, ASK_PERIOD, handle_ask_time, entry);
}

/*
 * A keeper answered without enough tokens. Those still waiting ask another zone;
 * while the account is within its rate they wait for a token, otherwise they are
 * refused once other zones were asked.
 */
static void continue_waiting(account_entry_t *entry, bool over_rate)
{
	usec_t now = clock_boot_usec();
	uint32_t asking = 0;
	waiting_t *waiting = TAILQ_FIRST(&entry->waiting);

	while (waiting) {
		waiting_t *next = TAILQ_NEXT(waiting, link);
		if (waiting->foreign_asks++ < FOREIGN_ASKS_MAX)
			asking++;
		else if (over_rate)
			decide(entry, waiting, false);
		waiting = next;
	}
	if (asking > 0 && ask_foreign(entry, asking))
		return;
	if (!over_rate)
		return;
	entry->short_until = now + SHORT_BACKOFF;
	while (!TAILQ_EMPTY(&entry->waiting))
		decide(entry, TAILQ_FIRST(&entry->waiting), false);
}

static void apply_reply(account_entry_t *entry, const loan_reply_t *reply)
{
	uint32_t spends =
		borrower_handle_reply(entry->borrower, reply, clock_boot_usec());

	serve_waiting(entry, spends);
	if (TAILQ_EMPTY(&entry->waiting) || entry->replying || !reply->granted)
		return;
	entry->replying = true;
	continue_waiting(entry, borrower_pressure(entry->borrower) > OVER_RATE_PRESSURE);
	entry->replying = false;
}

static void renew_loans(account_entry_t *entry, usec_t now)
{
	const char *zone = borrower_renewal_zone(entry->borrower, now);
	node_t *node = entry->worker->node;
	uint32_t partition = account_partition(entry->account);
	keeper_location_t place = {.epoch = 0};

	if (!zone)
		return;
	pthread_mutex_lock(&node->account_lock);
	for (guint i = 0; i < node->accounts->zones->len; i++) {
		const zone_keepers_t *keepers =
			&g_array_index(node->accounts->zones, zone_keepers_t, i);
		if (strcmp(keepers->zone, zone) == 0)
			place = keepers->locations[partition];
	}
	pthread_mutex_unlock(&node->account_lock);
	if (place.epoch != 0)
		ask(entry, zone, &place, 0);
}

admit_result_t accounts_io_admit(worker_t *worker, const char *account, admit_fn fn,
				 void *ctx)
{
	account_entry_t *entry = entry_for(worker, account);
	usec_t now = clock_boot_usec();

	if (borrower_admit(entry->borrower, now)) {
		renew_loans(entry, now);
		return ADMIT_GRANTED;
	}
	if (now < entry->short_until || entry->waiting_count >= WAITING_MAX)
		return ADMIT_REFUSED;
	waiting_t *waiting = g_new0(waiting_t, 1);
	waiting->fn = fn;
	waiting->ctx = ctx;
	waiting->until = now + WAIT_MAX;
	TAILQ_INSERT_TAIL(&entry->waiting, waiting, link);
	entry->waiting_count++;
	if (entry->waiting_count == 1 && !ask_own(entry, entry->waiting_count))
		ask_foreign(entry, entry->waiting_count);
	schedule_ask(entry);
	return ADMIT_WAITING;
}

void accounts_io_forget(worker_t *worker, const char *account, void *ctx)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);
	waiting_t *waiting;

	if (!entry)
		return;
	TAILQ_FOREACH(waiting, &entry->waiting, link)
	{
		if (waiting->ctx != ctx)
			continue;
		remove_waiting(entry, waiting);
		return;
	}
}

double accounts_io_pressure(worker_t *worker, const char *account)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);

	return entry ? borrower_pressure(entry->borrower) : 0;
}

void accounts_io_tick(worker_t *worker, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->borrowers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_entry_t *entry = value;
		if (TAILQ_EMPTY(&entry->waiting) &&
		    borrower_is_idle(entry->borrower, now))
			g_hash_table_iter_remove(&iter);
		else
			renew_loans(entry, now);
	}
}

void accounts_io_handle_request(worker_t *worker, frame_link_t *link,
				const Egret__LoanRequest *wire)
{
	loan_request_t request = {
		.loan_id = wire->loan,
		.sequence = wire->sequence,
		.tokens_held = (double)wire->holds_milli / MILLI,
		.tokens_returned = (double)wire->returns_milli / MILLI,
		.demand = (double)wire->demand_milli / MILLI,
		.waiting = wire->want,
		.foreign = wire->foreign,
	};
	loan_reply_t reply;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__LoanReply out = EGRET__LOAN_REPLY__INIT;

	lend_here(worker->node, wire->account, &request, &reply);
	out.loan = reply.loan_id;
	out.sequence = reply.sequence;
	out.account = wire->account;
	out.granted = reply.granted;
	out.tokens_milli = (uint64_t)(reply.tokens * MILLI);
	out.spends = reply.immediate_tokens;
	out.pressure_milli = (uint32_t)CLAMP(reply.pressure * MILLI, 0, G_MAXUINT32);
	frame.kind_case = EGRET__FRAME__KIND_LOAN_REPLY;
	frame.loan_reply = &out;
	frame_link_send(link, &frame);
}

void accounts_io_handle_reply(worker_t *worker, const Egret__LoanReply *wire)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, wire->account);
	loan_reply_t reply = {
		.loan_id = wire->loan,
		.sequence = wire->sequence,
		.granted = wire->granted,
		.tokens = (double)wire->tokens_milli / MILLI,
		.immediate_tokens = wire->spends,
		.pressure = (double)wire->pressure_milli / MILLI,
	};

	if (entry)
		apply_reply(entry, &reply);
}

void accounts_io_handle_confirm(worker_t *worker, frame_link_t *link,
				const Egret__KeeperConfirm *wire)
{
	node_t *node = worker->node;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__KeeperConfirmReply reply = EGRET__KEEPER_CONFIRM_REPLY__INIT;
	Egret__KeeperClaim claims[KEEPER_PARTITIONS];
	Egret__KeeperClaim *list[KEEPER_PARTITIONS];

	if (strcmp(wire->zone, node->settings->zone) != 0)
		return;
	reply.sequence = wire->sequence;
	reply.newer = list;
	pthread_mutex_lock(&node->account_lock);
	for (size_t i = 0; i < wire->n_claims && reply.n_newer < KEEPER_PARTITIONS; i++) {
		const Egret__KeeperClaim *claim = wire->claims[i];
		if (claim->partition >= KEEPER_PARTITIONS)
			continue;
		uint64_t newer = keeper_observe_epoch(node->accounts->keeper,
						      claim->partition, claim->epoch);
		if (newer == 0)
			continue;
		egret__keeper_claim__init(&claims[reply.n_newer]);
		claims[reply.n_newer].partition = claim->partition;
		claims[reply.n_newer].epoch = newer;
		list[reply.n_newer] = &claims[reply.n_newer];
		reply.n_newer++;
	}
	pthread_mutex_unlock(&node->account_lock);
	frame.kind_case = EGRET__FRAME__KIND_KEEPER_CONFIRM_REPLY;
	frame.keeper_confirm_reply = &reply;
	frame_link_send(link, &frame);
}
