#ifndef EGRET_EGRETSCALED_NODE_NODE_H
#define EGRET_EGRETSCALED_NODE_NODE_H

#include "accounts/shares.h"
#include "admission/gate.h"
#include "claims/attempts.h"
#include "config/config.h"
#include "egretscaled/node/inflight.h"
#include "egretscaled/node/settings.h"
#include "http/curl_loop.h"
#include "membership/gossip.h"
#include "membership/target.h"
#include "retry/retry.h"
#include "routing/backpressure.h"
#include "routing/route_calls.h"
#include "routing/router.h"
#include "store/store.h"
#include "wire/peer_auth.h"

#include <pthread.h>
#include <stdatomic.h>

/*
 * NAME
 *	node - the state that the threads of one daemon share
 *
 * DESCRIPTION
 *	Decision modules and the locks around them (order in locks.h). Workers
 *	serve requests; the control thread runs gossip, the configuration, keeper
 *	leases and the admin interface.
 */

typedef struct worker worker_t;

/* A thread whose clock jumped by this much was stopped: what the node knew may be
 * out of date. */
#define NODE_PAUSE_MIN (3 * USEC_PER_SEC)

typedef struct node node_t;

/* What the rooms above do for a node; set once, by main(). */
typedef struct node_ops {
	const gossip_ops_t *gossip;
	/* The gate decided on a call that waited. Any thread, under gate_lock. */
	void (*on_gate_verdict)(void *ticket_ctx, gate_verdict_t verdict);
	/* An entry of the directory changed. Under gossip_lock. */
	void (*on_member)(node_t *node, const member_t *member);
	/* A datagram that is not the directory's. Control thread. */
	void (*on_message)(node_t *node, const Egret__Gossip *message);
} node_ops_t;

struct node {
	settings_t *settings;
	const node_ops_t *ops;
	_Atomic(const bounds_t *) bounds; /* in force; earlier ones live on */
	GPtrArray *old_bounds;		  /* control thread */
	peer_auth_t *auth;
	char *tls_cert; /* PEM text, or NULL; guarded by config_lock */
	char *tls_key;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t node_id;

	pthread_mutex_t gossip_lock;
	gossip_t *gossip;
	int gossip_fd; /* -1 while closed */
	struct puller *puller;

	pthread_mutex_t config_lock;
	config_log_t *config_log;
	config_t *config;

	pthread_mutex_t account_lock;
	struct accounts *accounts;
	shares_t *shares; /* where the bounds tolerate lag; NULL for lending */

	pthread_mutex_t gate_lock;
	gate_t *gate;
	target_t target; /* the own one */

	pthread_mutex_t inflight_lock;
	inflight_table_t *inflight;
	attempts_t *attempts;

	pthread_mutex_t router_lock;
	router_t *router;
	backpressure_t *backpressure;
	route_calls_t *outbound_calls; /* what the own target calls, by route */
	GHashTable *retry_budgets;     /* service -> retry_budget_t */

	pthread_mutex_t suspect_lock;
	struct suspects *suspects;

	worker_t **workers;
	uint32_t worker_count;

	atomic_bool ready;	/* the three below hold, and a configuration is whole */
	atomic_bool has_config; /* it is up to date */
	atomic_bool has_node_list; /* the addresses of the other nodes are known */
	atomic_bool has_directory; /* and what stands beside them */
	atomic_bool draining;	   /* a planned stop has begun */
	atomic_uint requests;	   /* HTTP requests and peer calls not yet answered */
};

node_t *node_create(settings_t *settings, const node_ops_t *ops, GError **error);
void node_destroy(node_t *node);

/* The bounds in force; valid for the life of the node. Any thread. */
const bounds_t *node_bounds(const node_t *node);

/* Takes bounds and seeds that were read again. Control thread. */
void node_apply_settings(node_t *node, const settings_t *fresh);

/* Takes a reference on the configuration in force. Any thread. */
config_t *node_config(node_t *node);

/* Merges rows that make the node complete up to revision. Control thread. */
typedef struct node_config_row {
	const char *key;
	uint64_t revision;
	const char *value;
} node_config_row_t;
void node_apply_config(node_t *node, const node_config_row_t *rows, size_t count,
		       uint64_t revision, const char *source);

/* Serves if configuration, list and directory are known. Control thread. */
void node_check_ready(node_t *node);

/* The process was stopped for long: serves again once the configuration is known to
 * be up to date. Any thread. */
void node_clear_ready(node_t *node);

/* Renews this node's directory entry from target, readiness and drain state. */
void node_update_member(node_t *node);

/* Takes a report of the own target; gate_lock is taken inside. */
void node_handle_target_report(node_t *node, const target_report_t *report);

/* Closes the gate of a target that leaves or whose heartbeat has lapsed. */
void node_check_target(node_t *node);

/* The own target refused a connection. */
void node_handle_target_refusal(node_t *node);

/* What a target that says nothing else reports when it leaves. */
void node_make_leave_report(node_t *node, target_report_t *out);

/* Runs gate_next() until it is empty and wakes the owners. */
void node_run_gate(node_t *node);

/* Retry ratio cap of a service: counts a call, or takes a retry. */
void node_retry_budget_deposit(node_t *node, const char *service);
bool node_retry_budget_withdraw(node_t *node, const char *service);

/* Highest pressure of the services that requests of the route go on to. */
double node_downstream_pressure(node_t *node, const char *route);

/* A client of the platform on the loop. */
store_t *node_store_create(const node_t *node, curl_loop_t *loop);

/* A random 64-bit id. */
uint64_t node_random_id(void);

#endif
