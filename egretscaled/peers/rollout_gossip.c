#include "egretscaled/peers/rollout_gossip.h"

#include "egretscaled/node/rollout.h"
#include "egretscaled/peers/gossip_io.h"

#include <string.h>
#include <xxhash.h>

#define TICK_PERIOD (250 * USEC_PER_MSEC)
/* A final state is sent to the collectors at this many ticks. */
#define FINAL_TICKS 8
/* More cells than fit into a datagram. */
#define CELLS_PER_DATAGRAM_MAX 40

struct rollout_gossip {
	node_t *node;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	uint32_t ticks;
};

typedef struct live_node {
	char address[ADDRESS_TEXT_BYTES];
	uint64_t weight;
} live_node_t;

/* --- Messages ------------------------------------------------------------ */

/* Storage for one message and all that it points to. */
typedef struct datagram {
	Egret__Gossip message;
	Egret__Rollout rollout;
	Egret__RolloutCell cells[CELLS_PER_DATAGRAM_MAX];
	Egret__RolloutCell *list[CELLS_PER_DATAGRAM_MAX];
} datagram_t;

static void begin_datagram(datagram_t *datagram, node_t *node,
			   const rollout_report_t *report)
{
	egret__gossip__init(&datagram->message);
	egret__rollout__init(&datagram->rollout);
	datagram->message.kind = EGRET__GOSSIP_KIND__GOSSIP_ROLLOUT;
	datagram->message.sender = node->address;
	datagram->message.subject = (char *)report->service;
	datagram->message.rollout = &datagram->rollout;
	/* Set when it is sent; counted here for the size. */
	datagram->message.config_revision = G_MAXUINT64;
	datagram->message.config_age_ms = G_MAXUINT32;
	datagram->rollout.to = (char *)report->to;
	datagram->rollout.order = report->order_id;
	datagram->rollout.node = report->node;
	datagram->rollout.age_ms =
		(uint32_t)CLAMP(report->age / USEC_PER_MSEC, 0, G_MAXUINT32);
	datagram->rollout.state = report->state;
	datagram->rollout.recorded = report->recorded;
	datagram->rollout.allowed = report->allowed;
	datagram->rollout.cells = datagram->list;
}

static void encode_cell(const rollout_cell_t *cell, Egret__RolloutCell *out)
{
	int first = 0;
	int end = COMPARE_TIME_BUCKETS;

	while (end > 0 && cell->times[end - 1] == 0)
		end--;
	while (first < end && cell->times[first] == 0)
		first++;
	egret__rollout_cell__init(out);
	out->is_new = cell->is_new;
	out->route = (uint32_t)cell->route;
	out->zone = (uint32_t)cell->zone;
	out->instance = (uint32_t)cell->instance;
	out->responses = cell->responses;
	out->failures = cell->failures;
	out->lost = cell->lost;
	out->first_time = (uint32_t)first;
	out->n_times = (size_t)(end - first);
	out->times = (uint32_t *)cell->times + first;
}

/* Adds a cell if the datagram stays within its size limit. */
static bool add_cell(datagram_t *datagram, const rollout_cell_t *cell)
{
	size_t i = datagram->rollout.n_cells;

	if (i == CELLS_PER_DATAGRAM_MAX)
		return false;
	encode_cell(cell, &datagram->cells[i]);
	datagram->list[i] = &datagram->cells[i];
	datagram->rollout.n_cells++;
	if (egret__gossip__get_packed_size(&datagram->message) <= GOSSIP_DATAGRAM_BYTES)
		return true;
	datagram->rollout.n_cells--;
	return false;
}

static void send_report(node_t *node, const rollout_report_t *report,
			const live_node_t *to, guint to_count)
{
	datagram_t *datagram = g_new(datagram_t, 1);
	uint32_t from = 0;

	do {
		begin_datagram(datagram, node, report);
		while (from < report->cell_count &&
		       add_cell(datagram, &report->cells[from]))
			from++;
		/* A cell that does not fit alone is left out. */
		if (from < report->cell_count && datagram->rollout.n_cells == 0)
			from++;
		for (guint i = 0; i < to_count; i++)
			gossip_io_send_with_config(node, to[i].address,
						   &datagram->message);
	} while (from < report->cell_count);
	g_free(datagram);
}

