#include "egretscaled/node/inflight.h"

#include <sodium.h>

typedef struct inflight_request {
	char token[CONTEXT_TOKEN_TEXT_BYTES];
	request_context_t context;
	retry_count_t retries;
	priority_t downstream_level;
	GArray *children; /* numbers (uint64_t) of the HTTP requests of the outbound calls
			     in flight */
	usec_t outbound_since; /* when the number of children rose from 0 */
	usec_t outbound_time;
} inflight_request_t;

struct inflight_table {
	GHashTable *by_token; /* token -> inflight_request_t */
};

static void inflight_request_free(void *data)
{
	inflight_request_t *request = data;

	request_context_clear(&request->context);
	if (request->children)
		g_array_free(request->children, TRUE);
	g_free(request);
}

inflight_table_t *inflight_table_create(void)
{
	inflight_table_t *table = g_new0(inflight_table_t, 1);

	table->by_token = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						inflight_request_free);
	return table;
}

void inflight_table_destroy(inflight_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_token);
	g_free(table);
}

void inflight_begin(inflight_table_t *table, const request_context_t *context,
		    char token[CONTEXT_TOKEN_TEXT_BYTES])
{
	inflight_request_t *request = g_new0(inflight_request_t, 1);
	uint8_t bytes[CONTEXT_TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(request->token, sizeof(request->token), bytes, sizeof(bytes));
	request_context_copy(&request->context, context);
	request->retries.left = context->retries;
	request->downstream_level = PRIORITY_LEVEL_ALL;
	request->children = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(table->by_token, request->token, request);
	g_strlcpy(token, request->token, CONTEXT_TOKEN_TEXT_BYTES);
}

void inflight_report(inflight_table_t *table, const char *token, inflight_summary_t *out)
{
	inflight_request_t *request = g_hash_table_lookup(table->by_token, token);

	if (!request)
		return;
	out->retries_returned = request->retries.left;
	out->downstream_level = request->downstream_level;
	request->retries.left = 0;
}

void inflight_end(inflight_table_t *table, const char *token, usec_t now,
		  inflight_summary_t *out)
{
	inflight_request_t *request = g_hash_table_lookup(table->by_token, token);

	*out = (inflight_summary_t){.downstream_level = PRIORITY_LEVEL_ALL};
	if (!request)
		return;
	if (request->children->len > 0)
		request->outbound_time += now - request->outbound_since;
	out->retries_returned = request->retries.left;
	out->downstream_level = request->downstream_level;
	out->outbound_time = request->outbound_time;
	out->children = request->children;
	request->children = NULL;
	g_hash_table_remove(table->by_token, token);
}

bool inflight_child_begin(inflight_table_t *table, const char *token, uint64_t child,
			  usec_t now, request_context_t *out)
{
	inflight_request_t *request = g_hash_table_lookup(table->by_token, token);

	if (!request)
		return false;
	if (request->children->len == 0)
		request->outbound_since = now;
	g_array_append_val(request->children, child);
	request_context_clear(out);
	request_context_copy(out, &request->context);
	out->retries = retry_count_lend(&request->retries);
	out->depth++;
	return true;
}

void inflight_child_end(inflight_table_t *table, const char *token, uint64_t child,
			usec_t now, uint32_t lent, uint32_t returned, priority_t level)
{
	inflight_request_t *request = g_hash_table_lookup(table->by_token, token);

	if (!request)
		return;
	retry_count_return(&request->retries, lent, returned);
	request->downstream_level = MIN(request->downstream_level, level);
	for (guint i = 0; i < request->children->len; i++) {
		if (g_array_index(request->children, uint64_t, i) != child)
			continue;
		g_array_remove_index_fast(request->children, i);
		if (request->children->len == 0)
			request->outbound_time += now - request->outbound_since;
		return;
	}
}

uint32_t inflight_count(const inflight_table_t *table)
{
	return g_hash_table_size(table->by_token);
}
