#include "routing/backpressure.h"

#include <glib.h>

#define SMOOTHING 0.2
#define KEYS_MAX 4096

typedef struct entry {
	double level;
	usec_t noted;
} entry_t;

struct backpressure {
	GHashTable *entries; /* key -> entry_t */
};

backpressure_t *backpressure_create(void)
{
	backpressure_t *backpressure = g_new0(backpressure_t, 1);

	backpressure->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return backpressure;
}

void backpressure_destroy(backpressure_t *backpressure)
{
	if (!backpressure)
		return;
	g_hash_table_destroy(backpressure->entries);
	g_free(backpressure);
}

static double present_level(const entry_t *entry, usec_t now)
{
	return priority_level_aged((priority_t)entry->level, now - entry->noted);
}

void backpressure_note(backpressure_t *backpressure, const char *key, priority_t below,
		       usec_t now)
{
	entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	if (!entry) {
		if (below >= PRIORITY_LEVEL_ALL ||
		    g_hash_table_size(backpressure->entries) >= KEYS_MAX)
			return;
		entry = g_new0(entry_t, 1);
		entry->level = PRIORITY_LEVEL_ALL;
		entry->noted = now;
		g_hash_table_insert(backpressure->entries, g_strdup(key), entry);
	}
	double level = present_level(entry, now);
	entry->level = level + SMOOTHING * ((double)below - level);
	entry->noted = now;
}

priority_t backpressure_level(const backpressure_t *backpressure, const char *key,
			      usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	if (!entry)
		return PRIORITY_LEVEL_ALL;
	return (priority_t)present_level(entry, now);
}
