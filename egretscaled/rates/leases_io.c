#include "egretscaled/rates/leases_io.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "egretscaled/rates/confirm.h"
#include "egretscaled/rates/loans_io.h"
#include "egretscaled/rates/portions_io.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define STEP_PERIOD (200 * USEC_PER_MSEC)
/* Time until the next read of a lease row after a read that failed or found no row, and
 * after a commit to acquire the lease. */
#define READ_BACKOFF (2 * USEC_PER_SEC)
/* How often a lease row is read while this node waits to acquire it. */
#define OBSERVE_PERIOD (500 * USEC_PER_MSEC)

typedef struct partition_io {
	leases_io_t *io;
	uint32_t index;
	usec_t next_read_at;
	bool reread_in_flight;
} partition_io_t;

struct leases_io {
	node_t *node;
	store_t *store;
	struct tevent_context *ev;
	struct tevent_timer *timer;
	confirm_t *confirm;
	portions_io_t *portions;
	partition_io_t partitions[KEEPER_PARTITIONS];
	bool released;	     /* shutting down: no lease is acquired or renewed */
	bool leases_changed; /* since the last update of this node's member entry */
};

static char *lease_key(const leases_io_t *io, uint32_t index)
{
	return g_strdup_printf("lease/%s/%u", io->node->settings->zone, index);
}

/* The JSON value of a lease row. A released row has no holder; its lent_milli is the lent
 * fraction of the capacity in thousandths. */
static char *lease_value(const leases_io_t *io, uint64_t epoch, bool held,
			 uint32_t lent_milli)
{
	char id[17];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", io->node->node_id);
	json_t *json =
		json_pack("{s:s, s:s, s:I, s:i}", "holder", held ? io->node->address : "",
			  "node", held ? id : "", "epoch", (json_int_t)epoch,
			  "lent_milli", (int)lent_milli);
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	return text;
}

static void log_lease_change(const leases_io_t *io, uint32_t index, const char *change,
			     uint64_t epoch)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "lease");
	log_str(&rec, "zone", io->node->settings->zone);
	log_int(&rec, "partition", index);
	log_str(&rec, "change", change);
	log_int(&rec, "epoch", (int64_t)epoch);
	log_end(&rec);
}

/* --- Directory scan ------------------------------------------------------ */

static zone_keepers_t *find_or_add_zone(GArray *zones, const char *zone)
{
	for (guint i = 0; i < zones->len; i++) {
		zone_keepers_t *entry = &g_array_index(zones, zone_keepers_t, i);
		if (strcmp(entry->zone, zone) == 0)
			return entry;
	}
	g_array_set_size(zones, zones->len + 1);
	zone_keepers_t *entry = &g_array_index(zones, zone_keepers_t, zones->len - 1);
	g_strlcpy(entry->zone, zone, sizeof(entry->zone));
	return entry;
}

/* Records a member as keeper of its partitions, unless a newer epoch is recorded. */
static void add_keepers(GArray *zones, const member_t *member)
{
	zone_keepers_t *entry = find_or_add_zone(zones, member->zone);

	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		if (member->keeper_epochs[i] <= entry->locations[i].epoch)
			continue;
		entry->locations[i].epoch = member->keeper_epochs[i];
		g_strlcpy(entry->locations[i].address, member->address,
			  ADDRESS_TEXT_BYTES);
	}
}

/* Rendezvous hashing: the node with the highest score is the candidate. */
static uint64_t candidate_score(const char *address, uint32_t index)
{
	return XXH64(address, strlen(address), index);
}

/* Rebuilds the list of all zones' keepers from the directory. Sets candidate[i] if
 * partition i has no keeper in this node's zone and this node has the highest score. */
