#include "egretscaled/rates/loans_io.h"

#include "accounts/borrower.h"
#include "common/counters.h"
#include "egretscaled/peers/peer_client.h"

#include <math.h>
#include <string.h>

#define MILLI 1000.0
/* The longest time for which a request waits for a token. */
#define TOKEN_WAIT_MAX (500 * USEC_PER_MSEC)
/* Time between attempts to get tokens while requests wait. */
#define RETRY_PERIOD (20 * USEC_PER_MSEC)
/* Loan requests to other zones per waiting request. */
#define FOREIGN_REQUESTS_MAX 2
/* For this time after waiting requests of an account above its rate were refused, its
 * requests without a local token are refused at once and request no loan. */
#define NO_TOKEN_BACKOFF (10 * USEC_PER_MSEC)
/* Waiting requests per account and worker. */
#define WAITERS_MAX 10000
/* Up to this pressure (see loan.h) an account counts as within its rate. Above 1, since
 * the demand of a small account is known only roughly. */
#define WITHIN_RATE_PRESSURE_MAX 1.5

/* A request that waits for a token. */
typedef struct waiter {
	TAILQ_ENTRY(waiter) link;
	admit_fn fn;
	void *ctx;
	usec_t deadline;
	uint32_t foreign_requests;
} waiter_t;

TAILQ_HEAD(waiter_list, waiter);

/* The loans and waiting requests of one account on one worker. */
typedef struct account_entry {
	worker_t *worker;
	char *account;
	borrower_t *borrower;
	struct waiter_list waiters;
	uint32_t waiter_count;
	struct tevent_timer *timer;
	uint32_t next_zone_index; /* modulo the number of zones */
	usec_t backoff_until;
	bool handling_reply; /* stops recursion when this node is the keeper */
} account_entry_t;

static void account_entry_destroy(void *data)
{
	account_entry_t *entry = data;

	while (!TAILQ_EMPTY(&entry->waiters)) {
		waiter_t *waiter = TAILQ_FIRST(&entry->waiters);
		TAILQ_REMOVE(&entry->waiters, waiter, link);
		g_free(waiter);
	}
	TALLOC_FREE(entry->timer);
	borrower_destroy(entry->borrower);
	g_free(entry->account);
	g_free(entry);
}

GHashTable *loans_io_borrowers_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     account_entry_destroy);
}

static account_entry_t *find_or_add_entry(worker_t *worker, const char *account)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);

	if (entry)
		return entry;
	entry = g_new0(account_entry_t, 1);
	entry->worker = worker;
	entry->account = g_strdup(account);
	entry->borrower = borrower_create(worker->node->settings->zone);
	TAILQ_INIT(&entry->waiters);
	g_hash_table_insert(worker->borrowers, entry->account, entry);
	return entry;
}

static void remove_waiter(account_entry_t *entry, waiter_t *waiter)
{
	TAILQ_REMOVE(&entry->waiters, waiter, link);
	entry->waiter_count--;
	g_free(waiter);
}

static void finish_waiter(account_entry_t *entry, waiter_t *waiter, bool admitted)
{
	admit_fn fn = waiter->fn;
	void *ctx = waiter->ctx;

	remove_waiter(entry, waiter);
	fn(ctx, admitted);
}

/* Finds the keeper of the partition in this node's zone. */
static bool find_own_keeper(node_t *node, uint32_t partition, keeper_location_t *out)
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

