#ifndef EGRET_COMMON_COUNTERS_H
#define EGRET_COMMON_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/*
 * NAME
 *	counters - process-wide counters for the metrics endpoint
 *
 * DESCRIPTION
 *	There is one atomic 64-bit counter for each counter_id_t. Counters only
 *	increase and start at 0 with the process.
 *
 * THREADS
 *	All functions are safe from any thread.
 */

/* X(id, metric name, metric help text). The metric is egret_<name>_total. Collectors may
 * truncate the text, so the counters that explain a lost dependency come first. */
#define COUNTER_LIST(X)                                                                  \
	X(CONFIG_CHANGES, "config_changes", "record changes taken into force")           \
	X(CONFIG_PULLS, "config_pulls", "configuration pulls from peers")                \
	X(STORE_OPS, "store_operations", "calls to the platform's store")                \
	X(STORE_WATCHES, "store_watches", "reads of the records that wait for a change") \
	X(STORE_CHECKS, "store_checks", "reads of the records that do not wait")         \
	X(STORE_FAILURES, "store_failures", "calls to the store that failed")            \
	X(STORE_ERAS, "store_eras", "changes of the store's era seen by its clients")    \
	X(STORE_OLD_RESPONSES, "store_old_responses", "responses of a former era")       \
	X(CONFIG_KEPT, "config_kept", "restored rows older than those in force")         \
	X(LOG_DROPPED, "log_lines_dropped", "log lines dropped at the queue's bound")    \
	X(REQUESTS, "caller_requests", "requests taken from callers")                    \
	X(ANSWERED, "caller_answered", "answers of targets given to callers")            \
	X(NOT_RUN, "caller_not_run", "refusals that state not-run")                      \
	X(UNKNOWN, "caller_unknown", "answers that state unknown")                       \
	X(REFUSED_KEY, "refused_key", "requests with an unknown or withdrawn key")       \
	X(REFUSED_RATE, "refused_rate", "requests over the client account's rate")       \
	X(REFUSED_SHED, "refused_shed", "requests shed at the entry")                    \
	X(BREAKERS_OPENED, "breakers_opened", "circuit breakers of routes that opened")  \
	X(ONWARD, "onward_calls", "onward calls taken from the own target")              \
	X(CALLS_OUT, "calls_out", "calls sent to instances")                             \
	X(CALLS_IN, "calls_in", "calls taken from other nodes")                          \
	X(GATE_ADMITTED, "gate_admitted", "calls admitted to the own target")            \
	X(GATE_SHED, "gate_shed", "calls refused by the gate")                           \
	X(GATE_EXPIRED, "gate_expired", "queued calls dropped at their deadline")        \
	X(GATE_CANCELLED, "gate_cancelled", "queued or running calls cancelled")         \
	X(GATE_RESETS, "gate_resets", "times the limit went to the cold floor")          \
	X(RETRIES, "retries", "calls repeated after not-run or failure")                 \
	X(REROUTES, "reroutes", "attempts moved on before any target saw them")          \
	X(SPILLS, "spills", "calls sent to an instance in another zone")                 \
	X(RETRIES_CAPPED, "retries_capped", "retries not made because of a cap")         \
	X(RESENDS, "resends", "calls sent again after their target rejected them")       \
	X(RESENDS_CAPPED, "resends_capped", "resends not made because of the budget")    \
	X(LATE_REPLIES, "late_replies", "replies dropped because their call was over")   \
	X(FENCES_SENT, "fences_sent", "fence exchanges started")                         \
	X(FENCES_NOT_RUN, "fences_not_run", "fence exchanges that proved not-run")       \
	X(SUSPECT_CRASHES, "suspect_crashes", "in-flight calls marked at a crash")       \
	X(SUSPECT_REFUSED, "suspect_refused", "requests refused as crash suspects")      \
	X(CLAIMS, "claims", "idempotency keys claimed")                                  \
	X(CLAIM_REPLAYS, "claim_replays", "answers replayed for an idempotency key")     \
	X(CLAIM_CONFLICTS, "claim_conflicts", "requests refused with 409")               \
	X(BORROWS, "borrows", "requests that asked for tokens")                          \
	X(LOANS, "loans", "loans granted as keeper")                                     \
	X(LEASES_WON, "leases_won", "keeper leases acquired")                            \
	X(LEASES_LOST, "leases_lost", "keeper leases lost or expired")                   \
	X(GOSSIP_SENT, "gossip_sent_datagrams", "gossip datagrams sent")                 \
	X(GOSSIP_SENT_BYTES, "gossip_sent_bytes", "gossip bytes sent")                   \
	X(GOSSIP_RECEIVED, "gossip_received_datagrams", "gossip datagrams accepted")     \
	X(GOSSIP_RECEIVED_BYTES, "gossip_received_bytes", "gossip bytes received")       \
	X(GOSSIP_OVERSIZED, "gossip_oversized", "datagrams too large to be sent")        \
	X(GOSSIP_REJECTED, "gossip_rejected", "datagrams that failed authentication")    \
	X(PEER_REJECTED, "peer_rejected", "peer connections that failed authentication") \
	X(PEER_BAD_FRAMES, "peer_bad_frames", "peer connections closed for bad frames")  \
	X(ROLLOUT_SENDS, "rollout_sends",                                                \
	  "calls sent to a new version while its roll-out was in progress")              \
	X(ROLLOUT_COMPLETED, "rollout_completed", "roll-outs known to be completed")     \
	X(ROLLOUT_ROLLED_BACK, "rollout_rolled_back",                                    \
	  "roll-outs known to be rolled back")                                           \
	X(ROLLOUT_STATUS_WRITES, "rollout_status_writes",                                \
	  "status rows of roll-outs written")                                            \
	X(IDLE_CONNECTIONS_SHUT, "idle_connections_shut",                                \
	  "idle connections that the server closed or sent bytes on")                    \
	X(CUT_AT_STOP, "cut_at_stop",                                                    \
	  "requests cancelled at the end of the drain timeout")                          \
	X(CLOSED_FOR_PLACE, "connections_closed_for_place",                              \
	  "idle or unfinished connections closed for new ones")                          \
	X(CLOSED_FOR_MEMORY, "connections_closed_for_memory",                            \
	  "unfinished connections closed for the memory that they held")                 \
	X(CLOSED_HEAD_TIMEOUT, "connections_closed_head_timeout",                        \
	  "connections closed since a head was not complete in time")                    \
	X(HEADS_REFUSED, "heads_refused",                                                \
	  "requests refused since their heads did not fit the memory budget")            \
	X(MEMORY_TRIMS, "memory_trims", "times that freed memory was returned")

typedef enum counter_id {
#define COUNTER_ENUM(id, name, help) COUNTER_##id,
	COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
	COUNTER_COUNT,
} counter_id_t;

void counter_add(counter_id_t id, uint64_t n);
uint64_t counter_get(counter_id_t id);

/* Appends all counters in the Prometheus text format to out. */
void counters_render(GString *out);

#endif