static void scan_directory(leases_io_t *io, bool candidate[KEEPER_PARTITIONS])
{
	node_t *node = io->node;
	GArray *zones = g_array_new(FALSE, TRUE, sizeof(zone_keepers_t));
	uint64_t best[KEEPER_PARTITIONS] = {0};
	const member_t *member;

	pthread_mutex_lock(&node->gossip_lock);
	find_or_add_zone(zones, node->settings->zone);
	LIST_FOREACH(member, directory_members(gossip_directory(node->gossip)), link)
	{
		if (member->state > EGRET__MEMBER_STATE__MEMBER_SUSPECT)
			continue;
		add_keepers(zones, member);
		if (!member->ready || strcmp(member->zone, node->settings->zone) != 0)
			continue;
		for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
			best[i] = MAX(best[i], candidate_score(member->address, i));
	}
	pthread_mutex_unlock(&node->gossip_lock);
	const zone_keepers_t *own = find_or_add_zone(zones, node->settings->zone);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		candidate[i] = own->locations[i].epoch == 0 &&
			       best[i] == candidate_score(node->address, i);
	pthread_mutex_lock(&node->account_lock);
	GArray *old = node->accounts->zones;
	node->accounts->zones = zones;
	pthread_mutex_unlock(&node->account_lock);
	g_array_free(old, TRUE);
}

/* --- Reading and acquiring a lease --------------------------------------- */

typedef struct lease_row {
	uint64_t revision;
	uint64_t epoch;
	uint64_t holder; /* node id, 0 for none */
	uint32_t lent_milli;
} lease_row_t;

/* An absent row has revision 0 and no holder. */
static lease_row_t decode_lease(const store_row_t *rows, size_t count)
{
	lease_row_t row = {0};
	json_t *json =
		count == 1 && rows[0].value ? json_loads(rows[0].value, 0, NULL) : NULL;
	const char *id = json_string_value(json_object_get(json, "node"));

	row.revision = count == 1 ? rows[0].revision : 0;
	row.epoch = (uint64_t)json_integer_value(json_object_get(json, "epoch"));
	row.holder = id ? g_ascii_strtoull(id, NULL, 16) : 0;
	row.lent_milli =
		(uint32_t)json_integer_value(json_object_get(json, "lent_milli"));
	json_decref(json);
	return row;
}

static void handle_lease_row(void *ctx, uint64_t revision, const store_row_t *rows,
			     size_t count, const GError *error)
{
	(void)revision;
	partition_io_t *partition = ctx;
	leases_io_t *io = partition->io;
	node_t *node = io->node;
	lease_t *lease = keeper_lease(node->accounts->keeper, partition->index);
	usec_t now = clock_boot_usec();

	partition->next_read_at = now + (error ? READ_BACKOFF : OBSERVE_PERIOD);
	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		pthread_mutex_lock(&node->account_lock);
		if (lease->state == LEASE_READING)
			lease_drop(lease);
		pthread_mutex_unlock(&node->account_lock);
		return;
	}
	lease_row_t row = decode_lease(rows, count);
	pthread_mutex_lock(&node->account_lock);
	if (lease->state == LEASE_READING || lease->state == LEASE_OBSERVING)
		lease_row_read(lease, now, row.revision, row.epoch, row.holder == 0,
			       row.lent_milli);
	pthread_mutex_unlock(&node->account_lock);
}

static void read_lease(partition_io_t *partition)
{
	char *key = lease_key(partition->io, partition->index);

	store_get(partition->io->store, key, handle_lease_row, partition);
	g_free(key);
}

static void handle_acquired(void *ctx, uint64_t revision, const GError *error)
{
	partition_io_t *partition = ctx;
	leases_io_t *io = partition->io;
	node_t *node = io->node;
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->account_lock);
	lease_t *lease = keeper_lease(node->accounts->keeper, partition->index);
	if (error)
		lease_commit_failed(lease, now, error->code == EGRET_ERROR_CONFLICT);
	else
		lease_commit_succeeded(lease, now, revision);
	bool held = lease->state == LEASE_HELD;
	uint64_t epoch = lease->epoch;
	if (held)
		keeper_drop_lenders(node->accounts->keeper, partition->index);
	pthread_mutex_unlock(&node->account_lock);
	partition->next_read_at = now + READ_BACKOFF;
	if (!held)
		return;
	counter_add(COUNTER_LEASES_WON, 1);
	log_lease_change(io, partition->index, "taken", epoch);
	portions_io_replan(io->portions, partition->index, now);
	io->leases_changed = true;
}

static void acquire_lease(partition_io_t *partition, const lease_t *lease)
{
	char *key = lease_key(partition->io, partition->index);
	char *value = lease_value(partition->io, lease->epoch + 1, true, 0);
	store_write_t write = {
		.key = key, .expected_revision = lease->revision, .value = value};

	store_commit(partition->io->store, &write, 1, handle_acquired, partition);
	free(value);
	g_free(key);
}

