#include "egretscaled/node/inflight.h"

#include <sodium.h>

typedef struct live_request {
	char token[LIVE_TOKEN_TEXT_BYTES];
	request_context_t context;
	retry_count_t retries;
	priority_t below;
	GArray *children;
	usec_t onward_since; /* when the first of the running children started */
	usec_t onward_time;
} live_request_t;

struct live_table {
	GHashTable *by_token; /* token -> live_request_t */
};

static void live_request_free(void *data)
{
	live_request_t *live = data;

	request_context_clear(&live->context);
	if (live->children)
		g_array_free(live->children, TRUE);
	g_free(live);
}

live_table_t *live_table_create(void)
{
	live_table_t *table = g_new0(live_table_t, 1);

	table->by_token =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, live_request_free);
	return table;
}

void live_table_destroy(live_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_token);
	g_free(table);
}

void live_begin(live_table_t *table, const request_context_t *context,
		char token[LIVE_TOKEN_TEXT_BYTES])
{
	live_request_t *live = g_new0(live_request_t, 1);
	uint8_t bytes[LIVE_TOKEN_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(live->token, sizeof(live->token), bytes, sizeof(bytes));
	request_context_copy(&live->context, context);
	live->retries.left = context->retries;
	live->below = PRIORITY_LEVEL_ALL;
	live->children = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(table->by_token, live->token, live);
	g_strlcpy(token, live->token, LIVE_TOKEN_TEXT_BYTES);
}

void live_report(live_table_t *table, const char *token, live_summary_t *out)
{
	live_request_t *live = g_hash_table_lookup(table->by_token, token);

	if (!live)
		return;
	out->retries_back = live->retries.left;
	out->below = live->below;
	live->retries.left = 0;
}

void live_end(live_table_t *table, const char *token, usec_t now, live_summary_t *out)
{
	live_request_t *live = g_hash_table_lookup(table->by_token, token);

	*out = (live_summary_t){.below = PRIORITY_LEVEL_ALL};
	if (!live)
		return;
	if (live->children->len > 0)
		live->onward_time += now - live->onward_since;
	out->retries_back = live->retries.left;
	out->below = live->below;
	out->onward_time = live->onward_time;
	out->children = live->children;
	live->children = NULL;
	g_hash_table_remove(table->by_token, token);
}

bool live_child_begin(live_table_t *table, const char *token, uint64_t child, usec_t now,
		      request_context_t *out)
{
	live_request_t *live = g_hash_table_lookup(table->by_token, token);

	if (!live)
		return false;
	if (live->children->len == 0)
		live->onward_since = now;
	g_array_append_val(live->children, child);
	request_context_clear(out);
	request_context_copy(out, &live->context);
	out->retries = retry_count_lend(&live->retries);
	out->depth++;
	return true;
}

void live_child_end(live_table_t *table, const char *token, uint64_t child, usec_t now,
		    uint32_t lent, uint32_t returned, priority_t below)
{
	live_request_t *live = g_hash_table_lookup(table->by_token, token);

	if (!live)
		return;
	retry_count_return(&live->retries, lent, returned);
	live->below = MIN(live->below, below);
	for (guint i = 0; i < live->children->len; i++) {
		if (g_array_index(live->children, uint64_t, i) != child)
			continue;
		g_array_remove_index_fast(live->children, i);
		if (live->children->len == 0)
			live->onward_time += now - live->onward_since;
		return;
	}
}

uint32_t live_count(const live_table_t *table)
{
	return g_hash_table_size(table->by_token);
}
