#ifndef EGRET_HTTP_HEADERS_H
#define EGRET_HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>

/*
 * NAME
 *	headers - lists of HTTP headers that are passed on
 *
 * OWNERSHIP
 *	A list is a reference-counted GPtrArray of header_t that frees its
 *	members; release it with g_ptr_array_unref().
 */

typedef struct header {
	char *name;
	char *value;
} header_t;

/* A list of header_t that frees its members. */
GPtrArray *headers_create(void);
void headers_add(GPtrArray *headers, const char *name, const char *value);
const char *headers_find(const GPtrArray *headers, const char *name);

/* Whether a header belongs to one hop or to this system and is not passed on. */
bool header_is_stripped(const char *name);

#endif
