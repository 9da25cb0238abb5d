#include "http/response_head.h"

#include "http/headers.h"

#include <string.h>

#define VERSION_PREFIX "HTTP/1."
/* "HTTP/1.1 200" */
#define STATUS_LINE_MIN_BYTES 12
#define STATUS_OFFSET 9
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200

bool response_status_is_final(uint32_t status)
{
	return status >= STATUS_FINAL_MIN && status <= RESPONSE_STATUS_MAX;
}

static response_head_state_t parse_status_line(response_head_t *head, const char *line)
{
	const char *status = line + STATUS_OFFSET;

	if (strlen(line) < STATUS_LINE_MIN_BYTES ||
	    !g_str_has_prefix(line, VERSION_PREFIX) ||
	    !g_ascii_isdigit(line[STATUS_OFFSET - 2]) || line[STATUS_OFFSET - 1] != ' ')
		return RESPONSE_HEAD_MALFORMED;
	for (int i = 0; i < STATUS_DIGITS; i++) {
		if (!g_ascii_isdigit(status[i]))
			return RESPONSE_HEAD_MALFORMED;
	}
	if (status[STATUS_DIGITS] && status[STATUS_DIGITS] != ' ')
		return RESPONSE_HEAD_MALFORMED;
	head->status = (uint32_t)g_ascii_strtoull(status, NULL, 10);
	if (head->status < STATUS_MIN || head->status > RESPONSE_STATUS_MAX)
		return RESPONSE_HEAD_MALFORMED;
	g_clear_pointer(&head->headers, g_ptr_array_unref);
	head->headers = headers_create();
	return RESPONSE_HEAD_FIELDS;
}

/* Appends a continuation line to the previous field. */
static response_head_state_t append_to_field(response_head_t *head, const char *text)
{
	if (head->headers->len == 0)
		return RESPONSE_HEAD_MALFORMED;
	headers_extend_last(head->headers, text);
	return RESPONSE_HEAD_FIELDS;
}

static response_head_state_t parse_field(response_head_t *head, char *line)
{
	size_t name_len = strcspn(line, ": \t");

	if (*line == ' ' || *line == '\t')
		return append_to_field(head, g_strstrip(line));
	if (name_len == 0 || line[name_len] != ':')
		return RESPONSE_HEAD_MALFORMED;
	line[name_len] = '\0';
	headers_add(head->headers, line, g_strstrip(line + name_len + 1));
	return RESPONSE_HEAD_FIELDS;
}

/* Whether all Content-Length fields state the same number. Where the body ends is unknown
 * otherwise. */
static bool lengths_agree(const GPtrArray *headers)
{
	const char *length = headers_find(headers, "Content-Length");

	if (!length)
		return true;
	for (guint i = 0; i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		if (g_ascii_strcasecmp(header->name, "Content-Length") == 0 &&
		    strcmp(header->value, length) != 0)
			return false;
	}
	return *length && strspn(length, "0123456789") == strlen(length);
}

static response_head_state_t parse_line(response_head_t *head, char *line)
{
	if (head->state == RESPONSE_HEAD_START)
		return parse_status_line(head, line);
	if (*line)
		return parse_field(head, line);
	if (!response_status_is_final(head->status))
		return RESPONSE_HEAD_START;
	return lengths_agree(head->headers) ? RESPONSE_HEAD_COMPLETE
					    : RESPONSE_HEAD_MALFORMED;
}

response_head_state_t response_head_add_line(response_head_t *head, const char *line,
					     size_t len)
{
	head->bytes += len;
	if (head->bytes > RESPONSE_HEAD_MAX_BYTES || memchr(line, '\0', len))
		head->state = RESPONSE_HEAD_MALFORMED;
	if (head->state == RESPONSE_HEAD_COMPLETE ||
	    head->state == RESPONSE_HEAD_MALFORMED)
		return head->state;
	while (len > 0 && (line[len - 1] == '\n' || line[len - 1] == '\r'))
		len--;
	char *copy = g_strndup(line, len);
	head->state = parse_line(head, copy);
	g_free(copy);
	return head->state;
}

void response_head_clear(response_head_t *head)
{
	g_clear_pointer(&head->headers, g_ptr_array_unref);
	*head = (response_head_t){0};
}
