#include "claims/claim.h"

#include "http/headers.h"
#include "http/response_head.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define ROW_PREFIX "claim/"
#define HEX_ID_TEXT_BYTES 17

char *claim_row_key(const char *account, const char *idempotency_key)
{
	uint8_t digest[crypto_hash_sha256_BYTES];
	char hex[2 * crypto_hash_sha256_BYTES + 1];

	crypto_hash_sha256(digest, (const unsigned char *)idempotency_key,
			   strlen(idempotency_key));
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	return g_strconcat(ROW_PREFIX, account, "/", hex, NULL);
}

static json_t *encode_headers(const GPtrArray *headers)
{
	json_t *list = json_array();

	for (guint i = 0; headers && i < headers->len; i++) {
		const header_t *header = headers->pdata[i];
		json_t *pair = json_pack("[s, s]", header->name, header->value);
		if (pair)
			json_array_append_new(list, pair);
	}
	return list;
}

static void set_hex(json_t *json, const char *field, uint64_t value)
{
	char text[HEX_ID_TEXT_BYTES];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
	json_object_set_new(json, field, json_string(text));
}

static uint64_t get_hex(const json_t *json, const char *field)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text ? g_ascii_strtoull(text, NULL, 16) : 0;
}

char *claim_row_encode(const claim_row_t *row)
{
	json_t *json = json_object();

	json_object_set_new(json, "state",
			    json_string(row->state == CLAIM_DONE ? "done" : "running"));
	set_hex(json, "fingerprint", row->fingerprint);
	set_hex(json, "owner", row->owner);
	if (row->state == CLAIM_DONE) {
		json_object_set_new(json, "status", json_integer(row->status));
		json_object_set_new(json, "headers", encode_headers(row->headers));
		if (row->object)
			json_object_set_new(json, "object", json_string(row->object));
	}
	if (row->body) {
		gsize len;
		const guchar *data = g_bytes_get_data(row->body, &len);
		char *base64 = g_base64_encode(data, len);
		json_object_set_new(json, "body", json_string(base64));
		g_free(base64);
	}
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(json);
	return text;
}

static void decode_headers(const json_t *list, GPtrArray *out)
{
	size_t i;
	json_t *pair;

	json_array_foreach(list, i, pair)
	{
		const char *name = json_string_value(json_array_get(pair, 0));
		const char *value = json_string_value(json_array_get(pair, 1));
		if (name && value)
			headers_add(out, name, value);
	}
}

/* Returns 0 for a status that is not one of a final response. */
static uint32_t decode_status(const json_t *value)
{
	json_int_t status = json_integer_value(value);

	if (status < 0 || status > UINT32_MAX ||
	    !response_status_is_final((uint32_t)status))
		return 0;
	return (uint32_t)status;
}

bool claim_row_decode(const char *text, claim_row_t *out)
{
	json_t *json = json_loads(text, 0, NULL);
	const char *state = json_string_value(json_object_get(json, "state"));

	memset(out, 0, sizeof(*out));
	if (!state) {
		json_decref(json);
		return false;
	}
	out->state = strcmp(state, "done") == 0 ? CLAIM_DONE : CLAIM_RUNNING;
	out->fingerprint = get_hex(json, "fingerprint");
	out->owner = get_hex(json, "owner");
	out->status = decode_status(json_object_get(json, "status"));
	out->headers = headers_create();
	decode_headers(json_object_get(json, "headers"), out->headers);
	out->object = g_strdup(json_string_value(json_object_get(json, "object")));
	const char *base64 = json_string_value(json_object_get(json, "body"));
	if (base64) {
		gsize len;
		guchar *data = g_base64_decode(base64, &len);
		out->body = g_bytes_new_take(data, len);
	}
	json_decref(json);
	return true;
}

void claim_row_clear(claim_row_t *row)
{
	if (row->headers)
		g_ptr_array_unref(row->headers);
	g_clear_pointer(&row->body, g_bytes_unref);
	g_clear_pointer(&row->object, g_free);
	row->headers = NULL;
}

claim_verdict_t claim_check(const claim_row_t *row, uint64_t fingerprint)
{
	if (row->fingerprint != fingerprint)
		return CLAIM_MISMATCH;
	if (row->state != CLAIM_DONE || (!row->body && !row->object))
		return CLAIM_BUSY;
	if (!row->status)
		return CLAIM_LOST;
	return row->object ? CLAIM_FETCH : CLAIM_REPLAY;
}
