#ifndef EGRET_EGRETSCALED_CONTROL_ADMIN_H
#define EGRET_EGRETSCALED_CONTROL_ADMIN_H

#include "egretscaled/node/node.h"
#include "http/mhd_loop.h"

/*
 * NAME
 *	admin - GET /metrics, /status and /healthz; POST /drain
 *
 * DESCRIPTION
 *	/metrics responds with Prometheus text and /status with JSON. /healthz
 *	responds 200 if the node is ready and not draining, else 503. POST /drain
 *	starts the stop sequence, as SIGTERM does; it is accepted only if the admin
 *	address is a loopback address.
 *
 * THREADS
 *	Control thread.
 */

mhd_loop_t *admin_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			 GError **error);

/* Creates a listener that responds to every request as /healthz does. */
mhd_loop_t *readiness_create(TALLOC_CTX *parent, struct tevent_context *ev, node_t *node,
			     GError **error);

#endif
