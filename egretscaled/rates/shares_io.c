#include "egretscaled/rates/shares_io.h"

#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/peers/gossip_io.h"

#include <math.h>
#include <string.h>

#define CENTI 100.0
/* Longest wait for a token that a question may accept. */
#define WAIT_MAX USEC_PER_SEC
#define TICK_PERIOD (100 * USEC_PER_MSEC)
/* The holders are found anew after changes of the directory, and this often. */
#define MEMBERS_PERIOD USEC_PER_SEC

struct shares_io {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	usec_t members_at;
	uint32_t held; /* partitions, as last logged */
	bool cut_off;  /* as last logged */
};

/* Longest encodings of one demand (a fixed32 and a varint) and of the other fields of a
 * demand report. */
#define DEMAND_MAX_BYTES 9
#define REPORT_HEAD_MAX_BYTES 120
#define DATAGRAM_DEMANDS_MAX                                                             \
	((GOSSIP_DATAGRAM_BYTES - REPORT_HEAD_MAX_BYTES) / DEMAND_MAX_BYTES)

/* --- Reports between holders --------------------------------------------- */

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

/* Sends to the holders of the partition in the other zones. Under account_lock. */
static void send_to_holders(node_t *node, uint32_t partition,
			    const Egret__Gossip *message, usec_t now)
{
	zone_rates_t *rates = node->zone_rates;

	for (uint32_t zone = 0; zone < zone_rates_zone_count(rates); zone++) {
		if (zone == zone_rates_own_zone(rates))
			continue;
		const char *holder =
			zone_rates_partition_holder(rates, zone, partition, now);
		if (holder)
			gossip_io_send(node, holder, message);
	}
}

/* Reports the demands of one partition, in as many datagrams as needed. Under gossip_lock
 * and account_lock. */
static void report_partition(node_t *node, uint32_t partition, usec_t now)
{
	demand_list_t list = {g_array_new(FALSE, FALSE, sizeof(uint32_t)),
			      g_array_new(FALSE, FALSE, sizeof(uint32_t))};
	Egret__Gossip message = EGRET__GOSSIP__INIT;
	guint from = 0;

	if (zone_rates_report(node->zone_rates, partition, now, add_demand, &list)) {
		message.kind = EGRET__GOSSIP_KIND__GOSSIP_DEMAND;
		message.sender = node->address;
		message.subject = node->settings->zone;
		message.partition = partition;
		gossip_add_config(node->gossip, now, &message);
		do {
			guint count =
				MIN(list.accounts->len - from, DATAGRAM_DEMANDS_MAX);
			message.n_demand_accounts = message.n_demand_centi = count;
			message.demand_accounts =
				(uint32_t *)(void *)list.accounts->data + from;
			message.demand_centi =
				(uint32_t *)(void *)list.centi->data + from;
			send_to_holders(node, partition, &message, now);
			from += count;
			message.part++;
		} while (from < list.accounts->len);
	}
	g_array_free(list.accounts, TRUE);
	g_array_free(list.centi, TRUE);
}

void shares_io_handle_demand(node_t *node, const Egret__Gossip *message)
{
	zone_rates_t *rates = node->zone_rates;

	if (!rates || !message->subject)
		return;
	pthread_mutex_lock(&node->account_lock);
	if (message->part == 0)
		zone_rates_begin_report(rates, message->partition, message->subject,
					clock_boot_usec());
	for (size_t i = 0; i < MIN(message->n_demand_accounts, message->n_demand_centi);
	     i++)
		zone_rates_add_demand(rates, message->partition, message->subject,
				      message->demand_accounts[i],
				      message->demand_centi[i] / CENTI);
	pthread_mutex_unlock(&node->account_lock);
}

