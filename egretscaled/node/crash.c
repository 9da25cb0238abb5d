#include "egretscaled/node/crash.h"

#include "claims/crash_watch.h"
#include "common/counters.h"
#include "common/log.h"

typedef struct suspicion {
	uint64_t fingerprint;
	suspect_evidence_t evidence;
	bool counted; /* and to be reported to other nodes */
	bool refused;
} suspicion_t;

static const char *evidence_name(suspect_evidence_t evidence)
{
	static const char *const names[] = {
		[SUSPECT_ALONE] = "alone",
		[SUSPECT_RECENT] = "recent",
		[SUSPECT_EARLIER] = "earlier",
	};

	return names[evidence];
}

static void log_suspicion(const suspicion_t *suspicion, uint64_t crash)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "suspect");
	log_hex(&rec, "fingerprint", (const uint8_t *)&suspicion->fingerprint,
		sizeof(suspicion->fingerprint));
	log_hex(&rec, "crash", (const uint8_t *)&crash, sizeof(crash));
	log_str(&rec, "evidence", evidence_name(suspicion->evidence));
	log_str(&rec, "outcome",
		!suspicion->counted  ? "not counted"
		: suspicion->refused ? "refused"
				     : "counted");
	log_end(&rec);
}

void node_crash_note(node_t *node, uint64_t fingerprint, usec_t started_at)
{
	pthread_mutex_lock(&node->suspect_lock);
	crash_watch_add(node->crash_watch, fingerprint, started_at, clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
}

void node_crash_note_ended(node_t *node, uint64_t fingerprint, usec_t started_at)
{
	pthread_mutex_lock(&node->suspect_lock);
	crash_watch_add_ended(node->crash_watch, fingerprint, started_at,
			      clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
}

void node_crash_prove(node_t *node)
{
	pthread_mutex_lock(&node->suspect_lock);
	crash_watch_prove(node->crash_watch);
	pthread_mutex_unlock(&node->suspect_lock);
}

static void collect_suspicion(void *ctx, uint64_t fingerprint,
			      suspect_evidence_t evidence)
{
	GArray *suspicions = ctx;
	suspicion_t suspicion = {.fingerprint = fingerprint, .evidence = evidence};

	g_array_append_val(suspicions, suspicion);
}

/* Returns the id of the crash. */
static uint64_t count_suspicions(node_t *node, GArray *suspicions, usec_t now)
{
	pthread_mutex_lock(&node->suspect_lock);
	crash_watch_judge(node->crash_watch, node->suspects, now, collect_suspicion,
			  suspicions);
	uint64_t crash = suspects_crash_id(node->suspects, node_random_id(), now);
	for (guint i = 0; i < suspicions->len; i++) {
		suspicion_t *suspicion = &g_array_index(suspicions, suspicion_t, i);
		suspicion->counted =
			suspects_handle_crash(node->suspects, suspicion->fingerprint,
					      crash, suspicion->evidence, now);
		suspicion->refused =
			suspects_is_refused(node->suspects, suspicion->fingerprint, now);
	}
	pthread_mutex_unlock(&node->suspect_lock);
	return crash;
}

void node_crash_judge(node_t *node)
{
	GArray *suspicions = g_array_new(FALSE, FALSE, sizeof(suspicion_t));
	usec_t now = clock_boot_usec();
	uint64_t crash = count_suspicions(node, suspicions, now);

	for (guint i = 0; i < suspicions->len; i++) {
		const suspicion_t *suspicion = &g_array_index(suspicions, suspicion_t, i);
		log_suspicion(suspicion, crash);
		if (!suspicion->counted)
			continue;
		counter_add(COUNTER_SUSPECT_CRASHES, 1);
		pthread_mutex_lock(&node->gossip_lock);
		gossip_broadcast_suspicion(node->gossip, now, suspicion->fingerprint,
					   crash, suspicion->evidence);
		pthread_mutex_unlock(&node->gossip_lock);
	}
	g_array_free(suspicions, TRUE);
}

/* Runs with suspect_lock held. */
static void handle_completed(void *ctx, uint64_t fingerprint)
{
	node_t *node = ctx;

	suspects_handle_success(node->suspects, fingerprint, clock_boot_usec());
}

void node_crash_handle_report(node_t *node, bool same_process)
{
	if (!same_process) {
		node_crash_judge(node);
		return;
	}
	pthread_mutex_lock(&node->suspect_lock);
	crash_watch_discard(node->crash_watch, handle_completed, node);
	pthread_mutex_unlock(&node->suspect_lock);
}
