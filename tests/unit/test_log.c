#include "case.h"

#include "common/log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *parse(log_rec_t *rec)
{
	char text[LOG_LINE_MAX_BYTES + 2];
	json_error_t error;

	g_snprintf(text, sizeof(text), "%.*s}", (int)rec->len, rec->line);
	json_t *object = json_loads(text, 0, &error);
	if (!object)
		fail_msg("%s: %s", error.text, text);
	return object;
}

/* A JSON parser reads a text field back unchanged. A byte above 0x7f is escaped as
 * \u00XX. */
static void test_text(void **state)
{
	static const struct {
		const char *value, *read;
	} cases[] = {
		{"", ""},
		{NULL, ""},
		{"plain-1.2:3", "plain-1.2:3"},
		{"a\"b\\c", "a\"b\\c"},
		{"line\nnext\ttab\r\x01", "line\nnext\ttab\r\x01"},
		{"\"", "\""},
		{"\x7f", "\x7f"},
		{"\xe9", "\xc3\xa9"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		log_rec_t rec;

		log_begin(&rec, LOG_LEVEL_INFO, "event");
		log_str(&rec, "key", cases[i].value);
		json_t *object = parse(&rec);
		assert_string_equal(json_string_value(json_object_get(object, "key")),
				    cases[i].read);
		assert_string_equal(json_string_value(json_object_get(object, "event")),
				    "event");
		assert_string_equal(json_string_value(json_object_get(object, "level")),
				    "info");
		json_decref(object);
	}
}

static void test_numbers(void **state)
{
	static const int64_t cases[] = {
		0, 1, -1, 9, 10, 1234567890123, -1234567890123, INT64_MAX, INT64_MIN,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		log_rec_t rec;

		log_begin(&rec, LOG_LEVEL_INFO, "event");
		log_int(&rec, "key", cases[i]);
		json_t *object = parse(&rec);
		assert_true(json_integer_value(json_object_get(object, "key")) ==
			    cases[i]);
		json_decref(object);
	}
}

/* The time has six digits after the decimal point. */
static void test_time(void **state)
{
	for (int i = 0; i < 1000; i++) {
		log_rec_t rec;

		log_begin(&rec, LOG_LEVEL_INFO, "event");
		const char *point = memchr(rec.line, '.', rec.len);
		assert_non_null(point);
		assert_int_equal(strspn(point + 1, "0123456789"), 6);
		json_decref(parse(&rec));
	}
}

/* Fields that do not fit do not make the line longer than its buffer. */
static void test_full_line(void **state)
{
	char value[200];
	log_rec_t rec;

	memset(value, '"', sizeof(value) - 1);
	value[sizeof(value) - 1] = '\0';
	log_begin(&rec, LOG_LEVEL_INFO, "event");
	for (int i = 0; i < 100; i++)
		log_str(&rec, "key", value);
	assert_true(rec.len <= LOG_LINE_MAX_BYTES - 3);
}

/* Logging at a disabled level does nothing. */
static void test_level(void **state)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_DEBUG, "event");
	assert_false(rec.enabled);
	log_str(&rec, "key", "value");
	log_end(&rec);
}

static int open_log(void **state)
{
	GError *error = NULL;

	return log_open(LOG_LEVEL_INFO, LOG_FORMAT_JSON, &error) ? 0 : -1;
}

static int close_log(void **state)
{
	log_close();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_text),  cmocka_unit_test(test_numbers),
		cmocka_unit_test(test_time),  cmocka_unit_test(test_full_line),
		cmocka_unit_test(test_level),
	};

	return cmocka_run_group_tests(tests, open_log, close_log);
}
