#ifndef EGRET_EGRETSCALED_NODE_NODE_H
#define EGRET_EGRETSCALED_NODE_NODE_H

#include "accounts/zone_rates.h"
#include "admission/completion_limit.h"
#include "admission/gate.h"
#include "admission/route_breaker.h"
#include "admission/stop.h"
#include "claims/attempts.h"
#include "config/config.h"
#include "egretscaled/node/inflight.h"
#include "egretscaled/node/settings.h"
#include "http/curl_loop.h"
#include "membership/gossip.h"
#include "membership/target.h"
#include "retry/resends.h"
#include "retry/retry.h"
#include "rollout/rollout.h"
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
 *	Holds the state machines that make the decisions, and their locks (lock order
 *	in locks.h). Workers serve requests. The control thread runs gossip,
 *	configuration, keeper leases and the admin interface.
 */

typedef struct worker worker_t;

/* A gap of this length between two ticks of a thread means that the process was paused
 * (SIGSTOP, a suspended vm), so that its configuration and directory may be out of
 * date. */
#define NODE_PAUSE_MIN (3 * USEC_PER_SEC)

typedef struct node node_t;

/* Callbacks into the modules that use node; set once, by main(). */
typedef struct node_ops {
	const gossip_ops_t *gossip;
	/* The gate returned a verdict on a queued call. Any thread, under gate_lock. */
	void (*on_gate_verdict)(void *ticket_ctx, gate_verdict_t verdict);
	/* A directory entry changed. Under gossip_lock. */
	void (*on_member)(node_t *node, const member_t *member);
	/* The target, whose reports have an id, has reported its state, as the process
	 * that was known or as another one. Any thread. */
	void (*on_target_report)(node_t *node, bool same_process);
	/* Another configuration is in force. Control thread. */
	void (*on_config)(node_t *node, const config_t *config);
	/* A gossip datagram that does not concern the directory. Control thread. */
	void (*on_message)(node_t *node, const Egret__Gossip *message);
} node_ops_t;

struct node {
	settings_t *settings;
	const node_ops_t *ops;
	_Atomic(const bounds_t *) bounds; /* in force */
	GPtrArray *old_bounds; /* kept, as threads may still read them; control thread */
	peer_auth_t *auth;
	char *tls_cert; /* PEM text, or NULL; guarded by config_lock */
	char *tls_key;
	char address[ADDRESS_TEXT_BYTES];
	uint64_t node_id;

	pthread_mutex_t gossip_lock;
	gossip_t *gossip;
	int gossip_fd; /* UDP socket; -1 while closed */
	struct puller *puller;

	pthread_mutex_t config_lock;
	config_log_t *config_log;
	config_t *config;
	/* The configuration is known to hold every change acknowledged until then; 0 if
	 * that is not known. Not guarded by config_lock. */
	_Atomic usec_t config_as_of;
	usec_t config_as_of_sent; /* of the evidence last sent to peers; control thread */

	pthread_mutex_t account_lock;
	struct accounts *accounts;
	/* Set on the platform, whose bounds allow the requests above the rate that
	 * delayed demand reports cause; else NULL, and keepers lend tokens. */
	zone_rates_t *zone_rates;

	pthread_mutex_t gate_lock;
	gate_t *gate;
	target_t target; /* this node's target */

	pthread_mutex_t inflight_lock;
	inflight_table_t *inflight;
	attempts_t *attempts;

	pthread_mutex_t router_lock;
	router_t *router;
	rollout_t *rollout; /* NULL without canary_share */
	backpressure_t *backpressure;
	completion_limit_t *completion_limit;
	route_breaker_t *route_breaker;
	route_calls_t *outbound_calls; /* of this node's target, by route */
	GHashTable *retry_budgets;     /* service -> retry_budget_t */
	GHashTable *resends;	       /* service -> resends_t; on the platform only */

	pthread_mutex_t suspect_lock;
	struct suspects *suspects;
	struct crash_watch *crash_watch;

	pthread_mutex_t stop_lock;
	stop_t *stop;

	worker_t **workers;
	uint32_t worker_count;

	atomic_bool ready;	   /* serves requests; see node_check_ready() */
	atomic_bool has_config;	   /* the configuration is up to date */
	atomic_bool has_node_list; /* the addresses of all nodes are known */
	atomic_bool has_directory; /* the directory entries of the nodes are known */
	atomic_bool draining;	   /* the stop sequence has begun */
	atomic_bool withdrawn;	   /* peers are to send the target no more calls */
	atomic_uint requests; /* HTTP requests, peer calls and adopted calls in flight */
};

node_t *node_create(settings_t *settings, const node_ops_t *ops, GError **error);
void node_destroy(node_t *node);

/* Returns the bounds in force; valid until node_destroy(). Any thread. */
const bounds_t *node_bounds(const node_t *node);

