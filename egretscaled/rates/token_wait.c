#include "egretscaled/rates/token_wait.h"

#include "accounts/token_search.h"
#include "common/counters.h"
#include "egretscaled/peers/gossip_io.h"
#include "egretscaled/rates/shares_io.h"

#include <string.h>

#define CENTI 100.0
/* The bits of a question's id that hold the index of its worker. */
#define WORKER_INDEX_MASK 0xff

/* A request that waits for the answer of a holder, or for its token to be due. */
typedef struct waiter {
	worker_t *worker;
	admit_fn fn;
	void *ctx;
	char *account;
	uint32_t wanted;
	token_search_t search;
	token_action_t question;
	uint64_t request_id;		     /* of the question in flight, 0 if none */
	char holder[ADDRESS_TEXT_BYTES];     /* that was asked */
	char unanswered[ADDRESS_TEXT_BYTES]; /* holder that did not reply, or empty */
	struct tevent_timer *timer;
} waiter_t;

/* Removes the waiter's question, so that an answer to it is ignored. */
static void end_question(waiter_t *waiter)
{
	if (waiter->request_id)
		g_hash_table_remove(waiter->worker->token_requests, &waiter->request_id);
	waiter->request_id = 0;
	TALLOC_FREE(waiter->timer);
}

static void waiter_destroy(void *data)
{
	waiter_t *waiter = data;

	end_question(waiter);
	g_free(waiter->account);
	g_free(waiter);
}

GHashTable *token_wait_table_create(void)
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

static void continue_search(waiter_t *waiter, token_event_t event);

