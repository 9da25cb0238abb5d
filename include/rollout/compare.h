#ifndef EGRET_ROLLOUT_COMPARE_H
#define EGRET_ROLLOUT_COMPARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	compare - whether a new version is worse than the old one
 *
 * DESCRIPTION
 *	Compares counts of responses by route and zone: failures, and for each time
 *	the responses of the new version that took at least twice that time against
 *	those of the old version that took at least that time. A version is bad if on
 *	one route, or on all of them together, the number of bad responses exceeds the
 *	number that the old version explains by 4.5 standard deviations, and if this
 *	is not the work of one instance or of one zone alone.
 *
 * THREADS
 *	Pure functions.
 */

/* Bucket i holds times from 2^(i/2) ms; the last has no upper limit. */
#define COMPARE_TIME_BUCKETS 26

/* Counts of one version, route, zone and instance. Routes, zones and instances are
 * hashes of their names. */
typedef struct rollout_cell {
	bool is_new;
	uint64_t route;
	uint64_t zone;
	uint64_t instance; /* 0 for the old version */
	uint32_t responses;
	uint32_t failures;
	uint32_t lost;
	uint32_t times[COMPARE_TIME_BUCKETS]; /* of good responses, not of cold instances
					       */
} rollout_cell_t;

typedef enum compare_verdict {
	COMPARE_GOOD,	 /* no sign of a bad version */
	COMPARE_LOCAL,	 /* bad in one instance or zone, and not elsewhere */
	COMPARE_OPEN,	 /* bad, but hardly tested outside of one instance or zone */
	COMPARE_SUSPECT, /* worse than noise explains, but the evidence is weak */
	COMPARE_WORSE,
} compare_verdict_t;

typedef struct compare_result {
	compare_verdict_t verdict;
	bool slow; /* the comparison was one of times */
	uint64_t bad;
	double expected; /* number of bad responses that the old version explains */
	double deviations;
	uint64_t responses_new;
	uint64_t responses_old;
} compare_result_t;

/* Whether the first result has the worse verdict, or the stronger evidence for the same.
 */
bool compare_is_worse(const compare_result_t *a, const compare_result_t *b);

/* Writes the worst comparison. */
void compare_versions(const rollout_cell_t *cells, size_t count, compare_result_t *out);

#endif
