#include "routing/backpressure.h"

#include <glib.h>
#include <stdbool.h>

#define LEVEL_SMOOTHING 0.2
#define PRESSURE_SMOOTHING 0.1
/* Without responses a pressure stays unchanged for the first time and is 0 after the
 * second. */
#define PRESSURE_HOLD_USEC (300 * USEC_PER_MSEC)
#define PRESSURE_LIFETIME_USEC USEC_PER_SEC
/* Longer than a request takes, so that a report reaches the entry over several calls. */
#define UNAVAILABLE_LIFETIME_USEC (5 * USEC_PER_SEC)
#define KEYS_MAX 4096

typedef struct entry {
	double level;
	usec_t level_updated;
	double pressure;
	usec_t pressure_updated;
	double missing;
	usec_t missing_updated;
	usec_t unavailable_until;
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

static double current_level(const entry_t *entry, usec_t now)
{
	return priority_level_aged((priority_t)entry->level, now - entry->level_updated);
}

/* Returns the entry of the key, or NULL. A missing entry is added only if `create` is set
 * and there are fewer than KEYS_MAX. */
static entry_t *lookup_entry(backpressure_t *backpressure, const char *key, bool create,
			     usec_t now)
{
	entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	if (entry || !create || g_hash_table_size(backpressure->entries) >= KEYS_MAX)
		return entry;
	entry = g_new0(entry_t, 1);
	entry->level = PRIORITY_LEVEL_ALL;
	entry->level_updated = now;
	entry->pressure_updated = now - PRESSURE_LIFETIME_USEC;
	entry->missing_updated = now - PRESSURE_LIFETIME_USEC;
	g_hash_table_insert(backpressure->entries, g_strdup(key), entry);
	return entry;
}

/* The share that is left of what was recorded at `updated`, 1 to 0. */
static double pressure_left(usec_t updated, usec_t now)
{
	double left = (double)(PRESSURE_LIFETIME_USEC - (now - updated)) /
		      (double)(PRESSURE_LIFETIME_USEC - PRESSURE_HOLD_USEC);

	return CLAMP(left, 0.0, 1.0);
}

void backpressure_record_pressure(backpressure_t *backpressure, const char *key,
				  double pressure, usec_t now)
{
	entry_t *entry = lookup_entry(backpressure, key, pressure > 0, now);

	if (!entry)
		return;
	/* Age takes weight from the earlier responses; lowering their value instead would
	 * make the result depend on the number of responses. */
	double earlier =
		(1 - PRESSURE_SMOOTHING) * pressure_left(entry->pressure_updated, now);
	entry->pressure += PRESSURE_SMOOTHING / (earlier + PRESSURE_SMOOTHING) *
			   (pressure - entry->pressure);
	entry->pressure_updated = now;
}

double backpressure_pressure(const backpressure_t *backpressure, const char *key,
			     usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	return entry ? entry->pressure * pressure_left(entry->pressure_updated, now) : 0;
}

void backpressure_record_missing(backpressure_t *backpressure, const char *key,
				 double missing, usec_t now)
{
	entry_t *entry = lookup_entry(backpressure, key, missing > 0, now);

	if (!entry)
		return;
	entry->missing = missing;
	entry->missing_updated = now;
}

double backpressure_missing(const backpressure_t *backpressure, const char *key,
			    usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	return entry ? entry->missing * pressure_left(entry->missing_updated, now) : 0;
}

void backpressure_record_unavailable(backpressure_t *backpressure, const char *key,
				     bool unavailable, usec_t now)
{
	entry_t *entry = lookup_entry(backpressure, key, unavailable, now);

	if (entry)
		entry->unavailable_until =
			unavailable ? now + UNAVAILABLE_LIFETIME_USEC : 0;
}

bool backpressure_unavailable(const backpressure_t *backpressure, const char *key,
			      usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	return entry && now < entry->unavailable_until;
}

void backpressure_record_level(backpressure_t *backpressure, const char *key,
			       priority_t level, usec_t now)
{
	entry_t *entry = lookup_entry(backpressure, key, level < PRIORITY_LEVEL_ALL, now);

	if (!entry)
		return;
	double current = current_level(entry, now);
	entry->level = current + LEVEL_SMOOTHING * ((double)level - current);
	entry->level_updated = now;
}

priority_t backpressure_level(const backpressure_t *backpressure, const char *key,
			      usec_t now)
{
	const entry_t *entry = g_hash_table_lookup(backpressure->entries, key);

	if (!entry)
		return PRIORITY_LEVEL_ALL;
	return (priority_t)current_level(entry, now);
}
