#ifndef EGRET_EGRETCTL_CTL_H
#define EGRET_EGRETCTL_CTL_H

#include "config/config.h"
#include "store/store.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * NAME
 *	ctl - what the commands of egretctl share
 *
 * DESCRIPTION
 *	Each command is one file with one function of type ctl_command_fn, found
 *	through the sorted table in main.c. It returns the exit status.
 */

typedef enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,	     /* the platform or a node failed, or a difference */
	CTL_USAGE = 2,	     /* the command line is wrong */
	CTL_INVALID = 3,     /* a record is invalid */
	CTL_CONFLICT = 4,    /* another write came first */
	CTL_UNAVAILABLE = 5, /* the platform did not answer */
} ctl_exit_t;

typedef struct ctl {
	char *platform; /* URL, or NULL */
	char *admin;	/* a node's admin address, or NULL */
	bool json;	/* --output=json */
	bool dry_run;
	GPtrArray *files; /* of char *: each -f */
	int argc;	  /* arguments after the command */
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
int ctl_status(ctl_t *ctl);
int ctl_validate(ctl_t *ctl);

/* Prints "egretctl: attempted: message" and returns the exit status for it. */
int ctl_fail(const char *attempted, const GError *error);
int ctl_usage(const char *text);

/* --- Record files --------------------------------------------------------- */

typedef struct record_file {
	char *source; /* file, with the record's place in it */
	json_t *json;
	record_t *record;
} record_file_t;

/*
 * Reads the records of files and folders (every *.json below them). Prints each
 * fault with its file and field; returns NULL if there was one.
 */
GPtrArray *record_files_load(const GPtrArray *paths);

/* --- The platform, one operation at a time -------------------------------- */

typedef struct platform platform_t;

platform_t *platform_open(const char *url, GError **error);
void platform_close(platform_t *platform);

/* All rows below record/, tombstones included, as config_row_t by key. */
GHashTable *platform_records(platform_t *platform, GError **error);

/* Commits; returns the revision, or 0 with error set. */
uint64_t platform_commit(platform_t *platform, const store_write_t *writes, size_t count,
			 GError **error);

/* Opens the platform, reads all records and runs fn with them. */
typedef int (*ctl_records_fn)(ctl_t *ctl, platform_t *platform, GHashTable *rows,
			      void *ctx);
int ctl_with_records(ctl_t *ctl, ctl_records_fn fn, void *ctx);

/* KIND and NAME of the arguments as a prefix of row keys; NULL if they are wrong. */
char *ctl_record_prefix(const ctl_t *ctl);

/* One HTTP request to a node's admin address; NULL with error set on failure. */
char *admin_request(const char *address, const char *method, const char *path,
		    GError **error);

/* --- Planned changes ------------------------------------------------------ */

typedef struct change {
	char *key;
	uint64_t expected_revision;
	char *value;	  /* canonical JSON, NULL to retire */
	const char *verb; /* create, update or retire */
	char *old;
} change_t;

/* Changes that make the platform's rows equal to the files' records. */
GPtrArray *changes_plan(const GPtrArray *files, GHashTable *rows);
void changes_print(const ctl_t *ctl, const GPtrArray *changes);

#endif