static bool decode_cell(const Egret__RolloutCell *cell, rollout_cell_t *out)
{
	*out = (rollout_cell_t){
		.is_new = cell->is_new,
		.route = cell->route,
		.zone = cell->zone,
		.instance = cell->instance,
		.responses = cell->responses,
		.failures = cell->failures,
		.lost = cell->lost,
	};
	if (cell->first_time > COMPARE_TIME_BUCKETS ||
	    cell->n_times > COMPARE_TIME_BUCKETS - cell->first_time)
		return false;
	for (size_t i = 0; i < cell->n_times; i++)
		out->times[cell->first_time + i] = cell->times[i];
	return true;
}

/* Returns false if a field is invalid. */
static bool decode_report(const Egret__Gossip *message, rollout_report_t *out)
{
	const Egret__Rollout *rollout = message->rollout;

	memset(out, 0, sizeof(*out));
	if (!rollout || !rollout->to || !message->subject ||
	    g_strlcpy(out->service, message->subject, sizeof(out->service)) >=
		    sizeof(out->service) ||
	    g_strlcpy(out->to, rollout->to, sizeof(out->to)) >= sizeof(out->to) ||
	    rollout->state > ROLLOUT_ROLLED_BACK ||
	    rollout->n_cells > CELLS_PER_DATAGRAM_MAX)
		return false;
	out->order_id = rollout->order;
	out->node = rollout->node;
	out->age = rollout->age_ms * USEC_PER_MSEC;
	out->state = (rollout_state_t)rollout->state;
	out->recorded = rollout->recorded;
	out->allowed = rollout->allowed;
	for (size_t i = 0; i < rollout->n_cells; i++) {
		if (!decode_cell(rollout->cells[i], &out->cells[out->cell_count++]))
			return false;
	}
	return true;
}

/* --- Receivers ------------------------------------------------------------ */

static int compare_weight(const void *a, const void *b)
{
	const live_node_t *left = a;
	const live_node_t *right = b;

	return (left->weight < right->weight) - (left->weight > right->weight);
}

/* Returns the live nodes, this one included, and the number of nodes that are known and
 * have not left. */
static GArray *list_live_nodes(node_t *node, uint32_t *known)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(live_node_t));
	const member_t *member;

	*known = 0;
	pthread_mutex_lock(&node->gossip_lock);
	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	{
		live_node_t live = {.weight = 0};

		if (member->state == EGRET__MEMBER_STATE__MEMBER_LEFT)
			continue;
		(*known)++;
		if (member->state == EGRET__MEMBER_STATE__MEMBER_DEAD)
			continue;
		g_strlcpy(live.address, member->address, sizeof(live.address));
		g_array_append_val(list, live);
	}
	pthread_mutex_unlock(&node->gossip_lock);
	return list;
}

/* Sorts the collectors of the order to the front and returns their number. */
static guint find_collectors(GArray *nodes, uint64_t order_id)
{
	for (guint i = 0; i < nodes->len; i++) {
		live_node_t *live = &g_array_index(nodes, live_node_t, i);
		live->weight = XXH64(live->address, strlen(live->address), order_id);
	}
	g_array_sort(nodes, compare_weight);
	return MIN(nodes->len, ROLLOUT_COLLECTORS);
}

static void remove_self(GArray *nodes, const node_t *node)
{
	for (guint i = 0; i < nodes->len; i++) {
		const live_node_t *live = &g_array_index(nodes, live_node_t, i);
		if (strcmp(live->address, node->address) == 0) {
			g_array_remove_index(nodes, i);
			return;
		}
	}
}

static void send_to_collectors(node_t *node, const rollout_report_t *report,
			       const GArray *nodes)
{
	GArray *sorted = g_array_copy((GArray *)nodes);

	g_array_set_size(sorted, find_collectors(sorted, report->order_id));
	remove_self(sorted, node);
	send_report(node, report, (const live_node_t *)(void *)sorted->data, sorted->len);
	g_array_free(sorted, TRUE);
}

static void send_to_all(node_t *node, const rollout_report_t *report, const GArray *nodes)
{
	GArray *others = g_array_copy((GArray *)nodes);

	remove_self(others, node);
	send_report(node, report, (const live_node_t *)(void *)others->data, others->len);
	g_array_free(others, TRUE);
}

/* --- Reports --------------------------------------------------------------- */

typedef struct round {
	node_t *node;
	usec_t now;
	bool with_final;
	GPtrArray *reports;  /* of rollout_report_t, to the collectors */
	GPtrArray *verdicts; /* of rollout_report_t, to all */
} round_t;

static void add_report(round_t *round, GPtrArray *list, const char *service)
{
	rollout_report_t *report = g_new(rollout_report_t, 1);

	rollout_report(round->node->rollout, service, round->now, report);
	if (report->state != ROLLOUT_IN_PROGRESS)
		report->cell_count = 0;
	g_ptr_array_add(list, report);
}

