#ifndef EGRET_EGRETSCALED_NODE_ROLLOUT_H
#define EGRET_EGRETSCALED_NODE_ROLLOUT_H

#include "egretscaled/node/node.h"

/*
 * NAME
 *	node/rollout - connects the decisions on roll-outs with configuration and router
 *
 * DESCRIPTION
 *	Without canary_share, node->rollout is NULL and the functions change nothing:
 *	node_rollout_pick() is router_pick().
 */

/* Begins and withdraws orders as the configuration states. Acquires router_lock. */
void node_rollout_apply(node_t *node, const config_t *config);

/* As router_pick(), with the version that the roll-out of the service demands. Under
 * router_lock. */
void node_rollout_pick(node_t *node, router_request_t *request, usec_t now,
		       router_choice_t *out);

/* Records the end of an attempt on an instance that is known since `since`; sets
 * result->cold. Acquires config_lock and router_lock. */
void node_rollout_result(node_t *node, rollout_result_t *result, usec_t since);

/* Finds out for each order whether the new version has usable instances, and leaves the
 * version that gets few requests out of the service's pressure. Under router_lock. */
void node_rollout_refresh(node_t *node, GHashTable *versions, usec_t now);

/* Returns a new table of the services in the directory: the version of all instances,
 * those of nodes out of reach included, or NULL if there are several. Empty while the
 * directory may be incomplete. Not under router_lock. */
GHashTable *node_rollout_list_versions(node_t *node);

/* Counts and logs a state that this node has decided, or learned from `source`. */
void node_rollout_log(const rollout_status_t *status, const char *source);

#endif
