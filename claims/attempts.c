#include "claims/attempts.h"

#include <glib.h>
#include <sys/queue.h>

typedef enum attempt_state {
	ATTEMPT_RUNNING,
	ATTEMPT_FINISHED,
	ATTEMPT_FENCED,
} attempt_state_t;

typedef struct attempt {
	TAILQ_ENTRY(attempt) link; /* in `ended`, oldest first */
	uint64_t id;
	attempt_state_t state;
	usec_t state_since;
} attempt_t;

TAILQ_HEAD(attempt_list, attempt);

struct attempts {
	GHashTable *by_id;	   /* id -> attempt_t */
	struct attempt_list ended; /* finished and fenced, oldest first */
};

attempts_t *attempts_create(void)
{
	attempts_t *attempts = g_new0(attempts_t, 1);

	attempts->by_id =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&attempts->ended);
	return attempts;
}

void attempts_destroy(attempts_t *attempts)
{
	if (!attempts)
		return;
	g_hash_table_destroy(attempts->by_id);
	g_free(attempts);
}

static void evict_expired(attempts_t *attempts, usec_t now)
{
	attempt_t *oldest = TAILQ_FIRST(&attempts->ended);

	while (oldest && now - oldest->state_since > ATTEMPT_RETENTION) {
		TAILQ_REMOVE(&attempts->ended, oldest, link);
		g_hash_table_remove(attempts->by_id, &oldest->id);
		oldest = TAILQ_FIRST(&attempts->ended);
	}
}

static attempt_t *add_attempt(attempts_t *attempts, uint64_t id, attempt_state_t state,
			      usec_t now)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->id = id;
	attempt->state = state;
	attempt->state_since = now;
	g_hash_table_insert(attempts->by_id, &attempt->id, attempt);
	return attempt;
}

bool attempts_start(attempts_t *attempts, uint64_t id, usec_t now)
{
	evict_expired(attempts, now);
	if (g_hash_table_contains(attempts->by_id, &id))
		return false;
	add_attempt(attempts, id, ATTEMPT_RUNNING, now);
	return true;
}

void attempts_finish(attempts_t *attempts, uint64_t id, usec_t now)
{
	attempt_t *attempt = g_hash_table_lookup(attempts->by_id, &id);

	if (!attempt || attempt->state != ATTEMPT_RUNNING)
		return;
	attempt->state = ATTEMPT_FINISHED;
	attempt->state_since = now;
	TAILQ_INSERT_TAIL(&attempts->ended, attempt, link);
}

bool attempts_fence(attempts_t *attempts, uint64_t id, usec_t age, usec_t now)
{
	evict_expired(attempts, now);
	attempt_t *attempt = g_hash_table_lookup(attempts->by_id, &id);
	if (attempt)
		return attempt->state == ATTEMPT_FENCED;
	/* The entry of an attempt that did start may have been evicted. */
	if (age > ATTEMPT_FENCE_AGE_MAX)
		return false;
	attempt = add_attempt(attempts, id, ATTEMPT_FENCED, now);
	TAILQ_INSERT_TAIL(&attempts->ended, attempt, link);
	return true;
}

uint32_t attempts_count(const attempts_t *attempts)
{
	return g_hash_table_size(attempts->by_id);
}
