#include "common/log.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

#include <inttypes.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_BYTES (1u << 20)
/* Lines gather for so long, so that a busy node wakes its writer seldom. */
#define GATHER_USEC 50000
#define CATEGORY_NAME "egretscale"

static struct {
	log_level_t level;
	log_format_t format;
	log4c_category_t *category;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	pthread_t writer;
	bool running;
	bool stopping;
	GString *queue;
} state = {
	.level = LOG_LEVEL_WARN,
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.wake = PTHREAD_COND_INITIALIZER,
};

static const int priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static int appender_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	size_t len = strlen(event->evt_msg);

	pthread_mutex_lock(&state.lock);
	if (state.queue->len + len > QUEUE_BYTES) {
		pthread_mutex_unlock(&state.lock);
		counter_add(COUNTER_LOG_DROPPED, 1);
		return 0;
	}
	bool was_empty = state.queue->len == 0;
	g_string_append_len(state.queue, event->evt_msg, (gssize)len);
	if (was_empty)
		pthread_cond_signal(&state.wake);
	pthread_mutex_unlock(&state.lock);
	return 0;
}

static int appender_open(log4c_appender_t *appender)
{
	(void)appender;
	return 0;
}

static int appender_close(log4c_appender_t *appender)
{
	(void)appender;
	return 0;
}

static const log4c_appender_type_t queue_appender_type = {
	"egret_queue",
	appender_open,
	appender_append,
	appender_close,
};

static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_layout_type_t plain_layout_type = {"egret_plain", layout_format};

static void write_all(const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = write(STDOUT_FILENO, data, len);
		if (n <= 0)
			return;
		data += n;
		len -= (size_t)n;
	}
}

static void *writer_main(void *arg)
{
	(void)arg;
	GString *batch = g_string_new(NULL);

	pthread_mutex_lock(&state.lock);
	for (;;) {
		while (state.queue->len == 0 && !state.stopping)
			pthread_cond_wait(&state.wake, &state.lock);
		if (state.queue->len == 0)
			break;
		if (!state.stopping) {
			pthread_mutex_unlock(&state.lock);
			g_usleep(GATHER_USEC);
			pthread_mutex_lock(&state.lock);
		}
		GString *full = state.queue;
		state.queue = batch;
		batch = full;
		pthread_mutex_unlock(&state.lock);
		write_all(batch->str, batch->len);
		g_string_truncate(batch, 0);
		pthread_mutex_lock(&state.lock);
	}
	pthread_mutex_unlock(&state.lock);
	g_string_free(batch, TRUE);
	return NULL;
}

bool log_open(log_level_t level, log_format_t format, GError **error)
{
	state.level = level;
	state.format = format;
	state.queue = g_string_sized_new(LOG_LINE_MAX_BYTES);
	log4c_appender_type_set(&queue_appender_type);
	log4c_layout_type_set(&plain_layout_type);
	log4c_appender_t *appender = log4c_appender_get("egret_queue");
	log4c_appender_set_type(appender, &queue_appender_type);
	log4c_layout_t *layout = log4c_layout_get("egret_plain");
	log4c_layout_set_type(layout, &plain_layout_type);
	log4c_appender_set_layout(appender, layout);
	state.category = log4c_category_get(CATEGORY_NAME);
	log4c_category_set_appender(state.category, appender);
	log4c_category_set_additivity(state.category, 0);
	log4c_category_set_priority(state.category, priorities[level]);
	if (pthread_create(&state.writer, NULL, writer_main, NULL) != 0) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
			    "cannot start the log writer thread");
		return false;
	}
	state.running = true;
	return true;
}

void log_close(void)
{
	if (!state.running)
		return;
	pthread_mutex_lock(&state.lock);
	state.stopping = true;
	pthread_cond_signal(&state.wake);
	pthread_mutex_unlock(&state.lock);
	pthread_join(state.writer, NULL);
	state.running = false;
	g_string_free(state.queue, TRUE);
	log4c_fini();
}

bool log_level_parse(const char *text, log_level_t *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(text, level_names[i]) == 0) {
			*out = (log_level_t)i;
			return true;
		}
	}
	return false;
}

bool log_enabled(log_level_t level)
{
	return state.running && level <= state.level;
}

G_GNUC_PRINTF(2, 3)
static void append(log_rec_t *rec, const char *format, ...)
{
	va_list args;
	/* Room for the closing brace and the newline. */
	size_t room = sizeof(rec->line) - rec->len - 3;

	va_start(args, format);
	int n = vsnprintf(rec->line + rec->len, room, format, args);
	va_end(args);
	if (n > 0)
		rec->len += MIN((uint32_t)n, (uint32_t)room - 1);
}

static void append_escaped(log_rec_t *rec, const char *value)
{
	for (const unsigned char *p = (const unsigned char *)value; *p; p++) {
		if (*p == '"' || *p == '\\')
			append(rec, "\\%c", *p);
		else if (*p < 0x20 || *p >= 0x7f)
			append(rec, "\\u%04x", *p);
		else
			append(rec, "%c", *p);
	}
}

void log_begin(log_rec_t *rec, log_level_t level, const char *event)
{
	rec->enabled = log_enabled(level);
	if (!rec->enabled)
		return;
	rec->level = level;
	rec->len = 0;
	usec_t now = clock_wall_usec();
	if (state.format == LOG_FORMAT_JSON)
		append(rec,
		       "{\"time\":%" PRId64 ".%06" PRId64
		       ",\"level\":\"%s\",\"event\":\"%s\"",
		       now / USEC_PER_SEC, now % USEC_PER_SEC, level_names[level], event);
	else
		append(rec, "%" PRId64 ".%06" PRId64 " %s %s", now / USEC_PER_SEC,
		       now % USEC_PER_SEC, level_names[level], event);
}

void log_str(log_rec_t *rec, const char *key, const char *value)
{
	if (!rec->enabled)
		return;
	if (!value)
		value = "";
	bool json = state.format == LOG_FORMAT_JSON;
	if (sizeof(rec->line) - rec->len < strlen(key) + 6 * strlen(value) + 16)
		value = "(too long)";
	append(rec, json ? ",\"%s\":\"" : " %s=\"", key);
	append_escaped(rec, value);
	append(rec, "\"");
}

void log_int(log_rec_t *rec, const char *key, int64_t value)
{
	if (!rec->enabled)
		return;
	bool json = state.format == LOG_FORMAT_JSON;
	append(rec, json ? ",\"%s\":%" PRId64 : " %s=%" PRId64, key, value);
}

void log_hex(log_rec_t *rec, const char *key, const uint8_t *bytes, size_t len)
{
	if (!rec->enabled)
		return;
	char text[65];
	len = MIN(len, 32);
	for (size_t i = 0; i < len; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
	text[2 * len] = '\0';
	log_str(rec, key, text);
}

void log_end(log_rec_t *rec)
{
	if (!rec->enabled)
		return;
	if (state.format == LOG_FORMAT_JSON)
		rec->line[rec->len++] = '}';
	rec->line[rec->len++] = '\n';
	rec->line[rec->len] = '\0';
	log4c_category_log(state.category, priorities[rec->level], "%s", rec->line);
}

void log_failure(const char *attempted, const GError *error)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_ERROR, "failure");
	log_str(&rec, "attempted", attempted);
	log_str(&rec, "type", error ? egret_error_name(error->code) : "other");
	log_str(&rec, "message", error ? error->message : "");
	log_end(&rec);
}
