#ifndef EGRET_ADMISSION_SHED_LEVEL_H
#define EGRET_ADMISSION_SHED_LEVEL_H

#include "admission/priority.h"
#include "common/clock.h"

#include <stdbool.h>

/*
 * NAME
 *	shed_level - the level that a gate tells the hops before it
 *
 * DESCRIPTION
 *	In each window the arrivals' priorities are counted. If some were shed,
 *	the level is set so that as many arrivals lie below it as were served; if
 *	none were, it rises: by single buckets while calls wait at the gate, which
 *	is then at its capacity, and otherwise in doubling steps, so that an end of
 *	overload is noticed within a second.
 */

typedef struct shed_level shed_level_t;

shed_level_t *shed_level_create(void);
void shed_level_destroy(shed_level_t *level);

/* A request arrived; the gate will either serve or shed it. */
void shed_level_arrival(shed_level_t *level, usec_t now, priority_t priority);
void shed_level_shed(shed_level_t *level);
/* A request had to wait at the gate. */
void shed_level_wait(shed_level_t *level);

/* The present level: priorities below it are admitted. */
priority_t shed_level_value(shed_level_t *level, usec_t now);

#endif