/* Applies the bounds and seeds of a reloaded settings file. Control thread. */
void node_apply_settings(node_t *node, const settings_t *settings);

/* Returns a new reference to the configuration in force. Any thread. */
config_t *node_config(node_t *node);

/* One row of the configuration; value is NULL if the record was removed. */
typedef struct node_config_row {
	const char *key;
	uint64_t revision;
	const char *value;
} node_config_row_t;

/* Merges rows into the configuration and puts it in force. With them, the node has every
 * change up to `revision`. Returns false, and merges nothing, if they are of an era of
 * the store before the newest that the node knows. Control thread. */
bool node_apply_config(node_t *node, const node_config_row_t *rows, size_t count,
		       uint64_t revision, const char *source);

/* Puts in force what was deferred after a change of the store's era and is due. Control
 * thread. */
void node_release_config(node_t *node);

/* The configuration is known to hold every change acknowledged until `as_of`. Returns
 * whether peers should be sent this evidence now. Control thread. */
bool node_confirm_config(node_t *node, usec_t as_of);

/* Returns the newest `as_of`, or 0. Any thread. */
usec_t node_config_as_of(const node_t *node);

/* Sets `ready` once configuration, node addresses and directory are known. Control
 * thread. */
void node_check_ready(node_t *node);

/* Clears `ready` after the process was paused, until the configuration is known to be
 * up to date again. Any thread. */
void node_clear_ready(node_t *node);

/* Updates this node's directory entry from leases, target, readiness and drain state.
 * Acquires gossip_lock, account_lock, gate_lock and router_lock. */
void node_update_member(node_t *node);

/* Applies a report of this node's target. Acquires config_lock, gate_lock and the locks
 * of node_update_member(). */
void node_handle_target_report(node_t *node, const target_report_t *report);

/* Adds a process of the target that left before this node started, as peers remember it.
 * Acquires the locks of node_update_member(). */
void node_add_left_process(node_t *node, const char *id, uint64_t started_ms);

/* Marks the target as absent if its last report has expired, and closes the gate once the
 * target accepts no requests. Acquires the locks of node_update_member(). */
void node_check_target(node_t *node);

/* Closes the gate after this node's target refused a connection. Acquires the locks of
 * node_update_member(). */
void node_handle_target_refusal(node_t *node);

/* Finds the process of a leave report that holds only an id; see target_resolve_leave().
 * Acquires gate_lock. */
target_leave_t node_resolve_leave(node_t *node, target_report_t *report);

/* Whether the node, which may be stopping, accepts a request or a call of a peer that
 * arrives now with this deadline. Acquires stop_lock. */
bool node_accepts(node_t *node, usec_t deadline, bool is_outbound);

/* Whether a stop is so far that requests in flight get their final response and no
 * further attempt starts. Acquires stop_lock. */
bool node_cancels_requests(node_t *node);

/* Returns the time since the start of the stop, 0 before. Acquires stop_lock. */
usec_t node_stop_elapsed(node_t *node);

/* Closes the gate for good and refuses the calls that wait at it. Acquires gate_lock. */
void node_close_gate(node_t *node);

/* Passes the verdicts of gate_next() to on_gate_verdict. Acquires gate_lock. */
void node_run_gate(node_t *node);

/* Retry budget of a service: deposits for a call, or withdraws a retry and returns
 * whether the budget allows it. */
void node_retry_budget_deposit(node_t *node, const char *service);
bool node_retry_budget_withdraw(node_t *node, const char *service);

/* Calls that their target rejected, see retry/resends.h. node_resend_record() counts a
 * send that has ended; node_resend_take() returns whether the call may be sent again.
 * Without effect if the deployment states no bound. Under router_lock. */
void node_resend_record(node_t *node, const char *service, bool rejected, usec_t now);
bool node_resend_take(node_t *node, const char *service, usec_t now);
double node_completable_share(node_t *node, const char *service, usec_t now);

/* Returns the highest pressure of the services to which the target makes outbound calls
 * for requests of the route, and of the services downstream of these; 0 if no call is
 * recorded. Acquires router_lock. */
double node_downstream_pressure(node_t *node, const char *route);

/* Returns the lowest completable share (retry/resends.h) of the same services. Acquires
 * router_lock. */
double node_downstream_completable(node_t *node, const char *route);

/* Whether a service that the route's requests call, or that those calls lead to, has no
 * instance. */
bool node_calls_unavailable(node_t *node, const char *route);

/* Whether the target usually makes outbound calls for its requests. Acquires router_lock.
 */
bool node_makes_calls(node_t *node);

/* Creates a client of the platform on the loop. */
store_t *node_store_create(const node_t *node, curl_loop_t *loop);

/* Returns a random 64-bit id, not 0. */
uint64_t node_random_id(void);

#endif
