#ifndef EGRET_COMMON_HISTOGRAM_H
#define EGRET_COMMON_HISTOGRAM_H

#include <stdint.h>

/*
 * NAME
 *	histogram - log-linear histogram for percentiles of durations
 *
 * DESCRIPTION
 *	Values are microseconds. The relative error of a percentile is below 2 %.
 *
 * THREADS
 *	A histogram is not locked: one thread at a time.
 */

typedef struct histogram histogram_t;

histogram_t *histogram_create(void);
void histogram_destroy(histogram_t *histogram);

/* A negative value counts as 0. */
void histogram_add(histogram_t *histogram, int64_t value);
uint64_t histogram_count(const histogram_t *histogram);

/* Returns the percentile for `fraction` (0 to 1), or 0 if the histogram is empty. */
int64_t histogram_percentile(const histogram_t *histogram, double fraction);

#endif
