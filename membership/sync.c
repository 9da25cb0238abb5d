#include "membership/sync.h"

#include <glib.h>

#define STORE_WAIT_BASE (500 * USEC_PER_MSEC)
#define STORE_WAIT_DOUBLINGS_MAX 4

struct sync {
	usec_t created;
	usec_t next_pull;
	usec_t interval;
	bool completed;
	GHashTable *config_peers; /* set of addresses */
};

sync_t *sync_create(usec_t now)
{
	sync_t *sync = g_new0(sync_t, 1);

	sync->created = now;
	sync->next_pull = now;
	sync->interval = SYNC_RETRY;
	sync->config_peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return sync;
}

void sync_destroy(sync_t *sync)
{
	if (!sync)
		return;
	g_hash_table_destroy(sync->config_peers);
	g_free(sync);
}

bool sync_due(const sync_t *sync, usec_t now, bool urgent)
{
	return urgent || now >= sync->next_pull;
}

void sync_ended(sync_t *sync, usec_t now, const char *peer, bool complete,
		bool has_config)
{
	if (!complete) {
		sync->next_pull = now + SYNC_RETRY;
		return;
	}
	sync->completed = true;
	sync->next_pull = now + sync->interval;
	sync->interval = MIN(2 * sync->interval, SYNC_PERIOD);
	if (has_config && !sync_config_known(sync))
		g_hash_table_add(sync->config_peers, g_strdup(peer));
}

bool sync_directory_known(const sync_t *sync, usec_t now, bool no_peers)
{
	return sync->completed || no_peers || now - sync->created >= SYNC_WAIT_MAX;
}

bool sync_config_known(const sync_t *sync)
{
	return g_hash_table_size(sync->config_peers) >= SYNC_CONFIG_PEERS;
}

usec_t sync_store_wait(uint32_t failures, bool ready, double uniform)
{
	usec_t span = STORE_WAIT_BASE << MIN(failures - 1, STORE_WAIT_DOUBLINGS_MAX);

	if (!ready)
		span = MIN(span, SYNC_STORE_WAIT_NOT_READY);
	return (usec_t)((0.5 + uniform) * (double)span);
}
