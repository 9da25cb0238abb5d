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

static void header_free(void *data)
{
	header_t *header = data;

	g_free(header->name);
	g_free(header->value);
	g_free(header);
}

GPtrArray *headers_create(void)
{
	return g_ptr_array_new_with_free_func(header_free);
}

void headers_add(GPtrArray *headers, const char *name, const char *value)
{
	header_t *header = g_new0(header_t, 1);

	header->name = g_strdup(name);
	header->value = g_strdup(value);
	g_ptr_array_add(headers, header);
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