/* Finds the next foreign zone, in rotation, that has a keeper for the partition. */
static bool find_foreign_keeper(account_entry_t *entry, uint32_t partition,
				char *zone_out, keeper_location_t *out)
{
	node_t *node = entry->worker->node;
	bool found = false;

	pthread_mutex_lock(&node->account_lock);
	guint count = node->accounts->zones->len;
	for (guint tried = 0; tried < count && !found; tried++) {
		const zone_keepers_t *zone =
			&g_array_index(node->accounts->zones, zone_keepers_t,
				       entry->next_zone_index++ % count);
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

static bool find_account_limits(node_t *node, const char *account, double *rate,
				double *burst)
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

/* Handles a loan request with this node's keeper. */
static void lend_locally(node_t *node, const char *account, const loan_request_t *request,
			 loan_reply_t *reply)
{
	double rate;
	double burst;

	*reply = (loan_reply_t){.loan_id = request->loan_id,
				.sequence = request->sequence};
	if (!find_account_limits(node, account, &rate, &burst))
		return;
	pthread_mutex_lock(&node->account_lock);
	keeper_lend(node->accounts->keeper, account, rate, burst, request,
		    clock_boot_usec(), reply);
	pthread_mutex_unlock(&node->account_lock);
}

static void send_loan_request(account_entry_t *entry, const char *address,
			      const loan_request_t *request)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__LoanRequest wire = EGRET__LOAN_REQUEST__INIT;

	wire.loan = request->loan_id;
	wire.sequence = request->sequence;
	wire.account = entry->account;
	/* Held tokens are rounded up and returned ones down, so that the keeper never
	 * counts fewer lent tokens than the borrowers hold. */
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

/* Sends a loan request to a keeper, or handles it here if this node is the keeper.
 * Returns false if borrower_prepare_request() allows no request now. */
static bool request_loan(account_entry_t *entry, const char *zone,
			 const keeper_location_t *location, uint32_t waiting)
{
	worker_t *worker = entry->worker;
	loan_request_t request;

	if (!borrower_prepare_request(entry->borrower, zone, waiting, node_random_id(),
				      clock_boot_usec(), &request))
		return false;
	counter_add(COUNTER_BORROWS, 1);
	if (strcmp(location->address, worker->node->address) == 0) {
		loan_reply_t reply;
		lend_locally(worker->node, entry->account, &request, &reply);
		apply_reply(entry, &reply);
		return true;
	}
	send_loan_request(entry, location->address, &request);
	return true;
}

static bool request_from_own_zone(account_entry_t *entry, uint32_t waiting)
{
	keeper_location_t location;

	if (!find_own_keeper(entry->worker->node, account_partition(entry->account),
			     &location))
		return false;
	return request_loan(entry, entry->worker->node->settings->zone, &location,
			    waiting);
}

static bool request_from_foreign_zone(account_entry_t *entry, uint32_t waiting)
{
	char zone[MEMBER_TEXT_BYTES];
	keeper_location_t location;

	if (!find_foreign_keeper(entry, account_partition(entry->account), zone,
				 &location))
		return false;
	return request_loan(entry, zone, &location, waiting);
}

/* Admits waiting requests, oldest first, until no token is left. */
static void admit_waiters(account_entry_t *entry, uint32_t immediate_tokens)
{
	usec_t now = clock_boot_usec();

	while (!TAILQ_EMPTY(&entry->waiters)) {
		if (immediate_tokens > 0)
			immediate_tokens--;
		else if (!borrower_take_token(entry->borrower, now))
			return;
		finish_waiter(entry, TAILQ_FIRST(&entry->waiters), true);
	}
}

/* Refuses the waiting requests whose deadline has passed. */
static void refuse_expired_waiters(account_entry_t *entry, usec_t now)
{
	waiter_t *waiter = TAILQ_FIRST(&entry->waiters);

	while (waiter) {
		waiter_t *next = TAILQ_NEXT(waiter, link);
		if (waiter->deadline <= now)
			finish_waiter(entry, waiter, false);
		waiter = next;
	}
}

static void schedule_retry(account_entry_t *entry);

static void handle_retry_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	account_entry_t *entry = private_data;

	entry->timer = NULL;
	admit_waiters(entry, 0);
	refuse_expired_waiters(entry, clock_boot_usec());
	if (!TAILQ_EMPTY(&entry->waiters) &&
	    !request_from_own_zone(entry, entry->waiter_count))
		request_from_foreign_zone(entry, entry->waiter_count);
	schedule_retry(entry);
}

static void schedule_retry(account_entry_t *entry)
{
	if (!TAILQ_EMPTY(&entry->waiters) && !entry->timer)
		entry->timer = worker_timer(entry->worker, RETRY_PERIOD,
					    handle_retry_timer, entry);
}

/* Requests a loan from another zone for the requests that still wait after a keeper's
 * reply with too few tokens. If the account is within its rate they keep waiting;
 * otherwise they are refused once other zones have been tried. */
static void retry_or_refuse_waiters(account_entry_t *entry, bool over_rate)
{
	usec_t now = clock_boot_usec();
	uint32_t foreign_waiting = 0;
	waiter_t *waiter = TAILQ_FIRST(&entry->waiters);

	while (waiter) {
		waiter_t *next = TAILQ_NEXT(waiter, link);
		if (waiter->foreign_requests++ < FOREIGN_REQUESTS_MAX)
			foreign_waiting++;
		else if (over_rate)
			finish_waiter(entry, waiter, false);
		waiter = next;
	}
	if (foreign_waiting > 0 && request_from_foreign_zone(entry, foreign_waiting))
		return;
	if (!over_rate)
		return;
	entry->backoff_until = now + NO_TOKEN_BACKOFF;
	while (!TAILQ_EMPTY(&entry->waiters))
		finish_waiter(entry, TAILQ_FIRST(&entry->waiters), false);
}

static void apply_reply(account_entry_t *entry, const loan_reply_t *reply)
{
	uint32_t immediate_tokens =
		borrower_handle_reply(entry->borrower, reply, clock_boot_usec());

	admit_waiters(entry, immediate_tokens);
	if (TAILQ_EMPTY(&entry->waiters) || entry->handling_reply || !reply->granted)
		return;
	entry->handling_reply = true;
	retry_or_refuse_waiters(entry, borrower_pressure(entry->borrower) >
					       WITHIN_RATE_PRESSURE_MAX);
	entry->handling_reply = false;
}

/* Renews one loan that is low on tokens or about to expire, if there is one. */
static void renew_due_loan(account_entry_t *entry, usec_t now)
{
	const char *zone = borrower_renewal_zone(entry->borrower, now);
	node_t *node = entry->worker->node;
	uint32_t partition = account_partition(entry->account);
	keeper_location_t location = {.epoch = 0};

	if (!zone)
		return;
	pthread_mutex_lock(&node->account_lock);
	for (guint i = 0; i < node->accounts->zones->len; i++) {
		const zone_keepers_t *keepers =
			&g_array_index(node->accounts->zones, zone_keepers_t, i);
		if (strcmp(keepers->zone, zone) == 0)
			location = keepers->locations[partition];
	}
	pthread_mutex_unlock(&node->account_lock);
	if (location.epoch != 0)
		request_loan(entry, zone, &location, 0);
}

admit_result_t loans_io_admit(worker_t *worker, const char *account, admit_fn fn,
			      void *ctx)
{
	account_entry_t *entry = find_or_add_entry(worker, account);
	usec_t now = clock_boot_usec();

	if (borrower_admit(entry->borrower, now)) {
		renew_due_loan(entry, now);
		return ADMIT_GRANTED;
	}
	if (now < entry->backoff_until || entry->waiter_count >= WAITERS_MAX)
		return ADMIT_REFUSED;
	waiter_t *waiter = g_new0(waiter_t, 1);
	waiter->fn = fn;
	waiter->ctx = ctx;
	waiter->deadline = now + TOKEN_WAIT_MAX;
	TAILQ_INSERT_TAIL(&entry->waiters, waiter, link);
	entry->waiter_count++;
	if (entry->waiter_count == 1 &&
	    !request_from_own_zone(entry, entry->waiter_count))
		request_from_foreign_zone(entry, entry->waiter_count);
	schedule_retry(entry);
	return ADMIT_WAITING;
}

void loans_io_cancel(worker_t *worker, const char *account, void *ctx)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);
	waiter_t *waiter;

	if (!entry)
		return;
	TAILQ_FOREACH(waiter, &entry->waiters, link)
	{
		if (waiter->ctx != ctx)
			continue;
		remove_waiter(entry, waiter);
		return;
	}
}

double loans_io_pressure(worker_t *worker, const char *account)
{
	account_entry_t *entry = g_hash_table_lookup(worker->borrowers, account);

	return entry ? borrower_pressure(entry->borrower) : 0;
}

void loans_io_tick(worker_t *worker, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->borrowers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_entry_t *entry = value;
		if (TAILQ_EMPTY(&entry->waiters) &&
		    borrower_is_idle(entry->borrower, now))
			g_hash_table_iter_remove(&iter);
		else
			renew_due_loan(entry, now);
	}
}

void loans_io_handle_request(worker_t *worker, frame_link_t *link,
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

	lend_locally(worker->node, wire->account, &request, &reply);
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

void loans_io_handle_reply(worker_t *worker, const Egret__LoanReply *wire)
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

void loans_io_handle_confirm(worker_t *worker, frame_link_t *link,
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
