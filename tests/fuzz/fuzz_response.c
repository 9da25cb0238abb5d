/* Reads the head of a target's response in both dialects. */
#include "http/headers.h"
#include "http/response_head.h"
#include "platform/dialect.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_head(const response_head_t *head)
{
	sent_request_t request = {.headers = headers_create(), .token = "token"};
	response_headers_t response;

	headers_add((GPtrArray *)request.headers, "Request-Attempt-Id", "id");
	platform_dialect()->read_response(&request, head->status, head->headers,
					  &response);
	dialect_egret()->read_response(&request, head->status, head->headers, &response);
	g_ptr_array_unref((GPtrArray *)request.headers);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	response_head_t head = {0};
	const char *text = (const char *)data;
	const char *end = text + size;
	const char *newline;

	while (text < end && (newline = memchr(text, '\n', (size_t)(end - text)))) {
		response_head_add_line(&head, text, (size_t)(newline - text) + 1);
		text = newline + 1;
	}
	if (head.state == RESPONSE_HEAD_COMPLETE)
		read_head(&head);
	response_head_clear(&head);
	return 0;
}
