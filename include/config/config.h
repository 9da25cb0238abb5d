#ifndef EGRET_CONFIG_CONFIG_H
#define EGRET_CONFIG_CONFIG_H

#include "config/record.h"

/*
 * NAME
 *	config - the records in force on a node
 *
 * DESCRIPTION
 *	config_log_t holds the newest known row for each row key, tombstones
 *	included. Rows merge by the platform's revision, so that neither order,
 *	loss, repetition nor restart takes a row back. A node's revision R means
 *	that it holds every change up to R: config_log_advance() is only called
 *	with a complete range.
 *
 *	config_t is an immutable, reference-counted index of the rows in force,
 *	built by config_build(). For each record the newest understood schema
 *	version that is not retired is in force.
 *
 * THREADS
 *	config_log_t belongs to one lock of its owner. A config_t may be read
 *	from any thread that holds a reference.
 */

/*
 * A row under this key voids every operator record older than its revision, so
 * that a whole configuration replaces the one before. Zone status has rows of
 * its own life and stays.
 */
#define CONFIG_SNAPSHOT_KEY "snapshot"

typedef struct config_log config_log_t;
typedef struct config config_t;

typedef struct config_row {
	char *key;
	uint64_t revision;
	char *value; /* JSON text, or NULL for a tombstone */
} config_row_t;

config_log_t *config_log_create(void);
void config_log_destroy(config_log_t *log);

/* Takes a row if it is newer than the known one; returns whether it was. */
bool config_log_merge(config_log_t *log, const char *key, uint64_t revision,
		      const char *value);

/* States that all changes up to revision are merged. Never goes back. */
void config_log_advance(config_log_t *log, uint64_t revision);
uint64_t config_log_revision(const config_log_t *log);

/*
 * Appends to `out` (of const config_row_t *) the rows newer than `after` in
 * order of revision, at most `limit` bytes of them, and returns the revision
 * up to which the receiver is then complete.
 */
uint64_t config_log_changes(const config_log_t *log, uint64_t after, size_t limit,
			    GPtrArray *out);

config_t *config_build(const config_log_t *log);
config_t *config_ref(config_t *config);
void config_unref(config_t *config);

uint64_t config_revision(const config_t *config);

/* Revision of the snapshot in force; 0 if there is none. */
uint64_t config_snapshot_revision(const config_t *config);

/* Returns the account whose key has this digest (hex), or NULL. */
const char *config_account_for_digest(const config_t *config, const char *digest);

/* Lookups; the results live as long as the caller's reference. */
const client_account_t *config_client_account(const config_t *config, const char *name);
const service_record_t *config_service(const config_t *config, const char *name);

/* Zones without a record are in. */
bool config_zone_in_service(const config_t *config, const char *zone);

/* Longest prefix of the host that ends at a path boundary and allows the method. */
const record_t *config_match_route(const config_t *config, const char *host,
				   const char *method, const char *path);

/* The service for one request; `draw` is uniform over all 32-bit values. */
const char *route_select_service(const route_t *route, uint32_t draw);

/* Number of availability_zone records. */
uint32_t config_zone_count(const config_t *config);

typedef void (*config_record_fn)(void *ctx, const record_t *record);
void config_foreach(const config_t *config, record_kind_t kind, config_record_fn fn,
		    void *ctx);

#endif
