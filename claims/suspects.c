#include "claims/suspects.h"

#include <glib.h>
#include <sys/queue.h>

/* Calls lost within this time after a crash began belong to that crash. */
#define CRASH_MERGE_SPAN USEC_PER_SEC
#define ENTRIES_MAX 16384
/* Requests with this score are refused. */
#define SCORE_REFUSED 6
#define REFUSE_TIME_FACTOR 4
/* A fingerprint is kept for this many times its last refusal. */
#define MEMORY_FACTOR 4
/* Crashes whose ids are kept, to count each of them once: as many as a refusal can need.
 */
#define CRASH_IDS SCORE_REFUSED

static const uint32_t scores[SUSPECT_EVIDENCE_COUNT] = {
	[SUSPECT_ALONE] = SCORE_REFUSED / SUSPECT_CRASH_THRESHOLD,
	[SUSPECT_RECENT] = 2,
	[SUSPECT_EARLIER] = 1,
};

typedef struct suspect {
	TAILQ_ENTRY(suspect) link; /* in `completed` or `crashed` */
	uint64_t fingerprint;
	uint64_t crash_ids[CRASH_IDS]; /* the last ones */
	uint32_t crash_count;	       /* crashes counted, also those no longer kept */
	uint32_t score;
	usec_t refuse_time; /* length of the last refusal; 0 before the first */
	usec_t last_crash;
	usec_t last_success;
} suspect_t;

TAILQ_HEAD(suspect_list, suspect);

struct suspects {
	GHashTable *entries; /* fingerprint -> suspect_t */
	/* Each entry is in one of the lists, the one changed last at the end. */
	struct suspect_list completed; /* without a crash */
	struct suspect_list crashed;
	uint64_t last_crash_id;
	usec_t last_crash_start;
	bool has_crashed;
};

suspects_t *suspects_create(void)
{
	suspects_t *suspects = g_new0(suspects_t, 1);

	suspects->entries =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&suspects->completed);
	TAILQ_INIT(&suspects->crashed);
	return suspects;
}

void suspects_destroy(suspects_t *suspects)
{
	if (!suspects)
		return;
	g_hash_table_destroy(suspects->entries);
	g_free(suspects);
}

static bool is_exempt(const suspect_t *suspect, usec_t now)
{
	return suspect->last_success && now - suspect->last_success < SUSPECT_EXEMPT_TIME;
}

static bool is_remembered(const suspect_t *suspect, usec_t now)
{
	return now - suspect->last_crash <
	       MAX(SUSPECT_MEMORY_TIME, MEMORY_FACTOR * suspect->refuse_time);
}

static void clear_crashes(suspect_t *suspect)
{
	suspect->crash_count = 0;
	suspect->score = 0;
	suspect->refuse_time = 0;
}

static struct suspect_list *list_of(suspects_t *suspects, const suspect_t *suspect)
{
	return suspect->score ? &suspects->crashed : &suspects->completed;
}

/* Evicts the entry whose loss matters least: the oldest without a crash, or the oldest
 * one if all have crashes. */
static void evict_one(suspects_t *suspects)
{
	suspect_t *suspect = TAILQ_FIRST(&suspects->completed);

	if (!suspect)
		suspect = TAILQ_FIRST(&suspects->crashed);
	TAILQ_REMOVE(list_of(suspects, suspect), suspect, link);
	g_hash_table_remove(suspects->entries, &suspect->fingerprint);
}

/* Returns the entry, removed from its list; the caller changes it and then calls
 * put_back(). */
static suspect_t *take_suspect(suspects_t *suspects, uint64_t fingerprint)
{
	suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	if (suspect) {
		TAILQ_REMOVE(list_of(suspects, suspect), suspect, link);
		return suspect;
	}
	if (g_hash_table_size(suspects->entries) >= ENTRIES_MAX)
		evict_one(suspects);
	suspect = g_new0(suspect_t, 1);
	suspect->fingerprint = fingerprint;
	g_hash_table_insert(suspects->entries, &suspect->fingerprint, suspect);
	return suspect;
}

static void put_back(suspects_t *suspects, suspect_t *suspect)
{
	TAILQ_INSERT_TAIL(list_of(suspects, suspect), suspect, link);
}

uint64_t suspects_crash_id(suspects_t *suspects, uint64_t new_id, usec_t now)
{
	if (!suspects->has_crashed ||
	    now - suspects->last_crash_start > CRASH_MERGE_SPAN) {
		suspects->last_crash_id = new_id;
		suspects->last_crash_start = now;
		suspects->has_crashed = true;
	}
	return suspects->last_crash_id;
}

