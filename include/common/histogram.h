#ifndef EGRET_COMMON_HISTOGRAM_H
#define EGRET_COMMON_HISTOGRAM_H

#include <stdint.h>

/*
 * NAME
 *	histogram - log-linear counts of durations for percentiles
 *
 * DESCRIPTION
 *	Values are microseconds; the error is below 2 %.
 */

typedef struct histogram histogram_t;

histogram_t *histogram_create(void);
void histogram_destroy(histogram_t *histogram);

void histogram_add(histogram_t *histogram, int64_t value);
uint64_t histogram_count(const histogram_t *histogram);

/* The value below which `fraction` (0 to 1) of the values lie; 0 if empty. */
int64_t histogram_percentile(const histogram_t *histogram, double fraction);

#endif
