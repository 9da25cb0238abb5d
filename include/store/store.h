#ifndef EGRET_STORE_STORE_H
#define EGRET_STORE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	store - the port to the platform's table service and object store
 *
 * DESCRIPTION
 *	Asynchronous operations with callbacks. Errors are of EGRET_ERROR:
 *	UNAVAILABLE, TIMEOUT, CONFLICT, UNKNOWN_RESULT, NOT_FOUND or JSON. A commit
 *	is atomic over its rows and conditional on each row's revision; it
 *	carries a random attempt id that the platform keeps with the rows, so
 *	that a lost answer can be settled by reading back: store_commit() does so
 *	and reports UNKNOWN_RESULT only if that is not possible either.
 *
 * OWNERSHIP
 *	Arguments are copied. Results are valid during the callback.
 *
 * THREADS
 *	A store belongs to the thread of its loop; each worker has its own.
 *
 * SEE ALSO
 *	platform/store.h, the only implementation
 */

typedef struct store store_t;

#define STORE_ATTEMPT_BYTES 16
/* The expected revision of a row that must not have existed. */
#define STORE_REVISION_NONE 0

typedef struct store_row {
	const char *key;
	uint64_t revision;
	const char *value;   /* JSON text, or NULL for a tombstone */
	const char *attempt; /* hex id of the commit that wrote the row */
} store_row_t;

typedef struct store_write {
	const char *key;
	uint64_t expected_revision;
	const char *value; /* JSON text, or NULL to leave a tombstone */
} store_write_t;

typedef void (*store_rows_fn)(void *ctx, uint64_t revision, const store_row_t *rows,
			      size_t count, const GError *error);
typedef void (*store_commit_fn)(void *ctx, uint64_t revision, const GError *error);
typedef void (*store_object_fn)(void *ctx, const uint8_t *data, size_t len,
				const GError *error);

typedef struct store_ops {
	void (*get)(void *impl, const char *key, store_rows_fn done, void *ctx);
	void (*changes)(void *impl, const char *prefix, uint64_t after,
			store_rows_fn done, void *ctx);
	void (*watch)(void *impl, const char *prefix, uint64_t after, store_rows_fn done,
		      void *ctx);
	void (*commit)(void *impl, const char *attempt, const store_write_t *writes,
		       size_t count, store_commit_fn done, void *ctx);
	void (*object_put)(void *impl, const char *name, const uint8_t *data, size_t len,
			   store_object_fn done, void *ctx);
	void (*object_get)(void *impl, const char *name, store_object_fn done, void *ctx);
	void (*destroy)(void *impl);
} store_ops_t;

store_t *store_create(const store_ops_t *ops, void *impl);
void store_destroy(store_t *store);

void store_get(store_t *store, const char *key, store_rows_fn done, void *ctx);

/* Rows below the prefix that changed after a revision; revision in the
 * callback is the one up to which the caller is then complete. */
void store_changes(store_t *store, const char *prefix, uint64_t after, store_rows_fn done,
		   void *ctx);

/* As store_changes(), but waits some seconds for the first change. If the history
 * since `after` is gone, or `after` is 0, all rows are given at once. */
void store_watch(store_t *store, const char *prefix, uint64_t after, store_rows_fn done,
		 void *ctx);
void store_commit(store_t *store, const store_write_t *writes, size_t count,
		  store_commit_fn done, void *ctx);
void store_object_put(store_t *store, const char *name, const uint8_t *data, size_t len,
		      store_object_fn done, void *ctx);
void store_object_get(store_t *store, const char *name, store_object_fn done, void *ctx);

#endif
