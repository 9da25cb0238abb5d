#ifndef EGRET_STORE_STORE_H
#define EGRET_STORE_STORE_H

#include "common/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	store - interface to the platform's table service and object store
 *
 * DESCRIPTION
 *	All operations are asynchronous and call back exactly once, unless the store
 *	is destroyed first. Errors are of EGRET_ERROR: UNAVAILABLE, TIMEOUT,
 *	CONFLICT, UNKNOWN_RESULT, NOT_FOUND or JSON.
 *
 *	A commit is atomic over its rows and conditional on the revision of each
 *	row. It carries a random attempt id, which is stored with the rows. If the
 *	response is lost, store_commit() sends the commit again, and on a conflict
 *	reads a row back and compares the attempt ids. It reports UNKNOWN_RESULT
 *	only if the second try or the read-back fails too, or if the store was
 *	restored from a copy meanwhile.
 *
 *	A revision holds the store's era and version (common/revision.h). Once a
 *	response of a new era has arrived, those of former eras fail (UNAVAILABLE; a
 *	commit is sent again). A commit that expects a revision of a former era is a
 *	CONFLICT.
 *
 * OWNERSHIP
 *	Arguments are copied. Results are only valid during the callback.
 *
 * THREADS
 *	A store belongs to the thread of its event loop. Each worker has its own.
 *
 * SEE ALSO
 *	platform/store.h, the only implementation
 */

typedef struct store store_t;

#define STORE_ATTEMPT_BYTES 16
/* The expected revision of a row that must never have existed. */
#define STORE_REVISION_NONE 0

typedef struct store_row {
	const char *key;
	uint64_t revision;
	const char *value;   /* JSON text, or NULL for a tombstone */
	const char *attempt; /* hex attempt id of the commit that wrote it, or NULL */
} store_row_t;

typedef struct store_write {
	const char *key;
	uint64_t expected_revision;
	const char *value; /* JSON text, or NULL to write a tombstone */
} store_write_t;

/* On error, revision and count are 0. */
typedef void (*store_rows_fn)(void *ctx, uint64_t revision, const store_row_t *rows,
			      size_t count, const GError *error);

/* revision is the one of the written rows, or 0 on error. */
typedef void (*store_commit_fn)(void *ctx, uint64_t revision, const GError *error);

/* data is the object for store_object_get() and unused for store_object_put(). On error,
 * len is 0. */
typedef void (*store_object_fn)(void *ctx, const uint8_t *data, size_t len,
				const GError *error);

/* How long store_watch() waits: for a change, and beyond that for the response. */
typedef struct store_wait {
	usec_t change; /* at most 30 s */
	usec_t response;
} store_wait_t;

/* Implements the functions below; impl is the argument of store_create(). */
typedef struct store_ops {
	void (*get)(void *impl, const char *key, store_rows_fn done, void *ctx);
	void (*changes)(void *impl, const char *prefix, uint64_t after_revision,
			store_rows_fn done, void *ctx);
	void (*watch)(void *impl, const char *prefix, uint64_t after_revision,
		      const store_wait_t *wait, store_rows_fn done, void *ctx);
	void (*commit)(void *impl, const char *attempt, const store_write_t *writes,
		       size_t count, store_commit_fn done, void *ctx);
	void (*object_put)(void *impl, const char *name, const uint8_t *data, size_t len,
			   store_object_fn done, void *ctx);
	void (*object_get)(void *impl, const char *name, store_object_fn done, void *ctx);
	void (*destroy)(void *impl);
} store_ops_t;

/* `ops` must outlive the store. store_destroy() also destroys impl. */
store_t *store_create(const store_ops_t *ops, void *impl);
void store_destroy(store_t *store);

/* Reads one row; NOT_FOUND if it does not exist. A row whose value cannot be read has
 * none, as a tombstone. */
void store_get(store_t *store, const char *key, store_rows_fn done, void *ctx);

/*
 * Reads all rows with the key prefix that changed after a revision. The
 * callback's revision is the one up to which the rows are complete.
 */
void store_changes(store_t *store, const char *prefix, uint64_t after_revision,
		   store_rows_fn done, void *ctx);

/*
 * As store_changes(), but waits for the first change, and fails with TIMEOUT if there is
 * no response after the sum of both waits. If after_revision is 0, it is
 * of a former era, or the platform no longer has the history since then, it reads the
 * rows without waiting for a change. A read that does not wait for a change uses a
 * connection of its own.
 */
void store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		 const store_wait_t *wait, store_rows_fn done, void *ctx);

/* Writes all rows or none; CONFLICT if a row does not have its expected revision. */
void store_commit(store_t *store, const store_write_t *writes, size_t count,
		  store_commit_fn done, void *ctx);

/* Writes or replaces an object. */
void store_object_put(store_t *store, const char *name, const uint8_t *data, size_t len,
		      store_object_fn done, void *ctx);

/* Reads a complete object; NOT_FOUND if it does not exist. */
void store_object_get(store_t *store, const char *name, store_object_fn done, void *ctx);

#endif
