#ifndef EGRET_HTTP_RESPONSE_HEAD_H
#define EGRET_HTTP_RESPONSE_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	response_head - status line and header fields of an HTTP/1 response
 *
 * DESCRIPTION
 *	Parses the head of a response line by line. Until the empty line that ends it,
 *	the head is incomplete and nothing in it may be used: the server may have
 *	closed the connection at any byte. Interim responses (1xx) are discarded. A
 *	status outside 100 to 599, also that of an interim response, is malformed: it
 *	states neither what became of the request nor that it did not run.
 *	Lines after the head are trailers; they are ignored, but count towards
 *	RESPONSE_HEAD_MAX_BYTES.
 *
 * OWNERSHIP
 *	A zeroed response_head_t is valid. response_head_clear() frees the headers.
 */

/* Longest head of a response, with interim responses and trailers. curl alone does not
 * bound the trailers. */
#define RESPONSE_HEAD_MAX_BYTES (12u << 10)

#define RESPONSE_STATUS_MAX 599

typedef enum response_head_state {
	RESPONSE_HEAD_START,  /* waits for a status line */
	RESPONSE_HEAD_FIELDS, /* waits for a header field or the empty line */
	RESPONSE_HEAD_COMPLETE,
	RESPONSE_HEAD_MALFORMED, /* or longer than RESPONSE_HEAD_MAX_BYTES */
} response_head_state_t;

typedef struct response_head {
	response_head_state_t state;
	uint32_t status;
	GPtrArray *headers; /* of header_t, or NULL before the first status line */
	size_t bytes;	    /* of all lines */
} response_head_t;

/* Whether the status is one of a final response, 200 to 599. */
bool response_status_is_final(uint32_t status);

/* `line` ends with CR LF or LF. Returns the new state. */
response_head_state_t response_head_add_line(response_head_t *head, const char *line,
					     size_t len);
void response_head_clear(response_head_t *head);

#endif