static void log_held(const shares_io_t *io, double part)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "rates");
	log_int(&rec, "held", io->held);
	log_int(&rec, "part_milli", (int64_t)(part * 1000));
	log_int(&rec, "cut_off", io->cut_off);
	log_end(&rec);
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

	pthread_mutex_lock(&node->gossip_lock);
	pthread_mutex_lock(&node->account_lock);
	if (zone_rates_is_stale(node->zone_rates) ||
	    now - io->members_at >= MEMBERS_PERIOD) {
		io->members_at = now;
		zone_rates_set_members(node->zone_rates,
				       directory_members(gossip_directory(node->gossip)),
				       now);
	}
	zone_rates_tick(node->zone_rates, now);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		report_partition(node, i, now);
	uint32_t held = zone_rates_held(node->zone_rates);
	bool cut_off = zone_rates_is_cut_off(node->zone_rates);
	double part = zone_rates_part(node->zone_rates);
	pthread_mutex_unlock(&node->account_lock);
	pthread_mutex_unlock(&node->gossip_lock);
	if (held != io->held || cut_off != io->cut_off) {
		io->held = held;
		io->cut_off = cut_off;
		log_held(io, part);
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
	(void)member;
	if (!node->zone_rates)
		return;
	pthread_mutex_lock(&node->account_lock);
	zone_rates_set_stale(node->zone_rates);
	pthread_mutex_unlock(&node->account_lock);
}

void shares_io_set_node_count(node_t *node, uint32_t count)
{
	if (!node->zone_rates)
		return;
	pthread_mutex_lock(&node->account_lock);
	zone_rates_set_node_count(node->zone_rates, count);
	pthread_mutex_unlock(&node->account_lock);
}

/* --- Answers of a holder -------------------------------------------------- */

/* Fills in the limits of an account; returns false if it has no record. */
static bool find_account_limits(node_t *node, const char *account, account_limits_t *out)
{
	const bounds_t *bounds = node_bounds(node);
	config_t *config = node_config(node);
	const client_account_t *record = config_client_account(config, account);

	if (record) {
		rate_bound_t bound = {(double)bounds->rate_window / USEC_PER_SEC,
				      bounds->rate_overage, bounds->rate_slack};
		*out = account_limits(record->rate, record->burst, &bound);
	}
	config_unref(config);
	return record != NULL;
}

bool shares_io_answer(node_t *node, const token_question_t *question, token_answer_t *out)
{
	account_limits_t limits;

	*out = (token_answer_t){0};
	if (!find_account_limits(node, question->account, &limits))
		return false;
	pthread_mutex_lock(&node->account_lock);
	zone_rates_answer(node->zone_rates, question, &limits, clock_boot_usec(), out);
	pthread_mutex_unlock(&node->account_lock);
	return true;
}

void shares_io_handle_question(node_t *node, const Egret__Gossip *message)
{
	struct sockaddr_in address;
	Egret__Gossip reply = EGRET__GOSSIP__INIT;
	token_question_t question = {
		.account = message->subject,
		.asker = message->sender,
		.wanted = CLAMP(message->tokens, 1, SHARES_IO_TOKENS_MAX),
		.wait_max = MIN(message->wait_ms * USEC_PER_MSEC, WAIT_MAX),
		.lend = message->lend,
		.repeated = message->repeated,
		.id = message->sequence,
	};
	token_answer_t result;

	if (!node->zone_rates || !address_parse(message->sender, &address, NULL))
		return;
	if (!shares_io_answer(node, &question, &result))
		return;
	reply.kind = result.tokens > 0 ? EGRET__GOSSIP_KIND__GOSSIP_TOKEN_GRANT
				       : EGRET__GOSSIP_KIND__GOSSIP_TOKEN_DENY;
	reply.sender = node->address;
	reply.sequence = message->sequence;
	reply.tokens = result.tokens;
	reply.wait_ms =
		(uint32_t)((MAX(result.wait, 0) + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
	reply.over_rate = result.over_rate;
	reply.pressure_centi = (uint32_t)MIN(result.pressure * CENTI, G_MAXUINT32);
	gossip_io_send_with_config(node, message->sender, &reply);
}
