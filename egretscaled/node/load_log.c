#include "egretscaled/node/load_log.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/log.h"

#define MILLI 1000

struct load_log {
	usec_t written_at;
	usec_t cpu_usec; /* of the process, when the last line was written */
	uint64_t requests;
	uint64_t calls_in;
};

load_log_t *load_log_create(usec_t now)
{
	load_log_t *log = g_new0(load_log_t, 1);

	log->written_at = now;
	log->cpu_usec = clock_process_usec();
	return log;
}

void load_log_destroy(load_log_t *log)
{
	g_free(log);
}

static void log_tables(log_rec_t *rec, worker_t *worker)
{
	node_t *node = worker->node;

	pthread_mutex_lock(&node->inflight_lock);
	uint32_t attempts = attempts_count(node->attempts);
	pthread_mutex_unlock(&node->inflight_lock);
	pthread_mutex_lock(&node->suspect_lock);
	uint32_t suspects = suspects_count(node->suspects);
	pthread_mutex_unlock(&node->suspect_lock);
	log_int(rec, "attempts_kept", attempts);
	log_int(rec, "fingerprints_kept", suspects);
	log_int(rec, "token_waiters", g_hash_table_size(worker->token_waiters));
}

void load_log_write(load_log_t *log, worker_t *worker, usec_t now)
{
	node_t *node = worker->node;
	uint64_t requests = counter_get(COUNTER_REQUESTS);
	uint64_t calls_in = counter_get(COUNTER_CALLS_IN);
	usec_t cpu_usec = clock_process_usec();
	usec_t elapsed = MAX(now - log->written_at, 1);
	gate_load_t load;
	log_rec_t rec;

	if (requests != log->requests || calls_in != log->calls_in) {
		pthread_mutex_lock(&node->gate_lock);
		gate_load(node->gate, now, &load);
		pthread_mutex_unlock(&node->gate_lock);
		log_begin(&rec, LOG_LEVEL_INFO, "load");
		log_int(&rec, "requests", (int64_t)(requests - log->requests));
		log_int(&rec, "calls_in", (int64_t)(calls_in - log->calls_in));
		log_int(&rec, "cpu_milli", (cpu_usec - log->cpu_usec) * MILLI / elapsed);
		log_int(&rec, "loop_delay_usec", worker->loop_delay_max);
		log_int(&rec, "under_way", atomic_load(&node->requests));
		log_int(&rec, "limit", load.limit);
		log_int(&rec, "inflight", load.inflight);
		log_int(&rec, "queued", load.queued);
		log_tables(&rec, worker);
		log_end(&rec);
	}
	worker->loop_delay_max = 0;
	log->written_at = now;
	log->cpu_usec = cpu_usec;
	log->requests = requests;
	log->calls_in = calls_in;
}
