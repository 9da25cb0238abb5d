#ifndef EGRET_EGRETSCALED_NODE_LOAD_LOG_H
#define EGRET_EGRETSCALED_NODE_LOAD_LOG_H

#include "egretscaled/node/worker.h"

/*
 * NAME
 *	load_log - one log line per second with the node's load
 *
 * DESCRIPTION
 *	Writes a "load" line with the processor time used, the delay of the event
 *	loop, the gate's load and the sizes of the tables that grow with requests.
 *	Seconds without a request or call are skipped.
 *
 * THREADS
 *	The thread of worker 0.
 */

typedef struct load_log load_log_t;

load_log_t *load_log_create(usec_t now);
void load_log_destroy(load_log_t *log);

/* Writes the line for the time since the last one. Acquires gate_lock, inflight_lock and
 * suspect_lock, one after the other. */
void load_log_write(load_log_t *log, worker_t *worker, usec_t now);

#endif
