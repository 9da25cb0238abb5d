#include "membership/sync.h"

#include <glib.h>

struct sync {
	usec_t created;
	usec_t next;
	usec_t pause;
	bool answered;
	GHashTable *config_peers; /* set of addresses */
};

sync_t *sync_create(usec_t now)
{
	sync_t *sync = g_new0(sync_t, 1);

	sync->created = now;
	sync->next = now;
	sync->pause = SYNC_RETRY;
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
	return urgent || now >= sync->next;
}

void sync_ended(sync_t *sync, usec_t now, const char *peer, bool complete,
		bool configured)
{
	if (!complete) {
		sync->next = now + SYNC_RETRY;
		return;
	}
	sync->answered = true;
	sync->next = now + sync->pause;
	sync->pause = MIN(2 * sync->pause, SYNC_PERIOD);
	if (configured && !sync_config_known(sync))
		g_hash_table_add(sync->config_peers, g_strdup(peer));
}

bool sync_directory_known(const sync_t *sync, usec_t now, bool alone)
{
	return sync->answered || alone || now - sync->created >= SYNC_WAIT_MAX;
}

bool sync_config_known(const sync_t *sync)
{
	return g_hash_table_size(sync->config_peers) >= SYNC_CONFIG_PEERS;
}
