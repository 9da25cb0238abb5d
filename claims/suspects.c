#include "claims/suspects.h"

#include <glib.h>

#define CRASH_SPAN USEC_PER_SEC
#define ENTRIES_MAX 16384

typedef struct suspect {
	uint64_t fingerprint;
	uint64_t crashes[SUSPECT_CRASH_THRESHOLD];
	uint32_t crash_count;
	usec_t last_crash;
	usec_t last_success;
} suspect_t;

struct suspects {
	GHashTable *entries; /* fingerprint -> suspect_t */
	uint64_t crash;
	usec_t crash_time;
	bool crashed;
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

static bool is_exonerated(const suspect_t *suspect, usec_t now)
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

	return !refused && !is_exonerated(suspect, now);
}

static suspect_t *entry_for(suspects_t *suspects, uint64_t fingerprint, usec_t now)
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

uint64_t suspects_crash_id(suspects_t *suspects, uint64_t fresh_id, usec_t now)
{
	if (!suspects->crashed || now - suspects->crash_time > CRASH_SPAN) {
		suspects->crash = fresh_id;
		suspects->crash_time = now;
		suspects->crashed = true;
	}
	return suspects->crash;
}

/* Adds a crash; returns false if it was known. */
static bool add_crash(suspect_t *suspect, uint64_t crash, usec_t when, usec_t now)
{
	if (now - suspect->last_crash > SUSPECT_REFUSE_TIME)
		suspect->crash_count = 0;
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i] == crash)
			return false;
	}
	if (suspect->crash_count < SUSPECT_CRASH_THRESHOLD)
		suspect->crashes[suspect->crash_count++] = crash;
	suspect->last_crash = MAX(suspect->last_crash, when);
	return true;
}

bool suspects_handle_crash(suspects_t *suspects, uint64_t fingerprint, uint64_t crash,
			   usec_t now)
{
	suspect_t *suspect = entry_for(suspects, fingerprint, now);

	if (!suspect || is_exonerated(suspect, now))
		return false;
	return add_crash(suspect, crash, now, now);
}

void suspects_handle_remote_crash(suspects_t *suspects, uint64_t fingerprint,
				  uint64_t crash, usec_t age, usec_t now)
{
	suspect_t *suspect = entry_for(suspects, fingerprint, now);

	if (suspect && !is_exonerated(suspect, now))
		add_crash(suspect, crash, now - age, now);
}

void suspects_handle_success(suspects_t *suspects, uint64_t fingerprint, usec_t now)
{
	suspect_t *suspect = entry_for(suspects, fingerprint, now);

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