static bool was_counted(const suspect_t *suspect, uint64_t crash_id)
{
	for (uint32_t i = 0; i < MIN(suspect->crash_count, CRASH_IDS); i++) {
		if (suspect->crash_ids[i] == crash_id)
			return true;
	}
	return false;
}

/* A request that was refused before had its one try. */
static void update_refusal(suspect_t *suspect)
{
	if (suspect->score < SCORE_REFUSED)
		return;
	suspect->refuse_time = suspect->refuse_time
				       ? MIN(REFUSE_TIME_FACTOR * suspect->refuse_time,
					     SUSPECT_REFUSE_TIME_MAX)
				       : SUSPECT_REFUSE_TIME;
}

static bool is_refused(const suspect_t *suspect, usec_t now)
{
	return suspect->refuse_time && now - suspect->last_crash < suspect->refuse_time;
}

/* Adds a crash; returns false if it was counted before. A crash during a refusal is of a
 * request that was on its way when the refusal began, and does not extend it. */
static bool add_crash(suspect_t *suspect, uint64_t crash_id, suspect_evidence_t evidence,
		      usec_t when, usec_t now)
{
	if (!is_remembered(suspect, now))
		clear_crashes(suspect);
	if (was_counted(suspect, crash_id))
		return false;
	suspect->crash_ids[suspect->crash_count++ % CRASH_IDS] = crash_id;
	bool extends = !is_refused(suspect, when);
	suspect->score += scores[evidence];
	suspect->last_crash = MAX(suspect->last_crash, when);
	if (extends)
		update_refusal(suspect);
	return true;
}

static bool handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash_id,
			 suspect_evidence_t evidence, usec_t when, usec_t now)
{
	suspect_t *suspect = take_suspect(suspects, fingerprint);
	bool counted = !is_exempt(suspect, now) &&
		       add_crash(suspect, crash_id, evidence, when, now);

	put_back(suspects, suspect);
	return counted;
}

bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash_id,
			   suspect_evidence_t evidence, usec_t now)
{
	return handle_crash(suspects, fingerprint, crash_id, evidence, now, now);
}

bool suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash_id, suspect_evidence_t evidence,
				  usec_t age, usec_t now)
{
	return handle_crash(suspects, fingerprint, crash_id, evidence, now - age, now);
}

void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	suspect_t *suspect = take_suspect(suspects, fingerprint);

	suspect->last_success = now;
	clear_crashes(suspect);
	put_back(suspects, suspect);
}

void suspects_handle_remote_success(suspects_t *suspects, uint64_t fingerprint,
				    usec_t now)
{
	if (g_hash_table_contains(suspects->entries, &fingerprint))
		suspects_handle_success(suspects, fingerprint, now);
}

bool suspects_is_exempt(const suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	return suspect && is_exempt(suspect, now);
}

bool suspects_is_refused(const suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	return suspect && is_refused(suspect, now);
}

bool suspects_is_on_probation(const suspects_t *suspects, uint64_t fingerprint,
			      usec_t now)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	return suspect && suspect->score + scores[SUSPECT_ALONE] >= SCORE_REFUSED &&
	       is_remembered(suspect, now);
}

uint32_t suspects_list_refusals(const suspects_t *suspects, usec_t now,
				suspect_refusal_t out[SUSPECT_REFUSALS_MAX])
{
	const suspect_t *suspect;
	uint32_t count = 0;

	TAILQ_FOREACH_REVERSE(suspect, &suspects->crashed, suspect_list, link)
	{
		if (count == SUSPECT_REFUSALS_MAX)
			break;
		if (!suspect->refuse_time || !is_remembered(suspect, now))
			continue;
		out[count++] = (suspect_refusal_t){
			.fingerprint = suspect->fingerprint,
			.refuse_time = suspect->refuse_time,
			.age = now - suspect->last_crash,
		};
	}
	return count;
}

void suspects_add_refusal(suspects_t *suspects, const suspect_refusal_t *refusal,
			  usec_t now)
{
	suspect_t *suspect = take_suspect(suspects, refusal->fingerprint);

	if (!is_exempt(suspect, now) && suspect->refuse_time < refusal->refuse_time) {
		suspect->score = MAX(suspect->score, SCORE_REFUSED);
		suspect->refuse_time = MIN(refusal->refuse_time, SUSPECT_REFUSE_TIME_MAX);
		suspect->last_crash = MAX(suspect->last_crash, now - refusal->age);
	}
	put_back(suspects, suspect);
}

uint32_t suspects_count(const suspects_t *suspects)
{
	return g_hash_table_size(suspects->entries);
}
