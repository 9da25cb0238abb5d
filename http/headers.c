#include "http/headers.h"

#include <string.h>
#include <strings.h>

static const char *const stripped_headers[] = {
	"connection",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
	"expect",
	"authorization",
	"idempotency-key",
};

/* Least size of a heap block, and the array's pointer (doubled as it grows). */
#define BLOCK_MIN_BYTES 32
#define POINTER_BYTES (2 * sizeof(void *))

GPtrArray *headers_create(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

/* A field takes one heap block: short fields would otherwise take three times as much. */
static header_t *header_create(const char *name, const char *value)
{
	size_t name_size = strlen(name) + 1;
	size_t value_size = strlen(value) + 1;
	header_t *header = g_malloc(sizeof(*header) + name_size + value_size);

	header->name = (char *)(header + 1);
	header->value = header->name + name_size;
	memcpy(header->name, name, name_size);
	memcpy(header->value, value, value_size);
	return header;
}

void headers_add(GPtrArray *headers, const char *name, const char *value)
{
	g_ptr_array_add(headers, header_create(name, value));
}

void headers_extend_last(GPtrArray *headers, const char *text)
{
	header_t *last = headers->pdata[headers->len - 1];
	char *value = g_strconcat(last->value, " ", text, NULL);

	headers->pdata[headers->len - 1] = header_create(last->name, value);
	g_free(last);
	g_free(value);
}

size_t headers_memory(const GPtrArray *headers)
{
	size_t bytes = 0;

	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		size_t block = sizeof(*header) + strlen(header->name) +
			       strlen(header->value) + sizeof(size_t);
		bytes += MAX(block, BLOCK_MIN_BYTES) + POINTER_BYTES;
	}
	return bytes;
}

size_t headers_bytes(const GPtrArray *headers)
{
	size_t bytes = 0;

	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		bytes += strlen(header->name) + strlen(": ") + strlen(header->value) +
			 strlen("\r\n");
	}
	return bytes;
}

const char *headers_find(const GPtrArray *headers, const char *name)
{
	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		if (strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

bool header_is_stripped(const char *name)
{
	if (strncasecmp(name, "egret-", strlen("egret-")) == 0)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(stripped_headers); i++) {
		if (strcasecmp(name, stripped_headers[i]) == 0)
			return true;
	}
	return false;
}