/* --- Renewal ------------------------------------------------------------- */

typedef struct renewal {
	leases_io_t *io;
	bool partitions[KEEPER_PARTITIONS];
} renewal_t;

/* Handles the read of a lease row after a failed renewal. Keeps the lease if the row
 * still names this node and its epoch, and drops it otherwise. The row's revision is new
 * if the result of the commit was unknown and the commit was applied. */
static void handle_reread(void *ctx, uint64_t revision, const store_row_t *rows,
			  size_t count, const GError *error)
{
	(void)revision;
	partition_io_t *partition = ctx;
	leases_io_t *io = partition->io;
	node_t *node = io->node;

	partition->reread_in_flight = false;
	if (error && error->code != EGRET_ERROR_NOT_FOUND)
		return;
	lease_row_t row = decode_lease(rows, count);
	pthread_mutex_lock(&node->account_lock);
	lease_t *lease = keeper_lease(node->accounts->keeper, partition->index);
	bool still_held = row.holder == node->node_id && row.epoch == lease->epoch;
	if (still_held)
		lease->revision = row.revision;
	else
		lease_drop(lease);
	if (!still_held)
		keeper_drop_lenders(node->accounts->keeper, partition->index);
	pthread_mutex_unlock(&node->account_lock);
	if (still_held)
		return;
	counter_add(COUNTER_LEASES_LOST, 1);
	log_lease_change(io, partition->index, "lost", row.epoch);
	io->leases_changed = true;
}

static void reread_lease(partition_io_t *partition)
{
	char *key = lease_key(partition->io, partition->index);

	if (!partition->reread_in_flight) {
		partition->reread_in_flight = true;
		store_get(partition->io->store, key, handle_reread, partition);
	}
	g_free(key);
}

static void handle_renewed(void *ctx, uint64_t revision, const GError *error)
{
	renewal_t *renewal = ctx;
	node_t *node = renewal->io->node;
	usec_t now = clock_boot_usec();

	pthread_mutex_lock(&node->account_lock);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		lease_t *lease = keeper_lease(node->accounts->keeper, i);
		if (!renewal->partitions[i] || lease->state != LEASE_HELD)
			continue;
		if (error)
			lease_commit_failed(lease, now, false);
		else
			lease_commit_succeeded(lease, now, revision);
	}
	pthread_mutex_unlock(&node->account_lock);
	for (uint32_t i = 0; error && i < KEEPER_PARTITIONS; i++) {
		if (renewal->partitions[i])
			reread_lease(&renewal->io->partitions[i]);
	}
	g_free(renewal);
}

static void renew_leases(leases_io_t *io, const bool due[KEEPER_PARTITIONS])
{
	node_t *node = io->node;
	store_write_t writes[KEEPER_PARTITIONS];
	char *keys[KEEPER_PARTITIONS];
	char *values[KEEPER_PARTITIONS];
	size_t count = 0;
	renewal_t *renewal = g_new0(renewal_t, 1);
	usec_t now = clock_boot_usec();

	renewal->io = io;
	pthread_mutex_lock(&node->account_lock);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		lease_t *lease = keeper_lease(node->accounts->keeper, i);
		if (!due[i] || lease->state != LEASE_HELD)
			continue;
		renewal->partitions[i] = true;
		lease_commit_sent(lease, now);
		keys[count] = lease_key(io, i);
		values[count] = lease_value(io, lease->epoch, true, 0);
		writes[count] = (store_write_t){.key = keys[count],
						.expected_revision = lease->revision,
						.value = values[count]};
		count++;
	}
	pthread_mutex_unlock(&node->account_lock);
	if (count > 0)
		store_commit(io->store, writes, count, handle_renewed, renewal);
	else
		g_free(renewal);
	for (size_t i = 0; i < count; i++) {
		g_free(keys[i]);
		free(values[i]);
	}
}

/* --- Periodic step ------------------------------------------------------- */

