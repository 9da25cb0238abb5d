#ifndef EGRET_HTTP_REQUEST_READER_H
#define EGRET_HTTP_REQUEST_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	request_reader - splits the bytes of a client into HTTP/1 requests
 *
 * DESCRIPTION
 *	Parses with http-parser. It stops behind each head and behind each request, so
 *	that the caller decides when to read on; the bytes that it did not consume are
 *	to be fed again. Trailers are discarded. Requests for a tunnel (CONNECT) and
 *	those whose length is ambiguous are malformed.
 *
 * ERRORS
 *	After READER_MALFORMED or READER_TOO_LARGE the end of the request is unknown,
 *	and nothing that follows may be read.
 */

#define REQUEST_HEAD_MAX_BYTES (32u << 10)
/* Fields of a head by default: a head of 16,384 bytes may hold 4,096 of four bytes. */
#define REQUEST_FIELDS_MAX 4096
#define REQUEST_LENGTH_UNKNOWN (-1)

typedef struct request_reader request_reader_t;

typedef struct request_head {
	const char *method; /* static */
	char *path;	    /* with the query, as the client sent it */
	GPtrArray *headers; /* of header_t, all of them */
	bool http_1_1;	    /* else HTTP/1.0 */
	bool keep_alive;    /* the client reads further responses on the connection */
	bool expects_continue;
	int64_t content_length; /* REQUEST_LENGTH_UNKNOWN if it is chunked */
} request_head_t;

typedef enum reader_event {
	READER_MORE,	  /* all bytes were consumed and the request goes on */
	READER_HEAD,	  /* request_reader_take_head() returns the head */
	READER_END,	  /* the request is complete */
	READER_MALFORMED, /* not HTTP/1, or the length is ambiguous */
	READER_TOO_LARGE, /* the head exceeds REQUEST_HEAD_MAX_BYTES or the fields */
} reader_event_t;

/* Called for each part of a body, at most the bytes fed. */
typedef void (*reader_body_fn)(void *ctx, const char *data, size_t len);

request_reader_t *request_reader_create(reader_body_fn on_body, void *ctx);
void request_reader_destroy(request_reader_t *reader);

/* Sets the largest number of fields of a head; REQUEST_FIELDS_MAX before. */
void request_reader_limit_fields(request_reader_t *reader, uint32_t fields_max);

/* Bytes of memory that the reader holds for an unfinished head. */
size_t request_reader_memory(const request_reader_t *reader);

/* Reads from `data`, len > 0, and writes how many bytes it consumed. */
reader_event_t request_reader_feed(request_reader_t *reader, const char *data, size_t len,
				   size_t *consumed);

/* The caller owns the head; once for each READER_HEAD. */
request_head_t *request_reader_take_head(request_reader_t *reader);
void request_head_destroy(request_head_t *head);

/* Whether the head of a request is complete and its end was not read yet. */
bool request_reader_in_body(const request_reader_t *reader);

/* Whether some bytes of a head were read, but not all. */
bool request_reader_in_head(const request_reader_t *reader);

#endif
