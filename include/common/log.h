#ifndef EGRET_COMMON_LOG_H
#define EGRET_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	log - structured log lines through log4c
 *
 * DESCRIPTION
 *	A line is an event name and typed fields, written as text
 *	(event key=value ...) or as one JSON object. Lines are queued and written
 *	to standard output by one writer thread, so that no event loop blocks on
 *	the descriptor; lines beyond the queue's bound are dropped and counted in
 *	COUNTER_LOG_DROPPED.
 *
 *	Usage: log_begin(), any number of field calls, log_end(). A log_rec_t
 *	lives on the stack of one thread. A disabled level costs one comparison.
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

/* Starts the writer thread. Call once, before other threads start. */
bool log_open(log_level_t level, log_format_t format, GError **error);

/* Writes what is queued and stops the writer thread. */
void log_close(void);

bool log_level_parse(const char *text, log_level_t *out);
bool log_enabled(log_level_t level);

void log_begin(log_rec_t *rec, log_level_t level, const char *event);
void log_str(log_rec_t *rec, const char *key, const char *value);
void log_int(log_rec_t *rec, const char *key, int64_t value);
void log_hex(log_rec_t *rec, const char *key, const uint8_t *bytes, size_t len);
void log_end(log_rec_t *rec);

/* Logs a failure: what was attempted, the error's type and its message. */
void log_failure(const char *attempted, const GError *error);

#endif
