#ifndef EGRET_COMMON_LOG_H
#define EGRET_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	log - structured log lines, written through log4c
 *
 * DESCRIPTION
 *	A line holds an event name and typed fields, written as text
 *	(event key=value ...) or as one JSON object. A writer thread writes queued
 *	lines to standard output, so that a slow reader of standard output does not
 *	block an event loop. Lines that do not fit into the queue are dropped and
 *	counted in COUNTER_LOG_DROPPED.
 *
 *	Usage: log_begin(), any number of log_str(), log_int() and log_hex() calls,
 *	log_end(). A log_rec_t lives on the stack of one thread. Logging at a
 *	disabled level costs one comparison per call.
 *
 * THREADS
 *	After log_open() all functions but log_close() are safe from any thread.
 */

typedef enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
} log_level_t;

typedef enum log_format {
	LOG_FORMAT_TEXT,
	LOG_FORMAT_JSON,
} log_format_t;

#define LOG_LINE_MAX_BYTES 1024

typedef struct log_rec {
	bool enabled;
	log_level_t level;
	uint32_t len;
	char line[LOG_LINE_MAX_BYTES];
} log_rec_t;

/* Starts the writer thread. Called once, before other threads start. Sets
 * EGRET_ERROR_LIBRARY on failure. */
bool log_open(log_level_t level, log_format_t format, GError **error);

/* Writes the queued lines and stops the writer thread. */
void log_close(void);

/* Parses "error", "warn", "info" or "debug". */
bool log_level_parse(const char *text, log_level_t *out);
bool log_enabled(log_level_t level);

void log_begin(log_rec_t *rec, log_level_t level, const char *event);

/* A value that may not fit into the rest of the line is replaced by "(too long)". */
void log_str(log_rec_t *rec, const char *key, const char *value);
void log_int(log_rec_t *rec, const char *key, int64_t value);

/* Logs at most 32 bytes. */
void log_hex(log_rec_t *rec, const char *key, const uint8_t *bytes, size_t len);

/* Queues the line for the writer thread. */
void log_end(log_rec_t *rec);

/* Logs a "failure" event at level error with the attempted operation, the name of the
 * error code and the error message. `error` may be NULL. */
void log_failure(const char *attempted, const GError *error);

#endif
