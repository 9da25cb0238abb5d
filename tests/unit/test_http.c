/* Tests the parser of response heads. */
#include "case.h"

#include "http/headers.h"
#include "http/response_head.h"

#include <string.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define FIELD "X-Field: value\r\n"
#define END "\r\n"
#define X_1024(c) X_256(c) X_256(c) X_256(c) X_256(c)
#define X_256(c) X_64(c) X_64(c) X_64(c) X_64(c)
#define X_64(c) X_16(c) X_16(c) X_16(c) X_16(c)
#define X_16(c) c c c c c c c c c c c c c c c c

typedef struct head_case {
	const char *name;
	const char *text;
	response_head_state_t state;
	uint32_t status;   /* if the head is complete */
	const char *value; /* of X-Field, if the head is complete */
} head_case_t;

/* Adds only complete lines, as curl does. */
static void add_lines(response_head_t *head, const char *text)
{
	for (const char *end; (end = strchr(text, '\n')); text = end + 1)
		response_head_add_line(head, text, (size_t)(end - text) + 1);
}

static void test_head(void **state)
{
	const head_case_t *c = *state;
	response_head_t head = {0};

	add_lines(&head, c->text);
	assert_int_equal(head.state, c->state);
	if (c->state == RESPONSE_HEAD_COMPLETE) {
		const char *value = headers_find(head.headers, "x-field");
		assert_int_equal(head.status, c->status);
		assert_int_equal(value != NULL, c->value != NULL);
		if (value)
			assert_string_equal(value, c->value);
	}
	response_head_clear(&head);
	assert_null(head.headers);
}

