#ifndef EGRET_CONFIG_CONFIG_H
#define EGRET_CONFIG_CONFIG_H

#include "admission/pressure.h"
#include "config/record.h"

/*
 * NAME
 *	config - the active configuration of a node
 *
 * DESCRIPTION
 *	config_log_t is a compacted change log: it holds the newest known row for
 *	each row key, tombstones included. Of two rows of a key the one with the
 *	higher platform revision wins, so that rows may be reordered, lost, repeated
 *	or merged again after a restart. A node's revision R means that it holds
 *	every change up to R: config_log_advance() is only called after a complete
 *	range was merged. A row that the platform restored from a copy does not
 *	replace a newer one (config/restored.h).
 *
 *	config_t is an immutable, reference-counted index of the active records,
 *	built by config_build(). For each record name the newest supported schema
 *	version that is not retired is active.
 *
 * THREADS
 *	config_log_t belongs to one lock of its owner. A config_t may be read
 *	from any thread that holds a reference.
 */

/*
 * A row with this key supersedes every record of an older revision, so that a
 * complete configuration replaces the previous one. The status of
 * availability zones and the roll-outs are set independently of it and stay.
 */
#define CONFIG_SNAPSHOT_KEY "snapshot"
#define CONFIG_ZONE_PREFIX "record/availability_zone/"
#define CONFIG_ROLLOUT_PREFIX "record/rollout/"

typedef struct config_log config_log_t;
typedef struct config config_t;

typedef struct config_row {
	char *key;
	uint64_t revision;
	char *value; /* JSON text, or NULL for a tombstone */
} config_row_t;

config_log_t *config_log_create(void);
void config_log_destroy(config_log_t *log);

/*
 * Called with each revision that the store or a peer has reached, before the rows up to
 * it are merged. Returns false if it is of an era before the newest one: its rows must
 * not be merged.
 */
bool config_log_begin(config_log_t *log, uint64_t revision, usec_t now);

/* The newest era of the store that is known. */
uint64_t config_log_era(const config_log_t *log);

/* Merges the rows that were deferred after a change of the era once their time has come.
 * Returns their number. */
size_t config_log_release(config_log_t *log, usec_t now);

/* Stores a copy of the row if it is newer than the known one, not superseded by a
 * snapshot and not restored from a copy that is older. Returns whether it was stored.
 * `value` is NULL for a tombstone. */
bool config_log_merge(config_log_t *log, const char *key, uint64_t revision,
		      const char *value);

/* Records that all changes up to `revision` are merged. A lower revision is ignored. */
void config_log_advance(config_log_t *log, uint64_t revision);
uint64_t config_log_revision(const config_log_t *log);

/*
 * Appends to `out` (of const config_row_t *) the rows newer than `after` in order
 * of revision, a snapshot before the records of its revision. Stops at `limit` bytes, but
 * appends at least one revision. Returns the revision up to which a receiver has every
 * change after it merges the rows. The rows belong to the log and are valid until its
 * next merge.
 */
uint64_t config_log_changes(const config_log_t *log, uint64_t after, size_t limit,
			    GPtrArray *out);

config_t *config_build(const config_log_t *log);
config_t *config_ref(config_t *config);
void config_unref(config_t *config);

uint64_t config_revision(const config_t *config);

/* Range of importance over all routes; lowest is above highest if there are none. */
const importance_range_t *config_importance_range(const config_t *config);

/* Revision of the newest snapshot; 0 if there is none. */
uint64_t config_snapshot_revision(const config_t *config);

/* Returns the client account of the key with this SHA-256 digest (hex), or NULL. */
const char *config_account_for_digest(const config_t *config, const char *digest);

/* Look up a record by name; NULL if there is none. The results are valid as long as the
 * caller holds its reference, as are those of the functions below. */
const client_account_t *config_client_account(const config_t *config, const char *name);
const service_record_t *config_service(const config_t *config, const char *name);

/* Whether the zone is in service; a zone without a record is. */
bool config_zone_in_service(const config_t *config, const char *zone);

/* The route with the longest prefix that matches the request, or NULL. A prefix matches
 * at path boundaries only. `host` may be NULL: then only routes for any host match. */
const record_t *config_match_route(const config_t *config, const char *host,
				   const char *method, const char *path);

/* Selects the service for one request, by weight if the route has backends. `random_bits`
 * is uniform over all 32-bit values. */
const char *route_select_service(const route_t *route, uint32_t random_bits);

/* Number of availability_zone records. */
uint32_t config_zone_count(const config_t *config);

typedef void (*config_record_fn)(void *ctx, const record_t *record);
void config_foreach(const config_t *config, record_kind_t kind, config_record_fn fn,
		    void *ctx);

#endif
