#include "claims/suspects.h"

#include <glib.h>

/* Calls lost within this time after a crash began belong to that crash. */
#define CRASH_MERGE_SPAN USEC_PER_SEC
#define ENTRIES_MAX 16384

typedef struct suspect {
	uint64_t fingerprint;
	uint64_t crash_ids[SUSPECT_CRASH_THRESHOLD];
	uint32_t crash_count;
	usec_t last_crash;
	usec_t last_success;
} suspect_t;

struct suspects {
	GHashTable *entries; /* fingerprint -> suspect_t */
	uint64_t last_crash_id;
	usec_t last_crash_start;
	bool has_crashed;
};

suspects_t *suspects_create(void)
{
	suspects_t *suspects = g_new0(suspects_t, 1);

	suspects->entries =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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

static gboolean is_stale(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	const suspect_t *suspect = value;
	usec_t now = *(const usec_t *)data;
	bool refused =
		suspect->crash_count && now - suspect->last_crash < SUSPECT_REFUSE_TIME;

	return !refused && !is_exempt(suspect, now);
}

static suspect_t *find_or_add_suspect(suspects_t *suspects, uint64_t fingerprint,
				      usec_t now)
{
	suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	if (suspect)
		return suspect;
	if (g_hash_table_size(suspects->entries) >= ENTRIES_MAX)
		g_hash_table_foreach_remove(suspects->entries, is_stale, &now);
	if (g_hash_table_size(suspects->entries) >= ENTRIES_MAX)
		return NULL;
	suspect = g_new0(suspect_t, 1);
	suspect->fingerprint = fingerprint;
	g_hash_table_insert(suspects->entries, &suspect->fingerprint, suspect);
	return suspect;
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

/* Adds a crash; returns false if it was already counted. */
static bool add_crash(suspect_t *suspect, uint64_t crash_id, usec_t when, usec_t now)
{
	if (now - suspect->last_crash > SUSPECT_REFUSE_TIME)
		suspect->crash_count = 0;
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crash_ids[i] == crash_id)
			return false;
	}
	if (suspect->crash_count < SUSPECT_CRASH_THRESHOLD)
		suspect->crash_ids[suspect->crash_count++] = crash_id;
	suspect->last_crash = MAX(suspect->last_crash, when);
	return true;
}

bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash_id,
			   usec_t now)
{
	suspect_t *suspect = find_or_add_suspect(suspects, fingerprint, now);

	if (!suspect || is_exempt(suspect, now))
		return false;
	return add_crash(suspect, crash_id, now, now);
}

void suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash_id, usec_t age, usec_t now)
{
	suspect_t *suspect = find_or_add_suspect(suspects, fingerprint, now);

	if (suspect && !is_exempt(suspect, now))
		add_crash(suspect, crash_id, now - age, now);
}

void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	suspect_t *suspect = find_or_add_suspect(suspects, fingerprint, now);

	if (!suspect)
		return;
	suspect->last_success = now;
	suspect->crash_count = 0;
}

bool suspects_is_refused(suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	const suspect_t *suspect = g_hash_table_lookup(suspects->entries, &fingerprint);

	return suspect && suspect->crash_count >= SUSPECT_CRASH_THRESHOLD &&
	       now - suspect->last_crash < SUSPECT_REFUSE_TIME;
}

uint32_t suspects_count(const suspects_t *suspects)
{
	return g_hash_table_size(suspects->entries);
}
