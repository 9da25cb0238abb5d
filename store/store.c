#include "store/store.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/revision.h"

#include <sodium.h>
#include <string.h>

#define COMMIT_TRIES_MAX 2

struct store {
	const store_ops_t *ops;
	void *impl;
};

/* A commit in progress with copies of its rows, freed when its result is reported. */
typedef struct commit {
	store_t *store;
	char attempt[2 * STORE_ATTEMPT_BYTES + 1];
	store_write_t *writes;
	size_t count;
	int tries;
	bool result_unknown; /* a try may have been applied */
	GError *conflict;    /* reported if the read-back finds another commit */
	store_commit_fn done;
	void *ctx;
} commit_t;

store_t *store_create(const store_ops_t *ops, void *impl)
{
	store_t *store = g_new0(store_t, 1);

	store->ops = ops;
	store->impl = impl;
	return store;
}

void store_destroy(store_t *store)
{
	if (!store)
		return;
	store->ops->destroy(store->impl);
	g_free(store);
}

void store_get(store_t *store, const char *key, store_rows_fn done, void *ctx)
{
	counter_add(COUNTER_STORE_OPS, 1);
	store->ops->get(store->impl, key, done, ctx);
}

void store_changes(store_t *store, const char *prefix, uint64_t after_revision,
		   store_rows_fn done, void *ctx)
{
	counter_add(COUNTER_STORE_OPS, 1);
	store->ops->changes(store->impl, prefix, after_revision, done, ctx);
}

void store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		 const store_wait_t *wait, store_rows_fn done, void *ctx)
{
	counter_add(COUNTER_STORE_OPS, 1);
	store->ops->watch(store->impl, prefix, after_revision, wait, done, ctx);
}

static void commit_finish(commit_t *commit, uint64_t revision, const GError *error)
{
	commit->done(commit->ctx, revision, error);
	for (size_t i = 0; i < commit->count; i++) {
		g_free((char *)commit->writes[i].key);
		g_free((char *)commit->writes[i].value);
	}
	g_free(commit->writes);
	g_clear_error(&commit->conflict);
	g_free(commit);
}

static void commit_send(commit_t *commit);

static void commit_unknown(commit_t *commit, const char *why)
{
	GError *error = g_error_new(EGRET_ERROR, EGRET_ERROR_UNKNOWN_RESULT,
				    "commit of %s: %s", commit->writes[0].key, why);

	commit_finish(commit, 0, error);
	g_error_free(error);
}

/* Whether a condition of the commit is of another era than `revision`: the store then
 * compared it with a version that it assigned again. */
static bool has_condition_of_other_era(const commit_t *commit, uint64_t revision)
{
	for (size_t i = 0; i < commit->count; i++) {
		uint64_t expected = commit->writes[i].expected_revision;
		if (expected != STORE_REVISION_NONE &&
		    revision_era(expected) != revision_era(revision))
			return true;
	}
	return false;
}

/* A commit is atomic: the attempt id of its first row shows whether it was applied. */
static void handle_read_back(void *ctx, uint64_t revision, const store_row_t *rows,
			     size_t count, const GError *error)
{
	(void)revision;
	commit_t *commit = ctx;

	if (error && error->code != EGRET_ERROR_NOT_FOUND) {
		commit_unknown(commit, error->message);
		return;
	}
	if (count != 1 || !rows[0].attempt ||
	    strcmp(rows[0].attempt, commit->attempt) != 0)
		commit_finish(commit, 0, commit->conflict);
	else if (has_condition_of_other_era(commit, rows[0].revision))
		commit_unknown(commit, "the store's era changed");
	else
		commit_finish(commit, rows[0].revision, NULL);
}

static void handle_commit(void *ctx, uint64_t revision, const GError *error)
{
	commit_t *commit = ctx;

	if (!error) {
		commit_finish(commit, revision, NULL);
		return;
	}
	if (error->code == EGRET_ERROR_CONFLICT && commit->result_unknown) {
		commit->conflict = g_error_copy(error);
		store_get(commit->store, commit->writes[0].key, handle_read_back, commit);
		return;
	}
	bool unknown = error->code == EGRET_ERROR_UNKNOWN_RESULT ||
		       error->code == EGRET_ERROR_TIMEOUT;
	if (!unknown && !commit->result_unknown) {
		commit_finish(commit, 0, error);
		return;
	}
	/* Sending the same commit again is safe: if it was applied, its conditions on the
	 * revisions fail now. */
	commit->result_unknown = true;
	if (commit->tries < COMMIT_TRIES_MAX) {
		commit_send(commit);
		return;
	}
	commit_unknown(commit, error->message);
}

static void commit_send(commit_t *commit)
{
	commit->tries++;
	counter_add(COUNTER_STORE_OPS, 1);
	commit->store->ops->commit(commit->store->impl, commit->attempt, commit->writes,
				   commit->count, handle_commit, commit);
}

void store_commit(store_t *store, const store_write_t *writes, size_t count,
		  store_commit_fn done, void *ctx)
{
	uint8_t attempt[STORE_ATTEMPT_BYTES];
	commit_t *commit = g_new0(commit_t, 1);

	randombytes_buf(attempt, sizeof(attempt));
	sodium_bin2hex(commit->attempt, sizeof(commit->attempt), attempt,
		       sizeof(attempt));
	commit->store = store;
	commit->writes = g_new0(store_write_t, count);
	commit->count = count;
	commit->done = done;
	commit->ctx = ctx;
	for (size_t i = 0; i < count; i++) {
		commit->writes[i].key = g_strdup(writes[i].key);
		commit->writes[i].expected_revision = writes[i].expected_revision;
		commit->writes[i].value = g_strdup(writes[i].value);
	}
	commit_send(commit);
}

void store_object_put(store_t *store, const char *name, const uint8_t *data, size_t len,
		      store_object_fn done, void *ctx)
{
	counter_add(COUNTER_STORE_OPS, 1);
	store->ops->object_put(store->impl, name, data, len, done, ctx);
}

void store_object_get(store_t *store, const char *name, store_object_fn done, void *ctx)
{
	counter_add(COUNTER_STORE_OPS, 1);
	store->ops->object_get(store->impl, name, done, ctx);
}
