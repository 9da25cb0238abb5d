#include "routing/backpressure.h"

#include <glib.h>
#include <stdbool.h>

#define SMOOTHING 0.2
#define PRESSURE_SMOOTHING 0.1
#define PRESSURE_LIFE ((double)USEC_PER_SEC)
#define KEYS_MAX 4096

typedef struct entry {
	double level;
	usec_t noted;
	double pressure;
	usec_t pressure_noted;
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

/* The entry of the key; a new one only if there is something to note. */
static entry_t *entry_for(backpressure_t *backpressure, const char *key, bool create,
			  usec_t now)
{
	entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	if (entry || !create || g_hash_table_size(backpressure->entries) >= KEYS_MAX)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->level = PRIORITY_LEVEL_ALL;
	entry->noted = now;
	entry->pressure_noted = now;
	g_hash_table_insert(backpressure->entries, g_strdup(key), entry);
	return entry;
}

static double present_pressure(const entry_t *entry, usec_t now)
{
	double age = (double)(now - entry->pressure_noted) / PRESSURE_LIFE;

	return entry->pressure * CLAMP(1.0 - age, 0.0, 1.0);
}

void backpressure_record_pressure(backpressure_t *backpressure, const char *key,
				  double pressure, usec_t now)
{
	entry_t *entry = entry_for(backpressure, key, pressure > 0, now);

	if (!entry)
		return;
	double present = present_pressure(entry, now);
	entry->pressure = present + PRESSURE_SMOOTHING * (pressure - present);
	entry->pressure_noted = now;
}

double backpressure_pressure(const backpressure_t *backpressure, const char *key,
			     usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	return entry ? present_pressure(entry, now) : 0;
}

void backpressure_record_level(backpressure_t *backpressure, const char *key,
			       priority_t below, usec_t now)
{
	entry_t *entry = entry_for(backpressure, key, below < PRIORITY_LEVEL_ALL, now);

	if (!entry)
		return;
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
