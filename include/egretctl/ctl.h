#ifndef EGRET_EGRETCTL_CTL_H
#define EGRET_EGRETCTL_CTL_H

#include "config/config.h"
#include "store/store.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * NAME
 *	ctl - declarations shared by the commands of egretctl
 *
 * DESCRIPTION
 *	Each command has its own file and one function of type ctl_command_fn,
 *	which returns the exit status. main.c looks it up in a sorted table.
 *
 * THREADS
 *	All commands run on the main thread.
 */

typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,	 /* get: no such record; diff: differences; any other error */
	CTL_USAGE = 2,	 /* the command line is wrong */
	CTL_INVALID = 3, /* a record is invalid */
	/* A row changed since it was read, or exists although it was to be created. */
	CTL_CONFLICT = 4,
	CTL_UNAVAILABLE = 5, /* no response from the platform or the node */
} ctl_exit_t;

typedef struct ctl {
	char *platform; /* URL, or NULL */
	char *admin;	/* a node's admin address, or NULL */
	bool json;	/* --output=json */
	bool dry_run;
	char *to;	  /* --to, or NULL */
	char *within;	  /* --within, or NULL */
	GPtrArray *paths; /* of char *: one for each -f */
	int argc;	  /* number of arguments after the command */
	char **argv;
} ctl_t;

typedef int (*ctl_command_fn)(ctl_t *ctl);

int ctl_apply(ctl_t *ctl);
int ctl_diff(ctl_t *ctl);
int ctl_drain(ctl_t *ctl);
int ctl_get(ctl_t *ctl);
int ctl_key(ctl_t *ctl);
int ctl_list(ctl_t *ctl);
int ctl_retire(ctl_t *ctl);
int ctl_rollout(ctl_t *ctl);
int ctl_status(ctl_t *ctl);
int ctl_validate(ctl_t *ctl);

/* Prints "egretctl: attempted: message (error name)" on standard error and returns the
 * exit status for the error. */
int ctl_fail(const char *attempted, const GError *error);

/* Prints "usage: egretctl text" on standard error and returns CTL_USAGE. */
int ctl_usage(const char *text);

/* --- Records in files ----------------------------------------------------- */

typedef struct file_record {
	char *source; /* FILE, or FILE[INDEX] for a record of an array */
	json_t *json;
	record_t *record;
} file_record_t;

/*
 * Loads the records of files and directories (every *.json below them). Prints each
 * error with its file and field. Returns an array of file_record_t, to be freed with
 * g_ptr_array_free(), or NULL if there was any error.
 */
GPtrArray *record_files_load(const GPtrArray *paths);

/* --- Blocking client of the platform -------------------------------------- */

typedef struct platform platform_t;

platform_t *platform_open(const char *url, GError **error);
void platform_close(platform_t *platform);

/* Returns all rows below record/, tombstones included, as config_row_t by key. Free with
 * g_hash_table_destroy(). NULL with error set on failure. */
GHashTable *platform_read_records(platform_t *platform, GError **error);

/* Commits all writes atomically; returns the new revision, or 0 with error set. */
uint64_t platform_commit(platform_t *platform, const store_write_t *writes, size_t count,
			 GError **error);

/* Called with all rows by key; returns the exit status. */
typedef int (*ctl_records_fn)(ctl_t *ctl, platform_t *platform, GHashTable *rows,
			      void *ctx);

/* Reads all records, calls fn with them and returns its exit status. If the records
 * cannot be read, prints the error and returns the exit status for it. */
int ctl_with_records(ctl_t *ctl, ctl_records_fn fn, void *ctx);

/* Returns the row key prefix record/KIND/NAME@ for the arguments KIND and NAME, or NULL
 * if they are invalid. Free with g_free(). */
char *ctl_record_prefix(const ctl_t *ctl);

/* Sends an HTTP request to a node's admin address and returns the response body, to be
 * freed with g_free(). NULL with error set if there was no response with status 200. */
char *admin_request(const char *address, const char *method, const char *path,
		    GError **error);

/* --- Planned changes ------------------------------------------------------ */

typedef struct change {
	char *key;
	uint64_t expected_revision;
	char *value;	    /* canonical JSON, NULL to retire */
	const char *action; /* create, update or retire */
	char *old_value;    /* canonical JSON, or NULL if there was none */
} change_t;

/*
 * Returns the changes (change_t) that make the platform's rows equal to `records` (of
 * file_record_t), to be freed with g_ptr_array_free(). Rows without a record in `records`
 * are left unchanged.
 */
GPtrArray *changes_plan(const GPtrArray *records, GHashTable *rows);

/* Prints the changes on standard output, as JSON with --output=json. */
void changes_print(const ctl_t *ctl, const GPtrArray *changes);

#endif