static void step_partition(partition_io_t *partition, bool candidate, usec_t now,
			   bool *due)
{
	node_t *node = partition->io->node;

	pthread_mutex_lock(&node->account_lock);
	lease_t *lease = keeper_lease(node->accounts->keeper, partition->index);
	lease_action_t action = lease_next_action(lease, now, candidate);
	if (action == LEASE_DO_READ && now < partition->next_read_at)
		action = LEASE_DO_NOTHING;
	if (action == LEASE_DO_READ)
		lease_read_started(lease);
	/* An observed row is read repeatedly, since its holder may release it. */
	bool read_again = lease->state == LEASE_OBSERVING && action == LEASE_DO_NOTHING &&
			  now >= partition->next_read_at;
	if (action == LEASE_DO_ACQUIRE)
		lease_commit_sent(lease, now);
	if (action == LEASE_DO_DROP) {
		if (lease->state == LEASE_HELD)
			partition->io->leases_changed = true;
		lease_drop(lease);
		keeper_drop_lenders(node->accounts->keeper, partition->index);
	}
	lease_t copy = *lease;
	pthread_mutex_unlock(&node->account_lock);
	*due = action == LEASE_DO_RENEW;
	if (read_again)
		partition->next_read_at = now + OBSERVE_PERIOD;
	if (action == LEASE_DO_READ || read_again)
		read_lease(partition);
	else if (action == LEASE_DO_ACQUIRE)
		acquire_lease(partition, &copy);
	if (copy.state == LEASE_HELD)
		portions_io_step(partition->io->portions, partition->index, now);
}

static void step(leases_io_t *io)
{
	bool candidate[KEEPER_PARTITIONS];
	bool due[KEEPER_PARTITIONS];
	usec_t now = clock_boot_usec();

	scan_directory(io, candidate);
	portions_io_check_zones(io->portions, now);
	if (io->released || !atomic_load(&io->node->ready))
		return;
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++)
		step_partition(&io->partitions[i], candidate[i], now, &due[i]);
	renew_leases(io, due);
	confirm_step(io->confirm, now);
	if (io->leases_changed) {
		io->leases_changed = false;
		node_update_member(io->node);
	}
}

static void schedule_step(leases_io_t *io);

static void handle_step_timer(struct tevent_context *ev, struct tevent_timer *te,
			      struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	leases_io_t *io = private_data;

	step(io);
	schedule_step(io);
}

static void schedule_step(leases_io_t *io)
{
	io->timer =
		tevent_add_timer(io->ev, io, tevent_timeval_current_ofs(0, STEP_PERIOD),
				 handle_step_timer, io);
}

leases_io_t *leases_io_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			      store_t *store)
{
	leases_io_t *io = talloc_zero(parent, leases_io_t);

	io->node = node;
	io->store = store;
	io->ev = ev;
	io->confirm = confirm_create(io, ev, node);
	io->portions = portions_io_create(io, node, store);
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		io->partitions[i].io = io;
		io->partitions[i].index = i;
	}
	schedule_step(io);
	return io;
}

void leases_io_destroy(leases_io_t *io)
{
	if (!io)
		return;
	portions_io_destroy(io->portions);
	confirm_destroy(io->confirm);
	talloc_free(io);
}

static void handle_released(void *ctx, uint64_t revision, const GError *error)
{
	leases_io_t *io = ctx;

	(void)revision;
	if (error)
		log_failure("release keeper leases", error);
	/* The member entry changes last, so that a candidate finds the row released. */
	node_update_member(io->node);
}

void leases_io_release(leases_io_t *io)
{
	node_t *node = io->node;
	usec_t now = clock_boot_usec();

	io->released = true;
	for (uint32_t i = 0; i < KEEPER_PARTITIONS; i++) {
		pthread_mutex_lock(&node->account_lock);
		lease_t *lease = keeper_lease(node->accounts->keeper, i);
		lease_t copy = *lease;
		uint32_t lent_milli = keeper_lent_milli(node->accounts->keeper, i, now);
		lease_drop(lease);
		pthread_mutex_unlock(&node->account_lock);
		if (copy.state != LEASE_HELD)
			continue;
		char *key = lease_key(io, i);
		char *value = lease_value(io, copy.epoch, false, lent_milli);
		store_write_t write = {
			.key = key, .expected_revision = copy.revision, .value = value};
		store_commit(io->store, &write, 1, handle_released, io);
		free(value);
		g_free(key);
		log_lease_change(io, i, "released", copy.epoch);
	}
}
