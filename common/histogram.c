#include "common/histogram.h"

#include <glib.h>

/* Each power of two has 64 linear buckets, which keeps the relative error below 2 %. */
#define SUB_BITS 6
#define SUB_COUNT (1 << SUB_BITS)
#define BUCKET_COUNT (64 * SUB_COUNT)

struct histogram {
	uint64_t counts[BUCKET_COUNT];
	uint64_t total;
};

histogram_t *histogram_create(void)
{
	return g_new0(histogram_t, 1);
}

void histogram_destroy(histogram_t *histogram)
{
	g_free(histogram);
}

static int bucket_index(uint64_t value)
{
	if (value < SUB_COUNT)
		return (int)value;
	int shift = 63 - __builtin_clzll(value) - SUB_BITS;
	return (shift + 1) * SUB_COUNT + (int)((value >> shift) - SUB_COUNT);
}

static int64_t bucket_lower_bound(int bucket)
{
	if (bucket < SUB_COUNT)
		return bucket;
	int shift = bucket / SUB_COUNT - 1;
	return (int64_t)(SUB_COUNT + bucket % SUB_COUNT) << shift;
}

void histogram_add(histogram_t *histogram, int64_t value)
{
	histogram->counts[bucket_index((uint64_t)MAX(value, 0))]++;
	histogram->total++;
}

uint64_t histogram_count(const histogram_t *histogram)
{
	return histogram->total;
}

int64_t histogram_percentile(const histogram_t *histogram, double fraction)
{
	uint64_t rank = (uint64_t)(fraction * (double)histogram->total);
	uint64_t cumulative = 0;

	for (int i = 0; i < BUCKET_COUNT; i++) {
		cumulative += histogram->counts[i];
		if (cumulative > rank)
			return bucket_lower_bound(i);
	}
	return 0;
}
