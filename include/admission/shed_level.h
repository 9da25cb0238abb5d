#ifndef EGRET_ADMISSION_SHED_LEVEL_H
#define EGRET_ADMISSION_SHED_LEVEL_H

#include "admission/priority.h"
#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	shed_level - shed level that a gate reports to its upstream callers
 *
 * DESCRIPTION
 *	Counts the priorities of the arrivals in each window of 100 ms, in buckets.
 *	If requests were shed in a window, the level is set so that as many of its
 *	arrivals lie below the level as were served. Otherwise the level rises: by
 *	one bucket per window while calls wait at the gate, since the gate then works
 *	at capacity, and in doubling steps if none waited, so that the end of an
 *	overload is reported within a second.
 */

typedef struct shed_level shed_level_t;

shed_level_t *shed_level_create(void);
void shed_level_destroy(shed_level_t *level);

/* Counts a request that arrived; the gate either serves or sheds it. */
void shed_level_count_arrival(shed_level_t *level, usec_t now, priority_t priority);
/* Counts a request that the gate shed, after its arrival. */
void shed_level_count_shed(shed_level_t *level);
/* Counts a request that had to wait at the gate. */
void shed_level_count_wait(shed_level_t *level);

/* Returns the current level; priorities below it are admitted. */
priority_t shed_level_value(shed_level_t *level, usec_t now);

#endif
