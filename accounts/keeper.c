#include "accounts/keeper.h"

#include "accounts/lender.h"
#include "common/counters.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define PARTITION_SEED 0x6b656570u
#define PORTION_RAISE_PRESSURE 0.9
#define PORTION_LOWER_PRESSURE 0.3
#define PORTION_STEP_DIVISOR 5u

typedef struct partition {
	lease_t lease;
	uint32_t portion_milli;
	usec_t portion_set_at;
	uint64_t newest_epoch;
	GHashTable *lenders; /* account -> lender_t */
} partition_t;

struct keeper {
	partition_t partitions[KEEPER_PARTITIONS];
};

uint32_t account_partition(const char *account)
{
	return (uint32_t)(XXH64(account, strlen(account), PARTITION_SEED) %
			  KEEPER_PARTITIONS);
}

keeper_t *keeper_create(void)
{
	keeper_t *keeper = g_new0(keeper_t, 1);

	for (int i = 0; i < KEEPER_PARTITIONS; i++)
		keeper->partitions[i].lenders = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, (GDestroyNotify)lender_destroy);
	return keeper;
}

void keeper_destroy(keeper_t *keeper)
{
	if (!keeper)
		return;
	for (int i = 0; i < KEEPER_PARTITIONS; i++)
		g_hash_table_destroy(keeper->partitions[i].lenders);
	g_free(keeper);
}

lease_t *keeper_lease(keeper_t *keeper, uint32_t partition)
{
	return &keeper->partitions[partition].lease;
}

void keeper_set_portion(keeper_t *keeper, uint32_t index, uint32_t milli, usec_t now)
{
	partition_t *partition = &keeper->partitions[index];

	if (milli != partition->portion_milli)
		partition->portion_set_at = now;
	partition->portion_milli = MIN(milli, PORTION_FULL_MILLI);
}

uint32_t keeper_portion(const keeper_t *keeper, uint32_t partition)
{
	return keeper->partitions[partition].portion_milli;
}

void keeper_drop_lenders(keeper_t *keeper, uint32_t partition)
{
	g_hash_table_remove_all(keeper->partitions[partition].lenders);
}

static lender_t *find_or_add_lender(partition_t *partition, const char *account,
				    double rate, double burst, usec_t now)
{
	lender_t *lender = g_hash_table_lookup(partition->lenders, account);

	if (!lender) {
		usec_t since = MAX(partition->lease.lend_from, partition->portion_set_at);
		lender = lender_create(MIN(since, now), now, rate, burst);
		if (partition->lease.predecessor_released &&
		    now < partition->lease.predecessor_loans_end)
			lender_reserve(lender,
				       burst * partition->lease.predecessor_lent_milli /
					       PORTION_FULL_MILLI,
				       partition->lease.predecessor_loans_end, now);
		g_hash_table_insert(partition->lenders, g_strdup(account), lender);
	} else {
		lender_resize(lender, now, rate, burst);
	}
	return lender;
}

void keeper_lend(keeper_t *keeper, const char *account, double rate, double burst,
		 const loan_request_t *request, usec_t now, loan_reply_t *reply)
{
	partition_t *partition = &keeper->partitions[account_partition(account)];
	double portion = (double)partition->portion_milli / PORTION_FULL_MILLI;

	*reply = (loan_reply_t){.loan_id = request->loan_id,
				.sequence = request->sequence};
	if (!lease_may_lend(&partition->lease, now) || partition->portion_milli == 0)
		return;
	lender_t *lender = find_or_add_lender(partition, account, rate * portion,
					      burst * portion, now);
	lender_handle_request(lender, now, request, reply);
	counter_add(COUNTER_LOANS, 1);
}

double keeper_pressure(keeper_t *keeper, uint32_t index, usec_t now)
{
	GHashTableIter iter;
	void *value;
	double pressure = 0;

	g_hash_table_iter_init(&iter, keeper->partitions[index].lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pressure = fmax(pressure, lender_pressure(value, now));
	return pressure;
}

uint32_t keeper_lent_milli(keeper_t *keeper, uint32_t index, usec_t now)
{
	GHashTableIter iter;
	void *value;
	const lease_t *lease = &keeper->partitions[index].lease;
	double lent = 0;

	/* The predecessor's loans may still be in use: count them as lent. */
	if (now < lease->predecessor_loans_end)
		lent = (double)lease->predecessor_lent_milli / PORTION_FULL_MILLI;
	g_hash_table_iter_init(&iter, keeper->partitions[index].lenders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lent = fmax(lent, lender_lent_ratio(value, now));
	return (uint32_t)ceil(lent * PORTION_FULL_MILLI);
}

uint64_t keeper_observe_epoch(keeper_t *keeper, uint32_t index, uint64_t epoch)
{
	partition_t *partition = &keeper->partitions[index];
	uint64_t known = partition->newest_epoch;

	if (partition->lease.state == LEASE_HELD)
		known = MAX(known, partition->lease.epoch);
	if (known > epoch)
		return known;
	partition->newest_epoch = epoch;
	if (partition->lease.state == LEASE_HELD && partition->lease.epoch < epoch) {
		lease_drop(&partition->lease);
		keeper_drop_lenders(keeper, index);
		counter_add(COUNTER_LEASES_LOST, 1);
	}
	return 0;
}

uint32_t portion_plan(uint32_t own, uint32_t free, uint32_t fair, double pressure,
		      bool starved)
{
	uint32_t step = MAX(fair / PORTION_STEP_DIVISOR, 1);

	if (own < fair)
		return own + MIN(fair - own, free);
	if (starved)
		return fair;
	if (pressure > PORTION_RAISE_PRESSURE)
		return own + MIN(step, free);
	if (pressure < PORTION_LOWER_PRESSURE && own > fair + step)
		return own - step;
	return own;
}
