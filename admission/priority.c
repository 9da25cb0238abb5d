#include "admission/priority.h"

#include <glib.h>
#include <xxhash.h>

#define IMPORTANCE_MAX 9u
#define RANK_HASH_SEED 0x72616e6bu

priority_t priority_make(uint32_t importance, uint32_t rank)
{
	importance = MIN(importance, IMPORTANCE_MAX);
	rank = MIN(rank, PRIORITY_RANK_MAX);
	return ((IMPORTANCE_MAX - importance) << PRIORITY_RANK_BITS) | rank;
}

uint32_t priority_rank(const char *request_id, double demand_ratio)
{
	uint64_t hash = XXH64(request_id, strlen(request_id), RANK_HASH_SEED);
	double h = (double)(hash >> 11) / (double)(1ull << 53);
	double rank = CLAMP(demand_ratio, 0.0, 4.0) * h * RANK_PER_UNIT;

	return MIN((uint32_t)rank, PRIORITY_RANK_MAX);
}

priority_t priority_level_aged(priority_t level, usec_t age)
{
	double fraction_left = (double)(SHED_LEVEL_LIFETIME_USEC - age) /
			       (double)(SHED_LEVEL_LIFETIME_USEC - SHED_LEVEL_HOLD_USEC);
	double gap = (double)(PRIORITY_LEVEL_ALL - level);

	return PRIORITY_LEVEL_ALL - (priority_t)(gap * CLAMP(fraction_left, 0.0, 1.0));
}