static void handle_answer(waiter_t *waiter, const token_answer_t *result)
{
	node_t *node = waiter->worker->node;

	end_question(waiter);
	pthread_mutex_lock(&node->account_lock);
	zone_rates_store_answer(node->zone_rates, waiter->holder, waiter->account, result,
				clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
	if (result->tokens == 0)
		continue_search(waiter,
				result->over_rate ? TOKEN_OVER_RATE : TOKEN_DENIED);
	else if (result->wait > 0)
		waiter->timer = worker_timer(waiter->worker, result->wait,
					     handle_token_due, waiter);
	else
		finish_waiter(waiter, true);
}

static void handle_timeout(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	waiter_t *waiter = private_data;

	waiter->timer = NULL;
	continue_search(waiter, TOKEN_TIMEOUT);
}

static void send_question(waiter_t *waiter)
{
	worker_t *worker = waiter->worker;
	Egret__Gossip message = EGRET__GOSSIP__INIT;

	message.kind = EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK;
	message.sender = worker->node->address;
	message.subject = waiter->account;
	message.sequence = waiter->request_id;
	message.tokens = waiter->question.lend ? 1 : waiter->wanted;
	message.wait_ms = (uint32_t)(waiter->question.wait_max / USEC_PER_MSEC);
	message.lend = waiter->question.lend;
	message.repeated = waiter->question.repeated;
	gossip_io_send_with_config(worker->node, waiter->holder, &message);
	waiter->timer = worker_timer(worker, TOKEN_REPLY_TIMEOUT, handle_timeout, waiter);
}

/* Asks the holder of the zone; one that is this node answers at once. */
static void ask_holder(waiter_t *waiter)
{
	worker_t *worker = waiter->worker;
	node_t *node = worker->node;
	const token_action_t *action = &waiter->question;

	pthread_mutex_lock(&node->account_lock);
	const char *holder =
		zone_rates_holder(node->zone_rates, action->zone, waiter->account,
				  waiter->unanswered, clock_boot_usec());
	g_strlcpy(waiter->holder, holder ? holder : "", sizeof(waiter->holder));
	pthread_mutex_unlock(&node->account_lock);
	if (!*waiter->holder) {
		continue_search(waiter, TOKEN_NO_HOLDER);
		return;
	}
	if (strcmp(waiter->holder, node->address) == 0) {
		token_question_t question = {
			.account = waiter->account,
			.wanted = 1,
			.wait_max = action->wait_max,
			.lend = action->lend,
			.repeated = action->repeated,
		};
		token_answer_t result;
		shares_io_answer(node, &question, &result);
		handle_answer(waiter, &result);
		return;
	}
	waiter->request_id = (node_random_id() & ~(uint64_t)WORKER_INDEX_MASK) |
			     (worker->index & WORKER_INDEX_MASK);
	g_hash_table_insert(worker->token_requests, &waiter->request_id, waiter);
	send_question(waiter);
}

static void set_silent(waiter_t *waiter)
{
	node_t *node = waiter->worker->node;

	g_strlcpy(waiter->unanswered, waiter->holder, sizeof(waiter->unanswered));
	pthread_mutex_lock(&node->account_lock);
	zone_rates_set_silent(node->zone_rates, waiter->holder, clock_boot_usec());
	pthread_mutex_unlock(&node->account_lock);
}

static void continue_search(waiter_t *waiter, token_event_t event)
{
	token_action_t action = token_search_next(&waiter->search, event);

	if (action.previous_silent)
		set_silent(waiter);
	switch (action.kind) {
	case TOKEN_ASK:
		end_question(waiter);
		waiter->question = action;
		ask_holder(waiter);
		break;
	case TOKEN_ASK_AGAIN:
		send_question(waiter);
		break;
	case TOKEN_REFUSE:
		finish_waiter(waiter, false);
		break;
	}
}

typedef struct posted_answer {
	uint64_t request_id;
	token_answer_t answer;
} posted_answer_t;

/* If the request has ended, its tokens are dropped; this admits fewer requests, never
 * more. */
static void handle_posted_answer(worker_t *worker, void *ctx)
{
	posted_answer_t *posted = ctx;
	waiter_t *waiter =
		g_hash_table_lookup(worker->token_requests, &posted->request_id);

	if (waiter)
		handle_answer(waiter, &posted->answer);
	g_free(posted);
}

void token_wait_handle_answer(node_t *node, const Egret__Gossip *message)
{
	uint64_t index = message->sequence & WORKER_INDEX_MASK;

	if (index >= node->worker_count)
		return;
	posted_answer_t *posted = g_new0(posted_answer_t, 1);
	posted->request_id = message->sequence;
	posted->answer = (token_answer_t){
		.wait = (usec_t)message->wait_ms * USEC_PER_MSEC,
		.over_rate = message->over_rate,
		.pressure = message->pressure_centi / CENTI,
	};
	if (message->kind == EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT)
		posted->answer.tokens = CLAMP(message->tokens, 1, SHARES_IO_TOKENS_MAX);
	worker_post(node->workers[index], handle_posted_answer, posted);
}

static bool has_record(node_t *node, const char *account)
{
	config_t *config = node_config(node);
	bool found = config_client_account(config, account) != NULL;

	config_unref(config);
	return found;
}

admit_result_t token_wait_admit(worker_t *worker, const char *account, admit_fn fn,
				void *ctx)
{
	node_t *node = worker->node;
	uint32_t wanted;

	if (!has_record(node, account))
		return ADMIT_REFUSED;
	pthread_mutex_lock(&node->account_lock);
	bool taken =
		zone_rates_take(node->zone_rates, account, clock_boot_usec(), &wanted);
	uint32_t zone = zone_rates_own_zone(node->zone_rates);
	uint32_t zones = zone_rates_zone_count(node->zone_rates);
	pthread_mutex_unlock(&node->account_lock);
	if (taken)
		return ADMIT_GRANTED;
	counter_add(COUNTER_BORROWS, 1);
	waiter_t *waiter = g_new0(waiter_t, 1);
	waiter->worker = worker;
	waiter->fn = fn;
	waiter->ctx = ctx;
	waiter->account = g_strdup(account);
	waiter->wanted = MIN(wanted, SHARES_IO_TOKENS_MAX);
	token_search_init(&waiter->search, zone, zones, node_random_id());
	g_hash_table_insert(worker->token_waiters, ctx, waiter);
	continue_search(waiter, TOKEN_START);
	return ADMIT_WAITING;
}

void token_wait_cancel(worker_t *worker, void *ctx)
{
	g_hash_table_remove(worker->token_waiters, ctx);
}

double token_wait_pressure(worker_t *worker, const char *account)
{
	node_t *node = worker->node;

	pthread_mutex_lock(&node->account_lock);
	double pressure = zone_rates_pressure(node->zone_rates, account);
	pthread_mutex_unlock(&node->account_lock);
	return pressure;
}
