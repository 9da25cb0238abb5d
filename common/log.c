#include "common/log.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

#include <log4c.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_MAX_BYTES (1u << 20)
/* The writer collects lines for this time, so that a busy node does not wake it for each
 * line. */
#define BATCH_DELAY_USEC 50000
#define CATEGORY_NAME "egretscale"
/* Holds the sign and digits of any int64_t. */
#define INT_TEXT_BYTES 24

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
	if (state.queue->len + len > QUEUE_MAX_BYTES) {
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
			g_usleep(BATCH_DELAY_USEC);
			pthread_mutex_lock(&state.lock);
		}
		GString *filled = state.queue;
		state.queue = batch;
		batch = filled;
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

/* Appends as much as fits. Reserves three bytes for the closing brace, the newline and
 * the terminating NUL. */
static void append(log_rec_t *rec, const char *data, size_t len)
{
	size_t space = sizeof(rec->line) - rec->len - 3;

	len = MIN(len, space);
	memcpy(rec->line + rec->len, data, len);
	rec->len += (uint32_t)len;
}

static void append_text(log_rec_t *rec, const char *text)
{
	append(rec, text, strlen(text));
}

/* Appends a decimal number, padded with zeros to at least `digits` digits. */
static void append_int(log_rec_t *rec, int64_t value, int digits)
{
	char text[INT_TEXT_BYTES];
	char *p = text + sizeof(text);
	uint64_t rest = value < 0 ? -(uint64_t)value : (uint64_t)value;

	do {
		*--p = (char)('0' + rest % 10);
		rest /= 10;
		digits--;
	} while (rest > 0 || digits > 0);
	if (value < 0)
		*--p = '-';
	append(rec, p, (size_t)(text + sizeof(text) - p));
}

/* Whether a byte is printable ASCII that needs no JSON escape. */
static bool is_plain(unsigned char c)
{
	return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
}

static void append_escaped(log_rec_t *rec, const char *value)
{
	static const char hex[] = "0123456789abcdef";
	const unsigned char *p = (const unsigned char *)value;

	while (*p) {
		const unsigned char *start = p;

		while (is_plain(*p))
			p++;
		append(rec, (const char *)start, (size_t)(p - start));
		if (*p == '"' || *p == '\\') {
			append(rec, (char[]){'\\', (char)*p++}, 2);
		} else if (*p) {
			char code[] = {'\\', 'u', '0', '0', hex[*p >> 4], hex[*p & 15]};
			append(rec, code, sizeof(code));
			p++;
		}
	}
}

static void append_key(log_rec_t *rec, const char *key)
{
	bool json = state.format == LOG_FORMAT_JSON;

	append_text(rec, json ? ",\"" : " ");
	append_text(rec, key);
	append_text(rec, json ? "\":" : "=");
}

void log_begin(log_rec_t *rec, log_level_t level, const char *event)
{
	rec->enabled = log_enabled(level);
	if (!rec->enabled)
		return;
	rec->level = level;
	rec->len = 0;
	usec_t now = clock_wall_usec();
	bool json = state.format == LOG_FORMAT_JSON;
	append_text(rec, json ? "{\"time\":" : "");
	append_int(rec, now / USEC_PER_SEC, 1);
	append_text(rec, ".");
	append_int(rec, now % USEC_PER_SEC, 6);
	append_text(rec, json ? ",\"level\":\"" : " ");
	append_text(rec, level_names[level]);
	append_text(rec, json ? "\",\"event\":\"" : " ");
	append_text(rec, event);
	append_text(rec, json ? "\"" : "");
}

void log_str(log_rec_t *rec, const char *key, const char *value)
{
	if (!rec->enabled)
		return;
	if (!value)
		value = "";
	if (sizeof(rec->line) - rec->len < strlen(key) + 6 * strlen(value) + 16)
		value = "(too long)";
	append_key(rec, key);
	append_text(rec, "\"");
	append_escaped(rec, value);
	append_text(rec, "\"");
}

void log_int(log_rec_t *rec, const char *key, int64_t value)
{
	if (!rec->enabled)
		return;
	append_key(rec, key);
	append_int(rec, value, 1);
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