static void handle_verdict(void *ctx, const rollout_status_t *status)
{
	round_t *round = ctx;

	node_rollout_log(status, "own");
	add_report(round, round->verdicts, status->order.service);
}

static void collect_report(void *ctx, const rollout_status_t *status)
{
	round_t *round = ctx;

	if (status->state == ROLLOUT_IN_PROGRESS || round->with_final)
		add_report(round, round->reports, status->order.service);
}

static void run_round(rollout_gossip_t *gossip)
{
	node_t *node = gossip->node;
	uint32_t known;
	GArray *nodes = list_live_nodes(node, &known);
	GHashTable *versions = node_rollout_list_versions(node);
	round_t round = {
		.node = node,
		.now = clock_boot_usec(),
		.with_final = gossip->ticks++ % FINAL_TICKS == 0,
		.reports = g_ptr_array_new_with_free_func(g_free),
		.verdicts = g_ptr_array_new_with_free_func(g_free),
	};

	pthread_mutex_lock(&node->router_lock);
	node_rollout_refresh(node, versions, round.now);
	rollout_tick(node->rollout, known, round.now, handle_verdict, &round);
	rollout_foreach(node->rollout, round.now, collect_report, &round);
	pthread_mutex_unlock(&node->router_lock);
	for (guint i = 0; i < round.verdicts->len; i++)
		send_to_all(node, round.verdicts->pdata[i], nodes);
	for (guint i = 0; i < round.reports->len; i++)
		send_to_collectors(node, round.reports->pdata[i], nodes);
	g_ptr_array_free(round.reports, TRUE);
	g_ptr_array_free(round.verdicts, TRUE);
	g_array_free(nodes, TRUE);
	g_hash_table_destroy(versions);
}

/* Whether this node knows something of the order that the sender does not. */
static bool knows_more(const rollout_report_t *own, const rollout_report_t *theirs)
{
	if (own->order_id != theirs->order_id || strcmp(own->to, theirs->to) != 0)
		return false;
	return (own->allowed && !theirs->allowed) ||
	       (own->state > ROLLOUT_IN_PROGRESS &&
		(own->state != theirs->state || (own->recorded && !theirs->recorded)));
}

typedef struct lookup {
	const char *service;
	bool found;
	rollout_status_t status;
} lookup_t;

static void find_status(void *ctx, const rollout_status_t *status)
{
	lookup_t *lookup = ctx;

	if (strcmp(status->order.service, lookup->service) != 0)
		return;
	lookup->found = true;
	lookup->status = *status;
}

void rollout_gossip_handle_message(node_t *node, const Egret__Gossip *message)
{
	rollout_report_t *report = g_new(rollout_report_t, 1);
	rollout_report_t *own = g_new0(rollout_report_t, 1);
	lookup_t lookup = {.service = report->service};
	live_node_t sender = {.weight = 0};
	usec_t now = clock_boot_usec();
	struct sockaddr_in address;

	if (!node->rollout || !decode_report(message, report) ||
	    !address_parse(message->sender, &address, NULL))
		goto out;
	pthread_mutex_lock(&node->router_lock);
	bool changed = rollout_merge(node->rollout, report, now);
	bool known = rollout_report(node->rollout, report->service, now, own);
	if (changed)
		rollout_foreach(node->rollout, now, find_status, &lookup);
	pthread_mutex_unlock(&node->router_lock);
	if (lookup.found)
		node_rollout_log(&lookup.status, "peer");
	if (known && knows_more(own, report)) {
		address_format(&address, sender.address);
		own->cell_count = 0;
		send_report(node, own, &sender, 1);
	}
out:
	g_free(report);
	g_free(own);
}

/* --- Timer ----------------------------------------------------------------- */

static void schedule_tick(rollout_gossip_t *gossip);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	rollout_gossip_t *gossip = private_data;

	run_round(gossip);
	schedule_tick(gossip);
}

static void schedule_tick(rollout_gossip_t *gossip)
{
	gossip->timer = tevent_add_timer(gossip->ev, gossip,
					 tevent_timeval_current_ofs(0, TICK_PERIOD),
					 handle_tick, gossip);
}

rollout_gossip_t *rollout_gossip_create(TALLOC_CTX *parent, struct tevent_context *ev,
					node_t *node)
{
	rollout_gossip_t *gossip = talloc_zero(parent, rollout_gossip_t);

	gossip->node = node;
	gossip->ev = ev;
	schedule_tick(gossip);
	return gossip;
}

void rollout_gossip_destroy(rollout_gossip_t *gossip)
{
	talloc_free(gossip);
}
