#ifndef EGRET_HTTP_HEADERS_H
#define EGRET_HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>

/*
 * NAME
 *	headers - lists of HTTP headers to forward
 *
 * OWNERSHIP
 *	A list is a reference-counted GPtrArray of header_t that frees its members.
 *	It is released with g_ptr_array_unref(). Names and values are copied; both
 *	belong to the header's block and are not freed separately.
 */

typedef struct header {
	char *name;
	char *value;
} header_t;

GPtrArray *headers_create(void);
void headers_add(GPtrArray *headers, const char *name, const char *value);

/* Appends a space and text to the value of the last header; the list is not empty. */
void headers_extend_last(GPtrArray *headers, const char *text);

/* Bytes of memory that the headers take, which for short ones is far more than their
 * bytes in a message. The list may be NULL. */
size_t headers_memory(const GPtrArray *headers);

/* Bytes of the headers in a message. The list may be NULL. */
size_t headers_bytes(const GPtrArray *headers);

/* Returns the value of the first header of that name, ignoring case, or NULL. The list
 * may be NULL. The value belongs to the list. */
const char *headers_find(const GPtrArray *headers, const char *name);

/*
 * Whether a header is stripped when a message is forwarded: it applies to one hop only
 * or is consumed by this system (egret-*, authorization, idempotency-key).
 */
bool header_is_stripped(const char *name);

#endif