static const head_case_t head_cases[] = {
	{"head: nothing", "", RESPONSE_HEAD_START, 0, NULL},
	{"head: part of a status line", "HTTP/1.1 200", RESPONSE_HEAD_START, 0, NULL},
	{"head: a status line", OK, RESPONSE_HEAD_FIELDS, 0, NULL},
	{"head: part of a field", OK "X-Fie", RESPONSE_HEAD_FIELDS, 0, NULL},
	{"head: no empty line", OK FIELD, RESPONSE_HEAD_FIELDS, 0, NULL},
	{"head: complete", OK FIELD END, RESPONSE_HEAD_COMPLETE, 200, "value"},
	{"head: no fields", OK END, RESPONSE_HEAD_COMPLETE, 200, NULL},
	{"head: lines end with LF", "HTTP/1.0 204 X\nX-Field:value\n\n",
	 RESPONSE_HEAD_COMPLETE, 204, "value"},
	{"head: no reason phrase", "HTTP/1.1 503\r\n" END, RESPONSE_HEAD_COMPLETE, 503,
	 NULL},
	{"head: an empty value", OK "X-Field:\r\n" END, RESPONSE_HEAD_COMPLETE, 200, ""},
	{"head: a continuation line", OK "X-Field: a\r\n\tb\r\n" END,
	 RESPONSE_HEAD_COMPLETE, 200, "a b"},
	{"head: a continuation line without a field", OK " b\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: an interim response", "HTTP/1.1 100 Continue\r\n" FIELD END,
	 RESPONSE_HEAD_START, 0, NULL},
	{"head: part of a head after an interim response",
	 "HTTP/1.1 103 X\r\n" FIELD END OK, RESPONSE_HEAD_FIELDS, 0, NULL},
	{"head: fields of an interim response",
	 "HTTP/1.1 103 X\r\n" FIELD END "HTTP/1.1 204 X\r\n" END, RESPONSE_HEAD_COMPLETE,
	 204, NULL},
	{"head: switching protocols", "HTTP/1.1 101 X\r\n" END, RESPONSE_HEAD_START, 0,
	 NULL},
	{"head: trailers", OK END FIELD, RESPONSE_HEAD_COMPLETE, 200, NULL},
	{"head: a status line in trailers", OK FIELD END "HTTP/1.1 503 X\r\n",
	 RESPONSE_HEAD_COMPLETE, 200, "value"},
	{"head: a status line among the fields", OK "HTTP/1.1 503 X\r\n" FIELD END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: a line without a colon", OK "junk\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: a space before the colon", OK "X-Field : a\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: a field without a name", OK ": a\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: no status line", FIELD END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: another protocol", "HTTP/2.0 200 OK\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: a status of two digits", "HTTP/1.1 20 OK\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: a status of four digits", "HTTP/1.1 2000 OK\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 000", "HTTP/1.1 000 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 000 alone", "HTTP/1.1 000\r\n", RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 099", "HTTP/1.1 099 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 00", "HTTP/1.1 00 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 0", "HTTP/1.1 0 OK OK\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 0200", "HTTP/1.1 0200 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: status +20", "HTTP/1.1 +20 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status -20", "HTTP/1.1 -20 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 2e2", "HTTP/1.1 2e2 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: a status behind two spaces", "HTTP/1.1  20 X\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: no status", "HTTP/1.1 OK OK\r\n" END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 600", "HTTP/1.1 600 X\r\n" FIELD END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: status 999", "HTTP/1.1 999 X\r\n" FIELD END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: the lowest final status", "HTTP/1.1 200 X\r\n" END,
	 RESPONSE_HEAD_COMPLETE, 200, NULL},
	{"head: the highest status", "HTTP/1.1 599 X\r\n" END, RESPONSE_HEAD_COMPLETE,
	 599, NULL},
	{"head: status 000 before the final head", "HTTP/1.1 000 X\r\n" END OK END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 099 before the final head", "HTTP/1.1 099 X\r\n" END OK END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: status 000 behind an interim response",
	 "HTTP/1.1 100 X\r\n" END "HTTP/1.1 000 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: status 600 behind an interim response",
	 "HTTP/1.1 100 X\r\n" END "HTTP/1.1 600 X\r\n" END, RESPONSE_HEAD_MALFORMED, 0,
	 NULL},
	{"head: interim status 199", "HTTP/1.1 199 X\r\n" END OK END,
	 RESPONSE_HEAD_COMPLETE, 200, NULL},
	{"head: repeated interim responses",
	 "HTTP/1.1 100 X\r\n" END "HTTP/1.1 100 X\r\n" END OK END, RESPONSE_HEAD_COMPLETE,
	 200, NULL},
	{"head: interim responses without end",
	 X_64(X_16("HTTP/1.1 100 X\r\n" END)) OK END, RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: fields without end", OK X_64(X_16("X-Filler: y\r\n")),
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: two equal lengths", OK "Content-Length: 2\r\ncontent-length: 2\r\n" END,
	 RESPONSE_HEAD_COMPLETE, 200, NULL},
	{"head: two lengths", OK "Content-Length: 2\r\nContent-Length: 9\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: a list of lengths", OK "Content-Length: 2, 2\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: an empty length", OK "Content-Length:\r\n" END, RESPONSE_HEAD_MALFORMED,
	 0, NULL},
	{"head: too long", OK "A: " X_1024("xxxxxxxxxxxx") "\r\n" END,
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
	{"head: trailers that are too long", OK END "A: " X_1024("xxxxxxxxxxxx") "\r\n",
	 RESPONSE_HEAD_MALFORMED, 0, NULL},
};

static void test_nul_in_line(void **state)
{
	(void)state;
	response_head_t head = {0};

	add_lines(&head, OK);
	assert_int_equal(response_head_add_line(&head, "A: b\0c\r\n", 8),
			 RESPONSE_HEAD_MALFORMED);
	response_head_clear(&head);
}

int main(void)
{
	const struct CMUnitTest single[] = {
		cmocka_unit_test(test_nul_in_line),
	};

	return RUN_CASES("head", head_cases, test_head) +
	       cmocka_run_group_tests(single, NULL, NULL);
}
